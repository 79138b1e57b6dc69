"""Chooses the limiters of upstreams: the routers that issue permits for them.

Every router derives them from the registered hosts: the first two in the order
of a rendezvous hash, those in the upstream's zone before all others. The first
issues permits for the whole limit, the second for a part, to routers that
cannot reach the first. Both together stay within what an upstream tolerates, so
they need no agreement when one of them stops or they are cut off.

While hosts join or leave, routers may know different limiters. A host that has
just become the first, or whose list of hosts may be out of date, issues less.
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
# A host that has not read the list of hosts for this long may lack changes.
_READ_LAG_MS = 4_000
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

    def record_hosts(
        self, hosts: Sequence[host_registry.RegisteredHost], now_ms: int
    ) -> None:
        """Records a new list of the hosts that are neither leaving nor gone."""
        self._drop_outdated(now_ms)
        self._earlier.append((now_ms, self._hosts))
        self._hosts = tuple(hosts)
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
        registration = self._find_registration()
        if registration is None or now_ms - registration.read_ms > _READ_LAG_MS:
            return UNSETTLED_SHARE
        self._drop_outdated(now_ms)
        for _, hosts in self._earlier:
            earlier = _choose_limiters(hosts, upstream_id, zone)
            if earlier[:1] != (self._own_host,):
                return UNSETTLED_SHARE
        return FIRST_SHARE

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
