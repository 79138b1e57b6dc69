"""Recognizes callers that were refused and came back at their time.

A caller states the time that it has left. One that waited has less of it left
than others of its route had when they came first. So every router recognizes
it, also one that did not refuse it, and nothing has to be sent. A caller that
repeats at once has hardly less, and does not count as one that came back.
"""

import attrs

# Less than the shortest time after which a refused caller is asked to return,
# by the time that a refusal takes to the caller and a request back.
_MIN_WAITED_MS = 200
# How long the patience of first tries is remembered, at least; callers come
# with the same patience many times within it.
_PERIOD_MS = 10_000


@attrs.define
class _RoutePatience:
    """The longest patience seen at a route, in this period and the last."""

    period: int
    longest_ms: int = 0
    earlier_longest_ms: int = 0


class ReturningCallers:
    """The patience with which callers come first, by route."""

    def __init__(self) -> None:
        """Creates a record without any route."""
        self._routes: dict[str, _RoutePatience] = {}

    def record(self, route: str, patience_ms: int | None, now_ms: int) -> bool:
        """Records a request and returns whether its caller has come back.

        Args:
          route: The name of its route.
          patience_ms: The time that its caller has left; None if not stated.
          now_ms: The current time.
        """
        if patience_ms is None:
            return False
        period = now_ms // _PERIOD_MS
        known = self._routes.setdefault(route, _RoutePatience(period))
        if known.period != period:
            is_next = known.period + 1 == period
            known.earlier_longest_ms = known.longest_ms if is_next else 0
            known.period, known.longest_ms = period, 0
        known.longest_ms = max(known.longest_ms, patience_ms)
        longest_ms = max(known.longest_ms, known.earlier_longest_ms)
        return longest_ms - patience_ms >= _MIN_WAITED_MS
