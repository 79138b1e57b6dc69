"""The statements of the operators' command language.

A `Show` is a query. A `Command` has an action: a configuration change or an
action on the ledger or the quarantine.
"""

import enum
from typing import TypeAlias

import attrs

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.version import changes


class Subject(enum.StrEnum):
    """The subjects of a `show` query.

    Attributes:
      SPENT: The balance of each budget.
      RUNNING: The requests in progress on the routers.
      IN_FORCE: The configuration version in force on each router.
      HOSTS: The known routers and whether they are reachable.
      UPSTREAMS: The upstreams with the newest load that a router reported.
      QUARANTINE: The quarantined requests.
      UNACCOUNTED: The unaccounted tokens of each retired holder.
      AUDIT: The audit trail, newest entry first.
      ACCOUNTS: The client accounts in the configuration in force.
      BUDGETS: The budgets in it.
      MODELS: The models in it.
      SERVICES: The plain services in it.
      OPERATORS: The operators in it.
      DOCUMENT: The whole configuration in force as one JSON document.
    """

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


# The columns of the table that answers a query, by its subject.
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
    """The operator by which a filter compares a column with a value."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    GREATER = ">"
    AT_LEAST = ">="


@attrs.frozen
class Filter:
    """One filter of a query.

    Attributes:
      column: The column's name.
      comparison: The comparison operator.
      value: A string or a number.
    """

    column: str
    comparison: Comparison
    value: str | float


@attrs.frozen
class Show:
    """A query.

    Attributes:
      subject: What to show.
      filters: The filters, all of which a row must match.
      limit: The maximum number of rows, or 0 for all.
    """

    subject: Subject
    filters: tuple[Filter, ...] = ()
    limit: int = 0


@attrs.frozen
class TopUpBudget:
    """Credits tokens to a budget, once per reference.

    Attributes:
      budget: The budget's name.
      tokens: The number of tokens.
      reference: An id that the operator chooses, such as an invoice number. A
        top-up with a reference that was used before has no effect.
    """

    budget: str
    tokens: int
    reference: str


@attrs.frozen
class ReduceBudget:
    """Removes free tokens from a budget, once per reference.

    Attributes:
      budget: The budget's name.
      tokens: The number of tokens.
      reference: An id that the operator chooses, as in `TopUpBudget`.
    """

    budget: str
    tokens: int
    reference: str


@attrs.frozen
class ReleaseUnaccounted:
    """Frees unaccounted tokens of a retired holder, once per reference.

    Attributes:
      budget: The budget's name.
      holder: The incarnation number of the holder, which held the tokens as
        reserve.
      tokens: The number of tokens.
      reference: An id that the operator chooses, as in `TopUpBudget`.
    """

    budget: str
    holder: data.Incarnation
    tokens: int
    reference: str


@attrs.frozen
class ResolveCall:
    """Sets the outcome of a call whose outcome is unknown.

    Attributes:
      account: The caller's client account.
      idempotency_key: The idempotency key that the caller sent.
      status: The outcome that the operator determined.
    """

    account: str
    idempotency_key: str
    status: data.OutcomeStatus


@attrs.frozen
class LiftQuarantine:
    """Lifts the quarantine of a request of a client account.

    Attributes:
      account: The client account.
      digest: The digest of the request.
    """

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
    """A command with the reason for it.

    Attributes:
      action: The action.
      reason: The operator's reason, for the audit trail.
      expected_version: The configuration version that the command is based on,
        or 0 for any.
    """

    action: Action
    reason: str
    expected_version: int = 0


Statement: TypeAlias = Show | Command

# The actions that require only the role `budget`.
_BUDGET_ACTIONS = (
    TopUpBudget,
    ReduceBudget,
    ReleaseUnaccounted,
    ResolveCall,
)


def find_required_role(statement: Statement) -> configuration.Role:
    """Returns the lowest role that may run a statement."""
    match statement:
        case Show(Subject.DOCUMENT):
            return configuration.Role.ADMIN
        case Show():
            return configuration.Role.READ
        case Command(action) if isinstance(action, _BUDGET_ACTIONS):
            return configuration.Role.BUDGET
        case Command():
            return configuration.Role.ADMIN
