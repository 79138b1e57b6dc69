"""A TCP relay between processes that simulates network partitions.

In scenarios on real processes, each router's advertised peer address and its
address of the platform lead through a relay. The relay identifies the
connecting process by the host name in the routers' link handshake, or by the
route if only one process uses it. While a pair of processes is cut, the relay
holds back the bytes of both directions without closing the connection, as a
network partition does, and delivers them once the cut is healed. It changes no
network settings of the machine.
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
      target_name: The name of the process that connections lead to.
      target: The address of that process.
      source_name: The name of the connecting process; empty to read it from
        the handshake.
    """

    target_name: str
    target: http_client.Address
    source_name: str = ""


class CutTable:
    """The pairs of processes that are cut; tasks can wait for a pair to heal.

    Attributes:
      pairs: The cut pairs of names.
    """

    def __init__(self) -> None:
        """Starts with nothing cut."""
        self.pairs: frozenset[frozenset[str]] = frozenset()
        self._changed = asyncio.Event()

    def replace(self, pairs: frozenset[frozenset[str]]) -> None:
        """Replaces the set of cut pairs."""
        self.pairs = pairs
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_until_healed(self, one: str, other: str) -> None:
        """Waits until the pair isn't cut; returns at once if it isn't."""
        while frozenset((one, other)) in self.pairs:
            await self._changed.wait()


class Relay:
    """The relay; a context manager that owns its listeners.

    Attributes:
      cuts: The pairs that are cut.
      control_port: The port that serves `/control`, once started.
      address: The IP address of all ports.
    """

    def __init__(self, address: str = "127.0.0.1") -> None:
        """Prepares a relay without routes."""
        self.cuts = CutTable()
        self.control_port = 0
        self.address = address
        self._codec = registry.make_codec()
        self._control_server = http_server.HttpServer(
            self._handle_control, address, 0
        )
        self._listeners: list[asyncio.Server] = []
        self._connections: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "Relay":
        """Starts the control API."""
        await self._control_server.__aenter__()
        self.control_port = self._control_server.port
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
        await self._control_server.__aexit__(error_type, error, traceback)

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
                # `__aexit__` cancels the connections' tasks and waits for them.
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
        """Forwards the bytes of a connection in both directions until it ends.

        Either side's end of the connection closes the other side's.
        """
        source, first_bytes = route.source_name, b""
        if not source:
            source, first_bytes = await self._read_hello(reader)
        await self.cuts.wait_until_healed(source, route.target_name)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                route.target.ip, route.target.port
            )
        except OSError:
            return
        target_writer.write(first_bytes)
        names = (source, route.target_name)
        pumps = [
            asyncio.ensure_future(self._pump(reader, target_writer, names)),
            asyncio.ensure_future(self._pump(target_reader, writer, names)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            target_writer.transport.abort()

    async def _read_hello(
        self, reader: asyncio.StreamReader
    ) -> tuple[str, bytes]:
        """Reads the link handshake's first message.

        Returns:
          The connecting host's name, empty if it can't be read, and the bytes
          that were read, to be forwarded.
        """
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
        """Forwards bytes in one direction and holds them back during a cut."""
        with contextlib.suppress(ConnectionError):
            while True:
                received = await reader.read(_READ_BYTES)
                await self.cuts.wait_until_healed(*names)
                if not received:
                    return
                writer.write(received)
                await writer.drain()

    async def _handle_control(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles `GET /control` and `POST /control/cuts`."""
        if request.method == "POST":
            body = faults_lib.parse_json_object(request.body)
            findings: faults_lib.Findings
            if isinstance(body, tuple):
                findings = body
            elif request.path == "/control/cuts":
                findings = self._set_cuts(body)
            else:
                findings = (data.Finding("path", "The path is unknown."),)
            if findings:
                response_body = faults_lib.to_json({"findings": list(findings)})
                await responder.send(400, response_body)
                return
        pairs = sorted(sorted(pair) for pair in self.cuts.pairs)
        await responder.send(200, faults_lib.to_json({"cuts": pairs}))

    def _set_cuts(self, body: dict[str, Any]) -> faults_lib.Findings:
        """Replaces the cuts by those of `{"pairs": [[NAME, NAME], ...]}`."""
        pairs = body.get("pairs")
        if not isinstance(pairs, list):
            return (data.Finding("pairs", "A list of pairs is required."),)
        findings = []
        for index, pair in enumerate(pairs):
            is_pair = (
                isinstance(pair, list)
                and len(pair) == 2
                and all(isinstance(name, str) for name in pair)
            )
            if not is_pair:
                message = "A pair of two names is required."
                findings.append(data.Finding(f"pairs[{index}]", message))
        if not findings:
            self.cuts.replace(frozenset(frozenset(pair) for pair in pairs))
        return tuple(findings)
