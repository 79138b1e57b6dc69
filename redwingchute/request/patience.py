"""Evaluates the patience schedules of client accounts.

A patience rule gives the deadline and the priority of one kind of work at
certain hours. The rules of a client account are in the local time of an IANA
time zone, so that the hours of a shift change stay the same across daylight
saving time.
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

# A weekly schedule repeats after seven days; one more day covers a change to
# or from daylight saving time.
_HORIZON_DAYS = 8
_DAY_MS = 24 * 3_600_000
_MINUTE_MS = 60_000


@attrs.frozen
class Patience:
    """The patience of a caller at some time.

    Attributes:
      deadline_ms: The maximum duration from the arrival of a request to the
        end of its response.
      priority: The priority of the request; lower numbers go first.
    """

    deadline_ms: int
    priority: int


@attrs.frozen
class PatienceChange:
    """The time at which the patience changes, and its new value.

    Attributes:
      at_ms: The time, in milliseconds since the epoch.
      patience: The patience from then on.
    """

    at_ms: int
    patience: Patience


def find_patience(
    account: configuration.ClientAccount,
    kind: configuration.WorkKind,
    now_ms: int,
) -> Patience:
    """Returns the patience at a time, from the first rule that matches.

    Args:
      account: The client account with its rules and time zone.
      kind: The kind of work.
      now_ms: The time, in milliseconds since the epoch.
    """
    return _evaluate(account.patience, account.time_zone, kind, now_ms)


def find_next_change(
    account: configuration.ClientAccount,
    kind: configuration.WorkKind,
    now_ms: int,
) -> PatienceChange | None:
    """Returns the next change of the patience, or None if it never changes.

    Args:
      account: The client account with its rules and time zone.
      kind: The kind of work.
      now_ms: The time, in milliseconds since the epoch.
    """
    rules = tuple(rule for rule in account.patience if rule.kind is kind)
    if not rules:
        return None
    # Rules change on whole minutes: rounding down to the minute makes the
    # cache effective.
    minute_ms = now_ms - now_ms % _MINUTE_MS
    return _find_next_change(rules, account.time_zone, kind, minute_ms)


@functools.lru_cache(maxsize=1024)
def _find_next_change(
    rules: tuple[configuration.PatienceRule, ...],
    time_zone: str,
    kind: configuration.WorkKind,
    now_ms: int,
) -> PatienceChange | None:
    """Searches the rule boundaries of the next week for a change."""
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
    """Returns the patience of the first matching rule, or the default."""
    local = _to_local(now_ms, zoneinfo.ZoneInfo(time_zone))
    for rule in rules:
        if rule.kind is kind and _matches(rule, local):
            return Patience(rule.deadline_ms, rule.priority)
    return Patience(_DEFAULT_DEADLINES_MS[kind], _DEFAULT_PRIORITY)


def _matches(
    rule: configuration.PatienceRule, local: datetime.datetime
) -> bool:
    """Returns whether a rule covers a local time.

    A rule that crosses midnight belongs to the weekday on which it begins.
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
    """Returns the times after `now_ms` at which a rule may begin or end."""
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
    """Returns the times of a local minute of a day.

    There are two if daylight saving time ends and the local hour repeats.
    """
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
    """Returns the time of a UTC offset change in the 24 hours after `from_ms`.

    The set is empty if the offset does not change.
    """
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
    """Returns the local time for milliseconds since the epoch."""
    return datetime.datetime.fromtimestamp(at_ms / 1000, zone)
