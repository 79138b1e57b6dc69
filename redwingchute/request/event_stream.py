"""Splits a stream of server-sent events into whole events."""

import re

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_MAX_EVENT_BYTES = 4 * 1024 * 1024
_ID_FIELD = b"id:"


class EventSplitter:
    """Collects bytes into whole events."""

    def __init__(self) -> None:
        """Starts with nothing collected."""
        self._pending = bytearray()

    @property
    def is_oversized(self) -> bool:
        """Whether an event grew beyond what is accepted."""
        return len(self._pending) > _MAX_EVENT_BYTES

    @property
    def has_rest(self) -> bool:
        """Whether bytes of an event are left that did not end."""
        return bool(self._pending.strip())

    def split(self, chunk: bytes) -> list[bytes]:
        """Returns the events that are whole after one more chunk.

        Their bytes are as they came, the blank line included.
        """
        self._pending += chunk
        events = []
        start = 0
        for end in _BLANK_LINE.finditer(self._pending):
            events.append(bytes(self._pending[start : end.end()]))
            start = end.end()
        del self._pending[:start]
        return events


def find_event_id(event: bytes) -> int | None:
    """Returns the id of an event, or None when it has no number as id."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
