"""Runs a gateway as a process of its own, before an upstream of a test."""

import asyncio
from collections.abc import Iterator
import contextlib
import pathlib
import signal
import time
from types import TracebackType

import attrs
import h11

from redwingchute.soak import caller_identity
from redwingchute.soak import crowd_client
from redwingchute.soak import crowds
from redwingchute.soak import fleet as fleet_lib
from redwingchute.soak import plan
from redwingchute.soak import process_usage
from redwingchute.testing import scripted_upstream

HOST = "host-1"
_UPSTREAM_ID = "odd-1"
_RESPONSE_S = 10.0
_POLL_S = 0.05
_READ_BYTES = 64 * 1024


@attrs.frozen
class SeenResponse:
    """What a caller received.

    Attributes:
      status: The status; 0 if no response began.
      body: The part of the body that arrived.
      is_complete: Whether the body arrived to its end.
    """

    status: int
    body: bytes
    is_complete: bool


class OddUpstreamRig:
    """A gateway with an odd upstream; a context manager.

    Attributes:
      fleet: The processes.
      script: What the upstream does on each connection; may be replaced.
      service: The service of the odd upstream. The other one has a sound one.
    """

    def __init__(
        self, directory: pathlib.Path, service: str, memory_mb: int = 150
    ) -> None:
        """Prepares the processes.

        Args:
          directory: The directory for logs; it exists and is empty.
          service: `ledger` or `llm`.
          memory_mb: The memory that the gateway's settings state.
        """
        self.fleet = fleet_lib.Fleet(
            plan.Size(hosts=1, upstreams=1, rate_per_s=1.0, duration_ms=0),
            directory,
            host_fields={"limits.memoryMb": memory_mb},
        )
        self.service = service
        self.script: scripted_upstream.Script | None = None
        self._upstream = scripted_upstream.ScriptedUpstream(self._serve)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "OddUpstreamRig":
        """Starts the processes and puts the odd upstream in place."""
        await self._stack.enter_async_context(self._upstream)
        await self._stack.enter_async_context(self.fleet)
        sound = f"{self.service}-1"
        await self.fleet.end(sound, signal.SIGKILL)
        starts = self.fleet.count_starts(sound)
        await self.fleet.put_entry(f"{sound}-{starts}", None)
        await self.fleet.put_entry(
            _UPSTREAM_ID,
            {
                "service": self.service,
                "address": str(self._upstream.address),
                "zone": "huon",
                "slots": 512,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "version": "v1",
            },
        )
        self.script = _send_plain_response
        async with asyncio.timeout(_RESPONSE_S):
            while self._upstream.connection_count == 0:
                await self.send(self.make_request(b"x"))
                await asyncio.sleep(_POLL_S)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends the processes."""
        await self._stack.aclose()

    def make_request(
        self,
        body: bytes,
        is_chunked: bool = False,
        attempt: str = "odd",
        deadline_ms: int = 4_000,
    ) -> bytes:
        """Returns a request to the service of the odd upstream.

        Args:
          body: The body.
          is_chunked: Whether it is sent as a chunk, or else with a length.
          attempt: The id of the request.
          deadline_ms: How long its caller waits.
        """
        path = "/post/odd" if self.service == "ledger" else "/draft/odd"
        if is_chunked:
            framing = "transfer-encoding: chunked"
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        else:
            framing = f"content-length: {len(body)}"
        lines = (
            f"POST {path} HTTP/1.1",
            f"host: {caller_identity.CALLED_HOST}",
            f"authorization: Bearer {caller_identity.KEY}",
            f"attempt-id: {attempt}",
            f"deadline-ms: {deadline_ms}",
            "model: m",
            "token-usage: 10,20",
            "prompt-prefix: aa:10",
            "connection: close",
            framing,
        )
        return "\r\n".join((*lines, "", "")).encode() + body

    async def send(self, request: bytes) -> SeenResponse:
        """Sends a request on a new connection and reads its response."""
        address = self.fleet.find_address(HOST)
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        try:
            writer.write(request)
            return await _read_response(reader)
        finally:
            writer.transport.abort()

    async def measure_ordinary_s(self) -> float:
        """Returns how long an ordinary request takes; infinite if refused."""
        begin_s = time.monotonic()
        address = self.fleet.find_address(HOST)
        async with crowd_client.CrowdClient(address, reads=False) as member:
            await member.send(crowds.send_ordinary_request())
            status = await member.read_status()
        return time.monotonic() - begin_s if status == 200 else float("inf")

    def read_peak_memory_mb(self) -> float:
        """Returns the most memory that the gateway ever had.

        Raises:
          AssertionError: The process has ended.
        """
        assert self.fleet.is_running(HOST)
        return process_usage.read_peak_memory_mb(
            self.fleet.find_process_id(HOST)
        )

    async def _serve(
        self, connection: scripted_upstream.UpstreamConnection
    ) -> None:
        """Runs the present script."""
        assert self.script is not None
        await self.script(connection)


def make_head(
    request: scripted_upstream.ReceivedRequest, status: str, *lines: str
) -> bytes:
    """Returns the head of a signed response.

    Args:
      request: The request that it belongs to.
      status: The text of the status.
      *lines: Further header lines.
    """
    fixed = (
        f"HTTP/1.1 {status} Reason",
        f"attempt-id: {request.request_id}",
        "runner-signature: s",
    )
    return "\r\n".join((*fixed, *lines, "", "")).encode()


def repeat(piece: bytes, size_bytes: int = 16 * 1024) -> Iterator[bytes]:
    """Yields a segment that is filled with a piece, without end."""
    segment = piece * max(1, size_bytes // len(piece))
    while True:
        yield segment


async def _send_plain_response(
    connection: scripted_upstream.UpstreamConnection,
) -> None:
    """Answers one request as a sound upstream does."""
    request = await connection.read_request()
    await connection.send(make_head(request, "500", "content-length: 0"))


async def _read_response(reader: asyncio.StreamReader) -> SeenResponse:
    """Reads one response, as a client does that knows HTTP."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="POST", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    status, body = 0, b""
    try:
        async with asyncio.timeout(_RESPONSE_S):
            while True:
                match parser.next_event():
                    case h11.Response() as head:
                        status = head.status_code
                    case h11.Data() as part:
                        body += bytes(part.data)
                    case h11.EndOfMessage():
                        return SeenResponse(status, body, True)
                    case h11.NEED_DATA:
                        parser.receive_data(await reader.read(_READ_BYTES))
                    case h11.ConnectionClosed():
                        return SeenResponse(status, body, False)
    except (h11.RemoteProtocolError, OSError, TimeoutError):
        return SeenResponse(status, body, False)
