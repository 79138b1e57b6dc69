"""Tests of gateways whose upstreams leave or ask for a pause, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from redwingchute.testing import gateway_rig


def _run(
    scenario: Callable[[gateway_rig.GatewayRig], Awaitable[None]],
    gateway_count: int = 1,
) -> None:
    """Runs a scenario against a number of gateways."""

    async def main() -> None:
        async with gateway_rig.GatewayRig(gateway_count) as rig:
            await scenario(rig)

    asyncio.run(main())


# Guards against requests to an upstream after it has stated that it leaves,
# from the host that it told and from the others.
def test_no_router_uses_an_upstream_that_stated_that_it_leaves() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.set_faults("l-1", is_leaving=True)
        while not rig.list_runs("l-1"):
            assert (await rig.send_request("/lookup/x")).status == 200
        await asyncio.sleep(0.2)
        arrivals = rig.runners["l-1"].arrivals
        for gateway_number in (0, 1):
            for number in range(6):
                response = await rig.send_request(
                    f"/lookup/{number}", gateway_number=gateway_number
                )
                assert response.status == 200
        assert rig.runners["l-1"].arrivals == arrivals

    _run(scenario, gateway_count=2)


# Guards against a rejection whose statement that the upstream leaves is lost.
def test_a_rejection_states_that_its_upstream_leaves() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.set_faults("l-1", is_leaving=True, is_full=True)
        for number in range(12):
            await rig.send_request(f"/lookup/{number}")
        assert rig.runners["l-1"].arrivals == 1

    _run(scenario)


# Guards against requests to upstreams that asked for a pause, and against
# refusals that let callers return before one of them is open again.
def test_upstreams_that_ask_for_a_pause_get_no_requests() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.set_faults("l-", is_full=True, retry_after_s=1.0)
        responses = [
            await rig.send_request(f"/lookup/{number}") for number in range(12)
        ]
        assert {response.status for response in responses} == {503}
        assert sum(found.arrivals for found in rig.runners.values()) == 2
        for response in responses[2:]:
            assert 0.4 < float(response.headers["retry-after"]) < 1.6
        rig.set_faults("l-", is_full=False)
        await asyncio.sleep(1.4)
        assert (await rig.send_request("/lookup/x")).status == 200

    _run(scenario)
