"""Limits the number of upstreams that copies of one request can crash.

A caller may send many copies of a request at once, and all of them may run
before the first crash is counted. Therefore all copies go to the upstream that
runs the first copy until one of them has produced output. After a crash the
request is a suspect: one copy at a time runs in the whole pool, and each
upstream runs at most one suspect, so that the next crash identifies the
request that causes it.
"""

import collections

from redwingchute.core import requesting

_MAX_PROVEN_REQUESTS = 8_192


class CrashGuard:
    """Tracks the running copies of each request in one pool.

    A request is proven after one of its copies has produced output; its other
    copies may then run on any upstream.
    """

    def __init__(self) -> None:
        """Creates a guard without running requests."""
        self._running_counts: dict[bytes, collections.Counter[str]] = {}
        self._suspect_counts: collections.Counter[str] = collections.Counter()
        self._proven: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def may_start(self, ticket: requesting.Ticket, upstream: str) -> bool:
        """Returns whether a request may start on an upstream now.

        Requests without a body digest are not limited unless they are suspects,
        since their copies cannot be recognized.
        """
        running = self._running_counts.get(_make_key(ticket))
        if ticket.is_suspect:
            return not running and self._suspect_counts[upstream] == 0
        if not running or not ticket.body_digest:
            return True
        return _make_key(ticket) in self._proven or running[upstream] > 0

    def record_start(self, ticket: requesting.Ticket, upstream: str) -> None:
        """Records that a request starts on an upstream."""
        running = self._running_counts.setdefault(
            _make_key(ticket), collections.Counter()
        )
        running[upstream] += 1
        self._suspect_counts[upstream] += ticket.is_suspect

    def record_output(self, ticket: requesting.Ticket) -> None:
        """Marks a request as proven, since a copy of it produced output."""
        self._proven[_make_key(ticket)] = None
        self._proven.move_to_end(_make_key(ticket))
        while len(self._proven) > _MAX_PROVEN_REQUESTS:
            self._proven.popitem(last=False)

    def record_end(
        self, ticket: requesting.Ticket, upstream: str, is_complete: bool
    ) -> None:
        """Records that a request ended on an upstream.

        Args:
          ticket: The request.
          upstream: The name of the upstream.
          is_complete: Whether its response is complete, which makes the request
            proven. Otherwise the request is no longer proven.
        """
        key = _make_key(ticket)
        self._suspect_counts[upstream] -= ticket.is_suspect
        running = self._running_counts.get(key)
        if running is not None:
            running[upstream] -= 1
            if running.total() <= 0:
                del self._running_counts[key]
        if is_complete:
            self.record_output(ticket)
        else:
            self._proven.pop(key, None)


def _make_key(ticket: requesting.Ticket) -> bytes:
    """Returns the key that all copies of a request share."""
    return ticket.client_account.encode() + b"\0" + ticket.body_digest
