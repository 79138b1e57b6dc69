"""Passes reserve between the routers of a zone that is cut off.

The source deducts the tokens before it makes the transfer record, and the
target counts them once it has the record. Both queue the record for the
ledger and siblings keep copies of it, so that it arrives whichever of them
dies; the fold takes the first and drops the others by its id. Tokens whose
record got lost on the way to the target are counted by nobody until the
ledger has heard of them: the sum of reserve never grows.
"""

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import covering
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import outbox
from redwingchute.process.ledger import position

_RESERVE = data.GrantKind.RESERVE

# How often a budget asks its siblings at most.
REQUEST_INTERVAL_MS = 100

# The time of the demand that a transfer should cover beyond what waits.
TRANSFER_HORIZON_MS = 5_000


def request_reserve(
    state: holder_state.HolderState,
    held: position.BudgetPosition,
    now_ms: int,
) -> None:
    """Asks the siblings for reserve when requests wait in isolation."""
    times = state.times[held.budget]
    missing_tokens = held.count_uncovered()
    if state.is_reachable or state.is_retired or missing_tokens == 0:
        return
    if now_ms < times.next_transfer_ms:
        return
    times.next_transfer_ms = now_ms + REQUEST_INTERVAL_MS
    state.transfer_count += 1
    demand = held.measure_demand(now_ms)
    request = spending.TransferRequest(
        held.budget,
        state.incarnation,
        state.incarnation.to_bytes(8, "big")
        + state.transfer_count.to_bytes(8, "big"),
        missing_tokens + int(demand * TRANSFER_HORIZON_MS / 1_000),
        demand,
    )
    state.events.append(holder_events.ReserveWanted(request))


def answer_request(
    state: holder_state.HolderState,
    request: spending.TransferRequest,
    now_ms: int,
) -> spending.TransferReply:
    """Gives a sibling its part of the free reserve, by both demands.

    A repeated request gets the same transfer.

    Args:
      state: The state of the asked holder.
      request: The sibling's request.
      now_ms: The time.

    Returns:
      The transfer, with 0 tokens when there is nothing to give.
    """
    transfer_id = request.transfer_id + state.incarnation.to_bytes(8, "big")
    known = state.given_transfers.get(transfer_id)
    if known is not None:
        return spending.TransferReply(known)
    tokens = _size_transfer(state, request, now_ms)
    transfer = data.Transfer(
        request.budget, state.incarnation, request.target, transfer_id, tokens
    )
    if tokens > 0:
        state.positions[request.budget].add_held(_RESERVE, -tokens)
        state.given_transfers[transfer_id] = transfer
        _queue(state, transfer)
    return spending.TransferReply(transfer)


def accept_transfer(
    state: holder_state.HolderState, transfer: data.Transfer, now_ms: int
) -> None:
    """Counts reserve that a sibling gave; a repeat has no effect."""
    is_own = transfer.target == state.incarnation
    is_known = transfer.transfer_id in state.taken_transfers
    if not is_own or is_known or transfer.tokens <= 0:
        return
    state.taken_transfers.add(transfer.transfer_id)
    held = holder_state.open_position(state, transfer.budget, now_ms)
    held.add_held(_RESERVE, transfer.tokens)
    _queue(state, transfer)
    covering.cover_all(state, held)


def _size_transfer(
    state: holder_state.HolderState,
    request: spending.TransferRequest,
    now_ms: int,
) -> int:
    """Returns how much a sibling may get."""
    held = state.positions.get(request.budget)
    if held is None or state.is_reachable or state.is_retired:
        return 0
    own_demand = held.measure_demand(now_ms)
    demands = own_demand + request.demand_tokens_per_s
    share = request.demand_tokens_per_s / demands if demands > 0 else 1.0
    free_tokens = held.count_free(_RESERVE)
    return min(request.tokens, int(free_tokens * share))


def _queue(state: holder_state.HolderState, transfer: data.Transfer) -> None:
    """Queues a transfer for the ledger and for copies at siblings."""
    state.outbox.put_entry(outbox.PendingEntry(transfer))
    state.events.append(holder_events.BillKept(transfer))
