"""Builders of test data for request decisions."""

import datetime
import zoneinfo

from redwingchute.core import configuration
from redwingchute.core import requesting

_ALL_DAYS = (1, 2, 3, 4, 5, 6, 7)


def make_upstream(
    name: str = "runner-1", zone: str = "huon", slots: int = 8
) -> configuration.Upstream:
    """Returns an upstream with an address that nothing listens on."""
    return configuration.Upstream(
        name=name, address="127.0.0.1:1", zone=zone, slots=slots
    )


def make_upstreams(
    count: int, zone: str = "huon", slots: int = 8
) -> tuple[configuration.Upstream, ...]:
    """Returns upstreams named runner-1, runner-2 and so on."""
    return tuple(
        make_upstream(f"runner-{number}", zone, slots)
        for number in range(1, count + 1)
    )


def make_rule(
    from_minute: int = 0,
    until_minute: int = 1440,
    deadline_ms: int = 1_000,
    priority: int = 1,
    weekdays: tuple[int, ...] = _ALL_DAYS,
    kind: configuration.WorkKind = configuration.WorkKind.INTERACTIVE,
) -> configuration.PatienceRule:
    """Returns a patience rule, by default in force all week."""
    return configuration.PatienceRule(
        kind, from_minute, until_minute, weekdays, deadline_ms, priority
    )


def make_account(
    *rules: configuration.PatienceRule,
    name: str = "derwent",
    time_zone: str = "Australia/Hobart",
) -> configuration.ClientAccount:
    """Returns a client account with a patience schedule."""
    return configuration.ClientAccount(
        name=name,
        key_hashes=(),
        budget=name,
        time_zone=time_zone,
        patience=rules,
    )


def make_ticket(
    ticket_id: int = 1,
    client_account: str = "derwent",
    priority: int = 1,
    deadline_ms: int = 60_000,
    prompt_tokens: int = 100,
    expected_output_tokens: int = 100,
    arrived_at_ms: int = 0,
    prefix_digests: tuple[bytes, ...] = (),
    body_digest: bytes = b"",
    is_suspect: bool = False,
    excluded_upstreams: frozenset[str] = frozenset(),
) -> requesting.Ticket:
    """Returns a ticket for interactive work."""
    return requesting.Ticket(
        ticket_id,
        client_account,
        configuration.WorkKind.INTERACTIVE,
        priority,
        deadline_ms,
        prompt_tokens,
        expected_output_tokens,
        arrived_at_ms,
        prefix_digests,
        body_digest,
        is_suspect,
        excluded_upstreams,
    )


def to_ms(local_time: str, time_zone: str = "Australia/Hobart") -> int:
    """Returns the instant of an ISO local time, the earlier if ambiguous."""
    local = datetime.datetime.fromisoformat(local_time)
    return round(
        local.replace(tzinfo=zoneinfo.ZoneInfo(time_zone)).timestamp() * 1000
    )
