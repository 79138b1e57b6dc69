"""Calls HTTP/1.1 upstreams over asyncio streams with h11.

Acquiring a connection is separate from sending on it, so that a failure tells
whether a byte of the request may have reached the upstream. A connection goes
back to the pool only when its exchange is complete and nothing unread is left
on it. Bytes that arrive later can still precede the next response, so whoever
reads a response must check to which request it belongs.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import io
import itertools
import re
import select
import socket
from types import TracebackType
from typing import Any
from typing import TypeAlias

import attrs
import h11

from redwingchute.connection import body_pace
from redwingchute.connection import buffered_bodies
from redwingchute.connection import http_headers
from redwingchute.connection import socket_state
from redwingchute.connection import turn_queue
from redwingchute.core import short_ids

_READ_BYTES = 64 * 1024
# What is received at once.
_RECEIVED_BYTES = 32 * 1024
# A connection is not read while twice this waits to be read from it.
_READER_BYTES = 16 * 1024
_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65_535
# An upstream sends few before its response.
_MAX_INTERIM_RESPONSES = 64
# The last status of HTTP; the parser accepts any three digits from 200 on.
_MAX_STATUS = 599
# What may be received of a response beyond its content: heads, chunk headers,
# trailers. Many small chunks have several bytes of framing for each of content.
_MAX_FRAMING_BYTES = 256 * 1024
_MAX_FRAMING_RATIO = 16
# The heads, chunks and ends that are parsed in this time before the connection
# waits for a turn. A stream of 50 events a second stays below.
_EVENTS_PER_TURN = 64
_TURN_WINDOW_S = 0.5
# A longer request body is sent in parts, so that it is not copied as a whole.
_PART_BYTES = 64 * 1024
_MAX_HEADER_BYTES = 64 * 1024

# Applies when the upstream sends no Keep-Alive timeout.
_DEFAULT_KEEP_ALIVE_S = 30.0
# The next request must arrive before the upstream closes the connection.
_KEEP_ALIVE_MARGIN_S = 0.5
# How long a connection that another host carries is kept without an exchange.
CARRIED_IDLE_S = 1.0
# How often it is checked whether an upstream takes the rest of a request whose
# response has ended. Its host acknowledges what it takes within milliseconds.
_TAKEN_CHECKS = 50
_TAKEN_CHECK_S = 0.02
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
_CONNECTION_NUMBERS = itertools.count(1)
# An extra response belongs to one of the latest requests on a connection.
_REMEMBERED_REQUESTS = 4


def _do_nothing() -> None:
    """Does nothing."""


def take_mark() -> int:
    """Returns a mark: a number that no connection has.

    Connections that were opened before have lower numbers, and later ones, as
    well as later marks, have higher ones.
    """
    return next(_CONNECTION_NUMBERS)


@attrs.frozen
class Address:
    """The IP address and port of an upstream."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses `ip:port`.

        Raises:
          ValueError: The port is missing, or is no number of a port.
        """
        ip, separator, port = text.rpartition(":")
        if not separator or not ip:
            raise ValueError(f"'{text}' is not of the form ip:port")
        if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
            raise ValueError(f"'{port}' is no port")
        return cls(ip, int(port))

    def __str__(self) -> str:
        """Returns `ip:port`."""
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True)
class ConnectFailed:
    """No connection could be opened; no byte of the request was sent.

    Attributes:
      message: The error.
      is_unresponsive: Whether the attempt timed out without any reply.
      is_refused: Whether nobody listens at the address.
    """

    message: str
    is_unresponsive: bool = False
    is_refused: bool = False


@dataclasses.dataclass(frozen=True)
class ExchangeBroken:
    """The exchange failed after bytes may have reached the upstream.

    Attributes:
      message: The error.
      is_unresponsive: Whether the upstream's host stopped acknowledging bytes.
      is_closed: Whether the upstream closed or reset the connection.
      received_bytes: What `ClientPool.fetch` had received of the response.
      body_ms: The time since its head had arrived; 0 if it had not.
    """

    message: str
    is_unresponsive: bool = False
    is_closed: bool = False
    received_bytes: int = 0
    body_ms: float = 0.0


@attrs.frozen
class ResponseHead:
    """The status and headers of a response; header names in lower case.

    Attributes:
      status: The HTTP status.
      headers: Header values by name; the last one of each name.
      header_list: All headers in received order.
    """

    status: int
    headers: dict[str, str]
    header_list: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class BodyChunk:
    """A part of the body of a response."""

    data: bytes


@attrs.frozen
class BodyEnd:
    """The end of a complete body."""


StreamOpener: TypeAlias = Callable[
    [str, int],
    Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
]

BodyEvent: TypeAlias = BodyChunk | BodyEnd | ExchangeBroken


class ClientConnection:
    """One connection to an upstream, used by one exchange at a time.

    Attributes:
      address: The address of the upstream.
      number: Identifies the connection within this process.
      exchange_count: The number of exchanges that were completed on it.
      carrier: The host whose router carries the connection to the upstream;
        empty if it is a direct one.
    """

    def __init__(
        self,
        address: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        bodies: buffered_bodies.BufferedBodies | None = None,
        carrier: str = "",
        turns: turn_queue.TurnQueue | None = None,
    ) -> None:
        """Creates a connection on open streams.

        Args:
          address: The address of the upstream.
          reader: Reads from it.
          writer: Writes to it.
          bodies: Counts the bodies that are read as a whole.
          carrier: The host that carries it, or empty.
          turns: The queue for work that many small parts of responses cause.
        """
        self.address = address
        self._turns = turns or turn_queue.TurnQueue()
        # What was parsed since the last turn, or since a window began.
        self._parsed_events = 0
        self._window_begin_s = 0.0
        self.carrier = carrier
        # Whether the body of the response ends with the connection.
        self._ends_with_connection = False
        self._bodies = bodies or buffered_bodies.BufferedBodies()
        # Of the present exchange, and the part of it that is content.
        self._received_bytes = 0
        self._content_bytes = 0
        self.number = next(_CONNECTION_NUMBERS)
        self.exchange_count = 0
        # Of its latest requests, the newest one last.
        self._request_ids: collections.deque[str] = collections.deque(
            maxlen=_REMEMBERED_REQUESTS
        )
        # Called once it is closed.
        self.handle_close: Callable[[], None] = _do_nothing
        self._method = ""
        self._has_sent_head = False
        self._is_retired = False
        self._idle_since_s = 0.0
        self._keep_alive_s = _DEFAULT_KEEP_ALIVE_S
        self._reader = reader
        self._writer = writer
        self._protocol = _make_protocol()
        # Sends the rest of a long body.
        self._sending: asyncio.Future[None] | None = None
        # An event that was read ahead for the next call of `read_chunk`.
        self._pending_event: (
            h11.Event
            | type[h11.NEED_DATA]
            | type[h11.PAUSED]
            | ExchangeBroken
            | None
        ) = None

    async def send_request(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        host: str | None = None,
        request_id: str | None = None,
    ) -> ExchangeBroken | None:
        """Sends a complete request; it may arrive in part even on failure.

        Does not wait until the body is sent: an upstream may respond before
        it has read the whole body.

        Args:
          method: The HTTP method.
          target: Path and query.
          headers: Headers besides host and content-length.
          body: The whole body.
          host: The value of the Host header; the address by default.
          request_id: The id that responses to this request have, or None.

        Returns:
          None, or why sending failed.
        """
        self._method = method
        self._received_bytes = 0
        self._content_bytes = 0
        self._has_sent_head |= method == "HEAD"
        if request_id is not None:
            self._request_ids.append(short_ids.shorten_id(request_id))
        framing = []
        if body or method not in _METHODS_WITHOUT_BODY:
            framing.append(("content-length", str(len(body))))
        request = h11.Request(
            method=method,
            target=target,
            headers=http_headers.encode_headers(
                [("host", host or str(self.address)), *framing, *headers]
            ),
        )
        protocol = self._protocol
        payload = protocol.send(request) or b""
        is_long = len(body) > _PART_BYTES
        if body and not is_long:
            payload += protocol.send(h11.Data(data=body)) or b""
        if not is_long:
            payload += protocol.send(h11.EndOfMessage()) or b""
        try:
            self._writer.write(payload)
        except OSError as error:
            return ExchangeBroken(f"sending failed: {error}", is_closed=True)
        if is_long:
            self._sending = asyncio.ensure_future(
                self._send_parts(protocol, body)
            )
        return None

    async def _send_parts(self, protocol: h11.Connection, body: bytes) -> None:
        """Sends a long body as the upstream takes it.

        If that fails, reading the response does too.
        """
        with contextlib.suppress(OSError):
            for begin in range(0, len(body), _PART_BYTES):
                part = h11.Data(data=body[begin : begin + _PART_BYTES])
                self._writer.write(protocol.send(part) or b"")
                await self._writer.drain()
            protocol.send(h11.EndOfMessage())

    async def read_head(self) -> ResponseHead | ExchangeBroken:
        """Reads the status and headers; skips 1xx responses."""
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            match event:
                case h11.Response(status_code=status) if status > _MAX_STATUS:
                    return ExchangeBroken(f"{status} is no status")
                case h11.Response():
                    header_list = http_headers.decode_headers(event.headers)
                    headers = dict(header_list)
                    self._keep_alive_s = _read_keep_alive_s(headers)
                    self._ends_with_connection = (
                        self._method != "HEAD"
                        and event.status_code not in _STATUSES_WITHOUT_BODY
                        and headers.keys().isdisjoint(
                            ("content-length", "transfer-encoding")
                        )
                    )
                    return ResponseHead(event.status_code, headers, header_list)
                case h11.InformationalResponse():
                    continue
                case ExchangeBroken():
                    return event
                case _:
                    return ExchangeBroken(
                        "the upstream closed early", is_closed=True
                    )
        return ExchangeBroken("the response has too many interim heads")

    async def read_chunk(self) -> BodyEvent:
        """Reads the next part of the body."""
        event = self._pending_event or await self._next_event()
        self._pending_event = None
        match event:
            case h11.Data():
                return BodyChunk(self._join_received(event))
            case h11.EndOfMessage() if (
                self._ends_with_connection and self._reader.at_eof()
            ):
                return await self._judge_end()
            case h11.EndOfMessage():
                return BodyEnd()
            case ExchangeBroken():
                return event
            case _:
                return ExchangeBroken(
                    "the upstream closed early", is_closed=True
                )

    async def _judge_end(self) -> BodyEnd | ExchangeBroken:
        """Returns whether the end of the connection is that of a whole body.

        A carrier that ends closes the connection as an upstream does. An
        upstream may end its response before it has read the request; it has
        broken off if it does not take the rest.
        """
        if self.carrier:
            return ExchangeBroken("the end of the body is uncertain")
        for _ in range(_TAKEN_CHECKS):
            if self._writer.is_closing() or socket_state.is_reset(
                self.get_socket()
            ):
                break
            if not self._is_sending():
                return BodyEnd()
            await asyncio.sleep(_TAKEN_CHECK_S)
        return ExchangeBroken(
            "the upstream ended its response before the request",
            is_closed=True,
        )

    def _is_sending(self) -> bool:
        """Returns whether the upstream's host has not got the whole request."""
        if self._sending is not None and not self._sending.done():
            return True
        return (
            self._writer.transport.get_write_buffer_size() > 0
            or socket_state.count_unacknowledged(self.get_socket()) > 0
        )

    def _join_received(self, first: h11.Data) -> bytes:
        """Joins a part of the body with all parts received after it.

        A busy process thus forwards several parts at once.
        """
        parts = [bytes(first.data)]
        while True:
            if self._parsed_events >= _EVENTS_PER_TURN:
                return b"".join(parts)
            try:
                event = self._parse_event()
            except h11.RemoteProtocolError as error:
                self._pending_event = ExchangeBroken(
                    str(error), is_closed=self._reader.at_eof()
                )
                return b"".join(parts)
            if isinstance(event, h11.Data):
                self._content_bytes += len(event.data)
                parts.append(bytes(event.data))
                continue
            if event is not h11.NEED_DATA:
                self._pending_event = event
            return b"".join(parts)

    async def read_body(
        self,
        max_bytes: int,
        handle_part: Callable[[int], None] = lambda _: None,
    ) -> bytes | ExchangeBroken:
        """Reads the whole body, or fails when it is too large.

        It also fails when all bodies that are read at the same time are.

        Args:
          max_bytes: The largest accepted body.
          handle_part: Called with the size so far after each part.
        """
        body = io.BytesIO()
        try:
            while True:
                match await self.read_chunk():
                    case BodyChunk(data):
                        body.write(data)
                        has_room = self._bodies.add(len(data), body.tell())
                        if body.tell() > max_bytes or not has_room:
                            self.close()
                            return ExchangeBroken("the body is too large")
                        handle_part(body.tell())
                    case BodyEnd():
                        return body.getvalue()
                    case ExchangeBroken() as broken:
                        return broken
        finally:
            self._bodies.remove(body.tell())

    async def skip_response(self, max_bytes: int) -> bool:
        """Skips an extra response whose head was read.

        The response to the request that was sent can be read afterwards. The
        connection can't be reused then, since more extra responses may come.

        Args:
          max_bytes: The largest body that is skipped.

        Returns:
          Whether the response was skipped; if not, the exchange is broken.
        """
        # Where a response to a HEAD request ends depends on which request it
        # belongs to.
        if self._has_sent_head:
            return False
        if isinstance(await self.read_body(max_bytes), ExchangeBroken):
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        received = self._protocol.trailing_data[0]
        # A parser that has sent the same kind of request expects its response.
        self._protocol = _make_protocol()
        self._protocol.send(
            h11.Request(
                method=self._method,
                target="/",
                headers=[("host", str(self.address))],
            )
        )
        self._protocol.send(h11.EndOfMessage())
        if received:
            self._protocol.receive_data(received)
        self.retire()
        return True

    def has_sent(self, request_id: str | None) -> bool:
        """Returns whether one of the latest requests had an id."""
        if request_id is None:
            return False
        return short_ids.shorten_id(request_id) in self._request_ids

    def retire(self) -> None:
        """Prevents that the connection is used for another exchange."""
        self._is_retired = True

    def make_reusable(self) -> bool:
        """Prepares for the next exchange.

        Returns:
          Whether the connection can be reused; if not, it must be closed.
        """
        if self._is_retired:
            return False
        if self._sending is not None and not self._sending.done():
            return False
        self._sending = None
        is_done = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        if not is_done or self._protocol.trailing_data[0]:
            return False
        # The next exchange would read this event as its own.
        if self._pending_event is not None:
            return False
        if not self.is_usable():
            return False
        self._protocol.start_next_cycle()
        self.exchange_count += 1
        self.mark_idle()
        return True

    def mark_idle(self) -> None:
        """Sets since when the connection has been idle."""
        self._idle_since_s = asyncio.get_running_loop().time()

    @property
    def received_bytes(self) -> int:
        """What was received of the response to the present request."""
        return self._received_bytes

    @property
    def idle_since_s(self) -> float:
        """Since when it has been idle, if it is."""
        return self._idle_since_s

    def is_kept_alive(self) -> bool:
        """Returns whether the upstream still keeps the idle connection open.

        One by way of a carrier is kept for a short time only, so that a carrier
        that stops need not wait for it.
        """
        idle_s = asyncio.get_running_loop().time() - self._idle_since_s
        if self.carrier and idle_s >= CARRIED_IDLE_S:
            return False
        return idle_s < self._keep_alive_s - _KEEP_ALIVE_MARGIN_S

    def is_usable(self) -> bool:
        """Returns whether the connection is open with no bytes left on it.

        Neither unread bytes, also in the socket, nor unsent ones may be left.
        """
        buffered = getattr(self._reader, "_buffer", b"")
        if buffered or self._reader.at_eof() or self._writer.is_closing():
            return False
        # An upstream may respond without having read the whole request.
        if self._writer.transport.get_write_buffer_size():
            return False
        # The event loop of a busy process has not read these bytes yet.
        socket_input = select.poll()
        socket_input.register(self.get_socket().fileno(), select.POLLIN)
        return not socket_input.poll(0)

    def get_socket(self) -> socket.socket:
        """Returns the socket, to get or set its options."""
        found: socket.socket = self._writer.get_extra_info("socket")
        return found

    def detach(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns the streams of a connection without an exchange.

        The caller owns them; the pool no longer counts the connection.
        """
        self.handle_close()
        self.handle_close = _do_nothing
        return self._reader, self._writer

    def close(self) -> None:
        """Closes the connection and aborts an unfinished exchange.

        What the upstream has not taken is not sent any more.
        """
        self.handle_close()
        self.handle_close = _do_nothing
        if self._sending is not None:
            self._sending.cancel()
            self._sending = None
        if self._writer.transport.get_write_buffer_size():
            self._writer.transport.abort()
        self._writer.close()

    async def _next_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED] | ExchangeBroken:
        """Returns the next protocol event; reads as needed."""
        while True:
            if self._parsed_events >= _EVENTS_PER_TURN:
                await self._turns.wait_for_turn()
                self._begin_window()
            try:
                event = self._parse_event()
                if self._has_endless_framing(event):
                    return ExchangeBroken("the response has too much framing")
                if event is not h11.NEED_DATA:
                    return event
                if self._is_window_over():
                    self._begin_window()
                received = await self._reader.read(_READ_BYTES)
                self._received_bytes += len(received)
                self._protocol.receive_data(received)
            except (h11.RemoteProtocolError, OSError) as error:
                is_unresponsive = isinstance(error, TimeoutError)
                return ExchangeBroken(
                    str(error) or type(error).__name__,
                    is_unresponsive,
                    is_closed=not is_unresponsive
                    and (isinstance(error, OSError) or self._reader.at_eof()),
                )

    def _begin_window(self) -> None:
        """Counts what is parsed from now on."""
        self._parsed_events = 0
        self._window_begin_s = asyncio.get_running_loop().time()

    def _is_window_over(self) -> bool:
        """Returns whether the window in which parts are counted is over."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._window_begin_s >= _TURN_WINDOW_S

    def _parse_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event of what was received.

        Raises:
          h11.RemoteProtocolError: It is no response.
        """
        self._parsed_events += 1
        return self._protocol.next_event()

    def _has_endless_framing(self, event: object) -> bool:
        """Counts an event; returns whether the response is mostly framing."""
        if isinstance(event, h11.Data):
            self._content_bytes += len(event.data)
        framing_bytes = self._received_bytes - self._content_bytes
        return framing_bytes > (
            _MAX_FRAMING_BYTES + _MAX_FRAMING_RATIO * self._content_bytes
        )


async def open_stream(
    ip: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a TCP connection that holds little which nobody has read yet."""
    reader, writer = await asyncio.open_connection(
        ip, port, limit=_READER_BYTES
    )
    transport: Any = writer.transport
    transport.max_size = _RECEIVED_BYTES
    return reader, writer


class ClientPool:
    """A pool of idle connections to upstreams; closes them on exit.

    Attributes:
      buffered_bodies: The bodies that its connections read as a whole.
      turns: The queue for work that many small parts of responses cause.
      open_count: The number of its connections that are not closed.
      max_connections: At this number idle connections are closed for new ones;
        None for any number.
    """

    def __init__(
        self,
        connect_timeout_ms: int = 1_000,
        max_idle_per_address: int = 32,
        tcp_user_timeout_ms: int | None = None,
        open_stream: StreamOpener = open_stream,
    ) -> None:
        """Creates an empty pool.

        Args:
          connect_timeout_ms: How long opening a connection may take.
          max_idle_per_address: How many idle connections to keep for each
            address.
          tcp_user_timeout_ms: The TCP user timeout: a connection fails when
            sent bytes stay unacknowledged for this long. None leaves the
            system's default.
          open_stream: Opens a TCP connection to an IP address and port.
        """
        self._connect_timeout_ms = connect_timeout_ms
        self._max_idle_per_address = max_idle_per_address
        self._tcp_user_timeout_ms = tcp_user_timeout_ms
        self._open_stream = open_stream
        self._idle: dict[Address, list[ClientConnection]] = {}
        self.open_count = 0
        self.max_connections: int | None = None
        self.buffered_bodies = buffered_bodies.BufferedBodies()
        self.turns = turn_queue.TurnQueue()

    async def __aenter__(self) -> "ClientPool":
        """Returns the pool."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def acquire(
        self, address: Address, request_id: str | None = None
    ) -> ClientConnection | ConnectFailed:
        """Returns an idle or new connection without an exchange on it.

        Args:
          address: The address of the upstream.
          request_id: The id of the request to send, or None. A connection on
            which this id was sent before is not used, since an extra response
            to it could not be told apart.
        """
        return self.pop_idle(address, request_id) or await self.open(address)

    def pop_idle(
        self,
        address: Address,
        request_id: str | None = None,
        may_use: Callable[["ClientConnection"], bool] = lambda _: True,
    ) -> ClientConnection | None:
        """Returns an idle connection, or None.

        Args:
          address: The address of the upstream.
          request_id: As of `acquire`.
          may_use: Returns whether a connection may be used. One that may not
            is kept for other requests.
        """
        idle = self._idle.get(address, [])
        for connection in reversed(tuple(idle)):
            if not may_use(connection):
                continue
            idle.remove(connection)
            if (
                connection.is_usable()
                and connection.is_kept_alive()
                and not connection.has_sent(request_id)
            ):
                return connection
            connection.close()
        return None

    async def open(self, address: Address) -> ClientConnection | ConnectFailed:
        """Opens a connection to an upstream."""
        if (
            self.max_connections is not None
            and self.open_count >= self.max_connections
        ):
            self._close_oldest_idle()
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1000):
                reader, writer = await self._open_stream(
                    address.ip, address.port
                )
        except (OSError, TimeoutError) as error:
            return ConnectFailed(
                str(error) or "connecting timed out",
                is_unresponsive=isinstance(error, TimeoutError),
                is_refused=isinstance(error, ConnectionRefusedError),
            )
        return self.adopt(address, reader, writer)

    def adopt(
        self,
        address: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        carrier: str = "",
    ) -> ClientConnection:
        """Returns a connection to an upstream on streams that are open.

        Args:
          address: The address of the upstream.
          reader: Reads from it.
          writer: Writes to it.
          carrier: The host that carries the connection, or empty.
        """
        connection = ClientConnection(
            address, reader, writer, self.buffered_bodies, carrier, self.turns
        )
        if self._tcp_user_timeout_ms is not None:
            connection.get_socket().setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                self._tcp_user_timeout_ms,
            )
        self.open_count += 1
        connection.handle_close = self._record_close
        return connection

    def _record_close(self) -> None:
        """Records that a connection was closed."""
        self.open_count -= 1

    def _close_oldest_idle(self) -> None:
        """Closes the connection that has been idle for longest, if any."""
        idle = itertools.chain.from_iterable(self._idle.values())
        oldest = min(idle, key=lambda found: found.idle_since_s, default=None)
        if oldest is not None:
            self._idle[oldest.address].remove(oldest)
            oldest.close()

    def count_idle(self, address: Address) -> int:
        """Returns the number of usable idle connections to an address."""
        return sum(
            connection.is_usable() for connection in self._idle.get(address, ())
        )

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_idle_direct(self, address: Address) -> None:
        """Closes the idle connections to an address that nobody carries."""
        connections = self._idle.pop(address, [])
        for connection in connections:
            if not connection.carrier:
                connection.close()
        carried = [found for found in connections if found.carrier]
        if carried:
            self._idle[address] = carried

    def close_expired(self) -> None:
        """Closes carried connections that were idle for too long."""
        for address, connections in self._idle.items():
            kept = []
            for connection in connections:
                if connection.carrier and not connection.is_kept_alive():
                    connection.close()
                else:
                    kept.append(connection)
            self._idle[address] = kept

    def add_idle(self, connection: ClientConnection) -> None:
        """Keeps a connection on which there was no exchange yet."""
        connection.mark_idle()
        self._idle.setdefault(connection.address, []).append(connection)

    def release(self, connection: ClientConnection) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        idle = self._idle.setdefault(connection.address, [])
        if (
            len(idle) < self._max_idle_per_address
            and connection.make_reusable()
        ):
            idle.append(connection)
        else:
            connection.close()

    async def fetch(
        self,
        address: Address,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_ms: int,
        max_body_bytes: int = 16 * 1024 * 1024,
        pace: body_pace.BodyPace | None = None,
    ) -> "Fetched | ConnectFailed | ExchangeBroken":
        """Sends a request and receives the complete response.

        Args:
          address: The address of the upstream.
          method: The HTTP method.
          target: Path and query.
          headers: Headers besides host and content-length.
          body: The whole body.
          timeout_ms: The timeout of the exchange, without connecting.
          max_body_bytes: The largest accepted body of a response.
          pace: How slowly the bodies may be transferred; the timeout is then
            that of the response's head, beside the transfer of what a long
            request sends in later parts.
            None to have the timeout bound the whole exchange.

        Returns:
          The response, or why the exchange failed.
        """
        connection = await self.acquire(address)
        if isinstance(connection, ConnectFailed):
            return connection
        exchange = _Exchange(connection, pace)
        try:
            result = await exchange.run(
                method, target, headers, body, timeout_ms, max_body_bytes
            )
        except TimeoutError:
            connection.close()
            result = ExchangeBroken("the exchange timed out")
        finally:
            received_bytes = connection.received_bytes
            self.release(connection)
        match result:
            case ExchangeBroken():
                return dataclasses.replace(
                    result,
                    received_bytes=received_bytes,
                    body_ms=exchange.measure_body_ms(),
                )
            case Fetched():
                return result


@attrs.frozen
class Fetched:
    """A complete response.

    Attributes:
      status: The HTTP status.
      headers: Header values by lower-case name; the last one of each name.
      body: The whole body.
      body_ms: The time from the end of the head to that of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    body_ms: float = 0.0


class _Exchange:
    """One request on a connection and its complete response."""

    def __init__(
        self, connection: ClientConnection, pace: body_pace.BodyPace | None
    ) -> None:
        """Prepares an exchange.

        Args:
          connection: The connection.
          pace: As of `ClientPool.fetch`.
        """
        self._connection = connection
        self._pace = pace
        self._loop = asyncio.get_running_loop()
        # When the head had arrived, on the loop's clock; 0 before.
        self._begin_ms = 0.0

    async def run(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_ms: float,
        max_body_bytes: int,
    ) -> Fetched | ExchangeBroken:
        """Sends a request and reads the response; see `ClientPool.fetch`.

        Raises:
          TimeoutError: The response did not arrive in time.
        """
        if self._pace is not None:
            later_bytes = max(0, len(body) - _PART_BYTES)
            timeout_ms += self._pace.find_transfer_ms(later_bytes)
        async with asyncio.timeout(timeout_ms / 1000) as limit:
            broken = await self._connection.send_request(
                method, target, headers, body
            )
            if broken is not None:
                return broken
            head = await self._connection.read_head()
            if isinstance(head, ExchangeBroken):
                return head
            self._begin_ms = self._read_clock_ms()
            self._extend(limit, 0)
            content = await self._connection.read_body(
                max_body_bytes, lambda size: self._extend(limit, size)
            )
        if isinstance(content, ExchangeBroken):
            return content
        return Fetched(
            head.status, head.headers, content, self.measure_body_ms()
        )

    def measure_body_ms(self) -> float:
        """Returns the time since the head had arrived; 0 if it has not."""
        return self._read_clock_ms() - self._begin_ms if self._begin_ms else 0.0

    def _extend(self, limit: asyncio.Timeout, received_bytes: int) -> None:
        """Sets by when the next part of the body has to arrive."""
        if self._pace is None or limit.expired():
            return
        deadline_ms = self._pace.find_deadline_ms(
            self._begin_ms, self._read_clock_ms(), received_bytes
        )
        limit.reschedule(deadline_ms / 1000)

    def _read_clock_ms(self) -> float:
        """Returns the time on the clock of the event loop."""
        return 1000 * self._loop.time()


def _make_protocol() -> h11.Connection:
    """Returns the state of a connection without an exchange."""
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
    )


def _read_keep_alive_s(headers: dict[str, str]) -> float:
    """Returns how long the upstream keeps an idle connection open."""
    for field in headers.get("keep-alive", "").split(","):
        name, _, value = field.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return _DEFAULT_KEEP_ALIVE_S
