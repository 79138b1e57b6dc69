"""Tests of the measurement of calls to a shared log."""

import asyncio

from redwingchute.process import shared_log
from redwingchute.process import timed_log

_START = shared_log.LogPosition(0, 0)


class _SlowLog:
    """A log whose calls take 7 ms and that does not answer appends."""

    def __init__(self) -> None:
        self.now_ms = 0

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        del topic, records, stamp, at
        self.now_ms += 7
        return shared_log.LogUnavailable("no answer")

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        del topic
        self.now_ms += 7
        if not wait_ms:
            return shared_log.LogUnavailable("stopped", received_bytes=9)
        return shared_log.ReadRecords((), position, received_bytes=5)

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        del topic
        self.now_ms += 7
        return shared_log.Newest((), _START, received_bytes=3)


def test_all_calls_except_waiting_reads_are_measured() -> None:
    slow = _SlowLog()
    calls = []
    received: list[tuple[str, bool, int]] = []
    log = timed_log.TimedLog(
        slow,
        lambda: slow.now_ms,
        lambda call, result, ms: calls.append((call, result, ms)),
        lambda topic, is_used, count: received.append((topic, is_used, count)),
    )

    async def call_all() -> None:
        await log.append("t", (), shared_log.ProducerStamp("p", 1, 0))
        await log.read("t", _START, 0)
        await log.read("t", _START, 5_000)
        await log.read_newest("t")

    asyncio.run(call_all())
    assert calls == [
        ("append", "LogUnavailable", 7),
        ("read", "LogUnavailable", 7),
        ("read_newest", "Newest", 7),
    ]
    assert received == [("t", False, 9), ("t", True, 5), ("t", True, 3)]
