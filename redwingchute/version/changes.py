"""The records of the `configuration` stream.

Each `ConfigurationChange` holds one change. The order of the records decides
which of two changes comes first, never their times. `AuditNote` records what
operators did or tried that changes no configuration, and
`ConfigurationCheckpoint` carries the whole state ahead of retention.
"""

import enum
from typing import TypeAlias

import attrs

from redwingchute.core import configuration

# The log's stream that holds these records.
STREAM = "configuration"


class ChangeCode(enum.IntEnum):
    """What became of a change or of another audited action."""

    APPLIED = 0
    LOST_RACE = 1
    INVALID = 2
    NOTED = 3
    REFUSED = 4


@attrs.frozen
class ReplaceDocument:
    """Replaces the whole configuration by a compressed JSON document."""

    document: bytes


@attrs.frozen
class PutClientAccount:
    """Creates or replaces a client account."""

    account: configuration.ClientAccount


@attrs.frozen
class CreateClientAccount:
    """Creates a client account whose name must be new."""

    account: configuration.ClientAccount


@attrs.frozen
class SuspendClientAccount:
    """Refuses all requests of a client account from now on."""

    account: str


@attrs.frozen
class ResumeClientAccount:
    """Takes requests of a suspended client account again."""

    account: str


@attrs.frozen
class SetClientAccountBudget:
    """Charges a client account to another budget."""

    account: str
    budget: str


@attrs.frozen
class SetClientAccountTimeZone:
    """Sets the time zone of a client account's patience schedule."""

    account: str
    time_zone: str


@attrs.frozen
class AddClientKey:
    """Adds a bearer key by its hash."""

    account: str
    key_hash: str


@attrs.frozen
class RemoveClientKey:
    """Withdraws a bearer key by its hash."""

    account: str
    key_hash: str


@attrs.frozen
class AllowModel:
    """Allows a model to a client account."""

    account: str
    model: str


@attrs.frozen
class ForbidModel:
    """Forbids a model to a client account."""

    account: str
    model: str


@attrs.frozen
class AllowService:
    """Allows a plain service to a client account."""

    account: str
    service: str


@attrs.frozen
class ForbidService:
    """Forbids a plain service to a client account."""

    account: str
    service: str


@attrs.frozen
class SetPatience:
    """Replaces a client account's patience rules for one kind of work."""

    account: str
    kind: configuration.WorkKind
    rules: tuple[configuration.PatienceRule, ...]


@attrs.frozen
class PutBudget:
    """Creates or replaces the policy of a budget."""

    budget: configuration.Budget


@attrs.frozen
class SetReserve:
    """Sets the share of a budget's idle remainder placed as reserve."""

    budget: str
    reserve_share: float


@attrs.frozen
class SetRetry:
    """Sets the retry policy."""

    retry: configuration.RetryPolicy


@attrs.frozen
class DrainUpstream:
    """Takes an upstream out of use for new work."""

    upstream: str


@attrs.frozen
class ReturnUpstream:
    """Gives a drained upstream new work again."""

    upstream: str


@attrs.frozen
class PutModel:
    """Creates or replaces a model and its pool."""

    model: configuration.Model


@attrs.frozen
class PutService:
    """Creates or replaces a plain service."""

    service: configuration.Service


@attrs.frozen
class PutOperator:
    """Creates or replaces an operator."""

    operator: configuration.Operator


@attrs.frozen
class RemoveOperator:
    """Withdraws an operator's key."""

    operator: str


Change: TypeAlias = (
    ReplaceDocument
    | PutClientAccount
    | CreateClientAccount
    | SuspendClientAccount
    | ResumeClientAccount
    | SetClientAccountBudget
    | SetClientAccountTimeZone
    | AddClientKey
    | RemoveClientKey
    | AllowModel
    | ForbidModel
    | AllowService
    | ForbidService
    | SetPatience
    | PutBudget
    | SetReserve
    | SetRetry
    | DrainUpstream
    | ReturnUpstream
    | PutModel
    | PutService
    | PutOperator
    | RemoveOperator
)


@attrs.frozen
class ConfigurationChange:
    """A record of the stream: one change, by whom and why.

    Attributes:
      record_id: A random id; a repeated one has no effect.
      author: The operator's name.
      reason: Why, for the audit trail.
      made_at_ms: When the operator gave the command, for the audit trail only.
      expected_version: The version that the change was made against, or 0 for
        any. The change is refused when another version is in force.
      change: The change.
    """

    record_id: bytes
    author: str
    reason: str
    made_at_ms: int
    expected_version: int
    change: Change


@attrs.frozen
class AuditNote:
    """A record of the stream: an action that changes no configuration.

    Attributes:
      record_id: A random id; a repeated one has no effect.
      author: The operator's name, or empty when the key is unknown.
      reason: Why, as far as it was given.
      made_at_ms: When it was tried.
      action: The command, for example `top up`.
      subject: What it was about, for example a budget's name.
      before: What was in force, as text.
      after: What the action made of it, as text.
      is_refused: Whether it was refused.
    """

    record_id: bytes
    author: str
    reason: str
    made_at_ms: int
    action: str
    subject: str
    before: str
    after: str
    is_refused: bool


@attrs.frozen
class AuditEntry:
    """One line of the audit trail.

    Attributes:
      offset: The log offset of the record.
      version: The version in force after it.
      record_id: The record's id.
      author: Who.
      reason: Why.
      made_at_ms: When.
      code: What became of it.
      action: What was asked for.
      subject: What it was about.
      before: The part that it changed, before.
      after: The same part, after.
      message: Why it was refused, or empty.
    """

    offset: int
    version: int
    record_id: bytes
    author: str
    reason: str
    made_at_ms: int
    code: ChangeCode
    action: str
    subject: str
    before: str
    after: str
    message: str


@attrs.frozen
class ChangeVerdict:
    """What the fold decided about one record id.

    Attributes:
      record_id: The id.
      code: What became of it.
      version: The version that it made, or that was in force when it came.
      winner: For a lost race, the author of the version in force.
      message: Why it was refused, or empty.
    """

    record_id: bytes
    code: ChangeCode
    version: int
    winner: str = ""
    message: str = ""


@attrs.frozen
class ConfigurationCheckpoint:
    """A record of the stream: the state of the fold before `next_offset`.

    Attributes:
      next_offset: The offset of the first record that is not in the state.
      version: The version in force.
      author: Who made that version.
      document: Its compressed JSON document.
      audit: The newest entries of the audit trail, oldest first.
      verdicts: The newest verdicts, oldest first, so that repeated record ids
        stay without effect.
      made_at_ms: When the newest checkpoint of the log was made; it tells when
        the next one is due, nothing else.
    """

    next_offset: int
    version: int
    author: str
    document: bytes
    audit: tuple[AuditEntry, ...]
    verdicts: tuple[ChangeVerdict, ...]
    made_at_ms: int = 0


Record: TypeAlias = ConfigurationChange | AuditNote | ConfigurationCheckpoint
