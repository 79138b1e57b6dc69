"""Runs the first half of one attempt: connecting, sending, the response head.

Nothing is sent before the request's life has left its unsent state. A reply
that does not echo the attempt's id belongs to something else; its connection
is closed and nothing of it is used.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
from types import TracebackType

import attrs

from redwingchute.connection import http_client
from redwingchute.request import attempt
from redwingchute.request import request_life
from redwingchute.request import retry
from redwingchute.request import slot as slot_lib

# How long past its deadline an upstream may still begin to answer.
_GRACE_MS = 2_000

# How long an upstream may pause within an answer.
_MAX_PAUSE_MS = 60_000


@attrs.frozen
class Outgoing:
    """What is sent to an upstream; headers besides the attempt's own."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class Started:
    """An attempt whose response has begun."""

    connection: http_client.ClientConnection
    head: http_client.ResponseHead
    attempt_id: str


@dataclasses.dataclass(frozen=True)
class AttemptFailed:
    """An attempt that gave no usable response.

    Attributes:
      kind: How it failed.
      attempt_id: Its id, empty when nothing was sent.
    """

    kind: retry.FailureKind
    attempt_id: str = ""


@contextlib.asynccontextmanager
async def open_exchange(
    connections: http_client.ClientPool,
    slot: slot_lib.Slot,
    life: request_life.RequestLife,
    outgoing: Outgoing,
    timeout_ms: int,
) -> AsyncIterator[Started | AttemptFailed]:
    """Begins an attempt; its connection is given up when the context ends.

    Args:
      connections: Connections to upstreams.
      slot: The place that the attempt has.
      life: The request's life.
      outgoing: What is sent.
      timeout_ms: The time for the response to begin.
    """
    address = http_client.Address.parse(slot.upstream.address)
    connection = await connections.acquire(address)
    if isinstance(connection, http_client.ConnectFailed):
        yield AttemptFailed(retry.FailureKind.NOT_CONNECTED)
        return
    sent = life.begin_sending()
    try:
        yield await _start(connection, sent, outgoing, timeout_ms)
    finally:
        # Closes the connection unless its exchange ended cleanly, which
        # cancels an attempt whose caller went away.
        connections.release(connection)


def find_timeout_ms(deadline_ms: int, now_ms: int) -> int:
    """Returns how long an attempt may take to begin its answer."""
    return max(0, deadline_ms - now_ms) + _GRACE_MS


class PauseWatch:
    """Closes a connection whose answer pauses too long; a context manager.

    One timer serves a whole answer, since a timeout for each of its tokens
    would cost more than reading them.
    """

    def __init__(self, connection: http_client.ClientConnection) -> None:
        """Binds the watch to the connection of one answer."""
        self._connection = connection
        self._has_read = True
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> "PauseWatch":
        """Starts to watch."""
        self._check()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops watching."""
        if self._timer is not None:
            self._timer.cancel()

    async def read_chunk(self) -> http_client.BodyEvent:
        """Reads the next part of the answer."""
        event = await self._connection.read_chunk()
        self._has_read = True
        return event

    def _check(self) -> None:
        """Closes the connection when nothing was read since the last check."""
        if not self._has_read:
            self._connection.close()
            return
        self._has_read = False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_MAX_PAUSE_MS / 1000, self._check)


async def read_body(
    connection: http_client.ClientConnection, max_bytes: int
) -> bytes | http_client.ExchangeBroken:
    """Reads a whole answer, within the allowed pause."""
    body = bytearray()
    with PauseWatch(connection) as watch:
        while len(body) <= max_bytes:
            match await watch.read_chunk():
                case http_client.BodyChunk(chunk):
                    body += chunk
                case http_client.BodyEnd():
                    return bytes(body)
                case http_client.ExchangeBroken() as broken:
                    return broken
    return http_client.ExchangeBroken("the body is too large")


async def _start(
    connection: http_client.ClientConnection,
    sent: attempt.Sent,
    outgoing: Outgoing,
    timeout_ms: int,
) -> Started | AttemptFailed:
    """Sends a request and reads the head of its response."""
    headers = [("x-attempt-id", sent.attempt_id), *outgoing.headers]
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            broken = await connection.send_request(
                outgoing.method, outgoing.target, headers, outgoing.body
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
    return Started(connection, head, sent.attempt_id)


def _classify_status(
    head: http_client.ResponseHead,
) -> retry.FailureKind | None:
    """Returns how a status fails an attempt, or None when it does not."""
    if head.status == 503 and "x-leaving" in head.headers:
        return retry.FailureKind.LEAVING
    if head.status in (429, 503):
        return retry.FailureKind.TURNED_AWAY
    if head.status >= 500:
        return retry.FailureKind.SERVER_ERROR
    return None
