"""Routers with prepaid grants, a shared log and links, on a manual clock.

The world counts for itself what requests consume, so that a test can compare
it with what was prepaid. A request of a killed router counts at its most: it
may have run on.
"""

import asyncio
from collections.abc import Coroutine
import enum
from typing import Any

import attrs

from redwingchute.core import data
from redwingchute.core import outcomes
from redwingchute.core import prepaid
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
_START_MS = 1_000_000_000


class AppendFate(enum.Enum):
    """What becomes of an append whose answer is lost.

    Attributes:
      DONE: It takes effect at once.
      LATE: It takes effect later, if its condition still holds.
      DROPPED: It never takes effect.
    """

    DONE = "done"
    LATE = "late"
    DROPPED = "dropped"


@attrs.define
class _Open:
    """A request that holds tokens."""

    host: str
    tokens: int


@attrs.define
class Router:
    """One router of the world."""

    process: manual_loop.ModelProcess
    grants: grant_manager.GrantManager
    charger: charging.Charger


class PrepaidWorld:
    """The routers, the log, the links and the truth.

    Attributes:
      prepaid_tokens: What the account has prepaid.
      consumed_tokens: What ended requests have consumed.
      open: The requests that hold tokens.
      results: What became of each request that was charged or refused.
      cut_from_log: Hosts whose calls to the log get no answer.
      cut_links: Pairs of hosts that cannot reach each other.
      fate: What becomes of appends whose answers are lost.
      wall_shifts_ms: By how much the time of day of a host is off.
      lose_answers: How many appends lose their answers from now on.
      log_latency_s: How long a call to the log takes each way.
    """

    def __init__(self, hosts: tuple[str, ...], prepaid_tokens: int) -> None:
        """Starts all routers.

        Args:
          hosts: The names of the hosts.
          prepaid_tokens: What the account has prepaid.
        """
        self.loop = manual_loop.ManualLoop()
        self.topic = keyed_log.KeyedTopic()
        self.prepaid_tokens = prepaid_tokens
        self.consumed_tokens = 0
        self.open: dict[int, _Open] = {}
        self.results: dict[int, charging.Charge | outcomes.NotRun] = {}
        self.cut_from_log: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.fate = AppendFate.DONE
        self.lose_answers = 0
        self.log_latency_s = _LOG_LATENCY_S
        self.routers: dict[str, Router] = {}
        self.incarnations = 0
        self.wall_shifts_ms: dict[str, int] = {}
        self._boot_shifts_ms: dict[str, int] = {}
        self._requests = 0
        for host in hosts:
            self.start(host)

    def close(self) -> None:
        """Ends all tasks."""
        self.loop.is_ending = True
        self.loop.set_exception_handler(lambda _, __: None)
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks, timeout=60))
        self.loop.close()

    @property
    def now_ms(self) -> int:
        """The time on every clock of the world."""
        return _START_MS + int(1000 * self.loop.time())

    @property
    def used_tokens(self) -> int:
        """What is consumed, open requests counted at their most."""
        reserved = sum(request.tokens for request in self.open.values())
        return self.consumed_tokens + reserved

    def run_for(self, seconds: float) -> None:
        """Lets time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def lose_power(self, host: str) -> None:
        """Kills a router; the boot clock of its host starts anew."""
        self.kill(host)
        self._boot_shifts_ms[host] = -self.now_ms

    def start(self, host: str) -> None:
        """Starts a router, or starts it again."""
        self.incarnations += 1
        process = manual_loop.ModelProcess(f"{host}#{self.incarnations}")

        def read_boot_ms() -> int:
            return self.now_ms + self._boot_shifts_ms.get(host, 0)

        grants = grant_manager.GrantManager(
            WorldLog(self, host),
            prepaid.HostStamp(host, "zone", host, 0, 0, 0),
            grant_manager.Clocks(
                read_boot_ms,
                lambda: self.now_ms + self.wall_shifts_ms.get(host, 0),
            ),
            lambda: {ACCOUNT: self.prepaid_tokens},
        )
        charger = charging.Charger(
            grants,
            WorldLinks(self, host),
            read_boot_ms,
            self.incarnations,
        )
        self.routers[host] = Router(process, grants, charger)
        self._spawn(process, grants.run())

    def kill(self, host: str) -> None:
        """Kills a router; its open requests may have run to their end."""
        router = self.routers.pop(host, None)
        if router is None:
            return
        router.process.kill()
        for number, request in list(self.open.items()):
            if request.host == host:
                del self.open[number]
                self.consumed_tokens += request.tokens

    def request(
        self, host: str, tokens: int, spent_tokens: int, seconds: float = 0.5
    ) -> int:
        """Sends a request to a router and returns its number."""
        self._requests += 1
        number = self._requests
        router = self.routers.get(host)
        if router is not None:
            self._spawn(
                router.process,
                self._serve(host, number, tokens, spent_tokens, seconds),
            )
        return number

    def is_charged(self, number: int) -> bool:
        """Tells whether a request was charged."""
        return isinstance(self.results.get(number), charging.Charge)

    def _spawn(
        self, process: manual_loop.ModelProcess, work: Coroutine[Any, Any, Any]
    ) -> None:
        """Starts a task of a process from outside the loop."""

        async def start() -> None:
            process.spawn(work)

        self.loop.run_until_complete(start())

    async def _serve(
        self,
        host: str,
        number: int,
        tokens: int,
        spent_tokens: int,
        seconds: float,
    ) -> None:
        """Charges a request, lets it run and settles it."""
        charger = self.routers[host].charger
        result = await charger.admit(
            str(number), ACCOUNT, self.prepaid_tokens, tokens, 1_000, True
        )
        self.results[number] = result
        if isinstance(result, outcomes.NotRun):
            return
        self.open[number] = _Open(host, tokens)
        await asyncio.sleep(seconds)
        del self.open[number]
        self.consumed_tokens += spent_tokens
        charger.settle(result, spent_tokens)


class WorldLog:
    """The shared log as one host reaches it."""

    def __init__(self, world: PrepaidWorld, host: str) -> None:
        """Binds the log to its world and host."""
        self._world = world
        self._host = host

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at_offset: int | None = None,
    ) -> shared_log.AppendResult:
        """Appends records; the answer may be lost."""
        del topic
        world = self._world
        await asyncio.sleep(world.log_latency_s)
        is_cut = self._host in world.cut_from_log
        if world.lose_answers > 0 or is_cut:
            world.lose_answers -= not is_cut
            fate = AppendFate.DROPPED if is_cut else world.fate
            if fate is AppendFate.DONE:
                world.topic.append(records, stamp, at_offset)
            elif fate is AppendFate.LATE:
                world.loop.call_later(
                    2.0, world.topic.append, records, stamp, at_offset
                )
            await asyncio.sleep(_LOG_TIMEOUT_S)
            return shared_log.LogUnavailable("no answer", may_have_run=True)
        result = world.topic.append(records, stamp, at_offset)
        await asyncio.sleep(world.log_latency_s)
        return result

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> shared_log.ReadResult:
        """Reads records."""
        del topic, wait_ms
        if await self._is_lost():
            return shared_log.LogUnavailable("no answer")
        return self._world.topic.read(offset)

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        """Reads the newest record of each key."""
        del topic
        if await self._is_lost():
            return shared_log.LogUnavailable("no answer")
        return self._world.topic.read_newest()

    async def _is_lost(self) -> bool:
        """Lets a call's time pass; True when it gets no answer."""
        await asyncio.sleep(2 * self._world.log_latency_s)
        if self._host not in self._world.cut_from_log:
            return False
        await asyncio.sleep(_LOG_TIMEOUT_S)
        return True


class WorldLinks:
    """The links of one host."""

    def __init__(self, world: PrepaidWorld, host: str) -> None:
        """Binds the links to their world and host."""
        self._world = world
        self._host = host

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        """Carries a request and its reply."""
        await asyncio.sleep(_LINK_LATENCY_S)
        target = self._world.routers.get(host_name)
        pair = frozenset({self._host, host_name})
        if target is None or pair in self._world.cut_links:
            await asyncio.sleep(timeout_ms / 1000)
            return peer_network.PeerUnreachable("no reply")
        peer = data.Host(self._host, "zone", self._host, 1)
        work: Coroutine[Any, Any, Any]
        if isinstance(record, prepaid.RemoteCharge):
            work = target.charger.handle_charge(peer, record)
        else:
            work = target.charger.handle_settlement(peer, record)
        # The other router's timers live on when this one dies.
        done, _ = await asyncio.wait(
            {target.process.spawn(work)}, timeout=timeout_ms / 1000
        )
        if not done:
            return peer_network.PeerUnreachable("no reply in time")
        reply = done.pop().result()
        await asyncio.sleep(_LINK_LATENCY_S)
        if pair in self._world.cut_links:
            await asyncio.sleep(timeout_ms / 1000)
            return peer_network.PeerUnreachable("the reply was lost")
        return reply
