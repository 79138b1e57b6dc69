"""Quarantines requests that crash the upstreams that run them.

A request is identified by its client account and a digest of its target and
body. After it has crashed two different upstreams, every router refuses it for
a time: routers send each other notices of the crashes that they observe. The
same request of another client account has another identity, so that no account
can get the requests of another one refused.
"""

from typing import TypeVar

import attrs

from redwingchute.core import requesting

CRASHES_UNTIL_QUARANTINE = 2
# Older crashes no longer count.
CRASH_WINDOW_MS = 600_000
QUARANTINE_MS = 1_800_000

# Bounds the memory that many different crashing requests can take.
_MAX_RECORDS = 4_096

_Record = TypeVar("_Record")


@attrs.frozen
class RequestKey:
    """Identifies a request and its repeats by the caller.

    Attributes:
      client_account: The client account; empty on routes without keys.
      body_digest: The digest of the request's target and body.
    """

    client_account: str
    body_digest: bytes


@attrs.frozen
class QuarantineEntry:
    """A quarantined request, for operators.

    Attributes:
      key: The request.
      until_ms: When the quarantine ends.
      author: The router that set it.
    """

    key: RequestKey
    until_ms: int
    author: str


class Quarantine:
    """One router's record of crashes and quarantined requests."""

    def __init__(self, router_name: str) -> None:
        """Creates a record without crashes.

        Args:
          router_name: The author of the notices that this router creates.
        """
        self._router_name = router_name
        self._crashes: dict[RequestKey, list[requesting.CrashNotice]] = {}
        self._notices: dict[RequestKey, requesting.QuarantineNotice] = {}

    def record_crash(
        self, crash: requesting.CrashNotice, now_ms: int
    ) -> requesting.QuarantineNotice | None:
        """Records a crash that this or another router observed.

        Each attempt counts once. Crashes from before the last change of the
        quarantine are ignored.

        Returns:
          The notice for other routers if this crash sets the quarantine, else
          None.
        """
        key = RequestKey(crash.client_account, crash.body_digest)
        crashes = self._list_recent(key, now_ms)
        if any(recorded.attempt_id == crash.attempt_id for recorded in crashes):
            return None
        last_change = self._notices.get(key)
        if (
            last_change is not None
            and last_change.changed_at_ms >= crash.crashed_at_ms
        ):
            return None
        self._crashes.pop(key, None)
        self._crashes[key] = [*crashes, crash]
        _evict_oldest(self._crashes)
        upstreams = {recorded.upstream for recorded in self._crashes[key]}
        if len(upstreams) < CRASHES_UNTIL_QUARANTINE:
            return None
        notice = requesting.QuarantineNotice(
            key.client_account,
            key.body_digest,
            until_ms=now_ms + QUARANTINE_MS,
            changed_at_ms=now_ms,
            author=self._router_name,
        )
        return notice if self.handle_notice(notice) else None

    def handle_notice(self, notice: requesting.QuarantineNotice) -> bool:
        """Applies a notice; returns False if a later change is known.

        Of two changes at the same time, lifting the quarantine takes
        precedence.
        """
        key = RequestKey(notice.client_account, notice.body_digest)
        last_change = self._notices.get(key)
        if last_change is not None and _make_order_key(
            last_change
        ) >= _make_order_key(notice):
            return False
        self._notices.pop(key, None)
        self._notices[key] = notice
        _evict_oldest(self._notices)
        if notice.is_lifted:
            self._crashes.pop(key, None)
        return True

    def lift(
        self, key: RequestKey, author: str, now_ms: int
    ) -> requesting.QuarantineNotice | None:
        """Lifts a quarantine and discards the crashes that caused it.

        Returns:
          The notice for other routers, or None if there was no quarantine.
        """
        if self.find(key, now_ms) is None:
            return None
        changed_at_ms = max(now_ms, self._notices[key].changed_at_ms)
        notice = requesting.QuarantineNotice(
            key.client_account,
            key.body_digest,
            until_ms=changed_at_ms,
            changed_at_ms=changed_at_ms,
            is_lifted=True,
            author=author,
        )
        self.handle_notice(notice)
        return notice

    def find(self, key: RequestKey, now_ms: int) -> QuarantineEntry | None:
        """Returns the quarantine of a request, or None."""
        notice = self._notices.get(key)
        if notice is None or notice.is_lifted or now_ms >= notice.until_ms:
            return None
        return QuarantineEntry(key, notice.until_ms, notice.author)

    def is_suspect(self, key: RequestKey, now_ms: int) -> bool:
        """Returns whether an upstream crashed under the request recently."""
        return bool(self._list_recent(key, now_ms))

    def list_entries(self, now_ms: int) -> tuple[QuarantineEntry, ...]:
        """Returns the quarantined requests in order of their end."""
        found = (self.find(key, now_ms) for key in self._notices)
        entries = [entry for entry in found if entry is not None]
        return tuple(sorted(entries, key=lambda entry: entry.until_ms))

    def _list_recent(
        self, key: RequestKey, now_ms: int
    ) -> list[requesting.CrashNotice]:
        """Returns the crashes under a request within the window."""
        oldest_ms = now_ms - CRASH_WINDOW_MS
        return [
            crash
            for crash in self._crashes.get(key, ())
            if crash.crashed_at_ms > oldest_ms
        ]


def _evict_oldest(records: dict[RequestKey, _Record]) -> None:
    """Removes the least recently changed records beyond the maximum."""
    while len(records) > _MAX_RECORDS:
        del records[next(iter(records))]


def _make_order_key(notice: requesting.QuarantineNotice) -> tuple[int, bool]:
    """Returns the key that orders changes of the same request."""
    return notice.changed_at_ms, notice.is_lifted
