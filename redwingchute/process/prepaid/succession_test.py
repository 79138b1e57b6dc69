"""Tests of what a successor concludes from clocks."""

import pytest

from redwingchute.core import prepaid
from redwingchute.process.prepaid import succession

_STAMP = prepaid.HostStamp("huon-1", "huon", "h:1", 7, 50_000, 90_000, 4_000)


@pytest.mark.parametrize(
    ("boot_ms", "wall_ms", "expected"),
    [
        (53_000, 93_000, True),
        (54_000, 94_000, False),
        (53_000, 96_000, True),
        (53_000, 900_000, False),
        (1_000, 93_000, False),
    ],
    ids=["young", "old", "clock step", "chance after a reboot", "rebooted"],
)
def test_the_boot_clock(boot_ms: int, wall_ms: int, expected: bool) -> None:
    assert expected is succession.is_young_by_boot_clock(
        _STAMP, boot_ms, wall_ms
    )


@pytest.mark.parametrize(
    ("before_ms", "after_ms", "expected"),
    [
        ((90_000, 89_700, 90_300), (93_000, 93_100, 92_900), True),
        ((90_000, 89_700, 90_300), (95_000, 95_100, 94_900), False),
        ((90_000, 89_700, 90_300), (91_000, 95_100, 94_900), False),
        ((87_000, 86_900, 90_000), (92_000, 92_100, 91_900), False),
        ((90_000, 89_700, 90_300), (93_000, 93_100), False),
        ((90_000, 89_700, 90_300), (80_000, 80_100, 80_200), False),
    ],
    ids=[
        "young",
        "old",
        "old, own clock set back",
        "old, its stamp was ahead",
        "too few clocks",
        "all set back",
    ],
)
def test_wall_clocks(
    before_ms: tuple[int, ...], after_ms: tuple[int, ...], expected: bool
) -> None:
    assert expected is succession.is_young_by_wall_clocks(
        _STAMP, before_ms, after_ms
    )
