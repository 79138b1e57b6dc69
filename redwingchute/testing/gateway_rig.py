"""Gateways with stand-ins of the metadata store and of runners, on loopback."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import json
import socket
from types import TracebackType
from typing import Any

import attrs

from redwingchute.connection import http_client
from redwingchute.core import prepaid
from redwingchute.platform import main as platform_main
from redwingchute.process import gateway
from redwingchute.process import gateway_settings
from redwingchute.process import read_size
from redwingchute.process.prepaid import grant_fold
from redwingchute.standin import metadata_store
from redwingchute.standin import runner
from redwingchute.testing import narrow_link
from redwingchute.testing import upstream_cut

KEY = "key-1"
ACCOUNT = "yield"
_ADDRESS = "127.0.0.1"
_READY_ATTEMPTS = 200
_READY_POLL_INTERVAL_S = 0.02


def make_document(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration document with one route of each kind.

    Args:
      version: The configuration version.
      **changes: Top-level fields that replace those of the document.
    """

    def make_route(name: str, kind: str, service: str) -> dict[str, Any]:
        return {
            "name": name,
            "host": "a.example",
            "pathPrefix": f"/{name}/",
            "type": kind,
            "timeoutMs": 2_000,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": service,
            "maxAttempts": 2 if name in ("lookup", "summary") else 1,
            "public": name == "open",
            "resumable": name == "summary",
        }

    document = {
        "version": version,
        "routes": [
            make_route("lookup", "idempotent", "ledger"),
            make_route("open", "idempotent", "ledger"),
            make_route("post", "non_idempotent", "ledger"),
            make_route("draft", "streaming", "llm"),
            make_route("summary", "streaming", "llm"),
        ],
        "services": [
            {"name": "ledger", "maxConnections": 10},
            {
                "name": "llm",
                "maxConnections": 10,
                "inferenceEngine": {"stride": 5, "slots": 8},
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": ACCOUNT, "apiKeys": [KEY], "reserved": 10_000}],
    }
    return {**document, **changes}


@attrs.frozen
class Response:
    """The response that a caller received.

    Attributes:
      status: The HTTP status; 0 when no response began.
      headers: The headers by name.
      body: The part of the body that arrived.
      is_complete: Whether the body arrived to its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class GatewayRig:
    """A store, runners and gateways; a context manager that runs them.

    Attributes:
      store: The stand-in of the metadata store.
      runners: The stand-ins of runners by their ids.
      gateways: The gateways.
      cuts: What cuts each of them off from upstreams.
      links: The link of each of them to the store, if its width is limited.
    """

    def __init__(
        self,
        gateway_count: int = 1,
        document: dict[str, Any] | None = None,
        addresses: dict[str, http_client.Address] | None = None,
        zones: Mapping[str, str] | None = None,
        zone_regions: Mapping[str, str] | None = None,
        crossing_ms_per_mb: float = 0.0,
        stop_ms: int = 8_000,
        link_bytes_per_s: float | None = None,
    ) -> None:
        """Prepares the rig; entering its context starts the parts.

        Args:
          gateway_count: The number of gateways to start.
          document: The configuration; one route of each kind by default.
          addresses: The addresses that the store lists for runners in place of
            their own, by their ids.
          zones: The availability zones of runners and gateways by their ids and
            host names; by default all gateways are in one, runners in none.
          zone_regions: The regions of zones.
          crossing_ms_per_mb: The price of leaving a zone.
          stop_ms: The time limit of a graceful shutdown.
          link_bytes_per_s: The width of the link of each gateway to the store;
            None for no limit.
        """
        self._stop_ms = stop_ms
        self._link_bytes_per_s = link_bytes_per_s
        self.store = metadata_store.MetadataStore()
        self.runners: dict[str, runner.Runner] = {}
        self.gateways: list[gateway.Gateway] = []
        self.cuts: list[upstream_cut.UpstreamCut] = []
        self.links: list[narrow_link.NarrowLink] = []
        self._gateway_count = gateway_count
        self._addresses = addresses or {}
        self._zones = zones or {}
        self._zone_regions = zone_regions or {}
        self._crossing_ms_per_mb = crossing_ms_per_mb
        self._document = document or make_document()
        self._stack = contextlib.AsyncExitStack()
        self._pool = http_client.ClientPool()
        self._request_count = 0
        self._caller_connections: list[http_client.ClientConnection] = []

    async def __aenter__(self) -> "GatewayRig":
        """Starts all parts, with two runners for each service."""
        await self._stack.enter_async_context(self._pool)
        await self._stack.enter_async_context(self.store)
        for runner_id, service in (
            ("l-1", "ledger"),
            ("l-2", "ledger"),
            ("m-1", "llm"),
            ("m-2", "llm"),
        ):
            await self.start_runner(runner_id, service)
        self.publish(self._document)
        await self._start_gateways(
            [f"huon-{n}" for n in range(1, self._gateway_count + 1)]
        )
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops all parts."""
        await self._stack.aclose()

    def publish(self, document: dict[str, Any]) -> None:
        """Publishes a configuration document as an operator does."""
        encoded = json.dumps(document).encode()
        self.store.write_record("keyed.op", "config", encoded)

    async def start_runner(
        self, runner_id: str, service: str, zone: str = "", cold_ms: int = 0
    ) -> runner.Runner:
        """Starts a runner and publishes its entry.

        Args:
          runner_id: The id of the runner.
          service: The name of its service.
          zone: Its availability zone.
          cold_ms: How long it is cold.
        """
        started = runner.Runner(runner_id, service)
        started.zone = zone
        started.turn_cold(cold_ms)
        await self._stack.enter_async_context(started)
        self.runners[runner_id] = started
        self.publish_runner(runner_id)
        return started

    def publish_runner(self, runner_id: str, state: str = "ready") -> None:
        """Writes a runner's entry with a state to the store."""
        self.publish_entry(runner_id, self.runners[runner_id].make_entry(state))

    def publish_entry(self, runner_id: str, entry: dict[str, Any]) -> None:
        """Writes an entry of a runner to the store."""
        if runner_id in self._addresses:
            entry["address"] = str(self._addresses[runner_id])
        entry["zone"] = self._zones.get(runner_id, entry["zone"])
        encoded = json.dumps(entry).encode()
        self.store.write_record("keyed.servers", runner_id, encoded)

    def remove_runner(self, runner_id: str) -> None:
        """Removes a runner's entry from the store."""
        self.store.write_record("keyed.servers", runner_id, None)

    def read_grant_row(self, host_name: str) -> prepaid.GrantRow | None:
        """Returns the newest row of the account's grant at a gateway."""
        topic = self.store.log.get_or_create_topic("keyed.grants")
        for record in topic.read_newest().records:
            decoded = grant_fold.decode_record(record.value or b"")
            if (
                isinstance(decoded, prepaid.GrantRow)
                and decoded.host == host_name
            ):
                return decoded
        return None

    def set_faults(self, id_prefix: str, **faults: Any) -> None:
        """Sets faults of all runners whose ids have a prefix."""
        for runner_id, found in self.runners.items():
            if runner_id.startswith(id_prefix):
                found.faults = attrs.evolve(found.faults, **faults)

    def list_runs(self, id_prefix: str = "") -> list[runner.RunnerRun]:
        """Returns the runs of all runners whose ids have a prefix."""
        return [
            run
            for runner_id, found in self.runners.items()
            if runner_id.startswith(id_prefix)
            for run in found.runs
        ]

    async def send_request(
        self,
        path: str,
        body: bytes = b"",
        gateway_number: int = 0,
        **headers: str,
    ) -> Response:
        """Sends a caller's request and returns its response.

        Args:
          path: The path and query.
          body: The body; without one the method is GET.
          gateway_number: The index of the gateway that receives it.
          **headers: Additional headers; underscores stand for hyphens.
        """
        self._request_count += 1
        all_headers = {
            "attempt-id": f"{self._request_count:016x}",
            "authorization": f"Bearer {KEY}",
            "deadline-ms": "2000",
        }
        for name, value in headers.items():
            all_headers[name.replace("_", "-")] = value
        listen = self.gateways[gateway_number].settings.listen
        connection = await self._pool.acquire(listen)
        assert isinstance(connection, http_client.ClientConnection)
        self._caller_connections.append(connection)
        await connection.send_request(
            "POST" if body else "GET",
            path,
            list(all_headers.items()),
            body,
            host="a.example",
        )
        response = await _read_response(connection)
        self._pool.release(connection)
        return response

    async def generate(
        self, path: str, prompt_tokens: int, output_tokens: int
    ) -> Response:
        """Sends a generation request and returns its response."""
        return await self.send_request(
            path,
            b"prompt",
            token_usage=f"{prompt_tokens},{output_tokens}",
            prompt_prefix=f"aa:{prompt_tokens}",
            model="m",
        )

    async def close_caller_connections(self) -> None:
        """Closes the connections of all callers."""
        for connection in self._caller_connections:
            connection.close()
        self._caller_connections.clear()

    def count_idle_connections(self) -> int:
        """Returns the number of callers' connections that are open and idle."""
        return self._pool.count_idle(self.gateways[0].settings.listen)

    async def start_gateway(self, host_name: str) -> None:
        """Starts a gateway and waits until it is ready."""
        await self._start_gateways((host_name,))

    async def _start_gateways(self, host_names: Sequence[str]) -> None:
        """Starts gateways together and waits until all are ready."""
        ports = find_free_ports(4 * len(host_names))
        added = [
            await self._add_gateway(host_name, ports[4 * index : 4 * index + 4])
            for index, host_name in enumerate(host_names)
        ]
        for subject in added:
            await self._stack.enter_async_context(subject)
        for subject in added:
            await self._wait_until_ready(subject)

    async def _add_gateway(
        self, host_name: str, ports: list[int]
    ) -> gateway.Gateway:
        """Adds a gateway with its connections; the caller starts it."""
        log_address = http_client.Address(_ADDRESS, self.store.port)
        limits = read_size.ReadLimits()
        if self._link_bytes_per_s is not None:
            link = await self._stack.enter_async_context(
                narrow_link.NarrowLink(log_address, self._link_bytes_per_s)
            )
            self.links.append(link)
            log_address = link.address
            limits = read_size.ReadLimits(self._link_bytes_per_s)
        addresses = [http_client.Address(_ADDRESS, port) for port in ports]
        zone = self._zones.get(host_name, "huon")
        settings = gateway_settings.GatewaySettings(
            host_name=host_name,
            zone=zone,
            listen=addresses[0],
            ready_listen=addresses[1],
            peer_listen=addresses[2],
            metrics_listen=addresses[3],
            log_address=log_address,
            read_limits=limits,
            fleet_key=b"fleet-key",
            # A gateway that has just started has no share of the slack.
            retry_ratio=10.0,
            region=self._zone_regions.get(zone, ""),
            zone_regions=self._zone_regions,
            crossing_ms_per_mb=self._crossing_ms_per_mb,
            stop_ms=self._stop_ms,
        )
        cut = upstream_cut.UpstreamCut(
            lambda port: (
                port in {found.port for found in self.runners.values()}
                or port in {found.port for found in self._addresses.values()}
            )
        )
        self.cuts.append(cut)
        pool = platform_main.make_pool(cut.open_stream)
        self._stack.push_async_exit(pool)
        added = gateway.Gateway(
            settings,
            platform_main.make_ports(pool, settings),
            pool,
        )
        self.gateways.append(added)
        return added

    async def _wait_until_ready(self, subject: gateway.Gateway) -> None:
        """Waits until a gateway reports that it is ready."""
        for _ in range(_READY_ATTEMPTS):
            if await self.is_ready(subject):
                return
            await asyncio.sleep(_READY_POLL_INTERVAL_S)
        host_name = subject.settings.host_name
        raise TimeoutError(f"{host_name} did not become ready")

    async def is_ready(self, subject: gateway.Gateway) -> bool:
        """Returns whether a gateway reports to balancers that it is ready."""
        fetched = await self._pool.fetch(
            subject.settings.ready_listen, "GET", "/v1/readyz", [], b"", 1_000
        )
        return isinstance(fetched, http_client.Fetched) and (
            fetched.status == 200
        )


async def _read_response(connection: http_client.ClientConnection) -> Response:
    """Reads a response to its end or until the connection breaks."""
    head = await connection.read_head()
    if isinstance(head, http_client.ExchangeBroken):
        return Response(0, {}, b"", False)
    body = b""
    while True:
        match await connection.read_chunk():
            case http_client.BodyChunk(chunk):
                body += chunk
            case http_client.BodyEnd():
                return Response(head.status, head.headers, body, True)
            case http_client.ExchangeBroken():
                return Response(head.status, head.headers, body, False)


def find_free_ports(count: int) -> list[int]:
    """Returns ports that are free on loopback."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for found in sockets:
            found.bind((_ADDRESS, 0))
        return [found.getsockname()[1] for found in sockets]
