"""Measurements of `slopes`: resource usage of processes and of idle links.

A link is a ledger client's communication with the owner of one shard.
"""

import asyncio
import os
import pathlib
import statistics
import subprocess
import sys
import time

from redwingchute.core import data
from redwingchute.process.ledger import ledger_client
from redwingchute.testing import scenario_language
from redwingchute.testing import scenario_live

_IDLE_LINKS_S = 5.0
_IDLE_ROUTERS_S = 30.0


def measure_idle_links() -> dict[str, float]:
    """Returns the processor time of ledger links without requests.

    One client has 200 links and four budgets per link on average. The simulated
    owners reply at once and grant no tokens.
    """
    shards = 200

    async def reply_with_no_tokens(
        shard: int, call: data.LedgerCall
    ) -> data.LedgerReply:
        grants = tuple(
            data.Granted(ask.budget, 0, 0, 10**6, 5_000) for ask in call.asks
        )
        return data.LedgerReply(
            shard, 1, data.CallStatus.HANDLED, "h", grants=grants
        )

    async def run() -> float:
        client = ledger_client.LedgerClient(
            "router-001",
            shards,
            reply_with_no_tokens,
            lambda: time.time_ns() // 10**6,
            stop_timeout_ms=100,
        )
        async with client:
            for number in range(4 * shards):
                client.register_budget(f"budget-{number:05}")
            await asyncio.sleep(2)
            started_ns = time.process_time_ns()
            await asyncio.sleep(_IDLE_LINKS_S)
            return (time.process_time_ns() - started_ns) / 1_000

    used_us = asyncio.run(run())
    return {
        "links": shards,
        "budgets": 4 * shards,
        "us_per_link_and_second": used_us / shards / _IDLE_LINKS_S,
    }


def read_processor_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split(")")[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(each for each in status.splitlines() if "VmRSS" in each)
    return int(line.split()[1]) / 1024


def sum_metric(text: str, name: str) -> float:
    """Returns the sum of a metric's samples in Prometheus text."""
    return sum(
        float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith(name)
    )


def measure_idle_routers() -> dict[str, float]:
    """Returns the mean resource usage of three idle router processes.

    `peer_bytes_sent_per_s` is that of the first router alone.
    """
    scenario, findings = scenario_language.parse_scenario(
        "idle",
        'scenario "idle"\npromise 1\nzone huon: huon-1 huon-2\n'
        "zone bruny: bruny-1\nengine runner-1 in huon of yield\n"
        "account derwent with budget books of 9000 tokens\n",
    )
    assert scenario is not None, findings

    async def run() -> dict[str, float]:
        async with scenario_live.LiveBackend(scenario) as backend:
            pids = list(backend.list_pids().values())
            processor_s = [read_processor_s(pid) for pid in pids]
            before = await backend.read_metrics("huon-1")
            await asyncio.sleep(_IDLE_ROUTERS_S)
            used_s = [
                read_processor_s(pid) - start
                for pid, start in zip(pids, processor_s, strict=True)
            ]
            after = await backend.read_metrics("huon-1")
            name = "peer_bytes_sent"
            sent = sum_metric(after, name) - sum_metric(before, name)
            return {
                "routers": len(pids),
                "percent_of_a_core": 100
                * statistics.mean(used_s)
                / _IDLE_ROUTERS_S,
                "resident_mb": statistics.mean(map(read_resident_mb, pids)),
                "peer_bytes_sent_per_s": sent / _IDLE_ROUTERS_S,
            }

    return asyncio.run(run())


def measure_resident() -> dict[str, float]:
    """Returns the resident memory of interpreters after imports, in MiB.

    Leaves out interpreters whose imports fail.
    """
    libraries = "attrs, capnp, defopt, h11, pythonjsonlogger"
    telemetry = "opentelemetry.sdk.metrics, opentelemetry.exporter.prometheus"
    programs = {
        "bare_interpreter": "pass",
        "asyncio": "import asyncio",
        "named_libraries": f"import asyncio, {libraries}, {telemetry}",
        "named_libraries_without_telemetry": f"import asyncio, {libraries}",
        "router_modules": "import redwingchute.main",
    }
    report = (
        "\nimport re, pathlib"
        "\nstatus = pathlib.Path('/proc/self/status').read_text()"
        "\nprint(re.search(r'VmRSS:\\s+(\\d+)', status)[1])"
    )
    resident = {}
    for name, program in programs.items():
        result = subprocess.run(
            [sys.executable, "-c", program + report],
            capture_output=True,
            text=True,
            check=False,
        )
        if result.returncode == 0:
            resident[f"{name}_mb"] = int(result.stdout) / 1024
    return resident
