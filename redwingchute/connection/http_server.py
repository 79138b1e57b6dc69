"""Serves HTTP/1.1 over asyncio streams with h11.

The server limits the resources of each connection: the sizes of headers and
bodies, the wait for each part of a request, and the time that a client may
leave a response unread. A quota limits those of all connections together. A
malformed, oversized or late request gets a 4xx response and closes only its own
connection, and one for which there is no room gets a 503. When a client
disconnects, the handler of its request is cancelled, and with it the work that
the handler awaits.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import re
import select
import socket
import struct
from types import TracebackType
from typing import Any
from typing import TypeAlias
import urllib.parse

import attrs
import h11

from redwingchute.connection import buffered_bodies
from redwingchute.connection import http_headers
from redwingchute.connection import listening
from redwingchute.connection import request_receiver
from redwingchute.connection import resource_quota
from redwingchute.connection import server_limits

_SCHEME = re.compile(r"[A-Za-z][A-Za-z0-9+.-]*://")
# The bytes of a next request that are read while a request is handled. More
# stay unread, so that the client waits.
_MAX_EARLY_BYTES = 16 * 1024
# How often a connection that is not read is checked for its end.
_HANGUP_CHECK_S = 0.2
_HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

# How long what a refused client still sends is discarded.
_LINGER_S = 1.0
# A connection is not read while half of this is waiting to be processed.
_READER_BYTES = 8 * 1024
# The turns of the event loop that accepting a connection takes.
_ACCEPT_TURNS = 3
# A handler waits for a slow client only above this many buffered bytes.
_DRAIN_THRESHOLD_BYTES = 16 * 1024
# A longer body is sent in parts, so that it is not copied as a whole.
_PART_BYTES = 64 * 1024


@attrs.frozen
class HttpRequest:
    """One completely received request.

    Attributes:
      method: The method in upper case.
      target: Path and query as received, without a scheme and host.
      path: The decoded path without the query.
      query: The query's parameters; the last one of each name.
      headers: Header values by lower-case name; the last one of each name.
      body: The whole body.
      header_list: All headers in order, names in lower case.
      raw_path: The path without the query as received.
    """

    method: str
    target: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    header_list: tuple[tuple[str, str], ...] = ()
    raw_path: str = ""


class ClientDisconnectedError(Exception):
    """The client closed the connection or stopped reading the response."""


class _ClientStalledError(ClientDisconnectedError):
    """The client has stopped reading the response."""


class HttpResponder:
    """Sends the response to one request.

    Attributes:
      has_started: Whether sending the response has started.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        limits: server_limits.ServerLimits,
        must_close: Callable[[], bool],
        is_head: bool = False,
        hold: resource_quota.ConnectionHold | None = None,
        bodies: buffered_bodies.BufferedBodies | None = None,
    ) -> None:
        """Creates the responder of one request.

        Args:
          connection: The protocol state.
          writer: The stream to send to.
          limits: The limits of the connection.
          must_close: Returns whether to send `Connection: close`.
          is_head: Whether the request's method is HEAD, so that the response
            has no body.
          hold: What is held for the connection, or None if that is not counted.
          bodies: Counts the bodies that are held as a whole.
        """
        self._connection = connection
        self._writer = writer
        self._limits = limits
        self._must_close = must_close
        self._is_head = is_head
        self._hold = hold
        self._bodies = bodies or buffered_bodies.BufferedBodies()
        self.has_started = False

    async def start(
        self, status: int, headers: list[tuple[str, str]] | None = None
    ) -> None:
        """Sends the status and headers of a streamed response."""
        self.has_started = True
        all_headers = list(headers or [])
        if self._must_close():
            all_headers.append(("connection", "close"))
        await self._send(
            h11.Response(
                status_code=status,
                headers=http_headers.encode_headers(all_headers),
            )
        )

    async def send_chunk(self, chunk: bytes) -> None:
        """Sends a part of the body; waits while too much of it is unread."""
        if chunk and not self._is_head:
            await self._send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Ends the response."""
        await self._send(h11.EndOfMessage())

    async def send(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        """Sends a complete response with a content type."""
        all_headers = [("content-type", content_type), *(headers or [])]
        await self.send_response(status, all_headers, body)

    async def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a complete response with the given headers.

        Args:
          status: The HTTP status.
          headers: All headers except content-length.
          body: The complete body.
        """
        framing = ("content-length", str(len(body)))
        if len(body) <= _PART_BYTES:
            await self.start(status, [*headers, framing])
            await self.send_chunk(body)
            await self.finish()
            return
        with self._bodies.hold(len(body)):
            await self.start(status, [*headers, framing])
            for begin in range(0, len(body), _PART_BYTES):
                await self.send_chunk(body[begin : begin + _PART_BYTES])
            await self.finish()

    def has_next_request(self) -> bool:
        """Returns whether the next request awaits its response."""
        return self._connection.our_state is h11.SEND_RESPONSE

    def write_stray(self, payload: bytes) -> bool:
        """Writes bytes that belong to no response; for faulty stand-ins.

        Returns:
          False if a response has begun or the connection is closing; nothing
          is then written.
        """
        if self._connection.our_state is h11.SEND_BODY:
            return False
        if self._writer.is_closing():
            return False
        self._writer.write(payload)
        return True

    async def _send(
        self, event: h11.Response | h11.Data | h11.EndOfMessage
    ) -> None:
        """Writes one event.

        Raises:
          ClientDisconnectedError: The client has disconnected or stopped
            reading.
        """
        payload = self._connection.send(event)
        if self._writer.is_closing():
            raise ClientDisconnectedError
        if not payload:
            return
        self._writer.write(payload)
        if (
            self._writer.transport.get_write_buffer_size()
            < _DRAIN_THRESHOLD_BYTES
        ):
            return
        try:
            async with asyncio.timeout(self._limits.unread_ms / 1000) as wait:
                if self._hold is not None:
                    self._hold.set_activity(resource_quota.Activity.UNREAD)
                    self._hold.handle_eviction = lambda: wait.reschedule(0)
                await self._writer.drain()
        except TimeoutError as error:
            raise _ClientStalledError from error
        except ConnectionError as error:
            raise ClientDisconnectedError from error
        finally:
            if self._hold is not None:
                self._hold.handle_eviction = lambda: None
                self._hold.set_activity(resource_quota.Activity.RUNNING)


Handler: TypeAlias = Callable[[HttpRequest, HttpResponder], Awaitable[None]]
HeadCheck: TypeAlias = Callable[
    [HttpRequest],
    request_receiver.AcceptedHead | request_receiver.PreparedResponse,
]


def _accept_head(request: HttpRequest) -> request_receiver.AcceptedHead:
    """Accepts any request by its head."""
    del request
    return request_receiver.AcceptedHead()


class HttpServer:
    """An HTTP server on one address; a context manager for its socket.

    Attributes:
      port: The port; once started, the one that the socket is bound to.
      open_exchanges: How many requests have an unfinished response.
      bad_requests: How many requests were malformed, oversized or late.
    """

    def __init__(
        self,
        handler: Handler,
        address: str,
        port: int,
        limits: server_limits.ServerLimits | None = None,
        quota: resource_quota.ResourceQuota | None = None,
        check_head: HeadCheck = _accept_head,
        bodies: buffered_bodies.BufferedBodies | None = None,
    ) -> None:
        """Creates a server; it listens once its context is entered.

        Args:
          handler: Called for each request. The connection is closed when it
            returns without a complete response.
          address: The IP address to listen on.
          port: The port, or 0 to let the system choose one.
          limits: The limits of each connection; the defaults if None.
          quota: What is held for all connections; a large one if None.
          check_head: Called with a request without its body, before the server
            waits for the rest of that.
          bodies: Counts the bodies of responses that are held as a whole.
        """
        self._handler = handler
        self._address = address
        self._limits = limits or server_limits.ServerLimits()
        self._quota = quota or resource_quota.ResourceQuota()
        self._check = check_head
        self._bodies = bodies or buffered_bodies.BufferedBodies()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        # Idle connections, each with the loop time at which it became idle.
        self._idle: dict[asyncio.StreamWriter, float] = {}
        self._is_draining = False
        self._has_exited = False
        self.port = port
        self.open_exchanges = 0
        self.bad_requests = 0

    async def __aenter__(self) -> "HttpServer":
        """Starts listening."""
        self._server = await listening.start_server(
            self._serve_connection, self._address, self.port, _READER_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening and closes all connections."""
        self._has_exited = True
        if self._server is not None:
            loop = asyncio.get_running_loop()
            for listener in self._server.sockets:
                loop.remove_reader(listener.fileno())
            # A connection that was accepted just before would stay open, since
            # a closed server cannot give it a transport.
            for _ in range(_ACCEPT_TURNS):
                await asyncio.sleep(0)
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections)

    def set_limits(self, limits: server_limits.ServerLimits) -> None:
        """Sets the limits of new and open connections.

        An open connection keeps its `header_bytes`. A response that is being
        sent keeps its `unread_ms`.
        """
        self._limits = limits

    def begin_drain(self) -> None:
        """Sends `Connection: close` with every response from now on.

        Idle connections stay open: the client may already have sent a request
        on one, and closing it would lose that request.
        """
        self._is_draining = True

    def close_idle_connections(self, idle_s: float = 0.0) -> None:
        """Closes connections on which no request is being received.

        Args:
          idle_s: How long a connection must have been idle to be closed.
        """
        latest_s = asyncio.get_running_loop().time() - idle_s
        for writer, since_s in list(self._idle.items()):
            if since_s <= latest_s:
                writer.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it is closed."""
        # It was accepted just before, so that nothing can answer on it.
        if self._has_exited:
            writer.close()
            return
        hold = self._quota.connect()
        if hold is None:
            writer.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        # Bounds what one iteration of the event loop reads.
        transport: Any = writer.transport
        transport.max_size = request_receiver.READ_BYTES
        transport.set_write_buffer_limits(high=_DRAIN_THRESHOLD_BYTES)
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        try:
            with hold:
                try:
                    await self._serve_requests(connection, reader, writer, hold)
                except _ClientStalledError:
                    writer.transport.abort()
                except ClientDisconnectedError:
                    pass
                if _has_open_end(connection):
                    _reset(writer)
                await self._close(writer, hold)
        except OSError:
            pass
        except asyncio.CancelledError:
            # The server cancels its connections when it closes.
            if _has_open_end(connection):
                _reset(writer)
        finally:
            self._connections.discard(task)
            self._idle.pop(writer, None)
            writer.close()

    async def _close(
        self,
        writer: asyncio.StreamWriter,
        hold: resource_quota.ConnectionHold,
    ) -> None:
        """Closes a connection once the client has read what it was sent.

        One whose client does not read it is closed after a time.
        """
        writer.close()
        if not writer.transport.get_write_buffer_size():
            return
        hold.set_activity(resource_quota.Activity.UNREAD)
        try:
            async with asyncio.timeout(self._limits.unread_ms / 1000) as wait:
                hold.handle_eviction = lambda: wait.reschedule(0)
                await writer.wait_closed()
        except TimeoutError:
            writer.transport.abort()

    async def _serve_requests(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hold: resource_quota.ConnectionHold,
    ) -> None:
        """Runs the request loop of one connection."""
        receiver = request_receiver.RequestReceiver(
            connection,
            reader,
            writer,
            hold,
            self._quota,
            lambda: self._limits,
            self._check_head,
            lambda is_idle: self._mark_idle(writer, is_idle),
        )
        while True:
            refusal: request_receiver.Refusal | None = None
            try:
                received = await receiver.receive()
                if received is None:
                    return
                request = _build_request(received.head, received.body)
                del received
            except request_receiver.RequestRefusedError as error:
                refusal = error.refusal
            # What was received is no longer held by the error.
            if refusal is not None:
                hold.release()
                await self._refuse(connection, writer, refusal)
                if refusal.may_send_more and not hold.is_evicted:
                    await self._discard_rest(reader, writer, hold)
                return
            # A request that arrived as its idle connection was being closed can
            # get no response, so it must not run.
            if writer.is_closing():
                return
            responder = HttpResponder(
                connection,
                writer,
                self._limits,
                lambda: self._is_draining,
                is_head=request.method == "HEAD",
                hold=hold,
                bodies=self._bodies,
            )
            early = await self._run_handler(request, responder, reader, writer)
            del request
            hold.release()
            if (
                connection.our_state is not h11.DONE
                or connection.their_state is not h11.DONE
            ):
                if early and connection.our_state is h11.MUST_CLOSE:
                    await self._discard_rest(reader, writer, hold)
                return
            connection.start_next_cycle()
            receiver.add_early(early)

    async def _run_handler(
        self,
        request: HttpRequest,
        responder: HttpResponder,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Runs the handler, and cancels it when the client disconnects.

        Returns:
          Bytes of the next request that were received meanwhile.

        Raises:
          ClientDisconnectedError: The client disconnected.
        """
        self.open_exchanges += 1
        early = bytearray()
        handler = asyncio.ensure_future(self._handler(request, responder))
        watcher = asyncio.ensure_future(
            _watch_for_disconnect(reader, writer, early)
        )
        try:
            await asyncio.wait(
                {handler, watcher}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handler.done():
                handler.cancel()
                await asyncio.wait({handler})
                raise ClientDisconnectedError
            handler.result()
        finally:
            self.open_exchanges -= 1
            handler.cancel()
            watcher.cancel()
            # Awaiting the watcher itself would raise CancelledError, which
            # looks the same as a cancellation of this task.
            await asyncio.wait({watcher})
        return bytes(early)

    def _check_head(
        self, head: h11.Request
    ) -> request_receiver.AcceptedHead | request_receiver.PreparedResponse:
        """Checks the head of a request of which a part has not arrived."""
        return self._check(_build_request(head, b""))

    def _mark_idle(self, writer: asyncio.StreamWriter, is_idle: bool) -> None:
        """Records that a connection becomes idle, or ends being idle."""
        if is_idle:
            self._idle[writer] = asyncio.get_running_loop().time()
        else:
            self._idle.pop(writer, None)

    async def _refuse(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        refusal: request_receiver.Refusal,
    ) -> None:
        """Sends the response to a request that could not be received."""
        self.bad_requests += 1
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        responder = HttpResponder(
            connection, writer, self._limits, lambda: True
        )
        match refusal.prepared:
            case request_receiver.PreparedResponse(status, headers, body):
                await responder.send_response(status, headers, body)
            case None:
                await responder.send(
                    refusal.status,
                    _encode_refusal(refusal),
                    headers=_list_refusal_headers(refusal),
                )

    async def _discard_rest(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hold: resource_quota.ConnectionHold,
    ) -> None:
        """Discards what a refused client still sends, for a short time.

        Closing a connection with unread bytes resets it, and the client might
        lose the response.
        """
        hold.set_activity(resource_quota.Activity.LINGERING)
        if not writer.is_closing():
            writer.write_eof()
        left_bytes = self._limits.body_bytes
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LINGER_S) as timeout:
                hold.handle_eviction = lambda: timeout.reschedule(0)
                while left_bytes > 0 and (
                    received := await reader.read(request_receiver.READ_BYTES)
                ):
                    left_bytes -= len(received)


def _encode_refusal(refusal: request_receiver.Refusal) -> bytes:
    """Returns the body of the response for a refusal."""
    message = _remove_special_characters(refusal.message)
    return (
        f'{{"error": {{"type": "not_run", "code": "{refusal.code}", '
        f'"message": "{message}"}}}}'
    ).encode()


def _list_refusal_headers(
    refusal: request_receiver.Refusal,
) -> list[tuple[str, str]]:
    """Returns the headers of the response for a refusal."""
    if refusal.retry_after_ms is None:
        return []
    return [("retry-after", f"{refusal.retry_after_ms / 1000:.3f}")]


def _has_open_end(connection: h11.Connection) -> bool:
    """Returns whether closing would end an unfinished response as complete.

    That is so for a response without a length to a client of HTTP/1.0.
    """
    return (
        connection.our_state in (h11.SEND_BODY, h11.ERROR)
        and connection.their_http_version is not None
        and connection.their_http_version < b"1.1"
    )


def _reset(writer: asyncio.StreamWriter) -> None:
    """Has the connection reset when it is closed."""
    found: socket.socket = writer.get_extra_info("socket")
    found.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


def _remove_special_characters(text: str) -> str:
    """Returns a text without the characters that JSON strings must escape."""
    return "".join(c for c in text if c.isprintable() and c not in '"\\')


def _build_request(head: h11.Request, body: bytes) -> HttpRequest:
    """Builds the request for the handler.

    Raises:
      RequestRefusedError: The target is not valid.
    """
    target = _read_target(head.target.decode("latin-1"))
    path, _, query = target.partition("?")
    header_list = http_headers.decode_headers(head.headers)
    return HttpRequest(
        method=head.method.decode("latin-1"),
        target=target,
        path=urllib.parse.unquote(path),
        query=dict(urllib.parse.parse_qsl(query)),
        headers=dict(header_list),
        body=body,
        header_list=header_list,
        raw_path=path,
    )


def _read_target(target: str) -> str:
    """Returns a request's target as path and query, exactly as received.

    A target that is a whole URL has them after its host (RFC 9112, 3.2.2).

    Raises:
      RequestRefusedError: The URL is not valid.
    """
    scheme = _SCHEME.match(target)
    if scheme is None:
        return target
    try:
        host = urllib.parse.urlsplit(target).netloc
    except ValueError as error:
        raise request_receiver.RequestRefusedError(
            request_receiver.Refusal(400, "the target is not valid")
        ) from error
    rest = target[scheme.end() :].removeprefix(host)
    return rest if rest.startswith("/") else f"/{rest}"


async def _watch_for_disconnect(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    early: bytearray,
) -> None:
    """Returns when the client disconnects.

    Appends the first bytes that it sends meanwhile to `early`.
    """
    while len(early) < _MAX_EARLY_BYTES:
        received = await reader.read(_MAX_EARLY_BYTES - len(early))
        if not received:
            return
        early += received
    # The end of a connection that is not read does not arrive by reading.
    hangup = select.poll()
    hangup.register(writer.get_extra_info("socket").fileno(), _HANGUP_EVENTS)
    while not writer.is_closing() and not hangup.poll(0):
        await asyncio.sleep(_HANGUP_CHECK_S)
