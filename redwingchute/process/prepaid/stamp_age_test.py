"""Tests of the upper bounds of a stamp's age that clocks give."""

import pytest

from redwingchute.core import prepaid
from redwingchute.process.prepaid import stamp_age

_STAMP = prepaid.HostStamp("huon-1", "huon", "h:1", 7, 50_000, 90_000)


@pytest.mark.parametrize(
    ("boot_ms", "wall_ms", "expected"),
    [
        (53_000, 93_000, 3_000),
        (53_000, 96_000, 6_000),
        (53_000, 91_000, 3_000),
        (53_000, 900_000, None),
        (1_000, 93_000, None),
        (50_200, 93_000, 3_000),
    ],
    ids=[
        "clocks agree",
        "wall clock set forward",
        "wall clock set back",
        "boot clock ahead of the stamp after a reboot",
        "boot clock behind the stamp after a reboot",
        "boot clock slightly ahead of the stamp after a reboot",
    ],
)
def test_age_by_boot_clock(
    boot_ms: int, wall_ms: int, expected: int | None
) -> None:
    age_ms = stamp_age.find_max_age_by_boot_clock(_STAMP, boot_ms, wall_ms)
    assert age_ms == expected


@pytest.mark.parametrize(
    ("before_ms", "after_ms", "expected"),
    [
        ((90_000, 89_700, 90_300), (93_000, 93_100, 92_900), 3_100),
        ((90_000, 89_700, 90_300), (91_000, 95_100, 94_900), 5_000),
        ((87_000, 86_900, 90_000), (92_000, 92_100, 91_900), 5_100),
        ((90_000, 89_700, 90_300), (93_000, 93_100), None),
        ((90_000, 89_700, 90_300), (80_000, 80_100, 80_200), None),
    ],
    ids=[
        "clocks agree",
        "own wall clock set back",
        "wall clock ahead in the stamp",
        "too few clocks",
        "all wall clocks set back",
    ],
)
def test_age_by_wall_clocks(
    before_ms: tuple[int, ...],
    after_ms: tuple[int, ...],
    expected: int | None,
) -> None:
    age_ms = stamp_age.find_max_age_by_wall_clocks(_STAMP, before_ms, after_ms)
    assert age_ms == expected
