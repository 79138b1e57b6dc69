"""Exchanges registered records between routers over authenticated links.

A link is dialled when first needed, used in both directions, and closed when
idle, so that a router of a large fleet only holds links to the routers that it
communicates with. A call without a timely reply returns PeerUnreachable; the
request may or may not have been handled.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools
from types import TracebackType
from typing import Any
from typing import TypeAlias

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import listening
from redwingchute.connection import peer_link
from redwingchute.core import data
from redwingchute.process import background_tasks
from redwingchute.process import telemetry
from redwingchute.wire import codec

_HANDSHAKE_TIMEOUT_S = 2.0
# The handshakes of a fleet that starts at once, and what each is read by.
_MAX_HANDSHAKES = 256
_HANDSHAKE_READ_BYTES = 4 * 1024
# What is read from a link at once.
_READ_BYTES = 32 * 1024
# A link is not read while twice this waits to be handled.
_READER_BYTES = 64 * 1024
_IDLE_LINK_MS = 60_000
_IDLE_CHECK_S = 10.0


@dataclasses.dataclass(frozen=True)
class PeerUnreachable:
    """A call got no reply; the request may or may not have been handled."""

    message: str


MessageHandler: TypeAlias = Callable[[data.Host, Any], Awaitable[Any | None]]
TunnelHandler: TypeAlias = Callable[[peer_link.PeerLink], Awaitable[None]]


class PeerNetwork:
    """The links of one router; an async context manager that owns them.

    Attributes:
      own_host: This router's identity. Once the context is entered, its peer
        address is the one that other routers dial.
    """

    def __init__(
        self,
        own_host: data.Host,
        fleet_key: bytes,
        wire_codec: codec.Codec,
        metrics: telemetry.Metrics,
        read_clock_ms: Callable[[], int],
        advertised: http_client.Address | None = None,
        max_handshakes: int = _MAX_HANDSHAKES,
    ) -> None:
        """Initializes the network; it listens once its context is entered.

        Args:
          own_host: This router; it listens on its peer address.
          fleet_key: The key shared by all routers of the fleet.
          wire_codec: Encodes the messages.
          metrics: Counts bytes, messages and failures.
          read_clock_ms: Returns the current time.
          advertised: The address that other routers dial, if it differs.
          max_handshakes: The accepted connections whose handshake is not
            complete.
        """
        self._max_handshakes = max_handshakes
        # In the order in which they were accepted.
        self._handshakes: dict[asyncio.StreamWriter, None] = {}
        self.own_host = own_host
        self._advertised = advertised
        self._fleet_key = fleet_key
        self._codec = wire_codec
        self._metrics = metrics
        self._read_clock_ms = read_clock_ms
        self._addresses: dict[str, http_client.Address] = {}
        self._links: dict[str, peer_link.PeerLink] = {}
        self._open_links: set[peer_link.PeerLink] = set()
        self._dials: dict[str, asyncio.Task[peer_link.PeerLink | None]] = {}
        self._handlers: dict[type[Any], MessageHandler] = {}
        self._tunnel_handler: TunnelHandler | None = None
        self._replies: dict[int, asyncio.Future[Any]] = {}
        self._numbers = itertools.count(1)
        self._tasks = background_tasks.BackgroundTasks()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> "PeerNetwork":
        """Starts listening for links."""
        address = http_client.Address.parse(self.own_host.peer_address)
        self._server = await listening.start_server(
            self._accept, address.ip, address.port, _READER_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        bound = http_client.Address(address.ip, port)
        self.own_host = attrs.evolve(
            self.own_host, peer_address=str(self._advertised or bound)
        )
        self._tasks.spawn(self._close_idle_links())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes every link and stops listening."""
        if self._server is not None:
            self._server.close()
        for link in list(self._open_links):
            link.close()
        await self._tasks.cancel_and_wait()

    def set_address(self, host_name: str, peer_address: str) -> None:
        """Sets the address of a host; a malformed address is ignored."""
        try:
            address = http_client.Address.parse(peer_address)
        except ValueError:
            return
        self._addresses[host_name] = address

    def register_handler(
        self, record_type: type[Any], handler: MessageHandler
    ) -> None:
        """Registers the handler for a record class.

        Args:
          record_type: The class.
          handler: Called with the sending host and the record; returns the
            reply, or None for no reply.
        """
        self._handlers[record_type] = handler

    def set_tunnel_handler(self, handler: TunnelHandler) -> None:
        """Sets what serves the tunnels of other routers.

        Args:
          handler: Called with each connection that is to become a tunnel, and
            owns it. The handshake is complete.
        """
        self._tunnel_handler = handler

    async def dial_tunnel(self, host_name: str) -> peer_link.PeerLink | None:
        """Opens a connection for a tunnel to a host; None on failure.

        The caller owns the connection.
        """
        return await self._dial(host_name, is_tunnel=True)

    def send(self, host_name: str, record: Any) -> bool:
        """Sends a one-way message; returns whether a link was open.

        Without an open link, the message is sent in the background once the
        host has been dialled, or lost if that fails.
        """
        return self.send_to_all((host_name,), record) == 1

    def send_to_all(self, host_names: Iterable[str], record: Any) -> int:
        """Sends a one-way message to several hosts, encoded once.

        Hosts without an open link are handled as in `send`.

        Returns:
          The number of hosts whose link was open.
        """
        message = self._codec.encode(record)
        sent = 0
        for host_name in host_names:
            link = self._links.get(host_name)
            if link is None or not link.is_open:
                self._tasks.spawn(self._dial_and_send(host_name, record))
                continue
            self._count_sent(link, link.send_encoded(message))
            sent += 1
        return sent

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | PeerUnreachable:
        """Sends a request and waits for its reply.

        Args:
          host_name: The receiver. A request to this router itself is passed
            directly to its handler.
          record: The request.
          timeout_ms: How long to wait, including the time to connect.

        Returns:
          The reply, or PeerUnreachable.
        """
        if host_name == self.own_host.name:
            reply = await self._dispatch(self.own_host, record)
            return reply or PeerUnreachable("the request had no reply")
        number = 2 * next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._replies[number] = future
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                link = await self._connect(host_name)
                if link is None:
                    return PeerUnreachable(f"no link to {host_name}")
                self._count_sent(link, link.send(record, number))
                return await future
        except TimeoutError:
            return PeerUnreachable(f"{host_name} did not reply in time")
        finally:
            del self._replies[number]

    def _count_sent(self, link: peer_link.PeerLink, size: int) -> None:
        """Counts a sent message and updates the link's time of last use."""
        link.last_used_ms = self._read_clock_ms()
        self._metrics.peer_bytes_sent.add(size)
        self._metrics.peer_messages_sent.add(1)

    async def _dial_and_send(self, host_name: str, record: Any) -> None:
        """Dials a host and sends a one-way message; ignores failures."""
        link = await self._connect(host_name)
        if link is not None:
            self._count_sent(link, link.send(record))

    async def _connect(self, host_name: str) -> peer_link.PeerLink | None:
        """Returns an open link to a host, dialling if needed; None on failure.

        Concurrent callers share one dial.
        """
        link = self._links.get(host_name)
        if link is not None and link.is_open:
            return link
        dial = self._dials.get(host_name)
        if dial is None:
            dial = self._tasks.spawn(self._dial(host_name))
            self._dials[host_name] = dial
            dial.add_done_callback(lambda _: self._dials.pop(host_name, None))
        return await asyncio.shield(dial)

    async def _dial(
        self, host_name: str, is_tunnel: bool = False
    ) -> peer_link.PeerLink | None:
        """Opens a link or a tunnel to a host; returns None on failure."""
        address = self._addresses.get(host_name)
        if address is None:
            return None
        writer = None
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                reader, writer = await http_client.open_stream(
                    address.ip, address.port
                )
                result = await peer_link.dial_link(
                    reader,
                    writer,
                    self.own_host,
                    self._fleet_key,
                    self._codec,
                    is_tunnel,
                )
        # An address that cannot be one raises ValueError.
        except (OSError, TimeoutError, ValueError):
            if writer is not None:
                writer.transport.abort()
            return None
        except asyncio.CancelledError:
            if writer is not None:
                writer.transport.abort()
            raise
        if isinstance(result, peer_link.HandshakeFailed):
            self._count_failed_handshake(result)
            writer.transport.abort()
            return None
        if result.peer.name != host_name:
            # Another host has the address now; calls are not meant for it.
            self._metrics.peer_handshakes_failed.add(
                1, {"cause": "another_host"}
            )
            writer.transport.abort()
            return None
        if not is_tunnel:
            self._register_link(result)
        return result

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Accepts a link that another router dialled.

        The oldest handshake gives way when too many are not complete.
        """
        if len(self._handshakes) >= self._max_handshakes:
            self._metrics.peer_handshakes_failed.add(1, {"cause": "crowded"})
            oldest = next(iter(self._handshakes))
            oldest.transport.abort()
            del self._handshakes[oldest]
        self._handshakes[writer] = None
        transport: Any = writer.transport
        transport.max_size = _HANDSHAKE_READ_BYTES
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                result = await peer_link.accept_link(
                    reader, writer, self.own_host, self._fleet_key, self._codec
                )
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        finally:
            self._handshakes.pop(writer, None)
        if isinstance(result, peer_link.HandshakeFailed):
            self._count_failed_handshake(result)
            writer.transport.abort()
            return
        transport.max_size = _READ_BYTES
        if not result.is_tunnel:
            self._register_link(result)
        elif self._tunnel_handler is None:
            result.close()
        else:
            await self._tunnel_handler(result)

    def _count_failed_handshake(
        self, failure: peer_link.HandshakeFailed
    ) -> None:
        """Counts a failed handshake by its cause."""
        cause = "wrong_key" if failure.is_wrong_key else "malformed"
        self._metrics.peer_handshakes_failed.add(1, {"cause": cause})

    def _register_link(self, link: peer_link.PeerLink) -> None:
        """Registers an established link and starts to receive from it."""
        link.last_used_ms = self._read_clock_ms()
        self._links[link.peer.name] = link
        self._open_links.add(link)
        self._tasks.spawn(self._receive(link))

    async def _receive(self, link: peer_link.PeerLink) -> None:
        """Handles the messages of a link until it ends."""
        try:
            while (message := await link.receive()) is not None:
                link.last_used_ms = self._read_clock_ms()
                match message:
                    case codec.Decoded():
                        self._handle_decoded(link, message)
                    case codec.UnknownKind():
                        self._metrics.peer_messages_unknown.add(1)
                    case codec.DecodeError():
                        self._metrics.peer_messages_malformed.add(1)
                        break
        finally:
            link.close()
            self._open_links.discard(link)
            if self._links.get(link.peer.name) is link:
                del self._links[link.peer.name]

    def _handle_decoded(
        self, link: peer_link.PeerLink, message: codec.Decoded
    ) -> None:
        """Completes the call of a reply, or starts the handler of a message.

        Requests have even correlation numbers; a reply has its request's
        number plus one. One-way messages have number 0.
        """
        if message.correlation % 2 == 1:
            future = self._replies.get(message.correlation - 1)
            if future is not None and not future.done():
                future.set_result(message.record)
            return
        self._tasks.spawn(self._answer(link, message))

    async def _answer(
        self, link: peer_link.PeerLink, message: codec.Decoded
    ) -> None:
        """Runs the handler of a message and sends the reply, if any."""
        reply = await self._dispatch(link.peer, message.record)
        if reply is not None and message.correlation:
            self._count_sent(link, link.send(reply, message.correlation + 1))

    async def _dispatch(self, peer: data.Host, record: Any) -> Any | None:
        """Runs the handler registered for a record."""
        handler = self._handlers.get(type(record))
        if handler is None:
            return None
        return await handler(peer, record)

    async def _close_idle_links(self) -> None:
        """Closes links that have not been used for a while."""
        while True:
            await asyncio.sleep(_IDLE_CHECK_S)
            oldest_ms = self._read_clock_ms() - _IDLE_LINK_MS
            for link in list(self._open_links):
                if link.last_used_ms < oldest_ms:
                    link.close()
