"""Finds out which upstreams outlived an end that was observed of them.

A connection that an upstream closes may mean that its process has ended, or
that only the connection was reset. That the process lives on is proved by

- a response on a connection that was open before the request of the end was
  sent, to a request that was sent after the end. One process was there at both
  times, and all connections of a process end with it;
- entries of the same start that were appended to the log after the end, and not
  by a write that may have been on its way. Two are needed.

Nothing else does: a response on a new connection may be that of the next start,
and bytes may have been sent before the end.
"""

import attrs

from redwingchute.core import forwarding
from redwingchute.request import crash_evidence

# The log answers or refuses a write within 2 s.
_WRITE_MS = 2_500
_PROVING_ENTRIES = 2
# An end without a proof for this long is taken as one.
_MAX_PENDING_MS = 60_000
# The oldest ends beyond this number are taken as such.
_MAX_PENDING = 1_024


@attrs.define
class _PendingEnd:
    """An end under one subject that may turn out to be none.

    Attributes:
      observers: Who observed it, see `requesting.CrashObservation`.
      known_ms: When it was last observed or became known.
      sent_mark: A mark from before the first request that it broke here; None
        if it broke none here.
      ended_mark: A mark from after the last of these broke.
      entries: The entries of the same start that prove that it lives on.
    """

    observers: set[str]
    known_ms: int
    sent_mark: int | None = None
    ended_mark: int = 0
    entries: set[int] = attrs.field(factory=set)


@attrs.frozen
class OutlivedEnd:
    """An end that was none.

    Attributes:
      subject: The subject under which it was observed.
      start: Identifies the start of the upstream.
      observers: Who observed it.
    """

    subject: crash_evidence.Subject
    start: str
    observers: frozenset[str]


class OutlivedEnds:
    """The observed ends of upstreams for which proof may still come."""

    def __init__(self) -> None:
        """Creates an instance without ends."""
        # By the start of the upstream and the subject, the oldest first.
        self._pending: dict[str, dict[crash_evidence.Subject, _PendingEnd]] = {}
        self._count = 0

    def record_own(
        self,
        start: str,
        subject: crash_evidence.Subject,
        observer: str,
        marks: tuple[int, int],
        now_ms: int,
    ) -> None:
        """Records an end that this router observed.

        Args:
          start: Identifies the start of the upstream.
          subject: The subject of the request that it broke.
          observer: This router.
          marks: The marks of before the request was sent, and of now.
          now_ms: The current time.
        """
        end = self._record(start, subject, observer, now_ms)
        sent_mark, ended_mark = marks
        end.sent_mark = min(sent_mark, end.sent_mark or sent_mark)
        end.ended_mark = ended_mark

    def record_other(
        self,
        start: str,
        subject: crash_evidence.Subject,
        observer: str,
        now_ms: int,
    ) -> None:
        """Records an end that another router observed."""
        self._record(start, subject, observer, now_ms)

    def _record(
        self,
        start: str,
        subject: crash_evidence.Subject,
        observer: str,
        now_ms: int,
    ) -> _PendingEnd:
        """Returns the end under a subject, which begins to wait for proof."""
        self._drop_old(now_ms)
        ends = self._pending.setdefault(start, {})
        if subject not in ends:
            ends[subject] = _PendingEnd(set(), now_ms)
            self._count += 1
        end = ends[subject]
        end.observers.add(observer)
        end.known_ms = now_ms
        end.entries.clear()
        return end

    def pop_by_response(
        self, start: str, connection: int, sent_mark: int, observer: str
    ) -> list[OutlivedEnd]:
        """Returns the ends that a response proves to be none.

        Only ends that this router alone observed: another one may have seen
        the process end later.

        Args:
          start: Identifies the start of the upstream that responded.
          connection: The number of the connection, which is also a mark.
          sent_mark: A mark from before the request was sent.
          observer: Begins the names of this router's observations.
        """
        proven = []
        for subject, end in list(self._pending.get(start, {}).items()):
            if (
                end.sent_mark is None
                or connection >= end.sent_mark
                or sent_mark <= end.ended_mark
            ):
                continue
            own = {
                name
                for name in end.observers
                if observer and name.startswith(observer)
            }
            proven.append(OutlivedEnd(subject, start, frozenset(own)))
            end.observers -= own
            end.sent_mark = None
            if not end.observers:
                self._remove(start, subject)
        return proven

    def pop_by_entry(
        self, upstream: forwarding.Upstream, appended_after_ms: int
    ) -> list[OutlivedEnd]:
        """Returns the ends that an entry of the upstream proves to be none.

        Args:
          upstream: The entry.
          appended_after_ms: The entry was appended to the log after this time.
        """
        if not upstream.born_ms:
            return []
        start = name_start(upstream)
        proven = []
        for subject, end in list(self._pending.get(start, {}).items()):
            if appended_after_ms - end.known_ms < _WRITE_MS:
                continue
            end.entries.add(upstream.sequence)
            if len(end.entries) < _PROVING_ENTRIES:
                continue
            proven.append(OutlivedEnd(subject, start, frozenset(end.observers)))
            self._remove(start, subject)
        return proven

    def _remove(self, start: str, subject: crash_evidence.Subject) -> None:
        """Removes an end."""
        del self._pending[start][subject]
        self._count -= 1
        if not self._pending[start]:
            del self._pending[start]

    def _drop_old(self, now_ms: int) -> None:
        """Removes ends that get no more proof, and the oldest of too many."""
        for start in list(self._pending):
            ends = self._pending[start]
            for subject, end in list(ends.items()):
                is_old = now_ms - end.known_ms > _MAX_PENDING_MS
                if not is_old and self._count < _MAX_PENDING:
                    return
                self._remove(start, subject)


def name_start(upstream: forwarding.Upstream) -> str:
    """Returns the text that identifies the start of an upstream."""
    return f"{upstream.id}/{upstream.born_ms}"
