"""What all stand-ins share: two listeners, a control path and a life cycle.

A stand-in answers its contract on the main port. `/control` is answered there
and on a control port of its own, so that a stand-in whose main port has
crashed can still be asked and restarted.
"""

import abc
import asyncio
import signal
import time
from types import TracebackType
from typing import Any
from typing import Generic
from typing import Self

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.standin import faults as faults_lib

_CONTROL_PATH = "/control"


class StandIn(abc.ABC, Generic[faults_lib.FaultsT]):
    """A stand-in with faults of one attrs class; a context manager.

    Attributes:
      faults: The faults in force.
      port: The main port, once started.
      control_port: The port that answers `/control` alone, once started.
    """

    def __init__(
        self, faults: faults_lib.FaultsT, address: str, port: int
    ) -> None:
        """Prepares the stand-in; it listens once its context is entered.

        Args:
          faults: The faults to begin with.
          address: The IP number to listen on.
          port: The main port, 0 for a free one.
        """
        self.faults = faults
        self.address = address
        self.port = port
        self.control_port = 0
        self.crashes = 0
        self._main: http_server.HttpServer | None = None
        self._control = http_server.HttpServer(self._handle_control, address, 0)
        self._switching = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Starts to listen on both ports."""
        await self._control.__aenter__()
        self.control_port = self._control.port
        await self.restart()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening and drops all connections."""
        await self.crash()
        await self._control.__aexit__(error_type, error, traceback)
        for task in self._tasks:
            task.cancel()

    @property
    def is_listening(self) -> bool:
        """Whether the main port accepts connections."""
        return self._main is not None

    async def crash(self) -> None:
        """Closes the main port and drops its connections."""
        async with self._switching:
            if self._main is None:
                return
            main, self._main = self._main, None
            await main.__aexit__(None, None, None)

    async def restart(self) -> None:
        """Listens on the main port again."""
        async with self._switching:
            if self._main is not None:
                return
            main = http_server.HttpServer(
                self._handle_main, self.address, self.port
            )
            await main.__aenter__()
            self._main = main
            self.port = main.port

    def begin_crash(self) -> None:
        """Crashes from within a handler, which is then cancelled."""
        self.crashes += 1
        task = asyncio.ensure_future(self.crash())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @abc.abstractmethod
    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers a request of the contract."""

    @abc.abstractmethod
    def describe(self) -> dict[str, Any]:
        """Returns the counters that `GET /control` shows."""

    async def handle_action(
        self, name: str, body: dict[str, Any]
    ) -> faults_lib.Findings | None:
        """Runs `POST /control/{name}`; None when there is no such action."""
        return None

    async def _handle_main(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers a request that came to the main port."""
        if request.path.split("/")[1:2] == ["control"]:
            await self._handle_control(request, responder)
        else:
            await self.handle(request, responder)

    async def _handle_control(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers `/control` and the actions below it."""
        if request.path == _CONTROL_PATH and request.method == "GET":
            await self._send_state(responder)
        elif request.path == _CONTROL_PATH and request.method == "POST":
            merged = faults_lib.merge_patch(self.faults, request.body)
            if isinstance(merged, tuple):
                await _send_findings(responder, merged)
            else:
                self.faults = merged
                await self._send_state(responder)
        elif request.method == "POST":
            await self._run_action(request, responder)
        else:
            await responder.send(404, b'{"error": "no such path"}')

    async def _run_action(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers `POST /control/{name}`."""
        name = request.path.removeprefix(_CONTROL_PATH + "/")
        if name == "restart":
            await self.restart()
            await self._send_state(responder)
            return
        if name == "crash":
            await self._send_state(responder)
            self.begin_crash()
            return
        body = faults_lib.read_object(request.body or b"{}")
        if isinstance(body, tuple):
            await _send_findings(responder, body)
            return
        findings = await self.handle_action(name, body)
        if findings is None:
            await responder.send(404, b'{"error": "no such action"}')
        elif findings:
            await _send_findings(responder, findings)
        else:
            await self._send_state(responder)

    async def _send_state(self, responder: http_server.HttpResponder) -> None:
        """Sends the faults and counters."""
        state = {
            "faults": self.faults,
            "control_port": self.control_port,
            "is_listening": self.is_listening,
            "crashes": self.crashes,
            **self.describe(),
        }
        await responder.send(200, faults_lib.to_json(state))


async def _send_findings(
    responder: http_server.HttpResponder, findings: faults_lib.Findings
) -> None:
    """Sends what is wrong with a control request."""
    body = faults_lib.to_json({"findings": list(findings)})
    await responder.send(400, body)


async def wait_for_signal() -> None:
    """Returns once the process gets SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


async def serve_until_signal(stand_in: StandIn[Any]) -> None:
    """Serves until SIGTERM or SIGINT; prints where, once it is ready."""
    async with stand_in:
        for name, port in (
            ("listening", stand_in.port),
            ("control", stand_in.control_port),
        ):
            print(f"{name} on {stand_in.address}:{port}", flush=True)
        await wait_for_signal()


def run_until_signal(stand_in: StandIn[Any]) -> None:
    """Runs a stand-in as a process of its own; see `serve_until_signal`."""
    asyncio.run(serve_until_signal(stand_in))


def parse_listen(listen: str) -> http_client.Address:
    """Reads the `ip:port` of a command line; raises ValueError."""
    return http_client.Address.parse(listen)


def now_ms() -> int:
    """Returns the wall clock in milliseconds."""
    return time.time_ns() // 1_000_000
