"""Bills requests and handles the fold's verdicts on a holder's entries."""

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import budget_position
from redwingchute.process.ledger import coverage
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import outbox

_LEASE = data.GrantKind.LEASE
_RESERVE = data.GrantKind.RESERVE
_Phase = budget_position.Phase
_Code = data.VerdictCode


def begin_settlement(
    state: holder_state.HolderState,
    reservation: budget_position.Reservation,
    tokens: int,
    now_ms: int,
) -> None:
    """Sets a reservation to its cost and bills it once it is covered.

    Args:
      state: The holder's state.
      reservation: A running request. Its `bill` is already set if it also
        records the outcome of a claimed call.
      tokens: The actual cost of the request.
      now_ms: The time.
    """
    request = reservation.charge.request
    position = state.positions[request.budget]
    kind = reservation.covered_by
    position.uncover(reservation)
    if state.is_retired:
        # A retired holder gets no more tokens, so it bills no more than those
        # reserved.
        tokens = min(tokens, reservation.tokens)
    reservation.tokens = tokens
    reservation.phase = _Phase.SETTLING
    reservation.wait_until_ms = max(
        reservation.charge.deadline_ms,
        now_ms + state.settings.min_settle_wait_ms,
    )
    if reservation.bill is None:
        reservation.bill = data.Settle(
            request.budget,
            state.incarnation,
            _LEASE,
            request.key,
            request.body_digest,
            tokens,
            now_ms,
        )
    if kind is not None and position.cover(reservation, kind):
        coverage.submit_bill(state, reservation)
    coverage.cover_all(state, position)


def handle_verdict(
    state: holder_state.HolderState,
    pending: outbox.PendingEntry,
    verdict: data.Verdict,
    now_ms: int,
) -> None:
    """Handles the fold's verdict on one entry that this holder sent."""
    entry = pending.entry
    if verdict.code is _Code.STALE_EPOCH:
        requeue(state, (pending,))
        return
    match entry:
        case data.Settle() | data.RecordOutcome():
            _handle_bill_verdict(state, entry, pending.charge_id, verdict)
        case data.Claim():
            _handle_claim_verdict(state, entry, pending.charge_id, verdict)
        case data.GiveBack():
            state.times[entry.budget].give_backs.pop(entry.kind, None)
        case data.Transfer():
            state.events.append(holder_events.BillLogged(entry.transfer_id))
        case _:
            pass
    if (
        verdict.code is _Code.HOLDER_RETIRED
        and _get_holder(entry) == state.incarnation
    ):
        mark_retired(state, now_ms)


def requeue(
    state: holder_state.HolderState,
    entries: tuple[outbox.PendingEntry, ...],
) -> None:
    """Queues entries again whose call ended without a verdict.

    Replaced bills and abandoned claims are left out.
    """
    needed = []
    for pending in entries:
        match pending.entry:
            case data.Claim() as claim:
                reservation = holder_state.find_reservation(
                    state, claim.budget, pending.charge_id
                )
                if reservation is not None and reservation.claim is claim:
                    needed.append(pending)
            case data.Settle() | data.RecordOutcome() as bill:
                if _must_resend(state, bill, pending.charge_id):
                    needed.append(pending)
            case _:
                needed.append(pending)
    state.outbox.requeue_entries(tuple(needed))


def mark_retired(state: holder_state.HolderState, now_ms: int) -> None:
    """Marks this holder as retired and hands its requests to the successor.

    Open bills on reserve and claimed calls stay with this holder. Calls whose
    claim has no verdict yet end as not run.

    Args:
      state: The holder's state.
      now_ms: The time.
    """
    if state.is_retired:
        return
    state.is_retired = True
    state.events.append(holder_events.HolderRetired(state.incarnation))
    for position in state.positions.values():
        for reservation in tuple(position.reservations.values()):
            _hand_over(state, position, reservation)
        position.set_held(_LEASE, 0)


def _hand_over(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    reservation: budget_position.Reservation,
) -> None:
    """Hands one request to the successor, or keeps or ends it.

    `mark_retired` states which requests stay and which end.
    """
    if reservation.claim is not None:
        coverage.abandon_claim(state, reservation)
        return
    has_open_bill = reservation.phase in (_Phase.SETTLING, _Phase.BILLED)
    if has_open_bill and reservation.covered_by is _RESERVE:
        return
    if reservation.is_claimed:
        _cover_claimed_by_reserve(state, position, reservation)
        return
    state.outbox.remove_entries(reservation.charge.charge_id)
    state.outbox.remove_lookup(reservation.charge.charge_id)
    position.remove(reservation)
    state.reservations_to_adopt.append(reservation)


def _cover_claimed_by_reserve(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    reservation: budget_position.Reservation,
) -> None:
    """Covers a claimed call by reserve, so that it stays with this holder.

    Only the claimant can record the outcome of a call, and a retired holder's
    lease is void. Without reserve the outcome is recorded but not billed.
    """
    if reservation.covered_by is _RESERVE:
        return
    if not position.cover(reservation, _RESERVE):
        position.uncover(reservation)
        reservation.tokens = 0
        position.cover(reservation, _RESERVE)
    if reservation.bill is not None:
        state.outbox.remove_entries(reservation.charge.charge_id)
        coverage.submit_bill(state, reservation)


def _must_resend(
    state: holder_state.HolderState,
    bill: data.Settle | data.RecordOutcome,
    charge_id: int | None,
) -> bool:
    """Returns whether a bill without a verdict must still be sent again."""
    if charge_id is None:
        return True
    reservation = holder_state.find_reservation(state, bill.budget, charge_id)
    return (
        reservation is not None
        and reservation.bill is bill
        and reservation.covered_by is not None
    )


def _handle_bill_verdict(
    state: holder_state.HolderState,
    bill: data.Settle | data.RecordOutcome,
    charge_id: int | None,
    verdict: data.Verdict,
) -> None:
    """Ends the request of a bill, or covers it by other tokens."""
    if bill.holder != state.incarnation:
        _end_copy(state, bill, verdict)
        return
    position = state.positions.get(bill.budget)
    reservation = holder_state.find_reservation(state, bill.budget, charge_id)
    if position is None:
        return
    match verdict.code:
        case _Code.ACCEPTED | _Code.REPEATED | _Code.TOO_MANY_RERUNS:
            if reservation is not None and reservation.bill is bill:
                position.spend(reservation)
            elif verdict.code is _Code.ACCEPTED:
                # The bill was replaced or its request has ended, but it was
                # billed, so its tokens are spent.
                position.add_held(bill.kind, -bill.tokens)
            if reservation is not None:
                _end_billed(state, position, reservation)
        case _ if reservation is None or reservation.bill is not bill:
            pass
        case _Code.HOLDER_RETIRED | _Code.INSUFFICIENT_TOKENS:
            _find_other_cover(state, position, reservation, verdict)
        case _:
            _end_refused(state, position, reservation, verdict.code)


def _end_copy(
    state: holder_state.HolderState,
    bill: data.Settle | data.RecordOutcome,
    verdict: data.Verdict,
) -> None:
    """Ends the delivery of a copy that was kept for a sibling."""
    if verdict.code is _Code.INSUFFICIENT_TOKENS:
        # The transfer that funds it may not have arrived yet. The copy stays
        # stored and is delivered again later.
        return
    billed_codes = (_Code.ACCEPTED, _Code.REPEATED, _Code.TOO_MANY_RERUNS)
    if verdict.code not in billed_codes:
        state.events.append(holder_events.BillRefused(bill, verdict.code))
    state.events.append(holder_events.BillLogged(bill.key))


def _end_billed(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    reservation: budget_position.Reservation,
) -> None:
    """Ends a request whose bill is in the log."""
    charge = reservation.charge
    state.outbox.remove_entries(charge.charge_id)
    position.remove(reservation)
    state.keys.mark_settled(charge.request.key)
    if reservation.phase is _Phase.BILLED:
        state.events.append(holder_events.BillLogged(charge.request.key))
    else:
        holder_state.end_settlement(
            state,
            charge,
            spending.Settled(reservation.tokens, is_durable=True),
        )
    coverage.cover_all(state, position)


def _find_other_cover(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    reservation: budget_position.Reservation,
    verdict: data.Verdict,
) -> None:
    """Covers a request by other tokens after the fold refused its bill.

    If the verdict retires the holder, `mark_retired` is called next and hands
    the request over.
    """
    kind = reservation.covered_by
    if reservation.phase is _Phase.BILLED and reservation.bill is not None:
        state.events.append(
            holder_events.BillRefused(reservation.bill, verdict.code)
        )
    position.uncover(reservation)
    if verdict.code is _Code.INSUFFICIENT_TOKENS and kind is not None:
        # The fold counts fewer tokens of this kind than the position does, so
        # none of them are assumed to be free.
        position.set_held(kind, position.count_reserved(kind))
    if state.is_retired:
        _hand_over(state, position, reservation)
    else:
        coverage.cover_all(state, position)


def _end_refused(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    reservation: budget_position.Reservation,
    code: data.VerdictCode,
) -> None:
    """Ends a request whose bill the fold refused permanently."""
    position.remove(reservation)
    if reservation.phase is _Phase.BILLED and reservation.bill is not None:
        state.events.append(holder_events.BillRefused(reservation.bill, code))
    else:
        holder_state.end_settlement(
            state,
            reservation.charge,
            spending.SettlementVoid(
                f"The ledger refused the bill: {code.name.lower()}."
            ),
        )
    coverage.cover_all(state, position)


def _handle_claim_verdict(
    state: holder_state.HolderState,
    claim: data.Claim,
    charge_id: int | None,
    verdict: data.Verdict,
) -> None:
    """Ends a claim: the call may run, or it is refused."""
    reservation = holder_state.find_reservation(state, claim.budget, charge_id)
    if reservation is None or reservation.claim is not claim:
        return
    if verdict.code is _Code.HOLDER_RETIRED:
        coverage.abandon_claim(state, reservation)
        return
    reservation.claim = None
    reservation.is_sent = False
    if verdict.code in (_Code.ACCEPTED, _Code.REPEATED):
        reservation.is_claimed = True
        holder_state.end_claim(state, reservation.charge, spending.Claimed())
        return
    holder_state.remove_reservation(state, reservation)
    result: spending.ClaimResult
    match verdict.code:
        case _Code.ALREADY_CLAIMED:
            result = spending.ClaimRefused(verdict.status, verdict.answer)
        case _Code.BODY_MISMATCH:
            result = holder_events.refuse_body_mismatch()
        case _Code.KEY_EXPIRED:
            result = holder_events.refuse_expired()
        case _:
            result = holder_events.refuse_unknown_budget()
    holder_state.end_claim(state, reservation.charge, result)


def _get_holder(entry: data.LedgerEntry) -> data.Incarnation | None:
    """Returns the holder that an entry acts for, or None if it has none."""
    match entry:
        case (
            data.Settle()
            | data.RecordOutcome()
            | data.Claim()
            | data.GiveBack()
        ):
            return entry.holder
        case _:
            return None
