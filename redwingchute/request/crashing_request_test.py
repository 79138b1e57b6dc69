"""Tests of requests that end each upstream that runs them, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from redwingchute.testing import gateway_rig

_RUNNERS = ("m-1", "m-2", "m-3", "m-4", "m-5", "m-6")
# After three upstreams have ended under a request, at most this many of its
# repeats may be sent to upstreams.
_CRASHES = 3
_MAX_SENDS_AFTER = 3


def _run(
    scenario: Callable[[gateway_rig.GatewayRig], Awaitable[None]],
    gateway_count: int = 1,
) -> None:
    """Runs a scenario with six model runners that the marker crashes."""

    async def main() -> None:
        async with gateway_rig.GatewayRig(gateway_count) as rig:
            for runner_id in _RUNNERS[2:]:
                await rig.start_runner(runner_id, "llm")
            rig.set_faults("m-", crash_marker="crash")
            await asyncio.sleep(1)
            await scenario(rig)

    asyncio.run(main())


async def _send(
    rig: gateway_rig.GatewayRig,
    gateway_number: int,
    path: str = "/draft/x",
    body: bytes = b"crash",
) -> int:
    """Sends a request and lists the runners that it ended; its status."""
    crashes = {name: rig.runners[name].crashes for name in _RUNNERS}
    response = await rig.send_request(
        path,
        body,
        gateway_number,
        token_usage="100,6",
        prompt_prefix="aa:100",
        model="m",
    )
    await asyncio.sleep(0.4)
    for name, before in crashes.items():
        if rig.runners[name].crashes > before:
            rig.publish_runner(name)
    return response.status


def _count_arrivals(rig: gateway_rig.GatewayRig) -> int:
    """Returns the number of requests that reached model runners."""
    return sum(rig.runners[name].arrivals for name in _RUNNERS)


# Guards against routers that start, and again send a request that is known to
# end upstreams.
def test_a_router_that_starts_later_knows_a_crashing_request() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        for _ in range(4):
            await _send(rig, 0)
        for number in range(1, 4):
            await rig.start_gateway(f"huon-{number + 1}")
            for _ in range(3):
                await _send(rig, number)
        assert _count_arrivals(rig) <= _CRASHES + _MAX_SENDS_AFTER

    _run(scenario)


# Guards against copies of a crashing request that were accepted before it was
# known, and are sent on or retried after that.
def test_copies_that_wait_are_not_sent_after_the_request_is_known() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        copies = 12
        statuses = await asyncio.gather(
            *(_send(rig, 0, "/summary/x") for _ in range(copies))
        )
        assert all(status in (502, 503) for status in statuses)
        assert _count_arrivals(rig) <= copies + _MAX_SENDS_AFTER

    _run(scenario)
