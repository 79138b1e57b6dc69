"""The base class of stand-ins: two listeners, a control API and a life cycle.

A stand-in serves its interface on the main port. The control API, `/control`,
is served there and on a separate control port, so that a stand-in whose main
port is closed by a simulated crash can still be inspected and restarted.
"""

import abc
import asyncio
from collections.abc import Coroutine
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
    """A stand-in whose faults are an attrs record; a context manager.

    Attributes:
      faults: The faults in force.
      address: The IP address of both ports.
      port: The main port, once started.
      control_port: The port that serves only `/control`, once started.
      crashes: The number of crashes that `schedule_crash` simulated.
    """

    def __init__(
        self, faults: faults_lib.FaultsT, address: str, port: int
    ) -> None:
        """Prepares the stand-in; it listens once its context is entered.

        Args:
          faults: The initial faults.
          address: The IP address to listen on.
          port: The main port; 0 selects a free one.
        """
        self.faults = faults
        self.address = address
        self.port = port
        self.control_port = 0
        self.crashes = 0
        self._main_server: http_server.HttpServer | None = None
        self._control_server = http_server.HttpServer(
            self._handle_control, address, 0
        )
        self._main_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Starts listening on both ports."""
        await self._control_server.__aenter__()
        self.control_port = self._control_server.port
        await self.restart()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening and closes all connections."""
        await self.crash()
        await self._control_server.__aexit__(error_type, error, traceback)
        for task in self._tasks:
            task.cancel()

    @property
    def is_listening(self) -> bool:
        """Whether the main port accepts connections."""
        return self._main_server is not None

    async def crash(self) -> None:
        """Closes the main port and its connections."""
        async with self._main_lock:
            if self._main_server is None:
                return
            main, self._main_server = self._main_server, None
            await main.__aexit__(None, None, None)

    async def restart(self) -> None:
        """Listens on the main port, unless it listens already."""
        async with self._main_lock:
            if self._main_server is not None:
                return
            main = http_server.HttpServer(
                self._handle_main, self.address, self.port
            )
            await main.__aenter__()
            self._main_server = main
            self.port = main.port

    def schedule_crash(self) -> None:
        """Schedules a crash from a request handler.

        A task of its own runs it, because the crash cancels the handler.
        """
        self.crashes += 1
        self._spawn(self.crash())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the background, at most until the exit."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @abc.abstractmethod
    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a request to the interface that the stand-in replaces."""

    @abc.abstractmethod
    def describe(self) -> dict[str, Any]:
        """Returns the counters and other fields that `GET /control` reports."""

    async def handle_action(
        self, name: str, body: dict[str, Any]
    ) -> faults_lib.Findings | None:
        """Runs the action of `POST /control/{name}`.

        Args:
          name: The action.
          body: The JSON object of the request.

        Returns:
          Findings about the body, empty if the action was run; None if there
          is no such action.
        """
        return None

    async def _handle_main(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a request to the main port."""
        if request.path.split("/")[1:2] == ["control"]:
            await self._handle_control(request, responder)
        else:
            await self.handle(request, responder)

    async def _handle_control(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a request to `/control` or to an action below it."""
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
        """Handles `POST /control/{name}`."""
        name = request.path.removeprefix(_CONTROL_PATH + "/")
        if name == "restart":
            await self.restart()
            await self._send_state(responder)
            return
        if name == "crash":
            await self._send_state(responder)
            self.schedule_crash()
            return
        body = faults_lib.parse_json_object(request.body or b"{}")
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
    """Sends the findings about a control request with status 400."""
    body = faults_lib.to_json({"findings": list(findings)})
    await responder.send(400, body)


async def wait_for_signal() -> None:
    """Waits until the process receives SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


async def serve_until_signal(stand_in: StandIn[Any]) -> None:
    """Serves until SIGTERM or SIGINT and prints both addresses once ready."""
    async with stand_in:
        for name, port in (
            ("listening", stand_in.port),
            ("control", stand_in.control_port),
        ):
            print(f"{name} on {stand_in.address}:{port}", flush=True)
        await wait_for_signal()


def run_until_signal(stand_in: StandIn[Any]) -> None:
    """Runs a stand-in as the process's main task; see `serve_until_signal`."""
    asyncio.run(serve_until_signal(stand_in))


def parse_listen(listen: str) -> http_client.Address:
    """Parses an `ip:port` argument; raises ValueError if it is malformed."""
    return http_client.Address.parse(listen)


def now_ms() -> int:
    """Returns the wall-clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000
