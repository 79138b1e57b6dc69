"""The state of a holder, shared by the modules that implement its decisions."""

import attrs

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import local_keys
from redwingchute.process.ledger import outbox
from redwingchute.process.ledger import position


@attrs.frozen
class HolderSettings:
    """The timeouts and intervals of a holder.

    They affect availability and cost only; no budget can be overspent through
    a wrong value.

    Attributes:
      owner_loss_ms: The time without a reply after which the owner counts as
        unreachable.
      retry_pause_ms: The delay after a call that failed or was refused.
      probe_interval_ms: The interval between probes of an unreachable owner.
      waiting_probe_ms: The same interval while a request waits for tokens.
      idle_return_ms: The time without requests after which a lease is returned.
      isolation_wait_ms: How long a new request waits for reserve while the
        owner is unreachable.
      settle_wait_ms: The least time that a bill gets to become durable, for
        requests that end close to their deadline or after it.
      waiting_ask_ms: The interval between requests for tokens while requests
        wait for them.
      idle_ask_ms: The interval between requests for tokens of a registered
        budget that no request uses.
      empty_ask_ms: The first such interval if the holder got no reserve. It
        doubles with each request without reserve, up to `idle_ask_ms`.
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
    """The times of one budget's messages, and its give-back under way.

    Attributes:
      used_at_ms: When a request last used the budget.
      asked_at_ms: When tokens were last requested from the owner, or None.
      next_ask_ms: When tokens are requested again for an active budget.
      next_transfer_ms: When siblings may next be asked for reserve.
      is_asking: Whether a request for tokens is under way.
      empty_asks: How many consecutive grants left the holder without reserve.
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
    """The whole state of a holder.

    Attributes:
      incarnation: The identity under which the ledger grants tokens.
      settings: Timeouts and intervals.
      keys: The router's table of keys.
      outbox: The entries and calls to the owner.
      is_reachable: Whether the shard's owner is reachable.
      is_retired: Whether the ledger has retired the incarnation.
      is_stopping: Whether all tokens are being returned before a stop.
      positions: The tokens and reservations of each budget, by name.
      times: The message times of each budget, by name.
      events: The events that the caller has not collected yet.
      transferable: Requests that the successor must adopt.
      given_transfers: Transfers of reserve to siblings, by transfer id.
      taken_transfers: The ids of the transfers received from siblings.
      transfer_count: The number of requests for reserve sent to siblings.
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
    """Returns the position of a budget, creating it on first use."""
    if budget not in state.positions:
        state.positions[budget] = position.BudgetPosition(budget)
        state.times[budget] = BudgetTimes(now_ms)
    return state.positions[budget]


def find_reservation(
    state: HolderState, budget: str, charge_id: int | None
) -> position.Reservation | None:
    """Returns a reservation, or None if it ended or was handed over."""
    held = state.positions.get(budget)
    if held is None or charge_id is None:
        return None
    return held.reservations.get(charge_id)


def end_admission(
    state: HolderState,
    charge: spending.Charge,
    result: spending.Admission,
) -> None:
    """Queues the event that an admission ended with a result."""
    state.events.append(holder_events.AdmissionEnded(charge.charge_id, result))


def end_settlement(
    state: HolderState,
    charge: spending.Charge,
    result: spending.Settlement,
) -> None:
    """Queues the event that a settlement ended with a result."""
    state.events.append(holder_events.SettlementEnded(charge.charge_id, result))


def end_claim(
    state: HolderState,
    charge: spending.Charge,
    result: spending.ClaimResult,
) -> None:
    """Queues the event that a claim ended with a result."""
    state.events.append(holder_events.ClaimEnded(charge.charge_id, result))


def drop_reservation(
    state: HolderState, reservation: position.Reservation
) -> None:
    """Ends a request that is not billed here and discards its key."""
    request = reservation.charge.request
    state.outbox.drop_entries(reservation.charge.charge_id)
    state.outbox.drop_lookup(reservation.charge.charge_id)
    state.positions[request.budget].drop(reservation)
    state.keys.forget(request.key)
