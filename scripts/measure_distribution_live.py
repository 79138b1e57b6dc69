"""Measures the distribution of configuration changes with real processes.

Starts the stand-in of the platform and routers on loopback, sends changes to
one router and polls it until the new version is in force on all routers. The
measured time includes the command, its append, and the polls.

Usage: python scripts/measure_distribution_live.py [--changes N] [SIZE ...]
"""

import argparse
import asyncio
import contextlib
import json
import os
import statistics
import sys
import time
from typing import Any

from redwingchute.connection import http_client
from redwingchute.testing import configuration_builders as builders
from redwingchute.version import changes
from redwingchute.version import loader
from redwingchute.wire import registry

_ZONE_COUNT = 4
# Each router gets the addresses of this many of the first routers as peers.
_SEED_PEER_COUNT = 3
_IN_FORCE_TIMEOUT_S = 60.0
_POLL_PERIOD_S = 0.01
_START_TIMEOUT_S = 15.0
_REQUEST_TIMEOUT_MS = 30_000


class Fleet:
    """The processes of one measurement; a context manager that stops them.

    Attributes:
      admin_addresses: The admin addresses of the routers.
    """

    def __init__(self) -> None:
        """Starts without processes."""
        self._processes: list[asyncio.subprocess.Process] = []
        self._pool = http_client.ClientPool()
        self.admin_addresses: list[http_client.Address] = []

    async def __aenter__(self) -> "Fleet":
        """Opens the connection pool."""
        await self._pool.__aenter__()
        return self

    async def __aexit__(self, *unused: Any) -> None:
        """Kills the processes that it started."""
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self._processes:
            await process.wait()
        await self._pool.__aexit__(None, None, None)

    async def _start(self, *arguments: str) -> str:
        """Starts a process and returns the first line that it prints."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "redwingchute.main",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self._processes.append(process)
        assert process.stdout is not None
        async with asyncio.timeout(_START_TIMEOUT_S):
            line = await process.stdout.readline()
        return line.decode().strip()

    async def start(self, size: int) -> None:
        """Starts the platform, publishes a configuration and starts routers.

        Args:
          size: The number of routers.
        """
        line = await self._start(
            "stand-in", "platform", "--listen", "127.0.0.1:0"
        )
        platform = http_client.Address.parse(line.split()[-1])
        await self._publish(platform)
        peers: list[str] = []
        for index in range(size):
            zone = f"zone-{index % _ZONE_COUNT}"
            line = await self._start(
                "router",
                *("--host-name", f"router-{index}", "--zone", zone),
                *("--platform", str(platform)),
                *("--fleet-key", "measurement-fleet-key"),
                *("--listen", "127.0.0.1:0"),
                *("--admin-listen", "127.0.0.1:0"),
                *("--peer-listen", "127.0.0.1:0"),
                *("--peers", ",".join(peers)),
            )
            fields = dict(
                part.split("=") for part in line.split() if "=" in part
            )
            self.admin_addresses.append(
                http_client.Address.parse(fields["admin"])
            )
            if len(peers) < _SEED_PEER_COUNT:
                peers.append(f"router-{index}={zone}@{fields['peers']}")

    async def _publish(self, platform: http_client.Address) -> None:
        """Appends the first configuration to the log."""
        text = loader.dump_configuration(builders.make_configuration())
        change = changes.ConfigurationChange(
            os.urandom(16),
            "ada",
            "start",
            0,
            0,
            changes.ReplaceDocument(loader.compress_document(text)),
        )
        body = registry.make_codec().encode(change)
        target = f"/streams/{changes.STREAM}/records"
        fetched = await self._pool.fetch(
            platform, "POST", target, [], body, _REQUEST_TIMEOUT_MS
        )
        assert isinstance(fetched, http_client.Fetched), fetched

    async def run_command(self, command: str) -> dict[str, Any]:
        """Sends a command to the first router and returns the result table."""
        body = json.dumps({"command": command, "output": "json"}).encode()
        fetched = await self._pool.fetch(
            self.admin_addresses[0],
            "POST",
            "/admin/v1/command",
            [("authorization", f"Bearer {builders.ADMIN_KEY}")],
            body,
            _REQUEST_TIMEOUT_MS,
        )
        assert isinstance(fetched, http_client.Fetched), fetched
        table: dict[str, Any] = json.loads(fetched.body)
        return table

    async def wait_until_in_force(self, version: int, size: int) -> None:
        """Waits until a version is in force on all routers.

        Args:
          version: The version.
          size: The number of routers.

        Raises:
          TimeoutError: It was not in force on all after `_IN_FORCE_TIMEOUT_S`.
        """
        async with asyncio.timeout(_IN_FORCE_TIMEOUT_S):
            while True:
                table = await self.run_command("show in force")
                rows = table.get("rows", [])
                # The third column is the version in force on the router.
                updated = [row[2] for row in rows if row[2] >= version]
                if len(updated) == size:
                    return
                await asyncio.sleep(_POLL_PERIOD_S)


async def measure(size: int, count: int) -> list[float]:
    """Returns the time of each change at one fleet size, in milliseconds.

    Args:
      size: The number of routers.
      count: The number of changes.
    """
    times_ms = []
    async with Fleet() as fleet:
        await fleet.start(size)
        await fleet.wait_until_in_force(1, size)
        for number in range(count):
            share = number % 100 / 100
            started = time.monotonic()
            table = await fleet.run_command(
                f'set reserve for budget "{builders.BUDGET}" to {share}'
                ' because "measurement"'
            )
            # The fourth column is the version that the command created.
            await fleet.wait_until_in_force(table["rows"][0][3], size)
            times_ms.append((time.monotonic() - started) * 1_000)
    return times_ms


def main() -> None:
    """Measures all fleet sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("sizes", type=int, nargs="*", default=[3, 8, 20, 40])
    parser.add_argument("--changes", type=int, default=20)
    options = parser.parse_args()
    print("| processes | changes | median ms | slowest ms |")
    print("|---|---|---|---|")
    for size in options.sizes:
        times_ms = asyncio.run(measure(size, options.changes))
        print(
            f"| {size} | {len(times_ms)} | {statistics.median(times_ms):.0f} |"
            f" {max(times_ms):.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
