"""The event queue and clock of a discrete-event simulation."""

from collections.abc import Callable
import heapq
import itertools


class Clock:
    """A clock that advances to the time of each callback that it runs.

    Attributes:
      now_ms: The current simulated time.
    """

    def __init__(self, start_ms: int) -> None:
        """Creates a clock without callbacks that starts at the given time."""
        self.now_ms = float(start_ms)
        self._order = itertools.count()
        self._callbacks: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Schedules a callback.

        Callbacks of the same time run in the order of these calls.
        """
        heapq.heappush(self._callbacks, (at_ms, next(self._order), callback))

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay."""
        self.call_at(self.now_ms + delay_ms, callback)

    def run_until(self, end_ms: float) -> None:
        """Runs the callbacks that are due up to and including a time."""
        while self._callbacks and self._callbacks[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._callbacks)
            callback()
        self.now_ms = end_ms
