"""A few routers, a log and a network, for the ledger's state machine.

Every fault is an explicit step: messages are held until a step delivers,
repeats or loses them, appends may lose their answers or arrive late, links
are cut, routers are killed, paused and restarted on the same address.
"""

from collections.abc import Iterator
import enum

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import log_outcomes
from redwingchute.process.ledger import sharding
from redwingchute.testing import fake_log
from redwingchute.testing import ledger_checks
from redwingchute.testing import ledger_router
from redwingchute.wire import registry

BUDGET = "yield-books"
ZONES = {"huon-1": "huon", "huon-2": "huon", "bruny-1": "bruny"}
HOSTS = tuple(ZONES)
LOG = "log"
_OPERATOR = "operator"
_STREAM = sharding.name_stream(ledger_router.SHARD)
_CODEC = registry.make_codec()
_INCARNATIONS_PER_START = 1_000
_HEAL_STEPS = 400


class AppendFate(enum.Enum):
    """What becomes of an append."""

    ANSWERED = 0
    ANSWER_LOST = 1
    LATE = 2
    REQUEST_LOST = 3


class LedgerWorld:
    """Routers, a log, a network and the checks over them.

    Attributes:
      now_ms: The true time.
      log: The log service.
      routers: The present process of each host, dead or alive.
      messages: Messages under way.
      cuts: Pairs of hosts, or a host and the log, that cannot talk.
      late_appends: Records that still make their way to the log.
      runs: All requests so far.
    """

    def __init__(self) -> None:
        """Starts all routers; none owns the shard yet."""
        self.now_ms = 1_700_000_000_000
        self.log = fake_log.FakeLog()
        self.checker = ledger_checks.StreamChecker(_CODEC)
        self.messages: list[ledger_router.Message] = []
        self.cuts: set[frozenset[str]] = set()
        self.late_appends: list[bytes] = []
        self.runs: list[ledger_router.RequestRun] = []
        self.dead_routers: list[ledger_router.Router] = []
        self._starts = 0
        self.routers = {name: self._start(name) for name in HOSTS}

    # Steps of single parts.

    def list_running(self) -> list[ledger_router.Router]:
        """Returns the routers that take steps."""
        return [
            router
            for router in self.routers.values()
            if router.is_alive and not router.is_paused
        ]

    def submit(
        self,
        name: str,
        key: bytes,
        bound_tokens: int,
        tokens: int,
        is_repeatable: bool = True,
    ) -> None:
        """Lets a caller send a request to a router."""
        router = self.routers[name]
        if router not in self.list_running():
            return
        request = spending.ChargeRequest(
            BUDGET, key, b"body", bound_tokens, True, is_repeatable
        )
        deadline_ms = router.find_now_ms(self.now_ms) + 3_000
        charge = spending.Charge(len(self.runs) + 1, request, deadline_ms)
        run = ledger_router.RequestRun(charge, min(tokens, bound_tokens))
        self.runs.append(run)
        router.submit(self.now_ms, run)
        self._collect(router)

    def finish(self, index: int) -> None:
        """Ends one of the requests that run."""
        open_runs = list(self._list_open_runs())
        if open_runs:
            router, run = open_runs[index % len(open_runs)]
            router.finish(self.now_ms, run)
            self._collect(router)

    def cancel(self, index: int) -> None:
        """Gives up one of the repeatable requests that run, unused."""
        open_runs = [
            (router, run)
            for router, run in self._list_open_runs()
            if run.charge.request.is_repeatable
        ]
        if open_runs:
            router, run = open_runs[index % len(open_runs)]
            router.cancel(self.now_ms, run)
            self._collect(router)

    def serve(self, name: str) -> None:
        """Lets a router do what is due as a holder."""
        router = self.routers[name]
        if router in self.list_running():
            router.serve(self.now_ms)
            self._collect(router)

    def commit(self, name: str, fate: AppendFate) -> None:
        """Lets a router append what it has, if anything."""
        router = self.routers[name]
        if router not in self.list_running():
            return
        own_ms = router.find_now_ms(self.now_ms)
        router.shard_owner.expire_calls(own_ms)
        record = router.shard_owner.next_append(own_ms)
        if record is not None:
            outcome = self._append(name, _CODEC.encode(record), fate)
            router.shard_owner.handle_append_outcome(own_ms, outcome)
        self._collect(router)

    def read(self, name: str) -> None:
        """Lets a router read the stream on."""
        router = self.routers[name]
        if router not in self.list_running():
            return
        order = router.shard_owner.begin_read()
        outcome: log_outcomes.ReadOutcome
        if frozenset((name, LOG)) in self.cuts:
            outcome = log_outcomes.LogUnreachable("cut")
        else:
            outcome = self.log.read(_STREAM, order.from_offset)
        own_ms = router.find_now_ms(self.now_ms)
        router.shard_owner.handle_read_outcome(own_ms, order, outcome)
        self._collect(router)

    def deliver(self, index: int, is_repeated: bool = False) -> None:
        """Delivers one message, or loses it where the link is cut."""
        if not self.messages:
            return
        index %= len(self.messages)
        message = self.messages[index]
        if not is_repeated:
            del self.messages[index]
        if message.source == _OPERATOR or message.target == _OPERATOR:
            self._deliver_to_host(message)
        elif frozenset((message.source, message.target)) in self.cuts:
            if not is_repeated:
                self._lose(message)
        else:
            self._deliver_to_host(message)

    def lose(self, index: int) -> None:
        """Loses one message."""
        if self.messages:
            self._lose(self.messages.pop(index % len(self.messages)))

    def land_late_append(self) -> None:
        """Lets a delayed append reach the log."""
        if self.late_appends:
            self.log.append(_STREAM, self.late_appends.pop(0))

    # Steps of the surroundings.

    def trim(self) -> None:
        """Lets the log drop all records that a checkpoint covers."""
        self.check()
        self.log.trim(_STREAM, self.checker.needed_offset)

    def advance(self, ms: int) -> None:
        """Lets time pass."""
        self.now_ms += ms

    def cut_off(self, name: str) -> None:
        """Cuts a host off from all others and from the log."""
        for other in (*HOSTS, LOG):
            self.cuts.add(frozenset((name, other)))

    def cut_zone(self, name: str) -> None:
        """Cuts a host's zone off from the other zones and from the log."""
        inside = {host for host in HOSTS if ZONES[host] == ZONES[name]}
        for one in inside:
            for other in {*HOSTS, LOG} - inside:
                self.cuts.add(frozenset((one, other)))

    def propose(self, name: str, is_proposed: bool) -> None:
        """Lets a router's membership propose it as owner, or not."""
        self.routers[name].shard_owner.set_proposed(is_proposed)

    def declare_dead(self, name: str, victim: str) -> None:
        """Lets a router's membership hold another host's process for dead."""
        router = self.routers[name]
        for subject in self.routers[victim].holders:
            router.shard_owner.mark_holder_dead(subject.incarnation)

    def declare_gone_dead(self) -> None:
        """Lets all routers hear which processes were killed."""
        for router in self.list_running():
            for dead in self.dead_routers:
                for subject in dead.holders:
                    router.shard_owner.mark_holder_dead(subject.incarnation)

    def kill(self, name: str) -> None:
        """Kills a router's process."""
        self.routers[name].is_alive = False

    def restart(self, name: str) -> None:
        """Starts a new process on the address of a killed one."""
        if not self.routers[name].is_alive:
            self.dead_routers.append(self.routers[name])
            self.routers[name] = self._start(name)

    def send_credit(self, name: str, reference: str, tokens: int) -> None:
        """Lets an operator ask a router to change the budget."""
        entry = data.Credit(BUDGET, reference, tokens, _OPERATOR, "test")
        call = data.LedgerCall(ledger_router.SHARD, 0, _OPERATOR, (entry,))
        message = ledger_router.CallMessage(0, 0, call)
        self.messages.append(ledger_router.Message(_OPERATOR, name, message))

    def run_for(self, steps: int, step_ms: int = 50) -> None:
        """Lets all parts go on without further faults."""
        for _ in range(steps):
            self.now_ms += step_ms
            for router in self.list_running():
                self.serve(router.name)
                self.commit(router.name, AppendFate.ANSWERED)
                self.read(router.name)
            for _ in range(len(self.messages)):
                self.deliver(0)

    def heal(self) -> None:
        """Mends all that is broken and waits until nothing is left to do."""
        self.cuts.clear()
        while self.late_appends:
            self.land_late_append()
        for name, router in self.routers.items():
            router.is_paused = False
            # A clock that was set back would stall its router until it has
            # caught up; daemons use one that does not jump.
            router.clock_skew_ms = max(router.clock_skew_ms, 86_400_000)
            router.shard_owner.set_proposed(False)
            self.restart(name)
        self.routers[HOSTS[0]].shard_owner.set_proposed(True)
        self.declare_gone_dead()
        for _ in range(_HEAL_STEPS):
            self.run_for(1, 100)
            self.finish(0)

    # Checks.

    def check(self) -> None:
        """Fails when a promise is broken at this moment."""
        page = self.log.read(_STREAM, self.checker.next_offset)
        assert isinstance(page, log_outcomes.Page)
        self.checker.apply_page(page)
        self.checker.check()
        for router in self.routers.values():
            if router.is_alive:
                for subject in router.holders:
                    ledger_checks.check_reserve_is_backed(
                        self.checker,
                        subject,
                        BUDGET,
                        router.transfers.values(),
                    )
        account = self.checker.shard_fold.budgets.get(BUDGET)
        credited_tokens = account.credited_tokens if account else 0
        ledger_checks.check_runs(self.runs, credited_tokens)

    def check_healed(self) -> None:
        """Fails when an answered request is not billed after all.

        A bill may be lost only when its answer ended in isolation, and its
        router and all siblings that kept a copy were killed.
        """
        self.check()
        kept = {
            key for router in self.routers.values() for key in router.kept_keys
        }
        for router in (*self.dead_routers, *self.routers.values()):
            for run in router.runs.values():
                if not isinstance(run.settlement, spending.Settled):
                    continue
                key = run.charge.request.key
                is_safe = (
                    run.settlement.is_durable or router.is_alive or key in kept
                )
                assert not is_safe or self.checker.billed[key] == 1, (
                    "answered and never billed"
                )

    # Parts.

    def _start(self, name: str) -> ledger_router.Router:
        """Starts a process on a host."""
        self._starts += 1
        siblings = tuple(
            other
            for other, zone in ZONES.items()
            if zone == ZONES[name] and other != name
        )
        return ledger_router.Router(
            name,
            ZONES[name],
            siblings,
            self._starts * _INCARNATIONS_PER_START,
            self.now_ms,
            _CODEC,
        )

    def _append(
        self, name: str, body: bytes, fate: AppendFate
    ) -> log_outcomes.AppendOutcome:
        """Appends a record, or does to it what its fate is."""
        if frozenset((name, LOG)) in self.cuts:
            return log_outcomes.LogUnreachable("cut")
        match fate:
            case AppendFate.ANSWERED:
                return self.log.append(_STREAM, body)
            case AppendFate.ANSWER_LOST:
                self.log.append(_STREAM, body)
            case AppendFate.LATE:
                self.late_appends.append(body)
            case AppendFate.REQUEST_LOST:
                pass
        return log_outcomes.AppendUnknown("no answer")

    def _list_open_runs(
        self,
    ) -> Iterator[tuple[ledger_router.Router, ledger_router.RequestRun]]:
        """Yields the requests that run, with their routers."""
        for router in self.list_running():
            for run in router.runs.values():
                if run.is_dispatched and not run.is_finished:
                    yield router, run

    def _collect(self, router: ledger_router.Router) -> None:
        """Puts what a router sends under way."""
        router.send_answers()
        self.messages += router.outgoing
        router.outgoing = []

    def _deliver_to_host(self, message: ledger_router.Message) -> None:
        """Gives a message to the process that runs on its target now."""
        router = self.routers.get(message.target)
        if router is None:
            return
        if router.is_paused:
            self.messages.append(message)
        elif not router.is_alive:
            self._lose(message)
        else:
            router.receive(self.now_ms, message)
            self._collect(router)

    def _lose(self, message: ledger_router.Message) -> None:
        """Lets the caller of a lost call or reply know."""
        match message.payload:
            case ledger_router.CallMessage() as lost:
                caller = self.routers.get(message.source)
            case ledger_router.ReplyMessage() as lost:
                caller = self.routers.get(message.target)
            case _:
                return
        if caller is not None and caller.is_alive:
            caller.lose_call(self.now_ms, lost)
            caller.owner_name = self._guess_owner(caller.name)
            self._collect(caller)

    def _guess_owner(self, name: str) -> str:
        """Returns the host that a caller tries after a lost call."""
        index = HOSTS.index(name)
        position = (self.now_ms // 100 + index) % len(HOSTS)
        return HOSTS[position]
