"""Checks a route table for entries that cannot work as they are meant.

The checks find what the decoder of a document accepts: entries that no request
can reach, references to nothing, and limits that contradict each other.
"""

from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

import attrs

from redwingchute.core import data
from redwingchute.core import forwarding


def check_table(table: forwarding.RouteTable) -> tuple[data.Finding, ...]:
    """Returns all findings about a route table, each with its place."""
    return (
        *_check_routes(table),
        *_check_services(table),
        *_check_accounts(table),
        *_check_limits(table.limits),
    )


def _check_routes(table: forwarding.RouteTable) -> Iterator[data.Finding]:
    """Yields findings about the routes."""
    services = {service.name for service in table.services}
    names: set[str] = set()
    first_by_target: dict[tuple[str, str], str] = {}
    for index, route in enumerate(table.routes):
        place = f"route {index} ({route.name})"
        if route.name in names:
            yield data.Finding(place, f"The name {route.name} is used twice.")
        names.add(route.name)
        target = (route.host, route.path_prefix)
        first = first_by_target.setdefault(target, route.name)
        if first != route.name:
            yield data.Finding(
                place, f"No request matches it: {first} has the same prefix."
            )
        if not (
            route.path_prefix.startswith("/")
            and route.path_prefix.endswith("/")
        ):
            yield data.Finding(
                place, "Its prefix does not begin and end with a slash."
            )
        yield from _check_targets(route, services, place)
        yield from _check_times(route, place)


def _check_targets(
    route: forwarding.Route, services: set[str], place: str
) -> Iterator[data.Finding]:
    """Yields findings about the services that a route forwards to."""
    for target in route.services:
        if target.service not in services:
            yield data.Finding(
                place, f"The service {target.service} is not listed."
            )
        if target.weight < 0:
            yield data.Finding(
                place, f"The weight of {target.service} is below 0."
            )
        elif target.weight == 0 and len(route.services) > 1:
            yield data.Finding(
                place, f"{target.service} gets no request: its weight is 0."
            )
    if sum(target.weight for target in route.services) <= 0:
        yield data.Finding(place, "Its weights add up to nothing.")


def _check_times(route: forwarding.Route, place: str) -> Iterator[data.Finding]:
    """Yields findings about the times and attempts of a route."""
    if route.timeout_ms <= 0:
        yield data.Finding(place, "Its timeout is not above 0.")
    elif route.target_latency_ms > route.timeout_ms:
        yield data.Finding(
            place,
            f"Its target of {route.target_latency_ms} ms is above its timeout "
            f"of {route.timeout_ms} ms.",
        )
    if route.max_attempts < 1:
        yield data.Finding(place, "It allows no attempt.")
    if route.is_resumable and route.kind is not (
        forwarding.RequestKind.STREAMING
    ):
        yield data.Finding(place, "Only streams can be resumed.")


def _check_services(table: forwarding.RouteTable) -> Iterator[data.Finding]:
    """Yields findings about the services."""
    used = {
        target.service for route in table.routes for target in route.services
    }
    names: set[str] = set()
    for index, service in enumerate(table.services):
        place = f"service {index} ({service.name})"
        if service.name in names:
            yield data.Finding(place, f"The name {service.name} is used twice.")
        names.add(service.name)
        if service.name not in used:
            yield data.Finding(place, "No route forwards to it.")


def _check_accounts(table: forwarding.RouteTable) -> Iterator[data.Finding]:
    """Yields findings about the client accounts."""
    names: set[str] = set()
    owners: dict[str, str] = {}
    for index, account in enumerate(table.accounts):
        place = f"account {index} ({account.name})"
        if account.name in names:
            yield data.Finding(place, f"The name {account.name} is used twice.")
        names.add(account.name)
        if not account.keys:
            yield data.Finding(place, "No request can use it: it has no key.")
        # Keys are secrets, so that none is named.
        for key in account.keys:
            owner = owners.setdefault(key, account.name)
            if owner != account.name:
                yield data.Finding(
                    place, f"One of its keys is also a key of {owner}."
                )
        if account.prepaid_tokens is not None and account.prepaid_tokens <= 0:
            yield data.Finding(place, "It has prepaid no tokens.")


def _check_limits(
    limits: forwarding.ConnectionLimits,
) -> Iterator[data.Finding]:
    """Yields findings about the limits of callers' connections."""
    for name, value in attrs.asdict(limits).items():
        if value <= 0:
            yield data.Finding(f"limits, {name}", "It is not above 0.")


def list_changes(
    before: forwarding.RouteTable, after: forwarding.RouteTable
) -> tuple[str, ...]:
    """Returns what differs between two versions, one line for each change.

    Args:
      before: The version in force.
      after: The version that is to replace it.
    """
    return (
        *_list_item_changes("route", before.routes, after.routes),
        *_list_item_changes("service", before.services, after.services),
        *_list_account_changes(before, after),
        *_list_field_changes("limits", before.limits, after.limits),
    )


def check_successor(
    before: forwarding.RouteTable, after: forwarding.RouteTable
) -> tuple[data.Finding, ...]:
    """Returns why a version cannot replace another one.

    Args:
      before: The version in force.
      after: The version that is to replace it.
    """
    if after.version > before.version:
        return ()
    return (
        data.Finding(
            "version",
            f"Version {after.version} is not above {before.version}, the "
            "version in force; hosts ignore it.",
        ),
    )


def _list_item_changes(
    kind: str, before: Sequence[Any], after: Sequence[Any]
) -> Iterator[str]:
    """Yields the changes of a list of named records, in order of names."""
    earlier = {item.name: item for item in before}
    later = {item.name: item for item in after}
    for name in sorted(earlier.keys() | later.keys()):
        match earlier.get(name), later.get(name):
            case None, _:
                yield f"{kind} {name}: added"
            case _, None:
                yield f"{kind} {name}: removed"
            case old, new:
                yield from _list_field_changes(f"{kind} {name}", old, new)


def _list_account_changes(
    before: forwarding.RouteTable, after: forwarding.RouteTable
) -> Iterator[str]:
    """Yields the changes of accounts, with counts instead of their keys."""
    yield from _list_item_changes(
        "account",
        [
            attrs.evolve(account, keys=frozenset())
            for account in before.accounts
        ],
        [attrs.evolve(account, keys=frozenset()) for account in after.accounts],
    )
    keys_before = {account.name: account.keys for account in before.accounts}
    for account in after.accounts:
        if account.name not in keys_before:
            continue
        old = keys_before[account.name]
        if old != account.keys:
            yield (
                f"account {account.name}: {len(account.keys - old)} keys added,"
                f" {len(old - account.keys)} removed"
            )


def _list_field_changes(what: str, before: Any, after: Any) -> Iterator[str]:
    """Yields the fields that differ between two records of one class."""
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield f"{what}: {field.name} {_format(old)} -> {_format(new)}"


def _format(value: Any) -> str:
    """Returns a field's value as text."""
    match value:
        case tuple():
            return "[" + ", ".join(map(_format, value)) + "]"
        case frozenset():
            return "{" + ", ".join(sorted(map(_format, value))) + "}"
        case forwarding.WeightedService(service, weight):
            return f"{service} {weight:g}"
        case forwarding.RequestKind():
            return str(value.value)
        case _:
            return str(value)
