"""Sizes grants by a simple rule, for fleets without a placement policy.

A sizing function takes a `BudgetState`, an `Ask` and a `GrantPolicy` and
returns the lease and the reserve to grant. It decides on liveness only: the
fold grants no more than is free, whatever the function returns.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import TypeAlias

import attrs

from redwingchute.core import data


@attrs.frozen
class GrantPolicy:
    """How grants are sized.

    Attributes:
      lease_horizon_ms: The time of a holder's demand that its lease covers.
      lease_ms: When holders ask again.
      max_lease_share: The most of the free remainder that one grant takes
        beyond what waiting requests need.
      reserve_share: The part of the free remainder that may become reserve.
      reserve_horizon_ms: The time in isolation that a holder's reserve should
        last at its demand; more would only be out of use if the holder died.
    """

    lease_horizon_ms: int = 10_000
    lease_ms: int = 5_000
    max_lease_share: float = 0.25
    reserve_share: float = 0.5
    reserve_horizon_ms: int = 3_600_000


@attrs.frozen
class HolderTokens:
    """What one holder has of a budget."""

    lease_tokens: int
    reserve_tokens: int


@attrs.frozen
class BudgetState:
    """What a sizing function may know of a budget and the asking holder.

    Attributes:
      budget: The budget's name.
      holder: The incarnation that asks.
      credited_tokens: Top-ups less reductions.
      settled_tokens: Billed for good.
      free_tokens: What can be granted now.
      holder_lease_tokens: The asking holder's lease.
      holder_reserve_tokens: The asking holder's reserve.
      demand_tokens_per_s: The recent demand by holder, the asking one too.
      wish_tokens: The reserve that each holder lately wished for.
      holders: What each holder has that is not retired.
    """

    budget: str
    holder: data.Incarnation
    credited_tokens: int
    settled_tokens: int
    free_tokens: int
    holder_lease_tokens: int
    holder_reserve_tokens: int
    demand_tokens_per_s: Mapping[data.Incarnation, float]
    wish_tokens: Mapping[data.Incarnation, int] = attrs.field(factory=dict)
    holders: Mapping[data.Incarnation, HolderTokens] = attrs.field(factory=dict)


@attrs.frozen
class HolderRecall:
    """A recall and the holder that it is for."""

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
    """Recalls nothing."""
    del state, ask, policy
    return ()


def size_grant(
    state: BudgetState, ask: data.Ask, policy: GrantPolicy
) -> tuple[int, int]:
    """Returns (lease tokens, reserve tokens) to grant for one ask."""
    needed_tokens = min(max(0, ask.lease_tokens), state.free_tokens)
    rest_tokens = state.free_tokens - needed_tokens
    horizon_tokens = int(
        ask.demand_tokens_per_s * policy.lease_horizon_ms / 1000
    )
    ahead_tokens = max(
        0, horizon_tokens - state.holder_lease_tokens - needed_tokens
    )
    ahead_tokens = min(ahead_tokens, int(rest_tokens * policy.max_lease_share))
    rest_tokens -= ahead_tokens
    wanted_tokens = max(0, ask.reserve_tokens - state.holder_reserve_tokens)
    allowed_tokens = int(
        rest_tokens * policy.reserve_share * _share_demand(state)
    )
    return needed_tokens + ahead_tokens, min(wanted_tokens, allowed_tokens)


def _share_demand(state: BudgetState) -> float:
    """Returns the asking holder's part of the budget's recent demand."""
    total = sum(state.demand_tokens_per_s.values())
    if total <= 0:
        return 1 / max(1, len(state.demand_tokens_per_s))
    return state.demand_tokens_per_s.get(state.holder, 0.0) / total
