"""Refuses requests that crash the upstreams that run them.

A request is known by its client account and the digest of its body. After
crashes of two upstreams it is refused for a time, on every router: each
router tells its siblings of the crashes that it sees. Another account's same
text counts for itself, so that nobody can have another's work refused.
"""

from typing import TypeVar

import attrs

from redwingchute.core import requesting

CRASHES_UNTIL_QUARANTINE = 2
CRASH_WINDOW_MS = 600_000
QUARANTINE_MS = 1_800_000

# Crash records kept at most, so that a flood cannot fill the memory.
_MAX_RECORDS = 4_096

_Record = TypeVar("_Record")


@attrs.frozen
class RequestKey:
    """Names a request across repeats by its caller."""

    client_account: str
    body_digest: bytes


@attrs.frozen
class QuarantineEntry:
    """A request that is refused now, as operators see it."""

    key: RequestKey
    until_ms: int
    author: str


class Quarantine:
    """The crash counts and refused requests that one router knows of."""

    def __init__(self, router_name: str) -> None:
        """Starts empty.

        Args:
          router_name: The author of the notices that this router makes.
        """
        self._router_name = router_name
        self._crashes: dict[RequestKey, list[requesting.CrashNotice]] = {}
        self._notices: dict[RequestKey, requesting.QuarantineNotice] = {}

    def take_crash(
        self, crash: requesting.CrashNotice, now_ms: int
    ) -> requesting.QuarantineNotice | None:
        """Counts a crash that this router or a sibling saw.

        Returns:
          The notice to send to siblings when the request is now refused.
        """
        key = RequestKey(crash.client_account, crash.body_digest)
        crashes = self._list_recent(key, now_ms)
        if any(known.attempt_id == crash.attempt_id for known in crashes):
            return None
        lifted = self._notices.get(key)
        if lifted is not None and lifted.changed_at_ms >= crash.crashed_at_ms:
            return None
        self._crashes.pop(key, None)
        self._crashes[key] = [*crashes, crash]
        _drop_oldest(self._crashes)
        upstreams = {known.upstream for known in self._crashes[key]}
        if len(upstreams) < CRASHES_UNTIL_QUARANTINE:
            return None
        notice = requesting.QuarantineNotice(
            key.client_account,
            key.body_digest,
            until_ms=now_ms + QUARANTINE_MS,
            changed_at_ms=now_ms,
            author=self._router_name,
        )
        return notice if self.take_notice(notice) else None

    def take_notice(self, notice: requesting.QuarantineNotice) -> bool:
        """Applies a notice; False when a later change is known.

        Of two changes at the same instant, lifting counts.
        """
        key = RequestKey(notice.client_account, notice.body_digest)
        known = self._notices.get(key)
        if known is not None and _rank(known) >= _rank(notice):
            return False
        self._notices.pop(key, None)
        self._notices[key] = notice
        _drop_oldest(self._notices)
        if notice.is_lifted:
            self._crashes.pop(key, None)
        return True

    def lift(
        self, key: RequestKey, author: str, now_ms: int
    ) -> requesting.QuarantineNotice | None:
        """Ends a quarantine and forgets the crashes behind it.

        Returns:
          The notice to send to siblings, or None when there was nothing.
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
        self.take_notice(notice)
        return notice

    def find(self, key: RequestKey, now_ms: int) -> QuarantineEntry | None:
        """Returns the entry that refuses a request now, or None."""
        notice = self._notices.get(key)
        if notice is None or notice.is_lifted or now_ms >= notice.until_ms:
            return None
        return QuarantineEntry(key, notice.until_ms, notice.author)

    def is_suspect(self, key: RequestKey, now_ms: int) -> bool:
        """Tells whether an upstream crashed under the request lately."""
        return bool(self._list_recent(key, now_ms))

    def list_entries(self, now_ms: int) -> tuple[QuarantineEntry, ...]:
        """Returns the requests that are refused now, soonest end first."""
        found = (self.find(key, now_ms) for key in self._notices)
        entries = [entry for entry in found if entry is not None]
        return tuple(sorted(entries, key=lambda entry: entry.until_ms))

    def _list_recent(
        self, key: RequestKey, now_ms: int
    ) -> list[requesting.CrashNotice]:
        """Returns the crashes of a request inside the window."""
        oldest_ms = now_ms - CRASH_WINDOW_MS
        return [
            crash
            for crash in self._crashes.get(key, ())
            if crash.crashed_at_ms > oldest_ms
        ]


def _drop_oldest(records: dict[RequestKey, _Record]) -> None:
    """Bounds a record map whose order is that of the last change."""
    while len(records) > _MAX_RECORDS:
        del records[next(iter(records))]


def _rank(notice: requesting.QuarantineNotice) -> tuple[int, bool]:
    """Orders the changes of one request."""
    return notice.changed_at_ms, notice.is_lifted
