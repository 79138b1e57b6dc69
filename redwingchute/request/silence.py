"""Notices upstreams that have fallen silent, and the zones they are in.

An upstream whose host acknowledges nothing is out of reach, or lost a packet
at a bad moment. When a second one of its zone is silent too, the zone is likely
cut off; all of its upstreams that were not heard lately are left alone then,
before requests are lost on each of them. After a pause one request tries an
upstream again, while the others stay away.
"""

from collections.abc import Iterable

import attrs

# Upstreams that serve this router are heard several times in this time.
_HEARD_LATELY_MS = 300
# Upstreams that fall silent within this time fall silent together: requests to
# two of them come and fail as far apart.
_TOGETHER_MS = 1_500
# Cuts last for seconds; a lossy link is back in use soon.
_FIRST_PAUSE_MS = 1_000
_MAX_PAUSE_MS = 4_000
# Connecting takes no longer, or fails.
_TRIAL_MS = 600


@attrs.define
class _State:
    """What is known of one upstream.

    Attributes:
      heard_ms: When something came from it.
      failed_ms: When a request found it silent.
      silent_until_ms: Until when it is left alone.
      pauses: How often in a row it was found silent.
      is_on_trial: Whether a request tries it again.
    """

    heard_ms: int = -_HEARD_LATELY_MS
    failed_ms: int = -_TOGETHER_MS
    silent_until_ms: int = 0
    pauses: int = 0
    is_on_trial: bool = False


class SilenceWatch:
    """The upstreams that are out of reach."""

    def __init__(self) -> None:
        """Starts with every upstream in reach."""
        self._states: dict[str, _State] = {}

    def note_heard(self, upstream_id: str, now_ms: int) -> None:
        """Notes that something came from an upstream."""
        state = self._find(upstream_id)
        state.heard_ms = now_ms
        state.failed_ms = -_TOGETHER_MS
        state.silent_until_ms = 0
        state.pauses = 0
        state.is_on_trial = False

    def note_silent(
        self, upstream_id: str, zone_ids: Iterable[str], now_ms: int
    ) -> tuple[str, ...]:
        """Leaves an upstream alone, and those of its zone that are silent too.

        Args:
          upstream_id: The upstream that acknowledged nothing.
          zone_ids: The upstreams of its zone.
          now_ms: The current time.

        Returns:
          The upstreams that are left alone from now on.
        """
        others = [other for other in zone_ids if other != upstream_id]
        is_zone_silent = any(
            now_ms - self._find(other).failed_ms < _TOGETHER_MS
            for other in others
        )
        self._find(upstream_id).failed_ms = now_ms
        paused = [upstream_id]
        if is_zone_silent:
            paused += [
                other
                for other in others
                if now_ms - self._find(other).heard_ms >= _HEARD_LATELY_MS
            ]
        found = []
        for name in paused:
            # Requests that fail together say no more than the first.
            state = self._find(name)
            if state.is_on_trial or not self.is_silent(name, now_ms):
                found.append(name)
                self._pause(state, now_ms)
        return tuple(sorted(found))

    def is_silent(self, upstream_id: str, now_ms: int) -> bool:
        """Tells whether an upstream is left alone now."""
        state = self._states.get(upstream_id)
        return state is not None and now_ms < state.silent_until_ms

    def begin_use(self, upstream_id: str, now_ms: int) -> None:
        """Keeps others away while a request tries an upstream again."""
        state = self._states.get(upstream_id)
        if state is not None and state.pauses:
            state.silent_until_ms = now_ms + _TRIAL_MS
            state.is_on_trial = True

    def find_return_ms(self, upstream_ids: Iterable[str]) -> int:
        """Returns when the first of some upstreams is tried again."""
        return min(
            (self._find(name).silent_until_ms for name in upstream_ids),
            default=0,
        )

    def forget(self, upstream_id: str) -> None:
        """Forgets an upstream that is gone."""
        self._states.pop(upstream_id, None)

    def _find(self, upstream_id: str) -> _State:
        """Returns the state of an upstream."""
        return self._states.setdefault(upstream_id, _State())

    def _pause(self, state: _State, now_ms: int) -> None:
        """Leaves an upstream alone, longer each time."""
        pause_ms = min(_MAX_PAUSE_MS, _FIRST_PAUSE_MS << state.pauses)
        state.pauses = min(state.pauses + 1, 10)
        state.silent_until_ms = now_ms + pause_ms
        state.is_on_trial = False
