"""Runs scenarios on the daemons' code with a manual clock.

Routers and stand-ins run the code of the real processes; only sockets, clocks
and random sources are replaced. A run of simulated minutes takes about a second
and is reproducible.
"""

import asyncio
import contextlib
import functools
import random
import types
from typing import Any
from typing import Self
from unittest import mock

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import data
from redwingchute.process import peer_network
from redwingchute.process import router
from redwingchute.process import settings as settings_lib
from redwingchute.standin import base
from redwingchute.standin import engine
from redwingchute.standin import platform
from redwingchute.standin import service
from redwingchute.testing import manual_loop
from redwingchute.testing import memory_peer_network
from redwingchute.testing import memory_transport
from redwingchute.testing import scenario_backend
from redwingchute.testing import scenario_requests
from redwingchute.testing import scenario_runner
from redwingchute.testing import scenario_steps as steps
from redwingchute.version import changes
from redwingchute.wire import registry

_IP = "127.0.0.1"
_START_MS = 1_800_000_000_000
# The time in which all routers become ready.
_STARTUP_MS = 15_000
# Routers request reserve of an idle budget about every 30 seconds.
_RESERVE_WAIT_MS = 45_000
_TOKEN_INTERVAL_MS = 20
_BALANCER_LAG_MS = 200
_SEED = 7


def run_scenario(scenario: steps.Scenario) -> tuple[data.Finding, ...]:
    """Runs a scenario on a manual clock and returns its failures."""

    async def run() -> tuple[data.Finding, ...]:
        async with ManualBackend(scenario) as backend:
            return await scenario_runner.ScenarioRun(scenario, backend).run()

    return manual_loop.run(run())


def _read_clock_ms() -> int:
    """Returns the manual clock as milliseconds since the epoch."""
    return _START_MS + round(asyncio.get_running_loop().time() * 1_000)


@attrs.define(eq=False)
class _RouterProcess:
    """One process of a router.

    Attributes:
      process: Its tasks.
      daemon: The router, once it runs.
      stop_requested: Set to request a graceful shutdown.
    """

    process: manual_loop.SimulatedProcess
    stop_requested: asyncio.Event
    daemon: router.Router | None = None

    async def serve(self, settings: settings_lib.RouterSettings) -> None:
        """Runs the daemon until a graceful shutdown is complete."""
        async with router.Router(settings) as daemon:
            self.daemon = daemon
            await self.stop_requested.wait()
            await daemon.stop()
        self.process.kill()


class ManualBackend(scenario_backend.Backend):
    """The processes of a scenario on a manual loop."""

    def __init__(self, scenario: steps.Scenario) -> None:
        """Prepares a backend; it starts once its context is entered."""
        self._scenario = scenario
        self._network = memory_transport.SimulatedNetwork()
        self._directory = memory_peer_network.PeerDirectory(self._network)
        self._client = manual_loop.SimulatedProcess("client")
        self._stand_ins: dict[str, base.StandIn[Any]] = {}
        self._settings: dict[str, settings_lib.RouterSettings] = {}
        self._routers: dict[str, _RouterProcess] = {}
        self._replaced: dict[str, _RouterProcess] = {}
        # The trimmed records of each stream, which the audit needs.
        self._trimmed: dict[str, list[bytes]] = {}
        self._patches = contextlib.ExitStack()
        self._errors: list[str] = []

    async def __aenter__(self) -> Self:
        """Starts stand-ins, publishes the configuration, starts routers."""
        self._patch()
        self._pool = http_client.ClientPool()
        await self._start_stand_ins()
        addresses = {
            name: http_client.Address(_IP, stand_in.port)
            for name, stand_in in self._stand_ins.items()
        }
        change = scenario_backend.make_initial_change(
            scenario_backend.make_configuration(self._scenario, addresses)
        )
        store = self._get_platform().store
        store.get_or_create_stream(changes.STREAM).append(
            registry.make_codec().encode(change), _read_clock_ms()
        )
        for each in self._scenario.routers:
            self._settings[each.name] = self._make_settings(each)
        for each in self._scenario.routers:
            self._start(each.name)
        await self.sleep(_STARTUP_MS)
        await self._top_up()
        return self

    async def __aexit__(self, *unused: Any) -> None:
        """Restores the patched names."""
        self._patches.close()

    async def apply_lifecycle(self, step: steps.Lifecycle) -> None:
        """Starts, stops or signals a router's process."""
        name = step.router
        current = self._routers.get(name)
        match step.action:
            case steps.Action.START:
                self._start(name)
            case steps.Action.REPLACE:
                if current is not None:
                    self._replaced[name] = current
                self._start(name)
            case steps.Action.THAW:
                self._replaced[name].process.resume()
            case steps.Action.STOP if current is not None:
                loop = asyncio.get_running_loop()
                loop.call_soon(
                    current.stop_requested.set, context=current.process.context
                )
            case steps.Action.KILL if current is not None:
                self._network.kill(current.process)
            case steps.Action.FREEZE if current is not None:
                current.process.freeze()
            case steps.Action.RESUME if current is not None:
                current.process.resume()
        await self.sleep(1)

    async def set_cuts(self, pairs: frozenset[frozenset[str]]) -> None:
        """Replaces the cut pairs of processes."""
        self._network.set_cuts(pairs)

    async def post_control(self, name: str, path: str, patch: Any) -> Any:
        """Posts to a stand-in's control path and returns its state."""
        return await self._control(name, "POST", path, patch)

    async def read_control(self, name: str) -> Any:
        """Returns the state that a stand-in's control path shows."""
        return await self._control(name, "GET", "/control", None)

    async def read_streams(self) -> dict[str, list[bytes]]:
        """Returns all records ever appended, by stream."""
        streams = {}
        for name, stream in self._get_platform().store.streams.items():
            kept = stream.read(stream.first, stream.next) or []
            trimmed = self._trimmed.get(name, [])
            streams[name] = trimmed + [record.data for record in kept]
        return streams

    async def trim(self) -> None:
        """Trims the older half of each stream."""
        for name, stream in self._get_platform().store.streams.items():
            before = (stream.first + stream.next) // 2
            old = stream.read(stream.first, before - stream.first) or []
            trimmed = self._trimmed.setdefault(name, [])
            trimmed += [record.data for record in old]
            stream.trim(before)

    async def sleep(self, duration_ms: int) -> None:
        """Waits for a duration on the manual clock."""
        await asyncio.sleep(duration_ms / 1_000)

    def spawn_request(self, result: scenario_requests.RequestResult) -> None:
        """Sends a request without waiting for its end."""
        address = self._settings[result.step.router].listen
        self._client.spawn(
            scenario_requests.run_request(self._pool, address, result)
        )

    def spawn_command(self, result: scenario_requests.CommandResult) -> None:
        """Sends an operator's command without waiting for its end."""
        address = self._settings[result.step.router].admin_listen
        self._client.spawn(
            scenario_requests.run_command(self._pool, address, result)
        )

    async def query(self, router_name: str, command: str) -> bytes | None:
        """Returns the response to a command, or None when it failed."""
        address = self._settings[router_name].admin_listen
        response = await self._client.spawn(
            scenario_requests.send_command(self._pool, address, command)
        )
        if isinstance(response, http_client.Fetched) and response.status == 200:
            return response.body
        return None

    def list_errors(self) -> list[str]:
        """Returns the errors of daemons, handlers and the first top-up."""
        return self._errors + [repr(error) for error in self._network.errors]

    def _patch(self) -> None:
        """Replaces sockets, clocks and random sources."""
        source = random.Random(_SEED)
        secrets = types.SimpleNamespace(
            randbits=source.getrandbits, token_bytes=source.randbytes
        )
        make_server = functools.partial(
            memory_transport.MemoryServer, self._network
        )
        make_pool = functools.partial(
            memory_transport.MemoryPool, self._network
        )
        make_network = functools.partial(
            memory_peer_network.MemoryPeerNetwork, self._directory
        )
        replaced: list[tuple[Any, str, Any]] = [
            (http_server, "HttpServer", make_server),
            (http_client, "ClientPool", make_pool),
            (peer_network, "PeerNetwork", make_network),
            (router, "read_clock_ms", _read_clock_ms),
            (router, "secrets", secrets),
            (base, "now_ms", _read_clock_ms),
        ]
        for module, name, value in replaced:
            self._patches.enter_context(mock.patch.object(module, name, value))

    async def _start_stand_ins(self) -> None:
        """Starts the platform and the upstreams."""
        await self._start_stand_in(steps.PLATFORM, platform.Platform)
        for each in self._scenario.upstreams:
            if each.is_engine:
                faults = engine.EngineFaults(
                    token_interval_ms=_TOKEN_INTERVAL_MS,
                    answer_tokens=scenario_backend.COMPLETION_TOKENS,
                )
                make = functools.partial(
                    engine.Engine, each.pool, each.name, faults=faults
                )
                await self._start_stand_in(each.name, make)
            else:
                make_service = functools.partial(service.Service, each.name)
                await self._start_stand_in(each.name, make_service)

    async def _start_stand_in(self, name: str, make: Any) -> None:
        """Starts one stand-in as a process of its own."""
        process = manual_loop.SimulatedProcess(name)

        async def start() -> base.StandIn[Any]:
            stand_in: base.StandIn[Any] = make()
            await stand_in.__aenter__()
            return stand_in

        self._stand_ins[name] = await process.spawn(start())

    def _get_platform(self) -> platform.Platform:
        """Returns the stand-in of the platform."""
        stand_in = self._stand_ins[steps.PLATFORM]
        assert isinstance(stand_in, platform.Platform)
        return stand_in

    async def _control(
        self, name: str, method: str, path: str, body: Any
    ) -> Any:
        """Runs one exchange with a stand-in's control port."""
        stand_in = self._stand_ins[name]
        return await self._client.spawn(
            scenario_requests.call_control(
                self._pool,
                http_client.Address(_IP, stand_in.control_port),
                method,
                path,
                body,
            )
        )

    def _make_settings(self, own: steps.Router) -> settings_lib.RouterSettings:
        """Returns the settings of a router, with ports of its own.

        Its configured peers are the routers declared before it.
        """
        ports = [self._network.allocate_port() for _ in range(3)]
        peers = tuple(
            data.Host(name, other.zone, str(other.peer_listen))
            for name, other in self._settings.items()
        )
        return settings_lib.RouterSettings(
            host_name=own.name,
            zone=own.zone,
            platform=http_client.Address(_IP, self._get_platform().port),
            fleet_key=scenario_backend.FLEET_KEY.encode(),
            listen=http_client.Address(_IP, ports[0]),
            admin_listen=http_client.Address(_IP, ports[1]),
            peer_listen=http_client.Address(_IP, ports[2]),
            peers=peers,
            shards=scenario_backend.SHARD_COUNT,
            balancer_lag_ms=_BALANCER_LAG_MS,
        )

    def _start(self, name: str) -> None:
        """Starts a process of a router."""
        started = _RouterProcess(
            manual_loop.SimulatedProcess(name), asyncio.Event()
        )
        self._routers[name] = started
        task = started.process.spawn(started.serve(self._settings[name]))
        task.add_done_callback(self._record_end)

    def _record_end(self, task: "asyncio.Task[None]") -> None:
        """Records the error of a daemon that ended with one."""
        if not task.cancelled() and task.exception() is not None:
            self._errors.append(f"a router ended: {task.exception()!r}")

    async def _top_up(self) -> None:
        """Credits every budget and waits until routers hold its reserve."""
        first = self._scenario.routers[0].name
        for account in self._scenario.accounts:
            command = (
                f"top up budget '{account.budget}' by {account.tokens} "
                "reference 'first' because 'scenario'"
            )
            if await self.query(first, command) is None:
                self._errors.append(f"{command}: refused")
        await self.sleep(_RESERVE_WAIT_MS)
