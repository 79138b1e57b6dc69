"""Takes upstreams that keep failing out of use for a while.

An upstream that refuses connections is out until a connection succeeds or its
delay has passed. One that answers but keeps failing is ejected, and only so
many at once: when most of a pool seems to fail, the cause is likely
elsewhere, and the rest would drown under the work of the ejected.
"""

import attrs

FAILURES_UNTIL_EJECTION = 3
MAX_EJECTED_SHARE = 0.34
_BASE_EJECTION_MS = 2_000
_MAX_EJECTION_MS = 60_000
_BASE_UNREACHABLE_MS = 250
_MAX_UNREACHABLE_MS = 4_000


@attrs.define
class _State:
    """What is known of one upstream."""

    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    connect_failures: int = 0
    unreachable_until_ms: int = 0


class OutlierDetector:
    """The failures of one pool's upstreams."""

    def __init__(self, upstream_names: tuple[str, ...]) -> None:
        """Starts with every upstream in use."""
        self._states: dict[str, _State] = {}
        self._max_ejected = 0
        self.set_upstreams(upstream_names)

    def set_upstreams(self, upstream_names: tuple[str, ...]) -> None:
        """Takes the pool's upstreams; known ones keep their state."""
        self._states = {
            name: self._states.get(name, _State()) for name in upstream_names
        }
        # One may always be ejected, but never the last.
        share = int(MAX_EJECTED_SHARE * len(upstream_names))
        self._max_ejected = min(max(1, share), len(upstream_names) - 1)

    def note_success(self, name: str) -> None:
        """Forgets an upstream's failures, but not how often it was ejected."""
        state = self._states.get(name, _State())
        state.failures = 0
        state.connect_failures = 0
        state.unreachable_until_ms = 0
        if state.ejected_until_ms == 0:
            state.ejections = max(0, state.ejections - 1)
        state.ejected_until_ms = 0

    def note_connected(self, name: str) -> None:
        """Uses an upstream again that refused connections before."""
        state = self._states.get(name, _State())
        state.connect_failures = 0
        state.unreachable_until_ms = 0

    def note_connect_failure(self, name: str, now_ms: int) -> None:
        """Takes an upstream out after a refused connection."""
        state = self._states.get(name, _State())
        delay_ms = min(
            _MAX_UNREACHABLE_MS, _BASE_UNREACHABLE_MS << state.connect_failures
        )
        state.connect_failures = min(state.connect_failures + 1, 10)
        state.unreachable_until_ms = now_ms + delay_ms

    def note_failure(self, name: str, now_ms: int) -> bool:
        """Counts a failed attempt; True when the upstream is now ejected."""
        state = self._states.get(name, _State())
        state.failures += 1
        if state.failures < FAILURES_UNTIL_EJECTION:
            return False
        if self.count_ejected(now_ms) >= self._max_ejected:
            return False
        delay_ms = min(_MAX_EJECTION_MS, _BASE_EJECTION_MS << state.ejections)
        state.ejections = min(state.ejections + 1, 10)
        state.failures = 0
        state.ejected_until_ms = now_ms + delay_ms
        return True

    def is_unreachable(self, name: str, now_ms: int) -> bool:
        """Tells whether an upstream refused connections until lately."""
        state = self._states.get(name, _State())
        return state.unreachable_until_ms > now_ms

    def count_ejected(self, now_ms: int) -> int:
        """Returns how many upstreams are ejected now."""
        return sum(
            state.ejected_until_ms > now_ms for state in self._states.values()
        )

    def find_return_ms(self, name: str) -> int:
        """Returns when an upstream may be used; a past time means now."""
        state = self._states.get(name, _State())
        return max(state.ejected_until_ms, state.unreachable_until_ms)
