"""Tests of checking route tables and of listing what differs between two."""

from typing import Any

import attrs
import pytest

from redwingchute.core import forwarding
from redwingchute.version import route_checks

_ROUTE = forwarding.Route(
    name="lookup",
    host="a.example",
    path_prefix="/lookup/",
    kind=forwarding.RequestKind.IDEMPOTENT,
    services=(forwarding.WeightedService("ledger", 1.0),),
    timeout_ms=2_000,
    target_latency_ms=300,
)
_ACCOUNT = forwarding.ClientAccount("yield", frozenset({"key-1"}))
_TABLE = forwarding.RouteTable(
    7, (_ROUTE,), (forwarding.Service("ledger"),), (_ACCOUNT,)
)


def _list_messages(table: forwarding.RouteTable) -> list[str]:
    """Returns the findings about a table as text."""
    return [
        f"{finding.place}: {finding.message}"
        for finding in route_checks.check_table(table)
    ]


def test_a_sound_table_has_no_findings() -> None:
    assert _list_messages(_TABLE) == []


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"target_latency_ms": 3_000}, "target of 3000 ms is above"),
        ({"timeout_ms": 0}, "timeout is not above 0"),
        ({"max_attempts": 0}, "allows no attempt"),
        ({"path_prefix": "/lookup"}, "begin and end with a slash"),
        ({"is_resumable": True}, "Only streams can be resumed"),
        (
            {"services": (forwarding.WeightedService("gone", 1.0),)},
            "The service gone is not listed",
        ),
        (
            {"services": (forwarding.WeightedService("ledger", 0.0),)},
            "weights add up to nothing",
        ),
    ],
)
def test_a_route_that_contradicts_itself_is_found(
    changes: dict[str, Any], message: str
) -> None:
    route = attrs.evolve(_ROUTE, **changes)
    messages = _list_messages(attrs.evolve(_TABLE, routes=(route,)))
    assert any(message in found for found in messages)


def test_entries_that_no_request_reaches_are_found() -> None:
    shadowed = attrs.evolve(_ROUTE, name="shadowed")
    keyless = attrs.evolve(_ACCOUNT, name="keyless", keys=frozenset())
    table = attrs.evolve(
        _TABLE,
        routes=(_ROUTE, shadowed),
        services=(*_TABLE.services, forwarding.Service("idle")),
        accounts=(_ACCOUNT, keyless, attrs.evolve(_ACCOUNT, name="copy")),
    )
    assert _list_messages(table) == [
        "route 1 (shadowed): No request matches it: lookup has the same "
        "prefix.",
        "service 1 (idle): No route forwards to it.",
        "account 1 (keyless): No request can use it: it has no key.",
        "account 2 (copy): One of its keys is also a key of yield.",
    ]


def test_changes_name_what_differs_and_no_key() -> None:
    after = attrs.evolve(
        _TABLE,
        version=9,
        routes=(
            attrs.evolve(_ROUTE, timeout_ms=1_000),
            attrs.evolve(_ROUTE, name="new", path_prefix="/new/"),
        ),
        accounts=(
            attrs.evolve(_ACCOUNT, keys=frozenset({"key-2"}), prepaid_tokens=5),
        ),
    )
    changes = route_checks.list_changes(_TABLE, after)
    assert changes == (
        "route lookup: timeout_ms 2000 -> 1000",
        "route new: added",
        "account yield: prepaid_tokens None -> 5",
        "account yield: 1 keys added, 1 removed",
    )
    assert not route_checks.check_successor(_TABLE, after)
    assert route_checks.check_successor(after, _TABLE)
