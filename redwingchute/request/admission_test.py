"""Tests of admission and of the retry-after of refusals."""

import attrs
import pytest

from redwingchute.core import outcomes
from redwingchute.request import admission
from redwingchute.request import load_model
from redwingchute.request import patience
from redwingchute.testing import request_builders as builders

# A default ticket takes 100 * 0.2 ms + 100 * 20 ms.
_DURATION_MS = 2_020


def _make_pool(
    upstreams: int = 1, own_count: int = 0, next_available_ms: int | None = None
) -> admission.PoolView:
    loads = [
        load_model.UpstreamLoad(upstream)
        for upstream in builders.make_upstreams(upstreams, slots=2)
    ]
    for load in loads:
        for ticket_id in range(own_count):
            load.record_start(builders.make_ticket(ticket_id), 0)
    return admission.PoolView(loads, next_available_ms)


def _make_change(at_ms: int, deadline_ms: int) -> patience.PatienceChange:
    return patience.PatienceChange(at_ms, patience.Patience(deadline_ms, 1))


@pytest.mark.parametrize(
    ("own_count", "ahead_count", "expected_ms"),
    [
        (0, 0, _DURATION_MS),
        (1, 0, _DURATION_MS),
        (2, 0, 2 * _DURATION_MS),
        (2, 1, 2 * _DURATION_MS),
        (2, 2, 3 * _DURATION_MS),
        (2, 7, 5 * _DURATION_MS),
    ],
)
def test_forecast_includes_the_requests_ahead(
    own_count: int, ahead_count: int, expected_ms: int
) -> None:
    ticket = builders.make_ticket(99, deadline_ms=expected_ms)
    ahead = [builders.make_ticket(number) for number in range(ahead_count)]
    pool = _make_pool(own_count=own_count)
    result = admission.decide_admission(ticket, ahead, pool, None, 0)
    assert isinstance(result, admission.Admitted)
    assert result.forecast.completion_ms == pytest.approx(expected_ms)
    late = builders.make_ticket(99, deadline_ms=expected_ms - 1)
    refused = admission.decide_admission(late, ahead, pool, None, 0)
    assert isinstance(refused, admission.Refused)


@pytest.mark.parametrize(
    ("case", "pool", "deadline_ms", "change", "expected_ms"),
    [
        (
            "The backlog must shrink by the lateness.",
            _make_pool(own_count=2),
            3_000,
            None,
            2 * _DURATION_MS - 3_000,
        ),
        (
            "A longer patience begins before the backlog has shrunk.",
            _make_pool(own_count=2),
            2_100,
            _make_change(500, 9_000),
            500,
        ),
        (
            "An upstream returns before the backlog has shrunk.",
            _make_pool(own_count=2, next_available_ms=700),
            2_100,
            _make_change(900, 9_000),
            700,
        ),
        (
            "The request fits the patience only after its next change.",
            _make_pool(),
            1_000,
            _make_change(60_000, 9_000),
            60_000,
        ),
        (
            "The next patience is also too short.",
            _make_pool(),
            1_000,
            _make_change(60_000, 1_500),
            None,
        ),
        ("The patience is always too short.", _make_pool(), 1_000, None, None),
        (
            "All upstreams are unavailable until a known time.",
            _make_pool(upstreams=0, next_available_ms=3_000),
            9_000,
            None,
            3_000,
        ),
        (
            "All upstreams are unavailable for an unknown time.",
            _make_pool(upstreams=0),
            9_000,
            None,
            5_000,
        ),
    ],
)
def test_refusal_has_the_earliest_useful_retry_after(
    case: str,
    pool: admission.PoolView,
    deadline_ms: int,
    change: patience.PatienceChange | None,
    expected_ms: int | None,
) -> None:
    ticket = builders.make_ticket(99, deadline_ms=deadline_ms)
    result = admission.decide_admission(ticket, [], pool, change, 0)
    assert isinstance(result, admission.Refused), case
    assert isinstance(result.refusal, outcomes.NotRun)
    assert result.refusal.retry_after_ms == expected_ms, case


@pytest.mark.parametrize(
    ("wait_share", "deadline_ms", "is_admitted"),
    [
        (1.0, 2 * _DURATION_MS, True),
        (1.0, 2 * _DURATION_MS - 1, False),
        (0.5, 1.5 * _DURATION_MS, True),
        (0.5, 1.5 * _DURATION_MS - 1, False),
    ],
)
def test_forecast_wait_is_multiplied_by_the_wait_share(
    wait_share: float, deadline_ms: float, is_admitted: bool
) -> None:
    view = attrs.evolve(_make_pool(own_count=2), wait_share=wait_share)
    ticket = builders.make_ticket(99, deadline_ms=int(deadline_ms))
    result = admission.decide_admission(ticket, [], view, None, 0)
    assert isinstance(result, admission.Admitted) is is_admitted
