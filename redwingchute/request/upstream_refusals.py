"""Refuses requests that no upstream can serve at the moment."""

from redwingchute.core import outcomes
from redwingchute.core import spread
from redwingchute.process import decision_log
from redwingchute.request import forward_plan
from redwingchute.request import upstream_directory

# Retry-after of a refusal whose cause has no known end.
_RETRY_AFTER_MS = 500


def refuse_no_upstream(
    plan: forward_plan.Plan,
    directory: upstream_directory.UpstreamDirectory,
    now_ms: int,
) -> outcomes.NotRun:
    """Returns the refusal of a request that no upstream can serve.

    It says when the caller may return. If no home region of the request has
    an upstream, none is expected to, so that it names no time.

    Args:
      plan: The request.
      directory: The upstreams of all services.
      now_ms: The current time.
    """
    retry_after_ms: int | None = find_retry_after_ms(plan, directory, now_ms)
    if plan.homes.regions is None:
        return outcomes.NotRun(
            503,
            "no_upstream",
            directory.explain_no_upstream(plan.service.name),
            retry_after_ms,
        )
    if not directory.has_upstream(plan.service.name, now_ms, plan.homes):
        retry_after_ms = None
    decision_log.log_failure(
        "no_home_upstream",
        request_id=plan.request.id,
        service=plan.service.name,
        regions=sorted(plan.homes.regions),
        retry_after_ms=retry_after_ms,
    )
    return outcomes.NotRun(
        503,
        "no_home_upstream",
        "No upstream is ready where the request may run.",
        retry_after_ms,
    )


def find_retry_after_ms(
    plan: forward_plan.Plan,
    directory: upstream_directory.UpstreamDirectory,
    now_ms: int,
) -> int:
    """Returns when a caller may return whose request can't be served now.

    If all upstreams are paused, that is after the first pause has ended;
    callers then return at different times.

    Args:
      plan: The request.
      directory: The upstreams of all services.
      now_ms: The current time.
    """
    retry_delay_ms = directory.find_retry_delay_ms(
        plan.service.name,
        now_ms,
        forward_plan.is_urgent(plan),
        plan.homes,
    )
    if not retry_delay_ms:
        return _RETRY_AFTER_MS
    return max(
        _RETRY_AFTER_MS,
        spread.spread_delay_ms(retry_delay_ms, plan.request.id),
    )
