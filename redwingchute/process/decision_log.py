"""Logs each decision as a JSON object on one line of standard output.

Writing never blocks. When the reader is slow, or when lines exceed the rate
limit, lines are dropped and counted, and the next line holds the number of
lines dropped since the previous such count.
"""

import collections
from collections.abc import Mapping
import json
import os
import time
import traceback
from typing import Any

_MAX_LINES_PER_S = 200
_BURST_LINES = 400
# Part of the token bucket that only lines about failures may use.
_RESERVED_LINES = 100
# The part of an error's description that a line holds.
_MAX_ERROR_CHARS = 400


class DecisionLog:
    """A bounded, non-blocking writer of JSON lines.

    Attributes:
      context: Fields added to every line.
      is_enabled: Whether lines are written. False before `open`, and after the
        reader has closed the pipe.
      counts: The number of occurrences of each event, dropped ones included.
      dropped_lines: The total number of dropped lines.
    """

    def __init__(self, file_descriptor: int = 1) -> None:
        """Initializes a disabled log for a file descriptor."""
        self._file_descriptor = file_descriptor
        self._available_lines = float(_BURST_LINES)
        self._refilled_s = time.monotonic()
        self._unreported_drops = 0
        self._unwritten = b""
        self.context: dict[str, Any] = {}
        self.is_enabled = False
        self.counts: collections.Counter[str] = collections.Counter()
        self.dropped_lines = 0

    def open(self, **context: Any) -> None:
        """Enables writing and makes the file descriptor non-blocking.

        Args:
          **context: Fields added to every line.
        """
        os.set_blocking(self._file_descriptor, False)
        self.context = context
        self.is_enabled = True

    def write(
        self, event: str, is_failure: bool, fields: dict[str, Any]
    ) -> None:
        """Writes one line, or counts it as dropped.

        Args:
          event: The name of the event.
          is_failure: Whether the line may use the reserved part of the rate.
          fields: The fields of this line.
        """
        self.counts[event] += 1
        if not self.is_enabled:
            return
        if not self._acquire_line(is_failure):
            self._count_dropped()
            return
        line = {"at_ms": time.time_ns() // 1_000_000, "event": event}
        line |= self.context
        line |= fields
        if self._unreported_drops:
            line["lines_dropped_before"] = self._unreported_drops
        if self._write_bytes(
            json.dumps(line, separators=(",", ":")).encode() + b"\n"
        ):
            self._unreported_drops = 0

    def _count_dropped(self) -> None:
        """Counts a dropped line."""
        self._unreported_drops += 1
        self.dropped_lines += 1

    def _acquire_line(self, is_failure: bool) -> bool:
        """Takes one line from the token bucket; False if it is exhausted."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * _MAX_LINES_PER_S
        self._refilled_s = now_s
        self._available_lines = min(
            _BURST_LINES, self._available_lines + refill
        )
        needed = 1 if is_failure else _RESERVED_LINES + 1
        if self._available_lines < needed:
            return False
        self._available_lines -= 1
        return True

    def _write_bytes(self, line: bytes) -> bool:
        """Writes a line, preceded by the rest of a partially written one.

        Returns:
          Whether the line was written, at least in part.
        """
        payload = self._unwritten + line
        try:
            written = os.write(self._file_descriptor, payload)
        except BlockingIOError:
            self._count_dropped()
            return False
        except OSError:
            # The reader has closed the pipe; the process runs without a log.
            self.is_enabled = False
            return False
        self._unwritten = payload[written:]
        return True


# The decision log of this process.
LOG = DecisionLog()


def log_event(event: str, **fields: Any) -> None:
    """Logs a decision or a change of state."""
    LOG.write(event, False, fields)


def count_event(event: str) -> None:
    """Counts an event that is too frequent for a line of its own."""
    LOG.counts[event] += 1


def read_counts() -> Mapping[str, int]:
    """Returns the count of each event, and of dropped lines."""
    return {**LOG.counts, "line_dropped": LOG.dropped_lines}


def describe_error(error: BaseException) -> str:
    """Returns an error and its innermost place in the code, for one field."""
    if isinstance(error, BaseExceptionGroup):
        return describe_error(error.exceptions[0])
    place = ""
    for frame in traceback.extract_tb(error.__traceback__)[-1:]:
        name = frame.filename.rpartition("redwingchute/")[2]
        place = f" at {name}:{frame.lineno}"
    return f"{error!r:.{_MAX_ERROR_CHARS}}{place}"


def log_failure(event: str, **fields: Any) -> None:
    """Logs a failure; the line may use the reserved part of the rate."""
    LOG.write(event, True, fields)
