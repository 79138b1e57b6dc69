"""Tests of the planning of grants and their rows."""

import attrs

from redwingchute.core import prepaid
from redwingchute.process.prepaid import grant as grant_lib
from redwingchute.process.prepaid import grant_fold
from redwingchute.process.prepaid import grant_planner

_POLICY = grant_planner.GrantPolicy()


def _make_input(
    prepaid_tokens: int = 10_000, requested_tokens: int = 0
) -> grant_planner.PlanInput:
    return grant_planner.PlanInput(
        host="huon-1",
        prepaid_tokens=prepaid_tokens,
        host_count=2,
        requested_tokens=requested_tokens,
        boot_ms=1_000,
    )


def _make_fold(granted_tokens: int, demand: float) -> grant_fold.GrantFold:
    fold = grant_fold.GrantFold()
    fold.apply_record(
        prepaid.GrantRow(
            "yield", "bruny-1", granted_tokens, granted_tokens, 0.0, 0, demand
        )
    )
    return fold


def test_tokens_of_idle_hosts_are_allocated_evenly() -> None:
    grant = grant_lib.Grant("yield")
    planned = grant_planner.plan_grant(
        grant, _make_fold(0, 0.0), _make_input(), _POLICY
    )
    allocated_tokens = 10_000 * 0.5 * _POLICY.allocated_share
    assert planned == int(allocated_tokens * _POLICY.min_allocated_share)


def test_the_host_with_more_demand_gets_the_larger_share() -> None:
    grant = grant_lib.Grant("yield")
    grant.record_demand(3_000, 1_000)
    planned = grant_planner.plan_grant(
        grant, _make_fold(0, 100.0), _make_input(), _POLICY
    )
    assert planned > 10_000 * 0.6


def test_tokens_beyond_the_horizon_stay_unallocated() -> None:
    grant = grant_lib.Grant("yield")
    grant.record_demand(600, 1_000)
    planned = grant_planner.plan_grant(
        grant, _make_fold(0, 0.0), _make_input(), _POLICY
    )
    allocated_tokens = 10_000 * _POLICY.allocated_share
    assert planned < allocated_tokens * 0.8


def test_a_plan_never_exceeds_what_is_not_granted_to_others() -> None:
    grant = grant_lib.Grant("yield")
    planned = grant_planner.plan_grant(
        grant,
        _make_fold(9_000, 0.0),
        _make_input(requested_tokens=5_000),
        _POLICY,
    )
    assert planned == 1_000


def test_a_reduction_of_the_account_lowers_the_grant() -> None:
    grant = grant_lib.Grant("yield")
    grant.granted_tokens = 4_000
    grant.reserved_tokens = 500
    planned = grant_planner.plan_grant(
        grant, _make_fold(0, 0.0), _make_input(prepaid_tokens=1_000), _POLICY
    )
    assert 500 <= planned <= 1_000


def test_a_difference_within_the_hysteresis_keeps_the_grant() -> None:
    grant = grant_lib.Grant("yield")
    grant.granted_tokens = 2_600
    planned = grant_planner.plan_grant(
        grant, _make_fold(2_550, 0.0), _make_input(), _POLICY
    )
    assert planned == 2_600


def test_a_ceiling_covers_a_burst_and_rises_with_admitted_requests() -> None:
    grant = grant_lib.Grant("yield")
    grant.record_appended_row(
        prepaid.GrantRow("yield", "huon-1", 8_000, 8_000, 0.0, 0, 0.0), 1_000
    )
    assert grant.reserve(3_000, 1_000)
    grant.record_admission(3_000, 1_000)
    row = grant_planner.plan_row(grant, 8_000, 80_000, _make_input(), _POLICY)
    rate = grant.find_admission_rate(1_000)
    assert rate > 1_000
    headroom = row.ceiling_tokens - grant.committed_tokens
    assert headroom >= rate * _POLICY.burst_ms / 1_000 - 1
    assert headroom < 2_000
    assert row.rise_tokens_per_s >= rate


# Guards against accounts near their end that lose what they have left with all
# power.
def test_a_ceiling_exposes_only_a_part_of_what_the_account_has_left() -> None:
    grant = grant_lib.Grant("yield")
    grant.record_appended_row(
        prepaid.GrantRow("yield", "huon-1", 8_000, 8_000, 0.0, 0, 0.0), 1_000
    )
    assert grant.reserve(6_000, 1_000)
    grant.record_admission(6_000, 1_000)
    row = grant_planner.plan_row(grant, 8_000, 2_400, _make_input(), _POLICY)
    headroom = row.ceiling_tokens - grant.committed_tokens
    assert row.bounded_rise_tokens_per_s is not None
    assert headroom + 2 * row.bounded_rise_tokens_per_s <= 0.1 * 2_400


# Guards against ceilings that rise because requests are refused: they count as
# spent after a loss of all power.
def test_a_ceiling_does_not_rise_with_refused_requests() -> None:
    grant = grant_lib.Grant("yield")
    grant.granted_tokens = 8_000
    idle = grant_planner.plan_row(grant, 8_000, 80_000, _make_input(), _POLICY)
    grant.record_demand(3_000, 1_000)
    row = grant_planner.plan_row(grant, 8_000, 80_000, _make_input(), _POLICY)
    assert row.demand_tokens_per_s > 0
    assert row.ceiling_tokens == idle.ceiling_tokens
    assert row.rise_tokens_per_s == idle.rise_tokens_per_s


def test_the_ceiling_of_an_idle_grant_rises_too() -> None:
    grant = grant_lib.Grant("yield")
    row = grant_planner.plan_row(grant, 8_000, 80_000, _make_input(), _POLICY)
    assert row.ceiling_tokens > 0
    assert row.rise_tokens_per_s > 0


def test_a_ceiling_covers_a_waiting_request() -> None:
    grant = grant_lib.Grant("yield")
    grant.granted_tokens = 8_000
    row = grant_planner.plan_row(
        grant, 8_000, 80_000, _make_input(requested_tokens=5_000), _POLICY
    )
    assert row.ceiling_tokens >= 5_000


def test_a_row_is_rewritten_when_its_ceiling_changed() -> None:
    written = prepaid.GrantRow("yield", "huon-1", 1_000, 400, 1.0, 0, 0.0)
    same = attrs.evolve(written, ceiling_tokens=420, spent_tokens=10)
    spent = attrs.evolve(written, ceiling_tokens=700, spent_tokens=300)
    assert not grant_planner.needs_writing(same, written, False, _POLICY)
    assert grant_planner.needs_writing(spent, written, False, _POLICY)
    assert grant_planner.needs_writing(same, written, True, _POLICY)
