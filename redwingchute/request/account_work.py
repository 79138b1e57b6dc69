"""Counts the work that client accounts ask of services, over all routers.

Every router counts what it admitted and refused in a sliding window, and gets
the counts of others with their load notices. While no router refuses anything
for want of room, nothing is reported.
"""

import collections
from collections.abc import Container
from collections.abc import Iterable

import attrs

from redwingchute.core import requesting

# Long enough that an account's usual variation between two requests averages
# out, short enough that the end of a burst shows before callers return.
WINDOW_MS = 2_000
_BUCKET_MS = 200
# Counts without a successor are used this long; twice that would exceed the
# time in which demand changes.
_NOTICE_TTL_MS = 3_000
# The rows of a notice; those with the most work are sent first.
_MAX_ROWS = 256


@attrs.define
class _Bucket:
    """The work of one account within one step of the window."""

    begin_ms: int
    admitted_units: int = 0
    refused_units: int = 0


@attrs.frozen
class _Notice:
    """The newest counts of a sender, and when they arrived."""

    received_ms: int
    works: tuple[requesting.AccountWork, ...]


class AccountWorks:
    """The work of client accounts that is known to one router.

    Attributes:
      has_peers: Whether there may be other routers to get counts from.
    """

    def __init__(self) -> None:
        """Creates counts without any work."""
        self.has_peers = True
        self._own: dict[tuple[str, str], collections.deque[_Bucket]] = {}
        self._notices: dict[str, _Notice] = {}

    def record(
        self,
        service: str,
        account: str,
        units: int,
        is_admitted: bool,
        now_ms: int,
    ) -> None:
        """Records one request that was admitted, or refused for want of room.

        Args:
          service: Its service.
          account: Its client account.
          units: Its prompt tokens, or 1.
          is_admitted: Whether it was admitted.
          now_ms: The current time.
        """
        buckets = self._own.setdefault((service, account), collections.deque())
        begin_ms = now_ms - now_ms % _BUCKET_MS
        if not buckets or buckets[-1].begin_ms != begin_ms:
            buckets.append(_Bucket(begin_ms))
            _remove_expired(buckets, now_ms)
        if is_admitted:
            buckets[-1].admitted_units += units
        else:
            buckets[-1].refused_units += units

    def record_rejected(
        self, service: str, account: str, units: int, now_ms: int
    ) -> None:
        """Records that upstreams rejected a request that was admitted."""
        self.record(service, account, -units, True, now_ms)
        self.record(service, account, units, False, now_ms)

    def handle_notice(
        self,
        sender: str,
        works: Iterable[requesting.AccountWork],
        now_ms: int,
    ) -> None:
        """Replaces the counts that a sender reported before."""
        self._notices[sender] = _Notice(now_ms, tuple(works))
        for other, notice in list(self._notices.items()):
            if now_ms - notice.received_ms >= _NOTICE_TTL_MS:
                del self._notices[other]

    def list_own(self, now_ms: int) -> tuple[requesting.AccountWork, ...]:
        """Returns this router's counts to report; none without pressure."""
        if not self.is_pressed(now_ms):
            return ()
        return self._sum(now_ms, None)

    def list_reported(
        self, now_ms: int, excluded_senders: Container[str] = ()
    ) -> tuple[requesting.AccountWork, ...]:
        """Returns a hub's counts to report; none without pressure.

        Args:
          now_ms: The current time.
          excluded_senders: Senders whose counts are left out.
        """
        if not self.is_pressed(now_ms):
            return ()
        return self._sum(now_ms, excluded_senders)

    def list_works(
        self, service: str, now_ms: int
    ) -> tuple[requesting.AccountWork, ...]:
        """Returns the known work of each account at a service."""
        return tuple(
            work for work in self._sum(now_ms, ()) if work.service == service
        )

    def find_age_ms(self, now_ms: int) -> int | None:
        """Returns the age in ms of the newest counts of other routers.

        It is 0 without other routers, and None if none is known.
        """
        if not self.has_peers:
            return 0
        ages_ms = [
            now_ms - notice.received_ms
            for notice in self._notices.values()
            if notice.works and now_ms - notice.received_ms < _NOTICE_TTL_MS
        ]
        return min(ages_ms, default=None)

    def is_pressed(self, now_ms: int) -> bool:
        """Returns whether a router refused work for want of room lately."""
        if any(
            bucket.refused_units and now_ms - bucket.begin_ms < WINDOW_MS
            for buckets in self._own.values()
            for bucket in buckets
        ):
            return True
        return any(
            work.refused_units
            for notice in self._notices.values()
            if now_ms - notice.received_ms < _NOTICE_TTL_MS
            for work in notice.works
        )

    def _sum(
        self, now_ms: int, excluded_senders: Container[str] | None
    ) -> tuple[requesting.AccountWork, ...]:
        """Returns the sums of the own and reported counts.

        Args:
          now_ms: The current time.
          excluded_senders: Senders whose counts are left out; None for all.
        """
        sums: dict[tuple[str, str], tuple[int, int]] = {}
        for key, buckets in list(self._own.items()):
            _remove_expired(buckets, now_ms)
            if not buckets:
                del self._own[key]
                continue
            sums[key] = (
                # What was rejected may have been admitted before the window.
                max(0, sum(bucket.admitted_units for bucket in buckets)),
                sum(bucket.refused_units for bucket in buckets),
            )
        for sender, notice in self._notices.items():
            if (
                excluded_senders is None
                or sender in excluded_senders
                or now_ms - notice.received_ms >= _NOTICE_TTL_MS
            ):
                continue
            for work in notice.works:
                key = (work.service, work.account)
                admitted, refused = sums.get(key, (0, 0))
                sums[key] = (
                    admitted + work.admitted_units,
                    refused + work.refused_units,
                )
        works = [
            requesting.AccountWork(service, account, admitted, refused)
            for (service, account), (admitted, refused) in sorted(sums.items())
            if admitted or refused
        ]
        if len(works) > _MAX_ROWS:
            works.sort(key=lambda work: -work.admitted_units)
        return tuple(works[:_MAX_ROWS])


def subtract(
    works: Iterable[requesting.AccountWork],
    subtracted: Iterable[requesting.AccountWork],
) -> tuple[requesting.AccountWork, ...]:
    """Returns the difference of two lists of work, at least 0."""
    own = {(work.service, work.account): work for work in subtracted}
    difference = []
    for work in works:
        known = own.get((work.service, work.account))
        if known is not None:
            work = requesting.AccountWork(
                work.service,
                work.account,
                max(0, work.admitted_units - known.admitted_units),
                max(0, work.refused_units - known.refused_units),
            )
        difference.append(work)
    return tuple(difference)


def _remove_expired(buckets: collections.deque[_Bucket], now_ms: int) -> None:
    """Removes the buckets that have left the window."""
    while buckets and now_ms - buckets[0].begin_ms >= WINDOW_MS:
        buckets.popleft()
