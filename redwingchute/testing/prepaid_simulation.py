"""Simulated routers with prepaid grants, a shared log and links.

All run on a manual clock. Consumed tokens are counted outside the routers, so
that a test can compare them with the prepaid tokens. A request of a killed
router counts with its upper bound, because it may have run to its end. The log
may return from an earlier copy of itself, in a new era.
"""

import asyncio
from collections.abc import Coroutine
import contextvars
import copy
import enum
from typing import Any

import attrs

from redwingchute.core import data
from redwingchute.core import outcomes
from redwingchute.core import prepaid
from redwingchute.process import era_log
from redwingchute.process import hub_choice
from redwingchute.process import peer_network
from redwingchute.process import shared_log
from redwingchute.process.prepaid import charging
from redwingchute.process.prepaid import grant_manager
from redwingchute.standin import keyed_log
from redwingchute.testing import manual_loop

ACCOUNT = "yield"
_LOG_LATENCY_S = 0.004
_LOG_TIMEOUT_S = 1.5
_LINK_LATENCY_S = 0.001
# How late an append is carried out whose response is lost.
_DELAY_S = 2.0
_START_MS = 1_000_000_000


class AppendEffect(enum.Enum):
    """The effect of an append whose response is lost.

    Attributes:
      IMMEDIATE: It takes effect at once.
      DELAYED: It takes effect later, if its condition still holds.
      NEVER: It never takes effect.
    """

    IMMEDIATE = "immediate"
    DELAYED = "delayed"
    NEVER = "never"


@attrs.define
class _OpenRequest:
    """A request that holds tokens.

    Attributes:
      host: The host of the router that serves it.
      tokens: The upper bound of its cost.
    """

    host: str
    tokens: int


@attrs.define
class Router:
    """One simulated router.

    Attributes:
      process: The process that its tasks belong to.
      log: The shared log as the router reaches it.
      grants: Its prepaid grants.
      charger: Charges requests to grants, its own and those of other routers.
    """

    process: manual_loop.SimulatedProcess
    log: era_log.EraLog
    grants: grant_manager.GrantManager
    charger: charging.Charger


class PrepaidSimulation:
    """Simulated routers, log and links, and the actual consumption.

    Attributes:
      loop: The event loop of all routers.
      topic: The content of the shared log.
      routers: The running routers by host.
      incarnations: The number of router starts.
      prepaid_tokens: The tokens that the account has prepaid.
      consumed_tokens: The tokens that ended requests have consumed.
      open_requests: The requests that hold tokens, by number.
      results: The charge or refusal of each request, by number.
      cut_from_log: Hosts whose calls to the log get no response and have no
        effect.
      cut_links: Pairs of hosts that cannot reach each other.
      append_effect: The effect of appends whose responses are lost.
      wall_clock_offsets_ms: The offset of each host's wall clock from the true
        time.
      responses_to_lose: The number of next appends whose responses are lost.
      lost_appends: The effects of the next appends of a host, whose responses
        are lost.
      log_latency_s: The latency of the log each way.
      is_log_away: Whether the log refuses connections.
      hubs: The hosts whose routers are hubs.
      former_hubs: Hosts among `hubs` that know already that they are none.
    """

    def __init__(
        self,
        hosts: tuple[str, ...],
        prepaid_tokens: int,
        hubs: tuple[str, ...] = (),
    ) -> None:
        """Starts all routers.

        Args:
          hosts: The names of the hosts. The part before the first hyphen names
            the zone.
          prepaid_tokens: The tokens that the account has prepaid.
          hubs: The hosts whose routers are hubs; empty for all.
        """
        self.hubs = hubs or hosts
        self.former_hubs: set[str] = set()
        self.loop = manual_loop.ManualLoop()
        self.topic = keyed_log.KeyedTopic()
        self.prepaid_tokens = prepaid_tokens
        self.consumed_tokens = 0
        self.open_requests: dict[int, _OpenRequest] = {}
        self.results: dict[int, charging.Charge | outcomes.NotRun] = {}
        self.cut_from_log: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.append_effect = AppendEffect.IMMEDIATE
        self.responses_to_lose = 0
        self.lost_appends: dict[str, list[AppendEffect]] = {}
        self.log_latency_s = _LOG_LATENCY_S
        self.is_log_away = False
        self._copy = copy.deepcopy(self.topic)
        self.routers: dict[str, Router] = {}
        self.incarnations = 0
        self.wall_clock_offsets_ms: dict[str, int] = {}
        self._boot_clock_offsets_ms: dict[str, int] = {}
        self._request_count = 0
        for host in hosts:
            self.start(host)

    def close(self) -> None:
        """Cancels all tasks and closes the loop."""
        self.loop.is_cleaning_up = True
        self.loop.set_exception_handler(lambda _, __: None)
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks, timeout=60))
        self.loop.close()

    @property
    def now_ms(self) -> int:
        """The true time, in milliseconds."""
        return _START_MS + int(1000 * self.loop.time())

    @property
    def max_used_tokens(self) -> int:
        """The consumed tokens plus the upper bounds of open requests."""
        reserved = sum(
            request.tokens for request in self.open_requests.values()
        )
        return self.consumed_tokens + reserved

    def run_for(self, seconds: float) -> None:
        """Runs the routers for a duration on the manual clock."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def take_copy(self) -> None:
        """Takes a copy of the log."""
        self._copy = copy.deepcopy(self.topic)

    def return_from_copy(self, away_s: float = 0.0) -> None:
        """Replaces the log by the last copy, after a time without a log.

        Args:
          away_s: How long the log is away.
        """
        self.is_log_away = True
        if away_s:
            self.run_for(away_s)
        era = self.topic.era + 1
        self.topic = copy.deepcopy(self._copy)
        self.topic.era = era
        self.is_log_away = False

    def append_late(
        self,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at_offset: int | None,
    ) -> None:
        """Appends to what the log is now, unless it is away."""
        if not self.is_log_away:
            self.topic.append(records, stamp, at_offset)

    def lose_power(self, host: str) -> None:
        """Kills a router and restarts the boot clock of its host at 0."""
        self.kill(host)
        self._boot_clock_offsets_ms[host] = -self.now_ms

    def lose_all_power(self, seconds: float) -> None:
        """Has all hosts lose power, and starts their routers after a time."""
        hosts = tuple(self.routers)
        for host in hosts:
            self.lose_power(host)
        self.run_for(seconds)
        for host in hosts:
            self.start(host)

    def start(self, host: str) -> None:
        """Starts a router, or starts it again."""
        self.incarnations += 1
        process = manual_loop.SimulatedProcess(f"{host}#{self.incarnations}")

        def read_boot_ms() -> int:
            return self.now_ms + self._boot_clock_offsets_ms.get(host, 0)

        def find_hubs() -> hub_choice.HubView:
            return hub_choice.HubView(
                host,
                _find_zone(host),
                len(self.routers),
                {
                    hub: _find_zone(hub)
                    for hub in self.hubs
                    if hub != host or hub not in self.former_hubs
                },
            )

        def list_prepaid_tokens() -> dict[str, int]:
            return {ACCOUNT: self.prepaid_tokens}

        log = era_log.EraLog(SimulatedLog(self, host))
        grants = grant_manager.GrantManager(
            log,
            prepaid.HostStamp(host, _find_zone(host), host, 0, 0, 0),
            grant_manager.Clocks(
                read_boot_ms,
                lambda: self.now_ms + self.wall_clock_offsets_ms.get(host, 0),
            ),
            list_prepaid_tokens,
            lambda: find_hubs().is_hub,
        )
        charger = charging.Charger(
            grants,
            SimulatedLinks(self, host),
            find_hubs,
            list_prepaid_tokens,
            read_boot_ms,
            self.incarnations,
        )
        self.routers[host] = Router(process, log, grants, charger)
        self._spawn(process, grants.run())

    def stop(self, host: str, timeout_s: float = 0.8) -> None:
        """Stops a router, which returns its tokens, and kills it then."""
        router = self.routers[host]
        self._spawn(router.process, router.grants.stop(timeout_s))
        self.run_for(timeout_s)
        self.kill(host)

    def kill(self, host: str) -> None:
        """Kills a router; its open requests may have run to their end."""
        router = self.routers.pop(host, None)
        if router is None:
            return
        router.process.kill()
        for number, request in list(self.open_requests.items()):
            if request.host == host:
                del self.open_requests[number]
                self.consumed_tokens += request.tokens

    def send_request(
        self, host: str, tokens: int, spent_tokens: int, seconds: float = 0.5
    ) -> int:
        """Sends a request to a router and returns its number.

        Args:
          host: The host of the router.
          tokens: The upper bound of the cost.
          spent_tokens: The actual cost.
          seconds: The duration of the request once it is charged.
        """
        self._request_count += 1
        number = self._request_count
        router = self.routers.get(host)
        if router is not None:
            self._spawn(
                router.process,
                self._serve(host, number, tokens, spent_tokens, seconds),
            )
        return number

    def is_charged(self, number: int) -> bool:
        """Returns whether a request was charged."""
        return isinstance(self.results.get(number), charging.Charge)

    def _spawn(
        self,
        process: manual_loop.SimulatedProcess,
        coroutine: Coroutine[Any, Any, Any],
    ) -> None:
        """Starts a task of a process from outside the loop."""

        async def start() -> None:
            process.spawn(coroutine)

        self.loop.run_until_complete(start())

    async def _serve(
        self,
        host: str,
        number: int,
        tokens: int,
        spent_tokens: int,
        seconds: float,
    ) -> None:
        """Charges a request, waits for its duration and settles it."""
        charger = self.routers[host].charger
        result = await charger.admit(
            str(number), ACCOUNT, self.prepaid_tokens, tokens, 1_000, True
        )
        self.results[number] = result
        if isinstance(result, outcomes.NotRun):
            return
        self.open_requests[number] = _OpenRequest(host, tokens)
        await asyncio.sleep(seconds)
        del self.open_requests[number]
        self.consumed_tokens += spent_tokens
        charger.settle(result, spent_tokens)


def _find_zone(host: str) -> str:
    """Returns the zone of a host."""
    return host.partition("-")[0]


class SimulatedLog:
    """The shared log as one host reaches it."""

    def __init__(self, simulation: PrepaidSimulation, host: str) -> None:
        """Binds the log to its simulation and host."""
        self._simulation = simulation
        self._host = host

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        """Appends records; the response may be lost."""
        del topic
        simulation = self._simulation
        at_offset = None if at is None else at.offset
        await asyncio.sleep(simulation.log_latency_s)
        if simulation.is_log_away:
            return shared_log.LogUnavailable("connection refused")
        is_cut = self._host in simulation.cut_from_log
        own_effects = simulation.lost_appends.get(self._host)
        if simulation.responses_to_lose > 0 or is_cut or own_effects:
            append_effect = simulation.append_effect
            if is_cut:
                append_effect = AppendEffect.NEVER
            elif own_effects:
                append_effect = own_effects.pop(0)
            else:
                simulation.responses_to_lose -= 1
            if append_effect is AppendEffect.IMMEDIATE:
                simulation.topic.append(records, stamp, at_offset)
            elif append_effect is AppendEffect.DELAYED:
                # The log carries it out also if the router has ended.
                simulation.loop.call_later(
                    _DELAY_S,
                    simulation.append_late,
                    records,
                    stamp,
                    at_offset,
                    context=contextvars.Context(),
                )
            await asyncio.sleep(_LOG_TIMEOUT_S)
            return shared_log.LogUnavailable("no response", may_have_run=True)
        result = simulation.topic.append(records, stamp, at_offset)
        await asyncio.sleep(simulation.log_latency_s)
        return result

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        """Reads records."""
        del topic, wait_ms, response_timeout_ms
        if await self._is_response_lost():
            return shared_log.LogUnavailable("no response")
        return self._simulation.topic.read(position.offset)

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        """Reads the newest record of each key."""
        del topic
        if await self._is_response_lost():
            return shared_log.LogUnavailable("no response")
        return self._simulation.topic.read_newest()

    async def _is_response_lost(self) -> bool:
        """Waits for a call's duration; returns True if its response is lost."""
        await asyncio.sleep(2 * self._simulation.log_latency_s)
        if self._simulation.is_log_away:
            return True
        if self._host not in self._simulation.cut_from_log:
            return False
        await asyncio.sleep(_LOG_TIMEOUT_S)
        return True


class SimulatedLinks:
    """The peer links of one host."""

    def __init__(self, simulation: PrepaidSimulation, host: str) -> None:
        """Binds the links to their simulation and host."""
        self._simulation = simulation
        self._host = host

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        """Sends a message to a host and returns its reply."""
        await asyncio.sleep(_LINK_LATENCY_S)
        target = self._simulation.routers.get(host_name)
        pair = frozenset({self._host, host_name})
        if target is None or pair in self._simulation.cut_links:
            await asyncio.sleep(timeout_ms / 1000)
            return peer_network.PeerUnreachable("no reply")
        peer = data.Host(self._host, "zone", self._host, 1)
        coroutine: Coroutine[Any, Any, Any]
        if isinstance(record, prepaid.RemoteCharge):
            coroutine = target.charger.handle_charge(peer, record)
        else:
            coroutine = target.charger.handle_settlement(peer, record)
        # Runs in the target's process, which outlives a kill of the caller.
        done, _ = await asyncio.wait(
            {target.process.spawn(coroutine)}, timeout=timeout_ms / 1000
        )
        if not done:
            return peer_network.PeerUnreachable("no reply in time")
        reply = done.pop().result()
        await asyncio.sleep(_LINK_LATENCY_S)
        if pair in self._simulation.cut_links:
            await asyncio.sleep(timeout_ms / 1000)
            return peer_network.PeerUnreachable("the reply was lost")
        return reply
