"""Tests of retry decisions and retry budgets."""

import random

import pytest

from redwingchute.core import configuration
from redwingchute.request import retry

_POLICY = configuration.RetryPolicy(budget_ratio=0.1, max_attempts=3)


def _make_failure(
    kind: retry.FailureKind = retry.FailureKind.BROKEN,
    attempts: int = 1,
    is_repeatable: bool = True,
    deadline_ms: int = 60_000,
) -> retry.FailedAttempt:
    return retry.FailedAttempt(kind, attempts, is_repeatable, deadline_ms, 500)


@pytest.mark.parametrize(
    ("failure", "expected"),
    [
        (_make_failure(), None),
        (_make_failure(retry.FailureKind.SERVER_ERROR), None),
        (
            _make_failure(retry.FailureKind.NOT_CONNECTED, is_repeatable=False),
            None,
        ),
        (_make_failure(is_repeatable=False), retry.GiveUpCause.NOT_REPEATABLE),
        (
            _make_failure(retry.FailureKind.TURNED_AWAY, is_repeatable=False),
            retry.GiveUpCause.NOT_REPEATABLE,
        ),
        (_make_failure(attempts=3), retry.GiveUpCause.ATTEMPTS_USED),
        (_make_failure(retry.FailureKind.NOT_CONNECTED, attempts=7), None),
        (
            _make_failure(retry.FailureKind.NOT_CONNECTED, attempts=8),
            retry.GiveUpCause.ATTEMPTS_USED,
        ),
        (_make_failure(deadline_ms=499), retry.GiveUpCause.DEADLINE),
    ],
)
def test_only_safe_and_timely_attempts_are_retried(
    failure: retry.FailedAttempt, expected: retry.GiveUpCause | None
) -> None:
    budget = retry.RetryBudget(_POLICY)
    decision = budget.decide(failure, 0, random.Random(1))
    if expected is None:
        assert isinstance(decision, retry.RetryAfterDelay)
    else:
        assert decision == retry.GiveUp(expected)


def test_retries_stay_a_share_of_first_attempts() -> None:
    budget = retry.RetryBudget(_POLICY)
    rng = random.Random(1)
    retries = 0
    for _ in range(1_000):
        budget.note_first_attempt()
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
    empty = retry.GiveUp(retry.GiveUpCause.RETRY_BUDGET_EMPTY)
    assert budget.decide(_make_failure(), 0, rng) == empty
    unsent = _make_failure(retry.FailureKind.NOT_CONNECTED)
    assert isinstance(budget.decide(unsent, 0, rng), retry.RetryAfterDelay)
    budget.note_time(1_000)
    assert isinstance(
        budget.decide(_make_failure(), 0, rng), retry.RetryAfterDelay
    )


def test_delays_are_full_jitter_under_a_bound() -> None:
    budget = retry.RetryBudget(configuration.RetryPolicy(max_attempts=99))
    rng = random.Random(1)
    for attempts in (1, 2, 5, 20):
        bound_ms = min(1_000, 20 * 2 ** (attempts - 1))
        delays = []
        for _ in range(200):
            for _ in range(10):
                budget.note_first_attempt()
            decision = budget.decide(_make_failure(attempts=attempts), 0, rng)
            assert isinstance(decision, retry.RetryAfterDelay)
            delays.append(decision.delay_ms)
        assert min(delays) < bound_ms / 10
        assert bound_ms * 0.9 < max(delays) <= bound_ms
