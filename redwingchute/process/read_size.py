"""Chooses how much a read of the shared log asks for.

A read that asks for more than the host's link carries soon keeps its reader
from what is newer. The width of the link is known from the settings, but other
traffic shares it, and it may be narrower for a while: what was measured counts
where it is less.
"""

import attrs

# What a read brings should have arrived in this time, so that a version is
# known well within the seconds in which it has to be in force.
_TRANSFER_MS = 400
# What the log returns at the most.
_MAX_READ_BYTES = 1024 * 1024
# The length of a record and the offsets in front of all records.
_FRAMING_BYTES = 1024
# The duration of a smaller transfer depends on the latency, not on the width.
_MIN_MEASURED_BYTES = 32 * 1024
# The share of a higher rate that a measurement adds to the estimate.
_RISE_SHARE = 0.25


@attrs.frozen
class ReadLimits:
    """What bounds a read; the defaults apply where the settings state nothing.

    Attributes:
      link_bytes_per_s: The width of the host's link.
      record_bytes: The size of the largest record, which any read must be able
        to return.
      keep_ms: How long the log keeps records. A response that takes longer is
        of no use: what follows it is gone.
    """

    link_bytes_per_s: float = 125_000_000.0
    record_bytes: float = 256 * 1024
    keep_ms: float = 20_000.0


class ReadSize:
    """The size of reads over one link.

    Attributes:
      bytes_per_s: The rate that is expected of the next read.
      limits: What bounds a read.
    """

    def __init__(self, limits: ReadLimits) -> None:
        """Expects the stated width of the link."""
        self.bytes_per_s = limits.link_bytes_per_s
        self.limits = limits

    def choose_bytes(self) -> int:
        """Returns how many bytes the next read should ask for."""
        carried_bytes = self.bytes_per_s * _TRANSFER_MS / 1000
        return int(
            max(
                self.limits.record_bytes + _FRAMING_BYTES,
                min(carried_bytes, _MAX_READ_BYTES),
            )
        )

    def record(self, size_bytes: int, elapsed_ms: float) -> None:
        """Records how long a body took from its head to its end.

        Args:
          size_bytes: What was received of it.
          elapsed_ms: The time that this took, also if it was given up then.
        """
        if size_bytes < _MIN_MEASURED_BYTES or elapsed_ms <= 0:
            return
        measured = min(
            self.limits.link_bytes_per_s, 1000 * size_bytes / elapsed_ms
        )
        rise = measured - self.bytes_per_s
        self.bytes_per_s += rise * (_RISE_SHARE if rise > 0 else 1.0)
