"""Requests tokens from the owner and returns those that are not needed."""

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import covering
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import outbox
from redwingchute.process.ledger import position

# Bounds the exponent of the delay between requests that get no reserve.
_MAX_DOUBLINGS = 10
_LEASE = data.GrantKind.LEASE
_RESERVE = data.GrantKind.RESERVE


def make_asks(
    state: holder_state.HolderState, now_ms: int
) -> tuple[data.Ask, ...]:
    """Returns the token requests that are due and marks them as pending."""
    if state.is_retired:
        return ()
    asks = []
    for budget, held in state.positions.items():
        times = state.times[budget]
        if times.is_asking or not _is_request_due(state, held, now_ms):
            continue
        times.is_asking = True
        times.asked_at_ms = now_ms
        asks.append(_make_ask(held, now_ms))
    return tuple(asks)


def accept_grant(
    state: holder_state.HolderState,
    granted: data.Granted,
    now_ms: int,
) -> None:
    """Adds the tokens that the owner granted and covers waiting requests."""
    held = holder_state.open_position(state, granted.budget, now_ms)
    times = state.times[granted.budget]
    times.is_asking = False
    times.next_ask_ms = now_ms + granted.lease_ms
    held.add_granted(_LEASE, granted.lease_total_tokens)
    held.add_granted(_RESERVE, granted.reserve_total_tokens)
    held.available_tokens = granted.available_tokens
    times.empty_asks = 0 if held.count_held(_RESERVE) else times.empty_asks + 1
    covering.cover_all(state, held)
    _refuse_uncoverable(state, held)


def give_back(
    state: holder_state.HolderState,
    held: position.BudgetPosition,
    kind: data.GrantKind,
    tokens: int,
) -> None:
    """Queues the return of free tokens, unless another return is under way."""
    times = state.times[held.budget]
    tokens = min(tokens, held.count_free(kind))
    if tokens <= 0 or times.give_back is not None:
        return
    held.add_held(kind, -tokens)
    queue_give_back(state, held, kind, tokens)


def queue_give_back(
    state: holder_state.HolderState,
    held: position.BudgetPosition,
    kind: data.GrantKind,
    tokens: int,
) -> None:
    """Queues a give-back of tokens that were removed from the position."""
    times = state.times[held.budget]
    times.sequence += 1
    times.give_back = data.GiveBack(
        held.budget, state.incarnation, kind, tokens, times.sequence
    )
    state.outbox.put_entry(outbox.PendingEntry(times.give_back))


def return_idle(
    state: holder_state.HolderState,
    held: position.BudgetPosition,
    now_ms: int,
) -> None:
    """Returns the lease of an idle budget, or all tokens before a stop."""
    idle_ms = now_ms - state.times[held.budget].used_at_ms
    if state.is_stopping or state.is_retired:
        give_back(state, held, _RESERVE, held.count_free(_RESERVE))
    if state.is_stopping or idle_ms >= state.settings.idle_return_ms:
        give_back(state, held, _LEASE, held.count_free(_LEASE))


def _is_request_due(
    state: holder_state.HolderState,
    held: position.BudgetPosition,
    now_ms: int,
) -> bool:
    """Returns whether tokens of a budget should be requested now."""
    times = state.times[held.budget]
    if times.asked_at_ms is None:
        return not state.is_stopping or held.count_uncovered() > 0
    if held.count_uncovered() > 0:
        return now_ms >= times.asked_at_ms + state.settings.waiting_ask_ms
    if state.is_stopping:
        return False
    if now_ms < times.next_ask_ms:
        return False
    is_active = times.used_at_ms >= times.asked_at_ms
    interval_ms = _find_idle_interval_ms(state, held)
    return is_active or now_ms >= times.asked_at_ms + interval_ms


def _find_idle_interval_ms(
    state: holder_state.HolderState, held: position.BudgetPosition
) -> int:
    """Returns the interval between the token requests of an idle budget.

    It starts short if no reserve was granted: the first request may come
    before the budget's top-up, or before the other holders have contacted the
    owner, so that the next one may succeed.
    """
    empty_asks = state.times[held.budget].empty_asks
    if empty_asks == 0:
        return state.settings.idle_ask_ms
    doublings = min(empty_asks - 1, _MAX_DOUBLINGS)
    return min(
        state.settings.empty_ask_ms << doublings, state.settings.idle_ask_ms
    )


def _make_ask(
    held: position.BudgetPosition,
    now_ms: int,
) -> data.Ask:
    """Returns a request for the tokens that waiting requests lack.

    It also states the recent demand, and the reserve that would cover all
    requests under way and one more of the largest recent size.
    """
    reserved_tokens = held.count_reserved(_LEASE) + held.count_reserved(
        _RESERVE
    )
    free_tokens = held.count_free(_LEASE)
    return data.Ask(
        held.budget,
        max(0, held.count_uncovered() - free_tokens),
        reserved_tokens + held.largest_bound_tokens,
        held.measure_demand(now_ms),
        max(0, held.find_smallest_uncovered() - free_tokens),
    )


def _refuse_uncoverable(
    state: holder_state.HolderState, held: position.BudgetPosition
) -> None:
    """Refuses at once the requests that the whole budget cannot cover."""
    pending_give_back = state.times[held.budget].give_back
    returning_tokens = (
        0 if pending_give_back is None else pending_give_back.tokens
    )
    reachable_tokens = (
        held.available_tokens
        + returning_tokens
        + held.count_held(_LEASE)
        + held.count_held(_RESERVE)
    )
    for reservation in tuple(held.reservations.values()):
        if reservation.kind is not None:
            continue
        if reservation.tokens <= reachable_tokens:
            continue
        match reservation.phase:
            case position.Phase.WAITING:
                covering.refuse_waiting(state, held, reservation)
            case position.Phase.SETTLING:
                holder_state.drop_reservation(state, reservation)
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
