"""The chosen design under the spending bench: the real decision code.

`ShardOwner`, `ShardFold`, `Holder` and `PlacementPolicy` run as they do in the
daemon; only the asyncio shells are replaced by the world's message loop.
"""

from collections.abc import Sequence
import random
from typing import Any

import attrs

from redwingchute.bench import spend_simulation
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
_TICK_INTERVAL_MS = 25
_BATCH_WINDOW_MS = 3
_CALL_TIMEOUT_MS = 300
_POLL_INTERVAL_MS = 250
# How soon membership notices a router that is down or cut off.
_DETECTION_DELAY_MS = 2_000
_DEATH_TIMEOUT_MS = 10_000


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
class _ActiveRequest:
    """A request in hand at a router."""

    request: spend_simulation.Request
    charge: spending.Charge
    is_running: bool = False


class _Router:
    """One router: its holders, its kept copies and, at times, an owner."""

    def __init__(self, fleet: "Fleet", index: int, incarnation: int) -> None:
        """Starts a process."""
        self.fleet = fleet
        self.index = index
        self.incarnation = incarnation
        self.bill_copies = bill_store.BillStore()
        self.local_keys = local_keys.LocalKeys()
        self.retired: list[holder.Holder] = []
        self.holder = self._make_holder(incarnation)
        self.holder.register_budget(BUDGET, fleet.simulation.now_ms)
        self.active_requests: dict[int, _ActiveRequest] = {}
        self.holders_by_charge: dict[int, holder.Holder] = {}
        self.shard_owner: owner.ShardOwner | None = None
        self.is_alive = True
        self._is_batch_scheduled = False

    def _make_holder(self, incarnation: int) -> holder.Holder:
        """Returns a holder of a new incarnation."""
        return holder.Holder(
            0,
            incarnation,
            f"host-{self.index}",
            self.fleet.simulation.now_ms,
            holder_state.HolderSettings(),
            self.local_keys,
        )

    def handle_request(self, request: spend_simulation.Request) -> None:
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
        self.active_requests[request.number] = _ActiveRequest(request, charge)
        self.holder.admit(charge, self.fleet.simulation.now_ms)
        self.process_events()

    def process_events(self) -> None:
        """Hears events now and sends calls within the batch window."""
        self._handle_events()
        if not self._is_batch_scheduled:
            self._is_batch_scheduled = True
            self.fleet.simulation.schedule(_BATCH_WINDOW_MS, self._send_batch)

    def tick(self) -> None:
        """Looks at deadlines from time to time."""
        if not self.is_alive:
            return
        now_ms = self.fleet.simulation.now_ms
        for each in (*self.retired, self.holder):
            each.advance(now_ms)
        if self.holder.is_owner_reachable:
            for bill in self.bill_copies.collect_due(0, now_ms):
                self.holder.enqueue_bill_copy(bill)
        self._handle_events()
        self._send_calls()
        self.fleet.simulation.schedule(_TICK_INTERVAL_MS, self.tick)

    def _send_batch(self) -> None:
        """Sends what is due."""
        self._is_batch_scheduled = False
        if self.is_alive:
            self._send_calls()

    def _send_calls(self) -> None:
        """Sends the calls of the holders that may speak."""
        senders: tuple[holder.Holder, ...] = (*self.retired, self.holder)
        if any(each.has_open_bills() for each in self.retired):
            senders = tuple(self.retired)
        for each in senders:
            while (
                call := each.next_call(self.fleet.simulation.now_ms)
            ) is not None:
                self.fleet.send_call(self, each, call)
        self.retired = [each for each in self.retired if not each.is_finished()]

    def _handle_events(self) -> None:
        """Acts on the holders' events until there are none."""
        is_done = False
        while not is_done:
            is_done = True
            for each in (*self.retired, self.holder):
                for event in each.pop_events():
                    is_done = False
                    self._handle_event(each, event)

    def _handle_event(
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
                self.bill_copies.remove((event.key,))
                forget = spending.ForgetBills(
                    0, source.incarnation, (event.key,)
                )
                self.fleet.send_to_siblings(self, forget)
            case holder_events.ReserveRequested():
                self.fleet.request_reserve(self, source, event.request)
            case holder_events.HolderRetired():
                self._replace_holder(source)
            case _:
                self.fleet.refused_bills += 1

    def _end_admission(
        self, source: holder.Holder, event: holder_events.AdmissionEnded
    ) -> None:
        """Starts a request or refuses it."""
        active = self.active_requests[event.charge_id]
        if not isinstance(event.result, spending.Charge):
            del self.active_requests[event.charge_id]
            self.fleet.tally.record_refusal(active.request)
            return
        self.holders_by_charge[event.charge_id] = source
        active.is_running = True
        self.fleet.tally.record_start(active.request)
        self.fleet.simulation.schedule(
            active.request.duration_ms, lambda: self._finish(active)
        )

    def _finish(self, active: _ActiveRequest) -> None:
        """Bills a request that has run."""
        if not self.is_alive:
            return
        charge_id = active.charge.charge_id
        self.holders_by_charge[charge_id].settle(
            active.charge,
            active.request.cost_tokens,
            self.fleet.simulation.now_ms,
        )
        self.process_events()

    def _end_settlement(self, event: holder_events.SettlementEnded) -> None:
        """Ends an answer."""
        active = self.active_requests.pop(event.charge_id)
        self.holders_by_charge.pop(event.charge_id, None)
        if isinstance(event.result, spending.Settled):
            if not event.result.is_durable:
                self.fleet.tally.undurable += 1
            self.fleet.tally.record_answer(active.request)
        else:
            self.fleet.tally.record_void(active.request)

    def _replace_holder(self, retired: holder.Holder) -> None:
        """Lets a successor take over."""
        now_ms = self.fleet.simulation.now_ms
        if retired is self.holder:
            self.retired.append(retired)
            self.holder = self._make_holder(self.fleet.make_incarnation())
            self.holder.register_budget(BUDGET, now_ms)
        for reservation in retired.pop_reservations_to_adopt():
            self.holders_by_charge[reservation.charge.charge_id] = self.holder
            self.holder.adopt(reservation, now_ms)


class Fleet:
    """All routers, the shard's owners and the log."""

    def __init__(
        self,
        simulation: spend_simulation.SpendSimulation,
        tally: spend_simulation.Tally,
        policy: FleetPolicy,
        seed: int,
    ) -> None:
        """Starts every router and credits the budget."""
        self.simulation = simulation
        self.tally = tally
        self.random = random.Random(seed)
        self.refused_bills = 0
        self._codec = registry.make_codec()
        self._log = fake_log.FakeLog()
        self._bytes = [0] * len(simulation.zones)
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
        self._unreachable_since_ms: dict[int, int] = {}
        self._dead_incarnations: set[int] = set()
        self.routers = [
            _Router(self, index, self.make_incarnation())
            for index in range(len(simulation.zones))
        ]
        for router in self.routers:
            self.simulation.schedule(router.index, router.tick)
        self._propose_owner(self.routers[0])
        self._credit(tally.credited_tokens)
        self.simulation.schedule(0, self._update_membership)

    def make_incarnation(self) -> int:
        """Returns a number that was never used before."""
        return self.random.getrandbits(63) + 1

    def handle_request(
        self, request: spend_simulation.Request, router: int
    ) -> None:
        """Takes a request at a router."""
        self.routers[router].handle_request(request)

    def crash_router(self, router: int) -> None:
        """Ends a process with all that it had in memory."""
        dead = self.routers[router]
        dead.is_alive = False
        for active in dead.active_requests.values():
            if active.is_running:
                self.tally.record_loss(active.request)
            else:
                self.tally.lost += 1

    def restart_router(self, router: int) -> None:
        """Starts a new process on the same address."""
        self._mark_incarnation_dead(self.routers[router].incarnation)
        self.routers[router] = _Router(self, router, self.make_incarnation())
        self.simulation.schedule(0, self.routers[router].tick)

    def count_appends(self) -> int:
        """Returns the records in the log."""
        return self._log.append_count

    def count_control_bytes(self) -> Sequence[int]:
        """Returns the bytes sent and received for control, by router."""
        return self._bytes

    def count_unaccounted_tokens(self) -> int:
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
        is_delivered = self._count_message(router.index, target, call.message)
        if is_delivered:
            self.simulation.schedule(
                spend_simulation.ROUTER_DELAY_MS,
                lambda: self._receive_call(target, call_id, call.message),
            )
        self.simulation.schedule(
            _CALL_TIMEOUT_MS + self._owner_policy.call_timeout_ms,
            lambda: self._fail_call(call_id),
        )
        if not is_delivered:
            self.simulation.schedule(
                _CALL_TIMEOUT_MS, lambda: self._fail_call(call_id)
            )

    def send_to_siblings(
        self, router: _Router, record: spending.HoldBills | spending.ForgetBills
    ) -> None:
        """Sends a record to the routers of the same zone."""
        for sibling in self._list_siblings(router):
            if not self._count_message(router.index, sibling.index, record):
                continue
            match record:
                case spending.HoldBills():
                    sibling.bill_copies.hold(record, self.simulation.now_ms)
                case spending.ForgetBills():
                    sibling.bill_copies.remove(record.keys)

    def request_reserve(
        self,
        router: _Router,
        borrower: holder.Holder,
        request: spending.TransferRequest,
    ) -> None:
        """Asks the routers of the same zone for reserve."""
        for sibling in self._list_siblings(router):
            if self._count_message(router.index, sibling.index, request):
                self.simulation.schedule(
                    spend_simulation.ROUTER_DELAY_MS,
                    lambda each=sibling: self._transfer_reserve(  # type: ignore[misc]
                        router, borrower, each, request
                    ),
                )

    def _transfer_reserve(
        self,
        router: _Router,
        borrower: holder.Holder,
        sibling: _Router,
        request: spending.TransferRequest,
    ) -> None:
        """Lets a sibling give reserve and takes it in."""
        if not sibling.is_alive or not router.is_alive:
            return
        reply = sibling.holder.handle_transfer_request(
            request, self.simulation.now_ms
        )
        sibling.process_events()
        if self._count_message(sibling.index, router.index, reply):
            borrower.handle_transfer(reply.transfer, self.simulation.now_ms)
            router.process_events()

    def _list_siblings(self, router: _Router) -> list[_Router]:
        """Returns the other live routers of a router's zone."""
        zones = self.simulation.zones
        return [
            each
            for each in self.routers
            if each.is_alive
            and each is not router
            and zones[each.index] == zones[router.index]
        ]

    def _count_message(self, source: int, target: int, record: object) -> bool:
        """Counts a message; returns whether it passes."""
        if not self.simulation.can_reach(source, target):
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
        shard_owner.handle_call(self.simulation.now_ms, call_id, message)
        self._send_replies_and_recalls(target)
        self._append_next(target)

    def _append_next(self, index: int) -> None:
        """Appends the next record when one is due."""
        shard_owner = self.routers[index].shard_owner
        if shard_owner is None or not self.routers[index].is_alive:
            return
        record = shard_owner.next_append(self.simulation.now_ms)
        self._send_replies_and_recalls(index)
        if record is None:
            return
        body = self._codec.encode(record)
        self._bytes[index] += len(body)
        self.simulation.schedule(
            spend_simulation.LOG_DELAY_MS,
            lambda: self._append(index, shard_owner, body),
        )

    def _append(
        self, index: int, shard_owner: owner.ShardOwner, body: bytes
    ) -> None:
        """Takes a record into the log and lets its owner read it back."""
        outcome: log_outcomes.AppendOutcome
        if self.simulation.can_reach_log(index):
            outcome = self._log.append(_STREAM, body)
            self._bytes[index] += len(body)
        else:
            outcome = log_outcomes.LogUnreachable("the log is out of reach")
        shard_owner.handle_append_outcome(self.simulation.now_ms, outcome)
        self._read(index, shard_owner)
        self._append_next(index)

    def _read(self, index: int, shard_owner: owner.ShardOwner) -> None:
        """Reads the stream for an owner."""
        order = shard_owner.begin_read()
        outcome: log_outcomes.ReadOutcome
        if self.simulation.can_reach_log(index):
            outcome = self._log.read(_STREAM, order.from_offset)
        else:
            outcome = log_outcomes.LogUnreachable("the log is out of reach")
        shard_owner.handle_read_outcome(self.simulation.now_ms, order, outcome)
        self._send_replies_and_recalls(index)

    def _poll(self, index: int, shard_owner: owner.ShardOwner) -> None:
        """Reads from time to time, for takeovers and after outages."""
        router = self.routers[index]
        if not router.is_alive or router.shard_owner is not shard_owner:
            return
        shard_owner.expire_calls(self.simulation.now_ms)
        self._read(index, shard_owner)
        self._append_next(index)
        self.simulation.schedule(
            _TICK_INTERVAL_MS if shard_owner.is_owner else _POLL_INTERVAL_MS,
            lambda: self._poll(index, shard_owner),
        )

    def _send_replies_and_recalls(self, index: int) -> None:
        """Sends ready answers and recalls."""
        shard_owner = self.routers[index].shard_owner
        if shard_owner is None:
            return
        for answer in shard_owner.pop_replies():
            pending_call = self._calls.get(answer.call_id)
            if pending_call is None:
                continue
            if self._count_message(index, pending_call[0].index, answer.reply):
                self.simulation.schedule(
                    spend_simulation.ROUTER_DELAY_MS,
                    lambda each=answer: self._receive_reply(  # type: ignore[misc]
                        each.call_id, each.reply
                    ),
                )
        for order in shard_owner.pop_recalls():
            target = int(order.host.removeprefix("host-"))
            if self._count_message(index, target, order.recall):
                router = self.routers[target]
                router.holder.handle_recall(order.recall)
                router.process_events()

    def _receive_reply(self, call_id: int, reply: data.LedgerReply) -> None:
        """Gives a reply to its caller."""
        router, caller, call = self._calls.pop(call_id)
        if router.is_alive:
            caller.handle_reply(call.call_id, reply, self.simulation.now_ms)
            router.process_events()

    def _fail_call(self, call_id: int) -> None:
        """Ends a call that was not answered."""
        pending_call = self._calls.pop(call_id, None)
        if pending_call is not None and pending_call[0].is_alive:
            router, caller, call = pending_call
            caller.handle_call_failure(call.call_id, self.simulation.now_ms)
            router.process_events()

    # Membership.

    def _update_membership(self) -> None:
        """Notices who is out of reach, moves the owner, declares deaths."""
        now_ms = self.simulation.now_ms
        for router in self.routers:
            if (
                self.simulation.can_reach_log(router.index)
                or not self.simulation.is_log_up
            ):
                self._unreachable_since_ms.pop(router.index, None)
                continue
            since_ms = self._unreachable_since_ms.setdefault(
                router.index, now_ms
            )
            if now_ms - since_ms >= _DEATH_TIMEOUT_MS:
                self._mark_incarnation_dead(router.incarnation)
                self._mark_incarnation_dead(router.holder.incarnation)
        owner_unreachable_since_ms = self._unreachable_since_ms.get(
            self._owner_index
        )
        if (
            owner_unreachable_since_ms is not None
            and now_ms - owner_unreachable_since_ms >= _DETECTION_DELAY_MS
        ):
            live = [
                each
                for each in self.routers
                if each.index not in self._unreachable_since_ms
                and each.is_alive
            ]
            if live:
                self._propose_owner(live[0])
        self.simulation.schedule(250, self._update_membership)

    def _mark_incarnation_dead(self, incarnation: int) -> None:
        """Tells the present owner that an incarnation is dead."""
        self._dead_incarnations.add(incarnation)
        shard_owner = self.routers[self._owner_index].shard_owner
        if shard_owner is not None:
            shard_owner.mark_holder_dead(incarnation)

    def _propose_owner(self, router: _Router) -> None:
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
            for each in self._dead_incarnations:
                router.shard_owner.mark_holder_dead(each)
        router.shard_owner.set_proposed(True)
        self._poll(router.index, router.shard_owner)

    def _credit(self, tokens: int) -> None:
        """Credits the budget once the first owner is there."""
        shard_owner = self.routers[0].shard_owner
        if shard_owner is None or not shard_owner.is_owner:
            self.simulation.schedule(
                _TICK_INTERVAL_MS, lambda: self._credit(tokens)
            )
            return
        credit = data.Credit(BUDGET, "invoice-1", tokens, "ops", "bench")
        call = data.LedgerCall(0, 0, "host-0", entries=(credit,))
        shard_owner.handle_call(self.simulation.now_ms, 0, call)
        self._append_next(0)
