"""Validates a whole configuration and collects all findings.

A configuration is valid only without findings. All findings are returned
together, each with its JSON path, so that an operator can correct a document
in one pass.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import functools
import ipaddress
import itertools
import re
from typing import Protocol
from typing import TypeVar
import zoneinfo

from redwingchute.core import configuration
from redwingchute.core import data


class _Named(Protocol):
    """A part of the configuration that has a name."""

    @property
    def name(self) -> str:
        """The name, unique in its list."""


_Item = TypeVar("_Item", bound=_Named)

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_MODEL_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")

_MINUTES_PER_DAY = 1_440
_MAX_DEADLINE_MS = 24 * 3_600 * 1_000
_MAX_PRIORITY = 100
_MAX_SLOTS = 100_000
_MAX_OUTPUT_TOKENS = 10_000_000
_MAX_PRICE_TOKENS = 1_000_000
_MIN_LEASE_HORIZON_MS = 100
_MAX_LEASE_HORIZON_MS = 600_000
_MAX_ATTEMPTS = 10
_MAX_DELAY_MS = 60_000


def validate_configuration(
    candidate: configuration.Configuration,
    previous: configuration.Configuration | None = None,
) -> tuple[data.Finding, ...]:
    """Returns all findings of a configuration.

    Args:
      candidate: The whole configuration.
      previous: A valid configuration that the candidate was made from.
        Budgets, models and services that are the same object in both are not
        checked again, which keeps a small change cheap in a configuration of
        80,000 budgets.

    Returns:
      The findings; empty when the configuration is valid.
    """
    known = previous or configuration.Configuration()
    return tuple(_list_findings(candidate, known))


def _list_findings(
    candidate: configuration.Configuration,
    known: configuration.Configuration,
) -> Iterator[data.Finding]:
    """Yields all findings; skips unchanged items of the valid `known`."""
    yield from _check_client_accounts(candidate)
    for index, budget in _list_changed(candidate.budgets, known.budgets):
        yield from _check_budget(f"$.budgets[{index}]", budget)
    for index, model in _list_changed(candidate.models, known.models):
        yield from _check_model(f"$.models[{index}]", model)
    for index, service in _list_changed(candidate.services, known.services):
        yield from _check_service(f"$.services[{index}]", service)
    for index, operator in enumerate(candidate.operators):
        yield from _check_operator(f"$.operators[{index}]", operator)
    yield from _check_unique("$.budgets", candidate.budgets, known.budgets)
    yield from _check_unique("$.models", candidate.models, known.models)
    yield from _check_unique("$.services", candidate.services, known.services)
    yield from _check_unique("$.operators", candidate.operators, ())
    yield from _check_unique_upstreams(candidate)
    yield from _check_unique_hashes(candidate)
    yield from _check_retry("$.retry", candidate.retry)


def _list_changed(
    items: Sequence[_Item], known: Sequence[_Item]
) -> Iterator[tuple[int, _Item]]:
    """Yields index and item where `known` has a different or no object."""
    if items is known:
        return
    pairs = itertools.zip_longest(items, known[: len(items)])
    for index, (item, known_item) in enumerate(pairs):
        if item is not known_item:
            yield index, item


def _check_client_accounts(
    candidate: configuration.Configuration,
) -> Iterator[data.Finding]:
    """Yields the findings of the client accounts.

    Includes their references to budgets, models and services.
    """
    budgets = {budget.name for budget in candidate.budgets}
    models = {model.name for model in candidate.models}
    services = {service.name for service in candidate.services}
    for index, account in enumerate(candidate.client_accounts):
        place = f"$.client_accounts[{index}]"
        yield from _check_client_account(place, account)
        yield from _check_reference(
            f"{place}.budget", "budget", account.budget, budgets
        )
        for position, name in enumerate(account.models):
            yield from _check_reference(
                f"{place}.models[{position}]", "model", name, models
            )
        for position, name in enumerate(account.services):
            yield from _check_reference(
                f"{place}.services[{position}]", "service", name, services
            )
    yield from _check_unique("$.client_accounts", candidate.client_accounts, ())


def _check_client_account(
    place: str, account: configuration.ClientAccount
) -> Iterator[data.Finding]:
    """Yields the findings of one client account, without its references."""
    yield from _check_name(f"{place}.name", account.name)
    for index, key_hash in enumerate(account.key_hashes):
        yield from _check_hash(f"{place}.key_hashes[{index}]", key_hash)
    if not is_time_zone(account.time_zone):
        yield data.Finding(
            f"{place}.time_zone",
            f"{account.time_zone!r} is not an IANA time zone.",
        )
    yield from _check_duplicates(f"{place}.models", account.models)
    yield from _check_duplicates(f"{place}.services", account.services)
    for index, rule in enumerate(account.patience):
        yield from _check_patience(f"{place}.patience[{index}]", rule)


def _check_patience(
    place: str, rule: configuration.PatienceRule
) -> Iterator[data.Finding]:
    """Yields the findings of one patience rule."""
    yield from _check_range(
        f"{place}.from_minute", rule.from_minute, 0, _MINUTES_PER_DAY - 1
    )
    yield from _check_range(
        f"{place}.until_minute", rule.until_minute, 0, _MINUTES_PER_DAY
    )
    if rule.from_minute == rule.until_minute:
        yield data.Finding(
            f"{place}.until_minute", "The rule covers no minute of the day."
        )
    yield from _check_range(
        f"{place}.deadline_ms", rule.deadline_ms, 1, _MAX_DEADLINE_MS
    )
    yield from _check_range(
        f"{place}.priority", rule.priority, 0, _MAX_PRIORITY
    )
    if not rule.weekdays:
        yield data.Finding(f"{place}.weekdays", "The rule names no weekday.")
    for index, weekday in enumerate(rule.weekdays):
        yield from _check_range(f"{place}.weekdays[{index}]", weekday, 1, 7)
    yield from _check_duplicates(f"{place}.weekdays", rule.weekdays)


def _check_budget(
    place: str, budget: configuration.Budget
) -> Iterator[data.Finding]:
    """Yields the findings of one budget policy."""
    yield from _check_name(f"{place}.name", budget.name)
    yield from _check_range(
        f"{place}.reserve_share", budget.reserve_share, 0, 1
    )
    yield from _check_range(
        f"{place}.lease_horizon_ms",
        budget.lease_horizon_ms,
        _MIN_LEASE_HORIZON_MS,
        _MAX_LEASE_HORIZON_MS,
    )


def _check_model(
    place: str, model: configuration.Model
) -> Iterator[data.Finding]:
    """Yields the findings of one model and its upstreams."""
    yield from _check_name(f"{place}.name", model.name, _MODEL_NAME_PATTERN)
    yield from _check_range(
        f"{place}.max_output_tokens",
        model.max_output_tokens,
        1,
        _MAX_OUTPUT_TOKENS,
    )
    yield from _check_price(f"{place}.prompt_price", model.prompt_price)
    yield from _check_price(f"{place}.output_price", model.output_price)
    for index, upstream in enumerate(model.upstreams):
        yield from _check_upstream(f"{place}.upstreams[{index}]", upstream)


def _check_service(
    place: str, service: configuration.Service
) -> Iterator[data.Finding]:
    """Yields the findings of one plain service and its upstreams."""
    yield from _check_name(f"{place}.name", service.name)
    yield from _check_price(f"{place}.call_price", service.call_price)
    for index, upstream in enumerate(service.upstreams):
        yield from _check_upstream(f"{place}.upstreams[{index}]", upstream)


def _check_upstream(
    place: str, upstream: configuration.Upstream
) -> Iterator[data.Finding]:
    """Yields the findings of one upstream."""
    yield from _check_name(f"{place}.name", upstream.name)
    yield from _check_name(f"{place}.zone", upstream.zone)
    yield from _check_range(f"{place}.slots", upstream.slots, 1, _MAX_SLOTS)
    if not is_address(upstream.address):
        yield data.Finding(
            f"{place}.address",
            f"{upstream.address!r} is not an IP number and port like"
            " '10.0.0.7:8000'.",
        )


def _check_operator(
    place: str, operator: configuration.Operator
) -> Iterator[data.Finding]:
    """Yields the findings of one operator."""
    yield from _check_name(f"{place}.name", operator.name)
    yield from _check_hash(f"{place}.key_hash", operator.key_hash)


def _check_retry(
    place: str, retry: configuration.RetryPolicy
) -> Iterator[data.Finding]:
    """Yields the findings of the retry policy."""
    yield from _check_range(f"{place}.budget_ratio", retry.budget_ratio, 0, 1)
    yield from _check_range(
        f"{place}.max_attempts", retry.max_attempts, 1, _MAX_ATTEMPTS
    )
    yield from _check_range(
        f"{place}.base_delay_ms", retry.base_delay_ms, 0, _MAX_DELAY_MS
    )
    yield from _check_range(
        f"{place}.max_delay_ms", retry.max_delay_ms, 0, _MAX_DELAY_MS
    )
    if retry.base_delay_ms > retry.max_delay_ms:
        yield data.Finding(
            f"{place}.base_delay_ms",
            f"{retry.base_delay_ms} is larger than max_delay_ms,"
            f" {retry.max_delay_ms}.",
        )


def _check_unique_upstreams(
    candidate: configuration.Configuration,
) -> Iterator[data.Finding]:
    """Yields a finding for each duplicate upstream name."""
    first_places: dict[str, str] = {}
    for place, upstream in list_upstreams(candidate):
        first_place = first_places.setdefault(upstream.name, place)
        if first_place != place:
            yield data.Finding(
                f"{place}.name",
                f"{upstream.name!r} is already the name of {first_place}.",
            )


def list_upstreams(
    candidate: configuration.Configuration,
) -> Iterator[tuple[str, configuration.Upstream]]:
    """Yields (JSON path, upstream) of all models and services."""
    for index, model in enumerate(candidate.models):
        for position, upstream in enumerate(model.upstreams):
            yield f"$.models[{index}].upstreams[{position}]", upstream
    for index, service in enumerate(candidate.services):
        for position, upstream in enumerate(service.upstreams):
            yield f"$.services[{index}].upstreams[{position}]", upstream


def _check_unique_hashes(
    candidate: configuration.Configuration,
) -> Iterator[data.Finding]:
    """Yields a finding for each duplicate key hash.

    A key must identify one client account or one operator.
    """
    places: list[tuple[str, str]] = []
    for index, account in enumerate(candidate.client_accounts):
        for position, key_hash in enumerate(account.key_hashes):
            place = f"$.client_accounts[{index}].key_hashes[{position}]"
            places.append((place, key_hash))
    for index, operator in enumerate(candidate.operators):
        places.append((f"$.operators[{index}].key_hash", operator.key_hash))
    first_places: dict[str, str] = {}
    for place, key_hash in places:
        first_place = first_places.setdefault(key_hash, place)
        if first_place != place:
            yield data.Finding(
                place, f"The same key hash is already used at {first_place}."
            )


def _check_unique(
    place: str, items: Sequence[_Item], known: Sequence[_Item]
) -> Iterator[data.Finding]:
    """Yields a finding for each duplicate name in a list.

    A list with the same names in the same order as the valid list `known` is
    not checked again.
    """
    if len(items) == len(known) and all(
        item.name == known[index].name
        for index, item in _list_changed(items, known)
    ):
        return
    first_indexes: dict[str, int] = {}
    for index, item in enumerate(items):
        first_index = first_indexes.setdefault(item.name, index)
        if first_index != index:
            yield data.Finding(
                f"{place}[{index}].name",
                f"{item.name!r} is already the name of {place}[{first_index}].",
            )


def _check_duplicates(
    place: str, values: Sequence[str | int]
) -> Iterator[data.Finding]:
    """Yields a finding for each duplicate value."""
    seen: set[str | int] = set()
    for index, value in enumerate(values):
        if value in seen:
            yield data.Finding(
                f"{place}[{index}]", f"{value!r} is listed twice."
            )
        seen.add(value)


def _check_reference(
    place: str, kind: str, name: str, known: set[str]
) -> Iterator[data.Finding]:
    """Yields a finding when a referenced name does not exist."""
    if name not in known:
        yield data.Finding(place, f"There is no {kind} named {name!r}.")


def _check_name(
    place: str, name: str, pattern: re.Pattern[str] = _NAME_PATTERN
) -> Iterator[data.Finding]:
    """Yields a finding when a name does not match the pattern."""
    if not pattern.fullmatch(name):
        yield data.Finding(
            place, f"{name!r} is not a name: it must match {pattern.pattern}."
        )


def _check_hash(place: str, key_hash: str) -> Iterator[data.Finding]:
    """Yields a finding when a string is not a SHA-256 hash in hex."""
    if not _HASH_PATTERN.fullmatch(key_hash):
        yield data.Finding(
            place,
            "The value is not a SHA-256 hash of 64 lower-case hex digits.",
        )


def _check_price(place: str, price: int) -> Iterator[data.Finding]:
    """Yields a finding when a price is out of range."""
    yield from _check_range(place, price, 0, _MAX_PRICE_TOKENS)


def _check_range(
    place: str, value: float, lowest: float, highest: float
) -> Iterator[data.Finding]:
    """Yields a finding when a number is out of range or NaN."""
    if not lowest <= value <= highest:
        yield data.Finding(
            place, f"{value} is not between {lowest} and {highest}."
        )


@functools.cache
def _list_time_zones() -> frozenset[str]:
    """Returns the names of all IANA time zones."""
    return frozenset(zoneinfo.available_timezones())


def is_time_zone(name: str) -> bool:
    """Returns whether a name is an IANA time zone."""
    return name in _list_time_zones()


def is_address(address: str) -> bool:
    """Returns whether a string is an IP address and a port."""
    host, separator, port = address.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        return False
    if len(port) > 5 or not 1 <= int(port) <= 65_535:
        return False
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
