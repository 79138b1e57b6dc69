"""HTTP between processes of a manual loop, without sockets.

`MemoryServer` and `MemoryPool` take the places of `HttpServer` and
`ClientPool`, so that daemons and stand-ins run unchanged. A cut delays bytes
until it ends, as a network partition does. Opening a connection across a cut
times out. A dead process refuses connections.
"""

import asyncio
import collections
from collections.abc import Callable
import contextvars
from types import TracebackType
from typing import TypeAlias
import urllib.parse

import h11

from redwingchute.connection import buffered_bodies
from redwingchute.connection import http_client
from redwingchute.connection import http_headers
from redwingchute.connection import http_server
from redwingchute.connection import resource_quota
from redwingchute.connection import server_limits
from redwingchute.testing import manual_loop

_LATENCY_S = 0.001

_Event: TypeAlias = http_client.ResponseHead | http_client.BodyEvent
_Callback: TypeAlias = Callable[[], None]
# A callback, and the one to run instead if the target process is dead.
_Delivery: TypeAlias = tuple[Callable[[], object], _Callback | None]


class Channel:
    """Carries callbacks one way between two processes, in order.

    A callback stands for bytes on a connection: it runs in the target process
    when these arrive.
    """

    def __init__(
        self,
        network: "SimulatedNetwork",
        source: manual_loop.SimulatedProcess,
        target: manual_loop.SimulatedProcess,
    ) -> None:
        """Binds the channel to its two processes."""
        self._network = network
        self._source = source
        self._target = target
        self._waiting: collections.deque[_Delivery] = collections.deque()

    def send(
        self, deliver: Callable[[], object], on_dead: _Callback | None = None
    ) -> None:
        """Runs a callback in the target process after the network latency.

        Args:
          deliver: The callback.
          on_dead: Run instead if the target process is dead.
        """
        self._waiting.append((deliver, on_dead))
        self._network.call_later(_LATENCY_S, self._deliver_next)

    def deliver_held(self) -> None:
        """Delivers the callbacks that a cut has held back."""
        for _ in range(len(self._waiting)):
            self._deliver_next()

    def _deliver_next(self) -> None:
        """Delivers the oldest callback, unless a cut holds it back."""
        if not self._waiting:
            return
        if self._network.is_cut(self._source, self._target):
            self._network.hold_back(self)
            return
        deliver, on_dead = self._waiting.popleft()
        if self._target.state is not manual_loop.ProcessState.DEAD:
            asyncio.get_running_loop().call_soon(
                deliver, context=self._target.context
            )
        elif on_dead is not None:
            on_dead()


class SimulatedNetwork:
    """The servers that listen on ports, and the cuts between processes.

    Attributes:
      servers: The HTTP servers by port.
      errors: Exceptions that escaped from handlers.
    """

    def __init__(self) -> None:
        """Starts without servers and cuts."""
        self.servers: dict[int, MemoryServer] = {}
        self.errors: list[BaseException] = []
        self._started_servers: list[MemoryServer] = []
        self._cuts: frozenset[frozenset[str]] = frozenset()
        self._held_channels: dict[Channel, None] = {}
        self._next_port = 20_000

    def call_later(self, delay_s: float, callback: _Callback) -> None:
        """Schedules a callback that belongs to no process."""
        asyncio.get_running_loop().call_later(
            delay_s, callback, context=contextvars.Context()
        )

    def allocate_port(self) -> int:
        """Returns a port that was never used."""
        self._next_port += 1
        return self._next_port

    def add_server(self, server: "MemoryServer") -> None:
        """Registers a server on its port, in place of any other."""
        self.servers[server.port] = server
        self._started_servers.append(server)

    def is_cut(
        self,
        one: manual_loop.SimulatedProcess,
        other: manual_loop.SimulatedProcess,
    ) -> bool:
        """Returns whether two processes cannot reach each other."""
        return frozenset((one.name, other.name)) in self._cuts

    def set_cuts(self, cuts: frozenset[frozenset[str]]) -> None:
        """Replaces the cuts; delivers what they no longer hold back."""
        self._cuts = cuts
        held, self._held_channels = self._held_channels, {}
        for channel in held:
            channel.deliver_held()

    def hold_back(self, channel: Channel) -> None:
        """Adds a channel to those that a cut holds back."""
        self._held_channels[channel] = None

    def kill(self, process: manual_loop.SimulatedProcess) -> None:
        """Kills a process and breaks its connections."""
        process.kill()
        for server in self._started_servers:
            server.disconnect_process(process)


class MemoryServer:
    """Takes the place of `HttpServer`; a context manager.

    Attributes:
      network: The network that it listens on.
      handler: Handles each request.
      port: The port; 0 until the server listens if none was given.
      open_exchanges: The number of running handlers.
      bad_requests: Always 0, as requests are not parsed here.
      process: The process that it belongs to.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        handler: http_server.Handler,
        address: str,
        port: int,
        limits: server_limits.ServerLimits | None = None,
        quota: resource_quota.ResourceQuota | None = None,
        bodies: buffered_bodies.BufferedBodies | None = None,
    ) -> None:
        """Prepares a server; it listens once its context is entered."""
        del limits, quota, bodies
        self.network = network
        self.handler = handler
        self.port = port
        self.open_exchanges = 0
        self.bad_requests = 0
        process = manual_loop.get_current_process()
        assert process is not None
        self.process = process
        self._exchanges: set[_Exchange] = set()

    async def __aenter__(self) -> "MemoryServer":
        """Starts to listen."""
        self.port = self.port or self.network.allocate_port()
        self.network.add_server(self)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening and cancels the remaining handlers."""
        self._stop_listening()
        tasks = [each.task for each in self._exchanges if each.task]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def begin_drain(self) -> None:
        """Does nothing: connections are not kept alive here."""

    def close_idle_connections(self) -> None:
        """Does nothing: connections are not kept alive here."""

    def accept(self, exchange: "_Exchange") -> None:
        """Runs the handler of a request, in the server's process."""
        self._exchanges.add(exchange)
        self.open_exchanges += 1
        exchange.task = asyncio.ensure_future(self._serve(exchange))

    def disconnect_process(self, process: manual_loop.SimulatedProcess) -> None:
        """Breaks the exchanges in which a killed process takes part."""
        for exchange in list(self._exchanges):
            if process is self.process:
                exchange.to_client.send(exchange.abort_response)
            elif process is exchange.client_process:
                exchange.to_server.send(exchange.cancel)
        if process is self.process:
            self._stop_listening()

    def _stop_listening(self) -> None:
        """Frees the port, unless another server listens on it."""
        if self.network.servers.get(self.port) is self:
            del self.network.servers[self.port]

    async def _serve(self, exchange: "_Exchange") -> None:
        """Runs one handler to its end."""
        assert exchange.request is not None
        try:
            await self.handler(exchange.request, MemoryResponder(exchange))
        except http_server.ClientDisconnectedError:
            pass
        except Exception as error:
            # Handlers of daemons must not raise; the scenario reports this.
            self.network.errors.append(error)
        finally:
            self.open_exchanges -= 1
            self._exchanges.discard(exchange)
            exchange.to_client.send(exchange.abort_response)


class _Exchange:
    """One request and its response.

    Attributes:
      server: The server.
      client_process: The process that sends the request.
      to_server: The channel of the request.
      to_client: The channel of the response.
      events: The parts of the response that have reached the client.
      request: The request, once sent.
      task: The handler, once the request has arrived.
      is_client_disconnected: Whether the server has learned that the client
        closed the connection.
      has_ended: Whether the client has read the end of the response.
    """

    def __init__(
        self, server: MemoryServer, client_process: manual_loop.SimulatedProcess
    ) -> None:
        """Binds the exchange to its two processes."""
        network = server.network
        self.server = server
        self.client_process = client_process
        self.to_server = Channel(network, client_process, server.process)
        self.to_client = Channel(network, server.process, client_process)
        self.events: asyncio.Queue[_Event] = asyncio.Queue()
        self.request: http_server.HttpRequest | None = None
        self.task: asyncio.Task[None] | None = None
        self.is_client_disconnected = False
        self.has_ended = False

    def send_request(self, request: http_server.HttpRequest) -> None:
        """Sends the request to the server."""
        self.request = request
        self.to_server.send(
            self._handle_arrival,
            lambda: self.to_client.send(self.abort_response),
        )

    def send_event(self, event: _Event) -> None:
        """Sends a part of the response to the client."""
        if self.is_client_disconnected:
            raise http_server.ClientDisconnectedError
        self.to_client.send(lambda: self.events.put_nowait(event))

    def abort_response(self) -> None:
        """Ends the response early at the client."""
        broken = http_client.ExchangeBroken("the upstream closed early")
        self.events.put_nowait(broken)

    def cancel(self) -> None:
        """Cancels the handler, as the client has disconnected."""
        self.is_client_disconnected = True
        if self.task is not None:
            self.task.cancel()

    def _handle_arrival(self) -> None:
        """Starts the handler, in the server's process."""
        is_listening = (
            self.server.network.servers.get(self.server.port) is self.server
        )
        if is_listening and not self.is_client_disconnected:
            self.server.accept(self)
        else:
            self.to_client.send(self.abort_response)


class MemoryResponder(http_server.HttpResponder):
    """Sends one response to the client of an exchange."""

    def __init__(self, exchange: _Exchange) -> None:
        """Binds the responder to its exchange."""
        self._exchange = exchange
        self._must_close = lambda: False
        self._is_head = False
        self.has_started = False

    async def _send(
        self, event: h11.Response | h11.Data | h11.EndOfMessage
    ) -> None:
        """Sends one event; raises ClientDisconnectedError when it cannot."""
        match event:
            case h11.Response():
                headers = dict(http_headers.decode_headers(event.headers))
                self._exchange.send_event(
                    http_client.ResponseHead(event.status_code, headers)
                )
            case h11.Data():
                chunk = http_client.BodyChunk(bytes(event.data))
                self._exchange.send_event(chunk)
            case h11.EndOfMessage():
                self._exchange.send_event(http_client.BodyEnd())
        # Yields to other tasks, as draining a real connection does.
        await asyncio.sleep(0)


class MemoryConnection(http_client.ClientConnection):
    """Takes the place of `ClientConnection`; used for one exchange.

    Attributes:
      address: The address of the server.
    """

    def __init__(
        self, address: http_client.Address, exchange: _Exchange
    ) -> None:
        """Binds the connection to its exchange."""
        self.address = address
        self._exchange = exchange
        self._is_closed = False
        self._bodies = buffered_bodies.BufferedBodies()
        # A simulated response has no bytes on the wire.
        self._received_bytes = 0

    async def send_request(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        host: str | None = None,
        request_id: str | None = None,
    ) -> http_client.ExchangeBroken | None:
        """Sends a whole request."""
        del host, request_id
        parts = urllib.parse.urlsplit(target)
        request = http_server.HttpRequest(
            method=method,
            target=target,
            path=urllib.parse.unquote(parts.path),
            query=dict(urllib.parse.parse_qsl(parts.query)),
            headers={name.lower(): value for name, value in headers},
            body=body,
        )
        self._exchange.send_request(request)
        return None

    async def read_head(
        self,
    ) -> http_client.ResponseHead | http_client.ExchangeBroken:
        """Waits for the status and headers."""
        event = await self._exchange.events.get()
        if isinstance(event, http_client.ResponseHead):
            return event
        return http_client.ExchangeBroken("the upstream closed early")

    async def read_chunk(self) -> http_client.BodyEvent:
        """Waits for the next part of the body."""
        event = await self._exchange.events.get()
        if isinstance(event, http_client.BodyEnd):
            self._exchange.has_ended = True
        if isinstance(event, http_client.ResponseHead):
            return http_client.ExchangeBroken("a second response began")
        return event

    def make_reusable(self) -> bool:
        """Returns False: every exchange has a connection of its own."""
        return False

    def is_usable(self) -> bool:
        """Returns whether no event waits to be read."""
        return self._exchange.events.empty()

    def close(self) -> None:
        """Closes the connection, which cancels an unfinished exchange."""
        if self._is_closed:
            return
        self._is_closed = True
        if not self._exchange.has_ended:
            self._exchange.to_server.send(self._exchange.cancel)


class MemoryPool(http_client.ClientPool):
    """Takes the place of `ClientPool`."""

    def __init__(
        self,
        network: SimulatedNetwork,
        connect_timeout_ms: int = 1_000,
        max_idle_per_address: int = 32,
    ) -> None:
        """Binds the pool to the network."""
        super().__init__(connect_timeout_ms, max_idle_per_address)
        self._network = network
        self._connect_timeout_s = connect_timeout_ms / 1000

    async def acquire(
        self, address: http_client.Address, request_id: str | None = None
    ) -> http_client.ClientConnection | http_client.ConnectFailed:
        """Opens a connection to the process that listens on the port."""
        del request_id
        process = manual_loop.get_current_process()
        assert process is not None
        server = self._network.servers.get(address.port)
        if server is not None and self._network.is_cut(process, server.process):
            await asyncio.sleep(self._connect_timeout_s)
            return http_client.ConnectFailed("connecting timed out")
        await asyncio.sleep(_LATENCY_S)
        if server is None:
            return http_client.ConnectFailed("connection refused")
        return MemoryConnection(address, _Exchange(server, process))
