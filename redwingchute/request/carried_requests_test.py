"""Tests of requests that a peer carries to their upstreams, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from redwingchute.connection import http_client
from redwingchute.core import fleet
from redwingchute.testing import gateway_rig
from redwingchute.testing import scripted_upstream
from redwingchute.testing import upstream_cut
from redwingchute.wire import codec

_STREAM = {"token_usage": "100,40", "prompt_prefix": "aa:100", "model": "m"}


def _run(
    scenario: Callable[[gateway_rig.GatewayRig], Awaitable[None]],
) -> None:
    """Runs a scenario on a gateway without paths, and one that has them."""

    async def main() -> None:
        document = gateway_rig.make_document()
        for route in document["routes"]:
            route["timeoutMs"] = 8_000
        async with gateway_rig.GatewayRig(2, document) as rig:
            await asyncio.sleep(1)
            rig.cuts[0].begin(upstream_cut.CutKind.RESET)
            await scenario(rig)

    asyncio.run(main())


def test_a_large_body_goes_by_way_of_a_peer() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        body = b"x" * 4_000_000
        response = await rig.send_request("/post/x", body)
        assert response.status == 200
        assert len(rig.list_runs("l-")) == 1

    _run(scenario)


# Guards against upstreams that work on for callers that have left.
def test_an_upstream_learns_that_the_caller_has_left() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.set_faults("m-", event_ms=50)
        request = asyncio.ensure_future(
            rig.send_request("/draft/x", b"prompt", 0, **_STREAM)
        )
        await asyncio.sleep(0.4)
        assert len(rig.list_runs("m-")) == 1
        await rig.close_caller_connections()
        await asyncio.sleep(0.5)
        assert sum(found.cancelled for found in rig.runners.values()) == 1
        assert not (await request).is_complete

    _run(scenario)


# Guards against a peer that stops while it carries streams of other hosts.
def test_a_peer_that_stops_finishes_what_it_carries() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.set_faults("m-", event_ms=80)
        request = asyncio.ensure_future(
            rig.send_request(
                "/draft/x", b"prompt", 0, deadline_ms="8000", **_STREAM
            )
        )
        await asyncio.sleep(0.4)
        await rig.gateways[1].stop()
        await rig.gateways[1].__aexit__(None, None, None)
        response = await request
        assert response.is_complete
        assert response.body.count(b"data:") == 40

    _run(scenario)


# Guards against a host that stays on the longer way after a cut.
def test_the_direct_path_is_used_again_after_a_cut() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        for _ in range(8):
            response = await rig.send_request("/post/x", b"body")
            assert response.status == 200
        assert rig.cuts[0].open_count == 0
        rig.cuts[0].end()
        await asyncio.sleep(1.5)
        for _ in range(8):
            response = await rig.send_request("/post/x", b"body")
            assert response.status == 200
        assert rig.cuts[0].open_count > 0

    _run(scenario)


# Guards against tunnels to addresses that are no upstreams of the fleet.
def test_a_peer_carries_only_to_upstreams_that_it_lists() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        born_ms = rig.runners["l-1"].born_ms
        network = rig.gateways[0].network
        for upstream, born, is_open in (
            ("l-1", born_ms, True),
            ("l-1", born_ms - 1, False),
            ("127.0.0.1:1", born_ms, False),
        ):
            link = await network.dial_tunnel("huon-2")
            assert link is not None
            link.send(fleet.TunnelRequest(upstream, born))
            reply = await link.receive()
            assert isinstance(reply, codec.Decoded)
            assert reply.record.is_open == is_open
            link.close()

    _run(scenario)


# Guards against a body that was cut by the end of its carrier, and that looks
# complete because only the end of the connection marks its end.
def test_a_body_without_length_is_not_complete_by_way_of_a_peer() -> None:
    async def main(carrier: str) -> object:
        async def script(
            connection: scripted_upstream.UpstreamConnection,
        ) -> None:
            await connection.read_request()
            await connection.send(b"HTTP/1.1 200 OK\r\n\r\nhalf of it")

        async with (
            scripted_upstream.ScriptedUpstream(script) as upstream,
            http_client.ClientPool() as pool,
        ):
            streams = await asyncio.open_connection(
                upstream.address.ip, upstream.address.port
            )
            connection = pool.adopt(upstream.address, *streams, carrier)
            await connection.send_request("GET", "/x", [], b"")
            await connection.read_head()
            return await connection.read_body(100)

    assert asyncio.run(main("")) == b"half of it"
    broken = asyncio.run(main("huon-2"))
    assert isinstance(broken, http_client.ExchangeBroken)
