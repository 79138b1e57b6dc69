"""What a holder reports to the shell that drives it."""

import dataclasses
from typing import TypeAlias

from redwingchute.core import data
from redwingchute.core import outcomes
from redwingchute.core import spending


@dataclasses.dataclass(frozen=True)
class AdmissionEnded:
    """A request was admitted, may rerun free of charge, or is refused."""

    charge_id: int
    result: spending.Admission


@dataclasses.dataclass(frozen=True)
class SettlementEnded:
    """The answer of a request may end now, in this way."""

    charge_id: int
    result: spending.Settlement


@dataclasses.dataclass(frozen=True)
class ClaimEnded:
    """The claim of a call that may not be repeated was decided."""

    charge_id: int
    result: spending.ClaimResult


@dataclasses.dataclass(frozen=True)
class BillKept:
    """An answer ended, or reserve changed hands, without the ledger.

    Siblings should hold a copy of the entry.
    """

    bill: spending.UnloggedEntry


@dataclasses.dataclass(frozen=True)
class ReserveWanted:
    """Siblings should be asked for reserve."""

    request: spending.TransferRequest


@dataclasses.dataclass(frozen=True)
class BillDelivered:
    """A kept entry is in the log; siblings may forget it."""

    key: data.KeyDigest


@dataclasses.dataclass(frozen=True)
class BillRefused:
    """The log refused a bill whose answer has ended; it must be looked at."""

    bill: data.Settle | data.RecordOutcome
    code: data.VerdictCode


@dataclasses.dataclass(frozen=True)
class HolderRetired:
    """The ledger has retired this incarnation; a successor must take over."""

    holder: data.Incarnation


Event: TypeAlias = (
    AdmissionEnded
    | SettlementEnded
    | ClaimEnded
    | BillKept
    | BillDelivered
    | ReserveWanted
    | BillRefused
    | HolderRetired
)


def refuse_unreachable(retry_after_ms: int) -> outcomes.NotRun:
    """Returns the refusal for a ledger that is out of reach."""
    return outcomes.NotRun(
        503,
        "ledger_unreachable",
        "The ledger is out of reach and no reserve of the budget is left here.",
        retry_after_ms,
    )


def refuse_exhausted(
    available_tokens: int, retry_after_ms: int | None = None
) -> outcomes.NotRun:
    """Returns the refusal for a budget without tokens for the request."""
    return outcomes.NotRun(
        402,
        "budget_exhausted",
        "The budget does not cover the request's upper bound; "
        f"{available_tokens} tokens are left.",
        retry_after_ms,
    )


def refuse_body_mismatch() -> outcomes.NotRun:
    """Returns the refusal for a key that was used with another body."""
    return outcomes.NotRun(
        422,
        "idempotency_key_reused",
        "The idempotency key was used before with another body.",
    )


def refuse_in_flight(retry_after_ms: int) -> outcomes.NotRun:
    """Returns the refusal for a key whose request is still running here."""
    return outcomes.NotRun(
        409,
        "idempotency_key_in_flight",
        "A request with this idempotency key is still running.",
        retry_after_ms,
    )


def refuse_reruns() -> outcomes.NotRun:
    """Returns the refusal for a key that was run too often."""
    return outcomes.NotRun(
        409,
        "too_many_reruns",
        "The request with this idempotency key was run too often.",
    )


def refuse_expired() -> outcomes.NotRun:
    """Returns the refusal for a key that is older than keys are kept."""
    return outcomes.NotRun(
        409,
        "idempotency_key_expired",
        "The idempotency key is older than the ledger keeps outcomes.",
    )


def refuse_unknown_budget() -> outcomes.NotRun:
    """Returns the refusal for a budget that was never credited."""
    return outcomes.NotRun(
        402, "unknown_budget", "The budget was never credited."
    )
