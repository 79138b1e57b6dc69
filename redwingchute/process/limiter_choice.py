"""Chooses the limiters of upstreams: the routers that issue permits for them.

Every router derives them from the registered hosts: the first two in the order
of a rendezvous hash, those in the upstream's zone before all others. The first
issues permits for the whole limit, the second for a part, to routers that
cannot reach the first. Both together stay within what an upstream tolerates, so
they need no agreement when one of them stops or they are cut off.

While hosts join or leave, routers may know different limiters. A host that has
just become the first, or whose list of hosts may be out of date, issues less.

The rate of a cold upstream holds in each second, so the shares in it are
smaller, and a host that has joined issues nothing until all others know of it.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence

import xxhash

from redwingchute.process import host_registry

FIRST_SHARE = 1.0
# Of the first limiter while another router may take itself for the first.
UNSETTLED_SHARE = 0.5
SECOND_SHARE = 0.4
# The shares in the rate of a cold upstream. One host of each kind may issue at
# the same time: the sum leaves room for requests that are sent late.
COLD_FIRST_SHARE = 0.8
COLD_UNSETTLED_SHARE = 0.3
COLD_SECOND_SHARE = 0.2
# A host that has not read the list of hosts for this long may lack changes.
_READ_LAG_MS = 4_000
# A host that started again has registered by then, and others have read it.
_RESTART_MS = 10_000
# The limiters of this many upstreams are remembered.
_MAX_CACHED = 8_192


class LimiterChoice:
    """The limiters of all upstreams, as one router sees them."""

    def __init__(
        self,
        own_host: str,
        find_registration: Callable[[], host_registry.Registration | None],
    ) -> None:
        """Creates an instance that knows no hosts.

        Args:
          own_host: The router's host.
          find_registration: Returns the own host's place in the list of hosts.
        """
        self._own_host = own_host
        self._find_registration = find_registration
        self._hosts: tuple[host_registry.RegisteredHost, ...] = ()
        # Earlier lists of hosts, and until when each was the newest.
        self._earlier: collections.deque[
            tuple[int, tuple[host_registry.RegisteredHost, ...]]
        ] = collections.deque()
        self._cached: dict[tuple[str, str], tuple[str, ...]] = {}
        # Until when the host counts as one that the others knew before its
        # process started.
        self._restarted_until_ms = 0

    def record_hosts(
        self, hosts: Sequence[host_registry.RegisteredHost], now_ms: int
    ) -> None:
        """Records a new list of the hosts that are neither leaving nor gone."""
        self._drop_outdated(now_ms)
        self._earlier.append((now_ms, self._hosts))
        self._hosts = tuple(hosts)
        if self._find_registration() is None and any(
            host.name == self._own_host for host in hosts
        ):
            self._restarted_until_ms = now_ms + _RESTART_MS
        self._cached.clear()

    def list_limiters(self, upstream_id: str, zone: str) -> tuple[str, ...]:
        """Returns the hosts that hold a part of a limit, the first one first.

        Args:
          upstream_id: The upstream.
          zone: Its availability zone.
        """
        key = (upstream_id, zone)
        limiters = self._cached.get(key)
        if limiters is None:
            limiters = _choose_limiters(self._hosts, upstream_id, zone)
            if len(self._cached) >= _MAX_CACHED:
                self._cached.clear()
            self._cached[key] = limiters
        return limiters

    def find_share(self, upstream_id: str, zone: str, now_ms: int) -> float:
        """Returns the part of a limit that this router holds; 0 for none.

        Args:
          upstream_id: The upstream.
          zone: Its availability zone.
          now_ms: The current time.
        """
        limiters = self.list_limiters(upstream_id, zone)
        if self._own_host not in limiters:
            return 0.0
        if self._own_host != limiters[0]:
            return SECOND_SHARE
        if self._is_settled_first(upstream_id, zone, now_ms):
            return FIRST_SHARE
        return UNSETTLED_SHARE

    def find_cold_share(
        self, upstream_id: str, zone: str, now_ms: int
    ) -> float:
        """Returns the part of a cold upstream's rate that this router holds.

        Args:
          upstream_id: The upstream.
          zone: Its availability zone.
          now_ms: The current time.

        Returns:
          The part; 0 for none.
        """
        limiters = self.list_limiters(upstream_id, zone)
        if self._own_host not in limiters or not self._is_known(now_ms):
            return 0.0
        if self._own_host != limiters[0]:
            return COLD_SECOND_SHARE if self._has_fresh_list(now_ms) else 0.0
        if self._is_settled_first(upstream_id, zone, now_ms):
            return COLD_FIRST_SHARE
        return COLD_UNSETTLED_SHARE

    def _is_known(self, now_ms: int) -> bool:
        """Returns whether all routers that read the list know the host."""
        if now_ms < self._restarted_until_ms:
            return True
        registration = self._find_registration()
        return (
            registration is not None
            and now_ms - registration.since_ms > _READ_LAG_MS
        )

    def _has_fresh_list(self, now_ms: int) -> bool:
        """Returns whether the list of hosts was read lately."""
        registration = self._find_registration()
        return (
            registration is not None
            and now_ms - registration.read_ms <= _READ_LAG_MS
        )

    def _is_settled_first(
        self, upstream_id: str, zone: str, now_ms: int
    ) -> bool:
        """Returns whether no other router takes itself for the first."""
        if not self._has_fresh_list(now_ms):
            return False
        self._drop_outdated(now_ms)
        return all(
            _choose_limiters(hosts, upstream_id, zone)[:1] == (self._own_host,)
            for _, hosts in self._earlier
        )

    def _drop_outdated(self, now_ms: int) -> None:
        """Drops the lists that no router has any more."""
        while self._earlier and now_ms - self._earlier[0][0] > _READ_LAG_MS:
            self._earlier.popleft()


def _choose_limiters(
    hosts: Sequence[host_registry.RegisteredHost], upstream_id: str, zone: str
) -> tuple[str, ...]:
    """Returns the first two hosts in the order for an upstream."""
    ordered = sorted(
        hosts,
        key=lambda host: (
            host.zone != zone,
            xxhash.xxh64_intdigest(f"{upstream_id}/{host.name}".encode()),
        ),
    )
    return tuple(host.name for host in ordered[:2])
