"""Tests of patience schedules across midnight and clock changes."""

import pytest

from redwingchute.core import configuration
from redwingchute.request import patience
from redwingchute.testing import request_builders as builders

_INTERACTIVE = configuration.WorkKind.INTERACTIVE
_DEFAULT = patience.Patience(30_000, 5)
_SHIFT_CHANGE = patience.Patience(4_000, 1)

# Shift changes of the account: 13:30 to 14:30 on weekdays, and 23:30 on Friday
# to 00:30 on Saturday.
_ACCOUNT = builders.make_account(
    builders.make_rule(810, 870, 4_000, 1, (1, 2, 3, 4, 5)),
    builders.make_rule(1410, 30, 4_000, 1, (5,)),
)

# In this time zone, daylight saving time begins on 2026-10-04, when 02:00 is
# followed by 03:00, and ends on 2026-04-05, when 03:00 is set back to 02:00.
# The rule covers 02:30 to 04:00 every day.
_CLOCK_CHANGES = builders.make_account(builders.make_rule(150, 240, 4_000, 1))


@pytest.mark.parametrize(
    ("local_time", "expected"),
    [
        ("2026-12-03T13:29:59", _DEFAULT),
        ("2026-12-03T13:30:00", _SHIFT_CHANGE),
        ("2026-12-03T14:29:59", _SHIFT_CHANGE),
        ("2026-12-03T14:30:00", _DEFAULT),
        ("2026-12-05T13:45:00", _DEFAULT),  # A Saturday.
        ("2026-12-04T23:45:00", _SHIFT_CHANGE),  # A Friday night.
        ("2026-12-05T00:29:00", _SHIFT_CHANGE),
        ("2026-12-05T00:30:00", _DEFAULT),
        ("2026-12-04T00:10:00", _DEFAULT),
        ("2026-07-02T13:45:00", _SHIFT_CHANGE),  # Standard time.
    ],
)
def test_first_matching_rule_applies(
    local_time: str, expected: patience.Patience
) -> None:
    now_ms = builders.to_ms(local_time)
    assert patience.find_patience(_ACCOUNT, _INTERACTIVE, now_ms) == expected


@pytest.mark.parametrize(
    ("account", "local_time", "expected_at"),
    [
        (_ACCOUNT, "2026-12-03T09:00:00", "2026-12-03T13:30:00"),
        (_ACCOUNT, "2026-12-03T13:30:00", "2026-12-03T14:30:00"),
        (_ACCOUNT, "2026-12-04T23:45:00", "2026-12-05T00:30:00"),
        (_ACCOUNT, "2026-12-05T12:00:00", "2026-12-07T13:30:00"),
        # The first minute of the rule does not exist; the rule begins when the
        # clock moves forward.
        (_CLOCK_CHANGES, "2026-10-04T01:00:00", "2026-10-04T03:00:00"),
        # The rule ends when the clock moves back to an earlier local time.
        (_CLOCK_CHANGES, "2026-04-05T02:40:00", "2026-04-05T03:00:00"),
    ],
)
def test_next_change_is_found(
    account: configuration.ClientAccount, local_time: str, expected_at: str
) -> None:
    now_ms = builders.to_ms(local_time)
    change = patience.find_next_change(account, _INTERACTIVE, now_ms)
    assert change is not None
    expected_ms = builders.to_ms(expected_at)
    if local_time.startswith("2026-04-05"):
        expected_ms -= 3_600_000  # 03:00 summer time is 02:00 standard time.
    assert change.at_ms == expected_ms
    assert change.patience == patience.find_patience(
        account, _INTERACTIVE, change.at_ms
    )


def test_constant_schedule_never_changes() -> None:
    account = builders.make_account(builders.make_rule())
    assert patience.find_next_change(account, _INTERACTIVE, 0) is None
    lookup = configuration.WorkKind.LOOKUP
    assert patience.find_next_change(account, lookup, 0) is None
