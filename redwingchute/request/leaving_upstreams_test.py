"""Tests of the signals that upstreams are leaving or have returned."""

from collections.abc import Callable

import pytest

from redwingchute.request import leaving_upstreams

_Step = Callable[[leaving_upstreams.LeavingUpstreams], object]


@pytest.mark.parametrize(
    ("steps", "at_ms", "expected"),
    [
        ([lambda up: up.handle_host_state("r", True, 0)], 99_999, True),
        ([lambda up: up.record_response("r", 0)], 10, True),
        ([lambda up: up.handle_sibling_notice("r", 0, 5)], 10, True),
        # A notice of another router that arrives too late is ignored.
        ([lambda up: up.handle_sibling_notice("r", 0, 90_000)], 90_001, False),
        # The host list lags: a live entry does not end the response's signal.
        (
            [
                lambda up: up.record_response("r", 0),
                lambda up: up.handle_host_state("r", False, 100),
            ],
            200,
            True,
        ),
        # A leaving upstream still reports its load.
        (
            [
                lambda up: up.record_response("r", 50),
                lambda up: up.mark_up("r"),
            ],
            60,
            True,
        ),
        # An upstream that was down and is up again has restarted.
        (
            [
                lambda up: up.record_response("r", 50),
                lambda up: up.handle_sibling_notice("r", 50, 55),
                lambda up: up.mark_down("r", 60),
                lambda up: up.mark_up("r"),
            ],
            70,
            False,
        ),
        # The upstream was down before the newest signal.
        (
            [
                lambda up: up.record_response("r", 10),
                lambda up: up.mark_down("r", 20),
                lambda up: up.record_response("r", 50),
                lambda up: up.mark_up("r"),
            ],
            60,
            True,
        ),
        # A restart does not end the signal of the host list.
        (
            [
                lambda up: up.handle_host_state("r", True, 0),
                lambda up: up.mark_down("r", 50),
                lambda up: up.mark_up("r"),
            ],
            70,
            True,
        ),
        (
            [
                lambda up: up.handle_host_state("r", True, 0),
                lambda up: up.handle_host_state("r", False, 10),
            ],
            20,
            False,
        ),
        # The host list reported it as leaving before it reported it as live.
        (
            [
                lambda up: up.record_response("r", 0),
                lambda up: up.handle_host_state("r", True, 5),
                lambda up: up.handle_host_state("r", False, 10),
            ],
            20,
            False,
        ),
        # A signal expires unless it is renewed.
        (
            [lambda up: up.record_response("r", 0)],
            leaving_upstreams.SIGNAL_TTL_MS,
            False,
        ),
    ],
)
def test_signals_decide_whether_an_upstream_is_leaving(
    steps: list[_Step], at_ms: int, expected: bool
) -> None:
    upstreams = leaving_upstreams.LeavingUpstreams()
    for step in steps:
        step(upstreams)
    assert upstreams.is_leaving("r", at_ms) is expected
    assert not upstreams.is_leaving("other", at_ms)


def test_only_the_first_response_needs_a_notice() -> None:
    upstreams = leaving_upstreams.LeavingUpstreams()
    assert upstreams.record_response("r", 0)
    assert not upstreams.record_response("r", 1)
