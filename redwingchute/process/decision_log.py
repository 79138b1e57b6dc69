"""Writes one structured line on standard output for each decision.

Lines are JSON objects. Writing never blocks: when the reader is slow, or more
lines come than the rate allows, lines are dropped and counted, and the count
is written as soon as there is room again.
"""

import collections
from collections.abc import Mapping
import json
import os
import time
from typing import Any

_MAX_LINES_PER_S = 200
_BURST_LINES = 400
# Lines that explain a failure pass when the ordinary rate is used up.
_RESERVED_LINES = 100


class DecisionLog:
    """A bounded, non-blocking writer of JSON lines.

    Attributes:
      context: Fields that every line carries.
      is_enabled: Whether lines are written.
      counts: How often each event came, lines that were dropped included.
      dropped_lines: How many lines were dropped in all.
    """

    def __init__(self, file_descriptor: int = 1) -> None:
        """Writes to a file descriptor, by default standard output."""
        self._file_descriptor = file_descriptor
        self._lines = float(_BURST_LINES)
        self._refilled_s = time.monotonic()
        self._dropped = 0
        self._rest = b""
        self.context: dict[str, Any] = {}
        self.is_enabled = False
        self.counts: collections.Counter[str] = collections.Counter()
        self.dropped_lines = 0

    def open(self, **context: Any) -> None:
        """Starts to write.

        Args:
          **context: Fields that every line carries.
        """
        os.set_blocking(self._file_descriptor, False)
        self.context = context
        self.is_enabled = True

    def write(
        self, event: str, is_failure: bool, fields: dict[str, Any]
    ) -> None:
        """Writes one line, or counts it as dropped."""
        self.counts[event] += 1
        if not self.is_enabled:
            return
        if not self._take_line(is_failure):
            self._note_dropped()
            return
        line = {"at_ms": time.time_ns() // 1_000_000, "event": event}
        line |= self.context
        line |= fields
        if self._dropped:
            line["lines_dropped_before"] = self._dropped
            self._dropped = 0
        self._send(json.dumps(line, separators=(",", ":")).encode() + b"\n")

    def _note_dropped(self) -> None:
        """Counts a line that is not written."""
        self._dropped += 1
        self.dropped_lines += 1

    def _take_line(self, is_failure: bool) -> bool:
        """Takes one line from the rate; False when there is none."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * _MAX_LINES_PER_S
        self._refilled_s = now_s
        self._lines = min(_BURST_LINES, self._lines + refill)
        least = 1 if is_failure else _RESERVED_LINES + 1
        if self._lines < least:
            return False
        self._lines -= 1
        return True

    def _send(self, line: bytes) -> None:
        """Writes a line, finishing one that was cut off before."""
        payload = self._rest + line
        try:
            written = os.write(self._file_descriptor, payload)
        except BlockingIOError:
            self._note_dropped()
            return
        except OSError:
            # The reader is gone; the process goes on without its log.
            self.is_enabled = False
            return
        self._rest = payload[written:]


LOG = DecisionLog()


def log_event(event: str, **fields: Any) -> None:
    """Writes a decision or a change of state."""
    LOG.write(event, False, fields)


def read_counts() -> Mapping[str, int]:
    """Returns how often each event came, and how many lines were dropped."""
    return {**LOG.counts, "line_dropped": LOG.dropped_lines}


def log_failure(event: str, **fields: Any) -> None:
    """Writes a decision that refuses or fails a request."""
    LOG.write(event, True, fields)
