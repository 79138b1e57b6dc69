"""The HTTP exchange of one attempt with an upstream.

`open_exchange` connects, sends the request and reads the head of the response;
the handler then reads the body from the connection. Nothing is sent before the
request has left its unsent state. A response that does not echo the id of the
attempt does not belong to it: it is discarded and its connection closed.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
from types import TracebackType

import attrs

from redwingchute.connection import http_client
from redwingchute.request import request_lifecycle
from redwingchute.request import request_state
from redwingchute.request import retry
from redwingchute.request import upstream_slot

# How long after the deadline of its request an upstream may begin to respond.
_RESPONSE_GRACE_MS = 2_000

# The interval of `IdleTimeout`, which closes a connection on which no part of a
# response body arrives for one to two intervals.
_IDLE_TIMEOUT_MS = 60_000


@attrs.frozen
class UpstreamRequest:
    """The HTTP request that the router sends to an upstream of a pool.

    It is unrelated to `forward_attempt.UpstreamRequest` of the gateway.

    Attributes:
      method: The HTTP method.
      target: The path and query.
      headers: The headers except `X-Attempt-Id`.
      body: The request body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class StartedResponse:
    """The response of an upstream, its body still to be read.

    Attributes:
      connection: The connection to read the body from.
      head: The status and headers.
      attempt_id: The id of the attempt.
    """

    connection: http_client.ClientConnection
    head: http_client.ResponseHead
    attempt_id: str


@dataclasses.dataclass(frozen=True)
class AttemptFailed:
    """An attempt without a usable response.

    Attributes:
      kind: How it failed.
      attempt_id: The id of the attempt, empty if nothing was sent.
    """

    kind: retry.FailureKind
    attempt_id: str = ""


@contextlib.asynccontextmanager
async def open_exchange(
    connections: http_client.ClientPool,
    slot: upstream_slot.Slot,
    lifecycle: request_lifecycle.RequestLifecycle,
    upstream_request: UpstreamRequest,
    timeout_ms: int,
) -> AsyncIterator[StartedResponse | AttemptFailed]:
    """Sends one attempt and releases its connection when the context exits.

    Args:
      connections: The connection pool for upstreams.
      slot: The slot of the attempt on its upstream.
      lifecycle: The lifecycle of the request.
      upstream_request: The request to send.
      timeout_ms: The maximum duration of sending the request and reading the
        head of the response.

    Yields:
      The response, or how the attempt failed.
    """
    address = http_client.Address.parse(slot.upstream.address)
    connection = await connections.acquire(address)
    if isinstance(connection, http_client.ConnectFailed):
        yield AttemptFailed(retry.FailureKind.NOT_CONNECTED)
        return
    sent = lifecycle.begin_sending()
    try:
        yield await _send_request(
            connection, sent, upstream_request, timeout_ms
        )
    finally:
        # Closes the connection unless its exchange is complete. This cancels
        # the attempt at the upstream if the caller disconnected.
        connections.release(connection)


def compute_response_timeout_ms(deadline_ms: int, now_ms: int) -> int:
    """Returns how long an upstream may take to begin its response."""
    return max(0, deadline_ms - now_ms) + _RESPONSE_GRACE_MS


class IdleTimeout:
    """Closes a connection whose response body stalls; a context manager.

    One timer serves the whole response. A timeout for each token would cost
    more than reading the tokens. The timer checks once per interval whether
    anything was read, so that a stalled connection is closed after at most two
    intervals.
    """

    def __init__(self, connection: http_client.ClientConnection) -> None:
        """Creates an idle timeout for one response on a connection."""
        self._connection = connection
        self._has_progress = True
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> "IdleTimeout":
        """Starts the timer."""
        self._check_progress()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()

    async def read_chunk(self) -> http_client.BodyEvent:
        """Reads the next part of the response body."""
        event = await self._connection.read_chunk()
        self._has_progress = True
        return event

    def _check_progress(self) -> None:
        """Closes the connection if nothing was read since the last check."""
        if not self._has_progress:
            self._connection.close()
            return
        self._has_progress = False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            _IDLE_TIMEOUT_MS / 1000, self._check_progress
        )


async def read_body(
    connection: http_client.ClientConnection, max_bytes: int
) -> bytes | http_client.ExchangeBroken:
    """Reads a whole response body with the idle timeout.

    Args:
      connection: The connection with a response whose head was read.
      max_bytes: The maximum size of the body.

    Returns:
      The body, or how the exchange failed; a body that is too large counts as a
      failure.
    """
    body = bytearray()
    with IdleTimeout(connection) as idle_timeout:
        while len(body) <= max_bytes:
            match await idle_timeout.read_chunk():
                case http_client.BodyChunk(chunk):
                    body += chunk
                case http_client.BodyEnd():
                    return bytes(body)
                case http_client.ExchangeBroken() as broken:
                    return broken
    return http_client.ExchangeBroken("the body is too large")


async def _send_request(
    connection: http_client.ClientConnection,
    sent: request_state.Sent,
    upstream_request: UpstreamRequest,
    timeout_ms: int,
) -> StartedResponse | AttemptFailed:
    """Sends a request and reads the head of the response."""
    headers = [("x-attempt-id", sent.attempt_id), *upstream_request.headers]
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            broken = await connection.send_request(
                upstream_request.method,
                upstream_request.target,
                headers,
                upstream_request.body,
            )
            head = broken or await connection.read_head()
    except TimeoutError:
        return AttemptFailed(retry.FailureKind.TIMED_OUT, sent.attempt_id)
    if isinstance(head, http_client.ExchangeBroken):
        return AttemptFailed(retry.FailureKind.BROKEN, sent.attempt_id)
    if not sent.matches(head.headers):
        return AttemptFailed(retry.FailureKind.MISMATCHED, sent.attempt_id)
    kind = _classify_status(head)
    if kind is not None:
        return AttemptFailed(kind, sent.attempt_id)
    return StartedResponse(connection, head, sent.attempt_id)


def _classify_status(
    head: http_client.ResponseHead,
) -> retry.FailureKind | None:
    """Returns the failure that a status stands for, or None."""
    if head.status == 503 and "x-leaving" in head.headers:
        return retry.FailureKind.LEAVING
    if head.status in (429, 503):
        return retry.FailureKind.TURNED_AWAY
    if head.status >= 500:
        return retry.FailureKind.SERVER_ERROR
    return None
