"""Builders of the observations of a soak."""

from typing import Any

from redwingchute.soak import observations
from redwingchute.standin import runner

REQUEST_ID = "000001-0"
SENT_MS = 100_000
RETRY_LIMIT = observations.RetryLimit(ratio=0.2, slack=3.0, window_ms=10_000)

_OUTPUT_TOKENS = 4


def make_stream(
    numbers: range = range(_OUTPUT_TOKENS), request_id: str = REQUEST_ID
) -> str:
    """Returns the events of a stream."""
    return b"".join(
        runner.make_event(number, request_id) for number in numbers
    ).decode()


def make_attempt(
    kind: observations.Kind = observations.Kind.NON_IDEMPOTENT,
    request_id: str = REQUEST_ID,
    **changes: Any,
) -> observations.CallerAttempt:
    """Returns an attempt with a complete and valid response.

    Args:
      kind: The kind of request.
      request_id: The id of the attempt.
      **changes: Fields that differ.
    """
    body = f"ran /{kind}/{request_id}"
    fields = {
        "request_id": request_id,
        "kind": kind,
        "host": "host-1",
        "sent_ms": SENT_MS,
        "ended_ms": SENT_MS + 30,
        "deadline_ms": 2_000,
        "outcome": observations.Outcome.ANSWERED,
        "output_tokens": _OUTPUT_TOKENS,
        "status": 200,
        "response_id": request_id,
        "is_signed": True,
        "body": make_stream(request_id=request_id) if kind.is_stream else body,
    }
    return observations.CallerAttempt(**{**fields, **changes})


def make_event(
    event: str = "ran",
    request_id: str = REQUEST_ID,
    upstream: str = "ledger-1-1",
    at_ms: int = SENT_MS + 5,
) -> observations.UpstreamEvent:
    """Returns an event of an upstream of the service `ledger`."""
    return observations.UpstreamEvent(
        at_ms, event, upstream, "ledger", request_id
    )


def make_observations(
    *records: observations.CallerAttempt
    | observations.UpstreamEvent
    | observations.AppliedFault,
    unexpected_ends: tuple[str, ...] = (),
    **fields: Any,
) -> observations.Observations:
    """Returns observations with the given records.

    Args:
      *records: The records.
      unexpected_ends: The programs whose processes ended by themselves.
      **fields: Further fields.
    """
    return observations.Observations(
        attempts=tuple(
            record
            for record in records
            if isinstance(record, observations.CallerAttempt)
        ),
        events=tuple(
            record
            for record in records
            if isinstance(record, observations.UpstreamEvent)
        ),
        faults=tuple(
            record
            for record in records
            if isinstance(record, observations.AppliedFault)
        ),
        retry_limit=RETRY_LIMIT,
        unexpected_ends=unexpected_ends,
        **fields,
    )
