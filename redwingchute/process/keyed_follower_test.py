"""Tests of following a keyed topic."""

import asyncio

from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.standin import keyed_log

_PACE = keyed_follower.FollowPace(wait_ms=0, interval_ms=100)


class _Log:
    """A log with one topic in memory; reads fail while it is unavailable."""

    def __init__(self) -> None:
        self.topic = keyed_log.KeyedTopic()
        self.is_away = False

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at_offset: int | None = None,
    ) -> shared_log.AppendResult:
        return self.topic.append(records, stamp, at_offset)

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> shared_log.ReadResult:
        if self.is_away:
            return shared_log.LogUnavailable("away")
        return self.topic.read(offset)

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        if self.is_away:
            return shared_log.LogUnavailable("away")
        return self.topic.read_newest()


class _Reader:
    """A follower and the records and keys that it delivered."""

    def __init__(self) -> None:
        self.log = _Log()
        self.taken: list[tuple[str, bytes | None]] = []
        self.kept: list[frozenset[str]] = []
        self.follower = keyed_follower.KeyedFollower(
            self.log,
            "keyed.op",
            _PACE,
            lambda: 1_000,
            lambda record: self.taken.append((record.key, record.value)),
            self.kept.append,
        )

    def put(self, key: str, value: bytes | None) -> None:
        self.log.topic.append((shared_log.KeyedRecord(key, value),))

    def read(self) -> bool:
        return asyncio.run(self.follower.read_once())


def test_it_starts_with_the_newest_and_reads_on() -> None:
    reader = _Reader()
    reader.put("a", b"1")
    reader.put("a", b"2")
    assert reader.read()
    reader.put("b", b"3")
    reader.put("a", None)
    assert reader.read()
    assert reader.taken == [("a", b"2"), ("b", b"3"), ("a", None)]


def test_it_starts_anew_when_history_is_gone() -> None:
    reader = _Reader()
    reader.put("a", b"1")
    reader.read()
    reader.put("b", b"2")
    reader.put("a", None)
    reader.log.topic.forget_history()
    assert reader.read()
    assert reader.taken == [("a", b"1"), ("b", b"2")]
    assert reader.kept[-1] == {"b"}


def test_it_never_goes_back() -> None:
    reader = _Reader()
    reader.put("a", b"1")
    reader.put("a", b"2")
    reader.read()
    reader.follower.next_offset = 0
    reader.read()
    assert reader.taken == [("a", b"2")]


def test_an_outage_is_known_until_it_ends() -> None:
    reader = _Reader()
    reader.log.is_away = True
    assert not reader.read()
    assert reader.follower.failed_since_ms == 1_000
    reader.log.is_away = False
    assert reader.read()
    assert not reader.follower.failed_since_ms
