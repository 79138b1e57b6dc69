"""Decides what a router does with the tokens of one ledger shard.

A holder has the tokens of one router on one shard, under an incarnation of its
own; once it is retired, a holder with a new incarnation succeeds it. It
reserves the upper bound of a request before the request runs, requests tokens
from the shard's owner, and bills the request before its response ends. While
the owner is unreachable (in isolation), the holder spends reserve only, because
its lease may have been revoked meanwhile. The fold of the shard, which is the
state computed from the shard's records in the log, decides: no decision of a
holder is final before the fold's verdict, except that reserve may be spent
without one.

The class does no input or output and reads no clock: its methods receive times
and messages and return messages and events.
"""

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import budget_position
from redwingchute.process.ledger import coverage
from redwingchute.process.ledger import grant_requests
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import local_keys
from redwingchute.process.ledger import outbox
from redwingchute.process.ledger import reserve_transfer
from redwingchute.process.ledger import settlement

_CHARGE_ENDED = spending.SettlementVoid("The charge has ended.")


class Holder:
    """The leases, reserves and requests of one incarnation on one shard.

    Attributes:
      shard: The ledger shard.
      incarnation: The identity under which the ledger grants tokens.
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
        """Creates a holder without tokens, with the owner marked as reachable.

        Args:
          shard: The ledger shard.
          incarnation: A number that was never used before.
          host: The name of this host.
          now_ms: The time.
          settings: Timeouts and intervals.
          keys: The router's table of idempotency keys, shared with a retired
            predecessor.
        """
        self.shard = shard
        self.incarnation = incarnation
        self._state = holder_state.HolderState(
            incarnation,
            settings or holder_state.HolderSettings(),
            keys or local_keys.LocalKeys(),
            outbox.Outbox(shard, incarnation, host),
        )
        # When a call first failed since the owner was last marked as
        # reachable; None if none has.
        self._unanswered_since_ms: int | None = None
        self._last_probe_ms = now_ms
        self._next_call_ms = now_ms

    @property
    def is_owner_reachable(self) -> bool:
        """Whether the shard's owner is reachable."""
        return self._state.is_owner_reachable

    @property
    def is_retired(self) -> bool:
        """Whether the ledger has retired the incarnation."""
        return self._state.is_retired

    # Requests.

    def register_budget(self, budget: str, now_ms: int) -> None:
        """Starts requesting reserve of a budget before any request uses it."""
        position = holder_state.open_position(self._state, budget, now_ms)
        times = self._state.times[position.budget]
        times.used_at_ms = now_ms

    def admit(self, charge: spending.Charge, now_ms: int) -> None:
        """Starts the admission of a request; `AdmissionEnded` follows."""
        state = self._state
        request = charge.request
        if not self._check_local_key(charge):
            return
        if request.has_caller_key:
            state.keys.mark_in_flight(request.key, request.body_digest)
        position = holder_state.open_position(state, request.budget, now_ms)
        reservation = budget_position.Reservation(charge, request.bound_tokens)
        position.reservations[charge.charge_id] = reservation
        must_look_up = request.has_caller_key and request.is_repeatable
        if must_look_up and state.is_owner_reachable:
            reservation.phase = budget_position.Phase.LOOKING_UP
            lookup = data.Lookup(
                request.budget, request.key, request.body_digest
            )
            state.outbox.enqueue_lookup(charge.charge_id, lookup)
            return
        coverage.start_waiting(state, reservation, now_ms)

    def cancel(self, charge: spending.Charge) -> None:
        """Ends a waiting or running request without a bill."""
        reservation = self._find_reservation(charge)
        billing_phases = (
            budget_position.Phase.SETTLING,
            budget_position.Phase.BILLED,
        )
        if reservation is None or reservation.phase in billing_phases:
            return
        holder_state.remove_reservation(self._state, reservation)
        position = self._state.positions[charge.request.budget]
        coverage.cover_all(self._state, position)

    def settle(self, charge: spending.Charge, tokens: int, now_ms: int) -> None:
        """Bills a request; a `SettlementEnded` event follows.

        Args:
          charge: An admitted charge.
          tokens: The actual cost of the request.
          now_ms: The time.
        """
        reservation = self._find_reservation(charge)
        if reservation is None:
            holder_state.end_settlement(self._state, charge, _CHARGE_ENDED)
            return
        settlement.begin_settlement(self._state, reservation, tokens, now_ms)

    def claim(self, charge: spending.Charge, now_ms: int) -> None:
        """Claims the right to run a call that must not run twice.

        A `ClaimEnded` event follows. Unless the claim succeeds, the charge ends
        with that event.
        """
        state = self._state
        reservation = self._find_reservation(charge)
        if reservation is None:
            refusal = holder_events.refuse_unreachable(
                state.settings.owner_timeout_ms
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
        if not state.is_owner_reachable:
            coverage.abandon_claim(state, reservation)
            return
        state.outbox.enqueue_entry(
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

        A `SettlementEnded` event follows. The entry is sent until it is in the
        log, even if the event reports the settlement as delayed.
        """
        reservation = self._find_reservation(charge)
        if reservation is None:
            holder_state.end_settlement(self._state, charge, _CHARGE_ENDED)
            return
        request = charge.request
        reservation.must_reach_log = True
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
        settlement.begin_settlement(self._state, reservation, tokens, now_ms)

    def adopt(
        self, reservation: budget_position.Reservation, now_ms: int
    ) -> None:
        """Takes over a request of a retired predecessor.

        The request has no tokens reserved until this holder covers it.
        """
        position = holder_state.open_position(
            self._state, reservation.charge.request.budget, now_ms
        )
        reservation.is_sent = False
        position.reservations[reservation.charge.charge_id] = reservation
        if reservation.phase is budget_position.Phase.LOOKING_UP:
            coverage.start_waiting(self._state, reservation, now_ms)
        else:
            coverage.cover_all(self._state, position)

    # Reachability, time, and messages of the owner and of siblings.

    def mark_owner_reachable(self, now_ms: int) -> None:
        """Marks the shard's owner as reachable."""
        del now_ms
        self._unanswered_since_ms = None
        if self._state.is_owner_reachable:
            return
        self._state.is_owner_reachable = True
        for position in self._state.positions.values():
            coverage.end_isolation(position)
            coverage.cover_all(self._state, position)

    def mark_owner_unreachable(self, now_ms: int) -> None:
        """Marks the owner as unreachable: only reserve may be spent now."""
        if not self._state.is_owner_reachable:
            return
        self._state.is_owner_reachable = False
        self._last_probe_ms = now_ms
        for position in self._state.positions.values():
            coverage.move_to_reserve(self._state, position, now_ms)

    def advance(self, now_ms: int) -> None:
        """Does what is due at a time.

        Marks the owner as unreachable after its timeout and ends the waits of
        requests that have expired. Returns idle tokens, or requests reserve
        from siblings while the owner is unreachable.
        """
        since_ms = self._unanswered_since_ms
        timeout_ms = self._state.settings.owner_timeout_ms
        if since_ms is not None and now_ms - since_ms >= timeout_ms:
            self.mark_owner_unreachable(now_ms)
        for position in self._state.positions.values():
            coverage.end_expired_waits(self._state, position, now_ms)
            if self._state.is_owner_reachable:
                grant_requests.return_idle_tokens(self._state, position, now_ms)
            else:
                reserve_transfer.request_reserve(self._state, position, now_ms)

    def handle_recall(self, recall: data.Recall) -> None:
        """Returns the free part of recalled tokens.

        While another return of the same kind is under way, nothing is returned.
        """
        position = self._state.positions.get(recall.budget)
        if position is not None and self._state.is_owner_reachable:
            grant_requests.return_tokens(
                self._state, position, recall.kind, recall.tokens
            )

    def handle_transfer_request(
        self, request: spending.TransferRequest, now_ms: int
    ) -> spending.TransferReply:
        """Transfers part of the free reserve to a sibling of a cut-off zone."""
        return reserve_transfer.handle_transfer_request(
            self._state, request, now_ms
        )

    def handle_transfer(self, transfer: data.Transfer, now_ms: int) -> None:
        """Adds reserve that a sibling transferred."""
        reserve_transfer.handle_transfer(self._state, transfer, now_ms)

    def enqueue_bill_copy(self, bill: spending.UnloggedEntry) -> None:
        """Queues the copy of a sibling's bill; the fold ignores repeats."""
        self._state.outbox.enqueue_entry(outbox.PendingEntry(bill))

    def begin_stop(self, now_ms: int) -> None:
        """Starts to return all tokens; requests under way still finish."""
        self._state.is_stopping = True
        self.advance(now_ms)

    def has_requests(self) -> bool:
        """Returns whether any request is under way."""
        return any(
            position.reservations for position in self._state.positions.values()
        )

    def is_finished(self) -> bool:
        """Returns whether no request, entry or call is under way."""
        return self._state.outbox.is_idle() and not any(
            position.reservations for position in self._state.positions.values()
        )

    def has_open_bills(self) -> bool:
        """Returns whether any bill, entry or call is still under way."""
        open_phases = (
            budget_position.Phase.SETTLING,
            budget_position.Phase.BILLED,
        )
        return not self._state.outbox.is_idle() or any(
            reservation.phase in open_phases
            for position in self._state.positions.values()
            for reservation in position.reservations.values()
        )

    def pop_events(self) -> tuple[holder_events.Event, ...]:
        """Removes and returns the events since the previous call."""
        events = tuple(self._state.events)
        self._state.events.clear()
        return events

    def pop_reservations_to_adopt(
        self,
    ) -> tuple[budget_position.Reservation, ...]:
        """Removes and returns the requests that the successor must adopt."""
        reservations = tuple(self._state.reservations_to_adopt)
        self._state.reservations_to_adopt.clear()
        return reservations

    def find_position(
        self, budget: str
    ) -> budget_position.BudgetPosition | None:
        """Returns the position of a budget, or None if it was never used."""
        return self._state.positions.get(budget)

    # Calls to the owner.

    def next_call(self, now_ms: int) -> outbox.OutgoingCall | None:
        """Returns the next message to send, or None if nothing is due."""
        state = self._state
        if now_ms < self._next_call_ms:
            return None
        if state.outbox.has_lookups():
            return state.outbox.make_lookup_call()
        if not self._can_call(now_ms):
            return None
        asks = grant_requests.make_due_requests(state, now_ms)
        if not state.is_owner_reachable:
            self._last_probe_ms = now_ms
            if not state.outbox.has_entries():
                self._queue_probe()
        if not asks and not state.outbox.has_entries():
            return None
        # One entry is enough to probe an unreachable owner.
        limit = outbox.MAX_CALL_ENTRIES if state.is_owner_reachable else 1
        call = state.outbox.make_call(asks, limit)
        self._mark_sent(call)
        return call

    def handle_reply(
        self, call_id: int, reply: data.LedgerReply, now_ms: int
    ) -> None:
        """Handles the owner's reply to a call.

        Args:
          call_id: The id of the outgoing call; unknown ids are ignored.
          reply: The reply. Any status but HANDLED counts as a failed call.
          now_ms: The time.
        """
        if reply.status is not data.CallStatus.HANDLED:
            self.handle_call_failure(call_id, now_ms)
            return
        call = self._state.outbox.pop_call(call_id)
        if call is None:
            return
        for pending, verdict in zip(call.entries, reply.verdicts, strict=False):
            settlement.handle_verdict(self._state, pending, verdict, now_ms)
        if reply.is_holder_retired:
            settlement.mark_retired(self._state, now_ms)
        # Lookups need no append: their reply does not show that the log works.
        if call.entries or call.message.asks:
            self.mark_owner_reachable(now_ms)
        for granted in reply.grants:
            grant_requests.handle_grant(self._state, granted, now_ms)
        for charge_id, report in zip(
            call.lookup_ids, reply.reports, strict=False
        ):
            self._handle_key_report(charge_id, report, now_ms)
        self.advance(now_ms)

    def handle_call_failure(self, call_id: int, now_ms: int) -> None:
        """Handles a call that ended without a reply of the owner."""
        call = self._state.outbox.abandon_call(call_id)
        if call is None:
            return
        for ask in call.message.asks:
            self._state.times[ask.budget].is_request_pending = False
        settlement.requeue(self._state, call.entries)
        delay_ms = self._state.settings.retry_delay_ms
        self._next_call_ms = now_ms + delay_ms
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        self.advance(now_ms)

    def _can_call(self, now_ms: int) -> bool:
        """Returns whether another call with entries may be sent now."""
        outstanding = self._state.outbox.count_outstanding()
        if self._state.is_owner_reachable:
            return outstanding < outbox.MAX_OUTSTANDING_CALLS
        probe_ms = self._last_probe_ms + self._find_probe_interval_ms()
        return outstanding == 0 and now_ms >= probe_ms

    def _find_probe_interval_ms(self) -> int:
        """Returns the current interval between probes of the owner."""
        positions = self._state.positions.values()
        if any(position.count_uncovered() > 0 for position in positions):
            return self._state.settings.waiting_probe_interval_ms
        return self._state.settings.probe_interval_ms

    def _queue_probe(self) -> None:
        """Queues a give-back of 0 tokens to probe the owner and its log."""
        for position in self._state.positions.values():
            give_backs = self._state.times[position.budget].give_backs
            if data.GrantKind.LEASE not in give_backs:
                grant_requests.enqueue_give_back(
                    self._state, position, data.GrantKind.LEASE, 0
                )
                return

    def _mark_sent(self, call: outbox.OutgoingCall) -> None:
        """Marks the requests whose bill or claim is sent by a call."""
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
    ) -> budget_position.Reservation | None:
        """Returns the reservation of a charge."""
        return holder_state.find_reservation(
            self._state, charge.request.budget, charge.charge_id
        )

    def _make_claim_id(self, charge: spending.Charge) -> bytes:
        """Returns an id that is unique among all claims."""
        return self.incarnation.to_bytes(8, "big") + charge.charge_id.to_bytes(
            8, "big"
        )

    def _check_local_key(self, charge: spending.Charge) -> bool:
        """Returns whether the router's own key table admits a request.

        Otherwise the admission has ended.
        """
        request = charge.request
        if not request.has_caller_key:
            return True
        local_state = self._state.keys.find_state(
            request.key, request.body_digest
        )
        result: spending.Admission
        match local_state:
            case local_keys.LocalKeyState.NEW:
                return True
            # While the owner is reachable, the fold decides about reruns.
            case local_keys.LocalKeyState.SETTLED if self.is_owner_reachable:
                return True
            case local_keys.LocalKeyState.TOO_MANY_RERUNS if (
                self.is_owner_reachable
            ):
                return True
            case local_keys.LocalKeyState.SETTLED:
                self._state.keys.count_rerun(request.key)
                result = spending.AlreadySettled(request)
            case local_keys.LocalKeyState.BODY_MISMATCH:
                result = holder_events.refuse_body_mismatch()
            case local_keys.LocalKeyState.IN_FLIGHT:
                result = holder_events.refuse_in_flight(
                    self._state.settings.owner_timeout_ms
                )
            case local_keys.LocalKeyState.TOO_MANY_RERUNS:
                result = holder_events.refuse_reruns()
        holder_state.end_admission(self._state, charge, result)
        return False

    def _handle_key_report(
        self, charge_id: int, report: data.KeyReport, now_ms: int
    ) -> None:
        """Continues a request whose key was looked up."""
        reservation = self._find_lookup_reservation(charge_id)
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
            # Only repeatable requests look their key up, so a claimed key
            # belongs to another request.
            case (
                data.KeyState.BODY_MISMATCH
                | data.KeyState.CLAIMED
                | data.KeyState.OUTCOME_RECORDED
            ):
                result = holder_events.refuse_body_mismatch()
            case data.KeyState.NEW:
                coverage.start_waiting(self._state, reservation, now_ms)
                return
        holder_state.remove_reservation(self._state, reservation)
        holder_state.end_admission(self._state, charge, result)

    def _count_rerun(self, charge: spending.Charge, now_ms: int) -> None:
        """Queues a bill of 0 tokens so that the fold counts the rerun."""
        request = charge.request
        self._state.keys.mark_settled(request.key)
        rerun = data.Settle(
            request.budget,
            self.incarnation,
            data.GrantKind.LEASE,
            request.key,
            request.body_digest,
            0,
            now_ms,
        )
        self._state.outbox.enqueue_entry(outbox.PendingEntry(rerun))

    def _find_lookup_reservation(
        self, charge_id: int
    ) -> budget_position.Reservation | None:
        """Returns the request if it still waits for its lookup."""
        for position in self._state.positions.values():
            reservation = position.reservations.get(charge_id)
            if reservation is not None:
                is_looking_up = (
                    reservation.phase is budget_position.Phase.LOOKING_UP
                )
                return reservation if is_looking_up else None
        return None
