"""Decides how the tokens of a budget are distributed among the holders.

An owner grants the idle part of a budget to the routers as reserve, in
proportion to their demand, so that a zone that is cut off later can continue.
Recalls bring tokens back when demand shifts or a request elsewhere lacks
tokens. These decisions cannot overspend a budget: the fold never grants more
than is free.
"""

from collections.abc import Callable

import attrs

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.process.ledger import grant_sizing

# The share of the mean demand that is added to the demand of every holder, so
# that a holder without recent demand still gets tokens.
SMOOTHING = 0.25

# The least reserve target of a holder, as a fraction of its share of the
# placeable tokens.
MIN_RESERVE_SHARE = 0.1

# The least reserve target of a holder, as far as its share and `reserve_share`
# allow: less might not cover one request of a client account that the holder
# has not served before.
SMALL_RESERVE_TOKENS = 2_048

# Reserve is moved only if a holder lacks more than this fraction of its target,
# or has a larger surplus.
REBALANCE_SLACK_SHARE = 0.2

_LEASE = data.GrantKind.LEASE
_RESERVE = data.GrantKind.RESERVE


class PlacementPolicy:
    """Sizes grants and recalls by each budget's configured policy."""

    def __init__(
        self,
        find_budget: Callable[[str], configuration.Budget | None],
        smoothing: float = SMOOTHING,
    ) -> None:
        """Creates a policy.

        Args:
          find_budget: Returns the budget of a name in the configuration
            version in force, or None.
          smoothing: The share of the mean demand that is added to the demand
            of every holder.
        """
        self._find_budget = find_budget
        self._smoothing = smoothing

    def size_grant(
        self,
        state: grant_sizing.BudgetState,
        ask: data.Ask,
        policy: grant_sizing.GrantPolicy,
    ) -> tuple[int, int]:
        """Returns the lease tokens and reserve tokens to grant for one ask."""
        policy = self._apply_budget_settings(state.budget, policy)
        return size_grant(state, ask, policy, self._smoothing)

    def choose_recalls(
        self,
        state: grant_sizing.BudgetState,
        ask: data.Ask,
        policy: grant_sizing.GrantPolicy,
    ) -> tuple[grant_sizing.HolderRecall, ...]:
        """Returns the recalls that an ask makes necessary."""
        policy = self._apply_budget_settings(state.budget, policy)
        return choose_recalls(state, ask, policy, self._smoothing)

    def _apply_budget_settings(
        self, name: str, policy: grant_sizing.GrantPolicy
    ) -> grant_sizing.GrantPolicy:
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
    state: grant_sizing.BudgetState,
    ask: data.Ask,
    policy: grant_sizing.GrantPolicy,
    smoothing: float = SMOOTHING,
) -> tuple[int, int]:
    """Sizes the grants for one ask.

    Waiting requests come first, then the reserve up to its target, then the
    lease for the demand within its horizon.

    Args:
      state: The state of the budget in the fold.
      ask: The ask.
      policy: The policy for the size of this budget's grants.
      smoothing: The share of the mean demand that is added to the demand of
        every holder.

    Returns:
      The lease tokens and the reserve tokens, together at most the free tokens.
    """
    shares = compute_shares(state, smoothing)
    share_tokens = shares.get(state.holder, 0)
    target_tokens = compute_reserve_target(
        state, state.holder, share_tokens, policy
    )
    needed_tokens = _size_waiting_lease(state, ask)
    remaining_tokens = state.free_tokens - needed_tokens
    reserve_tokens = target_tokens - state.holder_reserve_tokens
    reserve_tokens = max(0, min(reserve_tokens, remaining_tokens))
    remaining_tokens -= reserve_tokens
    horizon_tokens = int(
        ask.demand_tokens_per_s * policy.lease_horizon_ms / 1_000
    )
    held_tokens = (
        state.holder_lease_tokens
        + state.holder_reserve_tokens
        + needed_tokens
        + reserve_tokens
    )
    advance_tokens = min(horizon_tokens, share_tokens) - held_tokens
    advance_tokens = max(0, min(advance_tokens, remaining_tokens))
    return needed_tokens + advance_tokens, reserve_tokens


def _size_waiting_lease(state: grant_sizing.BudgetState, ask: data.Ask) -> int:
    """Returns the lease tokens for waiting requests.

    If the free tokens do not cover all of them, only the smallest request is
    served: a lease too small for any request would be idle while other holders
    lack its tokens.
    """
    if ask.lease_tokens <= state.free_tokens:
        return max(0, ask.lease_tokens)
    if ask.smallest_tokens <= state.free_tokens:
        return ask.smallest_tokens
    return 0


def compute_shares(
    state: grant_sizing.BudgetState, smoothing: float
) -> dict[data.Incarnation, int]:
    """Divides the placeable tokens among the holders, by their demand.

    The placeable tokens are the free ones and those of all holders that are not
    retired. A share is useless to its holder if it is smaller than the reserve
    that the holder requested last: it may not cover the requests under way and
    one more of the largest recent size. Such shares are removed, that of the
    smallest demand first, and divided among the other holders. Tokens too few
    for any holder stay with the owner.

    Args:
      state: The state of the budget in the fold.
      smoothing: The share of the mean demand that is added to the demand of
        every holder.

    Returns:
      The tokens that each holder should have. Holders without a useful share
      are absent.
    """
    placeable_tokens = state.free_tokens + sum(
        held.lease_tokens + held.reserve_tokens
        for held in state.holders.values()
    )
    weights = _weigh_holders(state, smoothing)
    while weights:
        total = sum(weights.values())
        shares = {
            each: int(placeable_tokens * weight / total)
            for each, weight in weights.items()
        }
        useless = min(
            (
                each
                for each in shares
                if shares[each] < state.requested_reserve_tokens.get(each, 0)
            ),
            key=lambda each: (weights[each], each),
            default=None,
        )
        if useless is None:
            return shares
        del weights[useless]
    return {}


def compute_reserve_target(
    state: grant_sizing.BudgetState,
    holder: data.Incarnation,
    share_tokens: int,
    policy: grant_sizing.GrantPolicy,
) -> int:
    """Returns the reserve tokens that a holder should have.

    Args:
      state: The state of the budget in the fold.
      holder: The holder.
      share_tokens: The holder's share of the placeable tokens.
      policy: The policy for the size of this budget's grants.
    """
    limit_tokens = int(share_tokens * policy.reserve_share)
    total_tokens_per_s = sum(state.demand_tokens_per_s.values())
    placeable_tokens = state.free_tokens + sum(
        held.lease_tokens + held.reserve_tokens
        for held in state.holders.values()
    )
    # The horizon is divided in the same proportion as the placeable tokens.
    horizon_tokens = total_tokens_per_s * policy.reserve_horizon_ms / 1_000
    if placeable_tokens > 0:
        horizon_tokens *= share_tokens / placeable_tokens
    useful_tokens = max(
        int(horizon_tokens),
        state.requested_reserve_tokens.get(holder, 0),
        int(share_tokens * MIN_RESERVE_SHARE),
        SMALL_RESERVE_TOKENS,
    )
    return min(limit_tokens, useful_tokens)


def choose_recalls(
    state: grant_sizing.BudgetState,
    ask: data.Ask,
    policy: grant_sizing.GrantPolicy,
    smoothing: float = SMOOTHING,
) -> tuple[grant_sizing.HolderRecall, ...]:
    """Chooses the holders that return tokens after an ask.

    If the free tokens do not cover the waiting requests, surplus reserve of the
    other holders is recalled. If that is too small, the remainder alone is
    recalled, but from every holder. If the free tokens suffice, only surplus
    reserve is recalled, to balance the reserves: the asking holder's own, or
    what it lacks from the others.

    Args:
      state: The state of the budget before the grants for the ask.
      ask: The ask.
      policy: The policy for the size of this budget's grants.
      smoothing: The share of the mean demand that is added to the demand of
        every holder.

    Returns:
      Recalls from holders that stated their demand recently.
    """
    shares = compute_shares(state, smoothing)
    lacking_tokens = max(0, ask.lease_tokens - state.free_tokens)
    if lacking_tokens > 0:
        surplus = _list_surplus(state, shares, policy)
        recalls = _recall_surplus(state.budget, surplus, lacking_tokens)
        lacking_tokens -= sum(each.recall.tokens for each in recalls)
        if lacking_tokens <= 0:
            return recalls
        return _recall_from_all(state, lacking_tokens)
    target_tokens = compute_reserve_target(
        state, state.holder, shares.get(state.holder, 0), policy
    )
    slack_tokens = max(
        target_tokens * REBALANCE_SLACK_SHARE,
        state.requested_reserve_tokens.get(state.holder, 0),
    )
    own_surplus_tokens = state.holder_reserve_tokens - target_tokens
    if own_surplus_tokens > slack_tokens:
        recall = data.Recall(state.budget, _RESERVE, own_surplus_tokens)
        return (grant_sizing.HolderRecall(state.holder, recall),)
    missing_tokens = target_tokens - state.holder_reserve_tokens
    missing_tokens -= state.free_tokens
    if missing_tokens <= target_tokens * REBALANCE_SLACK_SHARE:
        return ()
    surplus = _list_surplus(state, shares, policy)
    return _recall_surplus(state.budget, surplus, missing_tokens)


def _weigh_holders(
    state: grant_sizing.BudgetState, smoothing: float
) -> dict[data.Incarnation, float]:
    """Returns the weight of each holder that stated its demand recently.

    The asking holder always has a weight.
    """
    demand = dict(state.demand_tokens_per_s)
    demand.setdefault(state.holder, 0.0)
    mean = sum(demand.values()) / len(demand)
    if mean <= 0:
        return dict.fromkeys(demand, 1.0)
    return {each: rate + smoothing * mean for each, rate in demand.items()}


def _list_surplus(
    state: grant_sizing.BudgetState,
    shares: dict[data.Incarnation, int],
    policy: grant_sizing.GrantPolicy,
) -> dict[data.Incarnation, int]:
    """Returns the reserve that each other holder has above its target."""
    surplus = {}
    for each, held in state.holders.items():
        if each == state.holder or each not in state.demand_tokens_per_s:
            continue
        target_tokens = compute_reserve_target(
            state, each, shares.get(each, 0), policy
        )
        if held.reserve_tokens > target_tokens:
            surplus[each] = held.reserve_tokens - target_tokens
    return surplus


def _recall_surplus(
    budget: str, surplus: dict[data.Incarnation, int], tokens: int
) -> tuple[grant_sizing.HolderRecall, ...]:
    """Recalls tokens from the holders with the largest surplus first."""
    recalls = []
    for each in sorted(surplus, key=lambda one: (-surplus[one], one)):
        recalled_tokens = min(tokens, surplus[each])
        if recalled_tokens <= 0:
            break
        recall = data.Recall(budget, _RESERVE, recalled_tokens)
        recalls.append(grant_sizing.HolderRecall(each, recall))
        tokens -= recalled_tokens
    return tuple(recalls)


def _recall_from_all(
    state: grant_sizing.BudgetState, tokens: int
) -> tuple[grant_sizing.HolderRecall, ...]:
    """Recalls up to `tokens` of each kind of grant from every holder.

    A part of each holder's tokens is reserved by its own requests, which the
    owner cannot see, so any holder may have too few free ones. Each holder
    returns what is free, and tokens beyond the need are granted again. Holders
    without a recent ask are left out. The asking holder is included: one kind
    of grant must cover a whole request, and its reserve may be what its lease
    lacks for that.
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
                recalls.append(grant_sizing.HolderRecall(each, recall))
    return tuple(recalls)
