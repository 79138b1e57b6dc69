"""The refusals that a request can end with.

`NotRun` guarantees that no byte of the request was sent to an upstream.
`OutcomeUnknown` means that the request may have run, and `Failed` that it ran
and did not finish. Callers decide by the type whether a retry is safe.
"""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True)
class NotRun:
    """No byte of the request was sent to an upstream.

    Attributes:
      status: The HTTP status of the response.
      code: A short name of the cause, stable across releases.
      message: A full sentence for the caller.
      retry_after_ms: After how long a retry may succeed; None if a retry is
        not expected to succeed.
    """

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run; it has the same attributes as `NotRun`."""

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Failed:
    """The request ran and did not finish; it has the attributes of `NotRun`."""

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None


Refusal: TypeAlias = NotRun | OutcomeUnknown | Failed


def name_refusal_type(refusal: Refusal) -> str:
    """Returns the value of `type` in the response for a refusal."""
    match refusal:
        case NotRun():
            return "not_run"
        case OutcomeUnknown():
            return "outcome_unknown"
        case Failed():
            return "failed"
