"""Tests of splitting a stream into complete events."""

from hypothesis import given
from hypothesis import strategies

from redwingchute.request import event_stream

_EVENT = strategies.sampled_from(
    (b"id: 1\ndata: a\n\n", b"data: b\r\n\r\n", b"id:22\n\n", b": c\n\n")
)


@given(strategies.lists(_EVENT), strategies.integers(1, 7))
def test_bytes_are_kept_however_they_arrive(
    events: list[bytes], step: int
) -> None:
    payload = b"".join(events)
    splitter = event_stream.EventSplitter()
    found: list[bytes] = []
    for start in range(0, len(payload), step):
        found += splitter.split(payload[start : start + step])
    assert b"".join(found) == payload
    assert not splitter.has_rest


def test_an_unfinished_event_is_held_back() -> None:
    splitter = event_stream.EventSplitter()
    assert splitter.split(b"id: 1\ndata: a\n") == []
    assert splitter.has_rest
    assert splitter.split(b"\nid") == [b"id: 1\ndata: a\n\n"]


def test_event_ids() -> None:
    assert event_stream.find_event_id(b"data: a\nid: 17\n\n") == 17
    assert event_stream.find_event_id(b"data: a\n\n") is None
    assert event_stream.find_event_id(b"id: x\n\n") is None
