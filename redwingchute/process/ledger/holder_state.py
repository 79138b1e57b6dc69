"""The state of a holder, shared by the functions that decide over it."""

import attrs

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import local_keys
from redwingchute.process.ledger import outbox
from redwingchute.process.ledger import position


@attrs.frozen
class HolderSettings:
    """The times that a holder goes by; none of them guards a budget.

    Attributes:
      owner_loss_ms: After this long without a reply the owner is out of reach.
      retry_pause_ms: The pause after a call that was lost or refused.
      probe_interval_ms: How often an owner out of reach is tried.
      waiting_probe_ms: The same while a request waits for tokens.
      idle_return_ms: A lease without requests for so long is returned.
      isolation_wait_ms: How long a new request waits for reserve in isolation.
      settle_wait_ms: How long a bill may take at least, for a request that
        ends near its deadline or after it.
      waiting_ask_ms: How often tokens are asked for while requests wait.
      idle_ask_ms: How often a registered budget without requests asks.
      empty_ask_ms: How soon such a budget first asks again when it got no
        reserve although tokens are left; the wait doubles up to `idle_ask_ms`.
    """

    owner_loss_ms: int = 1_000
    retry_pause_ms: int = 50
    probe_interval_ms: int = 500
    waiting_probe_ms: int = 100
    idle_return_ms: int = 10_000
    isolation_wait_ms: int = 200
    settle_wait_ms: int = 3_000
    waiting_ask_ms: int = 50
    idle_ask_ms: int = 30_000
    empty_ask_ms: int = 1_000


@attrs.define
class BudgetTimes:
    """When a budget was used and may next ask, and its open give-back.

    Attributes:
      used_at_ms: When a request last came for it.
      asked_at_ms: When it last asked its owner, or None.
      next_ask_ms: When an active budget asks again.
      next_transfer_ms: When siblings may be asked for reserve again.
      is_asking: Whether an ask is under way.
      empty_asks: How many asks in a row brought no reserve.
      sequence: The number of the last give-back.
      give_back: The give-back without a verdict, or None.
    """

    used_at_ms: int
    asked_at_ms: int | None = None
    next_ask_ms: int = 0
    next_transfer_ms: int = 0
    is_asking: bool = False
    empty_asks: int = 0
    sequence: int = 0
    give_back: data.GiveBack | None = None


@attrs.define(eq=False)
class HolderState:
    """Everything that a holder knows.

    Attributes:
      incarnation: The name in which tokens are held.
      settings: The times to go by.
      keys: The router's memory of keys.
      outbox: Entries and calls to the owner.
      is_reachable: Whether the shard's owner answers.
      is_retired: Whether the ledger has retired the incarnation.
      is_stopping: Whether everything is to be returned.
      positions: What is held, by budget.
      times: When budgets were used, by budget.
      events: What the shell has to hear.
      transferable: Requests that a successor has to adopt.
      given_transfers: Reserve given to siblings, by transfer id.
      taken_transfers: The ids of transfers from siblings that were counted.
      transfer_count: The requests made to siblings.
    """

    incarnation: data.Incarnation
    settings: HolderSettings
    keys: local_keys.LocalKeys
    outbox: outbox.Outbox
    is_reachable: bool = True
    is_retired: bool = False
    is_stopping: bool = False
    positions: dict[str, position.BudgetPosition] = attrs.field(factory=dict)
    times: dict[str, BudgetTimes] = attrs.field(factory=dict)
    events: list[holder_events.Event] = attrs.field(factory=list)
    transferable: list[position.Reservation] = attrs.field(factory=list)
    given_transfers: dict[bytes, data.Transfer] = attrs.field(factory=dict)
    taken_transfers: set[bytes] = attrs.field(factory=set)
    transfer_count: int = 0


def open_position(
    state: HolderState, budget: str, now_ms: int
) -> position.BudgetPosition:
    """Returns the position of a budget, made anew on first use."""
    if budget not in state.positions:
        state.positions[budget] = position.BudgetPosition(budget)
        state.times[budget] = BudgetTimes(now_ms)
    return state.positions[budget]


def find_reservation(
    state: HolderState, budget: str, charge_id: int | None
) -> position.Reservation | None:
    """Returns a request in hand, or None if it has ended or moved on."""
    held = state.positions.get(budget)
    if held is None or charge_id is None:
        return None
    return held.reservations.get(charge_id)


def end_admission(
    state: HolderState,
    charge: spending.Charge,
    result: spending.Admission,
) -> None:
    """Reports how an admission ended."""
    state.events.append(holder_events.AdmissionEnded(charge.charge_id, result))


def end_settlement(
    state: HolderState,
    charge: spending.Charge,
    result: spending.Settlement,
) -> None:
    """Reports how a settlement ended."""
    state.events.append(holder_events.SettlementEnded(charge.charge_id, result))


def end_claim(
    state: HolderState,
    charge: spending.Charge,
    result: spending.ClaimResult,
) -> None:
    """Reports how a claim ended."""
    state.events.append(holder_events.ClaimEnded(charge.charge_id, result))


def drop_reservation(
    state: HolderState, reservation: position.Reservation
) -> None:
    """Ends a request that is not billed here and forgets its key."""
    request = reservation.charge.request
    state.outbox.drop_entries(reservation.charge.charge_id)
    state.outbox.drop_lookup(reservation.charge.charge_id)
    state.positions[request.budget].drop(reservation)
    state.keys.forget(request.key)
