"""An upstream on loopback whose every byte a test decides."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from types import TracebackType
from typing import TypeAlias

import attrs

from redwingchute.connection import http_client

_ADDRESS = "127.0.0.1"


@attrs.frozen
class ReceivedRequest:
    """A request that the upstream has read completely.

    Attributes:
      target: The path and query.
      headers: The headers by lower-case name.
      body: The whole body.
    """

    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The id that the response must echo; empty if there is none."""
        return self.headers.get("attempt-id", "")


class UpstreamConnection:
    """One accepted connection.

    Attributes:
      number: How many connections the upstream had accepted before.
    """

    def __init__(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Creates a connection on accepted streams."""
        self.number = number
        self._reader = reader
        self._writer = writer

    async def read_head(self) -> ReceivedRequest:
        """Reads the head of a request and leaves its body unread.

        Raises:
          asyncio.IncompleteReadError: The router has closed the connection.
        """
        head = await self._reader.readuntil(b"\r\n\r\n")
        request_line, *lines = head.decode("latin-1").split("\r\n")
        fields = [line.partition(":") for line in lines if line]
        return ReceivedRequest(
            target=request_line.split(" ")[1],
            headers={
                name.strip().lower(): value.strip() for name, _, value in fields
            },
            body=b"",
        )

    async def read_body(self, request: ReceivedRequest) -> ReceivedRequest:
        """Reads the body of a request whose head was read."""
        length = int(request.headers.get("content-length", "0"))
        body = await self._reader.readexactly(length)
        return attrs.evolve(request, body=body)

    async def read_request(self) -> ReceivedRequest:
        """Reads a request; raises like `read_head`."""
        return await self.read_body(await self.read_head())

    async def send(self, *segments: bytes, pause_s: float = 0.0) -> None:
        """Sends each segment in a write of its own, with a pause after it."""
        for segment in segments:
            self._writer.write(segment)
            await self._writer.drain()
            await asyncio.sleep(pause_s)

    def send_at_once(self, segment: bytes) -> None:
        """Sends a segment without a turn of the event loop."""
        self._writer.write(segment)

    def shut_down(self) -> None:
        """Ends the connection without a turn of the event loop."""
        found: socket.socket = self._writer.get_extra_info("socket")
        found.shutdown(socket.SHUT_RDWR)

    def end_output(self) -> None:
        """Ends what the upstream sends; it may still read."""
        self._writer.write_eof()

    def reset(self) -> None:
        """Closes the connection and discards what was not sent yet."""
        self._writer.transport.abort()


Script: TypeAlias = Callable[[UpstreamConnection], Awaitable[None]]


class ScriptedUpstream:
    """Runs a script on each connection; a context manager.

    A connection is closed when its script returns.

    Attributes:
      address: The address, once the context is entered.
      connection_count: The number of connections accepted.
    """

    def __init__(self, script: Script) -> None:
        """Prepares an upstream; it listens once its context is entered."""
        self._script = script
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = http_client.Address(_ADDRESS, 0)
        self.connection_count = 0

    async def __aenter__(self) -> "ScriptedUpstream":
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, _ADDRESS, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = http_client.Address(_ADDRESS, port)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening and ends all scripts."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Runs the script on one connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = UpstreamConnection(self.connection_count, reader, writer)
        self.connection_count += 1
        try:
            await self._script(connection)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


def make_response(
    status: int = 200,
    body: bytes = b"",
    request_id: str = "",
    **headers: str,
) -> bytes:
    """Returns the bytes of a response with a length.

    Args:
      status: The HTTP status.
      body: The body.
      request_id: The id that the response echoes; without one it has no id.
      **headers: Additional headers; underscores stand for hyphens.
    """
    return (
        _make_head(status, request_id, headers)
        + f"content-length: {len(body)}\r\n\r\n".encode()
        + body
    )


def make_rejection(status: int = 503, request_id: str = "") -> bytes:
    """Returns a response that states that the request was not run."""
    return make_response(status, b"", request_id, not_executed="1")


def make_stream(request_id: str, *events: bytes) -> list[bytes]:
    """Returns a signed stream: its head, one chunk per event, and its end."""
    headers = {
        "runner-signature": "s",
        "content-type": "text/event-stream",
        "transfer-encoding": "chunked",
    }
    head = _make_head(200, request_id, headers) + b"\r\n"
    chunks = [
        f"{len(event):x}\r\n".encode() + event + b"\r\n" for event in events
    ]
    return [head, *chunks, b"0\r\n\r\n"]


def _make_head(status: int, request_id: str, headers: dict[str, str]) -> bytes:
    """Returns the status line and headers without the line that ends them."""
    lines = [f"HTTP/1.1 {status} x"]
    if request_id:
        lines.append(f"attempt-id: {request_id}")
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
    ]
    return "".join(f"{line}\r\n" for line in lines).encode()
