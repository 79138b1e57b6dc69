"""Type states of a request: unsent or sent.

A request begins as `Unsent`. Before its first byte is sent, the `Unsent` object
is consumed and replaced by a `Sent` object; there is no transition back.
`NotRunRefusal`, the only refusal that promises that nothing ran, can only be
built from an `Unsent` object. Code that has sent a byte thus cannot make this
promise: mypy reports it as a type error.
"""

import dataclasses
from typing import Final
from typing import TypeAlias

from redwingchute.core import outcomes


class ConsumedError(Exception):
    """A state of a request was used after the request left that state."""


class _BuildPermission:
    """A token that only the states of this module use to build its types."""


_PERMISSION: Final = _BuildPermission()


def _check_permission(permission: _BuildPermission) -> None:
    """Raises `ConsumedError` if a type is built outside this module."""
    if permission is not _PERMISSION:
        raise ConsumedError("this type is built by the state of its request")


@dataclasses.dataclass(frozen=True)
class NotRunRefusal:
    """The refusal of a request of which no byte was sent."""

    refusal: outcomes.NotRun
    permission: dataclasses.InitVar[_BuildPermission]

    def __post_init__(self, permission: _BuildPermission) -> None:
        """Rejects construction except by `Unsent.refuse`."""
        _check_permission(permission)


@dataclasses.dataclass(frozen=True)
class SentRefusal:
    """The refusal of a request that an upstream may have received."""

    refusal: outcomes.OutcomeUnknown | outcomes.Failed


FinalRefusal: TypeAlias = NotRunRefusal | SentRefusal


class Sent:
    """A request of which at least one byte may have reached an upstream.

    Attributes:
      attempt_id: The id of the current or last attempt.
      attempts: The number of attempts that sent a byte.
    """

    def __init__(
        self, attempt_id: str, attempts: int, permission: _BuildPermission
    ) -> None:
        """For `Unsent.begin_sending` and `begin_next_attempt` only."""
        _check_permission(permission)
        self.attempt_id = attempt_id
        self.attempts = attempts
        self._is_consumed = False

    def begin_next_attempt(self, attempt_id: str) -> "Sent":
        """Begins the next attempt; consumes this object."""
        self._consume()
        return Sent(attempt_id, self.attempts + 1, _PERMISSION)

    def fail(self, refusal: outcomes.Failed) -> SentRefusal:
        """Ends a request that was not completed; consumes this object."""
        self._consume()
        return SentRefusal(refusal)

    def end_with_unknown_outcome(
        self, refusal: outcomes.OutcomeUnknown
    ) -> SentRefusal:
        """Ends a request that may have run; consumes this object."""
        self._consume()
        return SentRefusal(refusal)

    def matches(self, response_headers: dict[str, str]) -> bool:
        """Returns whether a response echoes the id of the current attempt."""
        return response_headers.get("x-attempt-id") == self.attempt_id

    def _consume(self) -> None:
        """Ends this state; raises when it had ended before."""
        if self._is_consumed:
            raise ConsumedError(f"attempt {self.attempt_id} has ended")
        self._is_consumed = True


class Unsent:
    """A request of which no byte has reached any upstream."""

    def __init__(self) -> None:
        """Creates the state of a new request."""
        self._is_consumed = False

    def begin_sending(self, attempt_id: str) -> Sent:
        """Begins the first attempt; consumes this object.

        Must be called before the first byte is sent.
        """
        self._consume()
        return Sent(attempt_id, 1, _PERMISSION)

    def refuse(self, refusal: outcomes.NotRun) -> NotRunRefusal:
        """Ends a request that did not run; consumes this object."""
        self._consume()
        return NotRunRefusal(refusal, _PERMISSION)

    def _consume(self) -> None:
        """Ends this state; raises when it had ended before."""
        if self._is_consumed:
            raise ConsumedError("the request is no longer unsent")
        self._is_consumed = True


class AttemptIds:
    """Generates attempt ids that are unique across processes and restarts."""

    def __init__(self, incarnation: int) -> None:
        """Creates a generator for one start of one process.

        Args:
          incarnation: The number of this start, unique among all starts of all
            routers.
        """
        self._incarnation = incarnation
        self._count = 0

    def make_id(self) -> str:
        """Returns a new unique id."""
        self._count += 1
        return f"{self._incarnation:016x}-{self._count:x}"
