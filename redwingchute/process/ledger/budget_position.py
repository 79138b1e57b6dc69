"""The tokens of one budget that a holder has, and the reservations on them.

Reservations are local to the router: the ledger receives only the bill. A
reservation can therefore move between lease and reserve at any time before its
bill is sent. Reservations and open bills together never exceed the tokens that
the holder has.
"""

import enum
import math

import attrs

from redwingchute.core import data
from redwingchute.core import spending

# The time constant of the exponentially weighted demand.
DEMAND_WINDOW_MS = 10_000

# The factor by which each new request multiplies the largest recent bound.
BOUND_DECAY = 0.98


class Phase(enum.Enum):
    """The phase of a request.

    Attributes:
      LOOKING_UP: It waits for the ledger's report on its idempotency key.
      WAITING: It waits for tokens before it runs.
      RUNNING: It may run; its upper bound is reserved.
      SETTLING: It has run; its response waits for its bill to be durable.
      BILLED: Its settlement has ended, but the bill is not in the log yet.
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
      tokens: The request's upper bound, or its cost once that is known.
      phase: The phase of the request.
      covered_by: The kind of grant that covers it, or None while none does.
      bill: The entry that bills it, once its cost is known.
      claim: The entry that claims its only run, until it has a verdict.
      wait_until_ms: When it stops waiting for tokens or for its bill.
      is_sent: Whether its bill or claim was sent to the owner.
      is_claimed: Whether this holder has claimed its only run.
      must_reach_log: Whether the bill also records the outcome of a call
        that ran. Such a bill is sent until it is in the log.
    """

    charge: spending.Charge
    tokens: int
    phase: Phase = Phase.WAITING
    covered_by: data.GrantKind | None = None
    bill: data.Settle | data.RecordOutcome | None = None
    claim: data.Claim | None = None
    wait_until_ms: int = 0
    is_sent: bool = False
    is_claimed: bool = False
    must_reach_log: bool = False


class BudgetPosition:
    """The lease, the reserve and the reservations of one budget.

    Attributes:
      budget: The name of the budget.
      reservations: The requests under way, by charge id.
      available_tokens: The tokens that the owner last reported as free or
        recallable from other holders.
      largest_bound_tokens: The largest upper bound of recent requests.
    """

    def __init__(self, budget: str) -> None:
        """Creates a position without tokens."""
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
        """Returns the tokens that the holder has, reserved or not."""
        return self._held[kind]

    def count_reserved(self, kind: data.GrantKind) -> int:
        """Returns the tokens that requests and open bills reserve."""
        return self._reserved[kind]

    def count_free(self, kind: data.GrantKind) -> int:
        """Returns the tokens that a new reservation may use, at least 0."""
        return max(0, self._held[kind] - self._reserved[kind])

    def add_held(self, kind: data.GrantKind, tokens: int) -> None:
        """Adds granted tokens, or subtracts returned or billed ones.

        Args:
          kind: The kind of grant.
          tokens: The tokens to add; negative to subtract.
        """
        self._held[kind] = max(0, self._held[kind] + tokens)

    def add_granted(self, kind: data.GrantKind, total_tokens: int) -> None:
        """Adds the tokens granted since the largest total received so far.

        Args:
          kind: The kind of grant.
          total_tokens: All tokens ever granted to this incarnation. Totals
            make repeated and reordered replies harmless.
        """
        growth_tokens = max(0, total_tokens - self._granted[kind])
        self._granted[kind] += growth_tokens
        self.add_held(kind, growth_tokens)

    def set_held(self, kind: data.GrantKind, tokens: int) -> None:
        """Sets the tokens that the holder has."""
        self._held[kind] = max(0, tokens)

    def cover(self, reservation: Reservation, kind: data.GrantKind) -> bool:
        """Covers a reservation by a kind of grant if enough tokens are free.

        Args:
          reservation: A reservation that this kind does not cover yet.
          kind: The kind of grant.

        Returns:
          Whether it is covered now; otherwise nothing has changed.
        """
        if reservation.tokens > self.count_free(kind):
            return False
        self.uncover(reservation)
        reservation.covered_by = kind
        self._reserved[kind] += reservation.tokens
        return True

    def uncover(self, reservation: Reservation) -> None:
        """Frees the tokens that cover a reservation."""
        if reservation.covered_by is not None:
            self._reserved[reservation.covered_by] -= reservation.tokens
            reservation.covered_by = None

    def resize(self, reservation: Reservation, tokens: int) -> None:
        """Reduces a reservation from its upper bound to its cost."""
        if reservation.covered_by is not None:
            self._reserved[reservation.covered_by] += (
                tokens - reservation.tokens
            )
        reservation.tokens = tokens

    def remove(self, reservation: Reservation) -> None:
        """Removes a reservation and frees its tokens."""
        self.uncover(reservation)
        self.reservations.pop(reservation.charge.charge_id, None)

    def spend(self, reservation: Reservation) -> None:
        """Removes a reservation whose bill is in the log, with its tokens."""
        kind = reservation.covered_by
        self.remove(reservation)
        if kind is not None:
            self.add_held(kind, -reservation.tokens)

    def record_demand(self, tokens: int, now_ms: int) -> None:
        """Adds a new request to the measured demand.

        Args:
          tokens: The request's upper bound.
          now_ms: The time.
        """
        self._demand_tokens_per_s = self.measure_demand(now_ms)
        self._demand_tokens_per_s += tokens * 1_000 / DEMAND_WINDOW_MS
        self._demand_at_ms = now_ms
        self.largest_bound_tokens = max(
            tokens, int(self.largest_bound_tokens * BOUND_DECAY)
        )

    def measure_demand(self, now_ms: int) -> float:
        """Returns the exponentially weighted demand, in tokens per second."""
        age_ms = max(0, now_ms - self._demand_at_ms)
        return self._demand_tokens_per_s * math.exp(-age_ms / DEMAND_WINDOW_MS)

    def find_smallest_uncovered(self) -> int:
        """Returns the tokens of the smallest waiting request, 0 without one."""
        return min((each.tokens for each in self._list_uncovered()), default=0)

    def count_uncovered(self) -> int:
        """Returns the tokens for which requests wait."""
        return sum(each.tokens for each in self._list_uncovered())

    def _list_uncovered(self) -> list[Reservation]:
        """Returns the requests that wait for tokens."""
        return [
            each
            for each in self.reservations.values()
            if each.covered_by is None and each.phase is not Phase.LOOKING_UP
        ]
