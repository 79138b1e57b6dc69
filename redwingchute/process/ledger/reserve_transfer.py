"""Transfers reserve between the routers of a zone that is cut off.

The source deducts the tokens before it creates the transfer record, and the
target adds them when it receives the record. Both queue the record for the
ledger and siblings keep copies of it, so that it reaches the log even if either
of them dies. The fold applies the first copy and ignores the others by their
id. If the record is lost on the way to the target, no router counts its tokens
until the ledger has applied it. Transfers therefore never increase the sum of
reserve.
"""

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import budget_position
from redwingchute.process.ledger import coverage
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import outbox

_RESERVE = data.GrantKind.RESERVE

# The least interval between two requests to the siblings for one budget.
REQUEST_INTERVAL_MS = 100

# How long a transfer should last at the recent demand, beyond the tokens that
# waiting requests need.
TRANSFER_HORIZON_MS = 5_000


def request_reserve(
    state: holder_state.HolderState,
    position: budget_position.BudgetPosition,
    now_ms: int,
) -> None:
    """Requests reserve from siblings if requests wait in isolation."""
    times = state.times[position.budget]
    missing_tokens = position.count_uncovered()
    if state.is_owner_reachable or state.is_retired or missing_tokens == 0:
        return
    if now_ms < times.next_transfer_request_ms:
        return
    times.next_transfer_request_ms = now_ms + REQUEST_INTERVAL_MS
    state.transfer_request_count += 1
    demand = position.measure_demand(now_ms)
    request = spending.TransferRequest(
        position.budget,
        state.incarnation,
        state.incarnation.to_bytes(8, "big")
        + state.transfer_request_count.to_bytes(8, "big"),
        missing_tokens + int(demand * TRANSFER_HORIZON_MS / 1_000),
        demand,
    )
    state.events.append(holder_events.ReserveRequested(request))


def handle_transfer_request(
    state: holder_state.HolderState,
    request: spending.TransferRequest,
    now_ms: int,
) -> spending.TransferReply:
    """Transfers free reserve to a sibling, in proportion to the two demands.

    A repeated request gets the same transfer.

    Args:
      state: The state of the holder that handles the request.
      request: The sibling's request.
      now_ms: The time.

    Returns:
      The transfer, with 0 tokens if the holder has none to give.
    """
    transfer_id = request.transfer_id + state.incarnation.to_bytes(8, "big")
    earlier = state.sent_transfers.get(transfer_id)
    if earlier is not None:
        return spending.TransferReply(earlier)
    tokens = _size_transfer(state, request, now_ms)
    transfer = data.Transfer(
        request.budget, state.incarnation, request.target, transfer_id, tokens
    )
    if tokens > 0:
        state.positions[request.budget].add_held(_RESERVE, -tokens)
        state.sent_transfers[transfer_id] = transfer
        _enqueue(state, transfer)
    return spending.TransferReply(transfer)


def handle_transfer(
    state: holder_state.HolderState, transfer: data.Transfer, now_ms: int
) -> None:
    """Adds reserve that a sibling transferred; a repeat has no effect."""
    is_own = transfer.target == state.incarnation
    is_known = transfer.transfer_id in state.received_transfers
    if not is_own or is_known or transfer.tokens <= 0:
        return
    state.received_transfers.add(transfer.transfer_id)
    position = holder_state.open_position(state, transfer.budget, now_ms)
    position.add_held(_RESERVE, transfer.tokens)
    _enqueue(state, transfer)
    coverage.cover_all(state, position)


def _size_transfer(
    state: holder_state.HolderState,
    request: spending.TransferRequest,
    now_ms: int,
) -> int:
    """Returns the number of tokens that a sibling may get."""
    position = state.positions.get(request.budget)
    if position is None or state.is_owner_reachable or state.is_retired:
        return 0
    own_demand = position.measure_demand(now_ms)
    demands = own_demand + request.demand_tokens_per_s
    share = request.demand_tokens_per_s / demands if demands > 0 else 1.0
    free_tokens = position.count_free(_RESERVE)
    return min(request.tokens, int(free_tokens * share))


def _enqueue(state: holder_state.HolderState, transfer: data.Transfer) -> None:
    """Queues a transfer for the ledger and requests copies at siblings."""
    state.outbox.enqueue_entry(outbox.PendingEntry(transfer))
    state.events.append(holder_events.BillCopyRequested(transfer))
