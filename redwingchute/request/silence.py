"""Pauses the use of unresponsive upstreams, and of whole zones with them.

An upstream whose host acknowledges nothing is either unreachable or has lost a
single packet. When a second upstream of the same zone becomes unresponsive
shortly after the first, the zone is probably partitioned off. All upstreams of
the zone from which no data arrived recently are then paused, before a request
is lost on each of them. After the pause one request probes the upstream while
other requests avoid it.
"""

from collections.abc import Iterable

import attrs

# Data arrives several times within this time from an upstream in use.
_HEARD_LATELY_MS = 300
# Upstreams of a zone that become unresponsive within this time have a common
# cause: requests to two of them start and fail at most this far apart.
_TOGETHER_MS = 1_500
# Network partitions last for seconds. After a lost packet an upstream returns
# to use soon.
_FIRST_PAUSE_MS = 1_000
_MAX_PAUSE_MS = 4_000
# How long other requests avoid an upstream that is probed. Connecting succeeds
# or fails within it.
_TRIAL_MS = 600


@attrs.define
class _State:
    """The state of one upstream.

    Attributes:
      heard_ms: When data last arrived from it.
      failed_ms: When it was last found unresponsive.
      silent_until_ms: The end of its pause or probe.
      pauses: The number of consecutive pauses.
      is_on_trial: Whether a request probes it.
    """

    heard_ms: int = -_HEARD_LATELY_MS
    failed_ms: int = -_TOGETHER_MS
    silent_until_ms: int = 0
    pauses: int = 0
    is_on_trial: bool = False


class SilenceWatch:
    """Tracks which upstreams are unresponsive."""

    def __init__(self) -> None:
        """Creates a tracker to which every upstream is responsive."""
        self._states: dict[str, _State] = {}

    def note_heard(self, upstream_id: str, now_ms: int) -> None:
        """Ends the pause of an upstream, since data arrived from it."""
        state = self._find(upstream_id)
        state.heard_ms = now_ms
        state.failed_ms = -_TOGETHER_MS
        state.silent_until_ms = 0
        state.pauses = 0
        state.is_on_trial = False

    def note_silent(
        self, upstream_id: str, zone_ids: Iterable[str], now_ms: int
    ) -> tuple[str, ...]:
        """Pauses an upstream, and its zone if a second one is unresponsive.

        Args:
          upstream_id: The upstream whose host acknowledged nothing.
          zone_ids: The upstreams of its zone.
          now_ms: The current time.

        Returns:
          The upstreams whose pause begins now, in order of their ids.
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
            # Requests that fail on the same upstream together extend its pause
            # once only.
            state = self._find(name)
            if state.is_on_trial or not self.is_silent(name, now_ms):
                found.append(name)
                self._pause(state, now_ms)
        return tuple(sorted(found))

    def is_silent(self, upstream_id: str, now_ms: int) -> bool:
        """Returns whether an upstream is paused."""
        state = self._states.get(upstream_id)
        return state is not None and now_ms < state.silent_until_ms

    def begin_use(self, upstream_id: str, now_ms: int) -> None:
        """Begins a request; after a pause, others then avoid the upstream."""
        state = self._states.get(upstream_id)
        if state is not None and state.pauses:
            state.silent_until_ms = now_ms + _TRIAL_MS
            state.is_on_trial = True

    def find_return_ms(self, upstream_ids: Iterable[str]) -> int:
        """Returns when the first of some upstreams may be used again."""
        return min(
            (self._find(name).silent_until_ms for name in upstream_ids),
            default=0,
        )

    def forget(self, upstream_id: str) -> None:
        """Discards the state of a removed upstream."""
        self._states.pop(upstream_id, None)

    def _find(self, upstream_id: str) -> _State:
        """Returns the state of an upstream, which is created if missing."""
        return self._states.setdefault(upstream_id, _State())

    def _pause(self, state: _State, now_ms: int) -> None:
        """Starts a pause; consecutive pauses double up to the maximum."""
        pause_ms = min(_MAX_PAUSE_MS, _FIRST_PAUSE_MS << state.pauses)
        state.pauses = min(state.pauses + 1, 10)
        state.silent_until_ms = now_ms + pause_ms
        state.is_on_trial = False
