"""Restarts all routers in turn under load and counts failed requests.

Starts stand-ins and three routers as processes on loopback. A simple load
balancer checks the readiness of each router five times a second and sends
streamed requests to the ready ones. Prints the number of requests per outcome
as JSON. A request counts as `whole` if its response was complete, otherwise as
`not whole` with the error, also if it was refused. The exit status is 1 if any
request was `not whole`.
"""

import argparse
import asyncio
import collections
import itertools
import json
import pathlib
import signal
import subprocess
import sys
import tempfile

import measure_overhead as common

from redwingchute.connection import http_client

_LOOPBACK = "127.0.0.1:0"
_READINESS_PERIOD_S = 0.2
_PAUSE_AFTER_RESTART_S = 3.0


class Fleet:
    """The routers, and the load balancer's list of the ready ones.

    Attributes:
      processes: All processes.
      lines: The `listening on` line of each router, by name.
      children: The process of each router, by name.
      ready: The names of the routers that were ready at the last check.
      platform: The address of the platform's stand-in.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Starts the stand-ins and publishes a configuration."""
        self.processes = common.Processes(folder)
        self.lines: dict[str, str] = {}
        self.children: dict[str, subprocess.Popen[str]] = {}
        self.ready: list[str] = []
        start = self.processes.start
        line = start("stand-in", "platform", "--listen", _LOOPBACK)
        self.platform = str(common.find_address(line, "on"))
        line = start(
            *("stand-in", "engine", "--listen", _LOOPBACK),
            *("--model", "yield-model", "--slots", "64"),
            *("--token-interval-ms", "20"),
        )
        document = folder / "configuration.json"
        engine = common.find_address(line, "on")
        document.write_text(common.make_configuration(engine))
        common.run_command(
            *("publish", str(document), "--platform", self.platform),
            *("--author", "ops", "--reason", "rolling restart"),
        )

    def start_router(self, name: str) -> None:
        """Starts a router with all other routers as peers."""
        peers = ",".join(
            f"{other}=huon@{common.find_address(line, 'peers')}"
            for other, line in self.lines.items()
            if other != name
        )
        self.lines[name] = self.processes.start(
            *("router", "--host-name", name, "--zone", "huon"),
            *("--platform", self.platform, "--peers", peers),
            *("--fleet-key", "rolling-restart-key"),
            *("--listen", _LOOPBACK, "--admin-listen", _LOOPBACK),
            *("--peer-listen", _LOOPBACK, "--balancer-lag-ms", "1000"),
        )
        self.children[name] = self.processes.children[-1]

    async def poll_readiness(self, pool: http_client.ClientPool) -> None:
        """Updates the list of ready routers periodically."""
        while True:
            ready = []
            for name, line in list(self.lines.items()):
                fetched = await pool.fetch(
                    common.find_address(line, "admin"),
                    *("GET", "/readyz", [], b"", 500),
                )
                is_up = isinstance(fetched, http_client.Fetched)
                if is_up and fetched.status == 200:
                    ready.append(name)
            self.ready = ready
            await asyncio.sleep(_READINESS_PERIOD_S)

    async def restart(self, name: str) -> int:
        """Shuts a router down gracefully and restarts it.

        Returns:
          The exit status of the process that was stopped.
        """
        child = self.children[name]
        child.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(child.wait, 60)
        await asyncio.to_thread(self.start_router, name)
        return status


async def run_load(
    fleet: Fleet,
    pool: http_client.ClientPool,
    outcomes: collections.Counter[str],
) -> None:
    """Sends requests one after another to the ready routers in turn.

    Args:
      fleet: The routers.
      pool: The connections to them.
      outcomes: Counts the requests per outcome.
    """
    for number in itertools.count():
        if not fleet.ready:
            await asyncio.sleep(0.05)
            continue
        name = fleet.ready[number % len(fleet.ready)]
        address = common.find_address(fleet.lines[name], "on")
        latencies = common.Latencies()
        try:
            await common.time_stream(
                pool,
                address,
                common.make_chat_fields(f"shift {number}"),
                latencies,
            )
            outcomes["whole"] += 1
        except (AssertionError, RuntimeError) as error:
            outcomes[f"not whole: {str(error)[:200]}"] += 1


async def run(folder: pathlib.Path, workers: int) -> collections.Counter[str]:
    """Restarts every router under load.

    Args:
      folder: The folder of the processes' files.
      workers: The number of concurrent requests.

    Returns:
      The number of requests and of router exits per outcome.
    """
    fleet = Fleet(folder)
    outcomes: collections.Counter[str] = collections.Counter()
    names = [f"huon-{number}" for number in (1, 2, 3)]
    try:
        for name in names:
            fleet.start_router(name)
        admin = common.find_address(fleet.lines[names[0]], "admin")
        await asyncio.to_thread(
            common.run_command, *common.make_top_up_command(admin)
        )
        async with http_client.ClientPool() as pool:
            tasks = [asyncio.ensure_future(fleet.poll_readiness(pool))]
            tasks += [
                asyncio.ensure_future(run_load(fleet, pool, outcomes))
                for _ in range(workers)
            ]
            await asyncio.sleep(_PAUSE_AFTER_RESTART_S)
            for name in names:
                status = await fleet.restart(name)
                outcomes[f"exit status {status}"] += 1
                await asyncio.sleep(_PAUSE_AFTER_RESTART_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        for child in fleet.processes.children:
            if child.poll() is None:
                child.send_signal(signal.SIGTERM)
        for child in fleet.processes.children:
            child.wait(timeout=60)
    return outcomes


def main() -> int:
    """Restarts the routers and prints the outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=8)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        outcomes = asyncio.run(run(pathlib.Path(name), options.workers))
    print(json.dumps(outcomes, indent=2))
    return int(any(outcome.startswith("not whole") for outcome in outcomes))


if __name__ == "__main__":
    sys.exit(main())
