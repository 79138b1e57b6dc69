"""The refusals of requests whose failed attempt is not retried."""

from redwingchute.core import outcomes
from redwingchute.request import retry

_RETRY_AFTER_MS = 1_000


def refuse_after_last_attempt(
    cause: retry.StopCause, has_sent: bool
) -> outcomes.NotRun:
    """Returns the refusal of a request whose last attempt failed.

    Args:
      cause: Why there is no further attempt.
      has_sent: Whether any attempt sent a byte.

    Returns:
      The refusal as for an unsent request. `RequestLifecycle.refuse` converts
      it to the type that follows from what was sent.
    """
    if cause is retry.StopCause.DEADLINE:
        return outcomes.NotRun(
            504,
            "deadline_passed",
            "An attempt failed, and a retry would miss the deadline.",
            _RETRY_AFTER_MS,
        )
    if not has_sent:
        return outcomes.NotRun(
            503,
            "no_upstream",
            "No upstream of the pool could be reached.",
            _RETRY_AFTER_MS,
        )
    if cause is retry.StopCause.RETRY_BUDGET_EMPTY:
        return outcomes.NotRun(
            503,
            "retry_budget_empty",
            "An attempt failed, and the retry budget of the pool is empty.",
            _RETRY_AFTER_MS,
        )
    return outcomes.NotRun(
        502,
        "upstreams_failed",
        "All attempts failed.",
        _RETRY_AFTER_MS,
    )
