"""Tests of the spending ceiling, which rises with the age of a stamp."""

import attrs
import pytest

from redwingchute.core import prepaid
from redwingchute.process.prepaid import ceiling

_ROW = prepaid.GrantRow(
    account="yield",
    host="huon-1",
    granted_tokens=10_000,
    ceiling_tokens=1_000,
    rise_tokens_per_s=500.0,
    spent_tokens=800,
    demand_tokens_per_s=400.0,
)


@pytest.mark.parametrize(
    ("age_ms", "expected"),
    [
        (0, 1_000),
        (1_000, 1_500),
        (3_000, 2_500),
        (4_000, 6_500),
        (60_000, 10_000),
    ],
    ids=[
        "new stamp",
        "within a restart",
        "end of a restart",
        "cut off from the log",
        "whole grant",
    ],
)
def test_a_ceiling_rises_with_the_age_of_the_stamp(
    age_ms: int, expected: int
) -> None:
    assert ceiling.find_ceiling(_ROW, age_ms) == expected


@pytest.mark.parametrize("tokens", [900, 1_001, 2_400, 2_600, 9_999, 10_000])
def test_find_age_ms_is_the_inverse_of_find_ceiling(tokens: int) -> None:
    age_ms = ceiling.find_age_ms(_ROW, tokens)
    assert age_ms is not None
    assert ceiling.find_ceiling(_ROW, age_ms) >= tokens
    assert age_ms == 0 or ceiling.find_ceiling(_ROW, age_ms - 20) < tokens


def test_no_age_admits_more_than_the_grant() -> None:
    assert ceiling.find_age_ms(_ROW, 10_001) is None


def test_a_ceiling_without_a_rise_stays_constant() -> None:
    row = attrs.evolve(_ROW, rise_tokens_per_s=0.0)
    assert ceiling.find_ceiling(row, 60_000) == 1_000
    assert ceiling.find_age_ms(row, 1_001) is None


# Guards against hosts that are cut off and cannot go on, because what they may
# expose is bounded by what the account has left.
def test_a_bounded_ceiling_catches_up_when_a_host_is_cut_off() -> None:
    wanted = attrs.evolve(_ROW, granted_tokens=100_000, restart_ms=6_000)
    bounded = attrs.evolve(wanted, bounded_rise_tokens_per_s=250.0)
    for age_ms in range(0, 9_000, 100):
        ceiling_tokens = ceiling.find_ceiling(bounded, age_ms)
        assert ceiling_tokens <= ceiling.find_ceiling(wanted, age_ms)
        found_ms = ceiling.find_age_ms(bounded, ceiling_tokens)
        assert found_ms is not None
        assert abs(found_ms - age_ms) <= 10
    assert ceiling.find_ceiling(bounded, 2_000) == 1_500
    assert ceiling.find_ceiling(bounded, 3_000) == ceiling.find_ceiling(
        wanted, 3_000
    )


def test_a_bounded_ceiling_that_does_not_rise_admits_nothing_more() -> None:
    row = attrs.evolve(_ROW, bounded_rise_tokens_per_s=0.0)
    assert ceiling.find_age_ms(row, 2_000) is None
    assert ceiling.find_ceiling(row, 60_000) == 1_000


# Guards against a successor that counts less than its predecessor of an earlier
# release could spend, whose rows state no age before the rise.
def test_a_row_of_an_earlier_release_keeps_its_rise() -> None:
    row = attrs.evolve(_ROW, bounded_rise_tokens_per_s=100.0)
    assert ceiling.find_ceiling(row, 2_000) == 1_200
    assert ceiling.find_ceiling(row, 3_000) == 2_000
    later = attrs.evolve(row, quiet_ms=300, bounded_restart_ms=3_000)
    assert ceiling.find_ceiling(later, 300) == 1_000
    assert ceiling.find_ceiling(later, 3_000) == 1_270
    # An earlier release ignores the new fields and counts more, not less.
    for age_ms in range(0, 10_000, 50):
        assert ceiling.find_ceiling(row, age_ms) >= ceiling.find_ceiling(
            later, age_ms
        )


@pytest.mark.parametrize("tokens", [1_001, 1_270, 1_400, 9_999])
def test_find_age_ms_is_the_inverse_with_a_quiet_time(tokens: int) -> None:
    row = attrs.evolve(
        _ROW,
        bounded_rise_tokens_per_s=100.0,
        quiet_ms=300,
        bounded_restart_ms=3_000,
    )
    age_ms = ceiling.find_age_ms(row, tokens)
    assert age_ms is not None
    assert ceiling.find_ceiling(row, age_ms) >= tokens
    assert ceiling.find_ceiling(row, age_ms - 20) < tokens
