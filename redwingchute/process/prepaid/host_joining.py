"""Decides when a host that joins may raise grants.

If nobody had read of a host, the log lost its stamp and the host died, nobody
would know of its grants. So it raises none until another host has read its
stamp, or until the stamp is older than any copy from which the log may return.
"""

from redwingchute.core import prepaid
from redwingchute.process import shared_log
from redwingchute.process.prepaid import grant_fold

# The log returns from a copy that is at most some seconds old.
_MAX_COPY_AGE_MS = 10_000


class HostJoining:
    """Whether other hosts know that a host may hold grants.

    Attributes:
      has_joined: Whether they do.
    """

    def __init__(self) -> None:
        """Starts as a host that nobody knows."""
        self.has_joined = False
        # The end of the append with the host's first stamp, and its time.
        self._stamped_at: shared_log.LogPosition | None = None
        self._stamped_boot_ms = 0

    def record_stamp(
        self,
        stamp: prepaid.HostStamp,
        end: shared_log.LogPosition,
        era: int,
    ) -> None:
        """Records that the log has a stamp of the host.

        Args:
          stamp: The stamp.
          end: The end of the topic after its append, or a later position.
          era: The present era of the log.
        """
        if stamp.is_leaving:
            self.has_joined = False
            self._stamped_at = None
        elif not self.has_joined and (
            self._stamped_at is None or self._stamped_at.era != era
        ):
            self._stamped_at = end
            self._stamped_boot_ms = stamp.boot_ms

    def update(
        self, fold: grant_fold.GrantFold, host: str, boot_ms: int
    ) -> None:
        """Checks whether another host has read the host's stamp.

        Args:
          fold: The stamps of all hosts.
          host: The host.
          boot_ms: The time on its boot clock.
        """
        if self.has_joined or self._stamped_at is None:
            return
        self.has_joined = (
            boot_ms - self._stamped_boot_ms > _MAX_COPY_AGE_MS
            or fold.is_read_by_others(host, self._stamped_at)
        )
