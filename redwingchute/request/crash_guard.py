"""Bounds how many upstreams one request can crash at a time.

A caller may send copies of one request at once, so that counting crashes
comes too late. Until a copy has produced output, all copies go to the
upstream that runs the first. After a crash, one copy runs at a time in the
pool, and each upstream runs at most one such suspect, so that a further crash
shows which request was to blame.
"""

import collections

from redwingchute.core import requesting

_MAX_PROVEN = 8_192


class CrashGuard:
    """The running copies of each request in one pool."""

    def __init__(self) -> None:
        """Starts with nothing running."""
        self._upstreams: dict[bytes, collections.Counter[str]] = {}
        self._suspects: collections.Counter[str] = collections.Counter()
        self._proven: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def may_start(self, ticket: requesting.Ticket, upstream: str) -> bool:
        """Tells whether an upstream may run a request now."""
        running = self._upstreams.get(_make_key(ticket))
        if ticket.is_suspect:
            return not running and self._suspects[upstream] == 0
        if not running or not ticket.body_digest:
            return True
        return _make_key(ticket) in self._proven or running[upstream] > 0

    def note_start(self, ticket: requesting.Ticket, upstream: str) -> None:
        """Records that an upstream runs a request."""
        running = self._upstreams.setdefault(
            _make_key(ticket), collections.Counter()
        )
        running[upstream] += 1
        self._suspects[upstream] += ticket.is_suspect

    def note_output(self, ticket: requesting.Ticket) -> None:
        """Records that a request produced output."""
        self._proven[_make_key(ticket)] = None
        self._proven.move_to_end(_make_key(ticket))
        while len(self._proven) > _MAX_PROVEN:
            self._proven.popitem(last=False)

    def note_end(
        self, ticket: requesting.Ticket, upstream: str, is_whole: bool
    ) -> None:
        """Records that an upstream runs a request no more.

        Args:
          ticket: The request.
          upstream: Where it ran.
          is_whole: Whether its answer ended whole; else it must prove itself
            again.
        """
        key = _make_key(ticket)
        self._suspects[upstream] -= ticket.is_suspect
        running = self._upstreams.get(key)
        if running is not None:
            running[upstream] -= 1
            if running.total() <= 0:
                del self._upstreams[key]
        if is_whole:
            self.note_output(ticket)
        else:
            self._proven.pop(key, None)


def _make_key(ticket: requesting.Ticket) -> bytes:
    """Returns what is the same for copies of a request."""
    return ticket.client_account.encode() + b"\0" + ticket.body_digest
