"""A manual clock that runs callbacks in order of time."""

from collections.abc import Callable
import heapq
import itertools


class Clock:
    """Time that passes only from one callback to the next.

    Attributes:
      now_ms: The current time.
    """

    def __init__(self, start_ms: int) -> None:
        """Starts at an instant, with nothing planned."""
        self.now_ms = float(start_ms)
        self._order = itertools.count()
        self._plans: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Plans a callback."""
        heapq.heappush(self._plans, (at_ms, next(self._order), callback))

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Plans a callback after a delay."""
        self.call_at(self.now_ms + delay_ms, callback)

    def run_until(self, end_ms: float) -> None:
        """Runs the callbacks up to an instant."""
        while self._plans and self._plans[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._plans)
            callback()
        self.now_ms = end_ms
