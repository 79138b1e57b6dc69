"""Covers requests by lease or reserve, and ends those that wait too long.

A request is covered while its tokens are reserved from the lease or the reserve
that the holder has. While the owner is unreachable, only reserve covers.
"""

import attrs

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import budget_position
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import outbox

_LEASE = data.GrantKind.LEASE
_RESERVE = data.GrantKind.RESERVE
_Phase = budget_position.Phase

# Requests that are closest to their end are covered first.
_COVER_ORDER = {
    _Phase.BILLED: 0,
    _Phase.SETTLING: 1,
    _Phase.RUNNING: 2,
    _Phase.WAITING: 3,
}


def start_waiting(
    state: holder_state.HolderState,
    reservation: budget_position.Reservation,
    now_ms: int,
) -> None:
    """Admits a request at once if it can be covered, else makes it wait."""
    budget = reservation.charge.request.budget
    position = state.positions[budget]
    reservation.phase = _Phase.WAITING
    reservation.wait_until_ms = reservation.charge.deadline_ms
    if not state.is_owner_reachable:
        _shorten_wait(state, reservation, now_ms)
    position.record_demand(reservation.tokens, now_ms)
    state.times[budget].used_at_ms = now_ms
    cover_all(state, position)


def cover_all(
    state: holder_state.HolderState, position: budget_position.BudgetPosition
) -> None:
    """Covers the uncovered requests for which enough tokens are free."""
    uncovered = [
        reservation
        for reservation in position.reservations.values()
        if reservation.covered_by is None and reservation.phase in _COVER_ORDER
    ]
    uncovered.sort(key=lambda item: _COVER_ORDER[item.phase])
    for reservation in uncovered:
        if _cover(state, position, reservation):
            _continue_covered(state, reservation)


def move_to_reserve(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    now_ms: int,
) -> None:
    """Moves all requests from lease to reserve when the owner is unreachable.

    Settlements that wait for their bill end at once if reserve covers them.
    Calls whose claim has no verdict yet end as not run.
    """
    for reservation in tuple(position.reservations.values()):
        _move_off_lease(state, position, reservation, now_ms)
    cover_all(state, position)


def end_expired_waits(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    now_ms: int,
) -> None:
    """Ends the waits for tokens, lookups and bills that have timed out."""
    for reservation in tuple(position.reservations.values()):
        match reservation.phase:
            case _Phase.WAITING if now_ms >= reservation.wait_until_ms:
                refuse_waiting(state, position, reservation)
            case _Phase.LOOKING_UP:
                if now_ms >= reservation.charge.deadline_ms:
                    _refuse_lookup(state, reservation)
            case _Phase.SETTLING:
                if now_ms >= reservation.wait_until_ms:
                    _end_late_settlement(state, reservation)
            case _:
                pass


def refuse_waiting(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    reservation: budget_position.Reservation,
) -> None:
    """Refuses a request that cannot be covered or has waited too long."""
    retry_after_ms = state.settings.owner_timeout_ms
    if state.is_owner_reachable:
        refusal = holder_events.refuse_exhausted(
            position.available_tokens, retry_after_ms
        )
    else:
        refusal = holder_events.refuse_unreachable(retry_after_ms)
    holder_state.remove_reservation(state, reservation)
    holder_state.end_admission(state, reservation.charge, refusal)


def _refuse_lookup(
    state: holder_state.HolderState, reservation: budget_position.Reservation
) -> None:
    """Refuses a request whose key the owner did not report on in time.

    Nothing is known of the budget, so the refusal must not say that it is
    exhausted.
    """
    holder_state.remove_reservation(state, reservation)
    holder_state.end_admission(
        state,
        reservation.charge,
        holder_events.refuse_lookup_timeout(state.settings.owner_timeout_ms),
    )


def submit_bill(
    state: holder_state.HolderState, reservation: budget_position.Reservation
) -> None:
    """Queues the bill of a covered request.

    While the owner is unreachable, the request's settlement ends as well.
    """
    if reservation.covered_by is None or reservation.bill is None:
        return
    bill = attrs.evolve(
        reservation.bill,
        holder=state.incarnation,
        kind=reservation.covered_by,
        tokens=reservation.tokens,
    )
    reservation.bill = bill
    state.outbox.enqueue_entry(
        outbox.PendingEntry(bill, reservation.charge.charge_id)
    )
    if not state.is_owner_reachable and reservation.phase is _Phase.SETTLING:
        end_settlement_on_reserve(state, reservation)


def end_settlement_on_reserve(
    state: holder_state.HolderState, reservation: budget_position.Reservation
) -> None:
    """Ends a settlement that reserve covers before its bill is in the log."""
    if reservation.bill is None:
        return
    reservation.phase = _Phase.BILLED
    state.keys.mark_settled(reservation.charge.request.key)
    state.events.append(holder_events.BillCopyRequested(reservation.bill))
    holder_state.end_settlement(
        state,
        reservation.charge,
        spending.Settled(reservation.tokens, is_durable=False),
    )


def _cover(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    reservation: budget_position.Reservation,
) -> bool:
    """Covers one request by a kind of grant that may be used now."""
    if state.is_retired:
        return False
    if not state.is_owner_reachable:
        return position.cover(reservation, _RESERVE)
    # If the ledger retires the holder while a call runs, it can no longer
    # settle the call from its lease, but still from its reserve. A call that
    # may not be repeated is therefore covered by reserve first.
    is_repeatable = reservation.charge.request.is_repeatable
    first, second = (_LEASE, _RESERVE) if is_repeatable else (_RESERVE, _LEASE)
    return position.cover(reservation, first) or position.cover(
        reservation, second
    )


def _continue_covered(
    state: holder_state.HolderState, reservation: budget_position.Reservation
) -> None:
    """Continues a request that has just been covered."""
    match reservation.phase:
        case _Phase.WAITING:
            reservation.phase = _Phase.RUNNING
            holder_state.end_admission(
                state, reservation.charge, reservation.charge
            )
        case _Phase.SETTLING | _Phase.BILLED:
            submit_bill(state, reservation)
        case _:
            pass


def _move_off_lease(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    reservation: budget_position.Reservation,
    now_ms: int,
) -> None:
    """Prepares one request for the time while the owner is unreachable."""
    if reservation.claim is not None:
        abandon_claim(state, reservation)
        return
    if reservation.covered_by is _LEASE:
        position.uncover(reservation)
        state.outbox.remove_entries(reservation.charge.charge_id)
    match reservation.phase:
        case _Phase.LOOKING_UP:
            state.outbox.remove_lookup(reservation.charge.charge_id)
            start_waiting(state, reservation, now_ms)
        case _Phase.WAITING:
            _shorten_wait(state, reservation, now_ms)
        case _Phase.SETTLING if reservation.covered_by is _RESERVE:
            end_settlement_on_reserve(state, reservation)
        case _:
            pass


def abandon_claim(
    state: holder_state.HolderState, reservation: budget_position.Reservation
) -> None:
    """Ends a call as not run because its claim was not confirmed.

    A claim that was sent may be in the log. Its outcome is then recorded as
    not run, so that a later repeat of the call may run.
    """
    claim = reservation.claim
    if claim is None:
        return
    was_sent = reservation.is_sent
    reservation.claim = None
    holder_state.remove_reservation(state, reservation)
    holder_state.end_claim(
        state,
        reservation.charge,
        holder_events.refuse_unreachable(state.settings.owner_timeout_ms),
    )
    if was_sent:
        outcome = data.RecordOutcome(
            claim.budget,
            state.incarnation,
            claim.key,
            data.OutcomeStatus.NOT_RUN,
            0,
            _LEASE,
            b"",
            claim.claim_id,
        )
        state.outbox.enqueue_entry(outbox.PendingEntry(outcome))


def _shorten_wait(
    state: holder_state.HolderState,
    reservation: budget_position.Reservation,
    now_ms: int,
) -> None:
    """Limits how long a request waits while the owner is unreachable."""
    reservation.wait_until_ms = min(
        reservation.charge.deadline_ms,
        now_ms + state.settings.isolation_wait_ms,
    )


def end_isolation(position: budget_position.BudgetPosition) -> None:
    """Lets waiting requests wait for the owner up to their deadlines again."""
    for reservation in position.reservations.values():
        if reservation.phase is _Phase.WAITING:
            reservation.wait_until_ms = reservation.charge.deadline_ms


def _end_late_settlement(
    state: holder_state.HolderState, reservation: budget_position.Reservation
) -> None:
    """Ends a settlement whose bill was not durable in time.

    A bill that was sent may be in the log. Its tokens stay reserved and it is
    sent again until the fold has a verdict on it. The same holds for a bill
    that must reach the log. Any other bill is discarded with its reservation.
    """
    holder_state.end_settlement(
        state,
        reservation.charge,
        spending.SettlementDelayed(may_be_billed=reservation.is_sent),
    )
    if reservation.must_reach_log or reservation.is_sent:
        reservation.phase = _Phase.BILLED
        return
    holder_state.remove_reservation(state, reservation)
