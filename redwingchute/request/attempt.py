"""The life of a request's attempts, as types.

A request begins as `Unsent`. Sending its first byte consumes that object and
gives a `Sent`, which has no way back. `NotRunAnswer`, the only refusal that
promises that nothing ran, is built from an `Unsent` alone; a router that has
sent a byte thus cannot make that promise, and mypy says so before a test does.
"""

import dataclasses
from typing import Final
from typing import TypeAlias

from redwingchute.core import outcomes


class ConsumedError(Exception):
    """A state of a request was used after the request had left it."""


class _BuildPermission:
    """Lets only this module's states build the types of this module."""


_PERMISSION: Final = _BuildPermission()


def _check_permission(permission: _BuildPermission) -> None:
    """Raises when a type is built from outside of its state."""
    if permission is not _PERMISSION:
        raise ConsumedError("this type is built by the state of its request")


@dataclasses.dataclass(frozen=True)
class NotRunAnswer:
    """A final answer for a request of which no byte was sent."""

    refusal: outcomes.NotRun
    permission: dataclasses.InitVar[_BuildPermission]

    def __post_init__(self, permission: _BuildPermission) -> None:
        """Refuses to exist without an `Unsent` request."""
        _check_permission(permission)


@dataclasses.dataclass(frozen=True)
class SentAnswer:
    """A final refusal for a request that an upstream may have seen."""

    refusal: outcomes.OutcomeUnknown | outcomes.Failed


RefusalAnswer: TypeAlias = NotRunAnswer | SentAnswer


class Sent:
    """A request of which at least one byte may have reached an upstream.

    Attributes:
      attempt_id: The id of the attempt that runs now or ran last.
      attempts: How many attempts sent a byte.
    """

    def __init__(
        self, attempt_id: str, attempts: int, permission: _BuildPermission
    ) -> None:
        """Is called by `Unsent.begin_sending` and `begin_another` only."""
        _check_permission(permission)
        self.attempt_id = attempt_id
        self.attempts = attempts
        self._is_consumed = False

    def begin_another(self, attempt_id: str) -> "Sent":
        """Starts a further attempt; the object is consumed."""
        self._consume()
        return Sent(attempt_id, self.attempts + 1, _PERMISSION)

    def fail(self, refusal: outcomes.Failed) -> SentAnswer:
        """Ends the request as one that ran and did not finish."""
        self._consume()
        return SentAnswer(refusal)

    def lose(self, refusal: outcomes.OutcomeUnknown) -> SentAnswer:
        """Ends the request as one that may have run."""
        self._consume()
        return SentAnswer(refusal)

    def matches(self, response_headers: dict[str, str]) -> bool:
        """Tells whether a response echoes the id of the current attempt."""
        return response_headers.get("x-attempt-id") == self.attempt_id

    def _consume(self) -> None:
        """Ends this state; raises when it had ended before."""
        if self._is_consumed:
            raise ConsumedError(f"attempt {self.attempt_id} has ended")
        self._is_consumed = True


class Unsent:
    """A request of which no byte has reached any upstream."""

    def __init__(self) -> None:
        """Starts the life of a request."""
        self._is_consumed = False

    def begin_sending(self, attempt_id: str) -> Sent:
        """Must be called before the first byte; the object is consumed."""
        self._consume()
        return Sent(attempt_id, 1, _PERMISSION)

    def refuse(self, refusal: outcomes.NotRun) -> NotRunAnswer:
        """Ends the request with the promise that it did not run."""
        self._consume()
        return NotRunAnswer(refusal, _PERMISSION)

    def _consume(self) -> None:
        """Ends this state; raises when it had ended before."""
        if self._is_consumed:
            raise ConsumedError("the request is no longer unsent")
        self._is_consumed = True


class AttemptIds:
    """Makes attempt ids that are unique across processes and restarts."""

    def __init__(self, incarnation: int) -> None:
        """Binds the ids to one start of one process."""
        self._incarnation = incarnation
        self._count = 0

    def make_id(self) -> str:
        """Returns an id that was never returned before."""
        self._count += 1
        return f"{self._incarnation:016x}-{self._count:x}"
