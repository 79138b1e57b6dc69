"""Tracks the upstreams that are leaving, which get no new work.

A leaving upstream completes its requests and then stops. Any one of three
signals marks it: the host list, its own response, or a notice of another
router. The host list lags, so a live entry ends the other signals only after
the list itself had reported the upstream as leaving. A leaving upstream still
reports its load, so a load report ends signals only after the upstream was
down.
"""

import enum

import attrs

# A signal expires after this time. A request then tries the upstream; if the
# upstream rejects it as leaving, a new signal begins.
SIGN_LIFE_MS = 30_000

# Notices of other routers about an older observation are ignored.
_MAX_NOTICE_AGE_MS = SIGN_LIFE_MS


class SignSource(enum.Enum):
    """The source of a signal that an upstream is leaving.

    Attributes:
      HOST_LIST: The platform's host list.
      ANSWER: The upstream's own response.
      SIBLING: A notice of another router.
    """

    HOST_LIST = "host_list"
    ANSWER = "answer"
    SIBLING = "sibling"


@attrs.frozen
class _Sign:
    """A signal that one upstream is leaving; None: it does not expire."""

    seen_at_ms: int
    expires_at_ms: int | None


class LeavingUpstreams:
    """The upstreams that accept no new work because they are about to stop."""

    def __init__(self) -> None:
        """Creates an instance without leaving upstreams."""
        self._signs: dict[str, dict[SignSource, _Sign]] = {}
        self._seen_down_ms: dict[str, int] = {}

    def note_answer(self, upstream: str, now_ms: int) -> bool:
        """Records a response with the X-Leaving header.

        Returns:
          Whether the upstream was not yet known to be leaving, so that other
          routers must be notified.
        """
        is_new = not self.is_leaving(upstream, now_ms)
        self._set(upstream, SignSource.ANSWER, now_ms, SIGN_LIFE_MS)
        return is_new

    def note_sibling(self, upstream: str, seen_at_ms: int, now_ms: int) -> None:
        """Handles a notice of another router, unless it is too old.

        A signal lasts from its arrival here, since clocks may differ.
        """
        if now_ms - seen_at_ms < _MAX_NOTICE_AGE_MS:
            self._set(upstream, SignSource.SIBLING, now_ms, SIGN_LIFE_MS)

    def note_host_list(
        self, upstream: str, is_leaving: bool, now_ms: int
    ) -> None:
        """Records the current state of an upstream in the host list."""
        if is_leaving:
            self._set(upstream, SignSource.HOST_LIST, now_ms, None)
        elif SignSource.HOST_LIST in self._signs.get(upstream, {}):
            del self._signs[upstream]

    def note_down(self, upstream: str, now_ms: int) -> None:
        """Marks an upstream as down, since it refused a connection."""
        if upstream in self._signs:
            self._seen_down_ms[upstream] = now_ms

    def note_up(self, upstream: str) -> None:
        """Marks an upstream as up, since it responded.

        If it was down, it has restarted, and its signals from before end. Those
        of the host list remain.
        """
        seen_down_ms = self._seen_down_ms.pop(upstream, None)
        if seen_down_ms is None:
            return
        signs = self._signs.get(upstream, {})
        for source in (SignSource.ANSWER, SignSource.SIBLING):
            sign = signs.get(source)
            if sign is not None and sign.seen_at_ms <= seen_down_ms:
                del signs[source]

    def is_leaving(self, upstream: str, now_ms: int) -> bool:
        """Returns whether an upstream has a signal that has not expired."""
        return any(
            sign.expires_at_ms is None or now_ms < sign.expires_at_ms
            for sign in self._signs.get(upstream, {}).values()
        )

    def find_return_ms(self, upstream: str) -> int | None:
        """Returns when the last signal expires.

        0 means that there is none, and None that one does not expire.
        """
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
        """Records a signal, which does not expire if `life_ms` is None."""
        expires_at_ms = None if life_ms is None else now_ms + life_ms
        signs = self._signs.setdefault(upstream, {})
        signs[source] = _Sign(now_ms, expires_at_ms)
