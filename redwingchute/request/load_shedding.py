"""Refuses generations at once that upstreams cannot begin in time.

Once more is to be read than upstreams manage, each request that is let in makes
all later ones late. Requests of lower rank are refused first. The size of a
request does not count, so that large ones are not refused more often.
"""

from redwingchute.core import outcomes

# A wait of this many target latencies is the most, by the request's rank. An
# answer that is somewhat late is still worth having.
_MOST_TARGETS_BY_PRIORITY = (2.0, 1.6)
_MOST_TARGETS = 1.2
_MIN_RETRY_AFTER_MS = 300


def refuse_if_late(
    delay_ms: float, target_latency_ms: int, priority: int
) -> outcomes.NotRun | None:
    """Returns the refusal of a request that would wait too long, or None.

    Args:
      delay_ms: How long until its upstream would begin with it.
      target_latency_ms: Within this time its first event is worth most; 0
        when that is not known.
      priority: Its rank; lower numbers go first.
    """
    limit_ms = target_latency_ms * _find_most_targets(priority)
    if not target_latency_ms or delay_ms <= limit_ms:
        return None
    retry_after_ms = max(_MIN_RETRY_AFTER_MS, int(delay_ms - limit_ms / 2))
    return outcomes.NotRun(
        503,
        "upstreams_busy",
        "The upstreams cannot begin with the request in time.",
        retry_after_ms,
    )


def _find_most_targets(priority: int) -> float:
    """Returns how many target latencies a request may wait."""
    if 0 <= priority < len(_MOST_TARGETS_BY_PRIORITY):
        return _MOST_TARGETS_BY_PRIORITY[priority]
    return _MOST_TARGETS
