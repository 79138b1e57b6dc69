"""Tests of the assignment of reserve to routers."""

import collections

import pytest

from redwingchute.process import reserve_assignment


@pytest.mark.parametrize("count", [1, 2, 3, 77])
def test_every_bucket_is_assigned_to_enough_routers(count: int) -> None:
    names = [f"host-{number}" for number in range(count)]
    assignment_counts: collections.Counter[int] = collections.Counter()
    for name in names:
        assignment_counts.update(
            reserve_assignment.list_assigned_buckets(name, names)
        )
    expected = min(count, reserve_assignment.ROUTERS_PER_ZONE)
    assert set(assignment_counts.values()) == {expected}
    assert len(assignment_counts) == 256


def test_a_lost_host_moves_only_its_own_buckets() -> None:
    names = [f"host-{number}" for number in range(10)]
    before = reserve_assignment.list_assigned_buckets("host-0", names)
    after = reserve_assignment.list_assigned_buckets("host-0", names[:-1])
    assert before <= after
