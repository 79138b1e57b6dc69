"""Tests of following a keyed topic."""

import asyncio
import copy

from redwingchute.process import era_log
from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.standin import keyed_log
from redwingchute.testing import memory_log

_POLL_TIMING = keyed_follower.PollTiming(wait_ms=0, interval_ms=100)


class _Reader:
    """A follower and the records and keys that it delivered."""

    def __init__(self, rewrite_ms: int = 0) -> None:
        self.now_ms = 1_000
        self.log = memory_log.MemoryLog()
        self.delivered: list[tuple[str, bytes | None]] = []
        self.retained_keys: list[frozenset[str]] = []
        self.gaps_ms: list[int] = []
        self.follower = keyed_follower.KeyedFollower(
            era_log.EraLog(self.log),
            "op",
            _POLL_TIMING,
            lambda: self.now_ms,
            lambda record: self.delivered.append((record.key, record.value)),
            self.retained_keys.append,
            rewrite_ms,
            handle_gap=lambda: self.gaps_ms.append(self.now_ms),
        )

    def append(self, key: str, value: bytes | None) -> None:
        self.log.topic.append((shared_log.KeyedRecord(key, value),))

    def return_from(self, copy: keyed_log.KeyedTopic) -> None:
        """Has the log return from a copy, in a new era."""
        era = self.log.topic.era + 1
        self.log.topic = copy
        self.log.topic.era = era

    def read(self) -> bool:
        return asyncio.run(self.follower.read_once())


def test_following_starts_with_the_newest_records() -> None:
    reader = _Reader()
    reader.append("a", b"1")
    reader.append("a", b"2")
    assert reader.read()
    reader.append("b", b"3")
    reader.append("a", None)
    assert reader.read()
    assert reader.delivered == [("a", b"2"), ("b", b"3"), ("a", None)]


def test_deleted_history_restarts_from_the_newest_records() -> None:
    reader = _Reader()
    reader.append("a", b"1")
    reader.read()
    reader.append("b", b"2")
    reader.append("a", None)
    reader.log.topic.discard_history()
    assert reader.read()
    assert reader.delivered == [("a", b"1"), ("b", b"2")]
    assert reader.retained_keys[-1] == {"b"}


def test_older_records_are_skipped() -> None:
    reader = _Reader()
    reader.append("a", b"1")
    reader.append("a", b"2")
    reader.read()
    reader.follower.position = shared_log.LogPosition(0, 0)
    reader.read()
    assert reader.delivered == [("a", b"2")]


def test_an_outage_is_recorded_until_it_ends() -> None:
    reader = _Reader()
    reader.log.is_unavailable = True
    assert not reader.read()
    assert reader.follower.failed_since_ms == 1_000
    reader.log.is_unavailable = False
    assert reader.read()
    assert not reader.follower.failed_since_ms


# Guards against a follower that reads on at an offset of the lost era.
def test_a_new_era_restarts_from_the_newest_records() -> None:
    reader = _Reader()
    reader.append("a", b"1")
    earlier = copy.deepcopy(reader.log.topic)
    reader.append("a", b"2")
    reader.append("b", b"3")
    reader.read()
    reader.return_from(earlier)
    reader.append("c", b"4")
    reader.append("c", b"5")
    reader.append("c", b"6")
    assert reader.read()
    assert reader.delivered[2:] == [("a", b"1"), ("c", b"6")]
    assert reader.follower.position == shared_log.LogPosition(1, 4)


def test_a_read_beyond_the_end_restarts_from_the_newest_records() -> None:
    reader = _Reader()
    earlier = copy.deepcopy(reader.log.topic)
    reader.append("a", b"1")
    reader.read()
    reader.return_from(earlier)
    assert reader.read()
    assert reader.follower.position == shared_log.LogPosition(1, 0)


# Guards against upstreams that vanish until they write their entries again.
def test_keys_missing_from_a_copy_are_kept_until_writers_wrote_again() -> None:
    reader = _Reader(rewrite_ms=2_000)
    earlier = copy.deepcopy(reader.log.topic)
    reader.append("kept", b"1")
    reader.append("gone", b"1")
    reader.read()
    reader.return_from(earlier)
    reader.read()
    assert reader.retained_keys == [{"kept", "gone"}]
    assert reader.follower.is_settling
    reader.append("kept", b"2")
    reader.now_ms += 1_999
    reader.read()
    assert reader.delivered[-1] == ("kept", b"2")
    assert len(reader.retained_keys) == 1
    reader.now_ms += 1
    reader.read()
    assert reader.retained_keys[-1] == {"kept"}
    assert not reader.follower.is_settling


def test_a_key_that_a_copy_holds_again_is_not_delivered_at_once() -> None:
    reader = _Reader(rewrite_ms=2_000)
    reader.append("left", b"1")
    earlier = copy.deepcopy(reader.log.topic)
    reader.read()
    reader.append("left", None)
    reader.read()
    reader.return_from(earlier)
    reader.read()
    assert reader.delivered == [("left", b"1"), ("left", None)]
    reader.now_ms += 2_000
    reader.read()
    assert reader.delivered[2:] == [("left", b"1")]


def test_a_second_return_begins_the_time_to_write_again_anew() -> None:
    reader = _Reader(rewrite_ms=2_000)
    earlier = copy.deepcopy(reader.log.topic)
    reader.append("kept", b"1")
    reader.read()
    reader.return_from(copy.deepcopy(earlier))
    reader.read()
    reader.now_ms += 1_500
    reader.return_from(copy.deepcopy(earlier))
    reader.read()
    reader.now_ms += 1_500
    reader.read()
    assert reader.retained_keys == [{"kept"}]


# Guards against a router that starts just after the change and refuses
# requests by an old version.
def test_a_follower_that_starts_in_a_later_era_is_settling() -> None:
    reader = _Reader(rewrite_ms=2_000)
    reader.log.topic.era = 3
    reader.append("a", b"1")
    reader.read()
    assert reader.delivered == [("a", b"1")]
    assert reader.follower.is_settling
    reader.now_ms += 2_000
    reader.read()
    assert not reader.follower.is_settling


# Guards against an upstream that is listed and removed again while its records
# are deleted unread, and that is then taken for one that never was there.
def test_records_that_may_have_been_missed_are_reported() -> None:
    reader = _Reader()
    reader.append("a", b"1")
    reader.read()
    assert reader.gaps_ms == [1_000]
    reader.now_ms += 500
    reader.append("a", b"2")
    reader.log.topic.discard_history()
    reader.append("a", b"3")
    reader.read()
    assert reader.gaps_ms == [1_000]
    reader.now_ms += 1_500
    reader.append("a", b"4")
    reader.append("a", b"5")
    reader.log.topic.discard_history()
    reader.read()
    assert reader.gaps_ms == [1_000, 3_000]
    copied = copy.deepcopy(reader.log.topic)
    reader.now_ms += 5_000
    reader.return_from(copied)
    reader.read()
    assert len(reader.gaps_ms) == 3
    reader.now_ms += 5_000
    reader.append("a", b"6")
    reader.read()
    assert len(reader.gaps_ms) == 3


# Guards against a record that keeps all later ones from being read.
def test_a_record_that_cannot_be_applied_is_skipped() -> None:
    reader = _Reader()
    applied: list[str] = []

    def apply(record: shared_log.KeyedRecord) -> None:
        if record.value == b"odd":
            raise RecursionError("fault")
        applied.append(record.key)

    follower = keyed_follower.KeyedFollower(
        era_log.EraLog(reader.log),
        "op",
        _POLL_TIMING,
        lambda: reader.now_ms,
        apply,
    )
    reader.append("a", b"odd")
    reader.append("b", b"1")
    assert asyncio.run(follower.read_once())
    reader.append("c", b"odd")
    reader.append("d", b"1")
    assert asyncio.run(follower.read_once())
    assert applied == ["b", "d"]


class _PagedLog(memory_log.MemoryLog):
    """A log whose reads return one record at a time."""

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        """Reads at most one record."""
        result = await super().read(
            topic, position, wait_ms, response_timeout_ms
        )
        if not isinstance(result, shared_log.ReadRecords):
            return result
        next_position = shared_log.LogPosition(
            position.era, position.offset + len(result.records[:1])
        )
        records_left = result.next_position.offset - next_position.offset
        return shared_log.ReadRecords(
            result.records[:1], next_position, records_left
        )


# Guards against records that a router takes for the newest, though the log had
# more of them than one response holds.
def test_a_read_ends_only_at_the_end_of_the_topic() -> None:
    reader = _Reader()
    reader.log = _PagedLog()
    delivered: list[str] = []
    follower = keyed_follower.KeyedFollower(
        era_log.EraLog(reader.log),
        "op",
        _POLL_TIMING,
        lambda: reader.now_ms,
        lambda record: delivered.append(record.key),
    )
    assert asyncio.run(follower.read_once())
    reader.now_ms += 500
    for key in "abc":
        reader.append(key, b"1")
    assert asyncio.run(follower.read_once())
    assert delivered == ["a", "b", "c"]
    assert follower.confirmed_ms == reader.now_ms
    # The list of the newest records would take longer than the rest.
    reader.append("a", bytes(10_000))
    assert asyncio.run(follower.read_once())
    for _ in range(100):
        reader.append("d", b"1")
    reader.now_ms += 500
    assert not asyncio.run(follower.read_once())
    assert follower.confirmed_ms < reader.now_ms


# Guards against a decision on records of before it was to be taken.
def test_confirming_reads_unless_a_later_read_has_succeeded() -> None:
    reader = _Reader()
    assert reader.read()
    reader.append("a", b"1")
    assert asyncio.run(reader.follower.confirm())
    assert reader.delivered == [("a", b"1")]
    reader.log.is_unavailable = True
    assert not asyncio.run(reader.follower.confirm())


class _CountingLog(_PagedLog):
    """Counts the reads; some return no record, as if it were too large."""

    def __init__(self, is_too_large: bool) -> None:
        super().__init__()
        self.calls: list[str] = []
        self._is_too_large = is_too_large

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        self.calls.append("read")
        result = await super().read(
            topic, position, wait_ms, response_timeout_ms
        )
        if self._is_too_large and isinstance(result, shared_log.ReadRecords):
            left = self.topic.end_offset - position.offset
            return shared_log.ReadRecords((), position, left)
        return result

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        self.calls.append("read_newest")
        return await super().read_newest(topic)


# Guards against a router that reads each of many versions behind a narrow link,
# though only the newest one counts.
def test_a_follower_that_is_behind_turns_to_the_newest_records() -> None:
    reader = _Reader()
    log = _CountingLog(False)
    reader.log = log
    delivered: list[tuple[str, bytes | None]] = []
    follower = keyed_follower.KeyedFollower(
        era_log.EraLog(log),
        "op",
        _POLL_TIMING,
        lambda: reader.now_ms,
        lambda record: delivered.append((record.key, record.value)),
    )
    reader.append("config", bytes(100_000))
    reader.append("zone", b"1")
    assert asyncio.run(follower.read_once())
    for number in range(18):
        reader.append("config", bytes([number]) * 100_000)
    reader.append("zone", None)
    assert asyncio.run(follower.read_once())
    assert log.calls == ["read_newest", "read", "read_newest"]
    assert ("config", bytes([17]) * 100_000) in delivered
    assert follower.position == shared_log.LogPosition(0, 21)


# Guards against a router that asks for a record again and again that does not
# fit into what a read asks for.
def test_a_record_that_no_read_returns_is_read_with_the_newest() -> None:
    reader = _Reader()
    log = _CountingLog(True)
    reader.log = log
    follower = keyed_follower.KeyedFollower(
        era_log.EraLog(log),
        "op",
        _POLL_TIMING,
        lambda: reader.now_ms,
        lambda record: reader.delivered.append((record.key, record.value)),
    )
    assert asyncio.run(follower.read_once())
    reader.append("config", bytes(1_000))
    assert asyncio.run(follower.read_once())
    assert reader.delivered == [("config", bytes(1_000))]
