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
    given: PlanInput,
    policy: GrantPolicy,
) -> int:
    """Returns the grant that the router should have.

    Args:
      grant: The router's own counts.
      fold: The rows of all hosts.
      given: The account and the time.
      policy: How grants are sized.
    """
    others = fold.sum_granted(grant.account, besides=given.host)
    room = max(0, given.prepaid_tokens - others)
    spent = fold.sum_spent(grant.account, besides=given.host)
    left = max(0, given.prepaid_tokens - spent - grant.spent_tokens)
    share = _find_demand_share(grant, fold, given, policy)
    placed = left * share * policy.placed_share
    demand = grant.find_demand(given.boot_ms)
    needed = max(
        demand * policy.horizon_ms / 1000,
        2 * grant.largest_tokens,
        placed * policy.horizon_least_share,
    )
    target = grant.committed_tokens + int(min(placed, needed))
    target = max(target, grant.committed_tokens + given.wanted_tokens)
    target = max(grant.committed_tokens, min(target, room))
    slack = left * policy.hysteresis_share
    is_short = given.wanted_tokens > grant.free_tokens
    is_over = grant.granted_tokens > room
    if is_short and not is_over:
        return max(target, grant.granted_tokens)
    if is_over or abs(target - grant.granted_tokens) > slack:
        return target
    return grant.granted_tokens


def plan_row(
    grant: grant_lib.Grant,
    granted_tokens: int,
    given: PlanInput,
    policy: GrantPolicy,
) -> prepaid.GrantRow:
    """Returns the row for a planned grant."""
    demand = grant.find_demand(given.boot_ms)
    free = max(0, granted_tokens - grant.committed_tokens)
    headroom = max(
        int(demand * policy.burst_ms / 1000),
        given.wanted_tokens,
        int(free * policy.burst_share),
    )
    rise = max(demand * policy.rise_factor, free * policy.rise_share)
    return prepaid.GrantRow(
        account=grant.account,
        host=given.host,
        granted_tokens=granted_tokens,
        ceiling_tokens=min(granted_tokens, grant.committed_tokens + headroom),
        rise_tokens_per_s=round(rise, 1),
        spent_tokens=grant.spent_tokens,
        demand_tokens_per_s=round(demand, 1),
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
    room = max(written.ceiling_tokens - written.spent_tokens, 1)
    drift = max(
        abs(row.ceiling_tokens - written.ceiling_tokens),
        abs(row.spent_tokens - written.spent_tokens),
    )
    return drift > room * policy.renewal_share


def _find_demand_share(
    grant: grant_lib.Grant,
    fold: grant_fold.GrantFold,
    given: PlanInput,
    policy: GrantPolicy,
) -> float:
    """Returns this router's share of an account's demand."""
    own = grant.find_demand(given.boot_ms)
    others = [
        row.demand_tokens_per_s
        for row in fold.list_rows(grant.account)
        if row.host != given.host
    ]
    count = max(given.host_count, len(others) + 1)
    total = own + sum(others)
    base = total / count * policy.idle_weight or 1.0
    return (own + base) / (total + base * count)
