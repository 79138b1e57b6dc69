"""Tests of upstreams that fail if they reject too much, on loopback."""

import asyncio
import collections

from redwingchute.testing import gateway_rig

_HOSTS = 8
_UPSTREAMS = 4
_CAPACITY = 2
_WORK_MS = 200
# Three times what the upstreams can run.
_RATE_PER_S = 3 * _UPSTREAMS * _CAPACITY * 1_000 // _WORK_MS
_MAX_REJECTIONS = 3
# How long hosts have to learn of it.
_CONTACT_S = 3.0
_DURATION_S = 6.0
# What the users allow in one time in which a service is brittle.
_ALLOWED_FALLS = 2 + 0.1 * _UPSTREAMS


async def _send_steadily(
    rig: gateway_rig.GatewayRig, duration_s: float
) -> collections.Counter[int]:
    """Sends requests to all gateways in turn; counts the statuses."""
    tasks = []
    for number in range(int(_RATE_PER_S * duration_s)):
        kind, body = (("lookup", b""), ("post", b"body"))[number % 2]
        tasks.append(
            asyncio.ensure_future(
                rig.send_request(f"/{kind}/{number}", body, number % _HOSTS)
            )
        )
        await asyncio.sleep(1 / _RATE_PER_S)
    responses = await asyncio.gather(*tasks)
    return collections.Counter(response.status for response in responses)


async def _list_starts(rig: gateway_rig.GatewayRig) -> None:
    """Lists each new start of an upstream soon."""
    born_ms: dict[str, int] = {}
    while True:
        for name, found in rig.runners.items():
            if born_ms.get(name) != found.born_ms:
                born_ms[name] = found.born_ms
                rig.publish_runner(name)
        await asyncio.sleep(0.05)


def _count_falls(rig: gateway_rig.GatewayRig) -> int:
    return sum(found.crashes for found in rig.runners.values())


async def _play(named_brittleness: str) -> tuple[int, int]:
    """Overloads upstreams that fail; returns the falls and the served."""
    async with gateway_rig.GatewayRig(_HOSTS) as rig:
        for number in range(2, _UPSTREAMS):
            await rig.start_runner(f"l-{number + 1}", "ledger")
        rig.set_faults("l-", capacity=_CAPACITY, work_ms=_WORK_MS)
        lister = asyncio.ensure_future(_list_starts(rig))
        await asyncio.sleep(1)
        await _send_steadily(rig, 1)
        rig.set_faults(
            "l-",
            named_brittleness=named_brittleness,
            max_rejections=_MAX_REJECTIONS,
            crash_ms=2_000,
        )
        await _send_steadily(rig, _CONTACT_S)
        before = _count_falls(rig)
        statuses = await _send_steadily(rig, _DURATION_S)
        lister.cancel()
        return _count_falls(rig) - before, statuses[200]


# Guards against hosts that together overload upstreams which fail if they have
# to reject too much, and against callers who pay for sparing them.
def test_brittle_upstreams_are_spared_and_callers_served_no_worse() -> None:
    falls_unnamed, served_unnamed = asyncio.run(_play(""))
    falls, served = asyncio.run(_play(str(_MAX_REJECTIONS)))
    assert falls_unnamed > _ALLOWED_FALLS
    assert falls <= _ALLOWED_FALLS
    assert served >= served_unnamed
