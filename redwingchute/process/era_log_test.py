"""Tests of detecting that the shared log returned from an earlier copy."""

import asyncio
from collections.abc import Sequence

import pytest

from redwingchute.process import era_log
from redwingchute.process import shared_log

_STAMP = shared_log.ProducerStamp("huon-1", 1, 0)


class _ScriptedLog:
    """A log that returns prepared results, one for each call."""

    def __init__(self, results: Sequence[shared_log.Result]) -> None:
        self.results = list(results)

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        del topic, records, stamp, at
        return self.results.pop(0)  # type: ignore[return-value]

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        del topic, position, wait_ms, response_timeout_ms
        return self.results.pop(0)  # type: ignore[return-value]

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        del topic
        return self.results.pop(0)  # type: ignore[return-value]


def _make_position(era: int, offset: int = 5) -> shared_log.LogPosition:
    return shared_log.LogPosition(era, offset)


def _make_log(*results: shared_log.Result) -> era_log.EraLog:
    """Returns a log whose era is 1 and that then returns the results."""
    log = era_log.EraLog(
        _ScriptedLog([shared_log.Newest((), _make_position(1)), *results])
    )
    asyncio.run(log.read_newest("t"))
    return log


# Guards against an era that only successful reads reveal.
@pytest.mark.parametrize(
    "result",
    [
        shared_log.LogUnavailable("busy", era=2),
        shared_log.Fenced(2),
        shared_log.WrongSequence(0, 2),
        shared_log.ConditionFailed(_make_position(2)),
        shared_log.Appended(_make_position(2)),
    ],
)
def test_any_response_to_an_append_reveals_a_new_era(
    result: shared_log.AppendResult,
) -> None:
    log = _make_log(result)
    changes: list[int] = []
    log.add_listener(lambda: changes.append(log.era))
    asyncio.run(log.append("t", (), _STAMP))
    assert changes == [2]


def test_the_first_response_is_no_change() -> None:
    log = era_log.EraLog(
        _ScriptedLog([shared_log.Newest((), _make_position(3))])
    )
    changes: list[int] = []
    log.add_listener(lambda: changes.append(log.era))
    asyncio.run(log.read_newest("t"))
    assert log.era == 3
    assert not changes


def test_a_call_without_a_response_reveals_no_era() -> None:
    log = _make_log(shared_log.LogUnavailable("no response"))
    asyncio.run(log.append("t", (), _STAMP))
    assert log.era == 1


# Guards against a late response of the lost era that is taken for a new one.
@pytest.mark.parametrize(
    "result",
    [
        shared_log.ReadRecords((), _make_position(0)),
        shared_log.HistoryGone(0),
    ],
)
def test_a_response_of_an_earlier_era_is_discarded(
    result: shared_log.ReadResult,
) -> None:
    log = _make_log(result)
    discarded = asyncio.run(log.read("t", _make_position(1), 0))
    assert isinstance(discarded, shared_log.LogUnavailable)
    assert discarded.may_have_run
    assert log.era == 1


def test_an_acknowledgement_of_an_earlier_era_is_discarded() -> None:
    log = _make_log(shared_log.Appended(_make_position(0)))
    discarded = asyncio.run(log.append("t", (), _STAMP))
    assert isinstance(discarded, shared_log.LogUnavailable)


# Guards against records at an offset that was given out again.
def test_records_of_another_era_than_the_position_are_not_returned() -> None:
    record = shared_log.KeyedRecord("a", b"1", 5)
    log = _make_log(shared_log.ReadRecords((record,), _make_position(2, 6)))
    result = asyncio.run(log.read("t", _make_position(1), 0))
    assert result == shared_log.HistoryGone(2)


def test_a_position_of_an_earlier_era_is_not_sent() -> None:
    log = _make_log()
    read = asyncio.run(log.read("t", _make_position(0), 0))
    appended = asyncio.run(log.append("t", (), _STAMP, _make_position(0)))
    assert read == shared_log.HistoryGone(1)
    assert isinstance(appended, shared_log.LogUnavailable)
    assert not appended.may_have_run


# Guards against a condition that holds by chance after offsets went back.
def test_a_condition_that_held_in_another_era_does_not_count() -> None:
    log = _make_log(shared_log.Appended(_make_position(2)))
    result = asyncio.run(log.append("t", (), _STAMP, _make_position(1)))
    assert isinstance(result, shared_log.LogUnavailable)
    assert result.may_have_run
