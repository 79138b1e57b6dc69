"""Knows which upstreams this host reaches, and which hosts reach the others.

A partition may cut a host off from upstreams that all other hosts reach. Such a
host goes on by way of a carrier: a peer that joins its connection to one of its
own. A direct path counts as down only if a carrier reached the upstream while
this host did not; otherwise the upstream itself is at fault, which other
modules record. From time to time one connection tries the direct path again.
"""

from collections.abc import Sequence

import attrs
import xxhash

from redwingchute.core import forwarding
from redwingchute.process import host_registry
from redwingchute.request import home_regions

# The direct path is tried again after this time, which doubles up to the
# maximum while it stays down.
_MIN_DOWN_MS = 1_000
_MAX_DOWN_MS = 4_000
# Other connections do not try the direct path for this long after one began to.
_TRIAL_MS = 500
# A path that nobody has tried again for this long is forgotten: its upstream is
# probably gone.
_FORGET_MS = 60_000
# Bounds the shift by which the time is doubled repeatedly.
_MAX_DOUBLINGS = 10
# A host that did not answer is not asked for this long, and one that does not
# reach an upstream itself not for this upstream.
_UNABLE_MS = 1_000
_UNREACHING_MS = 3_000
# When none of the hosts that were asked reaches an upstream, it is probably
# gone. Others are asked only after this time.
_UNREACHED_MS = 500
# A host that carried a connection within this time is asked first.
_PROVEN_MS = 5_000
# Bounds what is remembered of which host does not reach which upstream.
_MAX_UNREACHING = 1_024
# The hosts among which the connections to different upstreams are spread.
_MAX_CARRIERS = 4
# Hosts of the own zone that are asked before those of other zones, which a cut
# of a whole zone spares.
_OWN_ZONE_FIRST = 1


@attrs.define
class _DownPath:
    """A direct path that is down.

    Attributes:
      retry_ms: When it may be tried again.
      failures: How often it was found down.
    """

    retry_ms: int = 0
    failures: int = 0


class UpstreamPaths:
    """The state of the direct paths of one host, and its carriers."""

    def __init__(self, host: str, zone: str) -> None:
        """Starts with all paths up and no peers.

        Args:
          host: This host.
          zone: Its availability zone.
        """
        self._host = host
        self._zone = zone
        self._down: dict[forwarding.UpstreamStart, _DownPath] = {}
        self._peers: tuple[str, ...] = ()
        self._peer_zones: dict[str, str] = {}
        self._unable_until_ms: dict[str, int] = {}
        self._carried_ms: dict[str, int] = {}
        self._unreaching_until_ms: dict[
            tuple[str, forwarding.UpstreamStart], int
        ] = {}
        self._unreached_until_ms: dict[forwarding.UpstreamStart, int] = {}

    def set_hosts(self, hosts: Sequence[host_registry.RegisteredHost]) -> None:
        """Sets the hosts of the fleet.

        Hosts differ in which peers they ask first.
        """
        others = sorted(
            (host for host in hosts if host.name != self._host),
            key=lambda host: xxhash.xxh64_intdigest(
                f"{self._host}/{host.name}".encode()
            ),
        )
        self._peer_zones = {host.name: host.zone for host in others}
        near = [host.name for host in others if host.zone == self._zone]
        far = [host.name for host in others if host.zone != self._zone]
        self._peers = (
            *near[:_OWN_ZONE_FIRST],
            *far,
            *near[_OWN_ZONE_FIRST:],
        )
        for known in (self._unable_until_ms, self._carried_ms):
            for name in known.keys() - set(self._peers):
                del known[name]

    def should_try_direct(
        self, start: forwarding.UpstreamStart, now_ms: int
    ) -> bool:
        """Returns whether a new connection tries the direct path.

        If the path is down, the caller is the only one to try it for a while.
        """
        path = self._down.get(start)
        if path is None:
            return True
        if now_ms < path.retry_ms:
            return False
        path.retry_ms = now_ms + _TRIAL_MS
        return True

    def mark_down(self, start: forwarding.UpstreamStart, now_ms: int) -> bool:
        """Marks a direct path as down; returns whether that is new."""
        self._forget_unused(now_ms)
        is_new = start not in self._down
        path = self._down.setdefault(start, _DownPath())
        path.retry_ms = now_ms + min(
            _MAX_DOWN_MS, _MIN_DOWN_MS << path.failures
        )
        path.failures = min(path.failures + 1, _MAX_DOUBLINGS)
        return is_new

    def _forget_unused(self, now_ms: int) -> None:
        """Forgets paths that nobody has tried for a while."""
        oldest_ms = now_ms - _FORGET_MS
        self._down = {
            start: path
            for start, path in self._down.items()
            if path.retry_ms > oldest_ms
        }

    def mark_up(self, start: forwarding.UpstreamStart) -> bool:
        """Marks a direct path as up; returns whether that is new."""
        return self._down.pop(start, None) is not None

    def may_carry(self, host: str, homes: home_regions.Homes) -> bool:
        """Returns whether a host may carry the body of a request.

        Args:
          host: The host; empty for the direct path.
          homes: The homes of the request.
        """
        return not host or homes.may_pass(self._peer_zones.get(host))

    def list_carriers(
        self,
        start: forwarding.UpstreamStart,
        now_ms: int,
        homes: home_regions.Homes = home_regions.ANYWHERE,
    ) -> tuple[str, ...]:
        """Returns the hosts to ask for a way to an upstream, best first.

        Args:
          start: The upstream.
          now_ms: The current time.
          homes: The homes of the request that is to be carried.
        """
        if now_ms < self._unreached_until_ms.get(start, 0):
            return ()
        proven = [
            name
            for name, carried_ms in self._carried_ms.items()
            if now_ms - carried_ms < _PROVEN_MS
            and self._may_ask(name, start, now_ms)
            and self.may_carry(name, homes)
        ]
        others: list[str] = []
        for name in self._peers:
            if len(proven) + len(others) >= _MAX_CARRIERS:
                break
            if (
                name not in proven
                and self._may_ask(name, start, now_ms)
                and self.may_carry(name, homes)
            ):
                others.append(name)
        return (
            *_rotate(proven, start)[:_MAX_CARRIERS],
            *_rotate(others, start),
        )

    def _may_ask(
        self, name: str, start: forwarding.UpstreamStart, now_ms: int
    ) -> bool:
        """Returns whether a host may be able to reach an upstream."""
        return (
            self._unable_until_ms.get(name, 0) <= now_ms
            and self._unreaching_until_ms.get((name, start), 0) <= now_ms
        )

    def record_carried(self, host: str, now_ms: int) -> None:
        """Records that a host carries a connection."""
        self._carried_ms[host] = now_ms

    def mark_unable(self, host: str, now_ms: int) -> None:
        """Records that a host did not answer, or carries nothing now."""
        self._unable_until_ms[host] = now_ms + _UNABLE_MS

    def mark_unreaching(
        self, host: str, start: forwarding.UpstreamStart, now_ms: int
    ) -> None:
        """Records that a host does not reach an upstream by itself."""
        self._unreaching_until_ms[host, start] = now_ms + _UNREACHING_MS
        while len(self._unreaching_until_ms) > _MAX_UNREACHING:
            del self._unreaching_until_ms[next(iter(self._unreaching_until_ms))]

    def mark_unreached(
        self, start: forwarding.UpstreamStart, now_ms: int
    ) -> None:
        """Records that no host that was asked reaches an upstream."""
        self._unreached_until_ms[start] = now_ms + _UNREACHED_MS
        while len(self._unreached_until_ms) > _MAX_UNREACHING:
            del self._unreached_until_ms[next(iter(self._unreached_until_ms))]


def _rotate(names: list[str], start: forwarding.UpstreamStart) -> list[str]:
    """Returns names in an order that differs between upstreams."""
    if not names:
        return names
    first = xxhash.xxh64_intdigest(start.id.encode()) % len(names)
    return names[first:] + names[:first]
