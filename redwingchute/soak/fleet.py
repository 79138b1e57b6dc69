"""Runs the processes of a soak: store, upstreams and the gateways of hosts.

Each host has a loopback address of its own, because its ports are the same on
all hosts. Only processes that were started here are signalled, by their ids.
"""

import asyncio
from collections.abc import Mapping
import ctypes
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
from types import TracebackType
from typing import Any

import attrs

from redwingchute.connection import http_client
from redwingchute.core import forwarding
from redwingchute.platform import configuration_document
from redwingchute.platform import document_encoder
from redwingchute.platform import main as platform_main
from redwingchute.platform import settings_file
from redwingchute.platform import store_client
from redwingchute.platform import upstream_entries
from redwingchute.process import gateway_settings
from redwingchute.process import process_limits
from redwingchute.soak import caller_identity
from redwingchute.soak import observations
from redwingchute.soak import plan

# A request whose path ends so ends the upstream that runs it.
CRASH_MARKER = "crashing"
FRONTEND_PORT = 8227
RETRY_LIMIT = observations.RetryLimit(ratio=0.2, slack=50.0, window_ms=10_000)

# What the settings of hosts state.
USAGE_LIMIT = observations.Usage(
    "",
    process_limits.DEFAULT_MEMORY_MB,
    process_limits.DEFAULT_MAX_DESCRIPTORS,
)

_READY_PORT = 8220
_PEER_PORT = 7340
# The metrics port of deploy/system.toml.
_METRICS_PORT = 9464
# Counts messages of other routers that can't be decoded.
_MALFORMED_COUNTER = "peer_messages_malformed"
_GRACE_S = 8
# Beyond the grace period, before a process gets SIGKILL.
_GRACE_MARGIN_S = 1.0
_START_TIMEOUT_S = 20.0
_POLL_S = 0.05
_CALL_TIMEOUT_MS = 1_000
_ROUTE_TIMEOUT_MS = 4_000
_TARGET_LATENCY_MS = 600
_MAX_CONNECTIONS = 64
# The store removes the entry of an upstream after three silent heartbeats.
_ENTRY_EXPIRY_S = 3.6
_UPSTREAM_WORK_MS = 30
_CRASH_MS = 1_000
_PR_SET_PDEATHSIG = 1
_STAND_IN = ("redwingchute.main", "stand-in")


@attrs.frozen
class OtherBuild:
    """Another build, which hosts may run.

    Attributes:
      folder: The folder that holds its package.
      runs_first: Whether all hosts run it at the start.
    """

    folder: pathlib.Path
    runs_first: bool = False


@attrs.define
class _Program:
    """A program and its current process.

    Attributes:
      name: The name of the host or upstream.
      starts: How many times it was started.
      process: The process of the last start.
      address: The address that an upstream or the store listens on.
    """

    name: str
    starts: int = 0
    process: subprocess.Popen[bytes] | None = None
    address: http_client.Address | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended; it may be stopped."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """The processes of a soak; a context manager that starts and ends them."""

    def __init__(
        self,
        size: plan.Size,
        directory: pathlib.Path,
        other_build: OtherBuild | None = None,
        host_fields: Mapping[str, object] | None = None,
        limits: forwarding.ConnectionLimits | None = None,
    ) -> None:
        """Prepares a fleet.

        Args:
          size: The numbers of processes.
          directory: The directory for settings, logs and records; it exists.
          other_build: Another build for hosts, if there is one.
          host_fields: Fields that are added to the settings files of hosts.
          limits: The limits of callers' connections; the defaults if None.
        """
        self._host_fields = host_fields or {}
        self._limits = limits or forwarding.ConnectionLimits()
        self._other_build = other_build
        self._on_other_build: set[str] = set()
        if other_build is not None and other_build.runs_first:
            self._on_other_build.update(size.list_hosts())
        self._size = size
        self._directory = directory
        # Several soaks on one machine use different loopback addresses.
        self._network = (
            f"127.{16 + os.getpid() // 250 % 200}.{os.getpid() % 250}"
        )
        self._services = dict(size.list_upstreams())
        self._programs: dict[str, _Program] = {}
        self._pool = http_client.ClientPool()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "Fleet":
        """Starts all processes and waits until the hosts are ready."""
        try:
            await self.start(plan.STORE)
            await asyncio.gather(*map(self.start, self._services))
            await self._put_record(
                configuration_document.TOPIC,
                configuration_document.KEY,
                document_encoder.encode_configuration(
                    _make_routes(self._size.prepaid_tokens, self._limits)
                ),
            )
            hosts = self._size.list_hosts()
            await asyncio.gather(*map(self.start, hosts))
            async with asyncio.timeout(_START_TIMEOUT_S):
                while not all([await self._is_ready(host) for host in hosts]):
                    await asyncio.sleep(_POLL_S)
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kills all processes and waits for their end."""
        for task in self._tasks:
            task.cancel()
        for program in self._programs.values():
            if program.process is not None and program.is_running:
                program.process.kill()
                program.process.wait()
        await self._pool.__aexit__(error_type, error, traceback)

    def find_address(self, name: str) -> http_client.Address:
        """Returns the address of a host, an upstream or the store."""
        if self._is_stand_in(name):
            address = self._programs[name].address
            assert address is not None
            return address
        return http_client.Address(self._find_ip(name), FRONTEND_PORT)

    def find_listeners(self, host: str) -> dict[str, http_client.Address]:
        """Returns all addresses that a host listens on, by what they serve."""
        ip = self._find_ip(host)
        ports = {
            "callers": FRONTEND_PORT,
            "readiness": _READY_PORT,
            "metrics": _METRICS_PORT,
            "peers": _PEER_PORT,
        }
        return {
            name: http_client.Address(ip, port) for name, port in ports.items()
        }

    def find_process_id(self, name: str) -> int:
        """Returns the id of the process of a program's last start."""
        process = self._programs[name].process
        assert process is not None
        return process.pid

    def is_running(self, name: str) -> bool:
        """Returns whether a program's process has not ended."""
        return self._programs[name].is_running

    def list_unexpected_ends(self) -> tuple[str, ...]:
        """Returns the programs whose processes ended by themselves."""
        return tuple(
            program.name
            for program in self._programs.values()
            if not program.is_running
        )

    def choose_build(self, host: str, is_other: bool) -> None:
        """Chooses the build with which a host starts next."""
        if is_other:
            self._on_other_build.add(host)
        else:
            self._on_other_build.discard(host)

    async def count_unread_messages(self) -> int:
        """Returns how many messages the present processes could not read."""
        counts = [
            await self._read_counter(host, _MALFORMED_COUNTER)
            for host in self._size.list_hosts()
        ]
        return sum(counts)

    def list_log_paths(self) -> list[pathlib.Path]:
        """Returns the files with the logs of all processes."""
        return sorted(
            [*self._directory.glob("*.out"), *self._directory.glob("*.err")]
        )

    def count_starts(self, name: str) -> int:
        """Returns how many times a program was started."""
        return self._programs[name].starts

    def list_record_paths(self) -> list[pathlib.Path]:
        """Returns the files with the records of upstreams."""
        return sorted(self._directory.glob("*.records"))

    async def start(self, name: str) -> None:
        """Starts a program; returns once a stand-in listens."""
        program = self._programs.setdefault(name, _Program(name))
        program.starts += 1
        label = f"{name}-{program.starts}"
        environment = dict(os.environ)
        folder: pathlib.Path | None = None
        if name in self._on_other_build and self._other_build is not None:
            folder = self._other_build.folder
            environment["PYTHONPATH"] = str(folder)
        if not self._is_stand_in(name):
            path = self._directory.absolute() / f"{name}.conf"
            path.write_text(self._make_settings(name))
            environment[settings_file.PATH_VARIABLE] = str(path)
        output_path = self._directory / f"{label}.out"
        with (
            output_path.open("wb") as output,
            (self._directory / f"{label}.err").open("wb") as errors,
        ):
            program.process = subprocess.Popen(
                (sys.executable, "-m", *self._make_arguments(program, label)),
                stdout=output,
                stderr=errors,
                env=environment,
                cwd=folder,
                preexec_fn=_end_with_parent,
            )
        if self._is_stand_in(name):
            program.address = (
                await _wait_for_address(program.process, output_path)
                or program.address
            )

    def send_signal(self, name: str, number: signal.Signals) -> bool:
        """Sends a signal to a process; returns False if it has ended."""
        program = self._programs[name]
        if program.process is None or not program.is_running:
            return False
        program.process.send_signal(number)
        return True

    async def end(self, name: str, number: signal.Signals) -> None:
        """Ends a process with a signal, and with SIGKILL after the grace."""
        process = self._programs[name].process
        assert process is not None
        label = f"{name}-{self.count_starts(name)}"
        self.send_signal(name, number)
        try:
            async with asyncio.timeout(_GRACE_S + _GRACE_MARGIN_S):
                while process.poll() is None:
                    await asyncio.sleep(_POLL_S)
        except TimeoutError:
            process.kill()
            process.wait()
        if name in self._services:
            task = asyncio.ensure_future(self._expire_entry(label))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def patch(self, name: str, faults: dict[str, Any]) -> bool:
        """Sets faults of a stand-in; returns whether it confirmed them."""
        return await self._post(name, "/control", faults)

    async def put_entry(
        self, upstream_id: str, entry: Mapping[str, object] | None
    ) -> None:
        """Writes or removes the entry of an upstream, as it would itself."""
        await self._put_record(upstream_entries.TOPIC, upstream_id, entry)

    async def _put_record(self, topic: str, key: str, value: Any) -> bool:
        """Writes a record to the store as the operator or an upstream does."""
        body = {
            "topic": store_client.TOPIC_PREFIX + topic,
            "key": key,
            "value": value,
        }
        return await self._post(plan.STORE, "/control/put", body)

    def _is_stand_in(self, name: str) -> bool:
        """Returns whether a program is an upstream or the store."""
        return name in self._services or name == plan.STORE

    def _make_arguments(self, program: _Program, label: str) -> list[str]:
        """Returns the module that a program runs, and its arguments."""
        if not self._is_stand_in(program.name):
            return ["redwingchute.platform.main"]
        # The next start of an upstream takes over its address, while its former
        # id may still be listed.
        listen = f"--listen={program.address or '127.0.0.1:0'}"
        if program.name == plan.STORE:
            return [*_STAND_IN, "metadata-store", listen]
        record = self._directory / f"{label}.records"
        record.touch()
        return [
            *(*_STAND_IN, "runner", listen, f"--name={label}"),
            f"--store={self.find_address(plan.STORE)}",
            f"--service={self._services[program.name]}",
            f"--work-ms={_UPSTREAM_WORK_MS}",
            f"--version={self._choose_version(program)}",
            f"--crash-marker={CRASH_MARKER}",
            f"--crash-ms={_CRASH_MS}",
            f"--record={record}",
        ]

    def _choose_version(self, program: _Program) -> str:
        """Returns the software version of a start of an upstream.

        Upstreams of a service differ, and so do the starts of one.
        """
        number = list(self._services).index(program.name) + program.starts
        return f"v{number % self._size.versions}"

    async def _post(self, name: str, path: str, body: Any) -> bool:
        """Sends a control request to a stand-in."""
        fetched = await self._pool.fetch(
            self.find_address(name),
            "POST",
            path,
            [],
            json.dumps(body).encode(),
            _CALL_TIMEOUT_MS,
        )
        return isinstance(fetched, http_client.Fetched) and (
            fetched.status == 200
        )

    async def _read_counter(self, host: str, name: str) -> int:
        """Returns a counter of the metrics of a host, once it shows them."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not isinstance(
                fetched := await self._pool.fetch(
                    http_client.Address(self._find_ip(host), _METRICS_PORT),
                    "GET",
                    "/metrics",
                    [],
                    b"",
                    _CALL_TIMEOUT_MS,
                ),
                http_client.Fetched,
            ):
                await asyncio.sleep(_POLL_S)
        lines = fetched.body.decode().splitlines()
        return sum(
            int(float(line.rsplit(" ", 1)[1]))
            for line in lines
            if line.startswith(name)
        )

    async def _expire_entry(self, upstream_id: str) -> None:
        """Removes the entry of an ended upstream, as the store does."""
        await asyncio.sleep(_ENTRY_EXPIRY_S)
        while not await self._put_record(
            upstream_entries.TOPIC, upstream_id, None
        ):
            await asyncio.sleep(_POLL_S)

    async def _is_ready(self, host: str) -> bool:
        """Returns whether a host reports that it is ready."""
        if not self.is_running(host):
            raise RuntimeError(f"{host} ended; see {self._directory}")
        fetched = await self._pool.fetch(
            http_client.Address(self._find_ip(host), _READY_PORT),
            "GET",
            platform_main.READY_PATH,
            [],
            b"",
            _CALL_TIMEOUT_MS,
        )
        return isinstance(fetched, http_client.Fetched) and (
            fetched.status == 200
        )

    def _find_ip(self, host: str) -> str:
        """Returns the loopback address of a host."""
        return f"{self._network}.{1 + self._size.list_hosts().index(host)}"

    def _make_settings(self, host: str) -> str:
        """Returns a host's settings file."""
        ip = self._find_ip(host)
        settings = gateway_settings.GatewaySettings(
            host_name=host,
            zone="huon",
            listen=http_client.Address(ip, FRONTEND_PORT),
            ready_listen=http_client.Address(ip, _READY_PORT),
            peer_listen=http_client.Address(ip, _PEER_PORT),
            metrics_listen=http_client.Address(ip, _METRICS_PORT),
            log_address=self.find_address(plan.STORE),
            fleet_key=b"",
            stop_ms=1000 * _GRACE_S,
            retry_ratio=RETRY_LIMIT.ratio,
            retry_window_ms=RETRY_LIMIT.window_ms,
            retry_slack=RETRY_LIMIT.slack,
        )
        added = [
            f"{name}={value}\n" for name, value in self._host_fields.items()
        ]
        return document_encoder.encode_settings(settings) + "".join(added)


def _make_routes(
    prepaid_tokens: int | None, limits: forwarding.ConnectionLimits
) -> forwarding.RouteTable:
    """Returns a configuration with one route for each kind of request."""
    account = forwarding.ClientAccount(
        "soak", frozenset({caller_identity.KEY}), prepaid_tokens=prepaid_tokens
    )
    return forwarding.RouteTable(
        version=1,
        routes=tuple(map(_make_route, observations.Kind)),
        services=(
            forwarding.Service("ledger", _MAX_CONNECTIONS),
            forwarding.Service("llm", _MAX_CONNECTIONS, tokens_per_event=1),
        ),
        accounts=(account,),
        limits=limits,
    )


def _make_route(kind: observations.Kind) -> forwarding.Route:
    """Returns the route for a kind of request."""
    if kind.is_stream:
        request_kind = forwarding.RequestKind.STREAMING
    elif kind.is_repeatable:
        request_kind = forwarding.RequestKind.IDEMPOTENT
    else:
        request_kind = forwarding.RequestKind.NON_IDEMPOTENT
    return forwarding.Route(
        name=str(kind),
        host=caller_identity.CALLED_HOST,
        path_prefix=f"/{kind}/",
        kind=request_kind,
        services=(forwarding.WeightedService(kind.service, 1.0),),
        timeout_ms=_ROUTE_TIMEOUT_MS,
        target_latency_ms=_TARGET_LATENCY_MS,
        max_attempts=kind.max_attempts,
        is_resumable=kind is observations.Kind.RESUMABLE_STREAM,
    )


async def _wait_for_address(
    process: subprocess.Popen[bytes], output_path: pathlib.Path
) -> http_client.Address | None:
    """Returns the address in the first line that a stand-in prints.

    Returns None if the process ends before.

    Raises:
      TimeoutError: The stand-in runs but prints no address.
    """
    async with asyncio.timeout(_START_TIMEOUT_S):
        while process.poll() is None:
            found = re.search(r"listening on (\S+)\n", output_path.read_text())
            if found:
                return http_client.Address.parse(found[1])
            await asyncio.sleep(_POLL_S)
    return None


def _end_with_parent() -> None:
    """Makes the kernel kill this process when the soak's process ends."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
