"""Tests of an owner's decisions, step by step."""

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import grant_sizing
from redwingchute.process.ledger import log_outcomes
from redwingchute.process.ledger import owner
from redwingchute.testing import fake_log
from redwingchute.testing import ledger_builders as build
from redwingchute.wire import registry

_STREAM = "ledger-0"
_CODEC = registry.make_codec()
_POLICY = owner.OwnerPolicy(shard_count=1, appends_per_s=10)
_RIVAL = 5


class _Driver:
    """Runs one owner step by step with a log in memory."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000
        self.log = fake_log.FakeLog()
        self.owner = owner.ShardOwner(
            0,
            build.OWNER,
            "huon-1",
            _POLICY,
            _CODEC,
            grant_sizing.size_grant,
        )
        self.owner.set_proposed(True)
        self.replies: dict[int, data.LedgerReply] = {}
        self.call_count = 0

    def call(self, call: data.LedgerCall) -> int:
        self.call_count += 1
        self.owner.handle_call(self.now_ms, self.call_count, call)
        self._collect()
        return self.call_count

    def append(self) -> None:
        self.now_ms += 200
        record = self.owner.next_append(self.now_ms)
        if record is not None:
            outcome = self.log.append(_STREAM, _CODEC.encode(record))
            self.owner.handle_append_outcome(self.now_ms, outcome)

    def read(self) -> None:
        planned = self.owner.begin_read()
        outcome = self.log.read(_STREAM, planned.from_offset)
        self.owner.handle_read_outcome(self.now_ms, planned, outcome)
        self._collect()

    def run(self, rounds: int = 4) -> None:
        for _ in range(rounds):
            self.read()
            self.append()
            self.read()

    def lose_log(self) -> None:
        planned = self.owner.begin_read()
        outcome = log_outcomes.LogUnreachable("down")
        self.owner.handle_read_outcome(self.now_ms, planned, outcome)
        self._collect()

    def append_rival_takeover(self) -> None:
        epoch = self.owner.shard_fold.epoch + 1
        record = data.Takeover(b"rival", epoch, _RIVAL, "bruny-1")
        self.log.append(_STREAM, _CODEC.encode(record))

    def _collect(self) -> None:
        for call_reply in self.owner.pop_replies():
            self.replies[call_reply.call_id] = call_reply.reply


def _make_owner_driver() -> _Driver:
    driver = _Driver()
    driver.run()
    driver.call(build.make_call(build.make_credit(1_000)))
    driver.run()
    return driver


def test_reply_waits_until_the_record_is_read_back() -> None:
    driver = _make_owner_driver()
    call_id = driver.call(build.make_call(asks=(build.make_ask(100),)))
    driver.append()
    assert call_id not in driver.replies
    driver.read()
    (granted,) = driver.replies[call_id].grants
    assert granted.lease_tokens == granted.lease_total_tokens == 100


def test_takeover_before_a_record_voids_it() -> None:
    driver = _make_owner_driver()
    call_id = driver.call(build.make_call(asks=(build.make_ask(100),)))
    driver.append_rival_takeover()
    driver.append()
    driver.read()
    reply = driver.replies[call_id]
    assert reply.status is data.CallStatus.NOT_OWNER
    assert reply.owner_host == "bruny-1"
    balance = driver.owner.shard_fold.budgets[build.BUDGET].report("")
    assert balance.leased_tokens == 0


def test_takeover_after_a_record_leaves_it_valid() -> None:
    driver = _make_owner_driver()
    call_id = driver.call(build.make_call(asks=(build.make_ask(100),)))
    driver.append()
    driver.append_rival_takeover()
    driver.read()
    reply = driver.replies[call_id]
    assert reply.status is data.CallStatus.HANDLED
    assert reply.grants[0].lease_tokens == 100


def test_calls_are_refused_at_once_when_the_log_is_down() -> None:
    driver = _make_owner_driver()
    waiting = driver.call(build.make_call(build.make_settle(1)))
    driver.lose_log()
    late = driver.call(build.make_call(build.make_settle(2)))
    for call_id in (waiting, late):
        status = driver.replies[call_id].status
        assert status is data.CallStatus.LOG_UNAVAILABLE


def test_calls_of_a_slow_append_are_refused_in_time() -> None:
    driver = _make_owner_driver()
    call_id = driver.call(build.make_call(build.make_settle(1)))
    driver.now_ms += 200
    assert driver.owner.next_append(driver.now_ms) is not None
    wait_ms = _POLICY.call_timeout_ms + _POLICY.commit_interval_ms
    driver.owner.expire_calls(driver.now_ms + wait_ms + 1)
    driver.read()
    status = driver.replies[call_id].status
    assert status is data.CallStatus.LOG_UNAVAILABLE


def test_callers_may_neither_grant_nor_retire() -> None:
    driver = _make_owner_driver()
    call_id = driver.call(
        build.make_call(
            build.make_grant(500),
            data.Retire(build.SIBLING),
            build.make_credit(7, "invoice-2"),
        )
    )
    driver.run()
    codes = [verdict.code for verdict in driver.replies[call_id].verdicts]
    assert codes == [
        data.VerdictCode.NOT_ALLOWED,
        data.VerdictCode.NOT_ALLOWED,
        data.VerdictCode.ACCEPTED,
    ]
    balance = driver.owner.shard_fold.budgets[build.BUDGET].report("")
    assert balance.leased_tokens == 0


def test_ask_without_a_grant_needs_no_append() -> None:
    driver = _make_owner_driver()
    driver.run()
    driver.call(build.make_call(asks=(build.make_ask(1_000),)))
    driver.run()
    before = driver.log.append_count
    call_id = driver.call(
        build.make_call(asks=(build.make_ask(10),), holder=build.SIBLING)
    )
    driver.run()
    assert driver.replies[call_id].grants[0].lease_tokens == 0
    assert driver.log.append_count == before


def test_holder_declared_dead_while_its_ask_waits_is_retired() -> None:
    for is_appended in (False, True):
        driver = _make_owner_driver()
        driver.call(build.make_call(asks=(build.make_ask(100),)))
        if is_appended:
            driver.append()
        driver.owner.mark_holder_dead(build.HOLDER)
        driver.run()
        assert driver.owner.shard_fold.is_retired(build.HOLDER)
        balance = driver.owner.shard_fold.budgets[build.BUDGET].report("")
        assert balance.leased_tokens == 0


def test_owner_behind_the_trimmed_log_recovers_from_its_checkpoint() -> None:
    driver = _make_owner_driver()
    driver.run()
    page = driver.log.read(_STREAM, 0)
    assert isinstance(page, log_outcomes.Page)
    last = page.next - 1
    call_id = driver.call(build.make_call(build.make_credit(9, "invoice-3")))
    driver.append()
    driver.log.trim(_STREAM, 1)
    driver.owner.follower.next_offset = 0
    driver.run()
    assert driver.owner.shard_fold.offset >= last
    status = driver.replies[call_id].status
    assert status is data.CallStatus.LOG_UNAVAILABLE
    again = driver.call(build.make_call(build.make_credit(9, "invoice-3")))
    driver.run()
    (verdict,) = driver.replies[again].verdicts
    assert verdict.code is data.VerdictCode.REPEATED


def test_large_answers_are_spread_over_several_records() -> None:
    driver = _make_owner_driver()
    calls = []
    for key in range(12):
        outcome = attrs.evolve(
            build.make_outcome(0, key), answer=bytes(range(256)) * 2_000
        )
        call = build.make_call(build.make_claim(key), outcome)
        calls.append(driver.call(call))
    driver.run(20)
    for call_id in calls:
        codes = [each.code for each in driver.replies[call_id].verdicts]
        assert codes == [data.VerdictCode.ACCEPTED] * 2


def test_answer_beyond_the_size_of_a_record_is_left_out() -> None:
    driver = _make_owner_driver()
    outcome = attrs.evolve(
        build.make_outcome(0), answer=bytes(range(256)) * 20_000
    )
    call_id = driver.call(build.make_call(build.make_claim(), outcome))
    driver.run()
    codes = [each.code for each in driver.replies[call_id].verdicts]
    assert codes == [data.VerdictCode.ACCEPTED] * 2


def test_reads_may_wait_only_if_no_append_is_unknown() -> None:
    driver = _make_owner_driver()
    assert driver.owner.begin_read().may_wait
    driver.call(build.make_call(build.make_credit(9, "invoice-3")))
    driver.now_ms += 200
    record = driver.owner.next_append(driver.now_ms)
    assert record is not None
    lost = log_outcomes.AppendUnknown("no response")
    driver.owner.handle_append_outcome(driver.now_ms, lost)
    assert not driver.owner.begin_read().may_wait
    driver.read()
    driver.now_ms += _POLICY.append_retry_delay_ms
    assert driver.owner.next_append(driver.now_ms) == attrs.evolve(record)
