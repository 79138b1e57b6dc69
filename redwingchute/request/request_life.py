"""Decides what follows each event in the life of one request.

It owns the type states of `attempt`, so that a refusal always has the type
that what was sent allows: a request that is refused by the queue on its
second attempt has run, whatever the queue says.
"""

import random

import attrs

from redwingchute.core import outcomes
from redwingchute.request import attempt
from redwingchute.request import retry


@attrs.frozen
class LifeSettings:
    """What a request's life depends on.

    Attributes:
      is_repeatable: Whether the work may run more than once.
      deadline_ms: When the answer must have ended.
    """

    is_repeatable: bool
    deadline_ms: int


class RequestLife:
    """One request, from its admission to its final answer.

    Attributes:
      settings: What its life depends on.
      attempt_ids: The ids of the attempts that were begun, in order.
    """

    def __init__(
        self,
        settings: LifeSettings,
        ids: attempt.AttemptIds,
        retry_budget: retry.RetryBudget,
        rng: random.Random,
    ) -> None:
        """Starts with nothing sent.

        Args:
          settings: What its life depends on.
          ids: Makes the attempt ids.
          retry_budget: The budget of the pool that runs it.
          rng: The source of the jitter between attempts.
        """
        self.settings = settings
        self.attempt_ids: list[str] = []
        self._ids = ids
        self._retry_budget = retry_budget
        self._rng = rng
        self._state: attempt.Unsent | attempt.Sent = attempt.Unsent()
        self._free_failures = 0
        self._failures = 0

    @property
    def has_sent(self) -> bool:
        """Whether a byte may have reached an upstream."""
        return isinstance(self._state, attempt.Sent)

    def begin_sending(self) -> attempt.Sent:
        """Begins an attempt; must be called before its first byte."""
        attempt_id = self._ids.make_id()
        self.attempt_ids.append(attempt_id)
        match self._state:
            case attempt.Unsent() as unsent:
                self._retry_budget.note_first_attempt()
                sent = unsent.begin_sending(attempt_id)
            case attempt.Sent() as earlier:
                sent = earlier.begin_another(attempt_id)
        self._state = sent
        return sent

    def note_failure(
        self, kind: retry.FailureKind, now_ms: int, work_left_ms: int
    ) -> retry.RetryDecision:
        """Decides whether a failed attempt is followed by another.

        Args:
          kind: How it failed.
          now_ms: The current time.
          work_left_ms: How long the rest of the work is expected to take.
        """
        if retry.is_free(kind):
            self._free_failures += 1
            attempts = self._free_failures
        else:
            self._failures += 1
            attempts = self._failures
        failure = retry.FailedAttempt(
            kind,
            attempts,
            self.settings.is_repeatable,
            self.settings.deadline_ms,
            work_left_ms,
        )
        return self._retry_budget.decide(failure, now_ms, self._rng)

    def refuse(self, refusal: outcomes.NotRun) -> attempt.RefusalAnswer:
        """Ends the request with a refusal of the type that is true for it."""
        match self._state:
            case attempt.Unsent() as unsent:
                return unsent.refuse(refusal)
            case attempt.Sent() as sent if self.settings.is_repeatable:
                return sent.fail(
                    outcomes.Failed(
                        refusal.status,
                        refusal.code,
                        refusal.message,
                        refusal.retry_after_ms,
                    )
                )
            case attempt.Sent() as sent:
                return sent.lose(
                    outcomes.OutcomeUnknown(
                        refusal.status,
                        refusal.code,
                        refusal.message,
                        refusal.retry_after_ms,
                    )
                )
