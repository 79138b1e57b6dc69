"""The types of the functions that size grants, and a simple default.

A sizing function takes a `BudgetState`, an `Ask` and a `GrantPolicy` and
returns the lease and the reserve to grant. Its result affects availability
only: the fold never grants more than is free.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import TypeAlias

import attrs

from redwingchute.core import data


@attrs.frozen
class GrantPolicy:
    """How the leases and reserves that an owner grants are sized.

    It is unrelated to `grant_planner.GrantPolicy` of prepaid tokens.

    Attributes:
      lease_horizon_ms: How long a lease should last at the holder's demand.
      lease_ms: The interval after which holders request tokens again.
      max_lease_share: The largest share of the free tokens that one grant uses
        as lease beyond what waiting requests need. The module `placement`
        ignores it.
      reserve_share: The largest share that becomes reserve: of the free tokens
        in this module, of a holder's share of the budget in `placement`.
      reserve_horizon_ms: How long a reserve should last at the holder's demand
        while the owner is unreachable. A larger reserve would only become
        unaccounted if the holder died. Only `placement` uses it.
    """

    lease_horizon_ms: int = 10_000
    lease_ms: int = 5_000
    max_lease_share: float = 0.25
    reserve_share: float = 0.5
    reserve_horizon_ms: int = 3_600_000


@attrs.frozen
class HolderTokens:
    """The tokens of a budget that one holder has."""

    lease_tokens: int
    reserve_tokens: int


@attrs.frozen
class BudgetState:
    """The state of a budget and of the asking holder.

    Attributes:
      budget: The budget's name.
      holder: The incarnation that sent the ask.
      credited_tokens: Top-ups less reductions.
      settled_tokens: The tokens of all billed requests.
      free_tokens: The tokens that can be granted now.
      holder_lease_tokens: The asking holder's lease.
      holder_reserve_tokens: The asking holder's reserve.
      demand_tokens_per_s: The recent demand of each holder, including the
        asking one.
      requested_reserve_tokens: The reserve that each holder requested in its
        last ask.
      holders: The tokens of each holder that is not retired.
    """

    budget: str
    holder: data.Incarnation
    credited_tokens: int
    settled_tokens: int
    free_tokens: int
    holder_lease_tokens: int
    holder_reserve_tokens: int
    demand_tokens_per_s: Mapping[data.Incarnation, float]
    requested_reserve_tokens: Mapping[data.Incarnation, int] = attrs.field(
        factory=dict
    )
    holders: Mapping[data.Incarnation, HolderTokens] = attrs.field(factory=dict)


@attrs.frozen
class HolderRecall:
    """A recall and the holder that should return the tokens."""

    holder: data.Incarnation
    recall: data.Recall


SizeGrant: TypeAlias = Callable[
    [BudgetState, data.Ask, GrantPolicy], tuple[int, int]
]


ChooseRecalls: TypeAlias = Callable[
    [BudgetState, data.Ask, GrantPolicy], tuple[HolderRecall, ...]
]


def choose_recalls(
    state: BudgetState, ask: data.Ask, policy: GrantPolicy
) -> tuple[HolderRecall, ...]:
    """Returns no recalls; the default without a placement policy."""
    del state, ask, policy
    return ()


def size_grant(
    state: BudgetState, ask: data.Ask, policy: GrantPolicy
) -> tuple[int, int]:
    """Sizes the grants for one ask; the default without a placement policy.

    Waiting requests come first, then a limited lease for the demand within its
    horizon, then reserve by the holder's share of the demand.

    Returns:
      The lease tokens and the reserve tokens.
    """
    needed_tokens = min(max(0, ask.lease_tokens), state.free_tokens)
    remaining_tokens = state.free_tokens - needed_tokens
    horizon_tokens = int(
        ask.demand_tokens_per_s * policy.lease_horizon_ms / 1000
    )
    advance_tokens = max(
        0, horizon_tokens - state.holder_lease_tokens - needed_tokens
    )
    advance_tokens = min(
        advance_tokens, int(remaining_tokens * policy.max_lease_share)
    )
    remaining_tokens -= advance_tokens
    missing_reserve_tokens = max(
        0, ask.reserve_tokens - state.holder_reserve_tokens
    )
    allowed_tokens = int(
        remaining_tokens * policy.reserve_share * _share_demand(state)
    )
    return needed_tokens + advance_tokens, min(
        missing_reserve_tokens, allowed_tokens
    )


def _share_demand(state: BudgetState) -> float:
    """Returns the asking holder's share of the budget's recent demand."""
    total = sum(state.demand_tokens_per_s.values())
    if total <= 0:
        return 1 / max(1, len(state.demand_tokens_per_s))
    return state.demand_tokens_per_s.get(state.holder, 0.0) / total
