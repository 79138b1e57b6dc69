"""Decides whether and when a failed attempt is retried.

Each pool has a retry budget that first attempts refill, so that retries stay a
bounded share of the load and cannot amplify an overload. A retry of an attempt
that no upstream processed adds no load and is not charged to the budget.
"""

import dataclasses
import enum
import random
from typing import TypeAlias

import attrs

from redwingchute.core import configuration

# The budget of an idle pool: enough to resume the streams of two upstreams
# that go down, each with the default number of slots, which is 8.
MIN_BUDGET_RETRIES = 16.0
_MAX_BUDGET_RETRIES = 64.0

# The limit for attempts that no upstream processed. It is higher than the
# default `max_attempts` because such retries add no load to the upstreams.
_MAX_UNPROCESSED_FAILURES = 8


class FailureKind(enum.Enum):
    """How an attempt failed.

    Attributes:
      NOT_CONNECTED: The connection failed; no byte was sent.
      LEAVING: The upstream replied that it is about to stop; it did not run
        the request.
      TURNED_AWAY: The upstream accepts no request now (status 503 or 429).
      SERVER_ERROR: The upstream replied with another 5xx status.
      TIMED_OUT: No response began in time.
      BROKEN: The connection failed after bytes were sent.
      MISMATCHED: The response did not echo the id of the attempt.
    """

    NOT_CONNECTED = "not_connected"
    LEAVING = "leaving"
    TURNED_AWAY = "turned_away"
    SERVER_ERROR = "server_error"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    MISMATCHED = "mismatched"


_UNPROCESSED_KINDS = frozenset({FailureKind.NOT_CONNECTED, FailureKind.LEAVING})


@attrs.frozen
class FailedAttempt:
    """A failed attempt, as the retry decision sees it.

    Attributes:
      kind: How the attempt failed.
      failure_count: The number of failures of the request, including this one.
        Failures that no upstream processed are counted apart from all others;
        this is the count of the class that this failure belongs to.
      is_repeatable: Whether the request may run more than once.
      deadline_ms: The time at which the response must be complete.
      remaining_work_ms: The expected time to complete the rest of the request.
    """

    kind: FailureKind
    failure_count: int
    is_repeatable: bool
    deadline_ms: int
    remaining_work_ms: int


@dataclasses.dataclass(frozen=True)
class RetryAfterDelay:
    """The request may be retried after the delay."""

    delay_ms: int


class StopCause(enum.Enum):
    """Why a request is not retried.

    Attributes:
      NOT_REPEATABLE: The request was sent and may not run more than once.
      ATTEMPTS_USED: The maximum number of attempts is reached.
      RETRY_BUDGET_EMPTY: The pool has no retry left.
      DEADLINE: A retry could not be complete before the deadline.
    """

    NOT_REPEATABLE = "not_repeatable"
    ATTEMPTS_USED = "attempts_used"
    RETRY_BUDGET_EMPTY = "retry_budget_empty"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True)
class StopRetrying:
    """The request is not retried."""

    cause: StopCause


RetryDecision: TypeAlias = RetryAfterDelay | StopRetrying


class RetryBudget:
    """The number of retries that one pool may still make."""

    def __init__(self, policy: configuration.RetryPolicy) -> None:
        """Creates a budget with the minimum number of retries."""
        self._policy = policy
        self._available_retries = MIN_BUDGET_RETRIES

    def record_first_attempt(self) -> None:
        """Adds the share of a retry that each first attempt earns."""
        self._available_retries = min(
            _MAX_BUDGET_RETRIES,
            self._available_retries + self._policy.budget_ratio,
        )

    def refill(self, elapsed_ms: int) -> None:
        """Refills the budget to its minimum at one retry per second."""
        if self._available_retries < MIN_BUDGET_RETRIES:
            self._available_retries = min(
                MIN_BUDGET_RETRIES, self._available_retries + elapsed_ms / 1_000
            )

    def decide(
        self, failure: FailedAttempt, now_ms: int, rng: random.Random
    ) -> RetryDecision:
        """Decides whether to retry a failed attempt.

        A retry that adds load is charged to the budget.

        Args:
          failure: The failed attempt.
          now_ms: The current time.
          rng: The source of the jitter.

        Returns:
          The delay until the next attempt, or the cause why there is none.
        """
        policy = self._policy
        has_sent = failure.kind is not FailureKind.NOT_CONNECTED
        adds_load = failure.kind not in _UNPROCESSED_KINDS
        if has_sent and not failure.is_repeatable:
            return StopRetrying(StopCause.NOT_REPEATABLE)
        max_attempts = (
            policy.max_attempts if adds_load else _MAX_UNPROCESSED_FAILURES
        )
        if failure.failure_count >= max_attempts:
            return StopRetrying(StopCause.ATTEMPTS_USED)
        delay_ms = _draw_delay_ms(policy, failure.failure_count, rng)
        if now_ms + delay_ms + failure.remaining_work_ms > failure.deadline_ms:
            return StopRetrying(StopCause.DEADLINE)
        if adds_load:
            if self._available_retries < 1:
                return StopRetrying(StopCause.RETRY_BUDGET_EMPTY)
            self._available_retries -= 1
        return RetryAfterDelay(delay_ms)


def is_unprocessed(kind: FailureKind) -> bool:
    """Returns whether no upstream processed an attempt that failed this way."""
    return kind in _UNPROCESSED_KINDS


def _draw_delay_ms(
    policy: configuration.RetryPolicy, failure_count: int, rng: random.Random
) -> int:
    """Returns a random delay up to an exponential bound (full jitter)."""
    bound_ms = min(
        policy.max_delay_ms, policy.base_delay_ms * 2 ** (failure_count - 1)
    )
    return rng.randint(0, bound_ms)
