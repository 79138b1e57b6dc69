"""Assembles and runs the router process of an entry host.

A graceful shutdown reverses the order of the start: the router reports not
ready, waits until the balancer has reacted, and lets open requests finish
(`Router.stop`). Closing the context then returns tokens to their budgets, hands
over the ledger shards, and closes the links last.
"""

import asyncio
import contextlib
import logging
import random
import secrets
import signal
from types import TracebackType

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.connection import resource_quota
from redwingchute.connection import server_limits
from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import requesting
from redwingchute.core import spending
from redwingchute.core import status
from redwingchute.process import admin_api
from redwingchute.process import admin_endpoints
from redwingchute.process import background_tasks
from redwingchute.process import command_executor
from redwingchute.process import configuration_follower
from redwingchute.process import host_list_reader
from redwingchute.process import incarnations
from redwingchute.process import membership_service
from redwingchute.process import operator_adapters
from redwingchute.process import owner_directory
from redwingchute.process import peer_network
from redwingchute.process import process_limits
from redwingchute.process import reserve_assignment
from redwingchute.process import settings as settings_lib
from redwingchute.process import steady_clock
from redwingchute.process import telemetry
from redwingchute.process.ledger import ledger_client
from redwingchute.process.ledger import log_client
from redwingchute.process.ledger import owner
from redwingchute.process.ledger import owner_service
from redwingchute.process.ledger import placement
from redwingchute.request import caller_endpoint
from redwingchute.request import context
from redwingchute.request import dispatcher
from redwingchute.request import load_poller
from redwingchute.wire import registry

_LOG = logging.getLogger(__name__)
_MS_PER_S = 1_000
_STOP_POLL_S = 0.05
_DEAD_CHECK_S = 1.0
_TRANSFER_TIMEOUT_MS = 500


_CLOCK = steady_clock.SteadyClock()


def read_clock_ms() -> int:
    """Returns the milliseconds since the Unix epoch, unaffected by clock steps.

    See `steady_clock`.
    """
    return _CLOCK.read_ms()


# The commands and configurations that the administration address holds.
_ADMIN_REQUEST_BYTES = 8 * 1024 * 1024


def _log_client_limit(resource: str, limit: int) -> None:
    """Logs that what is held for clients reaches a limit."""
    _LOG.warning(
        "A limit of what is held for clients is reached",
        extra={"resource": resource, "limit": limit},
    )


class Router:
    """One router process; an async context manager that owns its components.

    Attributes:
      settings: The validated settings.
      network: The links to other routers.
      dispatcher: The upstream pools and the requests that wait for them.
      owners: The ledger shards that this router owns.
      follower: Follows the configuration stream. Exists, like all attributes
        below, once the context is entered.
      members: The membership view.
      ledger: Charges requests to budgets.
      caller_server: The server that callers connect to.
      admin_server: The server of health, metrics and the administration API.
    """

    def __init__(self, settings: settings_lib.RouterSettings) -> None:
        """Builds the components; servers listen once the context is entered.

        Args:
          settings: The validated settings.
        """
        self.settings = settings
        self._codec = registry.make_codec()
        self._metrics = telemetry.Metrics(settings.host_name, settings.zone)
        limits = process_limits.size_limits(
            settings.memory_mb, settings.max_descriptors
        )
        self._max_handshakes = limits.internal_connections
        self._caller_quota = resource_quota.ResourceQuota(
            resource_quota.QuotaLimits(
                limits.caller_connections, limits.request_bytes
            ),
            _log_client_limit,
        )
        self._admin_quota = resource_quota.ResourceQuota(
            resource_quota.QuotaLimits(
                limits.internal_connections, _ADMIN_REQUEST_BYTES
            )
        )
        self._metrics.observe_quotas(
            {"callers": self._caller_quota, "admin": self._admin_quota}
        )
        self._pool = http_client.ClientPool()
        self._pool.max_connections = limits.upstream_connections
        self._pool.buffered_bodies.limit_bytes = limits.response_bytes
        self._pool.buffered_bodies.make_room = self._caller_quota.evict_unread
        self._log = log_client.LogClient(self._pool, settings.platform)
        self._incarnation = incarnations.make_process_incarnation(
            secrets.randbits
        )
        self._is_stopping = False
        self._budgets: dict[str, configuration.Budget] = {}
        self._tasks = background_tasks.BackgroundTasks()
        self._exit_stack = contextlib.AsyncExitStack()
        self.network = self._make_network()
        self.dispatcher = self._make_dispatcher()
        self.owners = self._make_owner_service()

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
            self._codec,
            self._metrics,
            read_clock_ms,
            self.settings.peer_advertise,
            self._max_handshakes,
        )

    def _make_owner_service(self) -> owner_service.OwnerService:
        """Returns the service that runs the ledger shards owned here."""
        policy = placement.PlacementPolicy(self._find_budget)
        return owner_service.OwnerService(
            self._incarnation,
            self.settings.host_name,
            self._log,
            self._codec,
            read_clock_ms,
            owner.OwnerPolicy(shard_count=self.settings.shards),
            policy.size_grant,
            policy.choose_recalls,
            self._send_recall,
        )

    def _make_follower(self) -> configuration_follower.ConfigurationFollower:
        """Returns the follower of the configuration stream."""
        return configuration_follower.ConfigurationFollower(
            self.network.own_host,
            self._log,
            self.network,
            self._codec,
            read_clock_ms,
            random.Random(self._incarnation + 2),
            self._handle_new_configuration,
        )

    def _find_budget(self, name: str) -> configuration.Budget | None:
        """Returns a budget's policy in the configuration in force."""
        return self._budgets.get(name)

    def _send_recall(self, host_name: str, recall: data.Recall) -> None:
        """Asks a holder to return tokens to their budget."""
        if host_name == self.settings.host_name:
            self.ledger.handle_recall(recall)
        else:
            self.network.send(host_name, recall)

    def _make_dispatcher(self) -> dispatcher.Dispatcher:
        """Returns the dispatcher of requests."""
        return dispatcher.Dispatcher(
            dispatcher.DispatcherDependencies(
                self.settings.host_name,
                self.settings.zone,
                self._incarnation,
                read_clock_ms,
                random.Random(self._incarnation),
                self._broadcast,
            )
        )

    async def __aenter__(self) -> "Router":
        """Starts all components in the order of their dependencies."""
        enter = self._exit_stack.enter_async_context
        await enter(self._pool)
        await enter(self.network)
        self.follower = self._make_follower()
        self.members = membership_service.MembershipService(
            self.network,
            random.Random(self._incarnation),
            read_clock_ms,
            self._handle_view_change,
        )
        self._directory = owner_directory.OwnerDirectory(
            self.network, lambda: self.members.view.list_live()
        )
        await enter(self.owners)
        holder_incarnations = incarnations.HolderIncarnations(self._incarnation)
        self.ledger = await enter(
            ledger_client.LedgerClient(
                self.settings.host_name,
                self.settings.shards,
                self._directory.call,
                read_clock_ms,
                holder_incarnations.make_incarnation,
                self._send_to_siblings,
                self._request_transfers,
            )
        )
        self._register_handlers()
        for peer in self.settings.peers:
            self.members.add_seed_host(peer)
        self._handle_view_change()
        self._tasks.spawn(self.members.run())
        self._tasks.spawn(self.follower.run())
        self._tasks.spawn(self._report_dead_incarnations())
        self._spawn_upstream_watchers()
        self.caller_server = await enter(self._make_caller_server())
        self.admin_server = await enter(self._make_admin_server())
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

    async def stop(self) -> None:
        """Begins a graceful shutdown; the context must be closed afterwards.

        Reports not ready, waits `balancer_lag_ms`, and then drains open
        requests for up to `stop_ms`.
        """
        _LOG.info("graceful shutdown begins; reporting not ready")
        self._is_stopping = True
        self.members.begin_leaving()
        await asyncio.sleep(self.settings.balancer_lag_ms / _MS_PER_S)
        self.caller_server.begin_drain()
        deadline_ms = read_clock_ms() + self.settings.stop_ms
        while (
            self.caller_server.open_exchanges and read_clock_ms() < deadline_ms
        ):
            await asyncio.sleep(_STOP_POLL_S)
        self.caller_server.close_idle_connections()

    def explain_not_ready(self) -> str | None:
        """Returns why this router is not ready, or None if it is ready."""
        if self._is_stopping:
            return "stopping"
        if not self.members.is_settled():
            return "waiting for heartbeats from other routers"
        return self.follower.explain_not_ready()

    def _make_caller_server(self) -> http_server.HttpServer:
        """Returns the server that callers connect to."""
        request_context = context.RequestContext(
            self.ledger,
            self._pool,
            self.dispatcher,
            self._metrics,
            read_clock_ms,
            secrets.token_bytes,
        )
        limits = server_limits.ServerLimits(
            self.settings.max_header_bytes,
            self.settings.max_body_bytes,
            self.settings.idle_ms,
            self.settings.receive_ms,
        )
        endpoint = caller_endpoint.CallerEndpoint(
            request_context, self.follower.find_current
        )
        listen = self.settings.listen
        return http_server.HttpServer(
            endpoint.handle,
            listen.ip,
            listen.port,
            limits,
            self._caller_quota,
            bodies=self._pool.buffered_bodies,
        )

    def _make_admin_server(self) -> http_server.HttpServer:
        """Returns the server of health, metrics and administration."""
        executor = command_executor.CommandExecutor(
            self.follower,
            operator_adapters.ShardLedger(
                self._directory, self.network.own_host, self.settings.shards
            ),
            operator_adapters.FleetStatus(
                self.members, self.network, self._report_status
            ),
            operator_adapters.DispatcherQuarantine(self.dispatcher),
            read_clock_ms,
            secrets.token_bytes,
        )
        api = admin_api.AdminApi(
            executor,
            self.follower.find_current,
            read_clock_ms,
            lambda code: self._metrics.admin_refusals.add(1, {"code": code}),
        )
        endpoints = admin_endpoints.AdminEndpoints(
            self._metrics, self.explain_not_ready, api.handle
        )
        listen = self.settings.admin_listen
        return http_server.HttpServer(
            endpoints.handle,
            listen.ip,
            listen.port,
            quota=self._admin_quota,
        )

    def _register_handlers(self) -> None:
        """Registers the handlers of messages from other routers."""
        register = self.network.register_handler
        register(data.LedgerCall, self.owners.handle_call)
        register(data.BalanceQuery, self.owners.handle_balance_query)
        register(data.Recall, self._handle_recall)
        register(spending.HoldBills, self._handle_hold_bills)
        register(spending.ForgetBills, self._handle_forget_bills)
        register(spending.TransferRequest, self._handle_transfer_request)

        for notice in (
            requesting.CrashNotice,
            requesting.QuarantineNotice,
            requesting.LeavingNotice,
        ):
            register(notice, self._handle_notice)

    async def _handle_notice(
        self, peer: data.Host, notice: dispatcher.Notice
    ) -> None:
        """Handles a notice about a request or an upstream."""
        del peer
        self.dispatcher.handle_notice(notice)

    def _broadcast(self, notice: dispatcher.Notice) -> None:
        """Sends a notice to all other reachable routers."""
        for host in self.members.view.list_reachable():
            if host.name != self.settings.host_name:
                self.network.send(host.name, notice)

    def _spawn_upstream_watchers(self) -> None:
        """Starts the tasks that follow the state of the upstreams."""
        poller = load_poller.LoadPoller(
            self.dispatcher, self._pool, random.Random(self._incarnation + 1)
        )
        hosts = host_list_reader.HostListReader(
            self._pool,
            self.settings.platform,
            self.dispatcher.handle_host_state,
        )
        self._tasks.spawn(self.dispatcher.run())
        self._tasks.spawn(poller.run())
        self._tasks.spawn(hosts.run())

    async def _handle_recall(
        self, peer: data.Host, recall: data.Recall
    ) -> None:
        """Returns tokens that the owner of a ledger shard recalls."""
        del peer
        self.ledger.handle_recall(recall)

    async def _handle_hold_bills(
        self, peer: data.Host, request: spending.HoldBills
    ) -> spending.BillsHeld:
        """Stores copies of a sibling's bills."""
        del peer
        return self.ledger.handle_hold_bills(request)

    async def _handle_forget_bills(
        self, peer: data.Host, request: spending.ForgetBills
    ) -> None:
        """Removes copies of bills that are in the log."""
        del peer
        self.ledger.handle_forget_bills(request)

    async def _handle_transfer_request(
        self, peer: data.Host, request: spending.TransferRequest
    ) -> spending.TransferReply:
        """Transfers reserve to a sibling that lacks it."""
        del peer
        return self.ledger.handle_transfer_request(request)

    def _list_siblings(self) -> tuple[data.Host, ...]:
        """Returns the other reachable routers of this availability zone."""
        return tuple(
            host
            for host in self.members.view.list_reachable()
            if host.zone == self.settings.zone
            and host.name != self.settings.host_name
        )

    def _send_to_siblings(
        self, record: spending.HoldBills | spending.ForgetBills
    ) -> None:
        """Sends a record to the siblings, best effort."""
        for host in self._list_siblings():
            self.network.send(host.name, record)

    async def _request_transfers(
        self, request: spending.TransferRequest
    ) -> tuple[spending.TransferReply, ...]:
        """Requests reserve from the siblings and returns the replies."""
        replies = await asyncio.gather(
            *(
                self.network.call(host.name, request, _TRANSFER_TIMEOUT_MS)
                for host in self._list_siblings()
            )
        )
        return tuple(
            reply
            for reply in replies
            if isinstance(reply, spending.TransferReply)
        )

    def _report_status(self, query: status.StatusQuery) -> status.StatusReport:
        """Returns this router's own status."""
        current = self.follower.find_current()
        return status.StatusReport(
            self.settings.host_name,
            self.settings.zone,
            0 if current is None else current.version,
            self.follower.find_confirmed_ms(),
            read_clock_ms(),
            running=(
                self.dispatcher.list_running() if query.wants_running else ()
            ),
            upstreams=(
                self.dispatcher.list_upstreams()
                if query.wants_upstreams
                else ()
            ),
        )

    def _register_reserves(self) -> None:
        """Registers the budgets whose reserve is assigned to this router.

        Does nothing until the membership view is settled: before that the
        shard owners are unknown, so calls would fail and the ledger client
        would treat the owners as unreachable.
        """
        if not self.members.is_settled():
            return
        own_name = self.settings.host_name
        names = [host.name for host in self._list_siblings()] + [own_name]
        assigned = reserve_assignment.list_assigned_buckets(own_name, names)
        for budget in self._budgets:
            if reserve_assignment.find_bucket(budget) in assigned:
                self.ledger.register_budget(budget)

    def _handle_view_change(self) -> None:
        """Applies a changed membership view to the other components."""
        live = self.members.view.list_live()
        if self.members.is_settled():
            self.owners.set_live_hosts(live)
        self.follower.set_view(self.members.view.neighbours, live)
        self._register_reserves()
        self._configure_dispatcher()

    def _configure_dispatcher(self) -> None:
        """Passes the configuration and the fleet size to the dispatcher."""
        current = self.follower.find_current()
        if current is not None:
            router_count = len(self.members.view.list_live())
            self.dispatcher.configure(current, max(1, router_count))

    def _handle_new_configuration(self) -> None:
        """Applies a configuration version that has come into force."""
        current = self.follower.find_current()
        if current is None:
            return
        _LOG.info(
            "configuration version in force",
            extra={"version": current.version},
        )
        self._configure_dispatcher()
        self._budgets = {budget.name: budget for budget in current.budgets}
        self._register_reserves()

    async def _report_dead_incarnations(self) -> None:
        """Reports incarnations declared dead by membership to the owners."""
        reported: set[data.Incarnation] = set()
        while True:
            for dead in self.members.view.list_dead(read_clock_ms()):
                if dead not in reported:
                    reported.add(dead)
                    self.owners.declare_dead(dead)
            await asyncio.sleep(_DEAD_CHECK_S)


def run_router(settings: settings_lib.RouterSettings) -> int:
    """Runs a router until SIGTERM or SIGINT; returns the exit status."""
    telemetry.set_up_logging(
        settings.log_level, settings.host_name, settings.zone
    )
    return asyncio.run(_run(settings))


async def _run(settings: settings_lib.RouterSettings) -> int:
    """Serves until a signal arrives, then shuts down gracefully."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with Router(settings) as router:
        print(
            f"listening on {settings.listen.ip}:{router.caller_server.port} "
            f"admin={settings.admin_listen.ip}:{router.admin_server.port} "
            f"peers={router.network.own_host.peer_address}",
            flush=True,
        )
        await stopped.wait()
        await router.stop()
    _LOG.info("graceful shutdown is complete")
    return 0
