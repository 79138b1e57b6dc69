"""Decides what a router does with the tokens of one ledger shard.

A holder is one incarnation's view of one shard. It reserves a request's upper
bound before the request runs, asks the shard's owner for tokens, and bills the
request before its answer ends. While the owner is out of reach, it spends
reserve only, because it cannot know whether its lease was taken back. The
fold of the shard remains the arbiter: nothing here is final until the fold
says so, except what reserve covers.

The class takes times and messages and returns messages and events; it holds
no socket and no clock.
"""

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import asking
from redwingchute.process.ledger import covering
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import local_keys
from redwingchute.process.ledger import outbox
from redwingchute.process.ledger import position
from redwingchute.process.ledger import settling
from redwingchute.process.ledger import transferring

_ENDED = spending.SettlementVoid("The charge has ended.")


class Holder:
    """The leases, reserves and requests of one incarnation on one shard.

    Attributes:
      shard: The ledger shard.
      incarnation: The name in which tokens are held.
    """

    def __init__(
        self,
        shard: int,
        incarnation: data.Incarnation,
        host: str,
        now_ms: int,
        settings: holder_state.HolderSettings | None = None,
        keys: local_keys.LocalKeys | None = None,
    ) -> None:
        """Starts with nothing held and the owner taken to be reachable.

        Args:
          shard: The ledger shard.
          incarnation: A random number that was never used before.
          host: The name of this host.
          now_ms: The time.
          settings: The times to go by.
          keys: The router's memory of keys, shared with a predecessor.
        """
        self.shard = shard
        self.incarnation = incarnation
        self._state = holder_state.HolderState(
            incarnation,
            settings or holder_state.HolderSettings(),
            keys or local_keys.LocalKeys(),
            outbox.Outbox(shard, incarnation, host),
        )
        self._unanswered_since_ms: int | None = None
        self._last_probe_ms = now_ms
        self._next_try_ms = now_ms

    @property
    def is_reachable(self) -> bool:
        """Whether the shard's owner answers."""
        return self._state.is_reachable

    @property
    def is_retired(self) -> bool:
        """Whether the ledger has retired the incarnation."""
        return self._state.is_retired

    # Requests.

    def register_budget(self, budget: str, now_ms: int) -> None:
        """Starts to ask for reserve of a budget before requests come."""
        held = holder_state.open_position(self._state, budget, now_ms)
        times = self._state.times[held.budget]
        times.used_at_ms = now_ms

    def admit(self, charge: spending.Charge, now_ms: int) -> None:
        """Takes on a request; an `AdmissionEnded` event will follow."""
        state = self._state
        request = charge.request
        if not self._pass_local_key(charge):
            return
        if request.has_caller_key:
            state.keys.begin(request.key, request.body_digest)
        held = holder_state.open_position(state, request.budget, now_ms)
        reservation = position.Reservation(charge, request.bound_tokens)
        held.reservations[charge.charge_id] = reservation
        must_look_up = request.has_caller_key and request.is_repeatable
        if must_look_up and state.is_reachable:
            reservation.phase = position.Phase.LOOKING_UP
            lookup = data.Lookup(
                request.budget, request.key, request.body_digest
            )
            state.outbox.put_lookup(charge.charge_id, lookup)
            return
        covering.start_waiting(state, reservation, now_ms)

    def cancel(self, charge: spending.Charge) -> None:
        """Ends a request that used nothing, or gives up one that waits."""
        reservation = self._find_reservation(charge)
        billing = (position.Phase.SETTLING, position.Phase.BILLED)
        if reservation is None or reservation.phase in billing:
            return
        holder_state.drop_reservation(self._state, reservation)
        held = self._state.positions[charge.request.budget]
        covering.cover_all(self._state, held)

    def settle(self, charge: spending.Charge, tokens: int, now_ms: int) -> None:
        """Bills a request; a `SettlementEnded` event will follow.

        Args:
          charge: An admitted charge.
          tokens: Its true cost.
          now_ms: The time.
        """
        reservation = self._find_reservation(charge)
        if reservation is None:
            holder_state.end_settlement(self._state, charge, _ENDED)
            return
        settling.begin_settling(self._state, reservation, tokens, now_ms)

    def claim(self, charge: spending.Charge, now_ms: int) -> None:
        """Claims the single run of a call; a `ClaimEnded` event follows.

        Unless the claim is granted, the charge has ended.
        """
        state = self._state
        reservation = self._find_reservation(charge)
        if reservation is None:
            refusal = holder_events.refuse_unreachable(
                state.settings.owner_loss_ms
            )
            holder_state.end_claim(state, charge, refusal)
            return
        request = charge.request
        reservation.claim = data.Claim(
            request.budget,
            self.incarnation,
            request.key,
            request.body_digest,
            now_ms,
            self._make_claim_id(charge),
        )
        if not state.is_reachable:
            covering.give_up_claim(state, reservation)
            return
        state.outbox.put_entry(
            outbox.PendingEntry(reservation.claim, charge.charge_id)
        )

    def record_outcome(
        self,
        charge: spending.Charge,
        status: data.OutcomeStatus,
        tokens: int,
        answer: bytes,
        now_ms: int,
    ) -> None:
        """Records a claimed call's result and bills it in one entry.

        A `SettlementEnded` event will follow. The entry is kept and sent until
        it is in the log, also when the event says that it is late.
        """
        reservation = self._find_reservation(charge)
        if reservation is None:
            holder_state.end_settlement(self._state, charge, _ENDED)
            return
        request = charge.request
        reservation.is_outcome_needed = True
        reservation.bill = data.RecordOutcome(
            request.budget,
            self.incarnation,
            request.key,
            status,
            tokens,
            data.GrantKind.LEASE,
            answer,
            self._make_claim_id(charge),
        )
        settling.begin_settling(self._state, reservation, tokens, now_ms)

    def adopt(self, reservation: position.Reservation, now_ms: int) -> None:
        """Takes over a request of a retired predecessor, not covered yet."""
        held = holder_state.open_position(
            self._state, reservation.charge.request.budget, now_ms
        )
        reservation.is_sent = False
        held.reservations[reservation.charge.charge_id] = reservation
        if reservation.phase is position.Phase.LOOKING_UP:
            covering.start_waiting(self._state, reservation, now_ms)
        else:
            covering.cover_all(self._state, held)

    # Reachability, time and orders.

    def owner_reached(self, now_ms: int) -> None:
        """Notes that the shard's owner answers."""
        del now_ms
        self._unanswered_since_ms = None
        if self._state.is_reachable:
            return
        self._state.is_reachable = True
        for held in self._state.positions.values():
            covering.end_isolation(held)
            covering.cover_all(self._state, held)

    def owner_lost(self, now_ms: int) -> None:
        """Notes that the owner is out of reach: only reserve counts now."""
        if not self._state.is_reachable:
            return
        self._state.is_reachable = False
        self._last_probe_ms = now_ms
        for held in self._state.positions.values():
            covering.move_to_reserve(self._state, held, now_ms)

    def advance(self, now_ms: int) -> None:
        """Does what is due: deadlines, the owner's loss, idle returns."""
        since_ms = self._unanswered_since_ms
        loss_ms = self._state.settings.owner_loss_ms
        if since_ms is not None and now_ms - since_ms >= loss_ms:
            self.owner_lost(now_ms)
        for held in self._state.positions.values():
            covering.end_expired(self._state, held, now_ms)
            if self._state.is_reachable:
                asking.return_idle(self._state, held, now_ms)
            else:
                transferring.request_reserve(self._state, held, now_ms)

    def recall(self, recall: data.Recall) -> None:
        """Gives back what an owner asks for, as far as it is free."""
        held = self._state.positions.get(recall.budget)
        if held is not None and self._state.is_reachable:
            asking.give_back(self._state, held, recall.kind, recall.tokens)

    def answer_transfer(
        self, request: spending.TransferRequest, now_ms: int
    ) -> spending.TransferReply:
        """Gives a sibling of a cut-off zone part of the free reserve."""
        return transferring.answer_request(self._state, request, now_ms)

    def accept_transfer(self, transfer: data.Transfer, now_ms: int) -> None:
        """Takes in reserve that a sibling gave."""
        transferring.accept_transfer(self._state, transfer, now_ms)

    def deliver_copy(self, bill: spending.UnloggedEntry) -> None:
        """Queues a bill that was kept for a sibling; the fold drops repeats."""
        self._state.outbox.put_entry(outbox.PendingEntry(bill))

    def begin_stop(self, now_ms: int) -> None:
        """Starts to return everything; requests in hand still finish."""
        self._state.is_stopping = True
        self.advance(now_ms)

    def has_requests(self) -> bool:
        """Returns whether any request is in hand."""
        return any(held.reservations for held in self._state.positions.values())

    def is_finished(self) -> bool:
        """Returns whether no request, entry or call is left."""
        return self._state.outbox.is_idle() and not any(
            held.reservations for held in self._state.positions.values()
        )

    def has_open_bills(self) -> bool:
        """Returns whether bills or returns still have no verdict."""
        open_phases = (position.Phase.SETTLING, position.Phase.BILLED)
        return not self._state.outbox.is_idle() or any(
            reservation.phase in open_phases
            for held in self._state.positions.values()
            for reservation in held.reservations.values()
        )

    def take_events(self) -> tuple[holder_events.Event, ...]:
        """Returns what happened since the last call."""
        events = tuple(self._state.events)
        self._state.events.clear()
        return events

    def take_transferable(self) -> tuple[position.Reservation, ...]:
        """Returns the requests that a successor has to adopt."""
        reservations = tuple(self._state.transferable)
        self._state.transferable.clear()
        return reservations

    def find_position(self, budget: str) -> position.BudgetPosition | None:
        """Returns what is held of a budget, or None if it was never used."""
        return self._state.positions.get(budget)

    # Calls to the owner.

    def take_call(self, now_ms: int) -> outbox.OutgoingCall | None:
        """Returns the next message to send, or None if nothing is due."""
        state = self._state
        if now_ms < self._next_try_ms:
            return None
        if state.outbox.has_lookups():
            return state.outbox.make_lookup_call()
        if not self._may_call(now_ms):
            return None
        asks = asking.make_asks(state, now_ms)
        if not state.is_reachable:
            self._last_probe_ms = now_ms
            if not state.outbox.has_entries():
                self._queue_probe()
        if not asks and not state.outbox.has_entries():
            return None
        # One entry is enough to try an owner that is out of reach.
        limit = outbox.MAX_CALL_ENTRIES if state.is_reachable else 1
        call = state.outbox.make_call(asks, limit)
        self._mark_sent(call)
        return call

    def accept_reply(
        self, call_id: int, reply: data.LedgerReply, now_ms: int
    ) -> None:
        """Takes in the owner's reply to a call.

        Args:
          call_id: The id of the outgoing call; unknown ids are ignored.
          reply: What came back. Anything but HANDLED counts as no reply.
          now_ms: The time.
        """
        if reply.status is not data.CallStatus.HANDLED:
            self.call_lost(call_id, now_ms)
            return
        call = self._state.outbox.finish(call_id)
        if call is None:
            return
        for pending, verdict in zip(call.entries, reply.verdicts, strict=False):
            settling.accept_verdict(self._state, pending, verdict, now_ms)
        if reply.is_holder_retired:
            settling.note_retired(self._state, now_ms)
        if call.entries or call.message.asks:
            self.owner_reached(now_ms)
        for granted in reply.grants:
            asking.accept_grant(self._state, granted, now_ms)
        for charge_id, report in zip(
            call.lookup_ids, reply.reports, strict=False
        ):
            self._accept_report(charge_id, report, now_ms)
        self.advance(now_ms)

    def call_lost(self, call_id: int, now_ms: int) -> None:
        """Notes that a call ended without an answer of the owner."""
        call = self._state.outbox.give_up(call_id)
        if call is None:
            return
        for ask in call.message.asks:
            self._state.times[ask.budget].is_asking = False
        settling.requeue(self._state, call.entries)
        pause_ms = self._state.settings.retry_pause_ms
        self._next_try_ms = now_ms + pause_ms
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        self.advance(now_ms)

    def _may_call(self, now_ms: int) -> bool:
        """Returns whether another call with entries may leave now."""
        outstanding = self._state.outbox.count_outstanding()
        if self._state.is_reachable:
            return outstanding < outbox.MAX_OUTSTANDING_CALLS
        probe_ms = self._last_probe_ms + self._find_probe_interval_ms()
        return outstanding == 0 and now_ms >= probe_ms

    def _find_probe_interval_ms(self) -> int:
        """Returns how often an owner out of reach is tried now."""
        positions = self._state.positions.values()
        if any(held.count_uncovered() > 0 for held in positions):
            return self._state.settings.waiting_probe_ms
        return self._state.settings.probe_interval_ms

    def _queue_probe(self) -> None:
        """Queues an entry that changes nothing but needs the log."""
        for held in self._state.positions.values():
            if self._state.times[held.budget].give_back is None:
                asking.queue_give_back(
                    self._state, held, data.GrantKind.LEASE, 0
                )
                return

    def _mark_sent(self, call: outbox.OutgoingCall) -> None:
        """Notes which requests have a bill or claim at the owner."""
        for pending in call.entries:
            charge_id = pending.charge_id
            match pending.entry:
                case data.Settle() | data.RecordOutcome() | data.Claim() as e:
                    reservation = holder_state.find_reservation(
                        self._state, e.budget, charge_id
                    )
                    if reservation is not None:
                        reservation.is_sent = True
                case _:
                    pass

    def _find_reservation(
        self, charge: spending.Charge
    ) -> position.Reservation | None:
        """Returns the reservation of a charge."""
        return holder_state.find_reservation(
            self._state, charge.request.budget, charge.charge_id
        )

    def _make_claim_id(self, charge: spending.Charge) -> bytes:
        """Returns an id that no other claim has."""
        return self.incarnation.to_bytes(8, "big") + charge.charge_id.to_bytes(
            8, "big"
        )

    def _pass_local_key(self, charge: spending.Charge) -> bool:
        """Returns whether this router's own memory lets a request on."""
        request = charge.request
        if not request.has_caller_key:
            return True
        local = self._state.keys.find_state(request.key, request.body_digest)
        result: spending.Admission
        match local:
            case local_keys.LocalKeyState.NEW:
                return True
            case local_keys.LocalKeyState.SETTLED if self.is_reachable:
                return True
            case local_keys.LocalKeyState.TOO_MANY_RERUNS if self.is_reachable:
                return True
            case local_keys.LocalKeyState.SETTLED:
                self._state.keys.count_rerun(request.key)
                result = spending.AlreadySettled(request)
            case local_keys.LocalKeyState.BODY_MISMATCH:
                result = holder_events.refuse_body_mismatch()
            case local_keys.LocalKeyState.IN_FLIGHT:
                result = holder_events.refuse_in_flight(
                    self._state.settings.owner_loss_ms
                )
            case local_keys.LocalKeyState.TOO_MANY_RERUNS:
                result = holder_events.refuse_reruns()
        holder_state.end_admission(self._state, charge, result)
        return False

    def _accept_report(
        self, charge_id: int, report: data.KeyReport, now_ms: int
    ) -> None:
        """Goes on with a request whose key was looked up."""
        reservation = self._find_looking_up(charge_id)
        if reservation is None:
            return
        charge = reservation.charge
        result: spending.Admission
        match report.state:
            case data.KeyState.SETTLED:
                result = spending.AlreadySettled(charge.request)
                self._count_rerun(charge, now_ms)
            case data.KeyState.TOO_MANY_RERUNS:
                result = holder_events.refuse_reruns()
            case data.KeyState.EXPIRED:
                result = holder_events.refuse_expired()
            case (
                data.KeyState.BODY_MISMATCH
                | data.KeyState.CLAIMED
                | data.KeyState.OUTCOME_RECORDED
            ):
                result = holder_events.refuse_body_mismatch()
            case data.KeyState.NEW:
                covering.start_waiting(self._state, reservation, now_ms)
                return
        holder_state.drop_reservation(self._state, reservation)
        holder_state.end_admission(self._state, charge, result)

    def _count_rerun(self, charge: spending.Charge, now_ms: int) -> None:
        """Lets the fold count a run free of charge of a settled key."""
        request = charge.request
        self._state.keys.settle(request.key)
        rerun = data.Settle(
            request.budget,
            self.incarnation,
            data.GrantKind.LEASE,
            request.key,
            request.body_digest,
            0,
            now_ms,
        )
        self._state.outbox.put_entry(outbox.PendingEntry(rerun))

    def _find_looking_up(self, charge_id: int) -> position.Reservation | None:
        """Returns a request that waits for its lookup."""
        for held in self._state.positions.values():
            reservation = held.reservations.get(charge_id)
            if reservation is not None:
                is_open = reservation.phase is position.Phase.LOOKING_UP
                return reservation if is_open else None
        return None
