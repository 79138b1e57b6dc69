"""Tests of the relay that cuts links between processes."""

import asyncio

from redwingchute.connection import http_client
from redwingchute.standin import relay
from redwingchute.testing import standin_calls


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def _exercise_cut() -> None:
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    target = http_client.Address(
        "127.0.0.1", server.sockets[0].getsockname()[1]
    )
    async with server, relay.Relay() as stand_in:
        port = await stand_in.add_route(
            relay.Route("platform", target, "huon-1")
        )
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"before")
        assert await reader.readexactly(6) == b"before"
        response = await standin_calls.fetch_json(
            stand_in.control_port,
            "POST",
            "/control/cuts",
            {"pairs": [["huon-1", "platform"]]},
        )
        assert response == {"cuts": [["huon-1", "platform"]]}
        writer.write(b"during")
        reading = asyncio.ensure_future(reader.readexactly(6))
        done, _ = await asyncio.wait({reading}, timeout=0.05)
        assert not done
        stand_in.cuts.replace(frozenset())
        assert await reading == b"during"
        writer.close()


def test_cut_holds_bytes_back_until_it_is_healed() -> None:
    asyncio.run(_exercise_cut())


async def _send_bad_cuts() -> int:
    async with relay.Relay() as stand_in:
        response = await standin_calls.fetch(
            stand_in.control_port,
            "POST",
            "/control/cuts",
            b'{"pairs": [["a"]]}',
        )
        assert isinstance(response, http_client.Fetched)
        return response.status


def test_malformed_cuts_are_reported() -> None:
    assert asyncio.run(_send_bad_cuts()) == 400
