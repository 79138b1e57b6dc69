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

# A signal of another source than the host list expires after this time. A
# request then tries the upstream; if the upstream rejects it as leaving, a new
# signal begins.
SIGNAL_TTL_MS = 30_000

# Notices of other routers about an older observation are ignored.
_MAX_NOTICE_AGE_MS = SIGNAL_TTL_MS


class SignalSource(enum.Enum):
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
class _Signal:
    """A signal that one upstream is leaving.

    Attributes:
      seen_at_ms: When it was recorded.
      expires_at_ms: When it expires, or None if it does not expire.
    """

    seen_at_ms: int
    expires_at_ms: int | None


class LeavingUpstreams:
    """The upstreams that accept no new work because they are about to stop."""

    def __init__(self) -> None:
        """Creates an instance without leaving upstreams."""
        self._signals: dict[str, dict[SignalSource, _Signal]] = {}
        self._down_at_ms: dict[str, int] = {}

    def record_response(self, upstream: str, now_ms: int) -> bool:
        """Records a response with the X-Leaving header.

        Returns:
          Whether the upstream was not yet known to be leaving, so that other
          routers must be notified.
        """
        is_new = not self.is_leaving(upstream, now_ms)
        self._add_signal(upstream, SignalSource.ANSWER, now_ms, SIGNAL_TTL_MS)
        return is_new

    def handle_sibling_notice(
        self, upstream: str, seen_at_ms: int, now_ms: int
    ) -> None:
        """Handles a notice of another router, unless it is too old.

        The clocks of routers may differ. The time of the observation is
        therefore used only to ignore old notices, and the time to live of the
        signal begins on arrival.

        Args:
          upstream: The name of the upstream.
          seen_at_ms: When the other router observed that it is leaving.
          now_ms: The current time.
        """
        if now_ms - seen_at_ms < _MAX_NOTICE_AGE_MS:
            self._add_signal(
                upstream, SignalSource.SIBLING, now_ms, SIGNAL_TTL_MS
            )

    def handle_host_state(
        self, upstream: str, is_leaving: bool, now_ms: int
    ) -> None:
        """Records the current state of an upstream in the host list.

        When the list no longer reports it as leaving, all its signals end.
        """
        if is_leaving:
            self._add_signal(upstream, SignalSource.HOST_LIST, now_ms, None)
        elif SignalSource.HOST_LIST in self._signals.get(upstream, {}):
            del self._signals[upstream]

    def mark_down(self, upstream: str, now_ms: int) -> None:
        """Marks an upstream as down, since it refused a connection."""
        if upstream in self._signals:
            self._down_at_ms[upstream] = now_ms

    def mark_up(self, upstream: str) -> None:
        """Marks an upstream as up, since it responded.

        If it was down, it has restarted: signals from before that end, except
        that of the host list.
        """
        down_at_ms = self._down_at_ms.pop(upstream, None)
        if down_at_ms is None:
            return
        signals = self._signals.get(upstream, {})
        for source in (SignalSource.ANSWER, SignalSource.SIBLING):
            signal = signals.get(source)
            if signal is not None and signal.seen_at_ms <= down_at_ms:
                del signals[source]

    def is_leaving(self, upstream: str, now_ms: int) -> bool:
        """Returns whether an upstream has a signal that has not expired."""
        return any(
            signal.expires_at_ms is None or now_ms < signal.expires_at_ms
            for signal in self._signals.get(upstream, {}).values()
        )

    def find_expiry_ms(self, upstream: str) -> int | None:
        """Returns when the last signal of an upstream expires.

        Returns 0 if it has no signal, and None if one does not expire.
        """
        expiries_ms = [
            signal.expires_at_ms
            for signal in self._signals.get(upstream, {}).values()
        ]
        if None in expiries_ms:
            return None
        return max(
            (expiry_ms for expiry_ms in expiries_ms if expiry_ms is not None),
            default=0,
        )

    def _add_signal(
        self,
        upstream: str,
        source: SignalSource,
        now_ms: int,
        ttl_ms: int | None,
    ) -> None:
        """Records a signal, which does not expire if `ttl_ms` is None."""
        expires_at_ms = None if ttl_ms is None else now_ms + ttl_ms
        signals = self._signals.setdefault(upstream, {})
        signals[source] = _Signal(now_ms, expires_at_ms)
