"""Tests of retry decisions and retry budgets."""

import random

import pytest

from redwingchute.core import configuration
from redwingchute.request import retry

_POLICY = configuration.RetryPolicy(budget_ratio=0.1, max_attempts=3)


def _make_failure(
    kind: retry.FailureKind = retry.FailureKind.BROKEN,
    failure_count: int = 1,
    is_repeatable: bool = True,
    deadline_ms: int = 60_000,
) -> retry.FailedAttempt:
    return retry.FailedAttempt(
        kind, failure_count, is_repeatable, deadline_ms, 500
    )


@pytest.mark.parametrize(
    ("failure", "expected"),
    [
        (_make_failure(), None),
        (_make_failure(retry.FailureKind.SERVER_ERROR), None),
        (
            _make_failure(retry.FailureKind.NOT_CONNECTED, is_repeatable=False),
            None,
        ),
        (_make_failure(is_repeatable=False), retry.StopCause.NOT_REPEATABLE),
        (
            _make_failure(retry.FailureKind.TURNED_AWAY, is_repeatable=False),
            retry.StopCause.NOT_REPEATABLE,
        ),
        (_make_failure(failure_count=3), retry.StopCause.ATTEMPTS_USED),
        (_make_failure(retry.FailureKind.NOT_CONNECTED, failure_count=7), None),
        (
            _make_failure(retry.FailureKind.NOT_CONNECTED, failure_count=8),
            retry.StopCause.ATTEMPTS_USED,
        ),
        (_make_failure(deadline_ms=499), retry.StopCause.DEADLINE),
    ],
)
def test_only_safe_and_timely_attempts_are_retried(
    failure: retry.FailedAttempt, expected: retry.StopCause | None
) -> None:
    budget = retry.RetryBudget(_POLICY)
    decision = budget.decide(failure, 0, random.Random(1))
    if expected is None:
        assert isinstance(decision, retry.RetryAfterDelay)
    else:
        assert decision == retry.StopRetrying(expected)


def test_retries_stay_a_share_of_first_attempts() -> None:
    budget = retry.RetryBudget(_POLICY)
    rng = random.Random(1)
    retries = 0
    for _ in range(1_000):
        budget.record_first_attempt()
        decision = budget.decide(_make_failure(), 0, rng)
        retries += isinstance(decision, retry.RetryAfterDelay)
    from_ratio = 1_000 * _POLICY.budget_ratio
    assert from_ratio <= retries <= from_ratio + retry.MIN_BUDGET_RETRIES


def test_idle_pool_refills_to_its_minimum_budget() -> None:
    budget = retry.RetryBudget(_POLICY)
    rng = random.Random(1)
    for _ in range(int(retry.MIN_BUDGET_RETRIES)):
        decision = budget.decide(_make_failure(), 0, rng)
        assert isinstance(decision, retry.RetryAfterDelay)
    empty = retry.StopRetrying(retry.StopCause.RETRY_BUDGET_EMPTY)
    assert budget.decide(_make_failure(), 0, rng) == empty
    unsent = _make_failure(retry.FailureKind.NOT_CONNECTED)
    assert isinstance(budget.decide(unsent, 0, rng), retry.RetryAfterDelay)
    budget.refill(1_000)
    assert isinstance(
        budget.decide(_make_failure(), 0, rng), retry.RetryAfterDelay
    )


def test_delays_are_full_jitter_under_a_bound() -> None:
    budget = retry.RetryBudget(configuration.RetryPolicy(max_attempts=99))
    rng = random.Random(1)
    for failure_count in (1, 2, 5, 20):
        bound_ms = min(1_000, 20 * 2 ** (failure_count - 1))
        delays = []
        for _ in range(200):
            for _ in range(10):
                budget.record_first_attempt()
            decision = budget.decide(
                _make_failure(failure_count=failure_count), 0, rng
            )
            assert isinstance(decision, retry.RetryAfterDelay)
            delays.append(decision.delay_ms)
        assert min(delays) < bound_ms / 10
        assert bound_ms * 0.9 < max(delays) <= bound_ms
