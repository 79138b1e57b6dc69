"""The chosen design under the spending bench: the real decision code.

`ShardOwner`, `ShardFold`, `Holder` and `PlacementPolicy` run as they do in the
daemon; only the asyncio shells are replaced by the world's message loop.
"""

from collections.abc import Sequence
import random
from typing import Any

import attrs

from redwingchute.bench import spend_world
from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import bill_store
from redwingchute.process.ledger import grant_sizing
from redwingchute.process.ledger import holder
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import local_keys
from redwingchute.process.ledger import log_outcomes
from redwingchute.process.ledger import outbox
from redwingchute.process.ledger import owner
from redwingchute.process.ledger import placement
from redwingchute.testing import fake_log
from redwingchute.wire import registry

BUDGET = "yield-books"
_STREAM = "ledger-0"
_TICK_MS = 25
_BATCH_MS = 3
_CALL_TIMEOUT_MS = 300
_POLL_MS = 250
# How soon membership notices a router that is down or cut off.
_DETECTION_MS = 2_000
_DEATH_MS = 10_000


@attrs.frozen
class FleetPolicy:
    """What is tuned.

    Attributes:
      reserve_share: The part of the idle budget that is placed as reserve.
      reserve_horizon_ms: How long a reserve lasts at the demand.
      lease_horizon_ms: How long a lease lasts at the demand.
      smoothing: The part of the mean demand that every holder counts.
      lease_ms: How often holders state their demand.
      commit_interval_ms: The time between two appends of the shard.
    """

    reserve_share: float = 1.0
    reserve_horizon_ms: int = 3_600_000
    lease_horizon_ms: int = 2_000
    smoothing: float = placement.SMOOTHING
    lease_ms: int = 2_000
    commit_interval_ms: int = 64


@attrs.define(eq=False)
class _Run:
    """A request in hand at a router."""

    request: spend_world.Request
    charge: spending.Charge
    is_running: bool = False


class _Router:
    """One router: its holders, its kept copies and, at times, an owner."""

    def __init__(self, fleet: "Fleet", index: int, incarnation: int) -> None:
        """Starts a process."""
        self.fleet = fleet
        self.index = index
        self.incarnation = incarnation
        self.copies = bill_store.BillStore()
        self.keys = local_keys.LocalKeys()
        self.retired: list[holder.Holder] = []
        self.holder = self._make_holder(incarnation)
        self.holder.register_budget(BUDGET, fleet.world.now_ms)
        self.runs: dict[int, _Run] = {}
        self.by_charge: dict[int, holder.Holder] = {}
        self.shard_owner: owner.ShardOwner | None = None
        self.is_alive = True
        self._is_pump_due = False

    def _make_holder(self, incarnation: int) -> holder.Holder:
        """Returns a holder of a new incarnation."""
        return holder.Holder(
            0,
            incarnation,
            f"host-{self.index}",
            self.fleet.world.now_ms,
            holder_state.HolderSettings(),
            self.keys,
        )

    def offer(self, request: spend_world.Request) -> None:
        """Admits a request."""
        charge = spending.Charge(
            request.number,
            spending.ChargeRequest(
                BUDGET,
                self.fleet.random.randbytes(16),
                b"12345678",
                request.bound_tokens,
            ),
            request.deadline_ms,
        )
        self.runs[request.number] = _Run(request, charge)
        self.holder.admit(charge, self.fleet.world.now_ms)
        self.wake()

    def wake(self) -> None:
        """Hears events now and sends calls within the batch window."""
        self._hear()
        if not self._is_pump_due:
            self._is_pump_due = True
            self.fleet.world.schedule(_BATCH_MS, self._pump)

    def tick(self) -> None:
        """Looks at deadlines from time to time."""
        if not self.is_alive:
            return
        now_ms = self.fleet.world.now_ms
        for each in (*self.retired, self.holder):
            each.advance(now_ms)
        if self.holder.is_owner_reachable:
            for bill in self.copies.collect_due(0, now_ms):
                self.holder.enqueue_bill_copy(bill)
        self._hear()
        self._send_calls()
        self.fleet.world.schedule(_TICK_MS, self.tick)

    def _pump(self) -> None:
        """Sends what is due."""
        self._is_pump_due = False
        if self.is_alive:
            self._send_calls()

    def _send_calls(self) -> None:
        """Sends the calls of the holders that may speak."""
        speakers: tuple[holder.Holder, ...] = (*self.retired, self.holder)
        if any(each.has_open_bills() for each in self.retired):
            speakers = tuple(self.retired)
        for each in speakers:
            while (call := each.next_call(self.fleet.world.now_ms)) is not None:
                self.fleet.send_call(self, each, call)
        self.retired = [each for each in self.retired if not each.is_finished()]

    def _hear(self) -> None:
        """Acts on the holders' events until there are none."""
        is_done = False
        while not is_done:
            is_done = True
            for each in (*self.retired, self.holder):
                for event in each.pop_events():
                    is_done = False
                    self._hear_event(each, event)

    def _hear_event(
        self, source: holder.Holder, event: holder_events.Event
    ) -> None:
        """Acts on one event."""
        match event:
            case holder_events.AdmissionEnded():
                self._end_admission(source, event)
            case holder_events.SettlementEnded():
                self._end_settlement(event)
            case holder_events.BillCopyRequested():
                hold = spending.HoldBills(0, source.incarnation, (event.bill,))
                self.fleet.send_to_siblings(self, hold)
            case holder_events.BillLogged():
                self.copies.remove((event.key,))
                forget = spending.ForgetBills(
                    0, source.incarnation, (event.key,)
                )
                self.fleet.send_to_siblings(self, forget)
            case holder_events.ReserveRequested():
                self.fleet.ask_siblings(self, source, event.request)
            case holder_events.HolderRetired():
                self._replace(source)
            case _:
                self.fleet.refused_bills += 1

    def _end_admission(
        self, source: holder.Holder, event: holder_events.AdmissionEnded
    ) -> None:
        """Starts a request or refuses it."""
        run = self.runs[event.charge_id]
        if not isinstance(event.result, spending.Charge):
            del self.runs[event.charge_id]
            self.fleet.tally.refuse(run.request)
            return
        self.by_charge[event.charge_id] = source
        run.is_running = True
        self.fleet.tally.start(run.request)
        self.fleet.world.schedule(
            run.request.duration_ms, lambda: self._finish(run)
        )

    def _finish(self, run: _Run) -> None:
        """Bills a request that has run."""
        if not self.is_alive:
            return
        charge_id = run.charge.charge_id
        self.by_charge[charge_id].settle(
            run.charge, run.request.cost_tokens, self.fleet.world.now_ms
        )
        self.wake()

    def _end_settlement(self, event: holder_events.SettlementEnded) -> None:
        """Ends an answer."""
        run = self.runs.pop(event.charge_id)
        self.by_charge.pop(event.charge_id, None)
        if isinstance(event.result, spending.Settled):
            if not event.result.is_durable:
                self.fleet.tally.undurable += 1
            self.fleet.tally.answer(run.request)
        else:
            self.fleet.tally.void(run.request)

    def _replace(self, retired: holder.Holder) -> None:
        """Lets a successor take over."""
        now_ms = self.fleet.world.now_ms
        if retired is self.holder:
            self.retired.append(retired)
            self.holder = self._make_holder(self.fleet.make_incarnation())
            self.holder.register_budget(BUDGET, now_ms)
        for reservation in retired.pop_reservations_to_adopt():
            self.by_charge[reservation.charge.charge_id] = self.holder
            self.holder.adopt(reservation, now_ms)


class Fleet:
    """All routers, the shard's owners and the log."""

    def __init__(
        self,
        world: spend_world.World,
        tally: spend_world.Tally,
        policy: FleetPolicy,
        seed: int,
    ) -> None:
        """Starts every router and credits the budget."""
        self.world = world
        self.tally = tally
        self.random = random.Random(seed)
        self.refused_bills = 0
        self._codec = registry.make_codec()
        self._log = fake_log.FakeLog()
        self._bytes = [0] * len(world.zones)
        self._policy = policy
        budget = configuration.Budget(
            BUDGET, policy.reserve_share, policy.lease_horizon_ms
        )
        self._placement = placement.PlacementPolicy(
            lambda _: budget, policy.smoothing
        )
        self._owner_policy = owner.OwnerPolicy(
            shard_count=1,
            appends_per_s=1_000 / policy.commit_interval_ms,
            grants=grant_sizing.GrantPolicy(
                lease_ms=policy.lease_ms,
                reserve_horizon_ms=policy.reserve_horizon_ms,
            ),
        )
        self._owner_index = 0
        self._calls: dict[int, tuple[_Router, holder.Holder, Any]] = {}
        self._call_count = 0
        self._suspected_ms: dict[int, int] = {}
        self._known_dead: set[int] = set()
        self.routers = [
            _Router(self, index, self.make_incarnation())
            for index in range(len(world.zones))
        ]
        for router in self.routers:
            self.world.schedule(router.index, router.tick)
        self._propose(self.routers[0])
        self._credit(tally.credited_tokens)
        self.world.schedule(0, self._watch)

    def make_incarnation(self) -> int:
        """Returns a number that was never used before."""
        return self.random.getrandbits(63) + 1

    def offer(self, request: spend_world.Request, router: int) -> None:
        """Takes a request at a router."""
        self.routers[router].offer(request)

    def lose_router(self, router: int) -> None:
        """Ends a process with all that it had in memory."""
        dead = self.routers[router]
        dead.is_alive = False
        for run in dead.runs.values():
            if run.is_running:
                self.tally.lose(run.request)
            else:
                self.tally.lost += 1

    def restart_router(self, router: int) -> None:
        """Starts a new process on the same address."""
        self._retire(self.routers[router].incarnation)
        self.routers[router] = _Router(self, router, self.make_incarnation())
        self.world.schedule(0, self.routers[router].tick)

    def count_appends(self) -> int:
        """Returns the records in the log."""
        return self._log.append_count

    def count_control_bytes(self) -> Sequence[int]:
        """Returns the bytes sent and received for control, by router."""
        return self._bytes

    def count_unaccounted(self) -> int:
        """Returns the reserve of dead routers whose use nobody knows."""
        shard_owner = self.routers[self._owner_index].shard_owner
        if shard_owner is None:
            return 0
        balances = shard_owner.shard_fold.report_balances(BUDGET)
        return sum(each.unaccounted_tokens for each in balances)

    # Messages between routers.

    def send_call(
        self, router: _Router, caller: holder.Holder, call: outbox.OutgoingCall
    ) -> None:
        """Carries a call to the owner and counts its bytes."""
        self._call_count += 1
        call_id = self._call_count
        self._calls[call_id] = (router, caller, call)
        target = self._owner_index
        is_passed = self._count(router.index, target, call.message)
        if is_passed:
            self.world.schedule(
                spend_world.ROUTER_DELAY_MS,
                lambda: self._receive_call(target, call_id, call.message),
            )
        self.world.schedule(
            _CALL_TIMEOUT_MS + self._owner_policy.call_timeout_ms,
            lambda: self._lose_call(call_id),
        )
        if not is_passed:
            self.world.schedule(
                _CALL_TIMEOUT_MS, lambda: self._lose_call(call_id)
            )

    def send_to_siblings(
        self, router: _Router, record: spending.HoldBills | spending.ForgetBills
    ) -> None:
        """Sends a record to the routers of the same zone."""
        for sibling in self._list_siblings(router):
            if not self._count(router.index, sibling.index, record):
                continue
            match record:
                case spending.HoldBills():
                    sibling.copies.hold(record, self.world.now_ms)
                case spending.ForgetBills():
                    sibling.copies.remove(record.keys)

    def ask_siblings(
        self,
        router: _Router,
        asker: holder.Holder,
        request: spending.TransferRequest,
    ) -> None:
        """Asks the routers of the same zone for reserve."""
        for sibling in self._list_siblings(router):
            if self._count(router.index, sibling.index, request):
                self.world.schedule(
                    spend_world.ROUTER_DELAY_MS,
                    lambda each=sibling: self._answer_transfer(  # type: ignore[misc]
                        router, asker, each, request
                    ),
                )

    def _answer_transfer(
        self,
        router: _Router,
        asker: holder.Holder,
        sibling: _Router,
        request: spending.TransferRequest,
    ) -> None:
        """Lets a sibling give reserve and takes it in."""
        if not sibling.is_alive or not router.is_alive:
            return
        reply = sibling.holder.handle_transfer_request(
            request, self.world.now_ms
        )
        sibling.wake()
        if self._count(sibling.index, router.index, reply):
            asker.handle_transfer(reply.transfer, self.world.now_ms)
            router.wake()

    def _list_siblings(self, router: _Router) -> list[_Router]:
        """Returns the other live routers of a router's zone."""
        zones = self.world.zones
        return [
            each
            for each in self.routers
            if each.is_alive
            and each is not router
            and zones[each.index] == zones[router.index]
        ]

    def _count(self, source: int, target: int, record: object) -> bool:
        """Counts a message; returns whether it passes."""
        if not self.world.can_reach(source, target):
            return False
        if source != target:
            size = len(self._codec.encode(record))
            self._bytes[source] += size
            self._bytes[target] += size
        return True

    # The owner's side.

    def _receive_call(
        self, target: int, call_id: int, message: data.LedgerCall
    ) -> None:
        """Gives a call to the owner."""
        shard_owner = self.routers[target].shard_owner
        if shard_owner is None or not self.routers[target].is_alive:
            return
        shard_owner.handle_call(self.world.now_ms, call_id, message)
        self._deliver(target)
        self._commit(target)

    def _commit(self, index: int) -> None:
        """Appends the next record when one is due."""
        shard_owner = self.routers[index].shard_owner
        if shard_owner is None or not self.routers[index].is_alive:
            return
        record = shard_owner.next_append(self.world.now_ms)
        self._deliver(index)
        if record is None:
            return
        body = self._codec.encode(record)
        self._bytes[index] += len(body)
        self.world.schedule(
            spend_world.LOG_DELAY_MS,
            lambda: self._append(index, shard_owner, body),
        )

    def _append(
        self, index: int, shard_owner: owner.ShardOwner, body: bytes
    ) -> None:
        """Takes a record into the log and lets its owner read it back."""
        outcome: log_outcomes.AppendOutcome
        if self.world.can_log(index):
            outcome = self._log.append(_STREAM, body)
            self._bytes[index] += len(body)
        else:
            outcome = log_outcomes.LogUnreachable("the log is out of reach")
        shard_owner.handle_append_outcome(self.world.now_ms, outcome)
        self._read(index, shard_owner)
        self._commit(index)

    def _read(self, index: int, shard_owner: owner.ShardOwner) -> None:
        """Reads the stream for an owner."""
        order = shard_owner.begin_read()
        outcome: log_outcomes.ReadOutcome
        if self.world.can_log(index):
            outcome = self._log.read(_STREAM, order.from_offset)
        else:
            outcome = log_outcomes.LogUnreachable("the log is out of reach")
        shard_owner.handle_read_outcome(self.world.now_ms, order, outcome)
        self._deliver(index)

    def _poll(self, index: int, shard_owner: owner.ShardOwner) -> None:
        """Reads from time to time, for takeovers and after outages."""
        router = self.routers[index]
        if not router.is_alive or router.shard_owner is not shard_owner:
            return
        shard_owner.expire_calls(self.world.now_ms)
        self._read(index, shard_owner)
        self._commit(index)
        self.world.schedule(
            _TICK_MS if shard_owner.is_owner else _POLL_MS,
            lambda: self._poll(index, shard_owner),
        )

    def _deliver(self, index: int) -> None:
        """Sends ready answers and recalls."""
        shard_owner = self.routers[index].shard_owner
        if shard_owner is None:
            return
        for answer in shard_owner.pop_replies():
            entry = self._calls.get(answer.call_id)
            if entry is None:
                continue
            if self._count(index, entry[0].index, answer.reply):
                self.world.schedule(
                    spend_world.ROUTER_DELAY_MS,
                    lambda each=answer: self._receive_reply(  # type: ignore[misc]
                        each.call_id, each.reply
                    ),
                )
        for order in shard_owner.pop_recalls():
            target = int(order.host.removeprefix("host-"))
            if self._count(index, target, order.recall):
                router = self.routers[target]
                router.holder.handle_recall(order.recall)
                router.wake()

    def _receive_reply(self, call_id: int, reply: data.LedgerReply) -> None:
        """Gives a reply to its caller."""
        router, caller, call = self._calls.pop(call_id)
        if router.is_alive:
            caller.handle_reply(call.call_id, reply, self.world.now_ms)
            router.wake()

    def _lose_call(self, call_id: int) -> None:
        """Ends a call that was not answered."""
        entry = self._calls.pop(call_id, None)
        if entry is not None and entry[0].is_alive:
            router, caller, call = entry
            caller.handle_call_failure(call.call_id, self.world.now_ms)
            router.wake()

    # Membership.

    def _watch(self) -> None:
        """Notices who is out of reach, moves the owner, declares deaths."""
        now_ms = self.world.now_ms
        for router in self.routers:
            if self.world.can_log(router.index) or not self.world.is_log_up:
                self._suspected_ms.pop(router.index, None)
                continue
            since_ms = self._suspected_ms.setdefault(router.index, now_ms)
            if now_ms - since_ms >= _DEATH_MS:
                self._retire(router.incarnation)
                self._retire(router.holder.incarnation)
        since = self._suspected_ms.get(self._owner_index)
        if since is not None and now_ms - since >= _DETECTION_MS:
            live = [
                each
                for each in self.routers
                if each.index not in self._suspected_ms and each.is_alive
            ]
            if live:
                self._propose(live[0])
        self.world.schedule(250, self._watch)

    def _retire(self, incarnation: int) -> None:
        """Tells the present owner that an incarnation is dead."""
        self._known_dead.add(incarnation)
        shard_owner = self.routers[self._owner_index].shard_owner
        if shard_owner is not None:
            shard_owner.mark_holder_dead(incarnation)

    def _propose(self, router: _Router) -> None:
        """Lets a router take the shard over."""
        old = self.routers[self._owner_index].shard_owner
        if old is not None:
            old.set_proposed(False)
        self._owner_index = router.index
        if router.shard_owner is None:
            router.shard_owner = owner.ShardOwner(
                0,
                router.incarnation,
                f"host-{router.index}",
                self._owner_policy,
                self._codec,
                self._placement.size_grant,
                self._placement.choose_recalls,
            )
            for each in self._known_dead:
                router.shard_owner.mark_holder_dead(each)
        router.shard_owner.set_proposed(True)
        self._poll(router.index, router.shard_owner)

    def _credit(self, tokens: int) -> None:
        """Credits the budget once the first owner is there."""
        shard_owner = self.routers[0].shard_owner
        if shard_owner is None or not shard_owner.is_owner:
            self.world.schedule(_TICK_MS, lambda: self._credit(tokens))
            return
        credit = data.Credit(BUDGET, "invoice-1", tokens, "ops", "bench")
        call = data.LedgerCall(0, 0, "host-0", entries=(credit,))
        shard_owner.handle_call(self.world.now_ms, 0, call)
        self._commit(0)
