"""Simulated routers, log and network for the ledger's state machine.

Every fault is an explicit step. Messages wait until a step delivers, repeats or
loses them. Appends can lose their responses or arrive late, links can be cut,
and routers can be killed, paused and restarted on the same address.
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
# The distance between the first incarnations of two processes.
_INCARNATIONS_PER_START = 1_000
# Steps of 100 ms after the repair of all faults.
_HEAL_STEPS = 400


class AppendDelivery(enum.Enum):
    """How an append is delivered to the log.

    Attributes:
      ACKNOWLEDGED: It takes effect, and its response arrives.
      RESPONSE_LOST: It takes effect, and its response is lost.
      DELAYED: It takes effect later, and its response is lost.
      REQUEST_LOST: It never reaches the log.
    """

    ACKNOWLEDGED = 0
    RESPONSE_LOST = 1
    DELAYED = 2
    REQUEST_LOST = 3


class LedgerSimulation:
    """Simulated routers, log and network, with checks of the ledger.

    Parameters named `index` select one of the candidates, modulo their number.

    Attributes:
      now_ms: The true time.
      log: The log service.
      routers: The current process of each host, dead or alive.
      messages: Messages in transit.
      cuts: Pairs of hosts, or of a host and the log, that are disconnected.
      late_appends: Delayed records that have not reached the log yet.
      runs: All requests so far.
      dead_routers: The killed processes that were replaced.
      checker: Folds all records of the log.
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

    # Steps of single routers, messages and appends.

    def list_running_routers(self) -> list[ledger_router.Router]:
        """Returns the routers that are alive and not paused."""
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
        """Sends a caller's request to a router."""
        router = self.routers[name]
        if router not in self.list_running_routers():
            return
        request = spending.ChargeRequest(
            BUDGET, key, b"body", bound_tokens, True, is_repeatable
        )
        deadline_ms = router.to_local_ms(self.now_ms) + 3_000
        charge = spending.Charge(len(self.runs) + 1, request, deadline_ms)
        run = ledger_router.RequestRun(charge, min(tokens, bound_tokens))
        self.runs.append(run)
        router.submit(self.now_ms, run)
        self._collect_messages(router)

    def finish(self, index: int) -> None:
        """Ends one of the running requests, which is then settled."""
        open_runs = list(self._list_running_requests())
        if open_runs:
            router, run = open_runs[index % len(open_runs)]
            router.finish(self.now_ms, run)
            self._collect_messages(router)

    def cancel(self, index: int) -> None:
        """Cancels one of the running, repeatable requests."""
        open_runs = [
            (router, run)
            for router, run in self._list_running_requests()
            if run.charge.request.is_repeatable
        ]
        if open_runs:
            router, run = open_runs[index % len(open_runs)]
            router.cancel(self.now_ms, run)
            self._collect_messages(router)

    def advance_holders(self, name: str) -> None:
        """Advances the holders of a router and sends their calls."""
        router = self.routers[name]
        if router in self.list_running_routers():
            router.advance_holders(self.now_ms)
            self._collect_messages(router)

    def commit(self, name: str, delivery: AppendDelivery) -> None:
        """Appends the next record of a router, if it has one."""
        router = self.routers[name]
        if router not in self.list_running_routers():
            return
        local_ms = router.to_local_ms(self.now_ms)
        router.shard_owner.expire_calls(local_ms)
        record = router.shard_owner.next_append(local_ms)
        if record is not None:
            outcome = self._append(name, _CODEC.encode(record), delivery)
            router.shard_owner.handle_append_outcome(local_ms, outcome)
        self._collect_messages(router)

    def read(self, name: str) -> None:
        """Has a router read the next records of the stream."""
        router = self.routers[name]
        if router not in self.list_running_routers():
            return
        planned = router.shard_owner.begin_read()
        outcome: log_outcomes.ReadOutcome
        if frozenset((name, LOG)) in self.cuts:
            outcome = log_outcomes.LogUnreachable("the link to the log is cut")
        else:
            outcome = self.log.read(_STREAM, planned.from_offset)
        local_ms = router.to_local_ms(self.now_ms)
        router.shard_owner.handle_read_outcome(local_ms, planned, outcome)
        self._collect_messages(router)

    def deliver(self, index: int, is_repeated: bool = False) -> None:
        """Delivers one message, or loses it if its link is cut.

        Args:
          index: Selects the message.
          is_repeated: Whether the message stays in transit, so that it can be
            delivered again.
        """
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

    def deliver_late_append(self) -> None:
        """Delivers the oldest delayed append to the log."""
        if self.late_appends:
            self.log.append(_STREAM, self.late_appends.pop(0))

    # Steps of the environment.

    def trim(self) -> None:
        """Trims the records that a checkpoint covers, once they are checked."""
        self.check()
        self.log.trim(_STREAM, self.checker.needed_offset)

    def advance(self, ms: int) -> None:
        """Advances the clock."""
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
        """Sets whether a router's membership proposes it as owner."""
        self.routers[name].shard_owner.set_proposed(is_proposed)

    def declare_dead(self, name: str, victim: str) -> None:
        """Has a router's membership declare another host's process dead."""
        router = self.routers[name]
        for subject in self.routers[victim].holders:
            router.shard_owner.mark_holder_dead(subject.incarnation)

    def declare_killed_dead(self) -> None:
        """Has all running routers declare the replaced processes dead."""
        for router in self.list_running_routers():
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
        """Sends an operator's top-up or reduction to a router."""
        entry = data.Credit(BUDGET, reference, tokens, _OPERATOR, "test")
        call = data.LedgerCall(ledger_router.SHARD, 0, _OPERATOR, (entry,))
        message = ledger_router.CallMessage(0, 0, call)
        self.messages.append(ledger_router.Message(_OPERATOR, name, message))

    def run_for(self, steps: int, step_ms: int = 50) -> None:
        """Runs all running routers for some steps, without new faults."""
        for _ in range(steps):
            self.now_ms += step_ms
            for router in self.list_running_routers():
                self.advance_holders(router.name)
                self.commit(router.name, AppendDelivery.ACKNOWLEDGED)
                self.read(router.name)
            for _ in range(len(self.messages)):
                self.deliver(0)

    def heal(self) -> None:
        """Repairs all faults and runs long enough to finish all work."""
        self.cuts.clear()
        while self.late_appends:
            self.deliver_late_append()
        for name, router in self.routers.items():
            router.is_paused = False
            # A router whose clock was set back would stall until the clock
            # catches up. Daemons use a clock that does not jump.
            router.clock_skew_ms = max(router.clock_skew_ms, 86_400_000)
            router.shard_owner.set_proposed(False)
            self.restart(name)
        self.routers[HOSTS[0]].shard_owner.set_proposed(True)
        self.declare_killed_dead()
        for _ in range(_HEAL_STEPS):
            self.run_for(1, 100)
            self.finish(0)

    # Checks.

    def check(self) -> None:
        """Fails when a guarantee of the ledger is broken now."""
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
        """Fails when an answered request is not billed after the repair.

        A bill may be lost only if its request was answered in isolation, and
        its router and all siblings with a copy of the bill were killed.
        """
        self.check()
        copied_bill_keys = {
            key
            for router in self.routers.values()
            for key in router.copied_bill_keys
        }
        for router in (*self.dead_routers, *self.routers.values()):
            for run in router.runs.values():
                if not isinstance(run.settlement, spending.Settled):
                    continue
                key = run.charge.request.key
                is_safe = (
                    run.settlement.is_durable
                    or router.is_alive
                    or key in copied_bill_keys
                )
                assert not is_safe or self.checker.bill_counts[key] == 1, (
                    "answered and never billed"
                )

    # Helpers.

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
        self, name: str, body: bytes, delivery: AppendDelivery
    ) -> log_outcomes.AppendOutcome:
        """Delivers an append to the log as `delivery` says."""
        if frozenset((name, LOG)) in self.cuts:
            return log_outcomes.LogUnreachable("the link to the log is cut")
        match delivery:
            case AppendDelivery.ACKNOWLEDGED:
                return self.log.append(_STREAM, body)
            case AppendDelivery.RESPONSE_LOST:
                self.log.append(_STREAM, body)
            case AppendDelivery.DELAYED:
                self.late_appends.append(body)
            case AppendDelivery.REQUEST_LOST:
                pass
        return log_outcomes.AppendUnknown("no response")

    def _list_running_requests(
        self,
    ) -> Iterator[tuple[ledger_router.Router, ledger_router.RequestRun]]:
        """Yields the running requests with their routers."""
        for router in self.list_running_routers():
            for run in router.runs.values():
                if run.is_dispatched and not run.is_finished:
                    yield router, run

    def _collect_messages(self, router: ledger_router.Router) -> None:
        """Moves a router's outgoing messages into the network."""
        router.send_replies()
        self.messages += router.outgoing
        router.outgoing = []

    def _deliver_to_host(self, message: ledger_router.Message) -> None:
        """Delivers a message to the current process of its target."""
        router = self.routers.get(message.target)
        if router is None:
            return
        if router.is_paused:
            self.messages.append(message)
        elif not router.is_alive:
            self._lose(message)
        else:
            router.receive(self.now_ms, message)
            self._collect_messages(router)

    def _lose(self, message: ledger_router.Message) -> None:
        """Notifies the caller of a lost call or reply.

        Other messages are lost without a notification.
        """
        match message.payload:
            case ledger_router.CallMessage() as lost:
                caller = self.routers.get(message.source)
            case ledger_router.ReplyMessage() as lost:
                caller = self.routers.get(message.target)
            case _:
                return
        if caller is not None and caller.is_alive:
            caller.handle_lost_call(self.now_ms, lost)
            caller.owner_name = self._guess_owner(caller.name)
            self._collect_messages(caller)

    def _guess_owner(self, name: str) -> str:
        """Returns the host that a caller tries next after a lost call."""
        index = HOSTS.index(name)
        position = (self.now_ms // 100 + index) % len(HOSTS)
        return HOSTS[position]
