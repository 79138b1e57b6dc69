"""Decides whether a failed attempt is repeated, and when.

Retries of a pool are paid from a budget that first attempts fill, so that
they cannot multiply an overload. An attempt that never reached an upstream
adds no load there and is not charged.
"""

import dataclasses
import enum
import random
from typing import TypeAlias

import attrs

from redwingchute.core import configuration

# What a quiet pool may spend: enough to resume the streams of two upstreams
# that go down, each with the usual number of slots.
MIN_BUDGET_RETRIES = 16.0
_MAX_BUDGET_RETRIES = 64.0

# Attempts that nobody worked on may fail more often than others may.
_MAX_FREE_FAILURES = 8


class FailureKind(enum.Enum):
    """How an attempt failed.

    Attributes:
      NOT_CONNECTED: No byte was sent.
      LEAVING: The upstream answered that it is leaving; it did not run.
      TURNED_AWAY: The upstream answered that it takes no work (503, 429).
      SERVER_ERROR: The upstream answered with another 5xx status.
      TIMED_OUT: No answer began in time.
      BROKEN: The exchange broke after bytes were sent.
      MISMATCHED: The reply did not echo the attempt's id.
    """

    NOT_CONNECTED = "not_connected"
    LEAVING = "leaving"
    TURNED_AWAY = "turned_away"
    SERVER_ERROR = "server_error"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    MISMATCHED = "mismatched"


_FREE_KINDS = frozenset({FailureKind.NOT_CONNECTED, FailureKind.LEAVING})


@attrs.frozen
class FailedAttempt:
    """What the decision needs to know of a failure.

    Attributes:
      kind: How the attempt failed.
      attempts: The request's failures so far, this one included: those that
        nobody worked on or the others, whichever this one is.
      is_repeatable: Whether the work may run more than once.
      deadline_ms: When the answer must have ended.
      work_left_ms: The expected time that the rest of the work takes.
    """

    kind: FailureKind
    attempts: int
    is_repeatable: bool
    deadline_ms: int
    work_left_ms: int


@dataclasses.dataclass(frozen=True)
class RetryAfterDelay:
    """The request may be tried again after the delay."""

    delay_ms: int


class GiveUpCause(enum.Enum):
    """Why a request is not tried again."""

    NOT_REPEATABLE = "not_repeatable"
    ATTEMPTS_USED = "attempts_used"
    RETRY_BUDGET_EMPTY = "retry_budget_empty"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """The request gets its final answer at once."""

    cause: GiveUpCause


RetryDecision: TypeAlias = RetryAfterDelay | GiveUp


class RetryBudget:
    """Counts what one pool may still retry."""

    def __init__(self, policy: configuration.RetryPolicy) -> None:
        """Starts with the least budget."""
        self._policy = policy
        self._retries = MIN_BUDGET_RETRIES

    def note_first_attempt(self) -> None:
        """Adds the share that a first attempt brings."""
        self._retries = min(
            _MAX_BUDGET_RETRIES, self._retries + self._policy.budget_ratio
        )

    def note_time(self, elapsed_ms: int) -> None:
        """Refills a quiet pool to the least budget, one retry a second."""
        if self._retries < MIN_BUDGET_RETRIES:
            self._retries = min(
                MIN_BUDGET_RETRIES, self._retries + elapsed_ms / 1_000
            )

    def decide(
        self, failure: FailedAttempt, now_ms: int, rng: random.Random
    ) -> RetryDecision:
        """Decides on one failed attempt and charges the budget for a retry.

        Args:
          failure: The attempt.
          now_ms: The current time.
          rng: The source of the jitter.

        Returns:
          The delay until the next attempt, or why there is none.
        """
        policy = self._policy
        has_sent = failure.kind is not FailureKind.NOT_CONNECTED
        adds_load = failure.kind not in _FREE_KINDS
        if has_sent and not failure.is_repeatable:
            return GiveUp(GiveUpCause.NOT_REPEATABLE)
        max_attempts = policy.max_attempts if adds_load else _MAX_FREE_FAILURES
        if failure.attempts >= max_attempts:
            return GiveUp(GiveUpCause.ATTEMPTS_USED)
        delay_ms = _draw_delay_ms(policy, failure.attempts, rng)
        if now_ms + delay_ms + failure.work_left_ms > failure.deadline_ms:
            return GiveUp(GiveUpCause.DEADLINE)
        if adds_load:
            if self._retries < 1:
                return GiveUp(GiveUpCause.RETRY_BUDGET_EMPTY)
            self._retries -= 1
        return RetryAfterDelay(delay_ms)


def is_free(kind: FailureKind) -> bool:
    """Tells whether no upstream worked on an attempt that failed so."""
    return kind in _FREE_KINDS


def _draw_delay_ms(
    policy: configuration.RetryPolicy, attempts: int, rng: random.Random
) -> int:
    """Draws a delay between zero and an exponentially growing bound."""
    bound_ms = min(
        policy.max_delay_ms, policy.base_delay_ms * 2 ** (attempts - 1)
    )
    return rng.randint(0, bound_ms)
