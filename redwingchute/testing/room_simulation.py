"""Simulates hosts, engines and callers that compete for room.

The hosts run the product's decisions and exchange load notices; engines process
prompts one after the other, and plain upstreams have slots and a short queue.
Everything runs on a manual clock with a seed.
"""

from collections.abc import Callable
import contextlib
import heapq
import itertools
import random

import attrs

from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.request import forward_plan
from redwingchute.request import load_exchange
from redwingchute.request import load_shedding
from redwingchute.request import room_admission
from redwingchute.request import upstream_directory
from redwingchute.version import route_index

_STEP_MS = 50
_NOTICE_DELAY_MS = 2
_START_MS = 100_000
_TOKENS_PER_MS = 38.0
_ENGINE_SPEEDS = (0.6, 1.0, 1.0, 1.6)
_DECODE_MS = 400
_ENGINE_SLOTS = 64
_PLAIN_SLOTS = 6
_PLAIN_QUEUE = 24
_PLAIN_MS = 90
_LATE_WORTH = 0.3
# The mean rate that the engines and the three plain upstreams bear.
ENGINE_TOKENS_PER_S = 1_000 * _TOKENS_PER_MS * sum(_ENGINE_SPEEDS)
PLAIN_REQUESTS_PER_S = 3 * _PLAIN_SLOTS * 1_000 / _PLAIN_MS


@attrs.frozen
class Kind:
    """A kind of request; one without tokens is plain.

    Attributes:
      name: The name of its route.
      priority: Its priority.
      tokens: The mean prompt tokens.
      target_ms: The target latency.
      patience_ms: The patience of callers.
    """

    name: str
    priority: int
    tokens: int
    target_ms: int
    patience_ms: int


@attrs.frozen
class Demand:
    """Requests of one account and kind.

    Attributes:
      account: The account.
      kind: The kind.
      find_rate: Returns the requests in a second, by zone and time in ms.
      repeats_at_once: How often a refused caller repeats without waiting.
    """

    account: str
    kind: Kind
    find_rate: Callable[[int, int], float]
    repeats_at_once: int = 0


@attrs.define
class Result:
    """What the callers of one group got.

    Attributes:
      owed: Their requests; what was tried again counts once.
      earned: The worth of what they got: 1 in time, less when late.
      served: The requests that were served.
      served_tokens: Their prompt tokens.
      returned: The callers that came back after a refusal.
      served_returned: Those of them that were served.
    """

    owed: int = 0
    earned: float = 0.0
    served: int = 0
    served_tokens: int = 0
    returned: int = 0
    served_returned: int = 0

    @property
    def service(self) -> float:
        """The worth of what they got relative to what they asked for."""
        return self.earned / max(1, self.owed)


@attrs.define
class _Request:
    """A request of a caller; `tries` counts the refusals before."""

    demand: Demand
    zone: int
    tokens: int
    sent_ms: int
    is_measured: bool
    tries: int = 0


class _Host:
    """One router."""

    def __init__(self, name: str, simulation: "RoomSimulation") -> None:
        self.directory = upstream_directory.UpstreamDirectory(
            "z", name, read_clock_ms=lambda: simulation.now_ms
        )
        self.admission = room_admission.RoomAdmission(
            self.directory, lambda: simulation.index, divides_room=True
        )


class RoomSimulation:
    """Hosts, engines and callers.

    Attributes:
      now_ms: The current time.
      index: The configuration in force.
      lost_hosts: Hosts whose notices get lost, both ways.
      gone_hosts: Hosts that get no requests any more.
      results: The results by account, kind, zone and over all (empty name).
      rejections: Requests that plain upstreams rejected.
    """

    def __init__(
        self,
        accounts: dict[str, int],
        kinds: list[Kind],
        demands: list[Demand],
        is_landed: bool = False,
        host_count: int = 6,
        hub_count: int | None = None,
    ) -> None:
        """Creates the fleet.

        Args:
          accounts: The prepaid tokens by account.
          kinds: All kinds of requests.
          demands: What callers ask for.
          is_landed: Whether hosts refuse by delay alone.
          host_count: The number of hosts, spread over three zones.
          hub_count: The number of hubs; all hosts if None.
        """
        self.now_ms = _START_MS
        self._demands = demands
        self._is_landed = is_landed
        self._hub_count = hub_count or host_count
        self._random = random.Random(7)
        self._numbers = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._engine_free_ms: dict[str, float] = {}
        self._speeds: dict[str, float] = {}
        self._plain_open: dict[str, list[float]] = {}
        self._tables(accounts, kinds)
        self.lost_hosts: set[int] = set()
        self.gone_hosts: set[int] = set()
        self.results: dict[str, Result] = {}
        self.rejections = 0
        self._idle_ms = 0.0
        self._measured_ms = 0
        self._is_measuring = False
        self._hosts = [self._make_host(n) for n in range(host_count)]

    def _tables(self, accounts: dict[str, int], kinds: list[Kind]) -> None:
        self._routes = {
            kind.name: forwarding.Route(
                kind.name,
                "a.example",
                f"/{kind.name}/",
                forwarding.RequestKind.IDEMPOTENT,
                (
                    forwarding.WeightedService(
                        "llm" if kind.tokens else "app", 1.0
                    ),
                ),
                kind.patience_ms,
                kind.target_ms,
                priority=kind.priority,
            )
            for kind in kinds
        }
        self._accounts = {
            name: forwarding.ClientAccount(
                name, frozenset({name}), prepaid_tokens=tokens
            )
            for name, tokens in accounts.items()
        }
        self.index = route_index.RouteIndex(
            forwarding.RouteTable(
                1,
                tuple(self._routes.values()),
                accounts=tuple(self._accounts.values()),
            )
        )

    def _make_host(self, number: int) -> _Host:
        host = _Host(str(number), self)
        for engine, speed in enumerate(_ENGINE_SPEEDS):
            name = f"engine-{engine}"
            self._speeds[name] = speed
            self._engine_free_ms.setdefault(name, float(_START_MS))
            host.directory.set_upstream(
                forwarding.Upstream(name, "llm", "", "z", True, _ENGINE_SLOTS)
            )
        for plain in range(3):
            name = f"plain-{plain}"
            self._plain_open.setdefault(name, [])
            host.directory.set_upstream(
                forwarding.Upstream(name, "app", "", "z", True, _PLAIN_SLOTS)
            )
        order = [
            (number + offset) % self._hub_count
            for offset in range(self._hub_count)
        ]
        host.directory.set_hub_role(
            load_exchange.HubRole(
                number < self._hub_count,
                tuple(str(hub) for hub in order if hub != number),
            )
        )
        return host

    def restart(self, number: int) -> None:
        """Replaces a host by one that knows nothing."""
        self._hosts[number] = self._make_host(number)

    def run_for(self, duration_ms: int, is_measured: bool = True) -> None:
        """Runs the fleet; requests sent meanwhile may end later."""
        self._is_measuring = is_measured
        self._measured_ms += duration_ms if is_measured else 0
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self._send_new_requests()
            self._exchange_notices()
            step_ms = self.now_ms + _STEP_MS
            while self._events and self._events[0][0] <= step_ms:
                at_ms, _, act = heapq.heappop(self._events)
                self.now_ms = max(self.now_ms, at_ms)
                act()
            self.now_ms = step_ms

    @property
    def idle_share(self) -> float:
        """The share of the measured time in which engines had no prompt."""
        return self._idle_ms / len(_ENGINE_SPEEDS) / max(1, self._measured_ms)

    def find(self, name: str) -> Result:
        """Returns the result of an account, a kind, a zone, or over all."""
        return self.results.setdefault(name, Result())

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (int(at_ms), next(self._numbers), act))

    def _send_new_requests(self) -> None:
        elapsed_ms = self.now_ms - _START_MS
        for demand in self._demands:
            for zone in range(3):
                expected = demand.find_rate(zone, elapsed_ms) * _STEP_MS / 1_000
                count = int(expected + self._random.random())
                for _ in range(count):
                    self._send_new_request(demand, zone)

    def _send_new_request(self, demand: Demand, zone: int) -> None:
        at_ms = self.now_ms + self._random.randrange(_STEP_MS)
        tokens = int(demand.kind.tokens * self._random.uniform(0.5, 1.5))
        request = _Request(demand, zone, tokens, at_ms, self._is_measuring)
        if request.is_measured:
            for result in self._list_results(request):
                result.owed += 1
        self._at(at_ms, lambda: self._arrive(request))

    def _list_results(self, request: _Request) -> list[Result]:
        names = (
            request.demand.account,
            request.demand.kind.name,
            f"zone-{request.zone}",
            "",
        )
        return [self.find(name) for name in names]

    def _arrive(self, request: _Request) -> None:
        zone_hosts = [
            number
            for number in range(request.zone, len(self._hosts), 3)
            if number not in self.gone_hosts
        ]
        host = self._hosts[self._random.choice(zone_hosts)]
        kind = request.demand.kind
        number = next(self._numbers)
        generation = None
        if kind.tokens:
            parts = (forwarding.PromptPart(f"own-{number}", request.tokens),)
            generation = forwarding.Generation(request.tokens, 100, parts)
        patience_ms = kind.patience_ms - (self.now_ms - request.sent_ms)
        plan = forward_plan.Plan(
            forwarding.ForwardRequest(
                str(number), "", "", patience_ms, None, generation
            ),
            self._routes[kind.name],
            self._accounts[request.demand.account],
            forwarding.Service("llm" if kind.tokens else "app"),
            self.now_ms,
            patience_ms,
            0.0,
        )
        refusal = self._decide(host, plan)
        if refusal is not None:
            self._refuse(request, refusal)
            return
        host.admission.record_admitted(plan, self.now_ms)
        self._run(host, plan, request)

    def _decide(
        self, host: _Host, plan: forward_plan.Plan
    ) -> outcomes.NotRun | None:
        if not self._is_landed:
            return host.admission.refuse_if_busy(plan, self.now_ms)
        if plan.request.generation is None:
            return None
        chosen = host.directory.choose(
            plan.service.name, plan.request, frozenset(), self.now_ms
        )
        assert chosen is not None
        return load_shedding.refuse_if_late(
            chosen.delay_ms, plan.route.target_latency_ms, plan.route.priority
        )

    def _refuse(self, request: _Request, refusal: outcomes.NotRun) -> None:
        """Lets a refused caller come back as callers do."""
        kind, tries = request.demand.kind, request.tries
        left_ms = kind.patience_ms - (self.now_ms - request.sent_ms)
        wait_ms = min(refusal.retry_after_ms or 0, left_ms // 3)
        if tries < request.demand.repeats_at_once:
            wait_ms = 10
        elif tries > request.demand.repeats_at_once:
            return
        request.tries += 1
        if request.is_measured and tries == request.demand.repeats_at_once:
            for result in self._list_results(request):
                result.returned += 1
        self._at(self.now_ms + wait_ms, lambda: self._arrive(request))

    def _run(
        self, host: _Host, plan: forward_plan.Plan, request: _Request
    ) -> None:
        chosen = host.directory.choose(
            plan.service.name, plan.request, frozenset(), self.now_ms
        )
        assert chosen is not None
        upstream = chosen.upstream
        stack = contextlib.ExitStack()
        tracked = stack.enter_context(
            host.directory.track_request(
                upstream, plan.request.generation, self.now_ms
            )
        )
        if plan.request.generation is None:
            ends_ms = self._queue_plain(upstream.id)
            if ends_ms is None:
                self.rejections += 1
                tracked.was_rejected = True
                stack.close()
                host.admission.record_rejected(plan, self.now_ms)
                refusal = outcomes.NotRun(503, "upstreams_busy", "", 500)
                self._refuse(request, refusal)
                return

            def complete() -> None:
                tracked.was_completed = True
                stack.close()
                self._earn(request)

            self._at(ends_ms, complete)
            return
        speed = self._speeds[upstream.id] * _TOKENS_PER_MS
        begin_ms = max(self.now_ms, self._engine_free_ms[upstream.id])
        first_ms = begin_ms + request.tokens / speed
        if self._is_measuring:
            self._idle_ms += begin_ms - self._engine_free_ms[upstream.id]
        self._engine_free_ms[upstream.id] = first_ms

        def begin() -> None:
            host.directory.record_first_event(tracked, self.now_ms)
            self._earn(request)

        self._at(first_ms, begin)
        self._at(first_ms + _DECODE_MS, stack.close)

    def _queue_plain(self, name: str) -> float | None:
        """Returns when a plain request ends; None if it is rejected."""
        ends = [
            at_ms for at_ms in self._plain_open[name] if at_ms > self.now_ms
        ]
        self._plain_open[name] = ends
        if len(ends) >= _PLAIN_SLOTS + _PLAIN_QUEUE:
            return None
        begin_ms = float(self.now_ms)
        if len(ends) >= _PLAIN_SLOTS:
            begin_ms = sorted(ends)[-_PLAIN_SLOTS]
        end_ms = begin_ms + _PLAIN_MS * self._random.uniform(0.7, 1.3)
        ends.append(end_ms)
        return end_ms

    def _earn(self, request: _Request) -> None:
        if not request.is_measured:
            return
        elapsed_ms = self.now_ms - request.sent_ms
        is_in_time = elapsed_ms <= request.demand.kind.target_ms
        is_late = elapsed_ms > request.demand.kind.patience_ms
        worth = 1.0 if is_in_time else 0.0 if is_late else _LATE_WORTH
        for result in self._list_results(request):
            result.earned += worth
            result.served += not is_late
            result.served_tokens += 0 if is_late else request.tokens
            result.served_returned += bool(request.tries) and not is_late

    def _exchange_notices(self) -> None:
        for number, host in enumerate(self._hosts):
            for outgoing in host.directory.pop_due_notices(self.now_ms):
                for receiver in outgoing.hosts:
                    self._deliver(number, int(receiver), outgoing)

    def _deliver(
        self,
        sender: int,
        receiver: int,
        outgoing: load_exchange.OutgoingNotice,
    ) -> None:
        if {sender, receiver} & self.lost_hosts:
            return
        self._at(
            self.now_ms + _NOTICE_DELAY_MS,
            lambda: self._hosts[receiver].directory.handle_notice(
                str(sender), outgoing.notice, self.now_ms
            ),
        )
