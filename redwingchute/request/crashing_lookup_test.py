"""Tests of plain requests that end each upstream that runs them, on loopback.

An upstream that ended is back a second later. The bound is the users': later
than three seconds after three upstreams have ended under a request, at most
three copies of it are sent on.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from redwingchute.testing import crash_traffic

_GATEWAYS = 4
_UPSTREAMS = 6
_MAX_LATE_SENDS = 3
_GAP_S = 0.25


def _run(
    scenario: Callable[[crash_traffic.CrashTraffic], Awaitable[None]],
    gateway_count: int = _GATEWAYS,
) -> None:
    """Runs a scenario on gateways with six upstreams of a plain service."""

    async def main() -> None:
        async with crash_traffic.CrashTraffic(
            gateway_count, _UPSTREAMS
        ) as traffic:
            await scenario(traffic)

    asyncio.run(main())


# Guards against lookups that end their upstreams and that all routers send on.
@pytest.mark.parametrize(
    ("path", "body"),
    [("/lookup/crash", b""), ("/post/x", b"crash")],
    ids=["repeatable", "not-repeatable"],
)
def test_copies_one_after_the_other_are_not_sent_on(
    path: str, body: bytes
) -> None:
    async def scenario(traffic: crash_traffic.CrashTraffic) -> None:
        for number in range(28):
            traffic.send(number % _GATEWAYS, path, body)
            await asyncio.sleep(_GAP_S)
        await traffic.finish()
        assert traffic.count_late_sends() <= _MAX_LATE_SENDS

    _run(scenario)


# Guards against copies that arrive together at many hosts, wave after wave.
def test_waves_of_copies_are_not_sent_on() -> None:
    async def scenario(traffic: crash_traffic.CrashTraffic) -> None:
        for _ in range(4):
            for number in range(_UPSTREAMS):
                traffic.send(number % _GATEWAYS, "/lookup/crash")
            await asyncio.sleep(2)
        await traffic.finish()
        assert traffic.count_late_sends() <= _MAX_LATE_SENDS

    _run(scenario)


# Guards against a process that starts later and does not know of the ends.
def test_a_router_that_starts_later_does_not_send_it_on() -> None:
    async def scenario(traffic: crash_traffic.CrashTraffic) -> None:
        for _ in range(4):
            traffic.send(0, "/lookup/crash")
            await asyncio.sleep(1)
        for gateway_number in (1, 2):
            await traffic.rig.start_gateway(f"huon-{gateway_number + 1}")
            for _ in range(8):
                traffic.send(gateway_number, "/lookup/crash")
                await asyncio.sleep(_GAP_S)
        await traffic.finish()
        assert traffic.count_late_sends() <= _MAX_LATE_SENDS

    _run(scenario, gateway_count=1)


# Guards against a lookup that many callers share and that is refused because
# upstreams ended, one after the other, while copies of it were running.
def test_a_lookup_that_many_share_is_served_while_upstreams_end() -> None:
    async def scenario(traffic: crash_traffic.CrashTraffic) -> None:
        traffic.rig.set_faults("l-", work_ms=40)
        for number in range(300):
            traffic.send(number % _GATEWAYS, "/lookup/hot")
            await asyncio.sleep(0.02)
            if number in (100, 120, 140):
                traffic.end_upstream(f"l-{number // 20 - 4}")
        await traffic.finish()
        assert traffic.count_served("/lookup/hot") >= 297

    _run(scenario)


# Guards against sound requests that are refused with the crashing one, since
# their upstreams end too.
def test_sound_lookups_beside_a_crashing_one_are_served() -> None:
    async def scenario(traffic: crash_traffic.CrashTraffic) -> None:
        for number in range(200):
            if number % 25 == 0:
                traffic.send(number // 25 % _GATEWAYS, "/lookup/crash")
            traffic.send(number % _GATEWAYS, f"/lookup/{number % 50}")
            await asyncio.sleep(0.03)
        await traffic.finish()
        served = sum(
            traffic.count_served(f"/lookup/{number}") for number in range(50)
        )
        assert served >= 0.9 * 200

    _run(scenario)
