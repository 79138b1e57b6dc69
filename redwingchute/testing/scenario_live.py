"""Runs scenarios on real processes on loopback.

Every router and every stand-in is a child process. Routers are killed and
frozen by process id. The relay runs in the test runner: each router's
advertised peer address and its platform address lead through it, so that it can
cut these links. Links between routers and upstreams cannot be cut.
"""

import asyncio
import base64
import os
import signal
import socket
import sys
import time
from typing import Any
from typing import Self

import attrs

from redwingchute.connection import http_client
from redwingchute.standin import relay
from redwingchute.testing import scenario_backend
from redwingchute.testing import scenario_requests
from redwingchute.testing import scenario_steps as steps
from redwingchute.version import changes
from redwingchute.wire import registry

_IP = "127.0.0.1"
_TOKEN_INTERVAL_MS = 20
_BALANCER_LAG_MS = 200
_READY_TIMEOUT_S = 20.0
# Routers request reserve of an idle budget about every 30 seconds.
_RESERVE_WAIT_S = 35.0
_STOP_S = 20.0
_PAGE_RECORDS = 1_000


@attrs.frozen
class _RouterPorts:
    """The ports that a router keeps over restarts.

    Attributes:
      callers: Where callers connect.
      admin: Where operators connect.
      peers: Where the relay connects for other routers.
      advertised: The relay's port that other routers dial.
      platform: The relay's port that leads to the platform.
    """

    callers: int
    admin: int
    peers: int
    advertised: int
    platform: int


@attrs.frozen
class _StandInProcess:
    """A running stand-in.

    Attributes:
      process: Its process.
      address: Where it serves routers.
      control: Where its control path is served.
    """

    process: asyncio.subprocess.Process
    address: http_client.Address
    control: http_client.Address


class LiveBackend(scenario_backend.Backend):
    """The processes of one scenario on loopback."""

    def __init__(self, scenario: steps.Scenario) -> None:
        """Prepares a backend; it starts once its context is entered."""
        self._scenario = scenario
        self._pool = http_client.ClientPool()
        self._relay = relay.Relay(_IP)
        self._stand_ins: dict[str, _StandInProcess] = {}
        self._ports: dict[str, _RouterPorts] = {}
        self._routers: dict[str, asyncio.subprocess.Process] = {}
        self._processes: list[asyncio.subprocess.Process] = []
        # The routers in a graceful shutdown, by process id.
        self._stopping: dict[int, str] = {}
        self._errors: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Starts stand-ins, publishes the configuration, starts routers."""
        try:
            await self._relay.__aenter__()
            await self._start_stand_ins()
            await self._publish()
            await self._add_routes()
            for each in self._scenario.routers:
                await self._start(each.name)
            for each in self._scenario.routers:
                await self._wait_until_ready(each.name)
            await self._top_up()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *unused: Any) -> None:
        """Ends every process that was started, by its id."""
        for process in self._processes:
            _send_signal(process, signal.SIGCONT)
            _send_signal(process, signal.SIGKILL)
        for process in self._processes:
            await process.wait()
        for task in list(self._tasks):
            task.cancel()
        await self._relay.__aexit__(None, None, None)

    async def apply_lifecycle(self, step: steps.Lifecycle) -> None:
        """Starts, stops or signals a router's process."""
        name = step.router
        current = self._routers.get(name)
        match step.action:
            case steps.Action.START:
                await self._start(name)
            case steps.Action.REPLACE | steps.Action.THAW:
                # A frozen process keeps its ports. Therefore no other process
                # of this machine can listen on its address.
                raise NotImplementedError(
                    "hosts are replaced on a manual clock only"
                )
            case steps.Action.STOP if current is not None:
                self._stopping[current.pid] = name
                _send_signal(current, signal.SIGTERM)
            case steps.Action.KILL if current is not None:
                _send_signal(current, signal.SIGKILL)
                await current.wait()
            case steps.Action.FREEZE if current is not None:
                _send_signal(current, signal.SIGSTOP)
            case steps.Action.RESUME if current is not None:
                _send_signal(current, signal.SIGCONT)

    async def set_cuts(self, pairs: frozenset[frozenset[str]]) -> None:
        """Replaces the cut pairs of routers, or a router and the platform."""
        self._relay.cuts.replace(pairs)

    async def post_control(self, name: str, path: str, patch: Any) -> Any:
        """Posts to a stand-in's control path and returns its state."""
        control = self._stand_ins[name].control
        return await scenario_requests.call_control(
            self._pool, control, "POST", path, patch
        )

    async def read_control(self, name: str) -> Any:
        """Returns the state that a stand-in's control path shows."""
        control = self._stand_ins[name].control
        return await scenario_requests.call_control(
            self._pool, control, "GET", "/control", None
        )

    async def read_streams(self) -> dict[str, list[bytes]]:
        """Returns all records of the platform's streams."""
        state = await self.read_control(steps.PLATFORM)
        streams = {}
        for name, bounds in state["streams"].items():
            streams[name] = await self._read_stream(name, bounds["next"])
        return streams

    async def trim(self) -> None:
        """Raises NotImplementedError, as the audit needs whole streams."""
        raise NotImplementedError("scenarios that trim run on a manual clock")

    async def sleep(self, duration_ms: int) -> None:
        """Waits for a duration."""
        await asyncio.sleep(duration_ms / 1_000)

    def spawn_request(self, result: scenario_requests.RequestResult) -> None:
        """Sends a request without waiting for its end."""
        port = self._ports[result.step.router].callers
        address = http_client.Address(_IP, port)
        self._spawn(scenario_requests.run_request(self._pool, address, result))

    def spawn_command(self, result: scenario_requests.CommandResult) -> None:
        """Sends an operator's command without waiting for its end."""
        port = self._ports[result.step.router].admin
        address = http_client.Address(_IP, port)
        self._spawn(scenario_requests.run_command(self._pool, address, result))

    async def query(self, router: str, command: str) -> bytes | None:
        """Returns the response to a command, or None when it failed."""
        address = http_client.Address(_IP, self._ports[router].admin)
        response = await scenario_requests.send_command(
            self._pool, address, command
        )
        if isinstance(response, http_client.Fetched) and response.status == 200:
            return response.body
        return None

    def list_errors(self) -> list[str]:
        """Returns startup errors and failed graceful shutdowns.

        A graceful shutdown fails when its process has no exit status 0.
        """
        errors = list(self._errors)
        for process in self._processes:
            name = self._stopping.get(process.pid)
            if name is not None and process.returncode != 0:
                errors.append(f"{name} stopped with {process.returncode}")
        return errors

    def list_pids(self) -> dict[str, int]:
        """Returns the process ids of the routers, for measurements."""
        return {name: each.pid for name, each in self._routers.items()}

    async def read_metrics(self, router: str) -> str:
        """Returns a router's metrics as Prometheus text."""
        address = http_client.Address(_IP, self._ports[router].admin)
        response = await self._pool.fetch(
            address, "GET", "/metrics", [], b"", 5_000
        )
        assert isinstance(response, http_client.Fetched), response
        return response.body.decode()

    def _spawn(self, coroutine: Any) -> None:
        """Starts a task of a caller or operator."""
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _launch(
        self, *arguments: str, needs_output: bool
    ) -> asyncio.subprocess.Process:
        """Starts `redwingchute` with arguments as a child process."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "redwingchute.main",
            *arguments,
            stdout=(
                asyncio.subprocess.PIPE
                if needs_output
                else asyncio.subprocess.DEVNULL
            ),
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._processes.append(process)
        return process

    async def _start_stand_ins(self) -> None:
        """Starts the platform and the upstreams."""
        await self._start_stand_in(steps.PLATFORM, "platform")
        for each in self._scenario.upstreams:
            if each.is_engine:
                await self._start_stand_in(
                    each.name,
                    "engine",
                    f"--model={each.pool}",
                    f"--name={each.name}",
                    f"--token-interval-ms={_TOKEN_INTERVAL_MS}",
                )
                patch = {"answer_tokens": scenario_backend.COMPLETION_TOKENS}
                await self.post_control(each.name, "/control", patch)
            else:
                await self._start_stand_in(
                    each.name, "service", f"--name={each.name}"
                )

    async def _start_stand_in(self, name: str, kind: str, *flags: str) -> None:
        """Starts one stand-in and reads its two addresses."""
        process = await self._launch(
            "stand-in", kind, f"--listen={_IP}:0", *flags, needs_output=True
        )
        assert process.stdout is not None
        addresses = []
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for _ in range(2):
                line = (await process.stdout.readline()).decode()
                addresses.append(http_client.Address.parse(line.split()[-1]))
        self._stand_ins[name] = _StandInProcess(process, *addresses)

    async def _publish(self) -> None:
        """Appends the first configuration to the log."""
        addresses = {
            name: stand_in.address for name, stand_in in self._stand_ins.items()
        }
        change = scenario_backend.make_initial_change(
            scenario_backend.make_configuration(self._scenario, addresses)
        )
        response = await self._pool.fetch(
            self._stand_ins[steps.PLATFORM].address,
            "POST",
            f"/streams/{changes.STREAM}/records",
            [],
            registry.make_codec().encode(change),
            10_000,
        )
        assert isinstance(response, http_client.Fetched), response

    async def _add_routes(self) -> None:
        """Starts the listeners of the relay and allocates routers' ports."""
        log = self._stand_ins[steps.PLATFORM].address
        for each in self._scenario.routers:
            callers, admin, peers = (_find_free_port() for _ in range(3))
            advertised = await self._relay.add_route(
                relay.Route(each.name, http_client.Address(_IP, peers))
            )
            to_platform = await self._relay.add_route(
                relay.Route(steps.PLATFORM, log, each.name)
            )
            self._ports[each.name] = _RouterPorts(
                callers, admin, peers, advertised, to_platform
            )

    async def _start(self, name: str) -> None:
        """Starts a router's process."""
        zones = {each.name: each.zone for each in self._scenario.routers}
        ports = self._ports[name]
        peers = ",".join(
            f"{other}={zones[other]}@{_IP}:{self._ports[other].advertised}"
            for other in zones
            if other != name
        )
        self._routers[name] = await self._launch(
            "router",
            f"--host-name={name}",
            f"--zone={zones[name]}",
            f"--platform={_IP}:{ports.platform}",
            f"--fleet-key={scenario_backend.FLEET_KEY}",
            f"--listen={_IP}:{ports.callers}",
            f"--admin-listen={_IP}:{ports.admin}",
            f"--peer-listen={_IP}:{ports.peers}",
            f"--peer-advertise={_IP}:{ports.advertised}",
            f"--peers={peers}",
            f"--shards={scenario_backend.SHARD_COUNT}",
            f"--balancer-lag-ms={_BALANCER_LAG_MS}",
            needs_output=False,
        )

    async def _wait_until_ready(self, name: str) -> None:
        """Waits until a router reports that it is ready."""
        address = http_client.Address(_IP, self._ports[name].admin)
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            response = await self._pool.fetch(
                address, "GET", "/readyz", [], b"", 2_000
            )
            if getattr(response, "status", None) == 200:
                return
            await asyncio.sleep(0.1)
        self._errors.append(f"{name} was not ready in {_READY_TIMEOUT_S} s")

    async def _top_up(self) -> None:
        """Credits every budget and waits until routers hold its reserve."""
        first = self._scenario.routers[0].name
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for account in self._scenario.accounts:
            command = (
                f"top up budget '{account.budget}' by {account.tokens} "
                "reference 'first' because 'scenario'"
            )
            while await self.query(first, command) is None:
                if time.monotonic() > deadline_s:
                    self._errors.append(f"{command}: refused")
                    break
                await asyncio.sleep(0.2)
        await asyncio.sleep(_RESERVE_WAIT_S)

    async def _read_stream(self, name: str, end: int) -> list[bytes]:
        """Returns the records of one stream."""
        records: list[bytes] = []
        while len(records) < end:
            response = await self._pool.fetch(
                self._stand_ins[steps.PLATFORM].address,
                "GET",
                f"/streams/{name}/records?from={len(records)}"
                f"&limit={_PAGE_RECORDS}",
                [],
                b"",
                10_000,
            )
            if not isinstance(response, http_client.Fetched):
                break
            page = scenario_requests.parse_json(response)
            records += [
                base64.b64decode(item["data"]) for item in page["records"]
            ]
        return records


def _send_signal(
    process: asyncio.subprocess.Process, number: signal.Signals
) -> None:
    """Sends a signal to a child process that has not ended."""
    if process.returncode is None:
        os.kill(process.pid, number)


def _find_free_port() -> int:
    """Returns a port that is currently free."""
    with socket.socket() as probe:
        probe.bind((_IP, 0))
        return int(probe.getsockname()[1])
