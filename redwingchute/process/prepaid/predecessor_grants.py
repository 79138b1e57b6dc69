"""The grants that a process takes over from its predecessor on the host.

The whole grants of the predecessor count as spent until an upper bound of the
age that its last stamp had when it ended is known. The bound comes from the
clocks of this host or, after a loss of power, from the stamps of other hosts.
Without a bound the grants stay spent.
"""

import attrs

from redwingchute.core import prepaid
from redwingchute.process.prepaid import ceiling
from redwingchute.process.prepaid import grant_fold
from redwingchute.process.prepaid import stamp_age

# How long after its start a process waits for stamps of other hosts. Later
# stamps are too far from the start to bound its time closely.
_MAX_STAMP_WAIT_MS = 4_000
# By then, a process that has started has written what it could release.
_MAX_RELEASE_MS = 6_000


@attrs.frozen
class StampAgeBound:
    """An upper bound of the age that the predecessor's last stamp had.

    Attributes:
      age_ms: The bound; None if there is none and none will become known.
      source: The clocks that it was computed from, for the decision log:
        `boot_clock`, `wall_clocks` or `none`.
    """

    age_ms: int | None
    source: str


class PredecessorGrants:
    """The rows of the predecessor, until the age of its stamp is known.

    Attributes:
      rows: The rows; the caller empties them once a bound is known and
        applied.
    """

    def __init__(self, started_boot_ms: int, started_wall_ms: int) -> None:
        """Starts without rows.

        Args:
          started_boot_ms: The start of this process on the boot clock.
          started_wall_ms: The start of this process on the wall clock.
        """
        self.rows: tuple[prepaid.GrantRow, ...] = ()
        self._started_boot_ms = started_boot_ms
        self._started_wall_ms = started_wall_ms
        self._stamp: prepaid.HostStamp | None = None
        self._wall_times_before_ms: tuple[int, ...] = ()
        self._wall_times_after_ms: dict[str, int] = {}

    def load(self, host: str, fold: grant_fold.GrantFold) -> None:
        """Loads the predecessor's rows and the stamps of all hosts.

        Args:
          host: This router's host.
          fold: The content of the log before this process appends to it.
        """
        self.rows = fold.list_host_rows(host)
        self._stamp = fold.stamps.get(host)
        self._wall_times_before_ms = tuple(
            stamp.wall_ms for stamp in fold.stamps.values()
        )
        self._wall_times_after_ms = {host: self._started_wall_ms}

    def record_stamp(self, stamp: prepaid.HostStamp) -> None:
        """Records a stamp that another host appended after `load`.

        Only the first stamp of each host counts: it is the closest to the
        start.
        """
        self._wall_times_after_ms.setdefault(stamp.host, stamp.wall_ms)

    def find_stamp_age_bound(self, now_boot_ms: int) -> StampAgeBound | None:
        """Returns the bound of the stamp's age.

        Args:
          now_boot_ms: The time on the boot clock.

        Returns:
          The bound, or None while stamps of other hosts may still give one.
        """
        if self._stamp is None:
            return StampAgeBound(None, "none")
        age_ms = stamp_age.find_max_age_by_boot_clock(
            self._stamp, self._started_boot_ms, self._started_wall_ms
        )
        if age_ms is not None:
            return StampAgeBound(age_ms, "boot_clock")
        age_ms = stamp_age.find_max_age_by_wall_clocks(
            self._stamp,
            self._wall_times_before_ms,
            tuple(self._wall_times_after_ms.values()),
        )
        if age_ms is not None:
            return StampAgeBound(age_ms, "wall_clocks")
        if now_boot_ms - self._started_boot_ms > _MAX_STAMP_WAIT_MS:
            return StampAgeBound(None, "none")
        return None


def may_release_later(fold: grant_fold.GrantFold, wall_ms: int) -> bool:
    """Returns whether a host started so recently that it may release tokens.

    Args:
      fold: The stamps of all hosts; an epoch is the wall time of a start.
      wall_ms: The time on the wall clock.
    """
    return any(
        stamp.epoch > wall_ms - _MAX_RELEASE_MS
        for stamp in fold.list_active_stamps()
    )


def find_max_spent(row: prepaid.GrantRow, age_bound: StampAgeBound) -> int:
    """Returns an upper bound of what the predecessor spent of its grant.

    Args:
      row: Its last row.
      age_bound: The bound of the age that its last stamp had when it ended.
    """
    if age_bound.age_ms is None:
        return row.granted_tokens
    return max(row.spent_tokens, ceiling.find_ceiling(row, age_bound.age_ms))
