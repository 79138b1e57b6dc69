"""Tests of hosts that are cut off from all upstreams, on loopback."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from redwingchute.testing import gateway_rig
from redwingchute.testing import upstream_cut

# How long a host has to cope with a cut before its callers must be served.
_CONTACT_S = 3.0
_ROUNDS = 20
_GAP_S = 0.05
# First tries at cut hosts are served at least this often, compared with those
# at the other hosts.
_MIN_RATIO = 2 / 3


def _run(
    scenario: Callable[[gateway_rig.GatewayRig], Awaitable[None]],
    gateway_count: int = 4,
) -> None:
    """Runs a scenario on gateways with two upstreams of each service."""

    async def main() -> None:
        async with gateway_rig.GatewayRig(gateway_count) as rig:
            await asyncio.sleep(1)
            await _send_rounds(rig)
            await scenario(rig)

    asyncio.run(main())


async def _send_rounds(rig: gateway_rig.GatewayRig) -> collections.Counter[int]:
    """Sends first tries of each kind to all gateways.

    Returns:
      How many were served completely, by the number of the gateway.
    """
    served: collections.Counter[int] = collections.Counter()

    async def send(number: int, path: str, body: bytes) -> None:
        headers = (
            {"token_usage": "100,3", "prompt_prefix": "aa:100", "model": "m"}
            if path.startswith("/draft")
            else {}
        )
        response = await rig.send_request(path, body, number, **headers)
        served[number] += response.status == 200 and response.is_complete

    tasks = []
    kinds = [("/lookup/x", b""), ("/post/x", b"body"), ("/draft/x", b"prompt")]
    for round_number in range(_ROUNDS):
        path, body = kinds[round_number % len(kinds)]
        for number in range(len(rig.gateways)):
            tasks.append(asyncio.ensure_future(send(number, path, body)))
        await asyncio.sleep(_GAP_S)
    await asyncio.gather(*tasks)
    return served


async def _cut(
    rig: gateway_rig.GatewayRig, count: int, kind: upstream_cut.CutKind
) -> None:
    """Cuts the first gateways off, and sends requests for some seconds."""
    for cut in rig.cuts[:count]:
        cut.begin(kind)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while loop.time() < began_s + _CONTACT_S:
        await _send_rounds(rig)


# Guards against hosts without a path to any upstream that refuse all callers,
# while their peers reach the upstreams.
@pytest.mark.parametrize("kind", upstream_cut.CutKind)
def test_hosts_without_paths_serve_callers_as_others_do(
    kind: upstream_cut.CutKind,
) -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        await _cut(rig, 3, kind)
        served = await _send_rounds(rig)
        for number in range(3):
            assert served[number] >= _MIN_RATIO * served[3]
        assert served[3] >= _MIN_RATIO * _ROUNDS

    _run(scenario)


# Guards against hosts that do not serve again after all of them were cut off.
def test_all_hosts_serve_again_after_a_cut_of_all() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        await _cut(rig, 2, upstream_cut.CutKind.HANGING)
        for cut in rig.cuts:
            cut.end()
        await asyncio.sleep(2 * _CONTACT_S)
        served = await _send_rounds(rig)
        assert served[0] == served[1] == _ROUNDS

    _run(scenario, gateway_count=2)
