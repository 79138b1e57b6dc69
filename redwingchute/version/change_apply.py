"""Applies one change to a configuration, without validating the result.

Each change builds a new configuration that shares the unchanged parts with the
old one. `describe_change` gives the part that an audit entry shows.
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
      message: A full sentence for the operator.
    """

    message: str


def apply_change(
    source: configuration.Configuration, change: changes.Change, version: int
) -> configuration.Configuration:
    """Returns the configuration that a change makes.

    Args:
      source: The version in force.
      change: The change.
      version: The version of the result.

    Raises:
      ChangeError: The change names something that does not exist, or its
        document cannot be read.
    """
    match change:
        case changes.ReplaceDocument(document):
            return _load_document(document, version)
        case changes.PutModel(model):
            result = attrs.evolve(source, models=_put(source.models, model))
        case changes.PutService(service):
            result = attrs.evolve(
                source, services=_put(source.services, service)
            )
        case changes.PutBudget(budget):
            result = attrs.evolve(source, budgets=_put(source.budgets, budget))
        case changes.SetReserve(name, share):
            result = attrs.evolve(
                source,
                budgets=_edit(
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
                source, operators=_put(source.operators, operator)
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
    """Returns the client accounts after a change of one of them."""
    match change:
        case changes.PutClientAccount(account):
            return _put(accounts, account)
        case changes.CreateClientAccount(account):
            if any(known.name == account.name for known in accounts):
                raise ChangeError(
                    f"There is already a client account {account.name!r}."
                )
            return (*accounts, account)
        case _:
            return _edit(
                accounts,
                "client account",
                change.account,
                lambda account: _change_account(account, change),
            )


def _change_account(
    account: configuration.ClientAccount, change: Any
) -> configuration.ClientAccount:
    """Returns one client account after a change of one of its fields."""
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
            hashes = _add(account.key_hashes, key_hash)
            return attrs.evolve(account, key_hashes=hashes)
        case changes.RemoveClientKey(_, key_hash):
            hashes = _remove(account.key_hashes, key_hash)
            return attrs.evolve(account, key_hashes=hashes)
        case changes.AllowModel(_, model):
            return attrs.evolve(account, models=_add(account.models, model))
        case changes.ForbidModel(_, model):
            return attrs.evolve(account, models=_remove(account.models, model))
        case changes.AllowService(_, service):
            services = _add(account.services, service)
            return attrs.evolve(account, services=services)
        case changes.ForbidService(_, service):
            services = _remove(account.services, service)
            return attrs.evolve(account, services=services)
        case changes.SetPatience(_, kind, rules):
            kept = [rule for rule in account.patience if rule.kind != kind]
            return attrs.evolve(account, patience=(*kept, *rules))
        case _:
            raise ChangeError(f"{type(change).__name__} is not known here.")


def _load_document(packed: bytes, version: int) -> configuration.Configuration:
    """Loads a whole document; raises ChangeError with all findings."""
    text = loader.decompress_document(packed)
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


def _put(items: tuple[_Item, ...], item: _Item) -> tuple[_Item, ...]:
    """Replaces the item of the same name, or adds it at the end."""
    for index, known in enumerate(items):
        if known.name == item.name:
            return (*items[:index], item, *items[index + 1 :])
    return (*items, item)


def _edit(
    items: tuple[_Item, ...],
    what: str,
    name: str,
    edit: Callable[[_Item], _Item],
) -> tuple[_Item, ...]:
    """Replaces the named item; raises ChangeError when there is none."""
    for index, item in enumerate(items):
        if item.name == name:
            return (*items[:index], edit(item), *items[index + 1 :])
    raise ChangeError(f"There is no {what} named {name!r}.")


def _add(values: tuple[str, ...], value: str) -> tuple[str, ...]:
    """Adds a value that is not there yet."""
    return values if value in values else (*values, value)


def _remove(values: tuple[str, ...], value: str) -> tuple[str, ...]:
    """Removes a value; raises ChangeError when it is not there."""
    if value not in values:
        raise ChangeError(f"{value!r} is not there to be removed.")
    return tuple(known for known in values if known != value)


def _remove_operator(
    source: configuration.Configuration, name: str
) -> configuration.Configuration:
    """Removes an operator; raises ChangeError when there is none."""
    kept = tuple(known for known in source.operators if known.name != name)
    if len(kept) == len(source.operators):
        raise ChangeError(f"There is no operator named {name!r}.")
    return attrs.evolve(source, operators=kept)


def _set_drained(
    source: configuration.Configuration, name: str, is_drained: bool
) -> configuration.Configuration:
    """Drains or returns an upstream; raises ChangeError when unknown."""

    def edit(upstream: configuration.Upstream) -> configuration.Upstream:
        if upstream.name != name:
            return upstream
        return attrs.evolve(upstream, is_drained=is_drained)

    for model in source.models:
        if any(upstream.name == name for upstream in model.upstreams):
            upstreams = tuple(map(edit, model.upstreams))
            changed = attrs.evolve(model, upstreams=upstreams)
            return attrs.evolve(source, models=_put(source.models, changed))
    for service in source.services:
        if any(upstream.name == name for upstream in service.upstreams):
            upstreams = tuple(map(edit, service.upstreams))
            replaced = attrs.evolve(service, upstreams=upstreams)
            return attrs.evolve(
                source, services=_put(source.services, replaced)
            )
    raise ChangeError(f"There is no upstream named {name!r}.")


def get_action_name(change: changes.Change) -> str:
    """Returns a change's name for the audit trail, such as `allow model`."""
    words = re.findall("[A-Z][a-z]*", type(change).__name__)
    return " ".join(words).lower()


def get_subject_name(change: changes.Change) -> str:
    """Returns the name of what a change is about."""
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
    """Returns the JSON of the part that a change is about.

    Args:
      source: The configuration before or after the change.
      change: The change.

    Returns:
      The part, or empty when it does not exist. Of a whole document only the
      version is given, since the document itself is in the log.
    """
    part = _find_part(source, change)
    return "" if part is None else loader.dump_part(part)


def _find_part(
    source: configuration.Configuration, change: changes.Change
) -> Any:
    """Returns the record that a change is about, or None."""
    subject = get_subject_name(change)
    match change:
        case changes.ReplaceDocument():
            return source.version
        case changes.SetRetry():
            return source.retry
        case changes.PutBudget() | changes.SetReserve():
            return _find(source.budgets, subject)
        case changes.PutModel():
            return _find(source.models, subject)
        case changes.PutService():
            return _find(source.services, subject)
        case changes.PutOperator() | changes.RemoveOperator():
            return _find(source.operators, subject)
        case changes.DrainUpstream() | changes.ReturnUpstream():
            return _find_upstream(source, subject)
        case _:
            return _find(source.client_accounts, subject)


def _find(items: tuple[_Item, ...], name: str) -> _Item | None:
    """Returns the item of a name, or None."""
    return next((item for item in items if item.name == name), None)


def _find_upstream(
    source: configuration.Configuration, name: str
) -> configuration.Upstream | None:
    """Returns the upstream of a name, or None."""
    pools: tuple[configuration.Model | configuration.Service, ...] = (
        *source.models,
        *source.services,
    )
    for pool in pools:
        for upstream in pool.upstreams:
            if upstream.name == name:
                return upstream
    return None
