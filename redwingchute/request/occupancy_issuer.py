"""Issues permits for requests to brittle upstreams.

A brittle upstream fails if it has to reject many requests for want of room, so
no more requests may be there at once than it runs. Each permit is returned
when its request has ended. A limiter that has just started does not know of
the requests that are already there, so it issues few at first. After a
rejection it issues fewer, and for a second after several it issues none.
"""

import collections

import attrs

from redwingchute.core import forwarding

# Of the slots of an upstream: the permits of a limiter that has just started,
# and how many are added each second, and each second after a rejection.
_FIRST_SHARE = 0.25
_GROWTH_SHARE_PER_S = 0.5
_CAREFUL_SHARE_PER_S = 0.05
_CAREFUL_MS = 5_000
# Of the rejections that an upstream bears in a second: those after which
# nothing is sent. The rest is for requests that are on their way.
_USED_REJECTIONS = 0.5
_WINDOW_MS = 1_000
# A permit whose return was lost ends after this time.
_MAX_HOLD_MS = 12_000
# A request that got no permit is likely to get one after this time.
_WAIT_MS = 40
# What was not used for the longest time is discarded beyond this number.
_MAX_UPSTREAMS = 8_192


@attrs.define
class _Occupancy:
    """The permits of one start of an upstream.

    Attributes:
      allowed: How many may be open at `updated_ms`.
      updated_ms: When that was computed.
      issued_ms: When the open ones were issued, the oldest first.
      rejected_ms: When requests were rejected within the last second.
      last_rejected_ms: When the last one was.
    """

    allowed: float
    updated_ms: int
    issued_ms: collections.deque[int] = attrs.field(factory=collections.deque)
    rejected_ms: collections.deque[int] = attrs.field(factory=collections.deque)
    last_rejected_ms: int = -_CAREFUL_MS


class OccupancyIssuer:
    """The permits that one router issues for brittle upstreams."""

    def __init__(self) -> None:
        """Creates an issuer without permits."""
        self._occupancies: dict[forwarding.UpstreamStart, _Occupancy] = {}

    def issue(
        self,
        start: forwarding.UpstreamStart,
        slots: int,
        share: float,
        rejections_per_s: float,
        now_ms: int,
    ) -> int:
        """Issues a permit for one request, if there is room for it.

        Args:
          start: The start of the upstream that the request is for.
          slots: How many requests it runs at once.
          share: The part of them that this router holds, above 0.
          rejections_per_s: How many requests it can reject in a second.
          now_ms: The current time.

        Returns:
          0 if a permit was issued, otherwise the time in ms until there may be
          one.
        """
        most = max(1.0, share * slots)
        occupancy = self._occupancies.pop(start, None)
        if occupancy is None:
            first = max(1.0, _FIRST_SHARE * most)
            occupancy = _Occupancy(first, now_ms)
        self._occupancies[start] = occupancy
        while len(self._occupancies) > _MAX_UPSTREAMS:
            del self._occupancies[next(iter(self._occupancies))]
        _update(occupancy, most, now_ms)
        if len(occupancy.rejected_ms) > _USED_REJECTIONS * rejections_per_s:
            oldest_ms = occupancy.rejected_ms[0]
            return max(1, oldest_ms + _WINDOW_MS - now_ms)
        if len(occupancy.issued_ms) + 1 > occupancy.allowed:
            return _WAIT_MS
        occupancy.issued_ms.append(now_ms)
        return 0

    def take_back(
        self, start: forwarding.UpstreamStart, was_rejected: bool, now_ms: int
    ) -> None:
        """Takes back a permit whose request has ended.

        Args:
          start: The start of the upstream.
          was_rejected: Whether the upstream rejected the request.
          now_ms: The current time.
        """
        occupancy = self._occupancies.get(start)
        if occupancy is None:
            return
        if occupancy.issued_ms:
            occupancy.issued_ms.popleft()
        if was_rejected:
            occupancy.rejected_ms.append(now_ms)
            occupancy.last_rejected_ms = now_ms
            # There was no room for one more than the others that are there.
            occupancy.allowed = max(
                1.0, min(occupancy.allowed, float(len(occupancy.issued_ms)))
            )


def _update(occupancy: _Occupancy, most: float, now_ms: int) -> None:
    """Lets permits grow, and drops what is too old to count."""
    is_careful = now_ms - occupancy.last_rejected_ms < _CAREFUL_MS
    growth = _CAREFUL_SHARE_PER_S if is_careful else _GROWTH_SHARE_PER_S
    elapsed_s = max(0, now_ms - occupancy.updated_ms) / 1_000
    occupancy.allowed = min(most, occupancy.allowed + growth * most * elapsed_s)
    occupancy.updated_ms = now_ms
    for times, age_ms in (
        (occupancy.issued_ms, _MAX_HOLD_MS),
        (occupancy.rejected_ms, _WINDOW_MS),
    ):
        while times and now_ms - times[0] >= age_ms:
            times.popleft()
