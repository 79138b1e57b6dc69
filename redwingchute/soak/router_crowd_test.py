"""Runs the process of a router of model pools before a crowd of clients."""

import asyncio
from collections.abc import Iterator
import contextlib
import pathlib
import subprocess
import sys

import pytest

from redwingchute.connection import http_client
from redwingchute.soak import crowd_client
from redwingchute.soak import crowds
from redwingchute.soak import process_usage
from redwingchute.testing import gateway_rig

pytestmark = pytest.mark.crowd

_MEMORY_MB = 80
_COUNT = 64
_POLL_S = 0.05
_START_TIMEOUT_S = 20.0
_SEND_S = 15.0
# A process whose memory does not grow for this long has read all.
_STEADY_S = 1.0


@contextlib.contextmanager
def _run(
    directory: pathlib.Path, *arguments: str
) -> Iterator[subprocess.Popen[bytes]]:
    """Runs the program with arguments until the context ends."""
    path = directory / f"{arguments[0]}.log"
    with path.open("wb") as log:
        process = subprocess.Popen(
            (sys.executable, "-m", "redwingchute.main", *arguments),
            stdout=log,
            stderr=log,
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()


async def _wait_until_open(address: http_client.Address) -> None:
    """Waits until a process listens on an address."""
    async with asyncio.timeout(_START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(
                    address.ip, address.port
                )
                writer.close()
                return
            await asyncio.sleep(_POLL_S)


async def _wait_until_steady(process_id: int) -> None:
    """Waits until a process has read what was sent to it."""
    peak_mb = 0.0
    while (now_mb := process_usage.read_peak_memory_mb(process_id)) > peak_mb:
        peak_mb = now_mb
        await asyncio.sleep(_STEADY_S)


# Bodies of many callers ended a process: nothing bounded them together.
@pytest.mark.parametrize("port_number", [1, 2], ids=["callers", "admin"])
def test_a_router_bears_large_bodies(
    port_number: int, tmp_path: pathlib.Path
) -> None:
    ports = gateway_rig.find_free_ports(4)
    platform, *listen = [f"127.0.0.1:{port}" for port in ports]
    arguments = (
        "router",
        "--host-name=huon-1",
        "--zone=huon",
        f"--platform={platform}",
        f"--listen={listen[0]}",
        f"--admin-listen={listen[1]}",
        f"--peer-listen={listen[2]}",
        f"--memory-mb={_MEMORY_MB}",
        "--fleet-key=a-key-of-the-fleet",
    )
    crowded = http_client.Address("127.0.0.1", ports[port_number])
    callers = http_client.Address("127.0.0.1", ports[1])

    async def meet(process_id: int) -> tuple[float, int]:
        await _wait_until_open(callers)
        async with contextlib.AsyncExitStack() as stack:
            sending = []
            for number in range(_COUNT):
                member = crowd_client.CrowdClient(crowded, reads=True)
                await stack.enter_async_context(member)
                segments = crowds.send_body(missing_bytes=1)(number)
                sending.append(asyncio.ensure_future(member.send(segments)))
            await asyncio.wait(sending, timeout=_SEND_S)
            for task in sending:
                task.cancel()
            await _wait_until_steady(process_id)
            async with crowd_client.CrowdClient(
                callers, reads=False
            ) as ordinary:
                await ordinary.send(crowds.send_ordinary_request())
                status = await ordinary.read_status()
        return process_usage.read_peak_memory_mb(process_id), status

    with (
        _run(tmp_path, "stand-in", "platform", f"--listen={platform}"),
        _run(tmp_path, *arguments) as process,
    ):
        peak_memory_mb, status = asyncio.run(meet(process.pid))
        assert process.poll() is None
    print(peak_memory_mb, status)
    assert peak_memory_mb <= _MEMORY_MB
    # No configuration was published, so that nothing can be served.
    assert status == 503
