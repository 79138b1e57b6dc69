"""Tests of the rules of a shard's fold."""

import pytest

from redwingchute.core import data
from redwingchute.process.ledger import fold
from redwingchute.testing import ledger_builders as build

_CODE = data.VerdictCode
_RESERVE = data.GrantKind.RESERVE


def _make_driver(
    credited: int = 1_000, lease: int = 0, reserve: int = 0
) -> build.FoldDriver:
    driver = build.FoldDriver()
    driver.apply(build.make_credit(credited))
    if lease:
        driver.apply(build.make_grant(lease))
    if reserve:
        driver.apply(build.make_grant(reserve, _RESERVE))
    return driver


def test_second_takeover_of_an_epoch_is_void() -> None:
    driver = build.FoldDriver()
    loser = data.Takeover(b"t", 1, 2, "bruny-1")
    (verdict,) = driver.apply_record(loser)
    assert verdict.code is _CODE.STALE_EPOCH
    assert driver.shard_fold.owner == build.OWNER


def test_batch_of_a_deposed_owner_is_void() -> None:
    driver = _make_driver()
    late = driver.make_batch(build.make_grant(100))
    driver.take_over(2)
    (verdict,) = driver.apply_record(late)
    assert verdict.code is _CODE.STALE_EPOCH
    assert driver.report().leased_tokens == 0


def test_repeated_and_late_batches_take_effect_once() -> None:
    driver = _make_driver()
    first = driver.make_batch(build.make_grant(100))
    second = driver.make_batch(build.make_grant(50))
    driver.apply_record(first)
    driver.apply_record(second)
    for repeat in (second, first):
        (verdict,) = driver.apply_record(repeat)
        assert verdict.code is _CODE.REPEATED
    assert driver.report().leased_tokens == 150


def test_retired_owner_commits_nothing() -> None:
    driver = _make_driver()
    driver.apply(data.Retire(build.OWNER))
    assert driver.apply_one(build.make_grant(1)).code is _CODE.HOLDER_RETIRED


def test_credit_takes_effect_once_per_reference() -> None:
    driver = _make_driver()
    assert driver.apply_one(build.make_credit(1_000)).code is _CODE.REPEATED
    driver.apply(build.make_credit(500, "invoice-2"))
    assert driver.report().credited_tokens == 1_500


def test_refused_reduction_reports_free_tokens_and_may_be_retried() -> None:
    driver = _make_driver(lease=700)
    reduction = build.make_credit(-400, "reduction-1")
    assert driver.apply_one(reduction) == data.Verdict(
        _CODE.INSUFFICIENT_TOKENS, 300
    )
    driver.apply(build.make_give_back(200, 1))
    assert driver.apply_one(reduction).code is _CODE.ACCEPTED
    assert driver.report().credited_tokens == 600


def test_grant_moves_no_more_than_is_free() -> None:
    driver = _make_driver(lease=900)
    verdict = driver.apply_one(build.make_grant(500, _RESERVE))
    assert verdict == data.Verdict(_CODE.ACCEPTED, 100)
    verdict = driver.apply_one(build.make_grant(1))
    assert verdict.code is _CODE.INSUFFICIENT_TOKENS


def test_give_backs_take_effect_once_in_any_order() -> None:
    driver = _make_driver(lease=100)
    for sequence in (2, 1, 2, 1):
        driver.apply(build.make_give_back(10, sequence))
    assert driver.report().leased_tokens == 80


def test_settlement_bills_a_key_once() -> None:
    driver = _make_driver(lease=100)
    assert driver.apply_one(build.make_settle(30)).code is _CODE.ACCEPTED
    assert driver.apply_one(build.make_settle(30)).code is _CODE.REPEATED
    other_body = build.make_settle(30, body=b"body-two")
    assert driver.apply_one(other_body).code is _CODE.BODY_MISMATCH
    balance = driver.report()
    assert (balance.settled_tokens, balance.leased_tokens) == (30, 70)


def test_settlement_beyond_the_grant_is_refused_and_may_be_repeated() -> None:
    driver = _make_driver(lease=10)
    verdict = driver.apply_one(build.make_settle(30))
    assert verdict.code is _CODE.INSUFFICIENT_TOKENS
    driver.apply(build.make_grant(20))
    assert driver.apply_one(build.make_settle(30)).code is _CODE.ACCEPTED


@pytest.mark.parametrize("tokens", [-1, -(2**40)])
def test_negative_amounts_are_refused(tokens: int) -> None:
    driver = _make_driver(lease=100, reserve=100)
    for entry in (
        build.make_settle(tokens),
        build.make_give_back(tokens, 1),
        build.make_grant(tokens),
        build.make_transfer(tokens),
        build.make_release(tokens),
    ):
        assert driver.apply_one(entry).code is not _CODE.ACCEPTED
    assert driver.report().leased_tokens == 100


def test_reruns_of_a_key_are_limited_and_copies_do_not_count() -> None:
    driver = _make_driver(lease=100)
    driver.apply(build.make_settle(1))
    for _ in range(2 * fold.MAX_RERUNS):
        driver.apply(build.make_settle(1))
    lookup = data.Lookup(build.BUDGET, build.make_key(1), b"body-one")
    look_up = driver.shard_fold.look_up
    assert look_up(lookup).state is data.KeyState.SETTLED
    for run in range(1, fold.MAX_RERUNS + 1):
        rerun = build.make_settle(1, settled_at_ms=build.NOW_MS + 1_000 * run)
        assert driver.apply_one(rerun).code is _CODE.REPEATED
    assert look_up(lookup).state is data.KeyState.TOO_MANY_RERUNS
    late = build.make_settle(1, settled_at_ms=build.NOW_MS + 60_000)
    assert driver.apply_one(late).code is _CODE.TOO_MANY_RERUNS


def test_retirement_frees_the_lease_and_makes_reserve_unaccounted() -> None:
    driver = _make_driver(lease=100, reserve=200)
    driver.apply(data.Retire(build.HOLDER))
    balance = driver.report()
    assert balance.leased_tokens == balance.reserved_tokens == 0
    assert balance.unaccounted_tokens == 200
    assert driver.apply_one(build.make_settle(1)).code is _CODE.HOLDER_RETIRED
    assert driver.apply_one(build.make_grant(1)).code is _CODE.HOLDER_RETIRED


def test_late_bill_of_a_retired_holder_deducts_unaccounted_tokens() -> None:
    driver = _make_driver(reserve=200)
    driver.apply(data.Retire(build.HOLDER))
    driver.apply(build.make_settle(50, kind=_RESERVE))
    balance = driver.report()
    assert (balance.settled_tokens, balance.unaccounted_tokens) == (50, 150)


def test_retired_holder_that_is_alive_may_return_its_reserve() -> None:
    driver = _make_driver(reserve=200)
    driver.apply(data.Retire(build.HOLDER))
    driver.apply(build.make_give_back(150, 1, _RESERVE))
    driver.apply(build.make_give_back(150, 1, _RESERVE))
    assert driver.report().unaccounted_tokens == 50


def test_release_applies_to_retired_holders_once_per_reference() -> None:
    driver = _make_driver(reserve=200)
    release = build.make_release(80)
    assert driver.apply_one(release).code is _CODE.NOTHING_TO_RELEASE
    driver.apply(data.Retire(build.HOLDER))
    assert driver.apply_one(release).tokens == 80
    assert driver.apply_one(release).code is _CODE.REPEATED
    assert driver.report().unaccounted_tokens == 120
    rest = build.make_release(500, reference="release-2")
    assert driver.apply_one(rest).tokens == 120


def test_transfer_moves_reserve_once() -> None:
    driver = _make_driver(reserve=200)
    for _ in range(2):
        driver.apply(build.make_transfer(50))
    sibling = build.make_settle(50, kind=_RESERVE, holder=build.SIBLING)
    assert driver.apply_one(sibling).code is _CODE.ACCEPTED
    assert driver.report().reserved_tokens == 150


def test_transfer_of_a_retired_source_deducts_unaccounted_tokens() -> None:
    driver = _make_driver(reserve=200)
    driver.apply(data.Retire(build.HOLDER))
    driver.apply(build.make_transfer(50))
    balance = driver.report()
    assert balance.unaccounted_tokens == 150
    assert balance.reserved_tokens == 50


def test_onward_transfer_may_precede_the_one_that_funded_it() -> None:
    driver = _make_driver(reserve=200)
    onward = build.make_transfer(50, build.SIBLING, 9, b"transfer-2")
    driver.apply(onward)
    settle = build.make_settle(50, kind=_RESERVE, holder=9)
    assert driver.apply_one(settle).code is _CODE.ACCEPTED
    driver.apply(build.make_transfer(50))
    assert driver.report().holders == (
        data.HolderBalance(build.HOLDER, 0, 150, 0),
    )


def test_release_keeps_back_tokens_of_an_overdrawn_sibling() -> None:
    driver = _make_driver(credited=200, reserve=200)
    driver.apply(build.make_transfer(50, build.SIBLING, 9, b"transfer-2"))
    driver.apply(data.Retire(build.HOLDER))
    assert driver.apply_one(build.make_release(200)).tokens == 150


def test_transfer_after_its_source_was_released_is_refused() -> None:
    driver = _make_driver(credited=200, reserve=200)
    driver.apply(data.Retire(build.HOLDER))
    driver.apply(build.make_release(200))
    verdict = driver.apply_one(build.make_transfer(50))
    assert verdict.code is _CODE.INSUFFICIENT_TOKENS


def test_key_is_claimed_once() -> None:
    driver = _make_driver(lease=100)
    assert driver.apply_one(build.make_claim()).code is _CODE.ACCEPTED
    assert driver.apply_one(build.make_claim()).code is _CODE.REPEATED
    other = build.make_claim(claim_id=b"claim-2")
    assert driver.apply_one(other).code is _CODE.ALREADY_CLAIMED
    sibling = build.make_claim(holder=build.SIBLING)
    assert driver.apply_one(sibling).code is _CODE.ALREADY_CLAIMED
    other_body = build.make_claim(body=b"body-two")
    assert driver.apply_one(other_body).code is _CODE.BODY_MISMATCH


def test_recorded_outcome_is_billed_once_and_returned_to_retries() -> None:
    driver = _make_driver(lease=100)
    driver.apply(build.make_claim())
    driver.apply(build.make_outcome(40), build.make_outcome(40))
    assert driver.report().settled_tokens == 40
    retry = driver.apply_one(build.make_claim(claim_id=b"claim-2"))
    assert retry == data.Verdict(
        _CODE.ALREADY_CLAIMED,
        status=data.OutcomeStatus.SUCCEEDED,
        answer=b"posted",
    )


def test_call_that_did_not_run_frees_its_key() -> None:
    driver = _make_driver(lease=100)
    driver.apply(build.make_claim())
    driver.apply(build.make_outcome(0, status=data.OutcomeStatus.NOT_RUN))
    again = build.make_claim(holder=build.SIBLING)
    assert driver.apply_one(again).code is _CODE.ACCEPTED
    late = build.make_outcome(40)
    assert driver.apply_one(late).code is _CODE.NOT_CLAIMED


def test_operator_resolves_an_unknown_outcome_once() -> None:
    driver = _make_driver(lease=100)
    driver.apply(build.make_claim())
    resolve = data.Resolve(
        build.BUDGET,
        build.make_key(1),
        data.OutcomeStatus.SUCCEEDED,
        "ops",
        "seen in the register",
    )
    assert driver.apply_one(resolve).code is _CODE.ACCEPTED
    assert driver.apply_one(resolve).code is _CODE.REPEATED
    lookup = data.Lookup(build.BUDGET, build.make_key(1), b"body-one")
    report = driver.shard_fold.look_up(lookup)
    assert report.state is data.KeyState.OUTCOME_RECORDED


def test_late_copy_of_not_run_does_not_free_a_later_claim() -> None:
    driver = _make_driver(lease=100)
    not_run = build.make_outcome(0, status=data.OutcomeStatus.NOT_RUN)
    driver.apply(build.make_claim(), not_run)
    second = build.make_claim(claim_id=b"claim-2")
    assert driver.apply_one(second).code is _CODE.ACCEPTED
    assert driver.apply_one(not_run).code is _CODE.NOT_CLAIMED
    third = build.make_claim(claim_id=b"claim-3")
    assert driver.apply_one(third).code is _CODE.ALREADY_CLAIMED
