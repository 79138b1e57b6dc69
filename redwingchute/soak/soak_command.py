"""The command that runs a soak, checks it and prints a report."""

import asyncio
import collections
from collections.abc import Iterable
import pathlib
import time

from redwingchute.soak import callers as callers_lib
from redwingchute.soak import checks
from redwingchute.soak import findings
from redwingchute.soak import fleet as fleet_lib
from redwingchute.soak import injector as injector_lib
from redwingchute.soak import lag_monitor
from redwingchute.soak import observations as observations_lib
from redwingchute.soak import plan
from redwingchute.soak import process_usage

_SHOWN_VIOLATIONS = 5
# What one machine bears besides its other work.
_MAX_PROCESSES = 300
_MAX_DURATION_S = 7_200
# One seed in this many replaces hosts, if another build is given.
_SEEDS_PER_REPLACEMENT = 4


async def run_plan(
    requests: list[plan.PlannedRequest],
    faults: list[plan.Fault],
    size: plan.Size,
    directory: pathlib.Path,
    other_build: fleet_lib.OtherBuild | None = None,
) -> observations_lib.Observations:
    """Runs a plan and returns what was observed.

    Args:
      requests: The requests to send.
      faults: The faults to inject.
      size: The size of the soak.
      directory: The directory for logs and records; it exists and is empty.
      other_build: Another build for hosts, if there is one.
    """
    fleet = fleet_lib.Fleet(size, directory, other_build)
    callers = callers_lib.Callers(fleet, size, directory / "callers.jsonl")
    injector = injector_lib.Injector(fleet, directory / "faults.jsonl")
    usage = process_usage.UsageMonitor(fleet, size.list_hosts())
    async with fleet, callers, usage, lag_monitor.LagMonitor() as monitor:
        await asyncio.gather(callers.run(requests), injector.run(faults))
        unexpected_ends = fleet.list_unexpected_ends()
        unread_messages = 0
        if other_build is not None:
            unread_messages = await fleet.count_unread_messages()
    return observations_lib.Observations(
        tuple(callers.attempts),
        observations_lib.read_upstream_events(fleet.list_record_paths()),
        tuple(injector.applied),
        fleet_lib.RETRY_LIMIT,
        unexpected_ends,
        monitor.max_lag_ms,
        unread_messages,
        tuple(usage.peaks.values()),
        fleet_lib.USAGE_LIMIT,
    )


def run_soak(
    *,
    seed: int,
    duration_s: float = 60.0,
    calm_s: float = 20.0,
    hosts: int = 3,
    upstreams: int = 2,
    rate_per_s: float = 60.0,
    versions: int = 1,
    crashing_per_s: float = 0.0,
    faults: str = "all",
    other_build: str = "",
    directory: str = "build/soak",
) -> int:
    """Run gateways, upstreams and a store under faults, and check them.

    Returns 1 if a check found a violation.

    Args:
      seed: The seed of the load and the faults.
      duration_s: How long faults are injected while requests are sent.
      calm_s: How long requests are sent after that, to check the recovery.
      hosts: The number of hosts.
      upstreams: The number of upstreams of each of two services.
      rate_per_s: The mean rate of requests of all callers.
      versions: The number of software versions that upstreams have.
      crashing_per_s: The mean rate of requests that end their upstreams.
      faults: The groups of faults, separated by commas; `all` or `none`.
      other_build: A folder with the package of another build; one seed in four
        replaces the hosts by it one by one, and back.
      directory: The directory in which the run gets a directory of its own.
    """
    size = plan.Size(
        hosts,
        upstreams,
        rate_per_s,
        int(1000 * duration_s),
        int(1000 * calm_s),
        versions,
        crashing_per_s,
        has_other_build=bool(other_build)
        and seed % _SEEDS_PER_REPLACEMENT == 0,
    )
    if size.count_processes() > _MAX_PROCESSES or duration_s > _MAX_DURATION_S:
        raise SystemExit(
            f"at most {_MAX_PROCESSES} processes and {_MAX_DURATION_S} s"
        )
    groups = _parse_groups(faults)
    run_directory = pathlib.Path(directory) / (
        time.strftime("%Y%m%dT%H%M%S") + f"-{seed}"
    )
    run_directory.mkdir(parents=True)
    planned_faults = sorted(
        plan.plan_faults(seed, size, groups)
        + plan.plan_build_changes(seed, size),
        key=lambda fault: fault.at_ms,
    )
    print(f"seed {seed}, faults {','.join(groups)}, records in {run_directory}")
    observed = asyncio.run(
        run_plan(
            plan.plan_requests(seed, size),
            planned_faults,
            size,
            run_directory,
            fleet_lib.OtherBuild(pathlib.Path(other_build).absolute())
            if size.has_other_build
            else None,
        )
    )
    violations = checks.check_all(observed)
    report = "\n".join(_describe_run(observed, violations)) + "\n"
    (run_directory / "report.txt").write_text(report)
    print(report, end="")
    return 1 if violations else 0


def _parse_groups(text: str) -> list[str]:
    """Returns the names of the groups of faults in an argument.

    Raises:
      SystemExit: There is no such group.
    """
    if text == "none":
        return []
    groups = list(plan.FAULT_GROUPS) if text == "all" else text.split(",")
    unknown = set(groups) - set(plan.FAULT_GROUPS)
    if unknown:
        known = ", ".join(plan.FAULT_GROUPS)
        raise SystemExit(f"unknown faults {unknown}; known are {known}")
    return groups


def _describe_run(
    observed: observations_lib.Observations,
    violations: list[findings.Violation],
) -> Iterable[str]:
    """Yields the lines of the report."""
    outcomes = collections.Counter(
        f"{attempt.outcome} {attempt.status or ''}".strip()
        for attempt in observed.attempts
    )
    yield "attempts: " + _format_counts(outcomes)
    yield "upstreams: " + _format_counts(
        collections.Counter(event.event for event in observed.events)
    )
    yield "faults: " + _format_counts(
        collections.Counter(fault.name for fault in observed.faults)
    )
    for usage in observed.usages:
        yield f"most of {usage.host}: {usage.memory_mb:.0f} MB, " + (
            f"{usage.descriptors} descriptors"
        )
    yield f"longest delay of the soak itself: {observed.max_lag_ms} ms"
    for peak in checks.find_retry_peaks(observed):
        yield f"{peak.service}: at most {peak.describe()}"
    by_rule: dict[str, list[findings.Violation]] = {}
    for violation in violations:
        by_rule.setdefault(violation.rule, []).append(violation)
    for rule, found in by_rule.items():
        yield f"{rule}: {len(found)} broken"
        for violation in found[:_SHOWN_VIOLATIONS]:
            yield f"  {violation.subject}: {violation.message}"
    if not violations:
        yield "no violations"


def _format_counts(counts: collections.Counter[str]) -> str:
    """Returns names with their counts, the most frequent first."""
    return ", ".join(f"{name} {n}" for name, n in counts.most_common()) or "-"
