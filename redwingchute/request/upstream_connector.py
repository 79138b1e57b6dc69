"""Connects to upstreams, directly or by way of a peer that reaches them.

The router that took a request decides everything about it. A carrier only joins
two connections. As a connection that fails has sent nothing, the way by a
carrier is tried at once when the direct one fails, and beside it when it hangs.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from types import TracebackType
from typing import TypeAlias

from redwingchute.connection import http_client
from redwingchute.connection import peer_link
from redwingchute.core import fleet
from redwingchute.core import forwarding
from redwingchute.process import background_tasks
from redwingchute.process import decision_log
from redwingchute.process import peer_network
from redwingchute.request import home_regions
from redwingchute.request import upstream_paths
from redwingchute.wire import codec

# A direct connection that is not open after this time is likely to hang.
_HANGING_S = 0.06
# How long one carrier may take, and all that are asked for a connection.
_CARRIER_TIMEOUT_S = 0.2
_CARRIERS_TIMEOUT_S = 0.4
# An upstream that ends for an abandoned request does so within this time.
_WATCHED_S = 0.4
_SWEEP_INTERVAL_S = 0.5
# How many upstreams are tried by way of carriers when many go silent together.
_MAX_SOUGHT = 16


_ConnectResult: TypeAlias = (
    http_client.ClientConnection | http_client.ConnectFailed
)


class UpstreamConnector:
    """Opens and keeps connections to upstreams; a context manager."""

    def __init__(
        self,
        pool: http_client.ClientPool,
        paths: upstream_paths.UpstreamPaths,
        network: peer_network.PeerNetwork | None,
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates a connector.

        Args:
          pool: Keeps idle connections, and opens direct ones.
          paths: What is known of the ways to upstreams.
          network: The links to peers; None if there are none.
          read_clock_ms: Returns the time on a steady clock.
        """
        self._pool = pool
        self._paths = paths
        self._network = network
        self._read_clock_ms = read_clock_ms
        self._tasks = background_tasks.BackgroundTasks()
        # The upstreams whose end is watched for.
        self._watched: set[forwarding.UpstreamStart] = set()

    async def __aenter__(self) -> "UpstreamConnector":
        """Starts to close connections that are no longer needed."""
        self._tasks.spawn(self._sweep())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends what is going on in the background."""
        await self._tasks.cancel_and_wait()

    async def acquire(
        self,
        upstream: forwarding.Upstream,
        request_id: str | None = None,
        homes: home_regions.Homes = home_regions.ANYWHERE,
    ) -> _ConnectResult:
        """Returns a connection without an exchange on it.

        Args:
          upstream: The upstream.
          request_id: The id of the request to send, as of `ClientPool.acquire`.
          homes: The homes of that request, which limit its carriers.
        """
        address = http_client.Address.parse(upstream.address)
        idle = self._pool.pop_idle(
            address,
            request_id,
            lambda found: self._paths.may_carry(found.carrier, homes),
        )
        if idle is not None:
            return idle
        if not self._paths.should_try_direct(
            upstream.start, self._read_clock_ms()
        ):
            carried = await self._open_carried(upstream, homes)
            return carried or await self._open_direct(upstream, address)
        return await self._race(upstream, address, homes)

    def release(self, connection: http_client.ClientConnection) -> None:
        """Takes back a connection; it is closed unless it can be reused."""
        self._pool.release(connection)

    async def open_for_peer(
        self, upstream: forwarding.Upstream
    ) -> http_client.ClientConnection | None:
        """Opens a direct connection that a peer uses, if the path is up."""
        if not self._paths.should_try_direct(
            upstream.start, self._read_clock_ms()
        ):
            return None
        address = http_client.Address.parse(upstream.address)
        connection = await self._open_direct(upstream, address)
        if isinstance(connection, http_client.ConnectFailed):
            return None
        return connection

    def seek_carriers(
        self,
        upstreams: Iterable[forwarding.Upstream],
        handle_reached: Callable[[forwarding.Upstream], None],
    ) -> None:
        """Tries to reach upstreams by way of carriers, in the background.

        Args:
          upstreams: Upstreams that seem to be unreachable.
          handle_reached: Called with each upstream that a carrier reaches.
        """

        async def seek(upstream: forwarding.Upstream) -> None:
            connection = await self._open_carried(upstream)
            if connection is not None:
                self._pool.close_idle_direct(connection.address)
                self._mark_down(upstream)
                self._pool.add_idle(connection)
                handle_reached(upstream)

        for upstream in tuple(upstreams)[:_MAX_SOUGHT]:
            self._tasks.spawn(seek(upstream))

    def watch_end(
        self,
        upstream: forwarding.Upstream,
        handle_end: Callable[[forwarding.Upstream], None],
    ) -> None:
        """Finds out whether an upstream ends soon, in the background.

        Args:
          upstream: The upstream.
          handle_end: Called if it has ended.
        """
        if upstream.start in self._watched:
            return
        self._watched.add(upstream.start)
        self._tasks.spawn(self._watch_end(upstream, handle_end))

    async def _watch_end(
        self,
        upstream: forwarding.Upstream,
        handle_end: Callable[[forwarding.Upstream], None],
    ) -> None:
        """Waits, and opens a connection to an upstream unless one is idle."""
        try:
            await asyncio.sleep(_WATCHED_S)
            address = http_client.Address.parse(upstream.address)
            if self._pool.count_idle(address):
                return
            connection = await self._open_direct(upstream, address)
            if isinstance(connection, http_client.ClientConnection):
                self._pool.add_idle(connection)
            elif connection.is_refused:
                handle_end(upstream)
        finally:
            self._watched.discard(upstream.start)

    def record_lost_carrier(self, host: str) -> None:
        """Records that a carrier acknowledges nothing any more."""
        self._paths.mark_unable(host, self._read_clock_ms())

    async def _race(
        self,
        upstream: forwarding.Upstream,
        address: http_client.Address,
        homes: home_regions.Homes,
    ) -> _ConnectResult:
        """Opens a direct connection, or one by way of a carrier.

        The direct connection goes on if the other one is open first, so that
        the state of the path becomes known.
        """
        direct: asyncio.Task[_ConnectResult] = self._tasks.spawn(
            self._open_direct(upstream, address)
        )
        try:
            await asyncio.wait((direct,), timeout=_HANGING_S)
            if direct.done() and isinstance(
                direct.result(), http_client.ClientConnection
            ):
                return direct.result()
            carried = await self._open_carried(upstream, homes)
            if carried is None:
                return await asyncio.shield(direct)
        except asyncio.CancelledError:
            self._keep_when_open(direct)
            raise
        if not direct.done():
            # A carrier reaches what this host does not.
            self._pool.close_idle_direct(address)
        if not direct.done() or isinstance(
            direct.result(), http_client.ConnectFailed
        ):
            self._mark_down(upstream)
        self._keep_when_open(direct)
        return carried

    def _keep_when_open(
        self,
        direct: asyncio.Task[_ConnectResult],
    ) -> None:
        """Keeps a direct connection that is no longer waited for."""

        def keep(done: asyncio.Task[_ConnectResult]) -> None:
            if done.cancelled() or done.exception() is not None:
                return
            connection = done.result()
            if isinstance(connection, http_client.ClientConnection):
                self._pool.add_idle(connection)

        direct.add_done_callback(keep)

    async def _open_direct(
        self, upstream: forwarding.Upstream, address: http_client.Address
    ) -> _ConnectResult:
        """Opens a direct connection, which shows that the path is up."""
        connection = await self._pool.open(address)
        if isinstance(
            connection, http_client.ClientConnection
        ) and self._paths.mark_up(upstream.start):
            decision_log.log_event("upstream_path_up", upstream=upstream.id)
        return connection

    def _mark_down(self, upstream: forwarding.Upstream) -> None:
        """Marks the direct path to an upstream as down."""
        if self._paths.mark_down(upstream.start, self._read_clock_ms()):
            decision_log.log_event("upstream_path_down", upstream=upstream.id)

    async def _open_carried(
        self,
        upstream: forwarding.Upstream,
        homes: home_regions.Homes = home_regions.ANYWHERE,
    ) -> http_client.ClientConnection | None:
        """Opens a connection by way of the first carrier that can."""
        carriers = self._paths.list_carriers(
            upstream.start, self._read_clock_ms(), homes
        )
        if not carriers:
            return None
        try:
            async with asyncio.timeout(_CARRIERS_TIMEOUT_S):
                for host in carriers:
                    connection = await self._ask_carrier(host, upstream)
                    if connection is not None:
                        decision_log.count_event("carried_connection_opened")
                        return connection
        except TimeoutError:
            pass
        decision_log.count_event("carried_connection_failed")
        # Other requests may ask more hosts than one with homes.
        if not homes.is_bound:
            self._paths.mark_unreached(upstream.start, self._read_clock_ms())
        return None

    async def _ask_carrier(
        self, host: str, upstream: forwarding.Upstream
    ) -> http_client.ClientConnection | None:
        """Asks a host to carry a connection to an upstream."""
        if self._network is None:
            return None
        link: peer_link.PeerLink | None = None
        reply: fleet.TunnelReply | None = None
        try:
            async with asyncio.timeout(_CARRIER_TIMEOUT_S):
                link = await self._network.dial_tunnel(host)
                if link is not None:
                    reply = await _request_tunnel(link, upstream.start)
        except (TimeoutError, OSError):
            pass
        finally:
            if link is not None and (reply is None or not reply.is_open):
                link.close()
        now_ms = self._read_clock_ms()
        match reply:
            case fleet.TunnelReply(is_open=True) if link is not None:
                self._paths.record_carried(host, now_ms)
                address = http_client.Address.parse(upstream.address)
                return self._pool.adopt(address, *link.detach(), host)
            case fleet.TunnelReply(cause=fleet.TunnelRefusal.NO_PATH):
                self._paths.mark_unreaching(host, upstream.start, now_ms)
            case _:
                self._paths.mark_unable(host, now_ms)
        return None

    async def _sweep(self) -> None:
        """Closes carried connections that are idle."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self._pool.close_expired()


async def _request_tunnel(
    link: peer_link.PeerLink, start: forwarding.UpstreamStart
) -> fleet.TunnelReply | None:
    """Asks for a tunnel on a new link; returns None without a valid reply."""
    link.send(fleet.TunnelRequest(start.id, start.born_ms))
    message = await link.receive()
    if isinstance(message, codec.Decoded) and isinstance(
        message.record, fleet.TunnelReply
    ):
        return message.record
    return None
