"""A TCP relay that stands between processes so that links can be cut.

Scenarios on real processes configure each router's advertised peer address
and its platform address to go through relays. A relay learns who dials from
the name in the routers' link handshake, or from the route when only one
process uses it. A cut holds back the bytes of both directions without closing
the connection, as a network partition does; what was held back arrives late,
after the cut is healed. Nothing of the machine is changed.
"""

import asyncio
import contextlib
import struct
from types import TracebackType
from typing import Any

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import data
from redwingchute.core import fleet
from redwingchute.standin import faults as faults_lib
from redwingchute.wire import registry

_LENGTH = struct.Struct(">I")
_MAX_HELLO_BYTES = 4 * 1024
_READ_BYTES = 64 * 1024


@attrs.frozen
class Route:
    """One listener of the relay.

    Attributes:
      target_name: The name of the side that is dialled.
      target: Where the connections go.
      source_name: The side that dials; empty to read it from the handshake.
    """

    target_name: str
    target: http_client.Address
    source_name: str = ""


class CutTable:
    """Which pairs of names are cut, and who waits for a pair to heal."""

    def __init__(self) -> None:
        """Starts with nothing cut."""
        self.pairs: frozenset[frozenset[str]] = frozenset()
        self._changed = asyncio.Event()

    def replace(self, pairs: frozenset[frozenset[str]]) -> None:
        """Sets the pairs that are cut from now on."""
        self.pairs = pairs
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_until_open(self, one: str, other: str) -> None:
        """Returns at once unless the pair is cut, else once it is healed."""
        while frozenset((one, other)) in self.pairs:
            await self._changed.wait()


class Relay:
    """The relay; a context manager that owns its listeners.

    Attributes:
      cuts: The pairs that are cut.
      control_port: The port that answers `/control`, once started.
    """

    def __init__(self, address: str = "127.0.0.1") -> None:
        """Prepares a relay without routes."""
        self.cuts = CutTable()
        self.control_port = 0
        self.address = address
        self._codec = registry.make_codec()
        self._control = http_server.HttpServer(self._handle_control, address, 0)
        self._listeners: list[asyncio.Server] = []
        self._connections: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "Relay":
        """Starts the control path."""
        await self._control.__aenter__()
        self.control_port = self._control.port
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes all listeners and connections."""
        for listener in self._listeners:
            listener.close()
        for task in list(self._connections):
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections)
        await self._control.__aexit__(error_type, error, traceback)

    async def add_route(self, route: Route) -> int:
        """Starts a listener and returns its port."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._connections.add(task)
            try:
                await self._relay_connection(route, reader, writer)
            except asyncio.CancelledError:
                # The relay's close cancels connections; the task simply ends.
                pass
            finally:
                self._connections.discard(task)
                writer.transport.abort()

        listener = await asyncio.start_server(accept, self.address, 0)
        self._listeners.append(listener)
        return int(listener.sockets[0].getsockname()[1])

    async def _relay_connection(
        self,
        route: Route,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Carries one connection in both directions until it ends."""
        source, first_bytes = route.source_name, b""
        if not source:
            source, first_bytes = await self._read_hello(reader)
        await self.cuts.wait_until_open(source, route.target_name)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                route.target.ip, route.target.port
            )
        except OSError:
            return
        far_writer.write(first_bytes)
        names = (source, route.target_name)
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer, names)),
            asyncio.ensure_future(self._pump(far_reader, writer, names)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            far_writer.transport.abort()

    async def _read_hello(
        self, reader: asyncio.StreamReader
    ) -> tuple[str, bytes]:
        """Returns the dialling host's name and the bytes that were read."""
        try:
            header = await reader.readexactly(_LENGTH.size)
            (size,) = _LENGTH.unpack(header)
            body = await reader.readexactly(min(size, _MAX_HELLO_BYTES))
        except (asyncio.IncompleteReadError, ConnectionError):
            return "", b""
        record = getattr(self._codec.decode(body), "record", None)
        name = record.host.name if isinstance(record, fleet.LinkHello) else ""
        return name, header + body

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        names: tuple[str, str],
    ) -> None:
        """Carries bytes one way, holding them back during a cut."""
        with contextlib.suppress(ConnectionError):
            while True:
                data_read = await reader.read(_READ_BYTES)
                await self.cuts.wait_until_open(*names)
                if not data_read:
                    return
                writer.write(data_read)
                await writer.drain()

    async def _handle_control(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers `GET /control`, `POST /control/cuts` and `.../routes`."""
        if request.method == "POST":
            body = faults_lib.read_object(request.body)
            findings: faults_lib.Findings
            if isinstance(body, tuple):
                findings = body
            elif request.path == "/control/cuts":
                findings = self._set_cuts(body)
            else:
                findings = (data.Finding("path", "There is no such path."),)
            if findings:
                answer = faults_lib.to_json({"findings": list(findings)})
                await responder.send(400, answer)
                return
        pairs = sorted(sorted(pair) for pair in self.cuts.pairs)
        await responder.send(200, faults_lib.to_json({"cuts": pairs}))

    def _set_cuts(self, body: dict[str, Any]) -> faults_lib.Findings:
        """Runs `{"pairs": [[NAME, NAME], ...]}`."""
        pairs = body.get("pairs")
        if not isinstance(pairs, list):
            return (data.Finding("pairs", "A list of pairs is needed."),)
        findings = []
        for index, pair in enumerate(pairs):
            is_pair = (
                isinstance(pair, list)
                and len(pair) == 2
                and all(isinstance(name, str) for name in pair)
            )
            if not is_pair:
                message = "A pair of two names is needed."
                findings.append(data.Finding(f"pairs[{index}]", message))
        if not findings:
            self.cuts.replace(frozenset(frozenset(pair) for pair in pairs))
        return tuple(findings)
