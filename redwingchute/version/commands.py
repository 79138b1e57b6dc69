"""The commands of the operators' language, as the parser returns them.

A query is a `Show`. Everything else is a `Command`, whose action is either a
configuration change or one of the actions on the ledger and the quarantine.
"""

import enum
from typing import TypeAlias

import attrs

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.version import changes


class Subject(enum.StrEnum):
    """What `show` can show."""

    SPENT = "spent"
    RUNNING = "running"
    IN_FORCE = "in force"
    HOSTS = "hosts"
    UPSTREAMS = "upstreams"
    QUARANTINE = "quarantine"
    UNACCOUNTED = "unaccounted"
    AUDIT = "audit"
    ACCOUNTS = "accounts"
    BUDGETS = "budgets"
    MODELS = "models"
    SERVICES = "services"
    OPERATORS = "operators"
    DOCUMENT = "document"


COLUMNS: dict[Subject, tuple[str, ...]] = {
    Subject.SPENT: (
        "budget",
        "account",
        "credited_tokens",
        "settled_tokens",
        "leased_tokens",
        "reserved_tokens",
        "unaccounted_tokens",
        "available_tokens",
    ),
    Subject.RUNNING: (
        "host",
        "zone",
        "account",
        "pool",
        "kind",
        "upstream",
        "state",
        "running_ms",
    ),
    Subject.IN_FORCE: ("host", "zone", "version", "is_newest", "age_ms"),
    Subject.HOSTS: (
        "host",
        "zone",
        "state",
        "peer_address",
        "incarnation",
        "unreachable_ms",
    ),
    Subject.UPSTREAMS: (
        "upstream",
        "pool",
        "zone",
        "address",
        "state",
        "running",
        "queued",
        "slots",
        "age_ms",
    ),
    Subject.QUARANTINE: ("account", "digest", "until", "author"),
    Subject.UNACCOUNTED: ("budget", "holder", "host", "tokens"),
    Subject.AUDIT: (
        "time",
        "author",
        "action",
        "subject",
        "outcome",
        "version",
        "reason",
        "before",
        "after",
        "message",
        "record",
    ),
    Subject.ACCOUNTS: (
        "account",
        "budget",
        "models",
        "services",
        "time_zone",
        "keys",
        "rules",
        "suspended",
    ),
    Subject.BUDGETS: ("budget", "account", "reserve_share", "lease_horizon_ms"),
    Subject.MODELS: (
        "model",
        "upstreams",
        "max_output_tokens",
        "prompt_price",
        "output_price",
    ),
    Subject.SERVICES: ("service", "upstreams", "repeatable", "call_price"),
    Subject.OPERATORS: ("operator", "role"),
    Subject.DOCUMENT: ("document",),
}


class Comparison(enum.StrEnum):
    """How a filter compares a column with its value."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    GREATER = ">"
    AT_LEAST = ">="


@attrs.frozen
class Filter:
    """One condition of a query.

    Attributes:
      column: The column's name.
      comparison: How to compare.
      value: A text, or a number.
    """

    column: str
    comparison: Comparison
    value: str | float


@attrs.frozen
class Show:
    """A query.

    Attributes:
      subject: What to show.
      filters: Conditions that every row must meet.
      limit: The most rows to show, or 0 for all.
    """

    subject: Subject
    filters: tuple[Filter, ...] = ()
    limit: int = 0


@attrs.frozen
class TopUpBudget:
    """Credits a budget; a repeated reference has no effect."""

    budget: str
    tokens: int
    reference: str


@attrs.frozen
class ReduceBudget:
    """Takes free tokens from a budget; a repeated reference has no effect."""

    budget: str
    tokens: int
    reference: str


@attrs.frozen
class ReleaseUnaccounted:
    """Frees unaccounted tokens of a retired holder, once per reference."""

    budget: str
    holder: data.Incarnation
    tokens: int
    reference: str


@attrs.frozen
class ResolveCall:
    """Decides on a call whose outcome is unknown.

    Attributes:
      account: The client account that called.
      idempotency_key: The key of the call, as the caller sent it.
      status: What the operator found out.
    """

    account: str
    idempotency_key: str
    status: data.OutcomeStatus


@attrs.frozen
class LiftQuarantine:
    """Lets a quarantined request of a client account run again."""

    account: str
    digest: bytes


Action: TypeAlias = (
    changes.Change
    | TopUpBudget
    | ReduceBudget
    | ReleaseUnaccounted
    | ResolveCall
    | LiftQuarantine
)


@attrs.frozen
class Command:
    """A command that changes something.

    Attributes:
      action: What to do.
      reason: Why, for the audit trail.
      expected_version: The configuration version that it was made against, or
        0 for any.
    """

    action: Action
    reason: str
    expected_version: int = 0


Statement: TypeAlias = Show | Command

_BUDGET_ACTIONS = (
    TopUpBudget,
    ReduceBudget,
    ReleaseUnaccounted,
    ResolveCall,
)


def find_required_role(statement: Statement) -> configuration.Role:
    """Returns the least role that may give a statement."""
    match statement:
        case Show(Subject.DOCUMENT):
            return configuration.Role.ADMIN
        case Show():
            return configuration.Role.READ
        case Command(action) if isinstance(action, _BUDGET_ACTIONS):
            return configuration.Role.BUDGET
        case Command():
            return configuration.Role.ADMIN
