"""Tests that the check of limits fires, and only for what counts."""

from redwingchute.soak import limit_check
from redwingchute.soak import observations

_DURATION_MS = 10_000


def _observe(
    gap_ms: int,
    limit: str = "1",
    faults: tuple[observations.AppliedFault, ...] = (),
) -> observations.Observations:
    """Returns a run in which one upstream gets a request at each gap."""
    times_ms = range(0, _DURATION_MS, gap_ms)
    kind = observations.Kind.NON_IDEMPOTENT
    attempts = tuple(
        observations.CallerAttempt(
            f"r-{at_ms}",
            kind,
            "host-1",
            at_ms,
            at_ms + 10,
            1_000,
            observations.Outcome.ANSWERED,
            status=200,
        )
        for at_ms in times_ms
    )
    events = tuple(
        observations.UpstreamEvent(
            at_ms, "arrived", "ledger-1-1", "ledger", f"r-{at_ms}", 0, limit
        )
        for at_ms in times_ms
    )
    return observations.Observations(
        attempts, events, faults, observations.RetryLimit(0.2, 10.0, 10_000)
    )


def _count_found(observed: observations.Observations) -> int:
    return len(list(limit_check.check_limits(observed)))


def test_more_requests_than_the_limit_are_found() -> None:
    assert _count_found(_observe(200)) == 1
    assert _count_found(_observe(500)) == 0
    assert _count_found(_observe(200, limit="")) == 0
    assert _count_found(_observe(200, limit="3")) == 0


def test_a_host_that_has_restarted_is_excused() -> None:
    restart = observations.AppliedFault(0, 9_000, "host-1", "SIGKILL")
    assert _count_found(_observe(200, faults=(restart,))) == 0
