"""Sheds load: refuses generations that would wait too long for prefill.

Once upstreams receive more prompts than they can process, each admitted request
delays all later ones. Requests of lower priority are refused first. The size
of a request is ignored, so that large ones are not refused more often.
"""

from redwingchute.core import outcomes

# The longest wait as a multiple of the target latency, by priority. It exceeds
# 1 because a response that is somewhat late still has value.
_MAX_WAIT_FACTORS = (2.0, 1.6)
_DEFAULT_MAX_WAIT_FACTOR = 1.2
_MIN_RETRY_AFTER_MS = 300


def refuse_if_late(
    delay_ms: float, target_latency_ms: int, priority: int
) -> outcomes.NotRun | None:
    """Returns the refusal of a request that would wait too long, or None.

    Args:
      delay_ms: The estimated time until its upstream begins its prefill.
      target_latency_ms: The target time to its first event; 0 if its route
        has none, then it is never refused.
      priority: Its priority; lower numbers go first.
    """
    limit_ms = target_latency_ms * _find_max_wait_factor(priority)
    if not target_latency_ms or delay_ms <= limit_ms:
        return None
    # By then the wait has shrunk to half the limit, unless more work arrives.
    retry_after_ms = max(_MIN_RETRY_AFTER_MS, int(delay_ms - limit_ms / 2))
    return outcomes.NotRun(
        503,
        "upstreams_busy",
        "The upstreams cannot begin the request in time.",
        retry_after_ms,
    )


def _find_max_wait_factor(priority: int) -> float:
    """Returns the longest wait in multiples of the target latency."""
    if 0 <= priority < len(_MAX_WAIT_FACTORS):
        return _MAX_WAIT_FACTORS[priority]
    return _DEFAULT_MAX_WAIT_FACTOR
