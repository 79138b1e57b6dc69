"""Tells other routers which upstreams began streams, and asks them.

A caller may ask another router for the rest of a stream, also after the router
that began it has gone. While a service has more than one software version, each
router tells two routers of its zone where its streams began; anyone can compute
which two from the id of the request. With one version nothing is sent: then the
history of versions answers. A router that can't read the list of upstreams does
not know of other versions, so it tells too.

The history answers only after a read of the list that began once the caller had
asked: whoever began the stream had read of its version before. A router that
stood still, or was cut off, may have missed both the list and what it was told.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias

import xxhash

from redwingchute.core import data
from redwingchute.core import forwarding
from redwingchute.core import short_ids
from redwingchute.core import streams
from redwingchute.process import host_registry
from redwingchute.process import peer_network
from redwingchute.request import route_history
from redwingchute.request import stream_origins
from redwingchute.request import upstream_directory

_KEEPERS = 2
# The hubs that are asked while this router does not know all versions. One more
# than a single failure takes.
_ASKED_HUBS = 2
_CALL_TIMEOUT_MS = 250
# How long a router that is asked, or asks, waits for a read of the list.
_READ_TIMEOUT_S = 0.15
# How long after the timeout of its route a caller may still resume a stream.
_RESUME_MARGIN_MS = 5_000
# The origins in one notice when a second version appears.
_MAX_ORIGINS_PER_NOTICE = 256
# How long ago streams began that are told then.
_TOLD_MS = 30_000
# How often to check whether a service still has several versions.
_CHECK_INTERVAL_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Resolved:
    """Where a stream may go on.

    Attributes:
      bond: The upstreams that it may go on at.
      source: How it is known: `local` if this router had recorded it,
        `versions` if the service has had just one, else the host that kept it.
      age_ms: The time since its first event; None if it is not known.
    """

    bond: stream_origins.VersionBond
    source: str
    age_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class NotKnown:
    """No router in reach knows at which version a stream began."""


Resolution: TypeAlias = Resolved | NotKnown


class OriginExchange:
    """The origins of streams that one router tells, keeps and asks for.

    Attributes:
      routes: Since when the routes lead where they do.
    """

    def __init__(
        self,
        network: peer_network.PeerNetwork,
        list_hosts: Callable[[], tuple[host_registry.RegisteredHost, ...]],
        directory: upstream_directory.UpstreamDirectory,
        is_directory_fresh: Callable[[], bool],
        confirm_directory: Callable[[], Awaitable[bool]],
        read_clock_ms: Callable[[], int],
        read_wall_ms: Callable[[], int],
        list_hubs: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        """Creates the exchange of a router.

        Args:
          network: The links to the other routers.
          list_hosts: Returns the registered hosts.
          directory: The upstreams of all services.
          is_directory_fresh: Returns whether the entries of upstreams were read
            just now.
          confirm_directory: Reads the entries now; returns whether the
            directory has all that there were at the call.
          read_clock_ms: Returns the time on a steady clock.
          read_wall_ms: Returns the time of day.
          list_hubs: Returns the other hubs in the order of preference.
        """
        self._list_hubs = list_hubs
        self._network = network
        self._list_hosts = list_hosts
        self._directory = directory
        self._is_directory_fresh = is_directory_fresh
        self._confirm_directory = confirm_directory
        self._read_clock_ms = read_clock_ms
        self._read_wall_ms = read_wall_ms
        self.routes = route_history.RouteHistory()
        self._origins = stream_origins.StreamOrigins()
        # The services that had more than one version, and when that was last
        # checked.
        self._mixed_ms: dict[str, int] = {}

    def record_begin(
        self, request_id: str, upstream: forwarding.Upstream
    ) -> streams.StreamOrigin:
        """Records that an upstream sent the first event of a stream.

        Args:
          request_id: The request that the stream responds to.
          upstream: The upstream, as its entry was when the request was sent.

        Returns:
          The origin of the stream.
        """
        origin = streams.StreamOrigin(
            short_ids.shorten_id(request_id),
            upstream.service,
            upstream.id,
            upstream.born_ms,
            upstream.version,
            self._read_wall_ms(),
        )
        now_ms = self._read_clock_ms()
        self._origins.record(origin, now_ms, is_own=True)
        checked_ms = self._mixed_ms.get(upstream.service)
        # A router with an old list does not know whether there are several.
        if checked_ms is not None or not self._is_directory_fresh():
            self._tell((origin,))
        if checked_ms is not None and now_ms - checked_ms >= _CHECK_INTERVAL_MS:
            self.handle_upstreams_changed(upstream.service)
        return origin

    def handle_upstreams_changed(self, service: str) -> None:
        """Tells where streams began, once a service has several versions."""
        now_ms = self._read_clock_ms()
        versions = self._directory.list_versions(service, _TOLD_MS, now_ms)
        if len(versions) <= 1 and "" not in versions:
            self._mixed_ms.pop(service, None)
            return
        if service not in self._mixed_ms:
            self._tell(self._origins.list_own(service, _TOLD_MS, now_ms))
        self._mixed_ms[service] = now_ms

    async def resolve(
        self, service: str, request_id: str | None, max_age_ms: int
    ) -> Resolution:
        """Returns where the stream that a request began may go on.

        Args:
          service: Its service.
          request_id: The request that brought its first event; None if the
            caller does not say.
          max_age_ms: How long ago it may have begun.
        """
        if request_id is not None:
            request_id = short_ids.shorten_id(request_id)
        known = None if request_id is None else self._origins.find(request_id)
        if known is not None:
            return self._resolve_origin(known, service, "local")
        request = streams.OriginRequest(request_id or "", service, max_age_ms)
        keepers = [] if request_id is None else self._list_keepers(request_id)
        is_complete, replies = await asyncio.gather(
            self._is_complete(max_age_ms), self._ask(request, {*keepers})
        )
        # Hubs are asked where no version can be missing.
        hubs = [] if is_complete else self._list_asked_hubs()
        replies |= await self._ask(request, {*hubs} - replies.keys())
        versions = set(
            self._directory.list_versions(
                service, max_age_ms, self._read_clock_ms()
            )
        )
        for host, reply in replies.items():
            if reply is None:
                continue
            for origin in reply.origins:
                return self._resolve_origin(origin, service, host)
            versions |= set(reply.versions)
            is_complete = is_complete or reply.is_complete
        if not is_complete:
            # While nobody reads the list nobody learns of another version, and
            # a router that knew of one has told the keepers.
            kept = [replies[host] for host in keepers]
            is_complete = (
                bool(kept)
                and all(reply and reply.has_history for reply in kept)
                and all(replies[host] for host in hubs)
            )
        if not is_complete or len(versions) != 1 or "" in versions:
            return NotKnown()
        return Resolved(stream_origins.VersionBond(versions.pop()), "versions")

    def _resolve_origin(
        self, origin: streams.StreamOrigin, service: str, source: str
    ) -> Resolution:
        """Returns where the stream of a known origin may go on.

        Versions of different services have nothing in common but their names.
        """
        if origin.service != service:
            return NotKnown()
        bond = self.make_bond(origin)
        age_ms = self._read_wall_ms() - origin.begun_ms
        return Resolved(bond, source, age_ms)

    def find_max_age_ms(self, route: forwarding.Route) -> int:
        """Returns how long ago a stream that is resumed may have begun."""
        return self.routes.find_longest_timeout_ms(route) + _RESUME_MARGIN_MS

    def has_led(self, route: forwarding.Route) -> bool:
        """Returns whether all streams that a route may resume began there."""
        return self.routes.has_led(
            route, self.find_max_age_ms(route), self._read_clock_ms()
        )

    def make_bond(
        self, origin: streams.StreamOrigin
    ) -> stream_origins.VersionBond:
        """Returns the upstreams at which the stream of an origin may go on."""
        listed = self._directory.find(origin.upstream)
        return stream_origins.make_bond(origin, listed)

    def _list_asked_hubs(self) -> list[str]:
        """Returns hubs to ask, those of other zones first.

        A whole zone may be cut off.
        """
        zones = {host.name: host.zone for host in self._list_hosts()}
        own_zone = self._network.own_host.zone
        hubs = sorted(
            self._list_hubs(), key=lambda hub: zones.get(hub) == own_zone
        )
        return hubs[:_ASKED_HUBS]

    async def _is_complete(self, max_age_ms: int) -> bool:
        """Returns whether this router knows all versions of some time.

        The time ends with the call.
        """
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                is_confirmed = await self._confirm_directory()
        except TimeoutError:
            return False
        return is_confirmed and self._directory.has_history(
            max_age_ms, self._read_clock_ms()
        )

    async def _ask(
        self, request: streams.OriginRequest, hosts: set[str]
    ) -> dict[str, streams.OriginReply | None]:
        """Returns the replies of other routers, or None, by their hosts."""
        names = sorted(hosts)
        replies = await asyncio.gather(
            *(
                self._network.call(host, request, _CALL_TIMEOUT_MS)
                for host in names
            )
        )
        return {
            host: reply if isinstance(reply, streams.OriginReply) else None
            for host, reply in zip(names, replies, strict=True)
        }

    def _tell(self, origins: tuple[streams.StreamOrigin, ...]) -> None:
        """Tells the routers that keep them the origins of streams."""
        by_keeper: dict[str, list[streams.StreamOrigin]] = {}
        for origin in origins:
            for host in self._list_keepers(origin.request_id):
                by_keeper.setdefault(host, []).append(origin)
        for host, kept in by_keeper.items():
            for first in range(0, len(kept), _MAX_ORIGINS_PER_NOTICE):
                part = kept[first : first + _MAX_ORIGINS_PER_NOTICE]
                self._network.send(host, streams.OriginNotice(tuple(part)))

    def _list_keepers(self, request_id: str) -> list[str]:
        """Returns the other hosts of the zone that keep an origin."""
        own = self._network.own_host
        hosts = [
            host.name
            for host in self._list_hosts()
            if host.zone == own.zone and host.name != own.name
        ]
        hosts.sort(
            key=lambda name: xxhash.xxh64_intdigest(
                f"{request_id}/{name}".encode()
            )
        )
        return hosts[:_KEEPERS]

    async def handle_notice(
        self, peer: data.Host, notice: streams.OriginNotice
    ) -> None:
        """Keeps the origins that another router tells."""
        del peer
        now_ms = self._read_clock_ms()
        for origin in notice.origins:
            self._origins.record(origin, now_ms, is_own=False)

    async def handle_request(
        self, peer: data.Host, request: streams.OriginRequest
    ) -> streams.OriginReply:
        """Answers a router that asks for the origin of a stream."""
        del peer
        max_age_ms = request.max_age_ms
        found = self._origins.find(request.request_id)
        is_complete = found is None and await self._is_complete(max_age_ms)
        now_ms = self._read_clock_ms()
        return streams.OriginReply(
            () if found is None else (found,),
            self._directory.list_versions(request.service, max_age_ms, now_ms),
            self._directory.has_read_history(max_age_ms, now_ms),
            is_complete,
        )
