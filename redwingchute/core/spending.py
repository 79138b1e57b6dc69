"""The records and outcomes of the spending side of the ledger.

A request meets the ledger through these: what it asks to be charged, what it
was given, and how its settlement ended. The records that routers of one
availability zone exchange about unsettled bills and reserves are here too.
"""

import dataclasses
from typing import TypeAlias

import attrs

from redwingchute.core import data
from redwingchute.core import outcomes


@attrs.frozen
class ChargeRequest:
    """What a request asks of its budget before it runs.

    Attributes:
      budget: The name of the budget that pays.
      key: The digest of the client account and its idempotency key; a random
        one when the caller sent none.
      body_digest: A digest of the request's body.
      bound_tokens: The most that the request can cost.
      has_caller_key: Whether the caller chose the key, so that it may be
        known to the ledger already.
      is_repeatable: Whether the call may run more than once.
    """

    budget: str
    key: data.KeyDigest
    body_digest: bytes
    bound_tokens: int
    has_caller_key: bool = False
    is_repeatable: bool = True


@attrs.frozen
class Charge:
    """Tokens of a budget that are reserved for one running request.

    Attributes:
      charge_id: Names the reservation within its router.
      request: What was asked.
      deadline_ms: When the request gives up.
    """

    charge_id: int
    request: ChargeRequest
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class AlreadySettled:
    """The key was billed before; the request may run again without charge."""

    request: ChargeRequest


Admission: TypeAlias = Charge | AlreadySettled | outcomes.NotRun


@dataclasses.dataclass(frozen=True)
class Settled:
    """The request is billed; its answer may end.

    Attributes:
      tokens: What was billed.
      is_durable: Whether the bill is in the log. In isolation it is held by
        this router and its siblings and covered by reserve.
    """

    tokens: int
    is_durable: bool


@dataclasses.dataclass(frozen=True)
class SettlementVoid:
    """No tokens cover the request; it must end as failed and is not billed."""

    message: str


@dataclasses.dataclass(frozen=True)
class SettlementDelayed:
    """The deadline passed before the bill was durable.

    Attributes:
      may_be_billed: Whether the entry was sent, so that it may yet be in the
        log. A repeat with the same key costs nothing more.
    """

    may_be_billed: bool


Settlement: TypeAlias = Settled | SettlementVoid | SettlementDelayed


@dataclasses.dataclass(frozen=True)
class Claimed:
    """The single run of the call belongs to this charge."""


@dataclasses.dataclass(frozen=True)
class ClaimRefused:
    """The key was claimed before; the call must not run.

    Attributes:
      status: The recorded outcome, UNKNOWN when there is none.
      answer: The recorded answer.
    """

    status: data.OutcomeStatus
    answer: bytes


ClaimResult: TypeAlias = Claimed | ClaimRefused | outcomes.NotRun


# What siblings keep for each other until it is in the log.
KeptEntry: TypeAlias = data.Settle | data.RecordOutcome | data.Transfer


def identify_entry(entry: KeptEntry) -> bytes:
    """Returns what names a kept entry: its key, or its transfer id."""
    match entry:
        case data.Transfer():
            return entry.transfer_id
        case _:
            return entry.key


@attrs.frozen
class HoldBills:
    """Asks a sibling to keep copies of bills that are not in the log yet."""

    shard: int
    holder: data.Incarnation
    bills: tuple[data.LedgerEntry, ...]


@attrs.frozen
class BillsHeld:
    """A sibling's answer to `HoldBills`: these keys are kept."""

    shard: int
    holder: data.Incarnation
    keys: tuple[data.KeyDigest, ...]


@attrs.frozen
class ForgetBills:
    """Tells siblings that the bills of these keys are in the log."""

    shard: int
    holder: data.Incarnation
    keys: tuple[data.KeyDigest, ...]


@attrs.frozen
class TransferRequest:
    """Asks a sibling of a cut-off zone for part of its reserve.

    Attributes:
      budget: The name of the budget.
      target: The incarnation that would receive the reserve.
      transfer_id: Chosen by the target; a repeat gets the same answer.
      tokens: The wish.
      demand_tokens_per_s: The target's demand, for a fair division.
    """

    budget: str
    target: data.Incarnation
    transfer_id: bytes
    tokens: int
    demand_tokens_per_s: float


@attrs.frozen
class TransferReply:
    """The sibling's answer; `transfer` has 0 tokens when it refuses."""

    transfer: data.Transfer
