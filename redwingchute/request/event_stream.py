"""Splits a stream of server-sent events into complete events."""

from collections.abc import Sequence
import re

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_MAX_BLANK_LINE_BYTES = len(b"\r\n\r\n")
_MAX_EVENT_BYTES = 256 * 1024
_ID_FIELD = b"id:"


class EventSplitter:
    """Buffers the bytes of a stream until an event is complete.

    An event is complete with the blank line that ends it.
    """

    def __init__(self) -> None:
        """Creates a splitter with an empty buffer."""
        self._buffer = bytearray()
        # What has no blank line that ends in it.
        self._searched_bytes = 0

    @property
    def is_oversized(self) -> bool:
        """Whether an incomplete event exceeds the size limit."""
        return len(self._buffer) > _MAX_EVENT_BYTES

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())

    def take_rest(self) -> bytes:
        """Returns and removes what follows the last event: empty lines."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        self._searched_bytes = 0
        return rest

    def split(self, chunk: bytes) -> list[bytes]:
        """Adds a chunk and returns the events that are complete now.

        Their bytes are unchanged and include the blank line at the end.
        """
        self._buffer += chunk
        events = []
        start = 0
        begin = max(0, self._searched_bytes - _MAX_BLANK_LINE_BYTES + 1)
        for end in _BLANK_LINE.finditer(self._buffer, begin):
            events.append(bytes(self._buffer[start : end.end()]))
            start = end.end()
        del self._buffer[:start]
        self._searched_bytes = len(self._buffer)
        return events


def find_last_event_id(events: Sequence[bytes]) -> int | None:
    """Returns the last id of some events, or None if none of them has one.

    Comments have none, also as the last ones.
    """
    for event in reversed(events):
        found = find_event_id(event)
        if found is not None:
            return found
    return None


def find_event_id(event: bytes) -> int | None:
    """Returns the id of an event, or None if it has no numeric id."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None


def find_first(events: Sequence[bytes]) -> bytes | None:
    """Returns the first event that is no comment, or None."""
    for event in events:
        if any(line and not line.startswith(b":") for line in _split(event)):
            return event
    return None


def follows(event: bytes, last_id: int | None) -> bool:
    """Returns whether an event may come after the one with an id."""
    found = find_event_id(event)
    return found is not None and last_id is not None and found > last_id


def _split(event: bytes) -> list[bytes]:
    """Returns the lines of an event without their ends."""
    return [line.rstrip(b"\r") for line in event.split(b"\n")]
