"""Routers that exchange the origins of streams, without sockets or clocks."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

import attrs

from redwingchute.core import data
from redwingchute.core import forwarding
from redwingchute.core import streams
from redwingchute.process import host_registry
from redwingchute.process import origin_exchange
from redwingchute.process import peer_network
from redwingchute.request import upstream_directory
from redwingchute.wire import codec
from redwingchute.wire import registry

SERVICE = "llm"
_ZONE = "huon"


class _Network(peer_network.PeerNetwork):
    """The links of one router; messages pass through the codec."""

    def __init__(self, fleet: "OriginFleet", host: str) -> None:
        """Creates the links of a host; nothing listens."""
        self.own_host = data.Host(host, _ZONE, "10.0.0.1:1", 1)
        self._fleet = fleet
        self.sent = 0

    def send(self, host_name: str, record: Any) -> bool:
        """Delivers a notice at once, if its receiver is reachable."""
        self.sent += 1
        reply = self._fleet.deliver(self.own_host, host_name, record)
        if reply is not None:
            asyncio.run(reply)
        return reply is not None

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        """Returns the reply of another router, if it is reachable."""
        del timeout_ms
        reply = self._fleet.deliver(self.own_host, host_name, record)
        if reply is None:
            return peer_network.PeerUnreachable("cut off")
        return await reply


@attrs.define
class OriginRouter:
    """One router.

    Attributes:
      directory: What it knows of upstreams.
      exchange: What it knows of streams.
      network: Its links.
      is_reachable: Whether other routers reach it.
      has_list: Whether it has read a list of upstreams.
      has_fresh_upstreams: Whether it has read the upstreams just now, and can
        read them.
      unread: The upstreams that its next read returns; None for no change.
    """

    directory: upstream_directory.UpstreamDirectory
    network: _Network
    exchange: origin_exchange.OriginExchange = attrs.field(init=False)
    is_reachable: bool = True
    has_list: bool = False
    has_fresh_upstreams: bool = True
    unread: tuple[forwarding.Upstream, ...] | None = None


class OriginFleet:
    """The routers of one zone.

    Attributes:
      now_ms: The time.
      routers: The routers by host.
      hubs: The hosts whose routers are hubs.
    """

    def __init__(self, host_count: int) -> None:
        """Starts routers that know no upstreams."""
        self.now_ms = 1_000_000
        self.hubs: tuple[str, ...] = ()
        self._codec = registry.make_codec()
        self.routers: dict[str, OriginRouter] = {}
        for number in range(host_count):
            self.start_router(f"host-{number}")

    def start_router(self, host: str) -> None:
        """Starts a router, or starts it again without what it knew."""
        directory = upstream_directory.UpstreamDirectory(
            _ZONE, host, read_clock_ms=lambda: self.now_ms
        )
        router = OriginRouter(directory, _Network(self, host))
        router.exchange = origin_exchange.OriginExchange(
            router.network,
            self.list_hosts,
            directory,
            lambda: router.has_fresh_upstreams,
            lambda: self._read(host),
            lambda: self.now_ms,
            lambda: self.now_ms,
            lambda: [hub for hub in self.hubs if hub != host],
        )
        self.routers[host] = router

    async def _read(self, host: str) -> bool:
        """Has a router read the upstreams; returns whether it can."""
        router = self.routers[host]
        if not router.has_fresh_upstreams:
            return False
        if router.unread is not None:
            self.set_upstreams(router.unread, host)
            router.unread = None
        return True

    def list_hosts(self) -> tuple[host_registry.RegisteredHost, ...]:
        """Returns the registered hosts."""
        return tuple(
            host_registry.RegisteredHost(host, _ZONE, "10.0.0.1:1", 0.5)
            for host in self.routers
        )

    def set_upstreams(
        self, upstreams: Iterable[forwarding.Upstream], *hosts: str
    ) -> None:
        """Replaces the upstreams that routers know; of all if none is named."""
        listed = tuple(upstreams)
        for host in hosts or tuple(self.routers):
            router = self.routers[host]
            if not router.has_list:
                router.directory.begin_history()
                router.has_list = True
            router.directory.keep_only(
                frozenset(upstream.id for upstream in listed)
            )
            for upstream in listed:
                router.directory.set_upstream(upstream)
            router.exchange.handle_upstreams_changed(SERVICE)

    def resolve(
        self, host: str, request_id: str | None, max_age_ms: int = 10_000
    ) -> origin_exchange.Resolution:
        """Returns where a router lets a stream go on."""
        exchange = self.routers[host].exchange
        return asyncio.run(exchange.resolve(SERVICE, request_id, max_age_ms))

    def deliver(
        self, sender: data.Host, host: str, record: Any
    ) -> Coroutine[Any, Any, Any] | None:
        """Returns the handling of a message; None if it does not arrive."""
        router = self.routers[host]
        if not router.is_reachable:
            return None
        decoded = self._codec.decode(self._codec.encode(record))
        exchange = router.exchange
        assert isinstance(decoded, codec.Decoded)
        match decoded.record:
            case streams.OriginNotice() as notice:
                return exchange.handle_notice(sender, notice)
            case request:
                return exchange.handle_request(sender, request)


def make_upstream(
    upstream_id: str, version: str, born_ms: int = 1
) -> forwarding.Upstream:
    """Returns a ready upstream of a version."""
    return forwarding.Upstream(
        upstream_id,
        SERVICE,
        "10.0.0.1:1",
        _ZONE,
        True,
        born_ms=born_ms,
        version=version,
    )
