"""Plans the grant rows of a router.

The unspent tokens of an account are allocated to the hosts in proportion to
their demand, so that each host can go on while the log is unreachable. A part
stays unallocated for hosts whose demand grows. A grant is raised at most to
the prepaid tokens that are not granted to other hosts, in an append that takes
effect only if no other record was appended since the rows were read. It is
lowered unconditionally.
"""

import attrs

from redwingchute.core import prepaid
from redwingchute.process.prepaid import grant as grant_lib
from redwingchute.process.prepaid import grant_fold


@attrs.frozen
class GrantPolicy:
    """How grants and ceilings of prepaid tokens are sized.

    It is unrelated to `grant_sizing.GrantPolicy` of the ledger.

    Attributes:
      allocated_share: The share of an account's unspent tokens that is
        allocated to hosts.
      horizon_ms: How long a grant should last at the current demand. A grant
        should also cover at least two of the largest recent requests. Tokens
        beyond that stay unallocated: if a host crashes while it is cut off
        from the log, its whole grant may have to count as spent.
      min_allocated_share: The share of its allocation that a host gets at
        least, regardless of the horizon.
      idle_weight: The demand that is added for each host, so that idle hosts
        get tokens too, as a share of the mean demand of all hosts.
      hysteresis_share: A grant that covers the waiting requests is changed
        only if it differs from the target by more than this share of the
        account's unspent tokens, or if other hosts' grants and this one exceed
        the prepaid tokens.
      burst_ms: How long the ceiling of a new row covers the demand of admitted
        requests without rising.
      burst_share: The minimum headroom of a new row's ceiling, as a share of
        the free tokens of the grant, for requests after an idle time; and its
        maximum without waiting requests, as a share of the tokens due to the
        host, since the headroom may have to count as spent.
      rise_factor: The rate at which a ceiling rises, relative to the demand
        of admitted requests. It is more than 1 since the demand is spread
        unevenly among routers that are cut off.
      rise_share: The minimum rate at which a ceiling rises, as a share of the
        free tokens of the grant per second; and the bound of the rise within
        a restart, as a share of the tokens due to the host.
      restart_ms: Most crashes and restarts take less time than this. A host
        whose stamp is older is probably cut off from the log instead, and its
        ceiling rises faster, so that it can spend its grant.
      quiet_ms: The age of the stamp up to which a ceiling does not rise; less
        than `burst_ms`, so that its headroom covers the requests of that time.
      bounded_restart_ms: As `restart_ms`, for the bounded rise. It is more than
        the age that stamps reach when all hosts restart after a loss of power.
      rewrite_share: A row is rewritten when its ceiling or its spent tokens
        changed by more than this share of the written row's headroom, which is
        its ceiling less its spent tokens.
    """

    allocated_share: float = 0.85
    horizon_ms: int = 15_000
    min_allocated_share: float = 0.6
    idle_weight: float = 0.25
    hysteresis_share: float = 0.04
    burst_ms: int = 400
    burst_share: float = 0.02
    rise_factor: float = 1.2
    rise_share: float = 0.04
    restart_ms: int = 6_000
    quiet_ms: int = 300
    bounded_restart_ms: int = 3_000
    rewrite_share: float = 0.25


@attrs.frozen
class PlanInput:
    """The input for planning one account's row.

    Attributes:
      host: This router's host.
      prepaid_tokens: All tokens that the account has prepaid.
      host_count: The number of hosts that are not leaving, including this
        one.
      requested_tokens: The tokens that waiting requests need; 0 if none wait.
      boot_ms: The time on the boot clock.
    """

    host: str
    prepaid_tokens: int
    host_count: int
    requested_tokens: int
    boot_ms: int


def plan_grant(
    grant: grant_lib.Grant,
    fold: grant_fold.GrantFold,
    plan_input: PlanInput,
    policy: GrantPolicy,
) -> int:
    """Returns the number of tokens that the router's grant should have.

    Args:
      grant: The router's current grant.
      fold: The rows of all hosts.
      plan_input: The account's tokens, the hosts and the time.
      policy: How grants are sized.
    """
    others_granted_tokens = fold.sum_granted(
        grant.account, excluded_host=plan_input.host
    )
    available_tokens = max(0, plan_input.prepaid_tokens - others_granted_tokens)
    unspent_tokens = _find_unspent(grant, fold, plan_input)
    share = _find_demand_share(grant, fold, plan_input, policy)
    allocated_tokens = unspent_tokens * share * policy.allocated_share
    demand_tokens_per_s = grant.find_demand(plan_input.boot_ms)
    needed_tokens = max(
        demand_tokens_per_s * policy.horizon_ms / 1000,
        2 * grant.largest_request_tokens,
        allocated_tokens * policy.min_allocated_share,
    )
    target_tokens = grant.committed_tokens + int(
        min(allocated_tokens, needed_tokens)
    )
    target_tokens = max(
        target_tokens, grant.committed_tokens + plan_input.requested_tokens
    )
    target_tokens = max(
        grant.committed_tokens, min(target_tokens, available_tokens)
    )
    slack_tokens = unspent_tokens * policy.hysteresis_share
    is_short = plan_input.requested_tokens > grant.free_tokens
    exceeds_available = grant.granted_tokens > available_tokens
    # A grant is not lowered while waiting requests need more than it has free.
    if is_short and not exceeds_available:
        return max(target_tokens, grant.granted_tokens)
    if (
        exceeds_available
        or abs(target_tokens - grant.granted_tokens) > slack_tokens
    ):
        return target_tokens
    return grant.granted_tokens


def find_due_tokens(
    grant: grant_lib.Grant,
    fold: grant_fold.GrantFold,
    plan_input: PlanInput,
    policy: GrantPolicy,
) -> int:
    """Returns the host's part of an account's unspent tokens by its demand.

    Args:
      grant: The router's current grant.
      fold: The rows of all hosts.
      plan_input: The account's tokens, the hosts and the time.
      policy: How grants are sized.
    """
    share = _find_demand_share(grant, fold, plan_input, policy)
    return int(_find_unspent(grant, fold, plan_input) * share)


def plan_row(
    grant: grant_lib.Grant,
    granted_tokens: int,
    due_tokens: int,
    plan_input: PlanInput,
    policy: GrantPolicy,
) -> prepaid.GrantRow:
    """Returns the row for a planned grant.

    Args:
      grant: The router's current grant.
      granted_tokens: The planned grant.
      due_tokens: The host's part of the account's unspent tokens.
      plan_input: The account's tokens, the hosts and the time.
      policy: How ceilings are sized.
    """
    demand_tokens_per_s = grant.find_demand(plan_input.boot_ms)
    # Refused requests must not raise the ceiling: it counts as spent if all
    # hosts lose power.
    admitted_tokens_per_s = grant.find_admission_rate(plan_input.boot_ms)
    free_tokens = max(0, granted_tokens - grant.committed_tokens)
    due_tokens = max(due_tokens, free_tokens)
    headroom_tokens = max(
        _clamp(
            admitted_tokens_per_s * policy.burst_ms / 1000,
            free_tokens * policy.burst_share,
            due_tokens * policy.burst_share,
        ),
        plan_input.requested_tokens,
    )
    rise_tokens_per_s = max(
        admitted_tokens_per_s * policy.rise_factor,
        free_tokens * policy.rise_share,
    )
    bounded_rise_tokens_per_s = due_tokens * policy.rise_share
    return prepaid.GrantRow(
        account=grant.account,
        host=plan_input.host,
        granted_tokens=granted_tokens,
        ceiling_tokens=min(
            granted_tokens, grant.committed_tokens + int(headroom_tokens)
        ),
        rise_tokens_per_s=round(rise_tokens_per_s, 1),
        spent_tokens=grant.spent_tokens,
        demand_tokens_per_s=round(demand_tokens_per_s, 1),
        unsure_tokens=grant.unsure_tokens,
        restart_ms=policy.restart_ms,
        reserved_tokens=grant.reserved_tokens,
        quiet_ms=policy.quiet_ms,
        bounded_restart_ms=policy.bounded_restart_ms,
        bounded_rise_tokens_per_s=(
            round(bounded_rise_tokens_per_s, 1)
            if bounded_rise_tokens_per_s < rise_tokens_per_s
            else None
        ),
    )


def needs_writing(
    row: prepaid.GrantRow,
    written: prepaid.GrantRow | None,
    is_above_ceiling: bool,
    policy: GrantPolicy,
) -> bool:
    """Returns whether a row differs enough from the written one to be appended.

    Args:
      row: The current row.
      written: The row in the log, or None.
      is_above_ceiling: Whether the committed tokens exceed the ceiling that
        the written row would have with a new stamp.
      policy: How much a row may change before it is rewritten.
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
    return drift_tokens > headroom_tokens * policy.rewrite_share


def _find_unspent(
    grant: grant_lib.Grant, fold: grant_fold.GrantFold, plan_input: PlanInput
) -> int:
    """Returns the tokens of an account that no host counts as spent."""
    others_spent_tokens = fold.sum_spent(
        grant.account, excluded_host=plan_input.host
    )
    return max(
        0, plan_input.prepaid_tokens - others_spent_tokens - grant.spent_tokens
    )


def _clamp(value: float, minimum: float, maximum: float) -> float:
    """Returns the value, or the bound that it exceeds."""
    return max(minimum, min(value, maximum))


def _find_demand_share(
    grant: grant_lib.Grant,
    fold: grant_fold.GrantFold,
    plan_input: PlanInput,
    policy: GrantPolicy,
) -> float:
    """Returns this router's share of an account's demand, from 0 to 1."""
    own_demand = grant.find_demand(plan_input.boot_ms)
    other_demands = [
        row.demand_tokens_per_s
        for row in fold.list_rows(grant.account)
        if row.host != plan_input.host
    ]
    host_count = max(plan_input.host_count, len(other_demands) + 1)
    total_demand = own_demand + sum(other_demands)
    # The fallback of 1 divides the tokens evenly when no host has demand.
    base_demand = total_demand / host_count * policy.idle_weight or 1.0
    return (own_demand + base_demand) / (
        total_demand + base_demand * host_count
    )
