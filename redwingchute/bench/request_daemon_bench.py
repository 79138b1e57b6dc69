"""Measures the processor time and latency that one router daemon adds.

Run as `python -m redwingchute.bench.request_daemon_bench --output FILE`. A
stand-in platform, stand-in engines and one router run as separate processes on
loopback. Streaming requests go through the router at its share of the fleet's
target rate. In the same run some go directly to the engines; the difference is
the latency that the router adds.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import random
import statistics
import sys
import tempfile
import time

import attrs
import defopt

from redwingchute.connection import http_client
from redwingchute.request import authentication

_ENGINE_COUNT = 4
_SLOTS_PER_ENGINE = 64
_TOKEN_INTERVAL_MS = 10
# The length of each completion.
_ANSWER_TOKENS = 268
# The requests sent directly to the engines, as a share of the routed ones.
_DIRECT_SHARE = 0.1
_WARM_UP_S = 5.0
_CALLER_KEY = "bench-caller-key"
_OPERATOR_KEY = "bench-operator-key"
_MODEL = "yield-model"
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.define
class Samples:
    """The measurements of the callers of one path.

    Attributes:
      first_token_ms: The time to the first token of each stream.
      token_gaps_ms: The times between chunks that contain tokens.
      tokens: The number of tokens received.
      failures: The number of requests without a complete response.
    """

    first_token_ms: list[float] = attrs.field(factory=list)
    token_gaps_ms: list[float] = attrs.field(factory=list)
    tokens: int = 0
    failures: int = 0


@contextlib.asynccontextmanager
async def _run_process(
    *arguments: str,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, str]]:
    """Runs `redwingchute ARGUMENTS` and yields (process, first line)."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "redwingchute.main",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    assert process.stdout is not None
    try:
        line = (await process.stdout.readline()).decode()
        yield process, line
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        await process.wait()


def _read_address(line: str) -> str:
    """Returns the address in a `listening on` line."""
    return line.split("listening on ")[1].split()[0]


async def _run_command(*arguments: str) -> None:
    """Runs `redwingchute ARGUMENTS` as an operator.

    Raises:
      RuntimeError: The command failed; the text is its output.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "redwingchute.main",
        *arguments,
        env={**os.environ, "REDWINGCHUTE_OPERATOR_KEY": _OPERATOR_KEY},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(output.decode())


def _make_document(engines: list[str]) -> str:
    """Returns the configuration of the bench as JSON.

    Args:
      engines: The addresses of the engines.
    """
    hash_key = authentication.hash_key
    return json.dumps(
        {
            "client_accounts": [
                {
                    "name": "derwent",
                    "key_hashes": [hash_key(_CALLER_KEY)],
                    "budget": "yield-books",
                    "models": [_MODEL],
                    "time_zone": "Australia/Hobart",
                }
            ],
            "budgets": [{"name": "yield-books"}],
            "models": [
                {
                    "name": _MODEL,
                    "upstreams": [
                        {
                            "name": f"runner-{number}",
                            "address": address,
                            "zone": "huon",
                            "slots": _SLOTS_PER_ENGINE,
                        }
                        for number, address in enumerate(engines)
                    ],
                }
            ],
            "operators": [
                {
                    "name": "bench",
                    "key_hash": hash_key(_OPERATOR_KEY),
                    "role": "admin",
                }
            ],
        }
    )


async def _stream(address: str, number: int, samples: Samples) -> None:
    """Sends one streaming request and records its times."""
    target = http_client.Address.parse(address)
    body = json.dumps(
        {
            "model": _MODEL,
            "stream": True,
            "max_tokens": _ANSWER_TOKENS,
            "messages": [{"role": "user", "content": f"reconcile {number}"}],
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n"
        f"authorization: Bearer {_CALLER_KEY}\r\nx-attempt-id: {number}\r\n"
        f"x-work-kind: batch\r\nconnection: close\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection(target.ip, target.port)
    try:
        writer.write(head.encode() + body)
        is_complete = await _read_stream(reader, samples)
        samples.failures += not is_complete
    finally:
        writer.close()


async def _read_stream(reader: asyncio.StreamReader, samples: Samples) -> bool:
    """Reads a stream to its end; returns whether it is complete."""
    last_s = time.perf_counter()
    has_started = False
    tail = b""
    while chunk := await reader.read(65_536):
        now_s = time.perf_counter()
        tokens = chunk.count(b'"content"')
        tail = (tail + chunk)[-200:]
        if tokens:
            times = (
                samples.token_gaps_ms if has_started else samples.first_token_ms
            )
            times.append((now_s - last_s) * 1000)
            has_started = True
            last_s = now_s
            samples.tokens += tokens
    return b"[DONE]" in tail


def _read_cpu_s(process_id: int) -> float:
    """Returns the user and system time that a process has used so far."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


async def _offer_load(
    router: str, engines: list[str], rate_per_s: float, duration_s: float
) -> tuple[Samples, Samples]:
    """Sends streaming requests to the router and some directly to the engines.

    Args:
      router: The address of the router.
      engines: The addresses of the engines.
      rate_per_s: The rate of requests to the router.
      duration_s: How long requests are sent.

    Returns:
      The measurements of the routed and of the direct requests, once all
      responses have ended.
    """
    rng = random.Random(1)
    routed, direct = Samples(), Samples()
    streams = []
    started_s = time.perf_counter()
    number = 0
    while (elapsed_s := time.perf_counter() - started_s) < duration_s:
        number += 1
        streams.append(asyncio.create_task(_stream(router, number, routed)))
        if rng.random() < _DIRECT_SHARE:
            engine = rng.choice(engines)
            streams.append(asyncio.create_task(_stream(engine, number, direct)))
        await asyncio.sleep(max(0.0, number / rate_per_s - elapsed_s))
    await asyncio.gather(*streams)
    return routed, direct


def _describe(samples: Samples) -> dict[str, float]:
    """Returns the counts of one path and its percentiles in milliseconds."""
    first = statistics.quantiles(samples.first_token_ms, n=20)
    gaps = statistics.quantiles(samples.token_gaps_ms, n=20)
    return {
        "streams": len(samples.first_token_ms),
        "failures": samples.failures,
        "tokens": samples.tokens,
        "first_p50_ms": round(first[9], 2),
        "first_p95_ms": round(first[18], 2),
        "gap_p50_ms": round(gaps[9], 2),
        "gap_p95_ms": round(gaps[18], 2),
    }


async def _measure(rate_per_s: float, duration_s: float) -> dict[str, object]:
    """Starts the processes, sends the load and returns the figures."""
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        _, line = await stack.enter_async_context(
            _run_process("stand-in", "platform", "--listen", "127.0.0.1:0")
        )
        platform = _read_address(line)
        engines = []
        for number in range(_ENGINE_COUNT):
            _, line = await stack.enter_async_context(
                _run_process(
                    *("stand-in", "engine", "--listen", "127.0.0.1:0"),
                    *("--model", _MODEL, "--name", f"runner-{number}"),
                    *("--token-interval-ms", str(_TOKEN_INTERVAL_MS)),
                    *("--slots", str(_SLOTS_PER_ENGINE)),
                )
            )
            engines.append(_read_address(line))
            await _set_answer_tokens(engines[-1])
        document = pathlib.Path(folder) / "configuration.json"
        document.write_text(_make_document(engines))
        await _run_command(
            *("publish", str(document), "--platform", platform),
            *("--author", "bench", "--reason", "bench"),
        )
        router, line = await stack.enter_async_context(
            _run_process(
                *("router", "--host-name", "huon-1", "--zone", "huon"),
                *("--platform", platform, "--fleet-key", "bench-fleet-key-01"),
                *("--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0"),
                *("--peer-listen", "127.0.0.1:0"),
            )
        )
        address = _read_address(line)
        admin = line.split("admin=")[1].split()[0]
        await _top_up(admin)
        await _offer_load(address, engines, rate_per_s, _WARM_UP_S)
        cpu_before_s = _read_cpu_s(router.pid)
        started_s = time.perf_counter()
        routed, direct = await _offer_load(
            address, engines, rate_per_s, duration_s
        )
        cpu_s = _read_cpu_s(router.pid) - cpu_before_s
        elapsed_s = time.perf_counter() - started_s
        requests = len(routed.first_token_ms)
        return {
            "routed": _describe(routed),
            "direct": _describe(direct),
            "tokens_per_s_offered": round(rate_per_s * _ANSWER_TOKENS),
            "router_cpu_s": round(cpu_s, 2),
            "router_cores": round(cpu_s / duration_s, 3),
            "elapsed_s": round(elapsed_s, 1),
            "cpu_ms_per_request": round(cpu_s * 1000 / requests, 2),
            "cpu_us_per_token": round(cpu_s * 1e6 / routed.tokens, 1),
        }


async def _set_answer_tokens(engine: str) -> None:
    """Sets the length of an engine's responses."""
    async with http_client.ClientPool() as connections:
        await connections.fetch(
            http_client.Address.parse(engine),
            "POST",
            "/control",
            [],
            json.dumps({"answer_tokens": _ANSWER_TOKENS}).encode(),
            5_000,
        )


async def _top_up(admin: str) -> None:
    """Tops the budget up as soon as the router has its configuration.

    Raises:
      RuntimeError: The router did not accept the top-up within 100 attempts.
    """
    for _ in range(100):
        with contextlib.suppress(RuntimeError):
            await _run_command(
                *("ask", "--admin", admin),
                'top up budget "yield-books" by 1000000000 '
                'reference "bench" because "bench"',
            )
            return
        await asyncio.sleep(0.2)
    raise RuntimeError("the router did not accept the top-up")


def main(
    *,
    output: pathlib.Path,
    rate_per_s: float = 22.0,
    duration_s: float = 20.0,
) -> None:
    """Measures one daemon and writes the figures as JSON.

    Args:
      output: The file to write.
      rate_per_s: The rate of requests through the router.
      duration_s: How long requests are sent.
    """
    figures = asyncio.run(_measure(rate_per_s, duration_s))
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps({"daemon": figures}, indent=1) + "\n")
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    defopt.run(main)
