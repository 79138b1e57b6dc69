"""Applies one change to a configuration, without validating the result.

Each change builds a new configuration that shares the unchanged parts with the
old one. Only a change that replaces the whole document is validated here, when
the document is loaded. `dump_changed_part` returns the part that an audit entry
shows.
"""

from collections.abc import Callable
import re
from typing import Any
from typing import Protocol
from typing import TypeVar

import attrs

from redwingchute.core import configuration
from redwingchute.version import changes
from redwingchute.version import loader


class _Named(Protocol):
    """A part of the configuration that has a name."""

    @property
    def name(self) -> str:
        """The name, unique in its list."""


_Item = TypeVar("_Item", bound=_Named)


@attrs.frozen
class ChangeError(Exception):
    """A change that cannot be applied.

    Attributes:
      message: The reason, as a full sentence for the operator.
    """

    message: str


def apply_change(
    source: configuration.Configuration, change: changes.Change, version: int
) -> configuration.Configuration:
    """Returns the configuration after a change.

    Args:
      source: The configuration in force.
      change: The change.
      version: The version of the result.

    Raises:
      ChangeError: The change refers to something that does not exist or adds
        a name that is in use, its document is not valid, or this release does
        not support it.
    """
    match change:
        case changes.ReplaceDocument(document):
            return _load_document(document, version)
        case changes.PutModel(model):
            result = attrs.evolve(
                source, models=_replace_or_append(source.models, model)
            )
        case changes.PutService(service):
            result = attrs.evolve(
                source, services=_replace_or_append(source.services, service)
            )
        case changes.PutBudget(budget):
            result = attrs.evolve(
                source, budgets=_replace_or_append(source.budgets, budget)
            )
        case changes.SetReserve(name, share):
            result = attrs.evolve(
                source,
                budgets=_replace_item(
                    source.budgets,
                    "budget",
                    name,
                    lambda budget: attrs.evolve(budget, reserve_share=share),
                ),
            )
        case changes.SetRetry(retry):
            result = attrs.evolve(source, retry=retry)
        case changes.PutOperator(operator):
            result = attrs.evolve(
                source, operators=_replace_or_append(source.operators, operator)
            )
        case changes.RemoveOperator(name):
            result = _remove_operator(source, name)
        case changes.DrainUpstream(name):
            result = _set_drained(source, name, True)
        case changes.ReturnUpstream(name):
            result = _set_drained(source, name, False)
        case _:
            accounts = _change_accounts(source.client_accounts, change)
            result = attrs.evolve(source, client_accounts=accounts)
    return attrs.evolve(result, version=version)


def _change_accounts(
    accounts: tuple[configuration.ClientAccount, ...], change: Any
) -> tuple[configuration.ClientAccount, ...]:
    """Returns the client accounts after a change to one of them."""
    match change:
        case changes.PutClientAccount(account):
            return _replace_or_append(accounts, account)
        case changes.CreateClientAccount(account):
            if any(existing.name == account.name for existing in accounts):
                raise ChangeError(
                    f"There is already a client account {account.name!r}."
                )
            return (*accounts, account)
        case _:
            return _replace_item(
                accounts,
                "client account",
                change.account,
                lambda account: _change_account(account, change),
            )


def _change_account(
    account: configuration.ClientAccount, change: Any
) -> configuration.ClientAccount:
    """Returns one client account after a change to one of its fields."""
    match change:
        case changes.SuspendClientAccount():
            return attrs.evolve(account, is_suspended=True)
        case changes.ResumeClientAccount():
            return attrs.evolve(account, is_suspended=False)
        case changes.SetClientAccountBudget(_, budget):
            return attrs.evolve(account, budget=budget)
        case changes.SetClientAccountTimeZone(_, time_zone):
            return attrs.evolve(account, time_zone=time_zone)
        case changes.AddClientKey(_, key_hash):
            hashes = _add_value(account.key_hashes, key_hash)
            return attrs.evolve(account, key_hashes=hashes)
        case changes.RemoveClientKey(_, key_hash):
            hashes = _remove_value(account.key_hashes, key_hash)
            return attrs.evolve(account, key_hashes=hashes)
        case changes.AllowModel(_, model):
            return attrs.evolve(
                account, models=_add_value(account.models, model)
            )
        case changes.ForbidModel(_, model):
            return attrs.evolve(
                account, models=_remove_value(account.models, model)
            )
        case changes.AllowService(_, service):
            services = _add_value(account.services, service)
            return attrs.evolve(account, services=services)
        case changes.ForbidService(_, service):
            services = _remove_value(account.services, service)
            return attrs.evolve(account, services=services)
        case changes.SetPatience(_, kind, rules):
            remaining = [rule for rule in account.patience if rule.kind != kind]
            return attrs.evolve(account, patience=(*remaining, *rules))
        case _:
            raise ChangeError(
                f"The change {type(change).__name__} is not supported."
            )


def _load_document(
    compressed: bytes, version: int
) -> configuration.Configuration:
    """Loads a whole document.

    Raises:
      ChangeError: The document cannot be read or is not valid; the message
        has all findings.
    """
    text = loader.decompress_document(compressed)
    if text is None:
        raise ChangeError("The document is not compressed JSON.")
    loaded, findings = loader.load_configuration(
        text, version, allows_unknown=True
    )
    if loaded is None:
        raise ChangeError(
            " ".join(f"{item.place}: {item.message}" for item in findings)
        )
    return loaded


def _replace_or_append(
    items: tuple[_Item, ...], item: _Item
) -> tuple[_Item, ...]:
    """Replaces the item of the same name, or appends a new item."""
    for index, existing in enumerate(items):
        if existing.name == item.name:
            return (*items[:index], item, *items[index + 1 :])
    return (*items, item)


def _replace_item(
    items: tuple[_Item, ...],
    kind: str,
    name: str,
    edit: Callable[[_Item], _Item],
) -> tuple[_Item, ...]:
    """Replaces the named item with the result of `edit`.

    Raises:
      ChangeError: There is no such item; `kind` names its kind.
    """
    for index, item in enumerate(items):
        if item.name == name:
            return (*items[:index], edit(item), *items[index + 1 :])
    raise ChangeError(f"There is no {kind} named {name!r}.")


def _add_value(values: tuple[str, ...], value: str) -> tuple[str, ...]:
    """Appends a value unless the list has it."""
    return values if value in values else (*values, value)


def _remove_value(values: tuple[str, ...], value: str) -> tuple[str, ...]:
    """Removes a value; raises ChangeError when the list does not have it."""
    if value not in values:
        raise ChangeError(f"{value!r} is not there and cannot be removed.")
    return tuple(existing for existing in values if existing != value)


def _remove_operator(
    source: configuration.Configuration, name: str
) -> configuration.Configuration:
    """Removes an operator; raises ChangeError when there is none."""
    remaining = tuple(
        existing for existing in source.operators if existing.name != name
    )
    if len(remaining) == len(source.operators):
        raise ChangeError(f"There is no operator named {name!r}.")
    return attrs.evolve(source, operators=remaining)


def _set_drained(
    source: configuration.Configuration, name: str, is_drained: bool
) -> configuration.Configuration:
    """Starts or ends draining an upstream.

    Raises:
      ChangeError: There is no upstream of this name.
    """

    def set_drained(upstream: configuration.Upstream) -> configuration.Upstream:
        if upstream.name != name:
            return upstream
        return attrs.evolve(upstream, is_drained=is_drained)

    for model in source.models:
        if any(upstream.name == name for upstream in model.upstreams):
            upstreams = tuple(map(set_drained, model.upstreams))
            changed = attrs.evolve(model, upstreams=upstreams)
            return attrs.evolve(
                source, models=_replace_or_append(source.models, changed)
            )
    for service in source.services:
        if any(upstream.name == name for upstream in service.upstreams):
            upstreams = tuple(map(set_drained, service.upstreams))
            replaced = attrs.evolve(service, upstreams=upstreams)
            return attrs.evolve(
                source, services=_replace_or_append(source.services, replaced)
            )
    raise ChangeError(f"There is no upstream named {name!r}.")


def get_action_name(change: changes.Change) -> str:
    """Returns a change's name in the audit trail, such as `allow model`."""
    words = re.findall("[A-Z][a-z]*", type(change).__name__)
    return " ".join(words).lower()


def get_subject_name(change: changes.Change) -> str:
    """Returns the name of the part of the configuration that a change edits."""
    match change:
        case changes.ReplaceDocument():
            return "configuration"
        case changes.SetRetry():
            return "retry"
        case changes.PutClientAccount(item) | changes.CreateClientAccount(item):
            return item.name
        case changes.PutBudget(budget):
            return budget.name
        case changes.PutModel(model):
            return model.name
        case changes.PutService(service):
            return service.name
        case changes.PutOperator(operator):
            return operator.name
        case changes.SetReserve(name) | changes.RemoveOperator(name):
            return name
        case changes.DrainUpstream(name) | changes.ReturnUpstream(name):
            return name
        case _:
            return change.account


def dump_changed_part(
    source: configuration.Configuration, change: changes.Change
) -> str:
    """Returns the JSON of the part of the configuration that a change edits.

    Args:
      source: The configuration before or after the change.
      change: The change.

    Returns:
      The part, or empty when it does not exist. For a whole document, only the
      version, since the document itself is in the log.
    """
    part = _find_part(source, change)
    return "" if part is None else loader.dump_part(part)


def _find_part(
    source: configuration.Configuration, change: changes.Change
) -> Any:
    """Returns the part of the configuration that a change edits, or None."""
    subject = get_subject_name(change)
    match change:
        case changes.ReplaceDocument():
            return source.version
        case changes.SetRetry():
            return source.retry
        case changes.PutBudget() | changes.SetReserve():
            return _find_item(source.budgets, subject)
        case changes.PutModel():
            return _find_item(source.models, subject)
        case changes.PutService():
            return _find_item(source.services, subject)
        case changes.PutOperator() | changes.RemoveOperator():
            return _find_item(source.operators, subject)
        case changes.DrainUpstream() | changes.ReturnUpstream():
            return _find_upstream(source, subject)
        case _:
            return _find_item(source.client_accounts, subject)


def _find_item(items: tuple[_Item, ...], name: str) -> _Item | None:
    """Returns the item with a name, or None."""
    return next((item for item in items if item.name == name), None)


def _find_upstream(
    source: configuration.Configuration, name: str
) -> configuration.Upstream | None:
    """Returns the upstream with a name, or None."""
    pools: tuple[configuration.Model | configuration.Service, ...] = (
        *source.models,
        *source.services,
    )
    for pool in pools:
        for upstream in pool.upstreams:
            if upstream.name == name:
                return upstream
    return None
