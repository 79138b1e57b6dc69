"""Tests of a holder's decisions about its leases and reserves."""

import pytest

from redwingchute.core import data
from redwingchute.core import outcomes
from redwingchute.core import spending
from redwingchute.process.ledger import holder
from redwingchute.testing import spend_builders as build

_Code = data.VerdictCode


def _mark_owner_unreachable(subject: holder.Holder, now_ms: int) -> None:
    subject.mark_owner_unreachable(now_ms)
    assert not subject.is_owner_reachable


def _settle_and_reply(
    subject: holder.Holder,
    charge: spending.Charge,
    tokens: int,
    code: data.VerdictCode,
) -> data.Settle:
    subject.settle(charge, tokens, 5)
    call = build.expect_call(subject, 5)
    entry = call.message.entries[0]
    assert isinstance(entry, data.Settle)
    subject.handle_reply(call.call_id, build.make_reply((code,)), 6)
    return entry


def test_request_waits_for_a_lease_that_covers_its_upper_bound() -> None:
    subject = build.make_holder()
    charge = build.make_charge(1, bound_tokens=300)
    assert build.admit(subject, charge) == []
    call = build.expect_call(subject)
    assert call.message.asks[0].lease_tokens >= 300
    grant = build.make_grant(lease_total_tokens=500)
    subject.handle_reply(call.call_id, build.make_reply(grants=(grant,)), 3)
    assert build.pop_results(subject) == [charge]


def test_settlement_ends_with_the_verdict() -> None:
    subject = build.make_funded_holder(lease_tokens=500)
    charge = build.make_charge(1)
    build.admit(subject, charge)
    entry = _settle_and_reply(subject, charge, 40, _Code.ACCEPTED)
    assert (entry.kind, entry.tokens) == (data.GrantKind.LEASE, 40)
    assert build.pop_results(subject) == [spending.Settled(40, True)]
    position = subject.find_position(build.BUDGET)
    assert position is not None
    assert position.count_free(data.GrantKind.LEASE) == 460


def test_a_repeated_reply_grants_nothing_twice() -> None:
    subject = build.make_funded_holder(lease_tokens=500)
    build.admit(subject, build.make_charge(1, bound_tokens=900))
    call = build.expect_call(subject, 100)
    grant = build.make_grant(lease_total_tokens=500)
    subject.handle_reply(call.call_id, build.make_reply(grants=(grant,)), 101)
    position = subject.find_position(build.BUDGET)
    assert position is not None
    assert position.count_held(data.GrantKind.LEASE) == 500


def test_isolated_settlement_ends_on_reserve_and_is_billed_later() -> None:
    subject = build.make_funded_holder(lease_tokens=500, reserve_tokens=100)
    charge = build.make_charge(1)
    build.admit(subject, charge)
    _mark_owner_unreachable(subject, 1)
    subject.settle(charge, 60, 2)
    assert build.pop_results(subject) == [spending.Settled(60, False)]
    call = build.expect_call(subject, 10_000)
    bills = [e for e in call.message.entries if isinstance(e, data.Settle)]
    assert [bill.kind for bill in bills] == [data.GrantKind.RESERVE]


def test_isolated_requests_never_exceed_the_reserve() -> None:
    subject = build.make_funded_holder(lease_tokens=9_000, reserve_tokens=250)
    _mark_owner_unreachable(subject, 1)
    results = [
        build.admit(subject, build.make_charge(number), 1)
        for number in range(1, 4)
    ]
    assert [len(result) for result in results] == [1, 1, 0]
    subject.advance(1_000)
    (refusal,) = build.pop_results(subject)
    assert isinstance(refusal, outcomes.NotRun)
    assert refusal.retry_after_ms is not None


def test_isolated_settlement_beyond_the_reserve_ends_unbilled() -> None:
    subject = build.make_funded_holder(lease_tokens=500, reserve_tokens=30)
    charge = build.make_charge(1, deadline_ms=4_000)
    build.admit(subject, charge)
    _mark_owner_unreachable(subject, 1)
    subject.settle(charge, 60, 2)
    assert build.pop_results(subject) == []
    subject.advance(4_000)
    assert build.pop_results(subject) == [spending.SettlementDelayed(False)]
    call = build.expect_call(subject, 10_000)
    assert not any(isinstance(e, data.Settle) for e in call.message.entries)


def test_request_that_ends_after_its_deadline_is_still_billed() -> None:
    subject = build.make_funded_holder(lease_tokens=500)
    charge = build.make_charge(1, deadline_ms=1_000)
    build.admit(subject, charge)
    subject.settle(charge, 60, 1_200)
    subject.advance(1_200)
    assert build.pop_results(subject) == []
    call = build.expect_call(subject, 1_200)
    reply = build.make_reply((_Code.ACCEPTED,))
    subject.handle_reply(call.call_id, reply, 1_210)
    assert build.pop_results(subject) == [spending.Settled(60, True)]


def test_unreachable_owner_is_probed_with_one_entry() -> None:
    subject = build.make_funded_holder(reserve_tokens=5_000)
    subject.mark_owner_unreachable(1)
    for number in range(1, 30):
        charge = build.make_charge(number)
        build.admit(subject, charge, 2)
        subject.settle(charge, 10, 3)
    call = build.expect_call(subject, 2_000)
    assert len(call.message.entries) == 1
    reply = build.make_reply((_Code.ACCEPTED,))
    subject.handle_reply(call.call_id, reply, 2_010)
    assert len(build.expect_call(subject, 2_010).message.entries) == 28


def test_unreachable_owner_is_probed_often_while_a_request_waits() -> None:
    """In isolation, a request waits for reserve only `isolation_wait_ms`.

    The probes must reach a returning owner within that time.
    """
    subject = build.make_holder()
    subject.register_budget(build.BUDGET, 0)
    subject.mark_owner_unreachable(1_000)
    probe = build.expect_call(subject, 1_500)
    subject.handle_call_failure(probe.call_id, 1_510)
    charge = build.make_charge(1)
    build.admit(subject, charge, 1_600)
    probe = build.expect_call(subject, 1_610)
    assert probe.message.asks[0].lease_tokens >= charge.request.bound_tokens
    reply = build.make_reply(
        (_Code.ACCEPTED,), grants=(build.make_grant(available_tokens=900),)
    )
    subject.handle_reply(probe.call_id, reply, 1_790)
    # The owner is reachable, so the request waits for recalled tokens.
    subject.advance(1_900)
    assert build.pop_results(subject) == []
    call = build.expect_call(subject, 1_900)
    grant = build.make_grant(lease_total_tokens=5_000)
    subject.handle_reply(call.call_id, build.make_reply(grants=(grant,)), 1_950)
    assert build.pop_results(subject) == [charge]


def test_lease_bill_without_a_verdict_is_replaced_by_a_reserve_bill() -> None:
    subject = build.make_funded_holder(lease_tokens=500, reserve_tokens=500)
    charge = build.make_charge(1)
    build.admit(subject, charge)
    subject.settle(charge, 60, 1)
    call = build.expect_call(subject, 1)
    subject.handle_call_failure(call.call_id, 100)
    assert build.pop_results(subject) == []
    subject.advance(2_000)
    assert build.pop_results(subject) == [spending.Settled(60, False)]
    call = build.expect_call(subject, 10_000)
    bills = [e for e in call.message.entries if isinstance(e, data.Settle)]
    assert [bill.kind for bill in bills] == [data.GrantKind.RESERVE]


def test_retired_holder_hands_over_requests_and_returns_its_reserve() -> None:
    subject = build.make_funded_holder(lease_tokens=500, reserve_tokens=400)
    charge = build.make_charge(1)
    build.admit(subject, charge)
    _settle_and_reply(subject, charge, 40, _Code.HOLDER_RETIRED)
    (moved,) = subject.pop_reservations_to_adopt()
    assert moved.charge == charge
    call = build.expect_call(subject, 10)
    assert call.message.entries == (
        data.GiveBack(
            build.BUDGET,
            build.INCARNATION,
            data.GrantKind.RESERVE,
            400,
            1,
        ),
    )
    successor = holder.Holder(build.SHARD, 78, "huon-1", 10)
    successor.adopt(moved, 10)
    call = build.expect_call(successor, 10)
    grant = build.make_grant(lease_total_tokens=100)
    successor.handle_reply(call.call_id, build.make_reply(grants=(grant,)), 11)
    entry = build.expect_call(successor, 11).message.entries[0]
    assert isinstance(entry, data.Settle)
    assert (entry.holder, entry.tokens) == (78, 40)


def test_bill_ended_in_isolation_stays_with_the_retired_holder() -> None:
    subject = build.make_funded_holder(lease_tokens=0, reserve_tokens=400)
    charge = build.make_charge(1)
    build.admit(subject, charge)
    _mark_owner_unreachable(subject, 1)
    subject.settle(charge, 60, 2)
    call = build.expect_call(subject, 10_000)
    subject.handle_reply(
        call.call_id,
        build.make_reply((_Code.ACCEPTED,), is_holder_retired=True),
        10_001,
    )
    assert subject.pop_reservations_to_adopt() == ()
    entry = build.expect_call(subject, 10_002).message.entries[0]
    assert isinstance(entry, data.GiveBack)
    assert entry.tokens == 340


def test_exhausted_budget_is_refused_at_once() -> None:
    subject = build.make_holder()
    build.admit(subject, build.make_charge(1, bound_tokens=300))
    call = build.expect_call(subject)
    grant = build.make_grant(lease_total_tokens=50, available_tokens=20)
    subject.handle_reply(call.call_id, build.make_reply(grants=(grant,)), 3)
    (refusal,) = build.pop_results(subject)
    assert isinstance(refusal, outcomes.NotRun)
    assert refusal.code == "budget_exhausted"


def test_refused_call_is_not_repeated_at_once() -> None:
    """Immediate retries would flood an owner whose log is unavailable."""
    subject = build.make_funded_holder(lease_tokens=500)
    charge = build.make_charge(1)
    build.admit(subject, charge)
    subject.settle(charge, 40, 1_000)
    call = build.expect_call(subject, 1_000)
    refusal = data.LedgerReply(0, 1, data.CallStatus.LOG_UNAVAILABLE)
    subject.handle_reply(call.call_id, refusal, 1_001)
    assert subject.next_call(1_010) is None
    assert subject.next_call(1_100) is not None


def test_recall_returns_only_what_is_free() -> None:
    subject = build.make_funded_holder(reserve_tokens=300)
    build.admit(subject, build.make_charge(1))
    subject.handle_recall(
        data.Recall(build.BUDGET, data.GrantKind.RESERVE, 1_000)
    )
    entry = build.expect_call(subject, 1).message.entries[0]
    assert isinstance(entry, data.GiveBack)
    assert entry.tokens == 200


def test_stop_returns_all_tokens_once_requests_have_ended() -> None:
    subject = build.make_funded_holder(lease_tokens=300)
    charge = build.make_charge(1)
    build.admit(subject, charge)
    subject.begin_stop(1)
    call = build.expect_call(subject, 1)
    reply = build.make_reply((_Code.ACCEPTED,))
    subject.handle_reply(call.call_id, reply, 2)
    assert not subject.is_finished()
    subject.cancel(charge)
    subject.advance(3)
    call = build.expect_call(subject, 3)
    subject.handle_reply(call.call_id, reply, 4)
    assert subject.is_finished()
    position = subject.find_position(build.BUDGET)
    assert position is not None
    assert position.count_held(data.GrantKind.LEASE) == 0


@pytest.mark.parametrize(
    ("state", "expected"),
    [
        (data.KeyState.SETTLED, spending.AlreadySettled),
        (data.KeyState.BODY_MISMATCH, outcomes.NotRun),
        (data.KeyState.TOO_MANY_RERUNS, outcomes.NotRun),
        (data.KeyState.EXPIRED, outcomes.NotRun),
        (data.KeyState.NEW, spending.Charge),
    ],
)
def test_reported_key_state_decides_the_admission(
    state: data.KeyState, expected: type[object]
) -> None:
    subject = build.make_funded_holder(lease_tokens=300)
    charge = build.make_charge(1, has_caller_key=True)
    assert build.admit(subject, charge) == []
    call = build.expect_call(subject, 1)
    assert call.message.lookups[0].key == charge.request.key
    reply = build.make_reply(reports=(data.KeyReport(state),))
    subject.handle_reply(call.call_id, reply, 2)
    (result,) = build.pop_results(subject)
    assert isinstance(result, expected)


def test_local_keys_are_checked_in_isolation() -> None:
    subject = build.make_funded_holder(reserve_tokens=300)
    _mark_owner_unreachable(subject, 0)
    first = build.make_charge(1, has_caller_key=True, key=b"k")
    assert build.admit(subject, first) == [first]
    twin = build.make_charge(2, has_caller_key=True, key=b"k")
    (refusal,) = build.admit(subject, twin)
    assert refusal.status == 409
    subject.settle(first, 10, 1)
    build.pop_results(subject)
    (result,) = build.admit(subject, twin)
    assert isinstance(result, spending.AlreadySettled)
    other = build.make_charge(
        3, has_caller_key=True, key=b"k", body_digest=b"other"
    )
    (refusal,) = build.admit(subject, other)
    assert refusal.status == 422


def test_claim_runs_only_after_its_verdict() -> None:
    subject = build.make_funded_holder(lease_tokens=300)
    charge = build.make_charge(1, is_repeatable=False)
    build.admit(subject, charge)
    subject.claim(charge, 1)
    assert build.pop_results(subject) == []
    call = build.expect_call(subject, 1)
    reply = build.make_reply((_Code.ACCEPTED,))
    subject.handle_reply(call.call_id, reply, 2)
    assert build.pop_results(subject) == [spending.Claimed()]


def test_claim_without_a_reachable_owner_ends_as_not_run() -> None:
    subject = build.make_funded_holder(reserve_tokens=300)
    charge = build.make_charge(1, is_repeatable=False)
    build.admit(subject, charge)
    _mark_owner_unreachable(subject, 1)
    subject.claim(charge, 2)
    (refusal,) = build.pop_results(subject)
    assert isinstance(refusal, outcomes.NotRun)
    assert refusal.retry_after_ms is not None


def test_sent_claim_without_a_verdict_is_recorded_as_not_run() -> None:
    subject = build.make_funded_holder(reserve_tokens=300)
    charge = build.make_charge(1, is_repeatable=False)
    build.admit(subject, charge)
    subject.claim(charge, 1)
    call = build.expect_call(subject, 1)
    subject.handle_call_failure(call.call_id, 2)
    _mark_owner_unreachable(subject, 3)
    (refusal,) = build.pop_results(subject)
    assert isinstance(refusal, outcomes.NotRun)
    entries = build.expect_call(subject, 10_000).message.entries
    outcome_list = [e for e in entries if isinstance(e, data.RecordOutcome)]
    assert [e.status for e in outcome_list] == [data.OutcomeStatus.NOT_RUN]
    assert not any(isinstance(e, data.Claim) for e in entries)


def test_tokens_that_are_being_returned_do_not_count_as_spent() -> None:
    """A recall may be handled before the reply to the ask that caused it.

    The give-back is then not included in the available tokens of the reply.
    """
    subject = build.make_funded_holder(reserve_tokens=40)
    build.admit(subject, build.make_charge(1, bound_tokens=69))
    call = build.expect_call(subject, 100)
    subject.handle_recall(data.Recall(build.BUDGET, data.GrantKind.RESERVE, 40))
    grant = build.make_grant(reserve_total_tokens=40, available_tokens=46)
    subject.handle_reply(call.call_id, build.make_reply(grants=(grant,)), 101)
    assert build.pop_results(subject) == []


def test_lookup_without_a_reply_is_not_refused_as_exhausted() -> None:
    subject = build.make_funded_holder(lease_tokens=9_000)
    charge = build.make_charge(1, deadline_ms=500, has_caller_key=True)
    assert build.admit(subject, charge) == []
    build.expect_call(subject, 0)
    subject.advance(500)
    (result,) = build.pop_results(subject)
    assert isinstance(result, outcomes.NotRun)
    assert (result.status, result.code) == (503, "ledger_unreachable")


def test_recalls_of_lease_and_reserve_are_returned_together() -> None:
    subject = build.make_funded_holder(lease_tokens=500, reserve_tokens=500)
    for kind in (data.GrantKind.RESERVE, data.GrantKind.LEASE):
        subject.handle_recall(data.Recall(build.BUDGET, kind, 500))
    entries = build.expect_call(subject, 1).message.entries
    returned = {
        entry.kind: entry.tokens
        for entry in entries
        if isinstance(entry, data.GiveBack)
    }
    assert returned == {
        data.GrantKind.LEASE: 500,
        data.GrantKind.RESERVE: 500,
    }
