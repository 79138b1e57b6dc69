"""A clock that approximates the wall clock but never steps.

Timeouts, retries and deadlines compare times taken by the same process. If
they used the wall clock and it were set back, they would be delayed until it
caught up. This clock reads the wall clock once and then advances with the
monotonic clock.
"""

import time


class SteadyClock:
    """Returns the wall-clock time of its creation plus the time elapsed."""

    def __init__(self) -> None:
        """Reads the wall clock."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def read_ms(self) -> int:
        """Returns the milliseconds since the Unix epoch."""
        return (time.monotonic_ns() + self._offset_ns) // 1_000_000
