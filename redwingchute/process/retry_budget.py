"""Divides the retries that a fleet may make among its routers.

The limit for a service is a ratio of its requests plus a fixed slack, for all
routers together. Each router applies the ratio to its own requests and uses an
equal share of the slack. Shares fall at once and rise late: retries of hosts
that are gone still count until their window has passed.
"""

import collections
from collections.abc import Callable

from redwingchute.process import host_registry
from redwingchute.request import retry_allowance

# A host that has not read the list of hosts for this long may lack new ones.
_READ_LAG_MS = 4_000
# By how much a fleet may grow while one of its hosts cannot read the list.
_MAX_UNREAD_GROWTH = 2


class RetryBudget:
    """The retry allowances of one router, by service."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: int,
        find_registration: Callable[[], host_registry.Registration | None],
    ) -> None:
        """Creates a budget without allowances.

        Args:
          ratio: The retries allowed for each request in a window.
          slack: The additional retries that all routers together may make in
            a window.
          window_ms: The length of the window.
          find_registration: Returns the own host's place in the list of hosts.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        # How long after it was acquired a retry may be in a window.
        self._counted_ms = window_ms + retry_allowance.ARRIVAL_DELAY_MS
        self._find_registration = find_registration
        self._host_count = 1
        # Earlier counts, and until when each was in force.
        self._earlier_counts: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._allowances: dict[str, retry_allowance.RetryAllowance] = {}

    def record_host_count(self, count: int, now_ms: int) -> None:
        """Records the number of hosts, this one included, that share it."""
        self._earlier_counts.append((now_ms, self._host_count))
        self._host_count = count

    def find_allowance(self, service: str) -> retry_allowance.RetryAllowance:
        """Returns the allowance for a service."""
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = retry_allowance.RetryAllowance(
                self._ratio, self._find_share, self._window_ms
            )
            self._allowances[service] = allowance
        return allowance

    def _find_share(self, now_ms: int) -> float:
        """Returns this router's share of the slack."""
        registration = self._find_registration()
        if registration is None:
            return 0.0
        # Others may divide the share of a host that does not renew its entry.
        if now_ms - registration.renewed_ms > host_registry.LEASE_MS:
            return 0.0
        # An earlier process of the host may have used the share until this one
        # started, and the others may have used larger ones until they read that
        # this host has joined.
        begins_ms = registration.since_ms + _READ_LAG_MS + self._counted_ms
        if now_ms < begins_ms:
            return 0.0
        share = self._slack / self._find_largest_count(now_ms)
        if now_ms - registration.read_ms > _READ_LAG_MS:
            return share / _MAX_UNREAD_GROWTH
        return share

    def _find_largest_count(self, now_ms: int) -> int:
        """Returns the largest number of hosts whose retries may still count."""
        counts = self._earlier_counts
        while counts and counts[0][0] <= now_ms - self._counted_ms:
            counts.popleft()
        return max([self._host_count, *(count for _, count in counts)])
