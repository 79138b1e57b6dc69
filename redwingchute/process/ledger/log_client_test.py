"""Tests of the log client against tables of HTTP responses."""

import asyncio
import base64
import json

import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.process.ledger import log_client
from redwingchute.process.ledger import log_outcomes
from redwingchute.testing import narrow_link


def _encode(fields: object) -> bytes:
    return json.dumps(fields).encode()


_RECORD = {"offset": 7, "data": base64.b64encode(b"\x00one").decode()}

_APPENDS = [
    (200, _encode({"offset": 4}), log_outcomes.Appended),
    (200, b"{}", log_outcomes.AppendUnknown),
    (200, b"not json", log_outcomes.AppendUnknown),
    (500, b"", log_outcomes.AppendUnknown),
    (503, b"", log_outcomes.AppendUnknown),
    (429, b"", log_outcomes.LogUnreachable),
    (413, b"", log_outcomes.LogUnreachable),
]

_READS = [
    (
        200,
        _encode({"first": 2, "next": 8, "records": [_RECORD]}),
        log_outcomes.Page(2, 8, (log_outcomes.LogRecord(7, b"\x00one"),)),
    ),
    (
        410,
        _encode({"first": 9, "next": 12}),
        log_outcomes.Trimmed(9, 12),
    ),
    (200, _encode({"first": 2, "next": 8}), None),
    (200, _encode([]), None),
    (
        200,
        _encode(
            {"first": 0, "next": 1, "records": [{"offset": 0, "data": "%"}]}
        ),
        None,
    ),
    (503, b"", None),
]


class _FixedResponseHandler:
    """Sends the same response to every request."""

    def __init__(self, status: int, body: bytes) -> None:
        self._status = status
        self._body = body
        self.requests: list[http_server.HttpRequest] = []

    async def __call__(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        self.requests.append(request)
        await responder.send(self._status, self._body)


@pytest.mark.parametrize(("status", "body", "expected"), _APPENDS)
def test_append_response_gives_its_outcome(
    status: int, body: bytes, expected: type[object]
) -> None:
    async def run() -> None:
        handler = _FixedResponseHandler(status, body)
        async with (
            http_server.HttpServer(handler, "127.0.0.1", 0) as server,
            http_client.ClientPool() as pool,
        ):
            address = http_client.Address("127.0.0.1", server.port)
            client = log_client.LogClient(pool, address)
            outcome = await client.append("ledger-3", b"\x00body")
        assert isinstance(outcome, expected)
        (request,) = handler.requests
        assert request.path == "/streams/ledger-3/records"
        assert request.body == b"\x00body"

    asyncio.run(run())


@pytest.mark.parametrize(("status", "body", "expected"), _READS)
def test_read_response_gives_its_outcome(
    status: int, body: bytes, expected: log_outcomes.ReadOutcome | None
) -> None:
    async def run() -> None:
        handler = _FixedResponseHandler(status, body)
        async with (
            http_server.HttpServer(handler, "127.0.0.1", 0) as server,
            http_client.ClientPool() as pool,
        ):
            address = http_client.Address("127.0.0.1", server.port)
            client = log_client.LogClient(pool, address)
            outcome = await client.read("ledger-3", 7, 100, 0)
        if expected is None:
            assert isinstance(outcome, log_outcomes.LogUnreachable)
        else:
            assert outcome == expected
        (request,) = handler.requests
        assert request.query == {"from": "7", "limit": "100", "wait_ms": "0"}

    asyncio.run(run())


def test_connection_closed_without_a_response_is_an_unknown_append() -> None:
    async def run() -> None:
        async def close(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read(100)
            writer.close()

        server = await asyncio.start_server(close, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, http_client.ClientPool() as pool:
            address = http_client.Address("127.0.0.1", port)
            client = log_client.LogClient(pool, address)
            outcome = await client.append("ledger-3", b"body")
        assert isinstance(outcome, log_outcomes.AppendUnknown)
        async with http_client.ClientPool() as pool:
            client = log_client.LogClient(pool, address)
            outcome = await client.append("ledger-3", b"body")
        assert isinstance(outcome, log_outcomes.LogUnreachable)

    asyncio.run(run())


# A long record over a narrow link was given up before the log had all of it,
# each time that it was sent.
def test_an_append_may_take_as_long_as_its_link_needs() -> None:
    async def run() -> log_outcomes.AppendOutcome:
        handler = _FixedResponseHandler(200, _encode({"offset": 4}))
        async with (
            http_server.HttpServer(handler, "127.0.0.1", 0) as server,
            narrow_link.NarrowLink(
                http_client.Address("127.0.0.1", server.port), 500_000
            ) as link,
            http_client.ClientPool() as pool,
        ):
            client = log_client.LogClient(pool, link.address, 200)
            return await client.append("s", bytes(400_000))

    assert asyncio.run(run()) == log_outcomes.Appended(4)
