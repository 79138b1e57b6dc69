"""Measures the latency that a router adds to streamed requests.

Starts stand-ins and one router as processes on loopback and alternately sends
the same streamed requests directly to the engine and through the router. Prints
the median and the 95th percentile of the time to the first token and of the
time between tokens as JSON.
"""

import argparse
import asyncio
import hashlib
import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

from hdrh import histogram

from redwingchute.connection import http_client

_KEY = "measure-key"
_OPERATOR_KEY = "measure-operator-key"
_MAX_LATENCY_US = 60_000_000
_CHAT = "/v1/chat/completions"
_COMMAND = [sys.executable, "-m", "redwingchute.main"]


class Processes:
    """The child processes of a measurement.

    Attributes:
      children: The processes in order of their start.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Starts without processes; their errors go to files in the folder."""
        self._folder = folder
        self.children: list[subprocess.Popen[str]] = []

    def start(self, *arguments: str) -> str:
        """Starts a command and returns the first line that it prints."""
        error_file = (self._folder / f"{len(self.children)}.err").open("w")
        child = subprocess.Popen(
            [*_COMMAND, *arguments],
            stdout=subprocess.PIPE,
            stderr=error_file,
            text=True,
        )
        self.children.append(child)
        assert child.stdout is not None
        return child.stdout.readline()

    def stop(self) -> None:
        """Stops all processes."""
        for child in reversed(self.children):
            child.send_signal(signal.SIGTERM)
        for child in reversed(self.children):
            child.wait(timeout=30)


def find_address(line: str, name: str) -> http_client.Address:
    """Returns the address after a name in a `listening on` line."""
    found = re.search(rf"{name}[ =]([0-9.]+:[0-9]+)", line)
    assert found is not None, line
    return http_client.Address.parse(found.group(1))


def run_command(*arguments: str) -> None:
    """Runs a command and retries it while the fleet starts.

    Args:
      arguments: The arguments of `redwingchute`.

    Raises:
      RuntimeError: The command failed 50 times; the text is its last error
        output.
    """
    for _ in range(50):
        result = subprocess.run(
            [*_COMMAND, *arguments], capture_output=True, check=False
        )
        if result.returncode == 0:
            return
        time.sleep(0.2)
    raise RuntimeError(result.stderr.decode())


class Latencies:
    """The latencies of one path.

    Attributes:
      first: The histogram of times to the first token, in microseconds.
      between: The histogram of times between tokens, in microseconds.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.first = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
        self.between = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)

    def summarise(self) -> dict[str, float]:
        """Returns the 50th and 95th percentiles in milliseconds."""
        return {
            f"{name}_p{percent}_ms": recorded.get_value_at_percentile(percent)
            / 1_000
            for name, recorded in (
                ("first_token", self.first),
                ("between_tokens", self.between),
            )
            for percent in (50, 95)
        }


async def time_stream(
    pool: http_client.ClientPool,
    address: http_client.Address,
    fields: dict[str, Any],
    latencies: Latencies,
) -> None:
    """Sends one streamed request and records its latencies.

    Args:
      pool: The connections.
      address: The address of the engine or of the router.
      fields: The JSON fields of the request.
      latencies: Records the latencies.

    Raises:
      AssertionError: The connection failed, or the status was not 200.
      RuntimeError: The stream broke before its end.
    """
    headers = [
        ("content-type", "application/json"),
        ("authorization", f"Bearer {_KEY}"),
    ]
    started_s = time.perf_counter()
    connection = await pool.acquire(address)
    assert isinstance(connection, http_client.ClientConnection), connection
    await connection.send_request(
        "POST", _CHAT, headers, json.dumps(fields).encode()
    )
    head = await connection.read_head()
    assert isinstance(head, http_client.ResponseHead), head
    assert head.status == 200, (head, await connection.read_body(10_000))
    previous_s = None
    while True:
        match await connection.read_chunk():
            case http_client.BodyChunk(data) if b'"content"' in data:
                now_s = time.perf_counter()
                if previous_s is None:
                    latencies.first.record_value(int((now_s - started_s) * 1e6))
                else:
                    latencies.between.record_value(
                        max(int((now_s - previous_s) * 1e6), 1)
                    )
                previous_s = now_s
            case http_client.BodyChunk():
                pass
            case http_client.BodyEnd():
                break
            case http_client.ExchangeBroken(message):
                raise RuntimeError(message)
    pool.release(connection)


async def measure(
    engine: http_client.Address,
    router: http_client.Address,
    rounds: int,
    concurrency: int,
) -> dict[str, Any]:
    """Sends requests alternately on both paths; the first round is a warm-up.

    Args:
      engine: The address for direct requests.
      router: The address for requests through the router.
      rounds: The number of rounds, with the warm-up.
      concurrency: The number of concurrent requests in a round.
    """
    direct, routed = Latencies(), Latencies()
    async with http_client.ClientPool() as pool:
        for number in range(rounds):
            for address, latencies in ((engine, direct), (router, routed)):
                await asyncio.gather(
                    *(
                        time_stream(
                            pool,
                            address,
                            make_chat_fields(f"shift {number} part {part}"),
                            latencies if number else Latencies(),
                        )
                        for part in range(concurrency)
                    )
                )
    return {"direct": direct.summarise(), "router": routed.summarise()}


def make_chat_fields(prompt: str) -> dict[str, Any]:
    """Returns the JSON fields of a streamed chat completion request."""
    return {
        "model": "yield-model",
        "stream": True,
        "max_tokens": 64,
        "messages": [{"role": "user", "content": prompt}],
    }


def make_top_up_command(admin: http_client.Address) -> tuple[str, ...]:
    """Returns the arguments of the command that tops the budget up."""
    return (
        *("ask", "--admin", str(admin), "--key", _OPERATOR_KEY),
        'top up budget "yield-books" by 100000000 reference "r" because "m"',
    )


def make_configuration(engine: http_client.Address) -> str:
    """Returns a configuration with one account, one model and one operator."""
    key_hash = hashlib.sha256(_KEY.encode()).hexdigest()
    operator_hash = hashlib.sha256(_OPERATOR_KEY.encode()).hexdigest()
    document = {
        "client_accounts": [
            {
                "name": "derwent",
                "key_hashes": [key_hash],
                "budget": "yield-books",
                "models": ["yield-model"],
            }
        ],
        "budgets": [{"name": "yield-books"}],
        "models": [
            {
                "name": "yield-model",
                "upstreams": [
                    {
                        "name": "runner-1",
                        "address": str(engine),
                        "zone": "huon",
                        "slots": 64,
                    }
                ],
            }
        ],
        "operators": [
            {"name": "ops", "key_hash": operator_hash, "role": "admin"}
        ],
    }
    return json.dumps(document)


def main() -> None:
    """Runs the measurement and prints its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--token-interval-ms", type=int, default=10)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        processes = Processes(folder)
        try:
            result = run(processes, folder, options)
        finally:
            processes.stop()
    print(json.dumps(result, indent=2))


def run(
    processes: Processes, folder: pathlib.Path, options: argparse.Namespace
) -> dict[str, Any]:
    """Starts the processes, measures, and returns the result."""
    loopback = "127.0.0.1:0"
    line = processes.start("stand-in", "platform", "--listen", loopback)
    platform = find_address(line, "on")
    line = processes.start(
        *("stand-in", "engine", "--listen", loopback),
        *("--model", "yield-model", "--slots", "64"),
        *("--token-interval-ms", str(options.token_interval_ms)),
    )
    engine = find_address(line, "on")
    document = folder / "configuration.json"
    document.write_text(make_configuration(engine))
    run_command(
        *("publish", str(document), "--platform", str(platform)),
        *("--author", "ops", "--reason", "measure"),
    )
    line = processes.start(
        *("router", "--host-name", "huon-1", "--zone", "huon"),
        *("--platform", str(platform), "--fleet-key", "measure-fleet-key"),
        *("--listen", loopback, "--admin-listen", loopback),
        *("--peer-listen", loopback, "--balancer-lag-ms", "0"),
    )
    run_command(*make_top_up_command(find_address(line, "admin")))
    return asyncio.run(
        measure(
            engine, find_address(line, "on"), options.rounds, options.at_once
        )
    )


if __name__ == "__main__":
    main()
