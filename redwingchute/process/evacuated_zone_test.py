"""Tests of gateways whose operator evacuates a zone, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from redwingchute.standin import metadata_store
from redwingchute.testing import gateway_rig

_ZONE = "bruny"
# The configuration topic is read at once when it changes.
_READ_S = 1.0


def _run(
    scenario: Callable[[gateway_rig.GatewayRig], Awaitable[None]],
) -> None:
    """Runs a scenario with upstreams in two zones."""

    async def main() -> None:
        async with gateway_rig.GatewayRig(3) as rig:
            await rig.start_runner("l-3", "ledger", zone=_ZONE)
            await rig.start_runner("m-3", "llm", zone=_ZONE)
            await asyncio.sleep(_READ_S)
            await scenario(rig)

    asyncio.run(main())


async def _evacuate(
    rig: gateway_rig.GatewayRig, value: bytes | None = b"{}"
) -> None:
    """Evacuates the zone as the operator does, or takes that back."""
    rig.store.write_record("keyed.op", f"evacuate/{_ZONE}", value)
    await asyncio.sleep(_READ_S)


async def _count_served(
    rig: gateway_rig.GatewayRig, gateway_numbers: range
) -> int:
    """Sends requests to gateways; returns how many the zone got.

    All requests must be served.
    """
    before = rig.runners["l-3"].arrivals
    for number in gateway_numbers:
        for _ in range(10):
            response = await rig.send_request(
                "/lookup/x", gateway_number=number
            )
            assert response.status == 200
    return rig.runners["l-3"].arrivals - before


# Guards against requests that go to a zone which the operator empties.
def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        assert await _count_served(rig, range(3))
        await _evacuate(rig)
        assert not await _count_served(rig, range(3))
        await _evacuate(rig, None)
        assert await _count_served(rig, range(3))

    _run(scenario)


# Guards against a gateway that starts and does not know of the evacuation.
def test_a_gateway_that_starts_later_obeys() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        await _evacuate(rig)
        await rig.start_gateway("huon-4")
        assert not await _count_served(rig, range(3, 4))

    _run(scenario)


# Guards against streams that are cut or moved by an evacuation.
def test_streams_in_an_evacuated_zone_go_on() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        for name in ("m-1", "m-2"):
            rig.remove_runner(name)
        await asyncio.sleep(_READ_S)
        rig.set_faults("m-3", event_ms=20)
        stream = asyncio.ensure_future(rig.generate("/draft/x", 10, 80))
        await asyncio.sleep(0.2)
        rig.publish_runner("m-1")
        await _evacuate(rig)
        assert not stream.done()
        other = await rig.generate("/draft/y", 10, 5)
        response = await stream
        assert response.status == other.status == 200
        assert response.is_complete
        assert [len(rig.list_runs(name)) for name in ("m-1", "m-3")] == [1, 1]

    _run(scenario)


# Guards against requests that wait, or are sent all the same, while all
# upstreams of their service are in evacuated zones.
def test_a_service_in_evacuated_zones_is_refused_at_once() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        for name in ("l-1", "l-2"):
            rig.remove_runner(name)
        await _evacuate(rig)
        response = await rig.send_request("/post/x", b"x")
        assert response.status == 503
        assert b"evacuated" in response.body
        assert float(response.headers["retry-after"]) > 0
        assert not rig.runners["l-3"].arrivals

    _run(scenario)


# Guards against an evacuation that ends because the store lost it.
def test_an_evacuation_does_not_go_back_with_the_store() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.store.take_copy()
        await _evacuate(rig)
        await rig.store.restore_copy(
            metadata_store.Restoration(away_ms=100, rewrite_ms=1_200)
        )
        for _ in range(4):
            assert not await _count_served(rig, range(3))
            await asyncio.sleep(0.7)

    _run(scenario)
