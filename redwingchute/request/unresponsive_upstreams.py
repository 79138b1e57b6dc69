"""Pauses the use of unresponsive upstreams, and of whole zones with them.

If the host of an upstream acknowledges nothing, either it is unreachable or a
single packet was lost. When a second upstream of the same zone becomes
unresponsive shortly after the first, the zone is probably behind a network
partition. All upstreams of the zone from which no data arrived recently are
then paused, before a request is lost on each of them. After the pause one
request probes the upstream while other requests avoid it.
"""

from collections.abc import Iterable

import attrs

# Data arrives several times within this time from an upstream in use.
_RECENT_DATA_MS = 300
# Upstreams of a zone that become unresponsive within this time have a common
# cause: requests to two of them start and fail at most this far apart.
_COMMON_CAUSE_MS = 1_500
# Network partitions last for seconds. After a lost packet an upstream returns
# to use soon.
_MIN_PAUSE_MS = 1_000
_MAX_PAUSE_MS = 4_000
# Bounds the shift by which the pause is doubled repeatedly.
_MAX_CONSECUTIVE_PAUSES = 10
# How long other requests avoid an upstream that is probed. Connecting succeeds
# or fails within it.
_PROBE_MS = 600


@attrs.define
class _State:
    """The state of one upstream.

    Attributes:
      received_ms: When data last arrived from it.
      failed_ms: When it was last found unresponsive.
      paused_until_ms: The end of its pause or probe.
      consecutive_pauses: The number of consecutive pauses.
      is_probed: Whether a request probes it.
    """

    received_ms: int = -_RECENT_DATA_MS
    failed_ms: int = -_COMMON_CAUSE_MS
    paused_until_ms: int = 0
    consecutive_pauses: int = 0
    is_probed: bool = False


class UnresponsiveUpstreams:
    """Tracks which upstreams are unresponsive."""

    def __init__(self) -> None:
        """Creates a tracker without unresponsive upstreams."""
        self._states: dict[str, _State] = {}

    def mark_responsive(self, upstream_id: str, now_ms: int) -> None:
        """Ends the pause of an upstream, since data arrived from it."""
        state = self._get_state(upstream_id)
        state.received_ms = now_ms
        state.failed_ms = -_COMMON_CAUSE_MS
        state.paused_until_ms = 0
        state.consecutive_pauses = 0
        state.is_probed = False

    def mark_unresponsive(
        self, upstream_id: str, zone_ids: Iterable[str], now_ms: int
    ) -> tuple[str, ...]:
        """Pauses an upstream, and its zone if a second one is unresponsive.

        Args:
          upstream_id: The upstream whose host acknowledged nothing.
          zone_ids: The ids of all upstreams of its zone.
          now_ms: The current time.

        Returns:
          The upstreams whose pause begins now, in order of their ids.
        """
        other_ids = [
            other_id for other_id in zone_ids if other_id != upstream_id
        ]
        is_zone_unresponsive = any(
            now_ms - self._get_state(other_id).failed_ms < _COMMON_CAUSE_MS
            for other_id in other_ids
        )
        self._get_state(upstream_id).failed_ms = now_ms
        candidate_ids = [upstream_id]
        if is_zone_unresponsive:
            candidate_ids += [
                other_id
                for other_id in other_ids
                if now_ms - self._get_state(other_id).received_ms
                >= _RECENT_DATA_MS
            ]
        paused_ids = []
        for candidate_id in candidate_ids:
            # Of requests that fail on the same upstream together, only the
            # first starts a pause.
            state = self._get_state(candidate_id)
            if state.is_probed or not self.is_paused(candidate_id, now_ms):
                paused_ids.append(candidate_id)
                self._start_pause(state, now_ms)
        return tuple(sorted(paused_ids))

    def is_paused(self, upstream_id: str, now_ms: int) -> bool:
        """Returns whether an upstream is paused, or probed by a request."""
        state = self._states.get(upstream_id)
        return state is not None and now_ms < state.paused_until_ms

    def begin_request(self, upstream_id: str, now_ms: int) -> None:
        """Records that a request to an upstream starts; sends nothing itself.

        If the upstream was paused and no data has arrived from it since, the
        request is a probe: other requests avoid the upstream for `_PROBE_MS`,
        or until data arrives.
        """
        state = self._states.get(upstream_id)
        if state is not None and state.consecutive_pauses:
            state.paused_until_ms = now_ms + _PROBE_MS
            state.is_probed = True

    def find_pause_end_ms(self, upstream_id: str) -> int:
        """Returns when an upstream may be used; a past time means now."""
        state = self._states.get(upstream_id)
        return 0 if state is None else state.paused_until_ms

    def remove(self, upstream_id: str) -> None:
        """Discards the state of a removed upstream."""
        self._states.pop(upstream_id, None)

    def _get_state(self, upstream_id: str) -> _State:
        """Returns the state of an upstream, which is created if missing."""
        return self._states.setdefault(upstream_id, _State())

    def _start_pause(self, state: _State, now_ms: int) -> None:
        """Starts a pause; consecutive pauses double up to the maximum."""
        pause_ms = min(_MAX_PAUSE_MS, _MIN_PAUSE_MS << state.consecutive_pauses)
        state.consecutive_pauses = min(
            state.consecutive_pauses + 1, _MAX_CONSECUTIVE_PAUSES
        )
        state.paused_until_ms = now_ms + pause_ms
        state.is_probed = False
