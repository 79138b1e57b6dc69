"""Finds how long a caller waits, and how urgent its work is, at an instant.

The schedule of a client account is kept in local hours of an IANA zone, so
that a shift change stays at the same wall-clock hour across daylight saving.
"""

import datetime
import functools
import zoneinfo

import attrs

from redwingchute.core import configuration

_DEFAULT_DEADLINES_MS = {
    configuration.WorkKind.INTERACTIVE: 30_000,
    configuration.WorkKind.BATCH: 600_000,
    configuration.WorkKind.DOCUMENT: 300_000,
    configuration.WorkKind.LOOKUP: 10_000,
}
_DEFAULT_PRIORITY = 5

# A weekly schedule repeats after seven days; one more covers a clock change.
_HORIZON_DAYS = 8
_DAY_MS = 24 * 3_600_000
_MINUTE_MS = 60_000


@attrs.frozen
class Patience:
    """What a caller expects of a request that arrives now.

    Attributes:
      deadline_ms: The duration from arrival to the end of the answer.
      priority: Lower numbers go first.
    """

    deadline_ms: int
    priority: int


@attrs.frozen
class PatienceChange:
    """The next instant at which another patience is in force."""

    at_ms: int
    patience: Patience


def find_patience(
    account: configuration.ClientAccount,
    kind: configuration.WorkKind,
    now_ms: int,
) -> Patience:
    """Returns the patience of the first rule that matches the local hour."""
    return _evaluate(account.patience, account.time_zone, kind, now_ms)


def find_next_change(
    account: configuration.ClientAccount,
    kind: configuration.WorkKind,
    now_ms: int,
) -> PatienceChange | None:
    """Returns when another patience comes into force, or None for never."""
    rules = tuple(rule for rule in account.patience if rule.kind is kind)
    if not rules:
        return None
    # Changes fall on whole minutes, so that one minute shares its answer.
    minute_ms = now_ms - now_ms % _MINUTE_MS
    return _find_next_change(rules, account.time_zone, kind, minute_ms)


@functools.lru_cache(maxsize=1024)
def _find_next_change(
    rules: tuple[configuration.PatienceRule, ...],
    time_zone: str,
    kind: configuration.WorkKind,
    now_ms: int,
) -> PatienceChange | None:
    """Tries each boundary of the coming week in order."""
    current = _evaluate(rules, time_zone, kind, now_ms)
    zone = zoneinfo.ZoneInfo(time_zone)
    for at_ms in _list_boundaries(rules, zone, now_ms):
        patience = _evaluate(rules, time_zone, kind, at_ms)
        if patience != current:
            return PatienceChange(at_ms, patience)
    return None


def _evaluate(
    rules: tuple[configuration.PatienceRule, ...],
    time_zone: str,
    kind: configuration.WorkKind,
    now_ms: int,
) -> Patience:
    """Returns the first matching rule's patience, or the kind's default."""
    local = _to_local(now_ms, zoneinfo.ZoneInfo(time_zone))
    for rule in rules:
        if rule.kind is kind and _matches(rule, local):
            return Patience(rule.deadline_ms, rule.priority)
    return Patience(_DEFAULT_DEADLINES_MS[kind], _DEFAULT_PRIORITY)


def _matches(
    rule: configuration.PatienceRule, local: datetime.datetime
) -> bool:
    """Tells whether a rule covers a local time.

    A rule that crosses midnight belongs to the weekday on which it began.
    """
    minute = local.hour * 60 + local.minute
    weekday = local.isoweekday()
    if rule.from_minute <= rule.until_minute:
        is_inside = rule.from_minute <= minute < rule.until_minute
        return is_inside and weekday in rule.weekdays
    if minute >= rule.from_minute:
        return weekday in rule.weekdays
    yesterday = (weekday - 2) % 7 + 1
    return minute < rule.until_minute and yesterday in rule.weekdays


def _list_boundaries(
    rules: tuple[configuration.PatienceRule, ...],
    zone: zoneinfo.ZoneInfo,
    now_ms: int,
) -> list[int]:
    """Returns the instants after now at which a rule may begin or end."""
    today = _to_local(now_ms, zone).date()
    minutes = {0}
    for rule in rules:
        minutes |= {rule.from_minute, rule.until_minute}
    candidates: set[int] = set()
    for days in range(_HORIZON_DAYS):
        day = today + datetime.timedelta(days=days)
        for minute in minutes:
            candidates |= _to_instants(day, minute, zone)
        candidates |= _find_clock_change(now_ms + days * _DAY_MS, zone)
    return sorted(at_ms for at_ms in candidates if at_ms > now_ms)


def _to_instants(
    day: datetime.date, minute: int, zone: zoneinfo.ZoneInfo
) -> set[int]:
    """Returns the one or two instants of a local time."""
    days, minute = divmod(minute, 24 * 60)
    local = datetime.datetime.combine(
        day + datetime.timedelta(days=days),
        datetime.time(minute // 60, minute % 60),
        zone,
    )
    return {
        round(local.replace(fold=fold).timestamp() * 1000) for fold in (0, 1)
    }


def _find_clock_change(from_ms: int, zone: zoneinfo.ZoneInfo) -> set[int]:
    """Returns the minute of the day after `from_ms` where the offset moves."""
    low_minute = from_ms // _MINUTE_MS
    high_minute = low_minute + _DAY_MS // _MINUTE_MS
    before = _to_local(low_minute * _MINUTE_MS, zone).utcoffset()
    if _to_local(high_minute * _MINUTE_MS, zone).utcoffset() == before:
        return set()
    while high_minute - low_minute > 1:
        middle = (low_minute + high_minute) // 2
        if _to_local(middle * _MINUTE_MS, zone).utcoffset() == before:
            low_minute = middle
        else:
            high_minute = middle
    return {high_minute * _MINUTE_MS}


def _to_local(at_ms: int, zone: zoneinfo.ZoneInfo) -> datetime.datetime:
    """Returns the local time of an instant."""
    return datetime.datetime.fromtimestamp(at_ms / 1000, zone)
