"""Decides whether a forwarded request is sent to another upstream."""

from redwingchute.process import decision_log
from redwingchute.request import forward_plan
from redwingchute.request import forward_progress
from redwingchute.request import retry_allowance
from redwingchute.request import stream_origins
from redwingchute.request import upstream_directory


def try_acquire_retry(
    plan: forward_plan.Plan,
    progress: forward_progress.Progress,
    directory: upstream_directory.UpstreamDirectory,
    allowance: retry_allowance.RetryAllowance,
    now_ms: int,
    bond: stream_origins.VersionBond | None = None,
) -> bool:
    """Acquires a retry from the allowance, if the request can be retried.

    Returns False without a use of the allowance if no other upstream is left.
    While upstreams pause because they are full, the retries do not fill the
    ones that are left.

    Args:
      plan: The request; its deadline must not have passed.
      progress: Its progress.
      directory: The upstreams of all services.
      allowance: The retry allowance of the service.
      now_ms: The current time.
      bond: The upstreams that a stream may go on at; None for any.
    """
    if progress.sends >= plan.route.max_attempts:
        return False
    # It is not known from where on the rest of such a stream is missing.
    if progress.relay.event_count and progress.relay.last_event_id is None:
        return False
    chosen = directory.choose(
        plan.service.name,
        plan.request,
        progress.excluded | progress.not_permitted,
        now_ms,
        forward_progress.is_urgent(plan, progress),
        bond,
        plan.homes,
        plan.route.target_latency_ms,
    )
    if chosen is None:
        return False
    is_full = chosen.load >= chosen.upstream.slots
    if is_full and directory.has_requested_pause(
        plan.service.name, now_ms, plan.homes
    ):
        return False
    is_acquired = allowance.acquire_retry(now_ms)
    state = allowance.find_state(now_ms)
    fields = {
        "request_id": plan.request.id,
        "service": plan.service.name,
        "used": state.used,
        "limit": round(state.limit, 1),
    }
    if is_acquired:
        decision_log.log_failure("retry_acquired", **fields)
    else:
        decision_log.log_failure("retry_denied", **fields)
    return is_acquired
