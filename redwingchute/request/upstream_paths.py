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
# A host that could not carry a connection is not asked for this long.
_UNABLE_MS = 1_000
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
        self._unable_until_ms: dict[str, int] = {}

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
        near = [host.name for host in others if host.zone == self._zone]
        far = [host.name for host in others if host.zone != self._zone]
        self._peers = (
            *near[:_OWN_ZONE_FIRST],
            *far,
            *near[_OWN_ZONE_FIRST:],
        )
        self._unable_until_ms = {
            name: until_ms
            for name, until_ms in self._unable_until_ms.items()
            if name in self._peers
        }

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

    def list_carriers(
        self, start: forwarding.UpstreamStart, now_ms: int
    ) -> tuple[str, ...]:
        """Returns the hosts to ask for a way to an upstream, best first."""
        able = []
        for name in self._peers:
            if self._unable_until_ms.get(name, 0) <= now_ms:
                able.append(name)
            if len(able) == _MAX_CARRIERS:
                break
        if not able:
            return ()
        first = xxhash.xxh64_intdigest(start.id.encode()) % len(able)
        return (*able[first:], *able[:first])

    def mark_unable(self, host: str, now_ms: int) -> None:
        """Records that a host could not carry a connection."""
        self._unable_until_ms[host] = now_ms + _UNABLE_MS
