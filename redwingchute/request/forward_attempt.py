"""Runs one attempt to forward a request to one upstream.

The result states whether the upstream may have processed the request and how
much of the response the caller has. A response that does not echo the id of
the request belongs to another request: nothing that it states is believed, also
not that a request was not run. If it belongs to an earlier request on the same
connection, it is skipped and the next response is read; otherwise the
connection is closed.
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
from redwingchute.request import header_translator
from redwingchute.request import home_regions
from redwingchute.request import upstream_connector

_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Extra responses that are skipped in one exchange, and their largest body.
_MAX_SKIPPED_RESPONSES = 3
_MAX_SKIPPED_BYTES = 1024 * 1024
# An upstream sends an extra response or a rejection as a whole.
_SKIP_TIMEOUT_S = 0.25
# A request with less time than this before its deadline is not sent.
_MIN_REMAINING_MS = 5


@dataclasses.dataclass(frozen=True)
class NotConnected:
    """No byte of the request was sent.

    Attributes:
      message: The cause.
      is_unresponsive: Whether the upstream's host did not respond at all.
      is_refused: Whether nobody listens at the upstream's address.
    """

    message: str
    is_unresponsive: bool = False
    is_refused: bool = False


@dataclasses.dataclass(frozen=True)
class OutOfTime:
    """Nothing was sent because the request's deadline is too close."""


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The upstream responded that it did not run the request.

    Attributes:
      status: The HTTP status.
      is_wrong_instance: Whether another instance now has the upstream's
        address.
    """

    status: int
    is_wrong_instance: bool = False


@dataclasses.dataclass(frozen=True)
class Broken:
    """The attempt ended without a complete response; it may have run.

    Attributes:
      message: The cause.
      is_timeout: Whether the request's deadline passed.
      is_unresponsive: Whether the upstream's host stopped acknowledging data.
      is_closed: Whether the upstream closed the connection before the end of
        the response, as it does when its process ends.
    """

    message: str
    is_timeout: bool = False
    is_unresponsive: bool = False
    is_closed: bool = False


@dataclasses.dataclass(frozen=True)
class CompleteResponse:
    """A complete response that is not yet sent to the caller.

    Attributes:
      head: The response head as received.
      metadata: The head as forwarding reads it.
      body: The body.
    """

    head: http_client.ResponseHead
    metadata: header_translator.ResponseMetadata
    body: bytes


@dataclasses.dataclass(frozen=True)
class Streamed:
    """The stream ended and was sent to the caller completely."""


AttemptResult: TypeAlias = (
    NotConnected | OutOfTime | Rejected | Broken | CompleteResponse | Streamed
)


def has_responded(result: AttemptResult) -> bool:
    """Returns whether the upstream itself sent a complete response."""
    match result:
        case Rejected(_, is_wrong_instance):
            return not is_wrong_instance
        case CompleteResponse() | Streamed():
            return True
        case _:
            return False


@attrs.define
class Relay:
    """The part of a streamed response that was sent to the caller.

    It outlives a broken attempt, so that another upstream can resume the
    stream.

    Attributes:
      responder: Sends the response to the caller.
      has_started: Whether the response head was sent.
      event_count: The number of events sent.
      last_event_id: The last id of an event that was sent, after which another
        upstream resumes the stream; None before the first.
      content_type: The media type of the stream.
    """

    responder: http_server.HttpResponder
    has_started: bool = False
    event_count: int = 0
    last_event_id: int | None = None
    content_type: str | None = None


@attrs.define
class ExchangeTrace:
    """What is known about the exchange of one attempt, for the decision log.

    Attributes:
      connection: The number of the connection; 0 if there is none.
      earlier_exchanges: The exchanges that the connection had completed before.
      is_sent: Whether a byte of the request may have been sent.
      response_status: The status of the response; 0 if none arrived.
      response_id: The id of the request that the response belongs to, or None.
      skipped_responses: The extra responses to earlier requests that were
        skipped before it.
      carrier: The host that carried the connection; empty if it was direct.
    """

    connection: int = 0
    earlier_exchanges: int = 0
    is_sent: bool = False
    response_status: int = 0
    response_id: str | None = None
    skipped_responses: int = 0
    carrier: str = ""


@attrs.frozen
class UpstreamRequest:
    """A request that the gateway forwards to an upstream by its route.

    It is unrelated to `upstream_exchange.UpstreamRequest` of the router.

    Attributes:
      request: The caller's request.
      request_id: The id that the response must echo.
      metadata: What the router adds to the caller's headers.
      is_streaming: Whether a successful response is a stream of events.
      deadline_s: When the response must be complete, on the event loop's
        clock.
      trace: Records the exchange.
      max_events: The most events that a response to it can have; None if that
        is not known.
      full_events: The events of a response of the greatest length; None if that
        is not known.
      mark_responsive: Called when data arrives from the upstream.
      record_head: Called with the head of the response, before its body.
      record_event: Called when a chunk of a stream arrives.
      homes: The homes of the request, which limit its carriers.
    """

    request: http_server.HttpRequest
    request_id: str
    metadata: header_translator.RequestMetadata
    is_streaming: bool
    deadline_s: float
    trace: ExchangeTrace
    max_events: int | None = None
    full_events: int | None = None
    mark_responsive: Callable[[], None] = lambda: None
    record_head: Callable[[header_translator.ResponseMetadata], None] = (
        lambda response: None
    )
    record_event: Callable[[], None] = lambda: None
    homes: home_regions.Homes = home_regions.ANYWHERE


class AttemptRunner:
    """Runs attempts over pooled connections."""

    def __init__(
        self,
        connector: upstream_connector.UpstreamConnector,
        translator: header_translator.HeaderTranslator,
    ) -> None:
        """Creates a runner on a connector and a header translator."""
        self._connector = connector
        self._translator = translator

    async def run(
        self,
        upstream: forwarding.Upstream,
        outgoing: UpstreamRequest,
        relay: Relay,
    ) -> AttemptResult:
        """Runs one attempt and relays a stream as it arrives.

        Args:
          upstream: The upstream that gets the request.
          outgoing: The request.
          relay: Sends a stream to the caller and counts its events.
        """
        if _find_remaining_ms(outgoing) < _MIN_REMAINING_MS:
            return OutOfTime()
        connection = await self._connector.acquire(
            upstream, outgoing.request_id, outgoing.homes
        )
        if isinstance(connection, http_client.ConnectFailed):
            return NotConnected(
                connection.message,
                connection.is_unresponsive,
                connection.is_refused,
            )
        outgoing.trace.connection = connection.number
        outgoing.trace.carrier = connection.carrier
        outgoing.trace.earlier_exchanges = connection.exchange_count
        try:
            async with asyncio.timeout_at(outgoing.deadline_s):
                return await self._exchange(connection, outgoing, relay)
        except TimeoutError:
            return Broken("the request's deadline passed", is_timeout=True)
        finally:
            # Closes the connection unless its exchange is complete. Closing
            # cancels the upstream's work after the caller disconnected.
            self._connector.release(connection)

    async def _exchange(
        self,
        connection: http_client.ClientConnection,
        outgoing: UpstreamRequest,
        relay: Relay,
    ) -> AttemptResult:
        """Sends the request and reads the response."""
        remaining_ms = _find_remaining_ms(outgoing)
        # Connecting may have taken the time that was left.
        if remaining_ms < _MIN_REMAINING_MS:
            return OutOfTime()
        metadata = attrs.evolve(outgoing.metadata, remaining_ms=remaining_ms)
        request = outgoing.request
        outgoing.trace.is_sent = True
        failure = await connection.send_request(
            request.method,
            request.target,
            self._translator.build_upstream_headers(request, metadata),
            request.body,
            host=request.headers.get("host"),
            request_id=outgoing.request_id,
        )
        head = failure or await self._read_own_head(connection, outgoing)
        if isinstance(head, http_client.ExchangeBroken):
            return _make_broken(head)
        response = self._translator.parse_response(head)
        if response.is_leaving:
            connection.retire()
        outgoing.record_head(response)
        if response.was_not_run:
            await _skip_body(connection)
            return Rejected(response.status, response.is_wrong_instance)
        if 200 <= response.status < 300 and not response.is_signed:
            connection.close()
            return Broken("the response is not signed")
        if outgoing.is_streaming and response.status == 200:
            return await self._relay_stream(connection, head, outgoing, relay)
        body = await connection.read_body(_MAX_RESPONSE_BYTES)
        if isinstance(body, http_client.ExchangeBroken):
            return _make_broken(body)
        return CompleteResponse(head, response, body)

    async def _read_own_head(
        self,
        connection: http_client.ClientConnection,
        outgoing: UpstreamRequest,
    ) -> http_client.ResponseHead | http_client.ExchangeBroken:
        """Reads the head of the response to this request.

        Skips extra responses to earlier requests on the connection.
        """
        while True:
            head = await connection.read_head()
            if isinstance(head, http_client.ExchangeBroken):
                return head
            outgoing.mark_responsive()
            response = self._translator.parse_response(head)
            outgoing.trace.response_status = response.status
            outgoing.trace.response_id = response.request_id
            if response.request_id == outgoing.request_id:
                return head
            if (
                not connection.has_sent(response.request_id)
                or outgoing.trace.skipped_responses >= _MAX_SKIPPED_RESPONSES
                or not await _skip_response(connection)
            ):
                connection.close()
                return http_client.ExchangeBroken(
                    "the response has the id of another request"
                )
            outgoing.trace.skipped_responses += 1

    async def _relay_stream(
        self,
        connection: http_client.ClientConnection,
        head: http_client.ResponseHead,
        outgoing: UpstreamRequest,
        relay: Relay,
    ) -> AttemptResult:
        """Relays a stream to the caller in complete events.

        A stream that an earlier attempt began goes on only with events that
        follow the last one of that attempt.
        """
        splitter = event_stream.EventSplitter()
        resumed_id = relay.last_event_id
        has_continued = not relay.has_started
        if not has_continued and _find_media_type(head) != relay.content_type:
            connection.close()
            return Broken("the response is not the rest of the stream")
        while True:
            match await connection.read_chunk():
                case http_client.BodyChunk(chunk):
                    outgoing.mark_responsive()
                    outgoing.record_event()
                    events = splitter.split(chunk)
                    if splitter.is_oversized:
                        return Broken("an event of the stream is too large")
                    if not has_continued:
                        first = event_stream.find_first(events)
                        if first is not None:
                            if not event_stream.follows(first, resumed_id):
                                return Broken(
                                    "the events do not continue the stream"
                                )
                            has_continued = True
                    await self._send_events(events, head, relay)
                    if (
                        outgoing.max_events is not None
                        and relay.event_count > outgoing.max_events
                    ):
                        return Broken("the stream has too many events")
                case http_client.BodyEnd():
                    if splitter.has_partial_event:
                        return Broken(
                            "the stream ended within an event", is_closed=True
                        )
                    if not relay.event_count:
                        return Broken(
                            "the stream ended before its first event",
                            is_closed=True,
                        )
                    # Of a stream of full length only the end was missing.
                    if not has_continued and (
                        outgoing.full_events is None
                        or relay.event_count < outgoing.full_events
                    ):
                        return Broken("the stream ended before its next event")
                    await self._send_head(head, relay)
                    # The signature covers the empty lines after the last event.
                    if rest := splitter.take_rest():
                        await relay.responder.send_chunk(rest)
                    await relay.responder.finish()
                    return Streamed()
                case http_client.ExchangeBroken() as broken:
                    return _make_broken(broken)

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
        last_id = event_stream.find_last_event_id(events)
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
        relay.content_type = _find_media_type(head)
        headers = self._translator.build_response_headers(head)
        await relay.responder.start(head.status, headers)


def _make_broken(broken: http_client.ExchangeBroken) -> Broken:
    """Returns the result of an attempt whose exchange failed."""
    return Broken(
        broken.message,
        is_unresponsive=broken.is_unresponsive,
        is_closed=broken.is_closed,
    )


def _find_media_type(head: http_client.ResponseHead) -> str:
    """Returns the media type of a response without its parameters."""
    content_type = head.headers.get("content-type", "")
    return content_type.partition(";")[0].strip().lower()


def _find_remaining_ms(outgoing: UpstreamRequest) -> int:
    """Returns the time until the deadline of a request."""
    remaining_s = outgoing.deadline_s - asyncio.get_running_loop().time()
    return int(1000 * remaining_s)


async def _skip_body(connection: http_client.ClientConnection) -> None:
    """Skips the body of a rejection, so that the connection is reusable."""
    try:
        async with asyncio.timeout(_SKIP_TIMEOUT_S):
            await connection.read_body(_MAX_SKIPPED_BYTES)
    except TimeoutError:
        connection.close()


async def _skip_response(connection: http_client.ClientConnection) -> bool:
    """Skips an extra response; returns False if its end does not arrive."""
    try:
        async with asyncio.timeout(_SKIP_TIMEOUT_S):
            return await connection.skip_response(_MAX_SKIPPED_BYTES)
    except TimeoutError:
        return False
