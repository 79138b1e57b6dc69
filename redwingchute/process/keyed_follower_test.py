"""Tests of following a keyed topic."""

import asyncio

from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.testing import memory_log

_POLL_TIMING = keyed_follower.PollTiming(wait_ms=0, interval_ms=100)


class _Reader:
    """A follower and the records and keys that it delivered."""

    def __init__(self) -> None:
        self.log = memory_log.MemoryLog()
        self.delivered: list[tuple[str, bytes | None]] = []
        self.retained_keys: list[frozenset[str]] = []
        self.follower = keyed_follower.KeyedFollower(
            self.log,
            "keyed.op",
            _POLL_TIMING,
            lambda: 1_000,
            lambda record: self.delivered.append((record.key, record.value)),
            self.retained_keys.append,
        )

    def append(self, key: str, value: bytes | None) -> None:
        self.log.topic.append((shared_log.KeyedRecord(key, value),))

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
    reader.follower.next_offset = 0
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
