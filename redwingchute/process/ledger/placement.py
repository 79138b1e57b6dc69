"""Decides where the tokens of a budget are placed.

An owner places the idle part of a budget as reserve with the routers, by their
demand, so that a zone that is cut off later can go on. What is placed flows
back by recalls when demand moves or a request elsewhere lacks tokens. Nothing
here guards a budget: the fold grants no more than is free.
"""

from collections.abc import Callable

import attrs

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.process.ledger import placement_default

# A holder without recent demand counts like this part of the mean demand.
SMOOTHING = 0.25

# A holder keeps this part of its share as reserve whatever its demand was.
RESERVE_FLOOR = 0.1

# A part up to this size is placed whole: less would not cover one request of
# an account whose requests the holder has not seen yet.
SMALL_RESERVE_TOKENS = 2_048

# Reserve is moved when a holder lacks this part of its target.
REBALANCE_SLACK = 0.2

_LEASE = data.GrantKind.LEASE
_RESERVE = data.GrantKind.RESERVE


class PlacementPolicy:
    """Sizes grants by the policy of each budget in the configuration."""

    def __init__(
        self,
        find_budget: Callable[[str], configuration.Budget | None],
        smoothing: float = SMOOTHING,
    ) -> None:
        """Binds the policy to a lookup of budgets in the version in force.

        Args:
          find_budget: Returns the configured budget of a name, or None.
          smoothing: The part of the mean demand that every holder counts.
        """
        self._find_budget = find_budget
        self._smoothing = smoothing

    def size_grant(
        self,
        state: placement_default.BudgetState,
        ask: data.Ask,
        policy: placement_default.GrantPolicy,
    ) -> tuple[int, int]:
        """Returns (lease tokens, reserve tokens) to grant for one ask."""
        policy = self._adapt(state.budget, policy)
        return size_grant(state, ask, policy, self._smoothing)

    def choose_recalls(
        self,
        state: placement_default.BudgetState,
        ask: data.Ask,
        policy: placement_default.GrantPolicy,
    ) -> tuple[placement_default.HolderRecall, ...]:
        """Returns what other holders should give back after an ask."""
        policy = self._adapt(state.budget, policy)
        return choose_recalls(state, ask, policy, self._smoothing)

    def _adapt(
        self, name: str, policy: placement_default.GrantPolicy
    ) -> placement_default.GrantPolicy:
        """Returns the policy with the settings of one budget."""
        budget = self._find_budget(name)
        if budget is None:
            return policy
        return attrs.evolve(
            policy,
            reserve_share=budget.reserve_share,
            lease_horizon_ms=budget.lease_horizon_ms,
        )


def size_grant(
    state: placement_default.BudgetState,
    ask: data.Ask,
    policy: placement_default.GrantPolicy,
    smoothing: float = SMOOTHING,
) -> tuple[int, int]:
    """Sizes the grants for one ask.

    Args:
      state: The budget as the fold has it.
      ask: The ask.
      policy: How grants of this budget are sized.
      smoothing: The part of the mean demand that every holder counts.

    Returns:
      (lease tokens, reserve tokens), together at most what is free. Waiting
      requests go first, then the reserve's target, then the lease's horizon.
    """
    parts = find_parts(state, smoothing)
    part_tokens = parts.get(state.holder, 0)
    target_tokens = find_target(state, state.holder, part_tokens, policy)
    needed_tokens = _size_need(state, ask)
    rest_tokens = state.free_tokens - needed_tokens
    reserve_tokens = target_tokens - state.holder_reserve_tokens
    reserve_tokens = max(0, min(reserve_tokens, rest_tokens))
    rest_tokens -= reserve_tokens
    horizon_tokens = int(
        ask.demand_tokens_per_s * policy.lease_horizon_ms / 1_000
    )
    held_tokens = (
        state.holder_lease_tokens
        + state.holder_reserve_tokens
        + needed_tokens
        + reserve_tokens
    )
    ahead_tokens = min(horizon_tokens, part_tokens) - held_tokens
    ahead_tokens = max(0, min(ahead_tokens, rest_tokens))
    return needed_tokens + ahead_tokens, reserve_tokens


def _size_need(state: placement_default.BudgetState, ask: data.Ask) -> int:
    """Returns the lease for waiting requests.

    When there is not enough for all of them, one is served at a time: a lease
    too small for any request would lie idle while others lack it.
    """
    if ask.lease_tokens <= state.free_tokens:
        return max(0, ask.lease_tokens)
    if ask.smallest_tokens <= state.free_tokens:
        return ask.smallest_tokens
    return 0


def find_parts(
    state: placement_default.BudgetState, smoothing: float
) -> dict[data.Incarnation, int]:
    """Divides all that is not settled among the holders, by their demand.

    A part that would not cover one request is of no use to its holder. Such
    parts are left out and divided among the others, the smallest first; what
    is too little for any holder stays with the owner.

    Args:
      state: The budget as the fold has it.
      smoothing: The part of the mean demand that every holder counts.

    Returns:
      The tokens that each holder should have; holders without a useful part
      are missing.
    """
    placeable_tokens = state.free_tokens + sum(
        held.lease_tokens + held.reserve_tokens
        for held in state.holders.values()
    )
    weights = _weigh_holders(state, smoothing)
    while weights:
        total = sum(weights.values())
        parts = {
            each: int(placeable_tokens * weight / total)
            for each, weight in weights.items()
        }
        useless = min(
            (
                each
                for each in parts
                if parts[each] < state.wish_tokens.get(each, 0)
            ),
            key=lambda each: (weights[each], each),
            default=None,
        )
        if useless is None:
            return parts
        del weights[useless]
    return {}


def find_target(
    state: placement_default.BudgetState,
    holder: data.Incarnation,
    part_tokens: int,
    policy: placement_default.GrantPolicy,
) -> int:
    """Returns the reserve that a holder should have.

    Args:
      state: The budget as the fold has it.
      holder: The holder.
      part_tokens: Its part of what is not settled.
      policy: How grants of this budget are sized.
    """
    most_tokens = int(part_tokens * policy.reserve_share)
    total_tokens_per_s = sum(state.demand_tokens_per_s.values())
    placeable_tokens = state.free_tokens + sum(
        held.lease_tokens + held.reserve_tokens
        for held in state.holders.values()
    )
    # The part divides by smoothed demand, and so does the horizon.
    horizon_tokens = total_tokens_per_s * policy.reserve_horizon_ms / 1_000
    if placeable_tokens > 0:
        horizon_tokens *= part_tokens / placeable_tokens
    useful_tokens = max(
        int(horizon_tokens),
        state.wish_tokens.get(holder, 0),
        int(part_tokens * RESERVE_FLOOR),
        SMALL_RESERVE_TOKENS,
    )
    return min(most_tokens, useful_tokens)


def choose_recalls(
    state: placement_default.BudgetState,
    ask: data.Ask,
    policy: placement_default.GrantPolicy,
    smoothing: float = SMOOTHING,
) -> tuple[placement_default.HolderRecall, ...]:
    """Chooses who gives tokens back for a holder that lacks them.

    Args:
      state: The budget before the grants for the ask.
      ask: The ask.
      policy: How grants of this budget are sized.
      smoothing: The part of the mean demand that every holder counts.

    Returns:
      Recalls from holders that have spoken lately. For waiting requests all
      may be asked, for the reserve's balance only those above their part, the
      asking holder too.
    """
    parts = find_parts(state, smoothing)
    lacking_tokens = max(0, ask.lease_tokens - state.free_tokens)
    if lacking_tokens > 0:
        surplus = _list_surplus(state, parts, policy)
        recalls = _take_from(state.budget, surplus, lacking_tokens)
        lacking_tokens -= sum(each.recall.tokens for each in recalls)
        if lacking_tokens <= 0:
            return recalls
        return _take_from_all(state, lacking_tokens)
    target_tokens = find_target(
        state, state.holder, parts.get(state.holder, 0), policy
    )
    slack_tokens = max(
        target_tokens * REBALANCE_SLACK, state.wish_tokens.get(state.holder, 0)
    )
    own_surplus_tokens = state.holder_reserve_tokens - target_tokens
    if own_surplus_tokens > slack_tokens:
        recall = data.Recall(state.budget, _RESERVE, own_surplus_tokens)
        return (placement_default.HolderRecall(state.holder, recall),)
    missing_tokens = target_tokens - state.holder_reserve_tokens
    missing_tokens -= state.free_tokens
    if missing_tokens <= target_tokens * REBALANCE_SLACK:
        return ()
    surplus = _list_surplus(state, parts, policy)
    return _take_from(state.budget, surplus, missing_tokens)


def _weigh_holders(
    state: placement_default.BudgetState, smoothing: float
) -> dict[data.Incarnation, float]:
    """Returns the weight of each holder that has spoken lately."""
    demand = dict(state.demand_tokens_per_s)
    demand.setdefault(state.holder, 0.0)
    mean = sum(demand.values()) / len(demand)
    if mean <= 0:
        return dict.fromkeys(demand, 1.0)
    return {each: rate + smoothing * mean for each, rate in demand.items()}


def _list_surplus(
    state: placement_default.BudgetState,
    parts: dict[data.Incarnation, int],
    policy: placement_default.GrantPolicy,
) -> dict[data.Incarnation, int]:
    """Returns the reserve above their targets of the other holders."""
    surplus = {}
    for each, held in state.holders.items():
        if each == state.holder or each not in state.demand_tokens_per_s:
            continue
        target_tokens = find_target(state, each, parts.get(each, 0), policy)
        if held.reserve_tokens > target_tokens:
            surplus[each] = held.reserve_tokens - target_tokens
    return surplus


def _take_from(
    budget: str, surplus: dict[data.Incarnation, int], tokens: int
) -> tuple[placement_default.HolderRecall, ...]:
    """Recalls tokens from those with the largest surplus first."""
    recalls = []
    for each in sorted(surplus, key=lambda one: (-surplus[one], one)):
        taken_tokens = min(tokens, surplus[each])
        if taken_tokens <= 0:
            break
        recall = data.Recall(budget, _RESERVE, taken_tokens)
        recalls.append(placement_default.HolderRecall(each, recall))
        tokens -= taken_tokens
    return tuple(recalls)


def _take_from_all(
    state: placement_default.BudgetState, tokens: int
) -> tuple[placement_default.HolderRecall, ...]:
    """Recalls from every holder as much as would do alone.

    What they have is partly taken up by their own requests, which only they
    know; each returns what is free, and the rest is placed again. The asking
    holder is among them: while the owner is in reach it may not spend its
    reserve, which may be what its own request lacks.
    """
    recalls = []
    for each, held in state.holders.items():
        if each not in state.demand_tokens_per_s:
            continue
        for kind, held_tokens in (
            (_RESERVE, held.reserve_tokens),
            (_LEASE, held.lease_tokens),
        ):
            if held_tokens > 0:
                recall = data.Recall(
                    state.budget, kind, min(tokens, held_tokens)
                )
                recalls.append(placement_default.HolderRecall(each, recall))
    return tuple(recalls)
