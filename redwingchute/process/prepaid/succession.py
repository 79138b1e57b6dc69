"""What a new process may conclude about the one before it on its host.

The former process kept below its ceilings while its last stamp was young. So
its successor has to know how old that stamp was when the former process ended,
which was before the successor started. The boot clock tells, unless the host
lost power. Then the times of day of several hosts do: some may have jumped, so
the median counts.
"""

from collections.abc import Sequence
import statistics

from redwingchute.core import prepaid

# The boot clock starts anew after a loss of power. A reading that fits the
# stamp by chance is told by the time of day, which is rarely off by more.
_MAX_CLOCK_JUMP_MS = 10_000
# The median of fewer clocks may be that of one that jumped.
MIN_CLOCKS = 3


def is_young_by_boot_clock(
    stamp: prepaid.HostStamp, started_boot_ms: int, started_wall_ms: int
) -> bool:
    """Tells whether the boot clock shows that a stamp was young.

    Args:
      stamp: The last stamp of the former process.
      started_boot_ms: When the successor started, on the boot clock.
      started_wall_ms: The same by the time of day.
    """
    age_ms = started_boot_ms - stamp.boot_ms
    wall_age_ms = started_wall_ms - stamp.wall_ms
    if abs(wall_age_ms - age_ms) > _MAX_CLOCK_JUMP_MS:
        return False
    return 0 <= age_ms < stamp.proof_ms


def is_young_by_wall_clocks(
    stamp: prepaid.HostStamp,
    walls_before_ms: Sequence[int],
    walls_after_ms: Sequence[int],
) -> bool:
    """Tells whether the times of day show that a stamp was young.

    Args:
      stamp: The last stamp of the former process.
      walls_before_ms: The stamps of all hosts when the successor read the
        log first; they bound the stamp's own time, which may have jumped.
      walls_after_ms: The times of day of several hosts at or after the start
        of the successor.
    """
    if len(walls_after_ms) < MIN_CLOCKS or len(walls_before_ms) < MIN_CLOCKS:
        return False
    before_ms = min(stamp.wall_ms, statistics.median(walls_before_ms))
    age_ms = statistics.median(walls_after_ms) - before_ms
    return 0 <= age_ms < stamp.proof_ms
