"""Receives the requests of one connection, one after another.

The parser h11 reads heads and trailers and decides how a body is framed. It is
given no byte beyond the end of a head, so that a chunked body can be decoded in
bounded steps.
"""

import asyncio
from collections.abc import Callable
import io
import re

import attrs
import h11

from redwingchute.connection import chunked_body
from redwingchute.connection import server_limits
from redwingchute.connection import turn_queue

# The most bytes that are read from a connection at once.
READ_BYTES = 16 * 1024
# The end of a head, as h11 finds it.
_HEAD_END = re.compile(rb"\n\r?\n")
# Chunks that are decoded before others have their turn.
_CHUNKS_PER_TURN = 512
# A request in more than this many small pieces waits for its turn before each
# further one.
_SMALL_READ_BYTES = 512
_SMALL_READS = 16
# A head with more lines than this waits for its turn to be parsed.
_LINES_PER_TURN = 256


@attrs.frozen
class ReceivedRequest:
    """A request that was received completely.

    Attributes:
      head: The head, as parsed.
      body: The whole body, without its framing.
    """

    head: h11.Request
    body: bytes


_TIMEOUT_STATUS = 408


@attrs.frozen
class Refusal:
    """The refusal of a request that is not received; no handler sees it.

    Attributes:
      status: The status of the response.
      message: A text for the client.
    """

    status: int
    message: str


class RequestRefusedError(Exception):
    """A request is refused while it is received.

    Attributes:
      refusal: The refusal.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Creates the error of a refusal."""
        super().__init__(refusal.message)
        self.refusal = refusal


class RequestReceiver:
    """Receives the requests of one connection."""

    def __init__(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        turns: turn_queue.TurnQueue,
        find_limits: Callable[[], server_limits.ServerLimits],
        set_idle: Callable[[bool], None],
    ) -> None:
        """Creates a receiver on a new connection.

        Args:
          connection: The protocol state.
          reader: Reads from the client.
          writer: Writes interim responses to it.
          turns: The queue for work that many small pieces of input cause.
          find_limits: Returns the limits in force.
          set_idle: Called when the connection becomes idle, and when it ends
            being idle.
        """
        self._connection = connection
        self._reader = reader
        self._writer = writer
        self._turns = turns
        self._find_limits = find_limits
        self._set_idle = set_idle
        # Received bytes that the parser does not have yet.
        self._received = bytearray()
        # The last bytes that it was given of a head or of trailers. Their begin
        # is that of a line.
        self._line_tail = b"\n"
        self._head_bytes = 0
        self._small_reads = 0
        self._begun_s: float | None = None

    def add_early(self, received: bytes) -> None:
        """Adds bytes of the next request that arrived before its turn."""
        self._received += received

    async def receive(self) -> ReceivedRequest | None:
        """Receives the next request.

        Returns:
          The request, or None when the client closed the connection or it was
          idle for too long.

        Raises:
          RequestRefusedError: The request is malformed, oversized or late.
        """
        self._begun_s = _read_clock_s() if self._received else None
        self._small_reads = 0
        self._head_bytes = 0
        self._line_tail = b"\n"
        head = await self._receive_head()
        if head is None:
            return None
        self._begun_s = _read_clock_s()
        self._small_reads = 0
        if _is_chunked(head):
            body = await self._receive_chunked()
        else:
            body = await self._receive_sized(_find_length(head))
        return ReceivedRequest(head, body)

    async def _receive_head(self) -> h11.Request | None:
        """Receives a head; returns None at the end of the connection."""
        while True:
            if self._received.count(b"\n") > _LINES_PER_TURN:
                await self._turns.wait_for_turn()
            self._feed_lines()
            event = self._find_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if not self._received and not await self._read(True):
                return None

    async def _receive_sized(self, length: int) -> bytes:
        """Receives a body with a length."""
        if length > self._find_limits().body_bytes:
            raise _refuse(413, "the body is too large")
        body = io.BytesIO()
        left_bytes = length
        while True:
            event = self._find_event()
            if isinstance(event, h11.Data):
                body.write(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return body.getvalue()
            elif self._received:
                part = bytes(self._received[:left_bytes])
                del self._received[:left_bytes]
                left_bytes -= len(part)
                self._connection.receive_data(part)
            else:
                await self._read_body()

    async def _receive_chunked(self) -> bytes:
        """Receives a chunked body and its trailers."""
        limits = self._find_limits()
        decoder = chunked_body.ChunkedDecoder(limits.header_bytes)
        body = io.BytesIO()
        while True:
            try:
                content = decoder.decode(self._received, _CHUNKS_PER_TURN)
            except chunked_body.MalformedBodyError as error:
                status = 431 if error.is_oversized else 400
                raise _refuse(status, str(error)) from error
            if body.tell() + len(content) > limits.body_bytes:
                raise _refuse(413, "the body is too large")
            body.write(content)
            if decoder.is_last:
                break
            if not decoder.needs_data:
                await self._turns.wait_for_turn()
                continue
            await self._read_body()
        await self._receive_trailers()
        return body.getvalue()

    async def _receive_trailers(self) -> None:
        """Receives the end of a chunked body."""
        self._line_tail = b"\n"
        self._connection.receive_data(b"0\r\n")
        while not isinstance(self._find_event(), h11.EndOfMessage):
            if not self._received:
                await self._read_body()
            self._feed_lines()

    def _feed_lines(self) -> None:
        """Gives the parser received bytes up to the end of a head or trailers.

        What comes behind it stays here.
        """
        if not self._received:
            return
        tail = self._line_tail
        found = _HEAD_END.search(tail + self._received)
        end = len(self._received) if found is None else found.end() - len(tail)
        lines = bytes(self._received[:end])
        del self._received[:end]
        self._line_tail = (tail + lines)[-2:]
        self._head_bytes += len(lines)
        self._connection.receive_data(lines)

    def _find_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the parser's next event.

        Raises:
          RequestRefusedError: The request is malformed or its head too large.
        """
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            raise _refuse(error.error_status_hint or 400, str(error)) from error

    async def _read_body(self) -> None:
        """Reads more bytes of a body, after an interim response if one is due.

        Raises:
          RequestRefusedError: They did not arrive in time or never will.
        """
        if self._connection.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._connection.send(interim))
        if not await self._read(False):
            # The parser tells what is missing.
            self._find_event()
            raise _refuse(400, "the connection was closed")

    async def _read(self, is_head: bool) -> bool:
        """Reads more bytes; returns False at the end of the connection.

        Raises:
          RequestRefusedError: They did not arrive in time.
        """
        is_idle = is_head and not self._head_bytes
        if self._small_reads > _SMALL_READS:
            await self._turns.wait_for_turn()
        received = await self._read_in_time(is_head, is_idle)
        if received is None:
            return False
        if not received:
            self._connection.receive_data(b"")
            return not isinstance(self._find_event(), h11.ConnectionClosed)
        if self._begun_s is None:
            self._begun_s = _read_clock_s()
        if len(received) < _SMALL_READ_BYTES:
            self._small_reads += 1
        self._received += received
        return True

    async def _read_in_time(self, is_head: bool, is_idle: bool) -> bytes | None:
        """Reads bytes; returns None when the idle time of a connection is over.

        Raises:
          RequestRefusedError: They did not arrive in time.
        """
        wait_ms = self._find_wait_ms(is_head)
        if is_idle:
            self._set_idle(True)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            if not is_idle:
                raise _refuse(
                    _TIMEOUT_STATUS, "the request did not arrive"
                ) from None
        finally:
            if is_idle:
                self._set_idle(False)
        # The idle limit may have been raised during the wait.
        if self._find_limits().idle_ms <= wait_ms:
            return None
        return await self._read_in_time(is_head, is_idle)

    def _find_wait_ms(self, is_head: bool) -> int:
        """Returns how long to wait for more bytes of a request.

        Args:
          is_head: Whether its head is incomplete.
        """
        limits = self._find_limits()
        if self._begun_s is None:
            return limits.idle_ms
        # Since the first byte of its head, or since its head was complete.
        elapsed_ms = int(1000 * (_read_clock_s() - self._begun_s))
        if is_head:
            return max(0, limits.receive_ms - elapsed_ms)
        return min(limits.receive_ms, max(0, limits.body_ms - elapsed_ms))


def _refuse(status: int, message: str) -> RequestRefusedError:
    """Returns the error for a request that is malformed, oversized or late."""
    return RequestRefusedError(Refusal(status, message))


def _read_clock_s() -> float:
    """Returns the time of the event loop."""
    return asyncio.get_running_loop().time()


def _is_chunked(head: h11.Request) -> bool:
    """Returns whether a request has a chunked body; this precedes a length."""
    return any(name == b"transfer-encoding" for name, _ in head.headers)


def _find_length(head: h11.Request) -> int:
    """Returns the length of a body that is not chunked."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value.split(b",")[0])
    return 0
