"""Learns how fast plain services work and how many requests they queue.

A plain request states no size, so its duration is that of others. Where an
upstream rejects is learned from its rejections; until then no limit is assumed.
"""

import collections

import attrs

# The weight of the newest sample in the moving average of durations.
_SAMPLE_WEIGHT = 0.1
# One duration raises the average at most as if it were this many times as long,
# so that a few slow requests do not look like a queue.
_MAX_SAMPLE_FACTOR = 2.0
# The load of the fleet is some hundred milliseconds old: a limit is assumed
# only after several rejections, at the mean load at which they occurred.
_MIN_REJECTIONS = 3
_MAX_REJECTIONS = 8
# A shorter queue is empty before the figures of the fleet, which are up to half
# a second old, show that it was full; no limit is assumed then.
_MIN_QUEUE_MS = 250
# What is learned from a rejection is used this long.
_REJECTION_TTL_MS = 60_000


@attrs.frozen
class _Rejection:
    """A rejection, and the open requests for each slot at that time."""

    at_ms: int
    slot_load: float


@attrs.define
class _ServiceState:
    """What is known of one service.

    Attributes:
      duration_ms: The mean duration of requests that need not wait; 0 before
        the first.
      rejections: Its newest rejections for want of room.
    """

    duration_ms: float = 0.0
    rejections: collections.deque[_Rejection] = attrs.Factory(
        lambda: collections.deque(maxlen=_MAX_REJECTIONS)
    )


class PlainQueues:
    """The durations and queues of all plain services."""

    def __init__(self) -> None:
        """Creates a model without samples."""
        self._services: dict[str, _ServiceState] = {}

    def record_completed(
        self, service: str, elapsed_ms: int, open_requests: int, slots: int
    ) -> None:
        """Records a completed request.

        Args:
          service: Its service.
          elapsed_ms: The time since it was sent.
          open_requests: The other requests that were open at its upstream.
          slots: The slots of the upstream.
        """
        if open_requests >= slots:
            return
        state = self._get_state(service)
        mean = state.duration_ms or elapsed_ms
        sample = min(elapsed_ms, _MAX_SAMPLE_FACTOR * mean)
        state.duration_ms = mean + _SAMPLE_WEIGHT * (sample - mean)

    def record_rejected(
        self, service: str, open_requests: int, slots: int, now_ms: int
    ) -> None:
        """Records a rejection; one with free slots has another cause."""
        if open_requests >= slots:
            self._get_state(service).rejections.append(
                _Rejection(now_ms, open_requests / slots)
            )

    def estimate_open(
        self,
        service: str,
        own_requests: int,
        open_requests: float,
        slots: int,
        age_ms: int,
    ) -> float:
        """Returns how many requests are still open at an upstream.

        Other routers may have sent further ones meanwhile, so that this is
        rather too low than too high.

        Args:
          service: Its service.
          own_requests: The open requests of this router.
          open_requests: Those of all routers, the others' by their notices.
          slots: The slots of the upstream.
          age_ms: The age of the notices.
        """
        duration_ms = self._get_state(service).duration_ms
        if not duration_ms:
            return open_requests
        completed = age_ms / duration_ms * slots
        return own_requests + max(0.0, open_requests - own_requests - completed)

    def estimate_wait_ms(
        self, service: str, open_requests: float, slots: int
    ) -> float:
        """Returns the time until an upstream has a slot for a new request."""
        duration_ms = self._get_state(service).duration_ms
        return max(0.0, open_requests + 1 - slots) / slots * duration_ms

    def find_max_open(
        self, service: str, slots: int, now_ms: int
    ) -> float | None:
        """Returns how many open requests an upstream bears, or None."""
        state = self._get_state(service)
        loads = [
            rejection.slot_load
            for rejection in state.rejections
            if now_ms - rejection.at_ms < _REJECTION_TTL_MS
        ]
        if len(loads) < _MIN_REJECTIONS:
            return None
        slot_load = sum(loads) / len(loads)
        if (slot_load - 1) * state.duration_ms < _MIN_QUEUE_MS:
            return None
        return slots * slot_load

    def _get_state(self, service: str) -> _ServiceState:
        """Returns the state of a service, which is created if missing."""
        return self._services.setdefault(service, _ServiceState())
