"""Assembles the router process for hosts that forward requests by route.

Everything platform-specific is injected through `GatewayPorts`: the shared
log, the translation of headers, and the decoders of the configuration and of
upstream entries. The gateway follows the configuration and upstream topics,
keeps this router's grants, holds links to the other routers and serves callers.
"""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import secrets
import time
from types import TracebackType
from typing import TypeAlias

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.connection import resource_quota
from redwingchute.connection import server_limits
from redwingchute.core import data
from redwingchute.core import evacuation
from redwingchute.core import forwarding
from redwingchute.core import prepaid
from redwingchute.core import rate_limiting
from redwingchute.core import requesting
from redwingchute.core import streams
from redwingchute.process import background_tasks
from redwingchute.process import crash_journal
from redwingchute.process import decision_log
from redwingchute.process import entry_order
from redwingchute.process import era_log
from redwingchute.process import gateway_settings
from redwingchute.process import host_registry
from redwingchute.process import hub_choice
from redwingchute.process import keyed_follower
from redwingchute.process import limiter_choice
from redwingchute.process import notice_relay
from redwingchute.process import operator_records
from redwingchute.process import origin_exchange
from redwingchute.process import part_supervisor
from redwingchute.process import peer_network
from redwingchute.process import permit_exchange
from redwingchute.process import process_limits
from redwingchute.process import retry_budget
from redwingchute.process import shared_log
from redwingchute.process import telemetry
from redwingchute.process import timed_log
from redwingchute.process import tunnel_server
from redwingchute.process import version_marks
from redwingchute.process.prepaid import charging
from redwingchute.process.prepaid import grant_manager
from redwingchute.request import cold_upstreams
from redwingchute.request import crash_evidence
from redwingchute.request import forwarding_handler
from redwingchute.request import header_translator
from redwingchute.request import home_regions
from redwingchute.request import load_exchange
from redwingchute.request import suspect_tracker
from redwingchute.request import upstream_connector
from redwingchute.request import upstream_directory
from redwingchute.request import upstream_entry_log
from redwingchute.request import upstream_paths
from redwingchute.request import upstream_statements
from redwingchute.wire import registry

# The entry of an upstream that leaves must be read while the upstream still
# accepts requests, also if one read gets no response: entries are read this
# many times as often.
_UPSTREAM_READS_PER_DRAIN = 4
# The balancer removes a host after two failed readiness checks 1 s apart.
_BALANCER_LAG_S = 2.2
# How long a new process waits for its grants before it reports ready.
_GRANT_WAIT_MS = 3_000
# The last part of the graceful shutdown, reserved for returning the grants.
_RETURN_GRANTS_S = 0.8
# The process exits this long before the platform would kill it.
_STOP_MARGIN_MS = 250
# A connection idle for this long is assumed to have no request in transit.
_STOP_IDLE_S = 0.3
_STOP_POLL_S = 0.05
# How often to check whether a load notice is due: at hubs, and at the other
# routers, which send fewer.
_HUB_LOAD_CHECK_S = 0.05
_LOAD_CHECK_S = 0.2
# How long the upstreams take to write again what the log lost when it returned
# from an earlier copy.
_REWRITE_MS = 2_000
# How long a router that shuts down waits for its entry in the list of hosts.
_LEAVE_TIMEOUT_S = 0.3
# How long it waits until callers are answered whose requests it ends, and then
# for its last append; both within `_STOP_MARGIN_MS`.
_ANSWER_S = 0.05
_ANSWER_POLL_S = 0.005
_RECORD_END_S = 0.15
# The heads that each internal address holds.
_INTERNAL_REQUEST_BYTES = 1024 * 1024


_RelayedNotice: TypeAlias = (
    requesting.CrashReport
    | requesting.LeavingNotice
    | rate_limiting.LimitNotice
    | rate_limiting.ColdNotice
    | evacuation.EvacuationNotice
)


@attrs.frozen
class GatewayPorts:
    """The interfaces through which the gateway uses the platform.

    Attributes:
      log: The shared log.
      translator: Translates between HTTP headers and records.
      operator_topic: The topic that the operator writes.
      upstream_topic: The topic that holds the upstream entries, by upstream id.
      decode_upstream: Decodes an upstream entry; returns None if it is invalid.
      ready_path: The path of the balancer's readiness check.
    """

    log: shared_log.SharedLog
    translator: header_translator.HeaderTranslator
    operator_topic: operator_records.OperatorTopic
    upstream_topic: str
    decode_upstream: Callable[[str, bytes], forwarding.Upstream | None]
    ready_path: str


def read_boot_ms() -> int:
    """Returns the milliseconds since boot, including suspended time."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_wall_ms() -> int:
    """Returns the wall-clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


class Gateway:
    """One router process; an async context manager that owns its components.

    Attributes:
      settings: The validated settings.
      network: The links to other routers.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        ports: GatewayPorts,
        pool: http_client.ClientPool,
    ) -> None:
        """Builds the components; servers listen once the context is entered.

        Args:
          settings: The validated settings.
          ports: The interfaces to the platform.
          pool: The connections to upstreams and to the platform.
        """
        self.settings = settings
        self._limits = process_limits.size_limits(
            settings.memory_mb, settings.max_descriptors
        )
        self._ports = ports
        self._pool = pool
        # 0 stands for an unknown incarnation.
        self._incarnation = secrets.randbits(47) or 1
        self._metrics = telemetry.Metrics(settings.host_name, settings.zone)
        self._metrics.observe_events(decision_log.read_counts)
        self._log = era_log.EraLog(
            timed_log.TimedLog(
                ports.log,
                read_boot_ms,
                self._record_log_call,
                self._record_log_bytes,
            )
        )
        self._upstream_directory = upstream_directory.UpstreamDirectory(
            settings.zone,
            settings.host_name,
            settings.drain_ms,
            read_boot_ms,
            cold_upstreams.ColdUpstreams(
                read_boot_ms,
                read_wall_ms,
                lambda notice: self._relay.broadcast(notice),
            ),
            settings.crossing_ms_per_mb,
        )
        self._metrics.observe_crossings(
            lambda: self._upstream_directory.crossings.counts
        )
        self._regions = home_regions.RegionMap(
            settings.zone, settings.region, settings.zone_regions
        )
        self._is_stopping = False
        self._stop_deadline_ms = 0
        self._started_ms = read_boot_ms()
        self._retry_budget = retry_budget.RetryBudget(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_ms,
            lambda: self._registry.find_registration(),
        )
        self._tasks = background_tasks.BackgroundTasks()
        self._parts = part_supervisor.PartSupervisor(self._tasks, read_boot_ms)
        self._exit_stack = contextlib.AsyncExitStack()
        self.network = self._make_network()
        self._registry = self._make_registry()
        self._paths = upstream_paths.UpstreamPaths(
            settings.host_name, settings.zone
        )
        self._connector = upstream_connector.UpstreamConnector(
            pool, self._paths, self.network, read_boot_ms
        )
        self._tunnels = tunnel_server.TunnelServer(
            self._open_for_peer, lambda: self._is_stopping
        )
        self.network.set_tunnel_handler(self._tunnels.handle)
        self._hub_view = hub_choice.choose_hubs(self._registry.own_host, ())
        self._relay = notice_relay.NoticeRelay[_RelayedNotice](
            lambda: self._hub_view,
            lambda: self._upstream_directory.reporters,
            self.network.send_to_all,
            _make_notice_id,
        )
        self._limiter_choice = limiter_choice.LimiterChoice(
            settings.host_name, lambda: self._registry.find_registration()
        )
        self._operator = operator_records.OperatorRecords(
            self._log,
            ports.operator_topic,
            settings.configuration_fresh_ms,
            read_boot_ms,
            self._handle_table,
            self._upstream_directory.close_zones,
            self._relay.broadcast,
        )
        self._permits = permit_exchange.PermitExchange(
            self.network,
            self._limiter_choice,
            self._upstream_directory.limits,
            self._upstream_directory.cold,
            read_boot_ms,
        )
        self._origins = origin_exchange.OriginExchange(
            self.network,
            lambda: self._registry.list_hosts(),
            self._upstream_directory,
            self._has_fresh_upstreams,
            self._confirm_upstreams,
            read_boot_ms,
            read_wall_ms,
            lambda: self._hub_view.order_hubs(settings.host_name),
        )
        self._crash_report_numbers = itertools.count(1)
        self._suspects = suspect_tracker.SuspectTracker(
            crash_evidence.CrashEvidence(
                settings.host_name,
                lambda: [host.name for host in self._registry.list_hosts()],
            ),
            self._share_observations,
            lambda observations: self._crash_journal.add(observations),
            read_boot_ms,
            f"{settings.host_name}/{self._incarnation:x}",
        )
        self._crash_journal = crash_journal.CrashJournal(
            self._log,
            settings.host_name,
            self._incarnation,
            read_boot_ms,
            read_wall_ms,
            lambda observations: self._suspects.handle_observations(
                "log", observations
            ),
        )
        self._grant_manager = self._make_grant_manager()
        self._metrics.observe_members(
            "cold_upstreams",
            "upstream",
            self._upstream_directory.cold.list_cold,
        )
        self._metrics.observe_members(
            "evacuated_zones",
            "evacuated_zone",
            self._operator.evacuations.list_zones,
        )
        self._metrics.observe_grants(self._grant_manager.measure_grants)
        self._charger = charging.Charger(
            self._grant_manager,
            self.network,
            lambda: self._hub_view,
            self._operator.list_prepaid_tokens,
            read_boot_ms,
            self._incarnation,
        )
        self._entry_order = entry_order.EntryOrder(read_boot_ms)
        self._upstream_follower = keyed_follower.KeyedFollower(
            self._log,
            ports.upstream_topic,
            keyed_follower.PollTiming(
                0, settings.drain_ms // _UPSTREAM_READS_PER_DRAIN
            ),
            read_boot_ms,
            self._handle_upstream,
            self._upstream_directory.keep_only,
            _REWRITE_MS,
            handle_gap=self._upstream_directory.begin_history,
        )
        self._version_marks = version_marks.VersionMarks(
            self._log,
            settings.host_name,
            ports.upstream_topic,
            self._upstream_follower,
            self._upstream_directory,
            self._origins.routes,
            ports.decode_upstream,
            self._is_hub,
            read_boot_ms,
        )
        self._registry.set_extension(self._version_marks)
        self._forwarding = self._make_forwarding_handler()
        self._caller_quota = resource_quota.ResourceQuota(
            resource_quota.QuotaLimits(
                self._limits.caller_connections, self._limits.request_bytes
            ),
            _log_client_limit,
        )
        internal = resource_quota.QuotaLimits(
            self._limits.internal_connections, _INTERNAL_REQUEST_BYTES
        )
        self._ready_quota = resource_quota.ResourceQuota(internal)
        self._metrics_quota = resource_quota.ResourceQuota(internal)
        self._metrics.observe_quotas(
            {
                "callers": self._caller_quota,
                "readiness": self._ready_quota,
                "metrics": self._metrics_quota,
            }
        )
        self._caller_server = http_server.HttpServer(
            self._forwarding.handle,
            settings.listen.ip,
            settings.listen.port,
            quota=self._caller_quota,
            check_head=self._forwarding.check_head,
            bodies=pool.buffered_bodies,
        )
        pool.max_connections = self._limits.upstream_connections
        pool.buffered_bodies.limit_bytes = self._limits.response_bytes
        pool.buffered_bodies.make_room = self._caller_quota.evict_unread

    def _make_network(self) -> peer_network.PeerNetwork:
        """Returns the network of links to other routers."""
        return peer_network.PeerNetwork(
            data.Host(
                self.settings.host_name,
                self.settings.zone,
                str(self.settings.peer_listen),
                self._incarnation,
            ),
            self.settings.fleet_key,
            registry.make_codec(),
            self._metrics,
            read_boot_ms,
            max_handshakes=self._limits.internal_connections,
        )

    def _make_registry(self) -> host_registry.HostRegistry:
        """Returns the registry of the fleet's hosts."""
        return host_registry.HostRegistry(
            self._log,
            host_registry.RegisteredHost(
                self.settings.host_name,
                self.settings.zone,
                str(self.settings.peer_listen),
                self.settings.processor_share,
            ),
            self._incarnation,
            read_boot_ms,
            self._handle_hosts_changed,
        )

    def _make_grant_manager(self) -> grant_manager.GrantManager:
        """Returns the manager of this router's grants."""
        stamp = prepaid.HostStamp(
            host=self.settings.host_name,
            zone=self.settings.zone,
            peer_address=str(self.settings.peer_listen),
            epoch=0,
            boot_ms=0,
            wall_ms=0,
        )
        return grant_manager.GrantManager(
            self._log,
            stamp,
            grant_manager.Clocks(read_boot_ms, read_wall_ms),
            self._operator.list_prepaid_tokens,
            self._is_hub,
            is_fresh=self._operator.is_fresh,
        )

    def _is_hub(self) -> bool:
        """Returns whether this router is known to be a hub."""
        return self._registry.has_settled and self._hub_view.is_hub

    def _make_forwarding_handler(
        self,
    ) -> forwarding_handler.ForwardingHandler:
        """Returns the handler of callers' requests."""
        return forwarding_handler.ForwardingHandler(
            forwarding_handler.ForwardingDependencies(
                connector=self._connector,
                translator=self._ports.translator,
                directory=self._upstream_directory,
                charger=self._charger,
                find_index=lambda: self._operator.index,
                is_fresh=self._operator.is_fresh,
                find_allowance=self._retry_budget.find_allowance,
                suspects=self._suspects,
                statements=upstream_statements.UpstreamStatements(
                    self._upstream_directory,
                    self._pool,
                    self._relay.broadcast,
                    read_boot_ms,
                ),
                origins=self._origins,
                permits=self._permits,
                find_time_left_ms=self._find_time_left_ms,
                read_clock_ms=read_boot_ms,
                metrics=telemetry.make_request_metrics(self._metrics),
                regions=self._regions,
                divides_room=self.settings.divides_room,
            )
        )

    async def __aenter__(self) -> "Gateway":
        """Starts all components, the caller server last."""
        enter = self._exit_stack.enter_async_context
        await enter(self._connector)
        await enter(self._tunnels)
        await enter(self.network)
        self.network.register_handler(
            prepaid.RemoteCharge, self._charger.handle_charge
        )
        self.network.register_handler(
            prepaid.RemoteSettlement, self._charger.handle_settlement
        )
        self.network.register_handler(
            requesting.CrashReport, self._handle_crash_report
        )
        self.network.register_handler(
            requesting.LeavingNotice, self._handle_leaving
        )
        self.network.register_handler(requesting.LoadNotice, self._handle_load)
        self.network.register_handler(
            rate_limiting.LimitNotice, self._handle_limit
        )
        self.network.register_handler(
            rate_limiting.ColdNotice, self._handle_cold
        )
        self.network.register_handler(
            evacuation.EvacuationNotice, self._handle_evacuation
        )
        self.network.register_handler(
            rate_limiting.PermitRequest, self._permits.handle_request
        )
        self.network.register_handler(
            rate_limiting.PermitReturn, self._permits.handle_return
        )
        self.network.register_handler(
            streams.OriginNotice, self._origins.handle_notice
        )
        self.network.register_handler(
            streams.OriginRequest, self._origins.handle_request
        )
        self._parts.start("configuration", self._operator.follower.run)
        self._parts.start("upstreams", self._upstream_follower.run)
        self._parts.start("hosts", self._registry.run)
        self._parts.start("version_marks", self._version_marks.run)
        self._parts.start("crash_journal", self._crash_journal.run)
        self._parts.start("grants", self._grant_manager.run)
        self._parts.start("load_notices", self._send_load_notices)
        await enter(
            self._make_internal_server(
                self.settings.ready_listen,
                self._answer_ready,
                self._ready_quota,
            )
        )
        await enter(
            self._make_internal_server(
                self.settings.metrics_listen,
                self._answer_metrics,
                self._metrics_quota,
            )
        )
        await enter(self._caller_server)
        decision_log.log_event(
            "started",
            incarnation=self._incarnation,
            boot_ms=read_boot_ms(),
            **attrs.asdict(self._limits),
        )
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes all components in the reverse order of their start."""
        await self._exit_stack.aclose()
        await self._tasks.cancel_and_wait()
        self._metrics.close()
        decision_log.log_event("stopped")

    async def stop(self) -> None:
        """Shuts down gracefully: drains requests and returns the grants.

        Ends when the balancer should have removed this host and neither a
        request nor a charge for another router is open, or else shortly before
        `stop_ms` has passed.
        """
        decision_log.log_event(
            "stop_begins", open_requests=self._caller_server.open_exchanges
        )
        self._is_stopping = True
        started_ms = read_boot_ms()
        self._stop_deadline_ms = (
            started_ms + self.settings.stop_ms - _STOP_MARGIN_MS
        )
        # Open connections close between requests. New ones may arrive until
        # the balancer has removed this host.
        self._caller_server.begin_drain()
        self._grant_manager.begin_drain()
        while read_boot_ms() < self._stop_deadline_ms - int(
            1000 * _RETURN_GRANTS_S
        ):
            self._caller_server.close_idle_connections(_STOP_IDLE_S)
            is_out_of_rotation = (
                read_boot_ms() > started_ms + 1000 * _BALANCER_LAG_S
            )
            if is_out_of_rotation and not self._has_open_work():
                break
            await asyncio.sleep(_STOP_POLL_S)
        self._caller_server.close_idle_connections()
        await asyncio.gather(
            self._grant_manager.stop(_RETURN_GRANTS_S),
            self._registry.leave(_LEAVE_TIMEOUT_S),
        )
        while self._has_open_work() and (
            read_boot_ms() < self._stop_deadline_ms
        ):
            await asyncio.sleep(_STOP_POLL_S)
        # A request that still arrives is refused: it could not end any more.
        self._stop_deadline_ms = read_boot_ms()
        self._forwarding.end_requests()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_ANSWER_S):
                while self._caller_server.open_exchanges:
                    await asyncio.sleep(_ANSWER_POLL_S)
        await self._grant_manager.record_end(_RECORD_END_S)

    def _has_open_work(self) -> bool:
        """Returns whether this process still has something to finish."""
        return bool(
            self._caller_server.open_exchanges
            or self._tunnels.open_count
            or self._charger.lent_count
        )

    async def _open_for_peer(
        self, start: forwarding.UpstreamStart
    ) -> http_client.ClientConnection | None:
        """Opens a connection to an upstream that a peer can't reach."""
        upstream = self._upstream_directory.find(start.id)
        if upstream is None or upstream.start != start:
            return None
        if self._upstream_directory.is_closed(upstream):
            return None
        return await self._connector.open_for_peer(upstream)

    def _find_time_left_ms(self) -> int | None:
        """Returns the time until the process exits; None if not stopping."""
        if not self._is_stopping:
            return None
        return max(0, self._stop_deadline_ms - read_boot_ms())

    def _make_internal_server(
        self,
        address: http_client.Address,
        handler: http_server.Handler,
        quota: resource_quota.ResourceQuota,
    ) -> http_server.HttpServer:
        """Returns a server for an internal endpoint, without bodies."""
        return http_server.HttpServer(
            handler,
            address.ip,
            address.port,
            server_limits.ServerLimits(body_bytes=0),
            quota,
        )

    async def _answer_ready(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers the balancer's readiness check."""
        if request.path != self._ports.ready_path:
            await responder.send(404, b"")
            return
        reason = self._explain_not_ready()
        if reason is None:
            await responder.send(200, b"{}")
            return
        await responder.send(503, b"{}")

    async def _answer_metrics(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers with all metrics as Prometheus text."""
        del request
        await self._metrics_quota.turns.wait_for_turn()
        await responder.send(200, self._metrics.render(), "text/plain")

    def _explain_not_ready(self) -> str | None:
        """Returns why this router is not ready, or None if it is ready."""
        if self._is_stopping:
            return "stopping"
        if self._operator.index is None:
            return "no configuration"
        if self._upstream_follower.position is None:
            return "no upstreams"
        failing = self._parts.find_failing()
        if failing is not None:
            return f"failing: {failing}"
        # Readiness waits for the hosts and the first grants, but no longer than
        # _GRANT_WAIT_MS: requests that cost no tokens can be served even while
        # the log is unavailable.
        if read_boot_ms() - self._started_ms < _GRANT_WAIT_MS:
            if not self._registry.has_settled:
                return "no hosts"
            if (
                self._is_hub()
                and self._operator.list_prepaid_tokens()
                and not self._grant_manager.has_appended_rows
            ):
                return "no grants"
        return None

    def _handle_table(self, table: forwarding.RouteTable) -> None:
        """Applies a configuration that comes into force."""
        self._origins.routes.record_table(table, read_boot_ms())
        self._upstream_directory.cold.set_services(table.services)
        limits = table.limits
        self._caller_server.set_limits(
            server_limits.ServerLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                idle_ms=limits.idle_ms,
                receive_ms=limits.receive_ms,
            )
        )
        self._regions.log_binding(table)

    def _handle_upstream(self, record: shared_log.KeyedRecord) -> None:
        """Applies a changed or removed upstream entry."""
        upstream = None
        if record.value is not None:
            upstream = self._ports.decode_upstream(record.key, record.value)
        known = self._upstream_directory.find(record.key)
        if (
            self._upstream_follower.is_settling
            and known is not None
            and upstream is not None
            and upstream.revision < known.revision
        ):
            # The upstream writes its newer entry again.
            return
        if upstream is not None and not self._entry_order.accept(upstream):
            decision_log.count_event("upstream_entry_late")
            return
        if upstream is None:
            self._upstream_directory.remove(record.key)
        else:
            self._upstream_directory.set_upstream(upstream)
            self._suspects.handle_entry(
                known, upstream, self._upstream_follower.confirmed_ms
            )
        if (
            known is None
            or upstream is None
            or (
                (known.service, known.version)
                != (upstream.service, upstream.version)
            )
        ):
            for entry in (known, upstream):
                if entry is not None:
                    self._origins.handle_upstreams_changed(entry.service)
        upstream_entry_log.log_change(record.key, known, upstream)

    async def _confirm_upstreams(self) -> bool:
        """Reads the entries of upstreams; returns whether none is missing."""
        follower = self._upstream_follower
        return await follower.confirm() and not follower.is_settling

    def _has_fresh_upstreams(self) -> bool:
        """Returns whether the entries of upstreams were read just now."""
        follower = self._upstream_follower
        if follower.failed_since_ms or follower.is_settling:
            return False
        return read_boot_ms() - follower.confirmed_ms < self.settings.drain_ms

    def _handle_hosts_changed(self) -> None:
        """Applies a change of the fleet's hosts."""
        self._hub_view = view = hub_choice.choose_hubs(
            self._registry.own_host, self._registry.list_hosts()
        )
        self._limiter_choice.record_hosts(
            self._registry.list_hosts(), read_boot_ms()
        )
        for host in self._registry.list_hosts():
            if host.name != self.settings.host_name:
                self.network.set_address(host.name, host.peer_address)
        self._paths.set_hosts(self._registry.list_hosts())
        self._upstream_directory.set_hub_role(
            load_exchange.HubRole(
                view.is_hub, view.order_hubs(self.settings.host_name)
            )
        )
        self._retry_budget.record_host_count(view.host_count, read_boot_ms())
        decision_log.log_event(
            "hosts_changed",
            hosts=view.host_count,
            hubs=len(view.zones),
            is_hub=view.is_hub,
        )

    async def _send_load_notices(self) -> None:
        """Sends load notices when they are due."""
        while True:
            is_hub = self._hub_view.is_hub
            await asyncio.sleep(_HUB_LOAD_CHECK_S if is_hub else _LOAD_CHECK_S)
            directory = self._upstream_directory
            for outgoing in directory.pop_due_notices(read_boot_ms()):
                self.network.send_to_all(outgoing.hosts, outgoing.notice)

    async def _handle_load(
        self, peer: data.Host, notice: requesting.LoadNotice
    ) -> None:
        """Handles the load notice of another router."""
        self._upstream_directory.handle_notice(
            peer.name, notice, read_boot_ms()
        )

    def _share_observations(
        self, observations: tuple[requesting.CrashObservation, ...]
    ) -> None:
        """Tells the other routers what this one observed."""
        number = next(self._crash_report_numbers)
        self._relay.broadcast(
            requesting.CrashReport(
                f"{self.settings.host_name}/{self._incarnation:x}/{number}",
                observations,
            )
        )

    async def _handle_crash_report(
        self, peer: data.Host, report: requesting.CrashReport
    ) -> None:
        """Applies what another router observed, and passes it on."""
        self._suspects.handle_observations(peer.name, report.observations)
        self._relay.handle_notice(peer.name, report)

    async def _handle_leaving(
        self, peer: data.Host, notice: requesting.LeavingNotice
    ) -> None:
        """Marks an upstream as leaving that another router heard from."""
        start = forwarding.UpstreamStart(notice.upstream, notice.born_ms)
        if self._upstream_directory.mark_leaving(start, read_boot_ms()):
            decision_log.log_event(
                "upstream_leaving", upstream=notice.upstream, source=peer.name
            )
        self._relay.handle_notice(peer.name, notice)

    async def _handle_limit(
        self, peer: data.Host, notice: rate_limiting.LimitNotice
    ) -> None:
        """Applies the limit of an upstream that another router heard of."""
        start = forwarding.UpstreamStart(notice.upstream, notice.born_ms)
        limits = self._upstream_directory.limits
        upstream = self._upstream_directory.find(notice.upstream)
        if upstream is not None:
            limits.record_brittle_service(
                upstream.service, notice.limit, read_boot_ms()
            )
        if limits.merge(start, notice.limit):
            upstream_statements.log_limit_change(
                notice.upstream, peer.name, limits.find(start)
            )
        self._relay.handle_notice(peer.name, notice)

    async def _handle_cold(
        self, peer: data.Host, notice: rate_limiting.ColdNotice
    ) -> None:
        """Applies what another router observed of a cold upstream."""
        self._upstream_directory.cold.handle_notice(peer.name, notice)
        self._relay.handle_notice(peer.name, notice)

    async def _handle_evacuation(
        self, peer: data.Host, notice: evacuation.EvacuationNotice
    ) -> None:
        """Applies what another router knows of an evacuated zone."""
        await self._operator.handle_notice(peer, notice)
        self._relay.handle_notice(peer.name, notice)

    def _record_log_call(self, call: str, result: str, elapsed_ms: int) -> None:
        """Records the duration of a call to the shared log."""
        self._metrics.log_call_ms.record(
            elapsed_ms, {"call": call, "result": result}
        )

    def _record_log_bytes(self, topic: str, is_used: bool, count: int) -> None:
        """Records what a read of the shared log has received."""
        self._metrics.log_bytes_received.add(
            count, {"topic": topic, "outcome": "used" if is_used else "lost"}
        )


def _log_client_limit(resource: str, limit: int) -> None:
    """Logs that what is held for clients reaches a limit."""
    decision_log.log_event(
        "client_limit_reached", resource=resource, limit=limit
    )


def _make_notice_id(
    notice: _RelayedNotice,
) -> str:
    """Returns what identifies a notice that routers pass on."""
    match notice:
        case requesting.CrashReport(report_id):
            return report_id
        case requesting.LeavingNotice():
            return f"{notice.upstream}/{notice.seen_at_ms}"
        case rate_limiting.LimitNotice(upstream, born_ms, limit):
            rates = f"{limit.requests_per_s}/{limit.rejections_per_s}"
            return f"{upstream}/{born_ms}/{limit.revision}/{rates}"
        case rate_limiting.ColdNotice(upstream, born_ms, sequence, cold_ms):
            return f"cold/{upstream}/{born_ms}/{sequence}/{bool(cold_ms)}"
        case evacuation.EvacuationNotice(zone, _, era, offset):
            return f"evacuation/{zone}/{era}/{offset}"
