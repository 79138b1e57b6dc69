"""Tells entries of upstreams that were held up on their way to the log.

An upstream writes its entry again and again, each on a connection of its own
where an earlier one is cut. What TCP held up meanwhile arrives after newer
entries, and would undo them: one that drains would be ready again, one that is
gone would be listed.

An entry of another writer may have a number that the upstream does not reach.
So what looks late counts again once the upstream has written nothing newer for
longer than TCP holds entries up.
"""

import collections
from collections.abc import Callable

import attrs

from redwingchute.core import forwarding

# Upstreams whose newest entry is remembered; more than a fleet has, so that
# those that are gone are among them for hours.
_MAX_UPSTREAMS = 16_384
# How long only late entries may come. After a cut of some seconds TCP sends
# what it held up within twice that time.
_HELD_UP_MS = 30_000


@attrs.define
class _Newest:
    """The newest entry of an upstream.

    Attributes:
      revision: Its start and number.
      late_since_ms: When the first late entry after it came; None if none has.
    """

    revision: tuple[int, int]
    late_since_ms: int | None = None


class EntryOrder:
    """The newest entry of each upstream, also of those that are gone."""

    def __init__(self, read_clock_ms: Callable[[], int]) -> None:
        """Creates an order without entries.

        Args:
          read_clock_ms: Returns the time on a steady clock.
        """
        self._read_clock_ms = read_clock_ms
        self._newest: collections.OrderedDict[str, _Newest] = (
            collections.OrderedDict()
        )

    def accept(self, upstream: forwarding.Upstream) -> bool:
        """Records an entry; returns False if it came after a newer one.

        An upstream that starts anew under its id begins its numbers anew. An
        entry that does not state its start is never late.
        """
        known = self._newest.get(upstream.id)
        if known is not None and self._is_late(upstream, known):
            return False
        self._newest[upstream.id] = _Newest(upstream.revision)
        self._newest.move_to_end(upstream.id)
        if len(self._newest) > _MAX_UPSTREAMS:
            self._newest.popitem(last=False)
        return True

    def _is_late(self, upstream: forwarding.Upstream, known: _Newest) -> bool:
        """Returns whether an entry came after a newer one of the same start."""
        born_ms, sequence = known.revision
        if upstream.born_ms <= 0 or upstream.born_ms != born_ms:
            return False
        if upstream.sequence >= sequence:
            return False
        now_ms = self._read_clock_ms()
        if known.late_since_ms is None:
            known.late_since_ms = now_ms
        return now_ms - known.late_since_ms <= _HELD_UP_MS
