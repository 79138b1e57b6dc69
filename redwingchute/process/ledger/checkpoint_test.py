"""Tests of checkpoints and of recovery from them."""

import attrs
import pytest

from redwingchute.core import data
from redwingchute.process.ledger import checkpoint
from redwingchute.process.ledger import fold
from redwingchute.process.ledger import follower
from redwingchute.process.ledger import log_outcomes
from redwingchute.testing import fake_log
from redwingchute.testing import ledger_builders as build
from redwingchute.wire import codec
from redwingchute.wire import registry

_STREAM = "ledger-0"
_RESERVE = data.GrantKind.RESERVE


def _apply_sample_entries(driver: build.FoldDriver) -> None:
    driver.apply(build.make_credit(10_000))
    driver.apply(
        build.make_grant(500),
        build.make_grant(400, _RESERVE),
        build.make_grant(300, _RESERVE, build.SIBLING),
        build.make_grant(200, _RESERVE, 9),
    )
    driver.apply(
        build.make_give_back(10, 1),
        build.make_give_back(10, 3),
        build.make_settle(30),
        build.make_settle(20, 2, _RESERVE),
        build.make_claim(3),
        build.make_claim(4),
        build.make_outcome(5, 4),
        build.make_transfer(25),
        data.Retire(9),
        build.make_release(50, 9),
    )


def _append(
    log: fake_log.FakeLog, wire_codec: codec.Codec, record: object
) -> int:
    return log.append(_STREAM, wire_codec.encode(record)).offset


def _read_to_end(
    log: fake_log.FakeLog,
    reader: follower.ShardFollower,
    limit: int = 3,
) -> None:
    while True:
        outcome = log.read(_STREAM, reader.next_offset, limit)
        if isinstance(outcome, log_outcomes.Trimmed):
            reader.handle_trimmed(outcome)
            continue
        reader.apply_page(outcome)
        if reader.next_offset >= outcome.next:
            return


def test_restored_fold_gives_the_same_verdicts() -> None:
    driver = build.FoldDriver()
    _apply_sample_entries(driver)
    saved = checkpoint.save_fold(driver.shard_fold)
    copy = checkpoint.load_fold(saved, driver.shard_fold.offset)
    assert checkpoint.save_fold(copy) == saved
    batch = driver.make_batch(
        build.make_credit(10_000),
        build.make_give_back(10, 3),
        build.make_give_back(10, 2),
        build.make_settle(30),
        build.make_settle(30, 9),
        build.make_claim(3),
        build.make_outcome(7, 3),
        build.make_transfer(25),
        build.make_release(50, 9),
        build.make_release(50, 9, "release-2"),
        build.make_settle(1, 10, holder=9),
    )
    offset = driver.shard_fold.offset + 1
    assert copy.apply(offset, batch) == driver.apply_record(batch)
    assert checkpoint.save_fold(copy) == checkpoint.save_fold(driver.shard_fold)


@pytest.mark.parametrize("part_bytes", [50, 100_000])
def test_reader_recovers_from_a_checkpoint_and_the_tail(
    part_bytes: int,
) -> None:
    wire_codec = registry.make_codec()
    log = fake_log.FakeLog()
    driver = build.FoldDriver()
    _apply_sample_entries(driver)
    for _ in range(driver.shard_fold.offset + 1):
        log.append(_STREAM, b"dropped before the reader comes")
    parts = checkpoint.split_fold(
        driver.shard_fold, b"checkpoint", wire_codec, part_bytes
    )
    between = driver.make_batch(build.make_settle(11, 21))
    last = driver.make_batch(build.make_settle(12, 22))
    records: list[fold.Record] = [parts[0], between, *parts[1:], last]
    for record in records:
        driver.apply_record(record)
        _append(log, wire_codec, record)
    log.trim(_STREAM, driver.shard_fold.offset - len(parts) - 1)
    reader = follower.ShardFollower(wire_codec)
    _read_to_end(log, reader)
    assert reader.state is follower.FollowState.CURRENT
    assert checkpoint.save_fold(reader.shard_fold) == checkpoint.save_fold(
        driver.shard_fold
    )


def test_checkpoint_followed_by_a_gap_is_not_used() -> None:
    wire_codec = registry.make_codec()
    log = fake_log.FakeLog()
    driver = build.FoldDriver()
    driver.apply(build.make_credit(10_000))
    for _ in range(2):
        log.append(_STREAM, b"folded by the writer")
    parts = checkpoint.split_fold(driver.shard_fold, b"checkpoint", wire_codec)
    _append(log, wire_codec, driver.make_batch(build.make_grant(500)))
    for part in parts:
        _append(log, wire_codec, part)
    log.trim(_STREAM, 3)
    reader = follower.ShardFollower(wire_codec)
    _read_to_end(log, reader)
    assert reader.state is follower.FollowState.STATE_LOST


def test_incomplete_checkpoint_is_not_used() -> None:
    wire_codec = registry.make_codec()
    log = fake_log.FakeLog()
    driver = build.FoldDriver()
    _apply_sample_entries(driver)
    log.append(_STREAM, b"folded by the writer")
    parts = checkpoint.split_fold(
        driver.shard_fold, b"checkpoint", wire_codec, 50
    )
    for part in parts[:-1]:
        _append(log, wire_codec, attrs.evolve(part, as_of_offset=0))
    log.trim(_STREAM, 1)
    reader = follower.ShardFollower(wire_codec)
    _read_to_end(log, reader)
    assert reader.state is follower.FollowState.STATE_LOST


def test_checkpoint_leaves_out_the_oldest_large_answers() -> None:
    wire_codec = registry.make_codec()
    driver = build.FoldDriver()
    driver.apply(build.make_credit(10_000), build.make_grant(500))
    answer = bytes(range(256)) * 400
    for key in range(100):
        outcome = attrs.evolve(build.make_outcome(1, key), answer=answer)
        driver.apply(build.make_claim(key), outcome)
    assembler = checkpoint.SnapshotAssembler(wire_codec)
    copies = [
        assembler.add(part)
        for part in checkpoint.split_fold(
            driver.shard_fold, b"checkpoint", wire_codec
        )
    ]
    assert copies[-1] is not None
    look_up = copies[-1].look_up
    for key, kept in ((0, b""), (99, answer)):
        lookup = data.Lookup(build.BUDGET, build.make_key(key), b"body-one")
        assert look_up(lookup) == data.KeyReport(
            data.KeyState.OUTCOME_RECORDED,
            data.OutcomeStatus.SUCCEEDED,
            kept,
        )


def test_emptied_stream_counts_as_lost_state() -> None:
    log = fake_log.FakeLog()
    log.append(_STREAM, b"gone")
    log.trim(_STREAM, 1)
    reader = follower.ShardFollower(registry.make_codec())
    _read_to_end(log, reader)
    assert reader.state is follower.FollowState.STATE_LOST


def test_record_of_a_newer_release_stops_the_reader() -> None:
    wire_codec = registry.make_codec()
    newer = codec.Codec([codec.Registration(99, data.Recall, "ledger.capnp")])
    log = fake_log.FakeLog()
    log.append(_STREAM, newer.encode(data.Recall("b", _RESERVE, 1)))
    reader = follower.ShardFollower(wire_codec)
    page = log.read(_STREAM, 0)
    assert isinstance(page, log_outcomes.Page)
    reader.apply_page(page)
    assert reader.state is follower.FollowState.NEWER_RELEASE


def test_unreadable_record_is_skipped_and_counted() -> None:
    wire_codec = registry.make_codec()
    log = fake_log.FakeLog()
    log.append(_STREAM, b"noise")
    _append(log, wire_codec, data.Takeover(b"t", 1, 1, "huon-1"))
    reader = follower.ShardFollower(wire_codec)
    _read_to_end(log, reader)
    assert reader.unreadable_count == 1
    assert reader.shard_fold.owner == 1
