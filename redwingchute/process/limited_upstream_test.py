"""Tests of fleets whose upstreams name a limit, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from redwingchute.testing import gateway_rig

# What the users allow: in each window one and a half times the named rate and a
# fixed number of requests.
_WINDOW_MS = 4_000
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5
_HOSTS = 8


def _run(
    scenario: Callable[[gateway_rig.GatewayRig], Awaitable[None]],
) -> None:
    """Runs a scenario against a fleet of gateways."""

    async def main() -> None:
        async with gateway_rig.GatewayRig(_HOSTS) as rig:
            await scenario(rig)

    asyncio.run(main())


async def _send_steadily(
    rig: gateway_rig.GatewayRig, rate_per_s: int, duration_s: float
) -> list[gateway_rig.Response]:
    """Sends requests to all gateways in turn; returns the responses."""
    tasks = []
    for number in range(int(rate_per_s * duration_s)):
        tasks.append(
            asyncio.ensure_future(
                rig.send_request(
                    f"/post/{number}",
                    b"body",
                    gateway_number=number % _HOSTS,
                )
            )
        )
        await asyncio.sleep(1 / rate_per_s)
    return list(await asyncio.gather(*tasks))


def _count_most(arrived_ms: Sequence[int]) -> int:
    """Returns the most arrivals in a window."""
    return max(
        (
            sum(0 <= other - first < _WINDOW_MS for other in arrived_ms)
            for first in arrived_ms
        ),
        default=0,
    )


def _find_allowed(rate_per_s: float) -> float:
    """Returns the arrivals that are allowed in a window."""
    return _ALLOWED_FACTOR * rate_per_s * _WINDOW_MS / 1_000 + _ALLOWED_EXTRA


# Guards against a fleet that sends an upstream more than the limit it named.
def test_an_upstream_gets_no_more_than_it_named() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.set_faults("l-1", named_limit="1")
        await _send_steadily(rig, 40, 0.5)
        rig.runners["l-1"].arrived_ms.clear()
        responses = await _send_steadily(rig, 40, 4.5)
        most = _count_most(rig.runners["l-1"].arrived_ms)
        assert 1 <= most <= _find_allowed(1)
        assert {response.status for response in responses} == {200}

    _run(scenario)


# Guards against a service whose upstreams all name a limit and get more, and
# against limits of which half stands idle while callers are refused.
def test_a_service_keeps_and_uses_the_limits_of_all_its_upstreams() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.set_faults("l-", named_limit="4")
        await _send_steadily(rig, 40, 0.5)
        # Hosts of a new fleet use a part of a limit at first.
        await asyncio.sleep(4.0)
        for name in ("l-1", "l-2"):
            rig.runners[name].arrived_ms.clear()
        responses = await _send_steadily(rig, 40, 4.5)
        for name in ("l-1", "l-2"):
            most = _count_most(rig.runners[name].arrived_ms)
            assert 0.5 * 4 * 4 <= most <= _find_allowed(4)
        assert {response.status for response in responses} == {200, 503}
        for response in responses:
            if response.status == 503:
                assert float(response.headers["retry-after"]) > 0

    _run(scenario)


# Guards against a limit that no router lifts because none sends there any more.
def test_a_limit_ends_when_the_upstream_no_longer_names_it() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.set_faults("l-", named_limit="2")
        await _send_steadily(rig, 40, 0.5)
        rig.set_faults("l-", named_limit="")
        await _send_steadily(rig, 40, 2.5)
        responses = await _send_steadily(rig, 40, 0.5)
        assert {response.status for response in responses} == {200}

    _run(scenario)
