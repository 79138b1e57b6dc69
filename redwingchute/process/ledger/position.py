"""What one holder has of one budget, and what its requests reserve of it.

A reservation is a promise within this router only, so it can move from lease
to reserve and back at any time before its bill is written; the ledger sees
nothing but the bill. The sums here never let reservations and open bills pass
what the holder has.
"""

import enum
import math

import attrs

from redwingchute.core import data
from redwingchute.core import spending

# The time constant of the exponentially weighted demand.
DEMAND_WINDOW_MS = 10_000

# What a request leaves of the largest bound before it.
BOUND_DECAY = 0.98


class Phase(enum.Enum):
    """How far a request has come.

    Attributes:
      LOOKING_UP: The ledger is asked whether it knows the key.
      WAITING: It waits for tokens before it runs.
      RUNNING: It runs, or may run, against its upper bound.
      SETTLING: It has run; its answer waits for its bill.
      BILLED: Its answer has ended on reserve; the bill is not in the log yet.
    """

    LOOKING_UP = enum.auto()
    WAITING = enum.auto()
    RUNNING = enum.auto()
    SETTLING = enum.auto()
    BILLED = enum.auto()


@attrs.define(eq=False)
class Reservation:
    """The tokens that one request needs of its budget.

    Attributes:
      charge: The request's charge.
      tokens: Its upper bound, or its cost once that is known.
      phase: How far it has come.
      kind: What covers it, or None while nothing does.
      bill: The entry that bills it, once its cost is known.
      claim: The entry that claims its single run, until that is decided.
      wait_until_ms: When it stops waiting for tokens or for its bill.
      is_sent: Whether its bill or claim was sent to the owner.
      is_claimed: Whether its single run is claimed by this holder.
      is_outcome_needed: Whether the bill also records the outcome of a call
        that ran, so that it must reach the log whatever happens.
    """

    charge: spending.Charge
    tokens: int
    phase: Phase = Phase.WAITING
    kind: data.GrantKind | None = None
    bill: data.Settle | data.RecordOutcome | None = None
    claim: data.Claim | None = None
    wait_until_ms: int = 0
    is_sent: bool = False
    is_claimed: bool = False
    is_outcome_needed: bool = False


class BudgetPosition:
    """The lease, the reserve and the reservations of one budget.

    Attributes:
      budget: The name of the budget.
      reservations: The requests in hand, by charge id.
      available_tokens: What the owner last said to be free or recallable.
      largest_bound_tokens: The largest bound of recent requests.
    """

    def __init__(self, budget: str) -> None:
        """Starts with nothing held."""
        self.budget = budget
        self.reservations: dict[int, Reservation] = {}
        self.available_tokens = 0
        self.largest_bound_tokens = 0
        self._held = dict.fromkeys(data.GrantKind, 0)
        self._reserved = dict.fromkeys(data.GrantKind, 0)
        self._granted = dict.fromkeys(data.GrantKind, 0)
        self._demand_tokens_per_s = 0.0
        self._demand_at_ms = 0

    def count_held(self, kind: data.GrantKind) -> int:
        """Returns the tokens held, reserved or not."""
        return self._held[kind]

    def count_reserved(self, kind: data.GrantKind) -> int:
        """Returns the tokens that requests and open bills take up."""
        return self._reserved[kind]

    def count_free(self, kind: data.GrantKind) -> int:
        """Returns the tokens that a new reservation may take, at least 0."""
        return max(0, self._held[kind] - self._reserved[kind])

    def add_held(self, kind: data.GrantKind, tokens: int) -> None:
        """Adds granted tokens, or takes off returned or billed ones."""
        self._held[kind] = max(0, self._held[kind] + tokens)

    def add_granted(self, kind: data.GrantKind, total_tokens: int) -> None:
        """Adds what was granted since the largest total that was seen.

        Args:
          kind: The kind of grant.
          total_tokens: All that was ever granted to this incarnation.
        """
        growth_tokens = max(0, total_tokens - self._granted[kind])
        self._granted[kind] += growth_tokens
        self.add_held(kind, growth_tokens)

    def set_held(self, kind: data.GrantKind, tokens: int) -> None:
        """Corrects the tokens held."""
        self._held[kind] = max(0, tokens)

    def cover(self, reservation: Reservation, kind: data.GrantKind) -> bool:
        """Puts a reservation on a kind of grant if there is room.

        Args:
          reservation: One that is not covered by this kind yet.
          kind: What to cover it with.

        Returns:
          Whether it is covered now; otherwise nothing has changed.
        """
        if reservation.tokens > self.count_free(kind):
            return False
        self.uncover(reservation)
        reservation.kind = kind
        self._reserved[kind] += reservation.tokens
        return True

    def uncover(self, reservation: Reservation) -> None:
        """Takes a reservation off what covers it."""
        if reservation.kind is not None:
            self._reserved[reservation.kind] -= reservation.tokens
            reservation.kind = None

    def resize(self, reservation: Reservation, tokens: int) -> None:
        """Lowers a reservation from its bound to its cost."""
        if reservation.kind is not None:
            self._reserved[reservation.kind] += tokens - reservation.tokens
        reservation.tokens = tokens

    def drop(self, reservation: Reservation) -> None:
        """Ends a reservation that cost nothing."""
        self.uncover(reservation)
        self.reservations.pop(reservation.charge.charge_id, None)

    def spend(self, reservation: Reservation) -> None:
        """Ends a reservation whose cost is in the log."""
        kind = reservation.kind
        self.drop(reservation)
        if kind is not None:
            self.add_held(kind, -reservation.tokens)

    def note_demand(self, tokens: int, now_ms: int) -> None:
        """Adds an admitted request to the measured demand."""
        self._demand_tokens_per_s = self.measure_demand(now_ms)
        self._demand_tokens_per_s += tokens * 1_000 / DEMAND_WINDOW_MS
        self._demand_at_ms = now_ms
        self.largest_bound_tokens = max(
            tokens, int(self.largest_bound_tokens * BOUND_DECAY)
        )

    def measure_demand(self, now_ms: int) -> float:
        """Returns the weighted demand, in tokens per second."""
        age_ms = max(0, now_ms - self._demand_at_ms)
        return self._demand_tokens_per_s * math.exp(-age_ms / DEMAND_WINDOW_MS)

    def find_smallest_uncovered(self) -> int:
        """Returns what the smallest waiting request needs, 0 without one."""
        return min((each.tokens for each in self._list_uncovered()), default=0)

    def count_uncovered(self) -> int:
        """Returns the tokens that requests wait for."""
        return sum(each.tokens for each in self._list_uncovered())

    def _list_uncovered(self) -> list[Reservation]:
        """Returns the requests that wait for tokens."""
        return [
            each
            for each in self.reservations.values()
            if each.kind is None and each.phase is not Phase.LOOKING_UP
        ]
