"""Runs the router's own ledger code in the simulation of the spend bench.

`ShardOwner`, `ShardFold`, `Holder` and `PlacementPolicy` are those of the
daemon. The event queue of the simulation replaces the asyncio tasks, timers and
connections that drive them there.
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
_MEMBERSHIP_INTERVAL_MS = 250
# The delay until another router replaces an owner that is down or isolated.
_DETECTION_DELAY_MS = 2_000
# The delay until membership declares a router that is down or isolated dead.
_DEATH_TIMEOUT_MS = 10_000


@attrs.frozen
class FleetPolicy:
    """The settings of grants and commits that the benches vary.

    Attributes:
      reserve_share: The largest part of a holder's share of the budget that it
        gets as reserve, from 0 to 1.
      reserve_horizon_ms: How long a reserve should last at the holder's demand.
      lease_horizon_ms: How long a lease should last at the holder's demand.
      smoothing: The share of the mean demand that is added to the demand of
        every holder when the budget is divided.
      lease_ms: The interval after which holders request tokens again.
      commit_interval_ms: The least interval between two appends of the shard.
    """

    reserve_share: float = 1.0
    reserve_horizon_ms: int = 3_600_000
    lease_horizon_ms: int = 2_000
    smoothing: float = placement.SMOOTHING
    lease_ms: int = 2_000
    commit_interval_ms: int = 64


@attrs.define(eq=False)
class _ActiveRequest:
    """A request at a router that waits, runs or is being settled.

    Attributes:
      request: The request.
      charge: Its charge to the budget.
      is_running: Whether it was admitted.
    """

    request: spend_simulation.Request
    charge: spending.Charge
    is_running: bool = False


class _Router:
    """A router process: holders, copies of bills and perhaps a shard owner.

    Attributes:
      fleet: The fleet.
      index: The index of the router.
      incarnation: The incarnation of the process.
      bill_copies: Copies of siblings' bills that are not in the log yet.
      local_keys: The idempotency keys of the requests that this router started;
        all holders share them.
      retired: Holders that the ledger retired, until they are finished.
      holder: The current holder.
      active_requests: The requests at this router, by charge id.
      holders_by_charge: The holder that has the reservation of each running
        request, by charge id.
      shard_owner: The code of a shard owner; None if the router was never
        proposed as owner.
      is_alive: False after a crash.
    """

    def __init__(self, fleet: "Fleet", index: int, incarnation: int) -> None:
        """Creates a router process with its first holder.

        Args:
          fleet: The fleet.
          index: The index of the router.
          incarnation: The incarnation of the process and of its first holder.
        """
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
        """Requests the admission of a request."""
        charge = spending.Charge(
            request.number,
            spending.ChargeRequest(
                BUDGET,
                self.fleet.random.randbytes(16),
                # The digest of a body; it matters only if a key is repeated,
                # and these keys are random.
                b"12345678",
                request.bound_tokens,
            ),
            request.deadline_ms,
        )
        self.active_requests[request.number] = _ActiveRequest(request, charge)
        self.holder.admit(charge, self.fleet.simulation.now_ms)
        self.process_events()

    def process_events(self) -> None:
        """Handles pending events now; sends calls after the batch window."""
        self._handle_events()
        if not self._is_batch_scheduled:
            self._is_batch_scheduled = True
            self.fleet.simulation.schedule(_BATCH_WINDOW_MS, self._send_batch)

    def tick(self) -> None:
        """Periodically advances the timers and sends due copies and calls."""
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
        """Sends the calls that are due at the end of the batch window."""
        self._is_batch_scheduled = False
        if self.is_alive:
            self._send_calls()

    def _send_calls(self) -> None:
        """Sends the calls that are due.

        While a retired holder has open bills, its successor sends none.
        """
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
        """Handles the holders' events until there are none."""
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
        """Handles one event of a holder."""
        match event:
            case holder_events.AdmissionEnded():
                self._end_admission(source, event)
            case holder_events.SettlementEnded():
                self._end_settlement(event)
            case holder_events.BillCopyRequested():
                hold_bills = spending.HoldBills(
                    0, source.incarnation, (event.bill,)
                )
                self.fleet.send_to_siblings(self, hold_bills)
            case holder_events.BillLogged():
                self.bill_copies.remove((event.key,))
                forget_bills = spending.ForgetBills(
                    0, source.incarnation, (event.key,)
                )
                self.fleet.send_to_siblings(self, forget_bills)
            case holder_events.ReserveRequested():
                self.fleet.request_reserve(self, source, event.request)
            case holder_events.HolderRetired():
                self._replace_holder(source)
            case _:
                # `BillRefused`; a `ClaimEnded` can't occur without claims.
                self.fleet.refused_bills += 1

    def _end_admission(
        self, source: holder.Holder, event: holder_events.AdmissionEnded
    ) -> None:
        """Starts an admitted request; records a refused one."""
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
        """Settles a request that has run."""
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
        """Records the result of a settlement, which ends the response."""
        active = self.active_requests.pop(event.charge_id)
        self.holders_by_charge.pop(event.charge_id, None)
        if isinstance(event.result, spending.Settled):
            if not event.result.is_durable:
                self.fleet.tally.undurable += 1
            self.fleet.tally.record_answer(active.request)
        else:
            self.fleet.tally.record_void(active.request)

    def _replace_holder(self, retired: holder.Holder) -> None:
        """Creates the successor of a retired holder.

        The successor adopts the reservations that may move to it.
        """
        now_ms = self.fleet.simulation.now_ms
        if retired is self.holder:
            self.retired.append(retired)
            self.holder = self._make_holder(self.fleet.make_incarnation())
            self.holder.register_budget(BUDGET, now_ms)
        for reservation in retired.pop_reservations_to_adopt():
            self.holders_by_charge[reservation.charge.charge_id] = self.holder
            self.holder.adopt(reservation, now_ms)


class Fleet:
    """All routers, the owner of the only ledger shard, and the log.

    Attributes:
      simulation: The clock and the network faults.
      tally: The outcomes of the requests.
      random: The source of incarnations and idempotency keys.
      refused_bills: The number of bills that the ledger refused after the
        response had ended.
      routers: The current process of each router.
    """

    def __init__(
        self,
        simulation: spend_simulation.SpendSimulation,
        tally: spend_simulation.Tally,
        policy: FleetPolicy,
        seed: int,
    ) -> None:
        """Starts every router and credits the budget.

        Args:
          simulation: The clock and the network faults.
          tally: Receives the outcome of each request.
          policy: The settings of grants and commits.
          seed: The seed of incarnations and idempotency keys.
        """
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
        """Returns a random number that identifies a process or a holder."""
        return self.random.getrandbits(63) + 1

    def handle_request(
        self, request: spend_simulation.Request, router: int
    ) -> None:
        """Handles a request that arrives at a router."""
        self.routers[router].handle_request(request)

    def crash_router(self, router: int) -> None:
        """Crashes a router, which loses everything in its memory."""
        crashed = self.routers[router]
        crashed.is_alive = False
        for active in crashed.active_requests.values():
            if active.is_running:
                self.tally.record_loss(active.request)
            else:
                self.tally.lost += 1

    def restart_router(self, router: int) -> None:
        """Restarts a crashed router as a new process at the same address."""
        self._mark_incarnation_dead(self.routers[router].incarnation)
        self.routers[router] = _Router(self, router, self.make_incarnation())
        self.simulation.schedule(0, self.routers[router].tick)

    def count_appends(self) -> int:
        """Returns the number of records appended to the log."""
        return self._log.append_count

    def count_control_bytes(self) -> Sequence[int]:
        """Returns the control bytes sent and received by each router."""
        return self._bytes

    def count_unaccounted_tokens(self) -> int:
        """Returns the tokens of crashed routers whose use is unknown."""
        shard_owner = self.routers[self._owner_index].shard_owner
        if shard_owner is None:
            return 0
        balances = shard_owner.shard_fold.report_balances(BUDGET)
        return sum(each.unaccounted_tokens for each in balances)

    # Messages between routers.

    def send_call(
        self, router: _Router, caller: holder.Holder, call: outbox.OutgoingCall
    ) -> None:
        """Sends a holder's call to the owner and schedules its timeout."""
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
        """Sends a record, without delay, to the other routers of a zone."""
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
        """Requests reserve from the other routers of a router's zone."""
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
        """Transfers reserve from a sibling's holder to the borrower."""
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
        """Counts the bytes of a message; returns whether it arrives."""
        if not self.simulation.can_reach(source, target):
            return False
        if source != target:
            size = len(self._codec.encode(record))
            self._bytes[source] += size
            self._bytes[target] += size
        return True

    # The shard's owner.

    def _receive_call(
        self, target: int, call_id: int, message: data.LedgerCall
    ) -> None:
        """Handles a call that arrives at the owner."""
        shard_owner = self.routers[target].shard_owner
        if shard_owner is None or not self.routers[target].is_alive:
            return
        shard_owner.handle_call(self.simulation.now_ms, call_id, message)
        self._send_replies_and_recalls(target)
        self._append_next(target)

    def _append_next(self, index: int) -> None:
        """Starts the append of the owner's next record if one is due."""
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
        """Appends a record to the log; its owner then reads it back."""
        outcome: log_outcomes.AppendOutcome
        if self.simulation.can_reach_log(index):
            outcome = self._log.append(_STREAM, body)
            # The owner reads the record back.
            self._bytes[index] += len(body)
        else:
            outcome = log_outcomes.LogUnreachable("the log is out of reach")
        shard_owner.handle_append_outcome(self.simulation.now_ms, outcome)
        self._read(index, shard_owner)
        self._append_next(index)

    def _read(self, index: int, shard_owner: owner.ShardOwner) -> None:
        """Reads the records of the shard that an owner has not read yet."""
        planned_read = shard_owner.begin_read()
        outcome: log_outcomes.ReadOutcome
        if self.simulation.can_reach_log(index):
            outcome = self._log.read(_STREAM, planned_read.from_offset)
        else:
            outcome = log_outcomes.LogUnreachable("the log is out of reach")
        shard_owner.handle_read_outcome(
            self.simulation.now_ms, planned_read, outcome
        )
        self._send_replies_and_recalls(index)

    def _poll(self, index: int, shard_owner: owner.ShardOwner) -> None:
        """Reads the log periodically, for takeovers and after outages."""
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
        """Sends the owner's queued replies and recalls."""
        shard_owner = self.routers[index].shard_owner
        if shard_owner is None:
            return
        for call_reply in shard_owner.pop_replies():
            pending_call = self._calls.get(call_reply.call_id)
            if pending_call is None:
                continue
            if self._count_message(
                index, pending_call[0].index, call_reply.reply
            ):
                self.simulation.schedule(
                    spend_simulation.ROUTER_DELAY_MS,
                    lambda each=call_reply: self._receive_reply(  # type: ignore[misc]
                        each.call_id, each.reply
                    ),
                )
        for outgoing in shard_owner.pop_recalls():
            target = int(outgoing.host.removeprefix("host-"))
            if self._count_message(index, target, outgoing.recall):
                router = self.routers[target]
                router.holder.handle_recall(outgoing.recall)
                router.process_events()

    def _receive_reply(self, call_id: int, reply: data.LedgerReply) -> None:
        """Handles a reply that arrives at the holder that called."""
        router, caller, call = self._calls.pop(call_id)
        if router.is_alive:
            caller.handle_reply(call.call_id, reply, self.simulation.now_ms)
            router.process_events()

    def _fail_call(self, call_id: int) -> None:
        """Reports a call without a reply to its holder as failed."""
        pending_call = self._calls.pop(call_id, None)
        if pending_call is not None and pending_call[0].is_alive:
            router, caller, call = pending_call
            caller.handle_call_failure(call.call_id, self.simulation.now_ms)
            router.process_events()

    # Membership.

    def _update_membership(self) -> None:
        """Declares routers dead and replaces the owner, after their delays.

        While the log is down, no router counts as unreachable.
        """
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
        self.simulation.schedule(
            _MEMBERSHIP_INTERVAL_MS, self._update_membership
        )

    def _mark_incarnation_dead(self, incarnation: int) -> None:
        """Notifies the current owner, and later ones, of a dead incarnation."""
        self._dead_incarnations.add(incarnation)
        shard_owner = self.routers[self._owner_index].shard_owner
        if shard_owner is not None:
            shard_owner.mark_holder_dead(incarnation)

    def _propose_owner(self, router: _Router) -> None:
        """Proposes a router as owner of the shard, so that it takes over."""
        previous_owner = self.routers[self._owner_index].shard_owner
        if previous_owner is not None:
            previous_owner.set_proposed(False)
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
        """Credits the budget as soon as the first owner has taken over."""
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
