"""Computes how old a process's last stamp was at most when the process ended.

The successor process on the host counts as spent what its predecessor may have
spent until it ended, which depends on that age. The predecessor ended before
the successor started, so the time from the stamp to that start is an upper
bound. The host's boot clock measures it, unless the host lost power. In that
case the wall clocks of several hosts are compared. Some of them may have been
set forward or back, so the median is used.
"""

from collections.abc import Sequence
import statistics

from redwingchute.core import prepaid

# The boot clock restarts at 0 after a loss of power and may then happen to be
# ahead of the stamp. This is detected by comparison with the wall clock, which
# is rarely set forward or back by more than this.
_MAX_CLOCK_JUMP_MS = 10_000
# The median of fewer clocks may be the value of a clock that was set wrong.
_MIN_CLOCKS = 3
# Synchronized wall clocks of different hosts differ by less than this.
_MAX_CLOCK_SKEW_MS = 100


def find_max_age_by_boot_clock(
    stamp: prepaid.HostStamp, started_boot_ms: int, started_wall_ms: int
) -> int | None:
    """Returns an upper bound of a stamp's age from the host's own clocks.

    Args:
      stamp: The last stamp of the predecessor.
      started_boot_ms: The start of the successor on the boot clock.
      started_wall_ms: The start of the successor on the wall clock.

    Returns:
      The age in milliseconds, or None if the boot clock restarted in between.
    """
    age_ms = started_boot_ms - stamp.boot_ms
    wall_age_ms = started_wall_ms - stamp.wall_ms
    if age_ms < 0 or abs(wall_age_ms - age_ms) > _MAX_CLOCK_JUMP_MS:
        return None
    return max(age_ms, wall_age_ms)


def find_max_age_by_wall_clocks(
    stamp: prepaid.HostStamp,
    wall_times_before_ms: Sequence[int],
    wall_times_after_ms: Sequence[int],
) -> int | None:
    """Returns an upper bound of a stamp's age from the hosts' wall clocks.

    Args:
      stamp: The last stamp of the predecessor.
      wall_times_before_ms: The wall times of the stamps of all hosts when the
        successor first read the log. Their median replaces the stamp's own
        time if that is later, since the host's clock may have been ahead.
      wall_times_after_ms: The wall times of several hosts at or after the
        start of the successor.

    Returns:
      The age in milliseconds, or None if there are too few clocks or they
      contradict each other.
    """
    if (
        len(wall_times_after_ms) < _MIN_CLOCKS
        or len(wall_times_before_ms) < _MIN_CLOCKS
    ):
        return None
    stamp_wall_ms = min(stamp.wall_ms, statistics.median(wall_times_before_ms))
    age_ms = int(statistics.median(wall_times_after_ms) - stamp_wall_ms)
    if age_ms < 0:
        return None
    return age_ms + _MAX_CLOCK_SKEW_MS
