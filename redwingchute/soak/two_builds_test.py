"""Runs hosts of the previous build and of this one side by side.

docs/COMPATIBILITY.md says what a record or message may change.
"""

import asyncio
import json
import pathlib
import signal
import subprocess
import tarfile

import pytest

from redwingchute.soak import checks
from redwingchute.soak import fleet
from redwingchute.soak import observations
from redwingchute.soak import plan
from redwingchute.soak import soak_command
from redwingchute.soak import spend_check

# The commit that the previous landing ended with.
_PREVIOUS_BUILD = "08b9d3e4ff64762cd35348df1e581e8dbd64998b"
_ROOT = pathlib.Path(__file__).parents[2]
# Callers ask for more than that in this time.
_PREPAID_TOKENS = 4_000
_SIZE = plan.Size(
    hosts=3,
    upstreams=2,
    rate_per_s=15.0,
    duration_ms=9_000,
    prepaid_tokens=_PREPAID_TOKENS,
    has_other_build=True,
)
_SEED = 1
# The events of a log that show a record which can't be read, or a fault.
_FAULT_EVENTS = frozenset(
    {
        "configuration_unreadable",
        "crash_record_unreadable",
        "grant_record_unreadable",
        "handler_failed",
        "host_entry_unreadable",
        "invariant_broken",
        "part_failed",
    }
)


def _extract_previous_build(folder: pathlib.Path) -> fleet.OtherBuild:
    """Extracts the previous build, or skips the test if it isn't there."""
    archive = folder / "previous.tar"
    try:
        subprocess.run(
            ("git", "-C", str(_ROOT), "archive", "--format=tar")
            + (f"--output={archive}", _PREVIOUS_BUILD, "redwingchute"),
            check=True,
            capture_output=True,
        )
    except (OSError, subprocess.CalledProcessError) as error:
        pytest.skip(
            f"commit {_PREVIOUS_BUILD} is not in a history here: {error}"
        )
    build = folder / "previous"
    with tarfile.open(archive) as opened:
        opened.extractall(build, filter="data")
    return fleet.OtherBuild(build, runs_first=True)


def _list_fault_lines(directory: pathlib.Path) -> list[str]:
    """Returns the lines of all hosts' logs that show a fault."""
    paths = [*directory.glob("host-*.out"), *directory.glob("host-*.err")]
    found = []
    for path in paths:
        for line in path.read_text().splitlines():
            if line.startswith("{") and (
                json.loads(line).get("event") in _FAULT_EVENTS
            ):
                found.append(f"{path.name}: {line}")
    return found


# Guards against a message or record of one build that the other can't read, or
# reads as something else, while hosts are replaced one by one, and back.
def test_hosts_of_two_builds_serve_side_by_side(tmp_path: pathlib.Path) -> None:
    previous = _extract_previous_build(tmp_path)
    directory = tmp_path / "run"
    directory.mkdir()
    faults: list[plan.Fault] = [
        plan.Restart(at_ms, host, signal.SIGTERM, 50, is_other_build)
        for at_ms, host, is_other_build in (
            (300, "host-1", False),
            (3_200, "host-2", False),
            (6_100, "host-1", True),
        )
    ]
    observed = asyncio.run(
        soak_command.run_plan(
            plan.plan_requests(_SEED, _SIZE), faults, _SIZE, directory, previous
        )
    )
    violations = [
        *checks.check_all(observed),
        *spend_check.check_spending(observed, _PREPAID_TOKENS),
        *spend_check.check_messages(observed),
    ]
    assert not violations, (len(violations), violations[:3])
    assert not _list_fault_lines(directory)
    served = [
        attempt
        for attempt in observed.attempts
        if attempt.status == 200
        and attempt.outcome is observations.Outcome.ANSWERED
    ]
    kinds = {(attempt.host, attempt.kind.is_stream) for attempt in served}
    assert len(kinds) == 2 * _SIZE.hosts
    # Charges passed between the builds.
    replaced, _, replaced_back = observed.faults
    assert any(
        attempt.kind.is_stream
        and attempt.host == "host-1"
        and replaced.until_ms < attempt.sent_ms < replaced_back.from_ms
        for attempt in served
    )
