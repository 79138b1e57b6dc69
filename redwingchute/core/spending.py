"""The records with which requests spend tokens of the ledger.

They hold what a request asks to be charged, what was reserved for it, and the
result of its settlement. The messages that routers of one availability zone
exchange about bills and reserves are defined here as well.
"""

import dataclasses
from typing import TypeAlias

import attrs

from redwingchute.core import data
from redwingchute.core import outcomes


@attrs.frozen
class ChargeRequest:
    """A request's charge before it runs.

    Attributes:
      budget: The name of the budget that pays.
      key: The digest of the client account and its idempotency key; a random
        one if the caller sent none.
      body_digest: The digest of the request's body.
      bound_tokens: The maximum cost of the request.
      has_caller_key: Whether the caller sent the key, so that the ledger may
        already have it.
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
      charge_id: Identifies the reservation within its router.
      request: The request for the charge.
      deadline_ms: The deadline of the request.
    """

    charge_id: int
    request: ChargeRequest
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class AlreadySettled:
    """The key was billed before; the request may run again free of charge."""

    request: ChargeRequest


Admission: TypeAlias = Charge | AlreadySettled | outcomes.NotRun


@dataclasses.dataclass(frozen=True)
class Settled:
    """The request is billed; its response may end.

    Attributes:
      tokens: The billed tokens.
      is_durable: Whether the bill is in the log. While the zone is cut off,
        the bill is kept by this router and its siblings and is covered by
        reserve.
    """

    tokens: int
    is_durable: bool


@dataclasses.dataclass(frozen=True)
class SettlementVoid:
    """No tokens cover the request; it must fail and is not billed."""

    message: str


@dataclasses.dataclass(frozen=True)
class SettlementDelayed:
    """The deadline passed before the bill was durable.

    Attributes:
      may_be_billed: Whether the entry was sent, so that it may be or become
        part of the log. A retry with the same key is not billed again.
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
      status: The recorded outcome; UNKNOWN if there is none.
      answer: The recorded response.
    """

    status: data.OutcomeStatus
    answer: bytes


ClaimResult: TypeAlias = Claimed | ClaimRefused | outcomes.NotRun


# The entries of which siblings keep copies until they are in the log.
UnloggedEntry: TypeAlias = data.Settle | data.RecordOutcome | data.Transfer


def get_entry_id(entry: UnloggedEntry) -> bytes:
    """Returns the id of an entry: its idempotency key or its transfer id."""
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
    """A sibling's reply to `HoldBills`: it keeps the bills of these keys."""

    shard: int
    holder: data.Incarnation
    keys: tuple[data.KeyDigest, ...]


@attrs.frozen
class ForgetBills:
    """Notifies siblings that the bills of these keys are in the log."""

    shard: int
    holder: data.Incarnation
    keys: tuple[data.KeyDigest, ...]


@attrs.frozen
class TransferRequest:
    """Asks a sibling for a part of its reserve while the zone is cut off.

    Attributes:
      budget: The name of the budget.
      target: The incarnation that is to receive the reserve.
      transfer_id: An id that the target chooses; a repeated request with the
        same id gets the same reply.
      tokens: The number of requested tokens.
      demand_tokens_per_s: The target's demand, by which the sibling divides
        its reserve between itself and the target.
    """

    budget: str
    target: data.Incarnation
    transfer_id: bytes
    tokens: int
    demand_tokens_per_s: float


@attrs.frozen
class TransferReply:
    """The sibling's reply; `transfer` has 0 tokens if it refuses."""

    transfer: data.Transfer
