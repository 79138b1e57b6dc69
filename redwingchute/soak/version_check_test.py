"""Tests that the check of versions fires, and only for what counts."""

import attrs

from redwingchute.soak import observations
from redwingchute.soak import version_check
from redwingchute.testing import soak_builders


def _run(
    version: str, is_resumed: bool, request_id: str = "000001-0"
) -> observations.UpstreamEvent:
    return attrs.evolve(
        soak_builders.make_event(request_id=request_id),
        version=version,
        is_resumed=is_resumed,
    )


def _count_found(*events: observations.UpstreamEvent) -> int:
    observed = soak_builders.make_observations(*events)
    return len(list(version_check.check_versions(observed)))


def test_a_stream_that_goes_on_at_another_version_is_found() -> None:
    assert _count_found(_run("v0", False), _run("v1", True)) == 1
    assert _count_found(_run("v0", False), _run("v0", True)) == 0


def test_a_stream_that_begins_again_may_change_its_version() -> None:
    assert _count_found(_run("v0", False), _run("v1", False)) == 0
    assert (
        _count_found(_run("v0", False), _run("v1", False), _run("v1", True))
        == 0
    )


def test_runs_of_other_requests_do_not_count() -> None:
    assert _count_found(_run("v0", False), _run("v1", True, "000002-0")) == 0
