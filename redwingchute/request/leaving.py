"""Keeps new work away from upstreams that are leaving.

The first sign counts: the host list, the upstream's own answer, or a sibling
router's notice. The host list lags, so that its word that a host is live ends
other signs only after it had called the host leaving itself. A leaving
upstream still reports its load, so that a load report ends a sign only after
the upstream was seen down.
"""

import enum

import attrs

# After this time without further evidence a request may try the upstream; if
# it is turned away, the sign starts anew.
SIGN_LIFE_MS = 30_000

# A sibling's notice about something older than this is of no use.
_MAX_NOTICE_AGE_MS = SIGN_LIFE_MS


class SignSource(enum.Enum):
    """Where a sign of leaving came from."""

    HOST_LIST = "host_list"
    ANSWER = "answer"
    SIBLING = "sibling"


@attrs.frozen
class _Sign:
    """One sign of one upstream."""

    seen_at_ms: int
    expires_at_ms: int | None


class LeavingUpstreams:
    """The upstreams that take no new work because they are about to stop."""

    def __init__(self) -> None:
        """Starts with no signs."""
        self._signs: dict[str, dict[SignSource, _Sign]] = {}
        self._seen_down_ms: dict[str, int] = {}

    def note_answer(self, upstream: str, now_ms: int) -> bool:
        """Takes an answer with X-Leaving; True when siblings need to know."""
        is_new = not self.is_leaving(upstream, now_ms)
        self._set(upstream, SignSource.ANSWER, now_ms, SIGN_LIFE_MS)
        return is_new

    def note_sibling(self, upstream: str, seen_at_ms: int, now_ms: int) -> None:
        """Takes a sibling's notice; clocks may differ, so age is bounded."""
        if now_ms - seen_at_ms < _MAX_NOTICE_AGE_MS:
            self._set(upstream, SignSource.SIBLING, now_ms, SIGN_LIFE_MS)

    def note_host_list(
        self, upstream: str, is_leaving: bool, now_ms: int
    ) -> None:
        """Takes what the host list says of an upstream now."""
        if is_leaving:
            self._set(upstream, SignSource.HOST_LIST, now_ms, None)
        elif SignSource.HOST_LIST in self._signs.get(upstream, {}):
            del self._signs[upstream]

    def note_down(self, upstream: str, now_ms: int) -> None:
        """Records that an upstream refused a connection."""
        if upstream in self._signs:
            self._seen_down_ms[upstream] = now_ms

    def note_up(self, upstream: str) -> None:
        """Ends the signs of an upstream that was down and answers again."""
        seen_down_ms = self._seen_down_ms.pop(upstream, None)
        if seen_down_ms is None:
            return
        signs = self._signs.get(upstream, {})
        for source in (SignSource.ANSWER, SignSource.SIBLING):
            sign = signs.get(source)
            if sign is not None and sign.seen_at_ms <= seen_down_ms:
                del signs[source]

    def is_leaving(self, upstream: str, now_ms: int) -> bool:
        """Tells whether any sign is in force."""
        return any(
            sign.expires_at_ms is None or now_ms < sign.expires_at_ms
            for sign in self._signs.get(upstream, {}).values()
        )

    def find_return_ms(self, upstream: str) -> int | None:
        """Returns when its signs end by themselves; None when they don't."""
        ends = [
            sign.expires_at_ms
            for sign in self._signs.get(upstream, {}).values()
        ]
        if None in ends:
            return None
        return max((end for end in ends if end is not None), default=0)

    def _set(
        self,
        upstream: str,
        source: SignSource,
        now_ms: int,
        life_ms: int | None,
    ) -> None:
        """Records a sign."""
        expires_at_ms = None if life_ms is None else now_ms + life_ms
        signs = self._signs.setdefault(upstream, {})
        signs[source] = _Sign(now_ms, expires_at_ms)
