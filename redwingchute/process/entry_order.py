"""Tells entries of upstreams that were held up on their way to the log.

An upstream writes its entry again and again, each on a connection of its own
where an earlier one is cut. What TCP held up meanwhile arrives after newer
entries, and would undo them: one that drains would be ready again, one that is
gone would be listed.
"""

import collections

from redwingchute.core import forwarding

# Upstreams whose newest entry is remembered; more than a fleet has, so that
# those that are gone are among them for hours.
_MAX_UPSTREAMS = 16_384


class EntryOrder:
    """The newest entry of each upstream, also of those that are gone."""

    def __init__(self) -> None:
        """Creates an order without entries."""
        self._newest: collections.OrderedDict[str, tuple[int, int]] = (
            collections.OrderedDict()
        )

    def is_late(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether a newer entry of the same start was recorded.

        An upstream that starts anew under its id begins its numbers anew. An
        entry that does not state its start is never late.
        """
        born_ms, sequence = self._newest.get(upstream.id, (0, 0))
        return (
            upstream.born_ms > 0
            and upstream.born_ms == born_ms
            and upstream.sequence < sequence
        )

    def record(self, upstream: forwarding.Upstream) -> None:
        """Records an entry that is not late."""
        self._newest[upstream.id] = upstream.revision
        self._newest.move_to_end(upstream.id)
        if len(self._newest) > _MAX_UPSTREAMS:
            self._newest.popitem(last=False)
