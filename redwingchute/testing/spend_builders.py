"""Builds charges, and replies of a shard's owner, for tests of spending."""

from typing import Any

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import holder
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import outbox

BUDGET = "yield-books"
SHARD = 0
INCARNATION = 77


def make_holder(now_ms: int = 0) -> holder.Holder:
    """Returns a holder without tokens."""
    return holder.Holder(SHARD, INCARNATION, "huon-1", now_ms)


def make_charge(
    charge_id: int,
    bound_tokens: int = 100,
    deadline_ms: int = 10_000,
    has_caller_key: bool = False,
    is_repeatable: bool = True,
    body_digest: bytes = b"body",
    key: bytes | None = None,
) -> spending.Charge:
    """Returns a charge, with a key made from its id unless one is given."""
    request = spending.ChargeRequest(
        budget=BUDGET,
        key=key or b"key-%d" % charge_id,
        body_digest=body_digest,
        bound_tokens=bound_tokens,
        has_caller_key=has_caller_key,
        is_repeatable=is_repeatable,
    )
    return spending.Charge(charge_id, request, deadline_ms)


def make_grant(
    lease_total_tokens: int = 0,
    reserve_total_tokens: int = 0,
    available_tokens: int = 0,
) -> data.Granted:
    """Returns a grant that raises the totals to these values."""
    return data.Granted(
        budget=BUDGET,
        lease_tokens=0,
        reserve_tokens=0,
        available_tokens=available_tokens,
        lease_ms=1_000,
        lease_total_tokens=lease_total_tokens,
        reserve_total_tokens=reserve_total_tokens,
    )


def make_reply(
    verdicts: tuple[data.VerdictCode, ...] = (),
    grants: tuple[data.Granted, ...] = (),
    reports: tuple[data.KeyReport, ...] = (),
    is_holder_retired: bool = False,
) -> data.LedgerReply:
    """Returns the reply of an owner that handled a call."""
    return data.LedgerReply(
        SHARD,
        1,
        data.CallStatus.HANDLED,
        verdicts=tuple(data.Verdict(code) for code in verdicts),
        grants=grants,
        reports=reports,
        is_holder_retired=is_holder_retired,
    )


def expect_call(subject: holder.Holder, now_ms: int = 0) -> outbox.OutgoingCall:
    """Returns the next call of a holder; fails if there is none."""
    call = subject.next_call(now_ms)
    assert call is not None
    return call


def make_funded_holder(
    lease_tokens: int = 0, reserve_tokens: int = 0
) -> holder.Holder:
    """Returns a holder that was granted tokens at time 0."""
    subject = make_holder()
    subject.register_budget(BUDGET, 0)
    call = expect_call(subject)
    grant = make_grant(lease_tokens, reserve_tokens)
    subject.handle_reply(call.call_id, make_reply(grants=(grant,)), 0)
    return subject


def admit(
    subject: holder.Holder, charge: spending.Charge, now_ms: int = 0
) -> list[Any]:
    """Admits a charge and returns the results reported since, in order."""
    subject.admit(charge, now_ms)
    return pop_results(subject)


def pop_results(subject: holder.Holder) -> list[Any]:
    """Removes and returns the results reported so far, in order."""
    kinds = (
        holder_events.AdmissionEnded,
        holder_events.SettlementEnded,
        holder_events.ClaimEnded,
    )
    return [
        event.result
        for event in subject.pop_events()
        if isinstance(event, kinds)
    ]
