"""Audits the ledger's streams of a scenario, independently of the routers.

The audit folds the platform's streams from the first record. After each record
it checks that no budget is overspent. It records every bill that took effect,
so that bills can be compared with the responses that callers received.
"""

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import fold
from redwingchute.wire import codec
from redwingchute.wire import registry


@attrs.frozen
class Bill:
    """A bill that took effect."""

    budget: str
    key: bytes
    tokens: int


@attrs.define
class Audit:
    """The results of an audit.

    Attributes:
      settled_tokens: The settled tokens, by budget.
      credited_tokens: The sum of accepted credits, by budget.
      bills: The bills that took effect, in the order of each stream.
      findings: The violations of invariants.
    """

    settled_tokens: dict[str, int] = attrs.field(factory=dict)
    credited_tokens: dict[str, int] = attrs.field(factory=dict)
    bills: list[Bill] = attrs.field(factory=list)
    findings: list[str] = attrs.field(factory=list)


def audit_streams(streams: dict[str, list[bytes]]) -> Audit:
    """Returns the audit of all ledger streams.

    Args:
      streams: All records of each stream, by its name.
    """
    audit = Audit()
    wire_codec = registry.make_codec()
    for name in sorted(streams):
        if name.startswith("ledger-"):
            _audit_stream(name, streams[name], wire_codec, audit)
    _check_bills(audit)
    return audit


def _audit_stream(
    name: str, records: list[bytes], wire_codec: codec.Codec, audit: Audit
) -> None:
    """Folds one stream and adds its bills, sums and findings."""
    shard_fold = fold.ShardFold()
    for offset, body in enumerate(records):
        decoded = wire_codec.decode(body)
        if not isinstance(decoded, codec.Decoded):
            audit.findings.append(f"{name}/{offset}: the record is unreadable")
            continue
        verdicts = shard_fold.apply(offset, decoded.record)
        if isinstance(decoded.record, data.Batch):
            _record_bills(decoded.record, verdicts, audit)
        _check_balances(f"{name}/{offset}", shard_fold, audit)
    for budget, account in shard_fold.budgets.items():
        audit.settled_tokens[budget] = account.settled_tokens


def _record_bills(
    batch: data.Batch, verdicts: tuple[data.Verdict, ...], audit: Audit
) -> None:
    """Adds the bills and credits of a batch that took effect."""
    for entry, verdict in zip(batch.entries, verdicts, strict=True):
        if verdict.code is not data.VerdictCode.ACCEPTED:
            continue
        match entry:
            case data.Credit():
                credited = audit.credited_tokens.get(entry.budget, 0)
                audit.credited_tokens[entry.budget] = credited + entry.tokens
            case data.RecordOutcome(status=data.OutcomeStatus.NOT_RUN):
                pass
            case data.Settle() | data.RecordOutcome():
                bill = Bill(entry.budget, entry.key, entry.tokens)
                audit.bills.append(bill)
            case _:
                pass


def _check_balances(
    location: str, shard_fold: fold.ShardFold, audit: Audit
) -> None:
    """Adds a finding for each budget that is overcommitted."""
    for balance in shard_fold.report_balances(""):
        used_tokens = (
            balance.settled_tokens
            + balance.leased_tokens
            + balance.reserved_tokens
            + balance.unaccounted_tokens
        )
        if used_tokens > balance.credited_tokens:
            audit.findings.append(
                f"{location}: budget {balance.budget} has {used_tokens} tokens "
                f"in use of {balance.credited_tokens} credited"
            )


def _check_bills(audit: Audit) -> None:
    """Adds a finding for each budget whose bills exceed its credits."""
    for budget, credited_tokens in audit.credited_tokens.items():
        billed_tokens = sum(
            bill.tokens for bill in audit.bills if bill.budget == budget
        )
        if billed_tokens > credited_tokens:
            audit.findings.append(
                f"budget {budget}: {billed_tokens} tokens are billed of "
                f"{credited_tokens} credited"
            )
