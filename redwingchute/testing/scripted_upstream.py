"""An upstream for tests that sends scripted bytes on each connection.

It can send what the stand-ins never send, for example a response to another
request in front of the expected one.
"""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import TypeAlias

import attrs
import h11

from redwingchute.connection import http_client

_ADDRESS = "127.0.0.1"
_READ_BYTES = 64 * 1024


@attrs.frozen
class Send:
    """Sends bytes."""

    data: bytes


@attrs.frozen
class Pause:
    """Waits before the next step."""

    duration_ms: int


@attrs.frozen
class Close:
    """Closes the connection."""


Step: TypeAlias = Send | Pause | Close
# Returns the steps for a request, by its number on its connection.
Script: TypeAlias = Callable[[int, h11.Request], list[Step]]


class ScriptedUpstream:
    """An upstream that follows a script; a context manager.

    Attributes:
      requests: The requests that it received, in order.
      connection_count: The number of connections that it accepted.
    """

    def __init__(self, script: Script) -> None:
        """Prepares an upstream; entering its context starts it."""
        self.requests: list[h11.Request] = []
        self.connection_count = 0
        self._script = script
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "ScriptedUpstream":
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, _ADDRESS, 0)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._connections:
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections)

    @property
    def address(self) -> http_client.Address:
        """The address that it listens on."""
        assert self._server is not None
        port = self._server.sockets[0].getsockname()[1]
        return http_client.Address(_ADDRESS, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it is closed."""
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        self.connection_count += 1
        try:
            await self._follow_script(reader, writer)
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def _follow_script(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Follows the script for each request of a connection."""
        number = 0
        # Responses are not parsed here, so each request gets a new parser.
        unparsed = b""
        while True:
            request, unparsed = await _read_request(reader, unparsed)
            if request is None:
                return
            number += 1
            self.requests.append(request)
            for step in self._script(number, request):
                match step:
                    case Send(data):
                        writer.write(data)
                    case Pause(duration_ms):
                        await asyncio.sleep(duration_ms / 1000)
                    case Close():
                        return


def make_response(
    status: int,
    request_id: str | None,
    body: bytes = b"",
    *headers: tuple[str, str],
) -> bytes:
    """Returns the bytes of a response with a length.

    Args:
      status: The HTTP status.
      request_id: The id of the request that it responds to; None for none.
      body: The body.
      *headers: Additional headers.
    """
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    if request_id is not None:
        lines.append(f"attempt-id: {request_id}")
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_success(request_id: str, body: bytes = b"ran") -> bytes:
    """Returns the bytes of a signed response with status 200."""
    return make_response(200, request_id, body, ("runner-signature", "s"))


def make_rejection(request_id: str | None, status: int = 503) -> bytes:
    """Returns the bytes of a response that states that nothing ran."""
    return make_response(status, request_id, b"", ("not-executed", "1"))


async def _read_request(
    reader: asyncio.StreamReader, unparsed: bytes
) -> tuple[h11.Request | None, bytes]:
    """Reads one request to its end.

    Returns:
      The request, or None at the end of the connection, and the bytes that
      were received after it.
    """
    connection = h11.Connection(h11.SERVER)
    request: h11.Request | None = None
    if unparsed:
        connection.receive_data(unparsed)
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request, connection.trailing_data[0]
        elif event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.ConnectionClosed):
            return None, b""
