"""A link of limited width between a process and one address, on loopback."""

import asyncio
from types import TracebackType

from redwingchute.connection import http_client

_PART_BYTES = 8 * 1024


class NarrowLink:
    """Relays connections; a context manager that owns its listener.

    All connections share the width, which is the same in both directions.

    Attributes:
      bytes_per_s: The width; it may be changed while bytes are on their way.
      carried_bytes: What it has carried from the address.
      is_stalled: Whether nothing is carried.
    """

    def __init__(self, target: http_client.Address, bytes_per_s: float) -> None:
        """Prepares a link to an address."""
        self.bytes_per_s = bytes_per_s
        self.carried_bytes = 0
        self.is_stalled = False
        self._target = target
        self._free_s = {True: 0.0, False: 0.0}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "NarrowLink":
        """Starts listening."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=_PART_BYTES
        )
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening and ends all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def address(self) -> http_client.Address:
        """The address that leads over the link."""
        assert self._server is not None
        port = self._server.sockets[0].getsockname()[1]
        return http_client.Address("127.0.0.1", port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection until either side ends it."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        far_reader, far_writer = await asyncio.open_connection(
            self._target.ip, self._target.port, limit=_PART_BYTES
        )
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, False))
                group.create_task(self._pump(far_reader, writer, True))
        except* ConnectionError:
            pass
        except* asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            for ended in (writer, far_writer):
                ended.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_down: bool,
    ) -> None:
        """Passes bytes on at the width of the link.

        Raises:
          ConnectionError: One side has ended the connection.
        """
        now = asyncio.get_running_loop().time
        while received := await reader.read(_PART_BYTES):
            while self.is_stalled:
                await asyncio.sleep(0.01)
            begin_s = max(now(), self._free_s[is_down])
            end_s = begin_s + len(received) / self.bytes_per_s
            self._free_s[is_down] = end_s
            await asyncio.sleep(end_s - now())
            writer.write(received)
            if is_down:
                self.carried_bytes += len(received)
            await writer.drain()
        raise ConnectionResetError
