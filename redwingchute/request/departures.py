"""Tracks the upstreams that state in a response that they are leaving.

A leaving upstream completes its requests, still accepts new ones for its drain
time, and then stops. It gets new requests only while no other upstream can
serve them, and none after the drain time. A later start of the same instance
is another upstream.

This module serves requests that are forwarded by route; upstreams of pools are
tracked by `leaving_upstreams`.
"""

from redwingchute.core import forwarding

# The oldest departures beyond this number are discarded.
_MAX_DEPARTURES = 1_024


class Departures:
    """The upstreams that are leaving, also after their entries are gone."""

    def __init__(self, drain_ms: int) -> None:
        """Creates an instance without departures.

        Args:
          drain_ms: How long a leaving upstream still accepts requests.
        """
        self._drain_ms = drain_ms
        # When the departure of each start of an upstream was first seen, the
        # oldest first.
        self._seen_ms: dict[forwarding.UpstreamStart, int] = {}

    def record(self, start: forwarding.UpstreamStart, now_ms: int) -> bool:
        """Records that an upstream is leaving; returns whether that is new."""
        if start in self._seen_ms:
            return False
        self._seen_ms[start] = now_ms
        while len(self._seen_ms) > _MAX_DEPARTURES:
            del self._seen_ms[next(iter(self._seen_ms))]
        return True

    def is_leaving(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether an upstream is known to be leaving."""
        return bool(self._seen_ms) and upstream.start in self._seen_ms

    def has_drained(self, upstream: forwarding.Upstream, now_ms: int) -> bool:
        """Returns whether the drain time of a leaving upstream is over."""
        if not self._seen_ms:
            return False
        seen_ms = self._seen_ms.get(upstream.start)
        return seen_ms is not None and now_ms - seen_ms >= self._drain_ms
