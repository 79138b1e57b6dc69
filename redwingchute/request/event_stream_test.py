"""Tests of splitting a stream into complete events."""

from hypothesis import given
from hypothesis import strategies

from redwingchute.request import event_stream

_EVENT = strategies.sampled_from(
    (
        *(b"id: 1\ndata: a\n\n", b"data: b\r\n\r\n", b"id:22\n\n", b": c\n\n"),
        *(b"id: 3\n\r\n", b"data: d\r\n\n"),
    )
)


@given(strategies.lists(_EVENT), strategies.integers(1, 7))
def test_bytes_are_unchanged_for_any_chunk_size(
    events: list[bytes], step: int
) -> None:
    payload = b"".join(events)
    splitter = event_stream.EventSplitter()
    found: list[bytes] = []
    for start in range(0, len(payload), step):
        found += splitter.split(payload[start : start + step])
    assert b"".join(found) == payload
    assert found == event_stream.EventSplitter().split(payload)
    assert not splitter.has_partial_event


def test_an_incomplete_event_is_buffered() -> None:
    splitter = event_stream.EventSplitter()
    assert splitter.split(b"id: 1\ndata: a\n") == []
    assert splitter.has_partial_event
    assert splitter.split(b"\nid") == [b"id: 1\ndata: a\n\n"]


def test_only_numeric_event_ids_are_found() -> None:
    assert event_stream.find_event_id(b"data: a\nid: 17\n\n") == 17
    assert event_stream.find_event_id(b"data: a\n\n") is None
    assert event_stream.find_event_id(b"id: x\n\n") is None


# Guards against events that come twice, where a stream breaks off after a
# comment that arrived together with events.
def test_the_last_id_is_that_of_the_last_event_that_has_one() -> None:
    events = [b"id: 4\n\n", b"id: 5\ndata: x\n\n", b": waiting\n\n"]
    assert event_stream.find_last_event_id(events) == 5
    assert event_stream.find_last_event_id(events[2:]) is None


# Guards against a stream whose last bytes are missing, though it looks whole.
def test_empty_lines_after_the_last_event_are_kept() -> None:
    splitter = event_stream.EventSplitter()
    assert splitter.split(b"id: 1\n\n\r\n") == [b"id: 1\n\n"]
    assert not splitter.has_partial_event
    assert splitter.take_rest() == b"\r\n"
    assert splitter.take_rest() == b""
