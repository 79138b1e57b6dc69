"""How old the last stamp of a process was when it ended.

Its successor counts what the former process may have spent by then. The former
process ended before the successor started. The boot clock tells how long that
was after the stamp, unless the host lost power. Then the times of day of
several hosts do: some may have jumped, so the median counts.
"""

from collections.abc import Sequence
import statistics

from redwingchute.core import prepaid

# The boot clock starts anew after a loss of power. A reading that fits the
# stamp by chance is told by the time of day, which is rarely off by more.
_MAX_CLOCK_JUMP_MS = 10_000
# The median of fewer clocks may be that of one that jumped.
_MIN_CLOCKS = 3
# Times of day that are kept in step differ by less between hosts.
_MAX_CLOCK_SKEW_MS = 100


def find_age_by_boot_clock(
    stamp: prepaid.HostStamp, started_boot_ms: int, started_wall_ms: int
) -> int | None:
    """Returns the most that a stamp was old, by the host's own clocks.

    Args:
      stamp: The last stamp of the former process.
      started_boot_ms: When the successor started, on the boot clock.
      started_wall_ms: The same by the time of day.

    Returns:
      The age in milliseconds, or None when the boot clock started anew.
    """
    age_ms = started_boot_ms - stamp.boot_ms
    wall_age_ms = started_wall_ms - stamp.wall_ms
    if age_ms < 0 or abs(wall_age_ms - age_ms) > _MAX_CLOCK_JUMP_MS:
        return None
    return max(age_ms, wall_age_ms)


def find_age_by_wall_clocks(
    stamp: prepaid.HostStamp,
    wall_times_before_ms: Sequence[int],
    wall_times_after_ms: Sequence[int],
) -> int | None:
    """Returns the most that a stamp was old, by the times of day.

    Args:
      stamp: The last stamp of the former process.
      wall_times_before_ms: The stamps of all hosts when the successor read the
        log first; they bound the stamp's own time, which may have jumped.
      wall_times_after_ms: The times of day of several hosts at or after the
        start of the successor.

    Returns:
      The age in milliseconds, or None when too few clocks tell.
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
