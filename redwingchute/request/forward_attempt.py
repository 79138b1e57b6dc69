"""Runs one attempt to forward a request to one upstream.

The result states whether the upstream may have processed the request and how
much of the response the caller has. A response that does not echo the id of
the request belongs to another request: it is discarded and its connection is
closed.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import TypeAlias

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import forwarding
from redwingchute.request import event_stream
from redwingchute.request import forward_wire

_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A request with less time than this before its deadline is not sent.
_MIN_REMAINING_MS = 5


@dataclasses.dataclass(frozen=True)
class NotConnected:
    """No byte of the request was sent.

    Attributes:
      message: The cause.
      is_silent: Whether the upstream's host did not respond at all.
    """

    message: str
    is_silent: bool = False


@dataclasses.dataclass(frozen=True)
class TurnedAway:
    """The upstream responded that it did not run the request.

    Attributes:
      status: The HTTP status.
      is_other_instance: Whether another instance now has the address.
    """

    status: int
    is_other_instance: bool = False


@dataclasses.dataclass(frozen=True)
class Broken:
    """The attempt ended without a complete response; it may have run.

    Attributes:
      message: The cause.
      is_timeout: Whether the request's deadline passed.
      is_silent: Whether the upstream's host stopped acknowledging data.
    """

    message: str
    is_timeout: bool = False
    is_silent: bool = False


@dataclasses.dataclass(frozen=True)
class WholeAnswer:
    """A complete response that is not yet sent to the caller."""

    head: http_client.ResponseHead
    answer: forward_wire.AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Streamed:
    """The stream ended and was sent to the caller completely."""


AttemptResult: TypeAlias = (
    NotConnected | TurnedAway | Broken | WholeAnswer | Streamed
)


@attrs.define
class Relay:
    """The part of a streamed response that was sent to the caller.

    It outlives a broken attempt, so that another upstream can resume the
    stream.

    Attributes:
      responder: Sends the response to the caller.
      has_started: Whether the response head was sent.
      event_count: The number of events sent.
      last_event_id: The id of the last event sent that has one, or None.
    """

    responder: http_server.HttpResponder
    has_started: bool = False
    event_count: int = 0
    last_event_id: int | None = None


@attrs.frozen
class Outgoing:
    """A request as it is sent to an upstream.

    Attributes:
      request: The caller's request.
      request_id: The id that the response must echo.
      send: What the router adds to the caller's headers.
      is_streaming: Whether a successful response is a stream of events.
      deadline_s: When the response must be complete, on the event loop's
        clock.
      note_heard: Called when data arrives from the upstream.
      note_event: Called when a chunk of a stream arrives.
    """

    request: http_server.HttpRequest
    request_id: str
    send: forward_wire.UpstreamSend
    is_streaming: bool
    deadline_s: float
    note_heard: Callable[[], None] = lambda: None
    note_event: Callable[[], None] = lambda: None


class Attempts:
    """Runs attempts over pooled connections."""

    def __init__(
        self, pool: http_client.ClientPool, wire: forward_wire.ForwardWire
    ) -> None:
        """Creates a runner on a connection pool and a header translator."""
        self._pool = pool
        self._wire = wire

    async def run(
        self,
        upstream: forwarding.Upstream,
        outgoing: Outgoing,
        relay: Relay,
    ) -> AttemptResult:
        """Runs one attempt and relays a stream as it arrives.

        Args:
          upstream: The upstream that gets the request.
          outgoing: The request.
          relay: Sends a stream to the caller and counts its events.
        """
        address = http_client.Address.parse(upstream.address)
        connection = await self._pool.acquire(address)
        if isinstance(connection, http_client.ConnectFailed):
            return NotConnected(connection.message, connection.is_silent)
        try:
            async with asyncio.timeout_at(outgoing.deadline_s):
                return await self._exchange(connection, outgoing, relay)
        except TimeoutError:
            return Broken("the request's deadline passed", is_timeout=True)
        finally:
            # Closes the connection unless its exchange is complete. Closing
            # cancels the upstream's work after the caller disconnected.
            self._pool.release(connection)

    async def _exchange(
        self,
        connection: http_client.ClientConnection,
        outgoing: Outgoing,
        relay: Relay,
    ) -> AttemptResult:
        """Sends the request and reads the response."""
        remaining_s = outgoing.deadline_s - asyncio.get_running_loop().time()
        remaining_ms = int(1000 * remaining_s)
        if remaining_ms < _MIN_REMAINING_MS:
            return NotConnected("the deadline is too close to send the request")
        send = attrs.evolve(outgoing.send, remaining_ms=remaining_ms)
        request = outgoing.request
        failure = await connection.send_request(
            request.method,
            request.target,
            self._wire.build_upstream_headers(request, send),
            request.body,
            host=request.headers.get("host"),
        )
        head = failure or await connection.read_head()
        if isinstance(head, http_client.ExchangeBroken):
            return Broken(head.message, is_silent=head.is_silent)
        outgoing.note_heard()
        response = self._wire.read_answer(head)
        if response.was_not_run:
            await connection.read_body(_MAX_RESPONSE_BYTES)
            return TurnedAway(response.status, response.is_other_instance)
        if response.request_id != outgoing.request_id:
            connection.close()
            return Broken("the response has the id of another request")
        if 200 <= response.status < 300 and not response.is_signed:
            connection.close()
            return Broken("the response is not signed")
        if outgoing.is_streaming and response.status == 200:
            return await self._relay_stream(connection, head, outgoing, relay)
        body = await connection.read_body(_MAX_RESPONSE_BYTES)
        if isinstance(body, http_client.ExchangeBroken):
            return Broken(body.message, is_silent=body.is_silent)
        return WholeAnswer(head, response, body)

    async def _relay_stream(
        self,
        connection: http_client.ClientConnection,
        head: http_client.ResponseHead,
        outgoing: Outgoing,
        relay: Relay,
    ) -> AttemptResult:
        """Relays a stream to the caller in complete events."""
        splitter = event_stream.EventSplitter()
        while True:
            match await connection.read_chunk():
                case http_client.BodyChunk(chunk):
                    outgoing.note_heard()
                    outgoing.note_event()
                    events = splitter.split(chunk)
                    if splitter.is_oversized:
                        return Broken("an event of the stream is too large")
                    await self._send_events(events, head, relay)
                case http_client.BodyEnd():
                    if splitter.has_rest:
                        return Broken("the stream ended within an event")
                    await self._send_head(head, relay)
                    await relay.responder.finish()
                    return Streamed()
                case http_client.ExchangeBroken(message, is_silent):
                    return Broken(message, is_silent=is_silent)

    async def _send_events(
        self,
        events: list[bytes],
        head: http_client.ResponseHead,
        relay: Relay,
    ) -> None:
        """Sends complete events to the caller."""
        if not events:
            return
        await self._send_head(head, relay)
        # Events are counted before they are sent because the caller may have
        # received them even if sending fails.
        relay.event_count += len(events)
        last_id = event_stream.find_event_id(events[-1])
        if last_id is not None:
            relay.last_event_id = last_id
        await relay.responder.send_chunk(b"".join(events))

    async def _send_head(
        self, head: http_client.ResponseHead, relay: Relay
    ) -> None:
        """Sends the response head, unless an earlier attempt has sent it."""
        if relay.has_started:
            return
        relay.has_started = True
        headers = self._wire.build_answer_headers(head)
        await relay.responder.start(head.status, headers)
