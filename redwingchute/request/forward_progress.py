"""The progress of one forwarded request, and its lines in the decision log."""

import attrs

from redwingchute.core import forwarding
from redwingchute.core import streams
from redwingchute.process import decision_log
from redwingchute.request import crash_evidence
from redwingchute.request import forward_attempt
from redwingchute.request import forward_plan
from redwingchute.request import stream_origins


@attrs.define
class Progress:
    """The progress of one request over its attempts.

    Attributes:
      relay: What the caller has received of a streamed response.
      request_subject: What the request has in common with its repeats.
      sends: The number of upstreams that the request was sent to.
      connect_failures: The number of upstreams to which connecting failed.
      may_have_run: Whether an upstream may have processed the request.
      excluded: Upstreams that were tried and are not tried again.
      not_permitted: Upstreams whose limits did not permit the request.
      upstream_id: The upstream of the last attempt.
      upstream_version: The software version of that upstream.
      origin: Where a stream began whose first event has arrived, or None.
      bond: Where a stream may go on that the caller resumes, or None.
      earlier_events: The events that the caller had before the last attempt.
      last_event_ms: When the last chunk of a stream arrived; None before the
        first.
      trace: The exchange of the last attempt.
    """

    relay: forward_attempt.Relay
    request_subject: crash_evidence.RequestSubject
    sends: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    excluded: frozenset[str] = frozenset()
    not_permitted: frozenset[str] = frozenset()
    upstream_id: str = ""
    upstream_version: str = ""
    origin: streams.StreamOrigin | None = None
    bond: stream_origins.VersionBond | None = None
    earlier_events: int = 0
    last_event_ms: int | None = None
    trace: forward_attempt.ExchangeTrace = attrs.field(
        factory=forward_attempt.ExchangeTrace
    )


def is_urgent(plan: forward_plan.Plan, progress: Progress) -> bool:
    """Returns whether a request goes before others.

    That is so if it has the highest priority, or if its caller already has a
    part of the response.
    """
    return (
        progress.bond is not None
        or progress.relay.event_count > 0
        or forward_plan.is_urgent(plan)
    )


def count_spent_tokens(plan: forward_plan.Plan, progress: Progress) -> int:
    """Returns the tokens consumed: the prompt and the delivered output.

    Returns 0 if no upstream may have run the request.
    """
    generation = plan.request.generation
    if generation is None or not progress.may_have_run:
        return 0
    delivered = progress.relay.event_count * plan.service.tokens_per_event
    return generation.prompt_tokens + min(
        delivered, generation.max_output_tokens
    )


def log_end(
    plan: forward_plan.Plan, progress: Progress, outcome: str, elapsed_ms: int
) -> None:
    """Logs the end of a request whose caller got no refusal."""
    decision_log.log_event(
        "request_ended",
        request_id=plan.request.id,
        route=plan.route.name,
        account=plan.account.name if plan.account else None,
        upstream=progress.upstream_id,
        upstream_version=progress.upstream_version,
        resumed_id=plan.request.resumed_id,
        sends=progress.sends,
        events=progress.relay.event_count,
        spent_tokens=count_spent_tokens(plan, progress),
        outcome=outcome,
        connection=progress.trace.connection,
        carrier=progress.trace.carrier,
        earlier_exchanges=progress.trace.earlier_exchanges,
        skipped_responses=progress.trace.skipped_responses,
        elapsed_ms=elapsed_ms,
    )


def log_attempt(
    plan: forward_plan.Plan,
    progress: Progress,
    upstream: forwarding.Upstream,
    outcome: str,
    reason: str,
    elapsed_ms: int,
    is_closed: bool,
) -> None:
    """Logs an attempt that failed.

    Args:
      plan: The request.
      progress: Its progress.
      upstream: The upstream of the attempt.
      outcome: How the attempt ended.
      reason: Why.
      elapsed_ms: The time since the request arrived.
      is_closed: Whether the upstream closed the connection.
    """
    generation = plan.request.generation
    parts = generation.shared_parts if generation else ()
    decision_log.log_failure(
        "attempt_failed",
        request_id=plan.request.id,
        upstream=upstream.id,
        address=upstream.address,
        upstream_version=upstream.version,
        born_ms=upstream.born_ms,
        outcome=outcome,
        reason=reason,
        is_closed=is_closed,
        subject=crash_evidence.encode_subject(progress.request_subject),
        **attrs.asdict(progress.trace),
        events=progress.relay.event_count,
        parts=[part.id for part in parts],
        elapsed_ms=elapsed_ms,
    )
