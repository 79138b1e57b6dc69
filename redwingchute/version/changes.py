"""The records of the `configuration` stream.

Each `ConfigurationChange` holds one change. The order of the records in the
stream, not their times, decides which of two changes is applied first.
`AuditNote` records an operator's action that changes no configuration, or an
attempt that was refused. `ConfigurationCheckpoint` holds the whole state, so
that records before it can be deleted by retention.
"""

import enum
from typing import TypeAlias

import attrs

from redwingchute.core import configuration

# The name of the stream in the shared log.
STREAM = "configuration"


class ChangeCode(enum.IntEnum):
    """The result of a change or of another audited action.

    Attributes:
      APPLIED: The change is in force.
      LOST_RACE: The change expected another version than the one in force.
      INVALID: The change cannot be applied or its result is not valid.
      NOTED: The action, which changes no configuration, was recorded.
      REFUSED: The action was refused.
    """

    APPLIED = 0
    LOST_RACE = 1
    INVALID = 2
    NOTED = 3
    REFUSED = 4


@attrs.frozen
class ReplaceDocument:
    """Replaces the whole configuration with a zlib-compressed JSON document."""

    document: bytes


@attrs.frozen
class PutClientAccount:
    """Creates or replaces a client account."""

    account: configuration.ClientAccount


@attrs.frozen
class CreateClientAccount:
    """Creates a client account; invalid if the name is in use."""

    account: configuration.ClientAccount


@attrs.frozen
class SuspendClientAccount:
    """Suspends a client account: all its requests are refused."""

    account: str


@attrs.frozen
class ResumeClientAccount:
    """Resumes a suspended client account: its requests are accepted again."""

    account: str


@attrs.frozen
class SetClientAccountBudget:
    """Charges the requests of a client account to another budget."""

    account: str
    budget: str


@attrs.frozen
class SetClientAccountTimeZone:
    """Sets the time zone of a client account's patience schedule."""

    account: str
    time_zone: str


@attrs.frozen
class AddClientKey:
    """Adds a bearer key by its SHA-256 hash in hexadecimal."""

    account: str
    key_hash: str


@attrs.frozen
class RemoveClientKey:
    """Removes a bearer key by its SHA-256 hash in hexadecimal."""

    account: str
    key_hash: str


@attrs.frozen
class AllowModel:
    """Allows a client account to use a model."""

    account: str
    model: str


@attrs.frozen
class ForbidModel:
    """Forbids a client account to use a model."""

    account: str
    model: str


@attrs.frozen
class AllowService:
    """Allows a client account to use a plain service."""

    account: str
    service: str


@attrs.frozen
class ForbidService:
    """Forbids a client account to use a plain service."""

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
    """Sets the share of a budget's free remainder that is granted as reserve.

    The share is from 0 to 1.
    """

    budget: str
    reserve_share: float


@attrs.frozen
class SetRetry:
    """Sets the retry policy."""

    retry: configuration.RetryPolicy


@attrs.frozen
class DrainUpstream:
    """Drains an upstream: it gets no new work."""

    upstream: str


@attrs.frozen
class ReturnUpstream:
    """Ends the draining of an upstream: it gets new work again."""

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
    """Removes an operator and the operator's key."""

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
    """A record of the stream: one change with its author and reason.

    Attributes:
      record_id: A random id; a second record with the same id has no effect.
      author: The operator's name.
      reason: The operator's reason, for the audit trail.
      made_at_ms: When the operator issued the command, in Unix time. Used only
        in the audit trail.
      expected_version: The version that the change is based on, or 0 for any.
        The change loses the race when another version is in force.
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
      record_id: A random id; a second record with the same id has no effect.
      author: The operator's name, or empty when the key is unknown.
      reason: The operator's reason; empty if none was given.
      made_at_ms: When the operator issued the command, in Unix time.
      action: The command, for example `top up`.
      subject: The name of what it acted on, for example a budget's name.
      before: The state before the action, as text.
      after: The state after the action, as text.
      is_refused: Whether the action was refused.
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
      version: The version in force after the record.
      record_id: The record's id.
      author: The operator's name.
      reason: The operator's reason.
      made_at_ms: When the operator issued the command, in Unix time.
      code: The result.
      action: The name of the command.
      subject: The name of what it acted on.
      before: The changed part of the configuration before the change, as JSON;
        for an audit note, its `before`.
      after: The same after the change.
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
    """The verdict of the fold on the record with one id.

    Attributes:
      record_id: The id.
      code: The result.
      version: The version that the change made, or else the one in force then.
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
      author: The author of that version.
      document: Its compressed JSON document.
      audit: The newest entries of the audit trail, oldest first.
      verdicts: The newest verdicts, oldest first. With them, a repeated record
        id still has no effect.
      made_at_ms: When the newest checkpoint in the log was made, in Unix time;
        used only to decide when the next one is due.
    """

    next_offset: int
    version: int
    author: str
    document: bytes
    audit: tuple[AuditEntry, ...]
    verdicts: tuple[ChangeVerdict, ...]
    made_at_ms: int = 0


Record: TypeAlias = ConfigurationChange | AuditNote | ConfigurationCheckpoint
