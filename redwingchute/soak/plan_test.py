"""Tests that a seed determines the plan of a soak."""

from redwingchute.soak import observations
from redwingchute.soak import plan

_SIZE = plan.Size(hosts=3, upstreams=2, rate_per_s=50, duration_ms=60_000)
_GROUPS = list(plan.FAULT_GROUPS)


def test_a_seed_determines_requests_and_faults() -> None:
    for seed in (1, 2):
        requests = plan.plan_requests(seed, _SIZE)
        assert requests == plan.plan_requests(seed, _SIZE)
        faults = plan.plan_faults(seed, _SIZE, _GROUPS)
        assert faults == plan.plan_faults(seed, _SIZE, _GROUPS)
    assert plan.plan_requests(1, _SIZE) != plan.plan_requests(2, _SIZE)
    assert plan.plan_faults(1, _SIZE, _GROUPS) != plan.plan_faults(
        2, _SIZE, _GROUPS
    )


def test_a_group_of_faults_does_not_depend_on_others() -> None:
    together = plan.plan_faults(1, _SIZE, _GROUPS)
    for group in _GROUPS:
        alone = plan.plan_faults(1, _SIZE, [group])
        assert alone, group
        assert all(fault in together for fault in alone)


def test_requests_arrive_in_order_at_the_planned_rate() -> None:
    requests = plan.plan_requests(1, _SIZE)
    times_ms = [request.at_ms for request in requests]
    assert times_ms == sorted(times_ms)
    # 3,000 requests are expected; the deviation is about the root of this.
    assert 2_700 < len(requests) < 3_300
    assert {request.kind for request in requests} == set(observations.Kind)
