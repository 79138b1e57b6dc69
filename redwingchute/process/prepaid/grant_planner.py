"""Plans the rows that a router writes about its grants.

What is left of an account is placed at the hosts that spend it, by their
demand, so that each can go on while the log is out of reach. A part stays
unplaced for those whose demand moves. A grant is raised only as far as the
rows of all hosts leave room, in an append on the condition that no row came
in between; it is lowered freely.
"""

import attrs

from redwingchute.core import prepaid
from redwingchute.process.prepaid import grant as grant_lib
from redwingchute.process.prepaid import grant_fold


@attrs.frozen
class GrantPolicy:
    """How grants and ceilings are sized.

    Attributes:
      placed_share: The part of what is left of an account that is placed.
      horizon_ms: The demand that a grant covers at most while the log can be
        reached; what is beyond it stays unplaced, since a host that dies out
        of reach of the log takes its whole grant along.
      horizon_least_share: The part of its share that a host gets at least.
      idle_weight: The demand that a host without requests counts with, as a
        part of the mean demand of all hosts.
      hysteresis_share: A grant is changed only when it is off by this part
        of what is left, or short.
      burst_ms: The demand that a ceiling leaves room for at once.
      burst_share: The part of the free grant that it leaves room for at
        least, for requests that come after a pause.
      rise_factor: How much faster than the demand a ceiling rises: routers
        that are cut off share what demand there is unevenly.
      rise_share: The part of the free grant by which it rises in a second at
        least.
      renewal_share: A row is written anew when its ceiling or its spending is
        off by this part of the room that the ceiling left.
    """

    placed_share: float = 0.85
    horizon_ms: int = 15_000
    horizon_least_share: float = 0.6
    idle_weight: float = 0.25
    hysteresis_share: float = 0.04
    burst_ms: int = 400
    burst_share: float = 0.02
    rise_factor: float = 1.2
    rise_share: float = 0.04
    renewal_share: float = 0.25


@attrs.frozen
class PlanInput:
    """What the plan of one account's row goes by.

    Attributes:
      host: This router's host.
      prepaid_tokens: All tokens of the account.
      host_count: The hosts that spend, this one included.
      wanted_tokens: What a waiting request lacks; 0 when none waits.
      boot_ms: The time on the boot clock.
    """

    host: str
    prepaid_tokens: int
    host_count: int
    wanted_tokens: int
    boot_ms: int


def plan_grant(
    grant: grant_lib.Grant,
    fold: grant_fold.GrantFold,
    plan_input: PlanInput,
    policy: GrantPolicy,
) -> int:
    """Returns the grant that the router should have.

    Args:
      grant: The router's own counts.
      fold: The rows of all hosts.
      plan_input: The account and the time.
      policy: How grants are sized.
    """
    others_granted_tokens = fold.sum_granted(
        grant.account, besides=plan_input.host
    )
    available_tokens = max(0, plan_input.prepaid_tokens - others_granted_tokens)
    others_spent_tokens = fold.sum_spent(grant.account, besides=plan_input.host)
    unspent_tokens = max(
        0, plan_input.prepaid_tokens - others_spent_tokens - grant.spent_tokens
    )
    share = _find_demand_share(grant, fold, plan_input, policy)
    allocated_tokens = unspent_tokens * share * policy.placed_share
    demand_tokens_per_s = grant.find_demand(plan_input.boot_ms)
    needed_tokens = max(
        demand_tokens_per_s * policy.horizon_ms / 1000,
        2 * grant.largest_tokens,
        allocated_tokens * policy.horizon_least_share,
    )
    target_tokens = grant.committed_tokens + int(
        min(allocated_tokens, needed_tokens)
    )
    target_tokens = max(
        target_tokens, grant.committed_tokens + plan_input.wanted_tokens
    )
    target_tokens = max(
        grant.committed_tokens, min(target_tokens, available_tokens)
    )
    slack_tokens = unspent_tokens * policy.hysteresis_share
    is_short = plan_input.wanted_tokens > grant.free_tokens
    exceeds_available = grant.granted_tokens > available_tokens
    if is_short and not exceeds_available:
        return max(target_tokens, grant.granted_tokens)
    if (
        exceeds_available
        or abs(target_tokens - grant.granted_tokens) > slack_tokens
    ):
        return target_tokens
    return grant.granted_tokens


def plan_row(
    grant: grant_lib.Grant,
    granted_tokens: int,
    plan_input: PlanInput,
    policy: GrantPolicy,
) -> prepaid.GrantRow:
    """Returns the row for a planned grant."""
    demand_tokens_per_s = grant.find_demand(plan_input.boot_ms)
    free_tokens = max(0, granted_tokens - grant.committed_tokens)
    headroom_tokens = max(
        int(demand_tokens_per_s * policy.burst_ms / 1000),
        plan_input.wanted_tokens,
        int(free_tokens * policy.burst_share),
    )
    rise_tokens_per_s = max(
        demand_tokens_per_s * policy.rise_factor,
        free_tokens * policy.rise_share,
    )
    return prepaid.GrantRow(
        account=grant.account,
        host=plan_input.host,
        granted_tokens=granted_tokens,
        ceiling_tokens=min(
            granted_tokens, grant.committed_tokens + headroom_tokens
        ),
        rise_tokens_per_s=round(rise_tokens_per_s, 1),
        spent_tokens=grant.spent_tokens,
        demand_tokens_per_s=round(demand_tokens_per_s, 1),
        unsure_tokens=grant.unsure_tokens,
    )


def needs_writing(
    row: prepaid.GrantRow,
    written: prepaid.GrantRow | None,
    is_above_ceiling: bool,
    policy: GrantPolicy,
) -> bool:
    """Tells whether a row has to be written, or says enough that is new.

    Args:
      row: The row as it would be now.
      written: The row in the log, or None.
      is_above_ceiling: Whether more is spent than a new stamp without the
        row would say.
      policy: How rows are sized.
    """
    if written is None:
        return row.granted_tokens > 0 or row.spent_tokens > 0
    if is_above_ceiling or row.granted_tokens != written.granted_tokens:
        return True
    headroom_tokens = max(written.ceiling_tokens - written.spent_tokens, 1)
    drift_tokens = max(
        abs(row.ceiling_tokens - written.ceiling_tokens),
        abs(row.spent_tokens - written.spent_tokens),
    )
    return drift_tokens > headroom_tokens * policy.renewal_share


def _find_demand_share(
    grant: grant_lib.Grant,
    fold: grant_fold.GrantFold,
    plan_input: PlanInput,
    policy: GrantPolicy,
) -> float:
    """Returns this router's share of an account's demand."""
    own_demand = grant.find_demand(plan_input.boot_ms)
    other_demands = [
        row.demand_tokens_per_s
        for row in fold.list_rows(grant.account)
        if row.host != plan_input.host
    ]
    host_count = max(plan_input.host_count, len(other_demands) + 1)
    total_demand = own_demand + sum(other_demands)
    base_demand = total_demand / host_count * policy.idle_weight or 1.0
    return (own_demand + base_demand) / (
        total_demand + base_demand * host_count
    )
