"""Remembers requests that ended without showing whether they ended an upstream.

The caller left or the deadline passed while the upstream ran the request. If
the upstream is found to have ended soon after, the request may be the cause.
"""

from typing import Generic
from typing import TypeVar

# The next start of an upstream is listed within this time.
_KEPT_MS = 10_000
# The oldest requests beyond this number are forgotten.
_MAX_KEPT = 1_024

_SendT = TypeVar("_SendT")


class UnfinishedSends(Generic[_SendT]):
    """The unfinished requests of one router, by the start of the upstream."""

    def __init__(self) -> None:
        """Creates an instance without requests."""
        # With the time of their end, the oldest first.
        self._sends: list[tuple[str, _SendT, int]] = []

    def add(self, start: str, send: _SendT, now_ms: int) -> None:
        """Adds a request.

        Args:
          start: Identifies the start of the upstream that ran it.
          send: The request.
          now_ms: The current time.
        """
        self._drop_old(now_ms)
        self._sends.append((start, send, now_ms))

    def pop(self, start: str, now_ms: int) -> list[_SendT]:
        """Removes and returns the requests at an upstream that has ended.

        Args:
          start: Identifies the start of the upstream.
          now_ms: The current time.
        """
        self._drop_old(now_ms)
        found = [send for name, send, _ in self._sends if name == start]
        if found:
            self._sends = [kept for kept in self._sends if kept[0] != start]
        return found

    def _drop_old(self, now_ms: int) -> None:
        """Removes requests that count no more."""
        first = max(0, len(self._sends) - _MAX_KEPT)
        while (
            first < len(self._sends)
            and now_ms - self._sends[first][2] > _KEPT_MS
        ):
            first += 1
        del self._sends[:first]
