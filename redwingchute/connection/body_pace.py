"""Tells a response that arrives slowly from one that does not arrive.

A time limit for a whole exchange would bound its size: a response that is
larger than what a narrow link carries in that time is given up each time that
it is read. The limits here apply to the beginning of a response, to each pause
while it arrives, and to its average rate. Only a body without end meets the one
for the whole.
"""

import math

import attrs


@attrs.frozen
class BodyPace:
    """How slowly a message may be transferred.

    Attributes:
      stall_ms: How long nothing may arrive. It is also the head start that the
        average rate is given.
      min_bytes_per_s: The lowest average rate.
      max_ms: How long a body may take in any case.
    """

    stall_ms: int
    min_bytes_per_s: int
    max_ms: float = math.inf

    def find_transfer_ms(self, size_bytes: int) -> float:
        """Returns how long a number of bytes may take at the lowest rate."""
        return 1000 * size_bytes / self.min_bytes_per_s

    def find_deadline_ms(
        self, begin_ms: float, now_ms: float, received_bytes: int
    ) -> float:
        """Returns by when more of a body has to arrive.

        Args:
          begin_ms: When the head had arrived.
          now_ms: When the last part of the body did.
          received_bytes: What has arrived of the body.
        """
        due_ms = min(now_ms, begin_ms + self.find_transfer_ms(received_bytes))
        return min(due_ms + self.stall_ms, begin_ms + self.max_ms)
