"""Carries connections of peers to upstreams that this host reaches.

A tunnel joins two connections and decides nothing: it neither reads requests
nor counts them. It leads only to upstreams that this router lists itself, and
only by its direct path, so that no tunnel leads through two hosts. The end of
either side ends the other.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from types import TracebackType

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import peer_link
from redwingchute.core import fleet
from redwingchute.core import forwarding
from redwingchute.process import background_tasks
from redwingchute.process import decision_log
from redwingchute.wire import codec

# Bounds the memory and descriptors that tunnels take, and what a host carries
# beside the work for its own callers.
_MAX_TUNNELS = 128
_READ_BYTES = 16 * 1024
_MAX_UNSENT_BYTES = 32 * 1024
# The asking router waits little longer.
_REQUEST_TIMEOUT_S = 0.2
_CONNECT_TIMEOUT_S = 0.12
# A tunnel on which no byte passes for this long is closed: its peer may be gone
# without a word.
_IDLE_S = 20.0


class TunnelServer:
    """Serves the tunnels of peers; a context manager that ends them.

    Attributes:
      open_count: The number of tunnels that are open or being opened.
    """

    def __init__(
        self,
        open_direct: Callable[
            [forwarding.UpstreamStart],
            Awaitable[http_client.ClientConnection | None],
        ],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Creates a server without tunnels.

        Args:
          open_direct: Opens a connection to an upstream that this router
            lists; returns None if the direct path to it is down.
          is_stopping: Returns whether the process is shutting down.
        """
        self._open_direct = open_direct
        self._is_stopping = is_stopping
        self._tasks = background_tasks.BackgroundTasks()
        self.open_count = 0

    async def __aenter__(self) -> "TunnelServer":
        """Returns the server."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends all tunnels."""
        await self._tasks.cancel_and_wait()

    async def handle(self, link: peer_link.PeerLink) -> None:
        """Serves one connection of a peer in the background."""
        self._tasks.spawn(self._serve(link))

    async def _serve(self, link: peer_link.PeerLink) -> None:
        """Serves one connection of a peer until it ends."""
        self.open_count += 1
        try:
            connection = await self._open(link)
            if connection is not None:
                await _join(link.detach(), connection.detach())
        finally:
            self.open_count -= 1
            link.close()

    async def _open(
        self, link: peer_link.PeerLink
    ) -> http_client.ClientConnection | None:
        """Opens the connection that a peer asks for, and replies."""
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                message = await link.receive()
        except TimeoutError:
            return None
        if not isinstance(message, codec.Decoded) or not isinstance(
            message.record, fleet.TunnelRequest
        ):
            return None
        result = await self._connect(message.record)
        if isinstance(result, fleet.TunnelRefusal):
            decision_log.count_event("tunnel_refused")
            link.send(fleet.TunnelReply(False, result))
            with contextlib.suppress(ConnectionError):
                await link.detach()[1].drain()
            return None
        decision_log.count_event("tunnel_opened")
        link.send(fleet.TunnelReply(True))
        return result

    async def _connect(
        self, request: fleet.TunnelRequest
    ) -> http_client.ClientConnection | fleet.TunnelRefusal:
        """Returns a new connection to an upstream, or why there is none."""
        if self._is_stopping():
            return fleet.TunnelRefusal.STOPPING
        if self.open_count > _MAX_TUNNELS:
            return fleet.TunnelRefusal.FULL
        start = forwarding.UpstreamStart(request.upstream, request.born_ms)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                connection = await self._open_direct(start)
        except TimeoutError:
            return fleet.TunnelRefusal.NO_PATH
        return connection or fleet.TunnelRefusal.NO_PATH


async def _join(
    one: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    other: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> None:
    """Joins two connections until one of them ends, and closes both.

    Args:
      one: The streams of the peer.
      other: The streams of the upstream.
    """
    to_upstream = _Pump(one[0], other[1])
    to_peer = _Pump(other[0], one[1])
    pumps = [
        asyncio.ensure_future(to_upstream.run()),
        asyncio.ensure_future(to_peer.run()),
    ]
    try:
        passed = -1
        while passed != to_upstream.reads + to_peer.reads:
            passed = to_upstream.reads + to_peer.reads
            await asyncio.wait(
                pumps, timeout=_IDLE_S, return_when=asyncio.FIRST_COMPLETED
            )
            if pumps[0].done():
                return
            if pumps[1].done():
                break
        # What the upstream has sent before its end still goes to the peer.
        one[1].close()
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(_IDLE_S):
                await one[1].wait_closed()
    finally:
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        other[1].transport.abort()


@attrs.define
class _Pump:
    """Passes bytes on in one direction.

    Attributes:
      reader: Where they come from.
      writer: Where they go.
      reads: How often bytes came.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    reads: int = 0

    async def run(self) -> None:
        """Passes bytes on until either side ends."""
        self.writer.transport.set_write_buffer_limits(high=_MAX_UNSENT_BYTES)
        with contextlib.suppress(OSError):
            while received := await self.reader.read(_READ_BYTES):
                self.reads += 1
                self.writer.write(received)
                await self.writer.drain()
