"""What a process takes over from the one before it on its host.

All that the former process was granted counts as spent until clocks show how
old its last stamp was when it ended: those of the host at once, or those of
other hosts as soon as their stamps arrive. Without such a proof it stays spent.
"""

import attrs

from redwingchute.core import prepaid
from redwingchute.process.prepaid import ceiling
from redwingchute.process.prepaid import grant_fold
from redwingchute.process.prepaid import succession

# Stamps that come later than this say nothing about the start any more.
_MAX_STAMP_WAIT_MS = 4_000


@attrs.frozen
class Proof:
    """How old the last stamp of the former process was at most.

    Attributes:
      age_ms: The age; None when no clock tells, now or later.
      source: The clocks that tell.
    """

    age_ms: int | None
    source: str


class Inheritance:
    """The rows of a former process, until their proof is found.

    Attributes:
      rows: Its rows; empty once they are settled.
    """

    def __init__(self, started_boot_ms: int, started_wall_ms: int) -> None:
        """Starts without rows.

        Args:
          started_boot_ms: When this process started, on the boot clock.
          started_wall_ms: The same by the time of day.
        """
        self.rows: tuple[prepaid.GrantRow, ...] = ()
        self._started_boot_ms = started_boot_ms
        self._started_wall_ms = started_wall_ms
        self._stamp: prepaid.HostStamp | None = None
        self._wall_times_before_ms: tuple[int, ...] = ()
        self._wall_times_after_ms: dict[str, int] = {}

    def take(self, host: str, fold: grant_fold.GrantFold) -> None:
        """Takes the rows of a host as the log holds them.

        Args:
          host: This router's host.
          fold: What the log holds, before this process wrote to it.
        """
        self.rows = fold.list_own_rows(host)
        self._stamp = fold.stamps.get(host)
        self._wall_times_before_ms = tuple(
            stamp.wall_ms for stamp in fold.stamps.values()
        )
        self._wall_times_after_ms = {host: self._started_wall_ms}

    def note_stamp(self, stamp: prepaid.HostStamp) -> None:
        """Takes a stamp that another host made after this process started.

        The first one of a host is the closest to the start.
        """
        self._wall_times_after_ms.setdefault(stamp.host, stamp.wall_ms)

    def find_proof(self, now_boot_ms: int) -> Proof | None:
        """Returns what is known of the last stamp; None when it may still be.

        Args:
          now_boot_ms: The time on the boot clock.
        """
        if self._stamp is None:
            return Proof(None, "none")
        age_ms = succession.find_age_by_boot_clock(
            self._stamp, self._started_boot_ms, self._started_wall_ms
        )
        if age_ms is not None:
            return Proof(age_ms, "boot_clock")
        age_ms = succession.find_age_by_wall_clocks(
            self._stamp,
            self._wall_times_before_ms,
            tuple(self._wall_times_after_ms.values()),
        )
        if age_ms is not None:
            return Proof(age_ms, "wall_clocks")
        if now_boot_ms - self._started_boot_ms > _MAX_STAMP_WAIT_MS:
            return Proof(None, "none")
        return None


def find_most_spent(row: prepaid.GrantRow, proof: Proof) -> int:
    """Returns the most that the former process spent of its grant."""
    if proof.age_ms is None:
        return row.granted_tokens
    return max(row.spent_tokens, ceiling.find_ceiling(row, proof.age_ms))
