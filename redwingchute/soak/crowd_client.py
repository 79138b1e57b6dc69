"""One client of a crowd, which sends bytes and stays connected."""

import asyncio
from collections.abc import Iterator
import contextlib
from types import TracebackType

from redwingchute.connection import http_client

_RESPONSE_S = 30.0


class CrowdClient:
    """One client of a crowd; a context manager for its connection."""

    def __init__(self, address: http_client.Address, reads: bool) -> None:
        """Prepares a client.

        Args:
          address: The address that it connects to.
          reads: Whether it reads what it receives.
        """
        self._address = address
        self._reads = reads
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self._reading: asyncio.Task[bytes] | None = None

    async def __aenter__(self) -> "CrowdClient":
        """Connects; a refused connection is left closed."""
        with contextlib.suppress(OSError):
            self._streams = await asyncio.open_connection(
                self._address.ip, self._address.port, limit=1_024
            )
            if self._reads:
                self._reading = asyncio.ensure_future(self._streams[0].read())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes the connection."""
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.gather(self._reading, return_exceptions=True)
        if self._streams is not None:
            self._streams[1].transport.abort()

    async def send(self, segments: Iterator[bytes]) -> None:
        """Sends segments until their end, or until the connection is closed."""
        if self._streams is None:
            return
        with contextlib.suppress(OSError):
            for segment in segments:
                self._streams[1].write(segment)
                await self._streams[1].drain()
                await asyncio.sleep(0)

    async def read_status(self) -> int:
        """Returns the status of the response; 0 if there is none."""
        assert self._streams is not None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_RESPONSE_S):
                line = await self._streams[0].readline()
                if line.startswith(b"HTTP/1.1 "):
                    return int(line.split()[1])
        return 0
