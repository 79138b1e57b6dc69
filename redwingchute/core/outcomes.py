"""The tagged outcomes that a request can end with.

There are three refusals. `NotRun` promises that no byte of the request went
to any upstream, `OutcomeUnknown` that it may have run, and `Failed` that it
ran and did not finish. Callers decide by them whether a repeat is safe.
"""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True)
class NotRun:
    """No byte of the request went to any upstream.

    Attributes:
      status: The HTTP status of the answer.
      code: A short name of the cause, stable across releases.
      message: A full sentence for the caller.
      retry_after_ms: When coming back can help, or None when it cannot.
    """

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run; the attributes are those of `NotRun`."""

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Failed:
    """The request ran and did not finish; attributes as for `NotRun`."""

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None


Refusal: TypeAlias = NotRun | OutcomeUnknown | Failed


def name_refusal_type(refusal: Refusal) -> str:
    """Returns the `type` that the wire answer carries for a refusal."""
    match refusal:
        case NotRun():
            return "not_run"
        case OutcomeUnknown():
            return "outcome_unknown"
        case Failed():
            return "failed"
