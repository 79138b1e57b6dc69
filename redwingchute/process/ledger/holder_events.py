"""The events that a holder reports to the `ShardClient` that drives it."""

import dataclasses
from typing import TypeAlias

from redwingchute.core import data
from redwingchute.core import outcomes
from redwingchute.core import spending


@dataclasses.dataclass(frozen=True)
class AdmissionEnded:
    """A request is admitted, may rerun free of charge, or is refused."""

    charge_id: int
    result: spending.Admission


@dataclasses.dataclass(frozen=True)
class SettlementEnded:
    """A request's settlement has a result, so that its response may end."""

    charge_id: int
    result: spending.Settlement


@dataclasses.dataclass(frozen=True)
class ClaimEnded:
    """The claim of a call that may not be repeated has a result."""

    charge_id: int
    result: spending.ClaimResult


@dataclasses.dataclass(frozen=True)
class BillCopyRequested:
    """An entry took effect here before it is in the log.

    It is the bill of a request whose settlement ended on reserve, or a
    transfer. Siblings should keep a copy of it.
    """

    bill: spending.UnloggedEntry


@dataclasses.dataclass(frozen=True)
class ReserveRequested:
    """The holder requests reserve from its siblings."""

    request: spending.TransferRequest


@dataclasses.dataclass(frozen=True)
class BillLogged:
    """An entry is in the log; siblings may remove their copies.

    Attributes:
      key: The key of the bill, or the id of the transfer.
    """

    key: data.KeyDigest


@dataclasses.dataclass(frozen=True)
class BillRefused:
    """The ledger refused a bill whose settlement has ended already.

    The request's tokens may stay unbilled, which an operator should examine.
    """

    bill: data.Settle | data.RecordOutcome
    code: data.VerdictCode


@dataclasses.dataclass(frozen=True)
class HolderRetired:
    """The ledger retired this incarnation; a successor must take over."""

    holder: data.Incarnation


Event: TypeAlias = (
    AdmissionEnded
    | SettlementEnded
    | ClaimEnded
    | BillCopyRequested
    | BillLogged
    | ReserveRequested
    | BillRefused
    | HolderRetired
)


def refuse_unreachable(retry_after_ms: int) -> outcomes.NotRun:
    """Returns the refusal while the ledger is unreachable."""
    return outcomes.NotRun(
        503,
        "ledger_unreachable",
        "The ledger is unreachable, and this router has no reserve of the "
        "budget left.",
        retry_after_ms,
    )


def refuse_lookup_timeout(retry_after_ms: int) -> outcomes.NotRun:
    """Returns the refusal while the ledger does not report on a key."""
    return outcomes.NotRun(
        503,
        "ledger_unreachable",
        "The ledger did not report in time whether the request is a repeat.",
        retry_after_ms,
    )


def refuse_exhausted(
    available_tokens: int, retry_after_ms: int | None = None
) -> outcomes.NotRun:
    """Returns the refusal for a budget that cannot cover the request."""
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
    """Returns the refusal for a key whose request ran too many times."""
    return outcomes.NotRun(
        409,
        "too_many_reruns",
        "The request with this idempotency key has run too many times.",
    )


def refuse_expired() -> outcomes.NotRun:
    """Returns the refusal for a key that is older than the claim window."""
    return outcomes.NotRun(
        409,
        "idempotency_key_expired",
        "The idempotency key is older than the ledger's retention of outcomes.",
    )


def refuse_unknown_budget() -> outcomes.NotRun:
    """Returns the refusal for a budget that was never credited."""
    return outcomes.NotRun(
        402, "unknown_budget", "The budget was never credited."
    )
