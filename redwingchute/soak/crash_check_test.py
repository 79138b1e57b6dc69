"""Tests that the check of crashing requests fires, and only for what counts."""

import attrs

from redwingchute.soak import crash_check
from redwingchute.soak import observations
from redwingchute.soak import plan
from redwingchute.testing import soak_builders

_GAP_MS = 1_000


def _observe(
    count: int, *faults: observations.AppliedFault, is_crashing: bool = True
) -> observations.Observations:
    """Returns a run in which a copy of a request runs every second."""
    records: list[observations.CallerAttempt | observations.UpstreamEvent] = []
    for number in range(count):
        request_id = f"{number:06x}-0"
        event = soak_builders.make_event(
            request_id=request_id, at_ms=number * _GAP_MS
        )
        records.append(attrs.evolve(event, is_crashing=is_crashing))
        records.append(soak_builders.make_attempt(request_id=request_id))
    return soak_builders.make_observations(*records, *faults)


def _count_found(observed: observations.Observations) -> int:
    return len(list(crash_check.check_crashes(observed)))


def test_copies_that_are_sent_on_are_found() -> None:
    assert _count_found(_observe(10)) == 1
    assert _count_found(_observe(9)) == 0
    assert _count_found(_observe(10, is_crashing=False)) == 0


def test_hosts_with_faults_and_a_store_with_faults_are_excused() -> None:
    for target in ("host-1", plan.STORE):
        fault = observations.AppliedFault(0, 9_000, target, "SIGSTOP")
        assert _count_found(_observe(10, fault)) == 0
    other = observations.AppliedFault(0, 9_000, "host-2", "SIGSTOP")
    assert _count_found(_observe(10, other)) == 1
