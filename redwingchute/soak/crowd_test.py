"""Runs a gateway's process before crowds of clients that misbehave.

The settings state little memory and few descriptors, so that a small crowd
would exceed them. Each test has the processes of its own and runs alone.
"""

import asyncio
import pathlib

import pytest

from redwingchute.core import forwarding
from redwingchute.soak import crowds
from redwingchute.testing import crowd_rig

pytestmark = pytest.mark.crowd

_MEMORY_MB = 80
_MAX_DESCRIPTORS = 400
# What the smallest machine has that a gateway runs on.
_SMALLEST_MEMORY_MB = 128
_SMALLEST_DESCRIPTORS = 1_638
_LIMITS = forwarding.ConnectionLimits(
    header_bytes=crowds.HEADER_BYTES,
    body_bytes=crowds.BODY_BYTES,
    receive_ms=60_000,
    idle_ms=60_000,
)


# Guards against clients that end or block a process by what it holds for them.
@pytest.mark.parametrize("name", crowds.CROWDS)
def test_a_process_bears_a_crowd(name: str, tmp_path: pathlib.Path) -> None:
    async def run() -> crowd_rig.Observation:
        async with crowd_rig.CrowdRig(
            tmp_path, _MEMORY_MB, _MAX_DESCRIPTORS, _LIMITS
        ) as rig:
            return await rig.meet(crowds.CROWDS[name])

    seen = asyncio.run(run())
    print(seen)
    assert seen.is_alive
    assert seen.peak_memory_mb <= _MEMORY_MB
    assert seen.peak_descriptors <= _MAX_DESCRIPTORS
    assert seen.status == 200


# Guards against limits that refuse a client inside those of the configuration.
@pytest.mark.parametrize("name", crowds.make_calm_requests())
def test_a_single_request_inside_the_limits_is_served(
    name: str, tmp_path: pathlib.Path
) -> None:
    async def run() -> crowd_rig.Observation:
        async with crowd_rig.CrowdRig(
            tmp_path,
            _SMALLEST_MEMORY_MB,
            _SMALLEST_DESCRIPTORS,
            forwarding.ConnectionLimits(),
        ) as rig:
            request = crowds.make_calm_requests()[name]
            return rig.observe(await rig.send_request(request))

    seen = asyncio.run(run())
    print(seen)
    assert seen.status == 200
    assert seen.peak_memory_mb <= _SMALLEST_MEMORY_MB
