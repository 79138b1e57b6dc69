"""Cuts one router off from all upstreams, as a network partition does."""

import asyncio
from collections.abc import Callable
import enum
import errno

# An operating system reports a connection whose bytes nobody acknowledges after
# its TCP user timeout.
_USER_TIMEOUT_S = 0.5
_NEVER_S = 3_600.0


class CutKind(enum.Enum):
    """What a cut does to new and to open connections.

    Attributes:
      HANGING: New ones hang, and open ones go silent.
      RESET: New ones are refused, and open ones are reset.
      ONLY_NEW: New ones are refused, and open ones go on.
    """

    HANGING = "hanging"
    RESET = "reset"
    ONLY_NEW = "only new"


class UpstreamCut:
    """Opens the connections of one router and cuts those to upstreams.

    Attributes:
      kind: The cut in force, or None.
      open_count: The connections to upstreams that were opened.
    """

    def __init__(self, is_upstream: Callable[[int], bool]) -> None:
        """Starts without a cut.

        Args:
          is_upstream: Returns whether a port is that of an upstream.
        """
        self.kind: CutKind | None = None
        self.open_count = 0
        self._is_upstream = is_upstream
        self._streams: list[
            tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = []

    async def open_stream(
        self, ip: str, port: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection, unless it is cut.

        Raises:
          ConnectionRefusedError: It is cut, or nobody listens there.
        """
        if not self._is_upstream(port):
            return await asyncio.open_connection(ip, port)
        match self.kind:
            case CutKind.HANGING:
                await asyncio.sleep(_NEVER_S)
            case CutKind.RESET | CutKind.ONLY_NEW:
                raise ConnectionRefusedError(errno.ECONNREFUSED, "cut")
        streams = await asyncio.open_connection(ip, port)
        self.open_count += 1
        self._streams.append(streams)
        return streams

    def begin(self, kind: CutKind) -> None:
        """Begins a cut."""
        self.kind = kind
        streams, self._streams = self._streams, []
        for reader, writer in streams:
            match kind:
                case CutKind.HANGING:
                    _silence(reader, writer)
                case CutKind.RESET:
                    writer.transport.abort()
                case CutKind.ONLY_NEW:
                    self._streams.append((reader, writer))

    def end(self) -> None:
        """Ends the cut. Connections that went silent stay so."""
        self.kind = None


def _silence(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Lets a connection receive nothing, and fail after the next write."""

    def lose(data: bytes) -> None:
        del data
        error = TimeoutError(errno.ETIMEDOUT, "Connection timed out")
        loop = asyncio.get_running_loop()
        loop.call_later(_USER_TIMEOUT_S, reader.set_exception, error)

    if not writer.is_closing():
        writer.transport.pause_reading()  # type: ignore[attr-defined]
    writer.write = lose  # type: ignore[method-assign, assignment]
