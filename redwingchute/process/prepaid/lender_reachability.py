"""Tracks which routers reply to charges.

A router that did not reply is left out for a while, and then tried by one
request at a time until it replies: if its availability zone is cut off, few
requests wait for it.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from redwingchute.process import decision_log
from redwingchute.process import hub_choice

# How long no further request is sent to a lender that did not reply.
_LENDER_BACKOFF_MS = 1_500
# The same for the other routers of its availability zone.
_ZONE_BACKOFF_MS = 500
# A lender replies within this time, also if it raises its grant first. One that
# has not is asked by no further request.
_MAX_REPLY_MS = 100


class LenderReachability:
    """What one router knows about the replies of others."""

    def __init__(
        self,
        find_hubs: Callable[[], hub_choice.HubView],
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Starts with all routers in reach.

        Args:
          find_hubs: Returns the hubs of the fleet.
          read_clock_ms: Returns the time on the boot clock.
        """
        self._find_hubs = find_hubs
        self._read_clock_ms = read_clock_ms
        self._backoff_until_ms: dict[str, int] = {}
        # Routers that did not reply, or whose zone seems to be cut off.
        self._doubtful: set[str] = set()
        # The times at which open calls began, the oldest first.
        self._open_calls: dict[str, list[int]] = collections.defaultdict(list)

    def is_in_backoff(self, host: str) -> bool:
        """Returns whether no request is sent to a router for now."""
        return self._backoff_until_ms.get(host, 0) > self._read_clock_ms()

    def may_ask(self, host: str) -> bool:
        """Returns whether a request may ask a lender.

        A doubtful lender is asked by one request at a time, and no lender of
        another zone while a reply from that zone is late.
        """
        if self.is_in_backoff(host) or self._is_reply_late(host):
            return False
        view = self._find_hubs()
        zone = view.zones.get(host)
        if zone != view.own_zone and any(
            self._is_reply_late(other_host)
            for other_host, other_zone in view.zones.items()
            if other_zone == zone
        ):
            return False
        return host not in self._doubtful or not self._open_calls[host]

    def _is_reply_late(self, host: str) -> bool:
        """Returns whether a router has not replied for longer than it takes."""
        open_calls = self._open_calls[host]
        return bool(open_calls) and (
            self._read_clock_ms() - open_calls[0] > _MAX_REPLY_MS
        )

    @contextlib.contextmanager
    def track_call(self, host: str) -> Iterator[None]:
        """Records a call to a router while it is open."""
        started_ms = self._read_clock_ms()
        self._open_calls[host].append(started_ms)
        try:
            yield
        finally:
            self._open_calls[host].remove(started_ms)

    def record_reply(self, host: str) -> None:
        """Records that a router replied."""
        self._doubtful.discard(host)

    def record_silence(self, host: str) -> None:
        """Stops borrowing from a lender that did not reply, for some time.

        The other hubs of its availability zone are left out as well, for a
        shorter time, unless it is this router's zone: if the whole zone is cut
        off, requests then wait for one timeout instead of one for each hub.
        """
        now_ms = self._read_clock_ms()
        decision_log.log_event("lender_unreachable", lender=host)
        view = self._find_hubs()
        zone = view.zones.get(host)
        for other_host, other_zone in view.zones.items():
            if other_zone == zone and zone != view.own_zone:
                self._doubtful.add(other_host)
                backoff_ms = self._backoff_until_ms.get(other_host, 0)
                self._backoff_until_ms[other_host] = max(
                    backoff_ms, now_ms + _ZONE_BACKOFF_MS
                )
        self._doubtful.add(host)
        self._backoff_until_ms[host] = now_ms + _LENDER_BACKOFF_MS
