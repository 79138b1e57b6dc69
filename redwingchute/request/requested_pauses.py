"""Tracks the pauses that upstreams ask for when they reject a request.

Until the pause ends, this router sends the upstream nothing. Routers resume at
different times, so that the upstream does not get the requests of all of them
at once.
"""

from redwingchute.core import forwarding
from redwingchute.core import spread

# A longer pause is cut to this. An upstream that asks for more is out of use
# until it starts again, as far as any caller can wait.
_MAX_PAUSE_MS = 600_000
# The oldest pauses beyond this number are discarded.
_MAX_PAUSES = 1_024


class RequestedPauses:
    """The upstreams that asked this router for a pause."""

    def __init__(self, host: str) -> None:
        """Creates an instance without pauses.

        Args:
          host: The router's host, which decides how much later it resumes.
        """
        self._host = host
        # The end of the pause of each start of an upstream.
        self._ends_ms: dict[forwarding.UpstreamStart, int] = {}

    def record(
        self, upstream: forwarding.Upstream, retry_after_ms: int, now_ms: int
    ) -> int:
        """Records a pause; a pause that is known to last longer stays.

        Args:
          upstream: The upstream.
          retry_after_ms: How long it asked for nothing to be sent.
          now_ms: The current time.

        Returns:
          The time in ms until the upstream may be used again.
        """
        pause_ms = min(retry_after_ms, _MAX_PAUSE_MS)
        if pause_ms > 0:
            end_ms = now_ms + spread.spread_delay_ms(
                pause_ms, f"{self._host}/{upstream.id}"
            )
            end_ms = max(end_ms, self._ends_ms.pop(upstream.start, 0))
            self._ends_ms[upstream.start] = end_ms
            while len(self._ends_ms) > _MAX_PAUSES:
                del self._ends_ms[next(iter(self._ends_ms))]
        return max(0, self.find_end_ms(upstream) - now_ms)

    def is_paused(self, upstream: forwarding.Upstream, now_ms: int) -> bool:
        """Returns whether the pause of an upstream lasts."""
        return now_ms < self.find_end_ms(upstream)

    def find_end_ms(self, upstream: forwarding.Upstream) -> int:
        """Returns when the last pause of an upstream ends; 0 if it had none."""
        return self._ends_ms.get(upstream.start, 0) if self._ends_ms else 0
