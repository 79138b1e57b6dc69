"""The lifecycle of one request: its attempts, retries and final refusal.

The lifecycle owns the type states of `request_state`, so that the type of a
refusal always follows from what was sent. A request that was sent in its first
attempt may have run: if the queue refuses its second attempt, the refusal is
not `NotRun`.
"""

import random

import attrs

from redwingchute.core import outcomes
from redwingchute.request import request_state
from redwingchute.request import retry


@attrs.frozen
class LifecycleSettings:
    """The settings of the lifecycle of a request.

    Attributes:
      is_repeatable: Whether the request may run more than once.
      deadline_ms: The time at which the response must be complete.
    """

    is_repeatable: bool
    deadline_ms: int


class RequestLifecycle:
    """The state of one request from admission to its final response.

    Attributes:
      settings: Whether the request is repeatable, and its deadline.
      attempt_ids: The ids of all attempts that began, in order.
    """

    def __init__(
        self,
        settings: LifecycleSettings,
        ids: request_state.AttemptIds,
        retry_budget: retry.RetryBudget,
        rng: random.Random,
    ) -> None:
        """Creates the lifecycle of a request that has not been sent.

        Args:
          settings: Whether the request is repeatable, and its deadline.
          ids: The generator of attempt ids.
          retry_budget: The retry budget of the pool that runs the request.
          rng: The source of the jitter between attempts.
        """
        self.settings = settings
        self.attempt_ids: list[str] = []
        self._id_generator = ids
        self._retry_budget = retry_budget
        self._rng = rng
        self._state: request_state.Unsent | request_state.Sent = (
            request_state.Unsent()
        )
        self._unprocessed_failures = 0
        self._other_failures = 0

    @property
    def has_sent(self) -> bool:
        """Whether a byte may have reached an upstream."""
        return isinstance(self._state, request_state.Sent)

    def begin_sending(self) -> request_state.Sent:
        """Begins an attempt; must be called before its first byte is sent."""
        attempt_id = self._id_generator.make_id()
        self.attempt_ids.append(attempt_id)
        match self._state:
            case request_state.Unsent() as unsent:
                self._retry_budget.record_first_attempt()
                sent = unsent.begin_sending(attempt_id)
            case request_state.Sent() as earlier:
                sent = earlier.begin_next_attempt(attempt_id)
        self._state = sent
        return sent

    def record_failure(
        self, kind: retry.FailureKind, now_ms: int, remaining_work_ms: int
    ) -> retry.RetryDecision:
        """Records a failed attempt and decides whether to retry.

        Args:
          kind: How the attempt failed.
          now_ms: The current time.
          remaining_work_ms: The expected time to complete the rest of the
            request.
        """
        if retry.is_unprocessed(kind):
            self._unprocessed_failures += 1
            failure_count = self._unprocessed_failures
        else:
            self._other_failures += 1
            failure_count = self._other_failures
        failure = retry.FailedAttempt(
            kind,
            failure_count,
            self.settings.is_repeatable,
            self.settings.deadline_ms,
            remaining_work_ms,
        )
        return self._retry_budget.decide(failure, now_ms, self._rng)

    def refuse(self, refusal: outcomes.NotRun) -> request_state.FinalRefusal:
        """Ends the request with a refusal.

        The refusal stays `NotRun` only if nothing was sent. Otherwise it
        becomes `Failed` for a repeatable request, else `OutcomeUnknown`.

        Args:
          refusal: The refusal for the case that nothing was sent.
        """
        match self._state:
            case request_state.Unsent() as unsent:
                return unsent.refuse(refusal)
            case request_state.Sent() as sent if self.settings.is_repeatable:
                return sent.fail(
                    outcomes.Failed(
                        refusal.status,
                        refusal.code,
                        refusal.message,
                        refusal.retry_after_ms,
                    )
                )
            case request_state.Sent() as sent:
                return sent.end_with_unknown_outcome(
                    outcomes.OutcomeUnknown(
                        refusal.status,
                        refusal.code,
                        refusal.message,
                        refusal.retry_after_ms,
                    )
                )
