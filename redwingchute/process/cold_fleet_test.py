"""Tests of fleets that share one cold upstream, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from redwingchute.standin import runner
from redwingchute.testing import gateway_rig

# What the users' rule allows: in each second one and a half times the rate that
# a cold upstream bears, and a fixed number of requests.
_WINDOW_MS = 1_000
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5
_COLD_PER_S = 4.0
_COLD_START_S = 20.0
_HOSTS = 12
# Long enough for an entry to be read by all hosts.
_READ_S = 1.2


def _run(
    scenario: Callable[[gateway_rig.GatewayRig], Awaitable[None]],
    cold_per_s: float = _COLD_PER_S,
) -> None:
    """Runs a scenario against a fleet whose plain service can be cold."""

    async def main() -> None:
        document = gateway_rig.make_document()
        document["services"][0] |= {
            "coldStartS": _COLD_START_S,
            "coldPerS": cold_per_s,
        }
        async with gateway_rig.GatewayRig(_HOSTS, document) as rig:
            await scenario(rig)

    asyncio.run(main())


async def _send_steadily(
    rig: gateway_rig.GatewayRig,
    rate_per_s: int,
    duration_s: float,
    path: str = "/post/{}",
) -> list[gateway_rig.Response]:
    """Sends requests to all gateways in turn; returns the responses."""
    tasks = []
    for number in range(int(rate_per_s * duration_s)):
        tasks.append(
            asyncio.ensure_future(
                rig.send_request(
                    path.format(number),
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


def _check_bound(found: runner.Runner) -> None:
    """Checks that an upstream never got more than it bears while cold."""
    allowed = _ALLOWED_FACTOR * _COLD_PER_S + _ALLOWED_EXTRA
    assert _count_most(found.arrived_ms) <= allowed


async def _leave_only_cold(rig: gateway_rig.GatewayRig, cold_ms: int) -> None:
    """Replaces all upstreams of the plain service by one that is cold."""
    rig.remove_runner("l-1")
    rig.remove_runner("l-2")
    await rig.start_runner("l-3", "ledger", cold_ms=cold_ms)
    await asyncio.sleep(_READ_S)


# Guards against hosts that each send a cold upstream a little, and all of them
# together far more than it bears.
def test_hosts_together_send_a_cold_upstream_no_more_than_it_bears() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        await _leave_only_cold(rig, 30_000)
        responses = await _send_steadily(rig, 40, 4.0)
        _check_bound(rig.runners["l-3"])
        assert {response.status for response in responses} == {200, 503}
        served = sum(response.status == 200 for response in responses)
        assert served >= _COLD_PER_S
        for response in responses:
            if response.status == 503:
                assert float(response.headers["retry-after"]) > 0

    _run(scenario)


# Guards against an upstream that came back under its id and gets, cold, the
# work of a warm one until its entry has been read.
def test_an_upstream_that_returns_under_its_id_counts_as_cold() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.remove_runner("l-2")
        await _send_steadily(rig, 40, 1.5)
        # Nobody hears of the new start before the end.
        found = rig.runners["l-1"]
        rig.set_faults("l-1", crash_ms=200, cold_start_ms=30_000)
        found.end_and_restart()
        await _send_steadily(rig, 40, 0.4)
        found.arrived_ms.clear()
        await _send_steadily(rig, 40, 3.0)
        _check_bound(found)

    _run(scenario)


# Guards against cold upstreams that get requests while warm ones have room.
def test_warm_upstreams_serve_while_another_is_cold() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        await rig.start_runner("l-3", "ledger", cold_ms=30_000)
        await asyncio.sleep(_READ_S)
        responses = await _send_steadily(rig, 40, 1.5)
        assert {response.status for response in responses} == {200}
        _check_bound(rig.runners["l-3"])

    _run(scenario)


# Guards against a limit that stays when the upstream is warm, and against one
# where the configuration has none.
def test_a_warm_upstream_and_one_without_a_cold_rate_have_no_limit() -> None:
    async def warm_up(rig: gateway_rig.GatewayRig) -> None:
        await _leave_only_cold(rig, 2_000)
        rig.publish_runner("l-3")
        await asyncio.sleep(2.0)
        rig.publish_runner("l-3")
        await asyncio.sleep(_READ_S)
        responses = await _send_steadily(rig, 40, 1.0)
        assert {response.status for response in responses} == {200}

    async def stay_cold(rig: gateway_rig.GatewayRig) -> None:
        await _leave_only_cold(rig, 30_000)
        responses = await _send_steadily(rig, 40, 1.0)
        assert {response.status for response in responses} == {200}

    _run(warm_up)
    _run(stay_cold, cold_per_s=0.0)
