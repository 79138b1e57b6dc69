"""A clock that shows the time of day and never jumps.

Timeouts, retries and deadlines compare times that one process took. Were the
host's clock set back, they would all wait until it has caught up. This clock
reads the time of day once and counts on from there by the monotonic clock.
"""

import time


class SteadyClock:
    """Shows milliseconds since the epoch, as of its making, plus elapsed."""

    def __init__(self) -> None:
        """Reads the time of day."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def find_now_ms(self) -> int:
        """Returns the milliseconds since the epoch."""
        return (time.monotonic_ns() + self._offset_ns) // 1_000_000
