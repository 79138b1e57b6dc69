"""The refusals that a request can end with.

`NotRun` guarantees that no upstream ran the request. `OutcomeUnknown` means
that a request that must not be repeated may have run, and `Failed` that a
request was not completed but may have run. Callers decide by the type whether
a retry is safe.
"""

import dataclasses
from typing import TypeAlias

# What a decision was based on, for logs: names and values.
Context: TypeAlias = tuple[tuple[str, int | float | str | None], ...]


@dataclasses.dataclass(frozen=True)
class NotRun:
    """No upstream ran the request.

    Either no byte of it was sent, or each upstream that received it responded
    that it did not run it.

    Attributes:
      status: The HTTP status of the response.
      code: A short name of the cause, stable across releases.
      message: A full sentence for the caller.
      retry_after_ms: After how long a retry may succeed; None if a retry is
        not expected to succeed.
      context: What the refusal was based on, for logs.
    """

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None
    context: Context = ()


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """A request that must not be repeated may have run.

    It has the same attributes as `NotRun`.
    """

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None
    context: Context = ()


@dataclasses.dataclass(frozen=True)
class Failed:
    """The request was not completed, but may have run.

    For example, the upstream failed, the deadline passed, or the cost of the
    response was not settled. It has the same attributes as `NotRun`.
    """

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None
    context: Context = ()


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
