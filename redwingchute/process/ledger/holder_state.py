"""The state of a holder, shared by the modules that implement its decisions."""

import attrs

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import budget_position
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import local_keys
from redwingchute.process.ledger import outbox


@attrs.frozen
class HolderSettings:
    """The timeouts and intervals of a holder.

    They affect availability and cost only; no budget can be overspent through
    a wrong value.

    Attributes:
      owner_timeout_ms: The time after the first failed call, without a
        handled call of entries or asks since, after which the owner counts as
        unreachable. Refusals also give it to the caller as the time to retry
        after.
      retry_delay_ms: The delay after a call that failed or was refused.
      probe_interval_ms: The interval between probes of an unreachable owner.
      waiting_probe_interval_ms: The same interval while a request waits for
        tokens.
      idle_return_ms: The time without requests after which a lease is returned.
      isolation_wait_ms: How long a new request waits for reserve while the
        owner is unreachable.
      min_settle_wait_ms: The least time that a bill gets to become durable, for
        requests that end close to their deadline or after it.
      waiting_request_interval_ms: The interval between requests for tokens
        while requests wait for them.
      idle_request_interval_ms: The interval between requests for tokens of a
        registered budget that no request uses.
      empty_grant_delay_ms: The same interval after a grant that left the holder
        without reserve. It doubles with each further such grant, up to
        `idle_request_interval_ms`. The `lease_ms` of the last grant is a lower
        bound of both intervals.
    """

    owner_timeout_ms: int = 1_000
    retry_delay_ms: int = 50
    probe_interval_ms: int = 500
    waiting_probe_interval_ms: int = 100
    idle_return_ms: int = 10_000
    isolation_wait_ms: int = 200
    min_settle_wait_ms: int = 3_000
    waiting_request_interval_ms: int = 50
    idle_request_interval_ms: int = 30_000
    empty_grant_delay_ms: int = 1_000


@attrs.define
class BudgetTimes:
    """The times of one budget's messages, and its give-backs under way.

    Attributes:
      used_at_ms: When a request last used the budget.
      requested_at_ms: When tokens were last requested from the owner, or None.
      next_request_ms: When tokens may be requested again while no request
        waits for them.
      next_transfer_request_ms: When siblings may next be sent a request.
      is_request_pending: Whether a request for tokens is under way.
      empty_grant_count: How many consecutive grants left the holder without
        reserve.
      sequence: The number of the last give-back.
      give_backs: The give-back without a verdict of each kind of grant.
    """

    used_at_ms: int
    requested_at_ms: int | None = None
    next_request_ms: int = 0
    next_transfer_request_ms: int = 0
    is_request_pending: bool = False
    empty_grant_count: int = 0
    sequence: int = 0
    give_backs: dict[data.GrantKind, data.GiveBack] = attrs.field(factory=dict)


@attrs.define(eq=False)
class HolderState:
    """The whole state of a holder.

    Attributes:
      incarnation: The identity under which the ledger grants tokens.
      settings: Timeouts and intervals.
      keys: The router's table of keys.
      outbox: The entries and calls to the owner.
      is_owner_reachable: Whether the shard's owner is reachable.
      is_retired: Whether the ledger has retired the incarnation.
      is_stopping: Whether all tokens are being returned before a stop.
      positions: The tokens and reservations of each budget, by name.
      times: The message times of each budget, by name.
      events: The events that `Holder.pop_events` has not returned yet.
      reservations_to_adopt: Requests that the successor must adopt.
      sent_transfers: Transfers of reserve to siblings, by transfer id.
      received_transfers: The ids of the transfers received from siblings.
      transfer_request_count: The number of requests for reserve sent to
        siblings.
    """

    incarnation: data.Incarnation
    settings: HolderSettings
    keys: local_keys.LocalKeys
    outbox: outbox.Outbox
    is_owner_reachable: bool = True
    is_retired: bool = False
    is_stopping: bool = False
    positions: dict[str, budget_position.BudgetPosition] = attrs.field(
        factory=dict
    )
    times: dict[str, BudgetTimes] = attrs.field(factory=dict)
    events: list[holder_events.Event] = attrs.field(factory=list)
    reservations_to_adopt: list[budget_position.Reservation] = attrs.field(
        factory=list
    )
    sent_transfers: dict[bytes, data.Transfer] = attrs.field(factory=dict)
    received_transfers: set[bytes] = attrs.field(factory=set)
    transfer_request_count: int = 0


def open_position(
    state: HolderState, budget: str, now_ms: int
) -> budget_position.BudgetPosition:
    """Returns the position of a budget, creating it on first use."""
    if budget not in state.positions:
        state.positions[budget] = budget_position.BudgetPosition(budget)
        state.times[budget] = BudgetTimes(now_ms)
    return state.positions[budget]


def find_reservation(
    state: HolderState, budget: str, charge_id: int | None
) -> budget_position.Reservation | None:
    """Returns a reservation, or None if it ended or was handed over."""
    position = state.positions.get(budget)
    if position is None or charge_id is None:
        return None
    return position.reservations.get(charge_id)


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


def remove_reservation(
    state: HolderState, reservation: budget_position.Reservation
) -> None:
    """Ends a request that is not billed here and discards its key."""
    request = reservation.charge.request
    state.outbox.remove_entries(reservation.charge.charge_id)
    state.outbox.remove_lookup(reservation.charge.charge_id)
    state.positions[request.budget].remove(reservation)
    state.keys.discard(request.key)
