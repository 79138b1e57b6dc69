"""Detects outliers: upstreams that fail repeatedly and are then avoided.

An upstream that refuses connections is avoided until a connection succeeds or
its backoff has passed. An upstream that accepts connections but fails requests
repeatedly is ejected for a time. Both times double with each repetition up to a
maximum. The ejected share of a pool is limited: when most upstreams fail, the
cause is probably elsewhere, and the remaining ones would be overloaded by the
work of the ejected ones.
"""

import attrs

FAILURES_UNTIL_EJECTION = 3
MAX_EJECTED_SHARE = 0.34
_BASE_EJECTION_MS = 2_000
_MAX_EJECTION_MS = 60_000
_BASE_UNREACHABLE_MS = 250
_MAX_UNREACHABLE_MS = 4_000
# Bounds the shift by which a delay is doubled repeatedly.
_MAX_DOUBLINGS = 10


@attrs.define
class _State:
    """The failures of one upstream and the backoffs that follow from them.

    Attributes:
      failures: Consecutive failed attempts.
      ejections: Recent ejections, which set the duration of the next one.
      ejected_until_ms: The end of the last ejection; 0 after a success.
      connect_failures: Consecutive connections that failed.
      unreachable_until_ms: The end of the backoff after a failed connection.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    connect_failures: int = 0
    unreachable_until_ms: int = 0


class OutlierDetector:
    """Tracks the failures of the upstreams of one pool.

    Reports about unknown upstreams are ignored.
    """

    def __init__(self, upstream_names: tuple[str, ...]) -> None:
        """Creates a detector without failures."""
        self._states: dict[str, _State] = {}
        self._max_ejected = 0
        self.set_upstreams(upstream_names)

    def set_upstreams(self, upstream_names: tuple[str, ...]) -> None:
        """Sets the upstreams of the pool; known ones keep their state."""
        self._states = {
            name: self._states.get(name, _State()) for name in upstream_names
        }
        # At least one may be ejected, but never the last one of the pool.
        share = int(MAX_EJECTED_SHARE * len(upstream_names))
        self._max_ejected = min(max(1, share), len(upstream_names) - 1)

    def record_success(self, name: str) -> None:
        """Clears the failures of an upstream.

        The first success ends an ejection. Each later one decrements the
        number of ejections, which sets the duration of the next ejection.
        """
        state = self._states.get(name, _State())
        state.failures = 0
        state.connect_failures = 0
        state.unreachable_until_ms = 0
        if state.ejected_until_ms == 0:
            state.ejections = max(0, state.ejections - 1)
        state.ejected_until_ms = 0

    def mark_reachable(self, name: str) -> None:
        """Marks an upstream as reachable, since it accepted a connection."""
        state = self._states.get(name, _State())
        state.connect_failures = 0
        state.unreachable_until_ms = 0

    def mark_unreachable(self, name: str, now_ms: int) -> None:
        """Marks an upstream as unreachable for a time, with backoff."""
        state = self._states.get(name, _State())
        delay_ms = min(
            _MAX_UNREACHABLE_MS, _BASE_UNREACHABLE_MS << state.connect_failures
        )
        state.connect_failures = min(state.connect_failures + 1, _MAX_DOUBLINGS)
        state.unreachable_until_ms = now_ms + delay_ms

    def record_failure(self, name: str, now_ms: int) -> bool:
        """Records a failed attempt; returns whether it ejects the upstream."""
        state = self._states.get(name, _State())
        state.failures += 1
        if state.failures < FAILURES_UNTIL_EJECTION:
            return False
        if self.count_ejected(now_ms) >= self._max_ejected:
            return False
        delay_ms = min(_MAX_EJECTION_MS, _BASE_EJECTION_MS << state.ejections)
        state.ejections = min(state.ejections + 1, _MAX_DOUBLINGS)
        state.failures = 0
        state.ejected_until_ms = now_ms + delay_ms
        return True

    def is_unreachable(self, name: str, now_ms: int) -> bool:
        """Returns whether an upstream is avoided after a failed connection."""
        state = self._states.get(name, _State())
        return state.unreachable_until_ms > now_ms

    def count_ejected(self, now_ms: int) -> int:
        """Returns how many upstreams are ejected."""
        return sum(
            state.ejected_until_ms > now_ms for state in self._states.values()
        )

    def find_available_ms(self, name: str) -> int:
        """Returns when an upstream may be used again; a past time means now."""
        state = self._states.get(name, _State())
        return max(state.ejected_until_ms, state.unreachable_until_ms)
