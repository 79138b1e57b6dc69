"""Receives the requests of one connection, one after another.

The parser h11 reads heads and trailers and decides how a body is framed. It is
given no byte beyond the end of a head, so that a chunked body can be decoded in
bounded steps.
"""

import asyncio
from collections.abc import Callable
import io
import re
from typing import TypeAlias

import attrs
import h11

from redwingchute.connection import chunked_body
from redwingchute.connection import resource_quota
from redwingchute.connection import server_limits

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
# The memory that a byte of a head takes, and a field or a part of a list in it.
_HEAD_BYTE_BYTES = 4
_FIELD_BYTES = 512
# A head with more lines than this waits for its turn to be parsed.
_LINES_PER_TURN = 256
# The room that is reserved at once for a body of unknown length.
_BODY_STEP_BYTES = 256 * 1024


@attrs.frozen
class ReceivedRequest:
    """A request that was received completely.

    Attributes:
      head: The head, as parsed.
      body: The whole body, without its framing.
    """

    head: h11.Request
    body: bytes


@attrs.frozen
class PreparedResponse:
    """The response to a request whose body is not read."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@attrs.frozen
class AcceptedHead:
    """A head that does not show that its request is refused.

    Attributes:
      account: The client account of the request; empty if there is none.
    """

    account: str = ""


_TIMEOUT_STATUS = 408
HeadCheck: TypeAlias = Callable[[h11.Request], AcceptedHead | PreparedResponse]


@attrs.frozen
class Refusal:
    """The refusal of a request that is not received; no handler sees it.

    Attributes:
      status: The status of the response.
      message: A text for the client.
      code: A short name of the cause.
      retry_after_ms: When a retry may succeed; None if that is not known.
      prepared: The response, if there is one already.
    """

    status: int
    message: str
    code: str = "bad_request"
    retry_after_ms: int | None = None
    prepared: PreparedResponse | None = None

    @property
    def may_send_more(self) -> bool:
        """Whether the client may still be sending the request."""
        return self.status != _TIMEOUT_STATUS


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
        hold: resource_quota.ConnectionHold,
        quota: resource_quota.ResourceQuota,
        find_limits: Callable[[], server_limits.ServerLimits],
        check_head: HeadCheck,
        set_idle: Callable[[bool], None],
    ) -> None:
        """Creates a receiver on a new connection.

        Args:
          connection: The protocol state.
          reader: Reads from the client.
          writer: Writes interim responses to it.
          hold: What is held for the connection.
          quota: The quota that the hold belongs to.
          find_limits: Returns the limits in force.
          check_head: Checks the head of a request before its body is read.
          set_idle: Called when the connection becomes idle, and when it ends
            being idle.
        """
        self._connection = connection
        self._reader = reader
        self._writer = writer
        self._hold = hold
        self._quota = quota
        self._find_limits = find_limits
        self._check_head = check_head
        self._set_idle = set_idle
        # Received bytes that the parser does not have yet.
        self._received = bytearray()
        # The last bytes that it was given of a head or of trailers. Their begin
        # is that of a line.
        self._line_tail = b"\n"
        self._head_bytes = 0
        self._head_cost_bytes = 0
        self._small_reads = 0
        self._begun_s: float | None = None

    def add_early(self, received: bytes) -> None:
        """Adds bytes of the next request that arrived before its turn."""
        self._received += received

    async def receive(self) -> ReceivedRequest | None:
        """Receives the next request.

        Returns:
          The request, or None when the client closed the connection, it was
          idle for too long or had to give way.

        Raises:
          RequestRefusedError: The request is malformed, oversized, late or
            refused by its head, or there is no room for it.
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
        self._head_cost_bytes = _find_head_cost(head, self._head_bytes)
        if _is_chunked(head):
            body = await self._receive_chunked(head)
        else:
            body = await self._receive_sized(head, _find_length(head))
        if self._hold.is_evicted:
            raise self._make_refusal()
        self._hold.set_activity(resource_quota.Activity.RUNNING)
        return ReceivedRequest(head, body)

    async def _receive_head(self) -> h11.Request | None:
        """Receives a head; returns None at the end of the connection."""
        while True:
            if self._received.count(b"\n") > _LINES_PER_TURN:
                await self._quota.turns.wait_for_turn()
            self._feed_lines()
            event = self._find_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if not self._received and not await self._read(True):
                return None

    async def _receive_sized(self, head: h11.Request, length: int) -> bytes:
        """Receives a body with a length."""
        if length > self._find_limits().body_bytes:
            raise _refuse(413, "the body is too large")
        if length > len(self._received):
            self._admit(head)
        self._reserve(length)
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

    async def _receive_chunked(self, head: h11.Request) -> bytes:
        """Receives a chunked body and its trailers."""
        limits = self._find_limits()
        decoder = chunked_body.ChunkedDecoder(limits.header_bytes)
        body = io.BytesIO()
        is_admitted = False
        self._reserve(0)
        while True:
            try:
                content = decoder.decode(self._received, _CHUNKS_PER_TURN)
            except chunked_body.MalformedBodyError as error:
                status = 431 if error.is_oversized else 400
                raise _refuse(status, str(error)) from error
            if body.tell() + len(content) > limits.body_bytes:
                raise _refuse(413, "the body is too large")
            self._reserve_for_growth(body.tell() + len(content))
            body.write(content)
            if decoder.is_last:
                break
            if not decoder.needs_data:
                await self._quota.turns.wait_for_turn()
                continue
            if not is_admitted:
                self._admit(head)
                is_admitted = True
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

    def _admit(self, head: h11.Request) -> None:
        """Checks a request of which a part has not arrived.

        Raises:
          RequestRefusedError: Its head shows that it is refused.
        """
        match self._check_head(head):
            case PreparedResponse(status) as prepared:
                raise RequestRefusedError(
                    Refusal(status, "refused by its head", prepared=prepared)
                )
            case AcceptedHead(account):
                self._quota.set_account(self._hold, account)

    def _reserve_for_growth(self, body_bytes: int) -> None:
        """Reserves room for a body whose length is not known."""
        if body_bytes > resource_quota.SMALL_REQUEST_BYTES:
            steps = -(-body_bytes // _BODY_STEP_BYTES)
            body_bytes = steps * _BODY_STEP_BYTES
        self._reserve(body_bytes)

    def _reserve(self, body_bytes: int) -> None:
        """Reserves room for a request with a body of this size.

        Raises:
          RequestRefusedError: There is no room for it.
        """
        if not self._hold.try_reserve(self._head_cost_bytes + body_bytes):
            raise self._make_refusal()

    def _make_refusal(self) -> RequestRefusedError:
        """Returns the refusal of a request for which there is no room."""
        return RequestRefusedError(
            Refusal(
                503,
                "This router holds too much for its clients at the moment.",
                "no_room",
                self._quota.retry_after_ms,
            )
        )

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
          RequestRefusedError: They did not arrive in time, or the connection
            must give way.
        """
        is_idle = is_head and not self._head_bytes
        if self._small_reads > _SMALL_READS:
            await self._quota.turns.wait_for_turn()
        if self._hold.is_evicted:
            if is_idle:
                return False
            raise self._make_refusal()
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
        self._hold.record_progress(len(received))
        self._received += received
        return True

    async def _read_in_time(self, is_head: bool, is_idle: bool) -> bytes | None:
        """Reads bytes; returns None when the idle time of a connection is over.

        Raises:
          RequestRefusedError: They did not arrive in time, or the connection
            must give way.
        """
        wait_ms = self._find_wait_ms(is_head)
        self._hold.set_activity(
            resource_quota.Activity.IDLE
            if is_idle
            else resource_quota.Activity.RECEIVING
        )
        if is_idle:
            self._set_idle(True)
        try:
            async with asyncio.timeout(wait_ms / 1000) as timeout:
                self._hold.handle_eviction = lambda: timeout.reschedule(0)
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            if self._hold.is_evicted and not is_idle:
                raise self._make_refusal() from None
            if not is_idle:
                raise _refuse(
                    _TIMEOUT_STATUS, "the request did not arrive"
                ) from None
        finally:
            self._hold.handle_eviction = lambda: None
            if is_idle:
                self._set_idle(False)
        # The idle limit may have been raised during the wait.
        is_extended = self._find_limits().idle_ms > wait_ms
        if self._hold.is_evicted or not is_extended:
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


def _find_head_cost(head: h11.Request, head_bytes: int) -> int:
    """Returns the memory that a head takes while its request runs."""
    fields = sum(1 + value.count(b",") for _, value in head.headers)
    return _HEAD_BYTE_BYTES * head_bytes + _FIELD_BYTES * fields
