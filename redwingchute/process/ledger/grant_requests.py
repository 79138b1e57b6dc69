"""Requests tokens from the owner and returns those that are not needed."""

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import budget_position
from redwingchute.process.ledger import coverage
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import outbox

# The most doublings of the interval between token requests while the holder has
# no reserve.
_MAX_DOUBLINGS = 10
_LEASE = data.GrantKind.LEASE
_RESERVE = data.GrantKind.RESERVE


def make_due_requests(
    state: holder_state.HolderState, now_ms: int
) -> tuple[data.Ask, ...]:
    """Returns the token requests that are due and marks them as pending."""
    if state.is_retired:
        return ()
    asks = []
    for budget, position in state.positions.items():
        times = state.times[budget]
        if times.is_request_pending or not _is_request_due(
            state, position, now_ms
        ):
            continue
        times.is_request_pending = True
        times.requested_at_ms = now_ms
        asks.append(_make_ask(position, now_ms))
    return tuple(asks)


def handle_grant(
    state: holder_state.HolderState,
    granted: data.Granted,
    now_ms: int,
) -> None:
    """Adds the tokens that the owner granted and covers waiting requests."""
    position = holder_state.open_position(state, granted.budget, now_ms)
    times = state.times[granted.budget]
    times.is_request_pending = False
    times.next_request_ms = now_ms + granted.lease_ms
    position.add_granted(_LEASE, granted.lease_total_tokens)
    position.add_granted(_RESERVE, granted.reserve_total_tokens)
    position.available_tokens = granted.available_tokens
    times.empty_grant_count = (
        0 if position.count_held(_RESERVE) else times.empty_grant_count + 1
    )
    coverage.cover_all(state, position)
    _refuse_uncoverable(state, position)


def return_tokens(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    kind: data.GrantKind,
    tokens: int,
) -> None:
    """Queues the return of free tokens.

    Does nothing while another return of the same kind is under way.
    """
    times = state.times[position.budget]
    tokens = min(tokens, position.count_free(kind))
    if tokens <= 0 or kind in times.give_backs:
        return
    position.add_held(kind, -tokens)
    enqueue_give_back(state, position, kind, tokens)


def enqueue_give_back(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    kind: data.GrantKind,
    tokens: int,
) -> None:
    """Queues a give-back of tokens that were removed from the position."""
    times = state.times[position.budget]
    times.sequence += 1
    give_back = data.GiveBack(
        position.budget, state.incarnation, kind, tokens, times.sequence
    )
    times.give_backs[kind] = give_back
    state.outbox.enqueue_entry(outbox.PendingEntry(give_back))


def return_idle_tokens(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    now_ms: int,
) -> None:
    """Returns the free tokens that the holder should not keep.

    These are the lease of an idle budget, the reserve of a retired holder, and
    all tokens before a stop.
    """
    idle_ms = now_ms - state.times[position.budget].used_at_ms
    if state.is_stopping or state.is_retired:
        return_tokens(state, position, _RESERVE, position.count_free(_RESERVE))
    if state.is_stopping or idle_ms >= state.settings.idle_return_ms:
        return_tokens(state, position, _LEASE, position.count_free(_LEASE))


def _is_request_due(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    now_ms: int,
) -> bool:
    """Returns whether tokens of a budget should be requested now."""
    times = state.times[position.budget]
    if times.requested_at_ms is None:
        return not state.is_stopping or position.count_uncovered() > 0
    if position.count_uncovered() > 0:
        return (
            now_ms
            >= times.requested_at_ms
            + state.settings.waiting_request_interval_ms
        )
    if state.is_stopping:
        return False
    if now_ms < times.next_request_ms:
        return False
    is_active = times.used_at_ms >= times.requested_at_ms
    interval_ms = _find_idle_interval_ms(state, position)
    return is_active or now_ms >= times.requested_at_ms + interval_ms


def _find_idle_interval_ms(
    state: holder_state.HolderState, position: budget_position.BudgetPosition
) -> int:
    """Returns the interval between the token requests of an idle budget.

    It starts short while the holder has no reserve: the first request may have
    come before the budget's top-up, or before the other holders contacted the
    owner, so that the next one may succeed.
    """
    empty_grant_count = state.times[position.budget].empty_grant_count
    if empty_grant_count == 0:
        return state.settings.idle_request_interval_ms
    doublings = min(empty_grant_count - 1, _MAX_DOUBLINGS)
    return min(
        state.settings.empty_grant_delay_ms << doublings,
        state.settings.idle_request_interval_ms,
    )


def _make_ask(
    position: budget_position.BudgetPosition,
    now_ms: int,
) -> data.Ask:
    """Returns a request for the tokens that waiting requests lack.

    It also states the recent demand, and the reserve that would cover all
    requests under way and one more of the largest recent size.
    """
    reserved_tokens = position.count_reserved(_LEASE) + position.count_reserved(
        _RESERVE
    )
    free_tokens = position.count_free(_LEASE)
    return data.Ask(
        position.budget,
        max(0, position.count_uncovered() - free_tokens),
        reserved_tokens + position.largest_bound_tokens,
        position.measure_demand(now_ms),
        max(0, position.find_smallest_uncovered() - free_tokens),
    )


def _refuse_uncoverable(
    state: holder_state.HolderState, position: budget_position.BudgetPosition
) -> None:
    """Refuses at once the requests that the whole budget cannot cover."""
    returning_tokens = sum(
        give_back.tokens
        for give_back in state.times[position.budget].give_backs.values()
    )
    coverable_tokens = (
        position.available_tokens
        + returning_tokens
        + position.count_held(_LEASE)
        + position.count_held(_RESERVE)
    )
    for reservation in tuple(position.reservations.values()):
        if reservation.covered_by is not None:
            continue
        if reservation.tokens <= coverable_tokens:
            continue
        match reservation.phase:
            case budget_position.Phase.WAITING:
                coverage.refuse_waiting(state, position, reservation)
            case budget_position.Phase.SETTLING:
                holder_state.remove_reservation(state, reservation)
                holder_state.end_settlement(
                    state,
                    reservation.charge,
                    spending.SettlementVoid(
                        "The ledger revoked the tokens of this request, and "
                        "the budget has none left for it."
                    ),
                )
            case _:
                pass
