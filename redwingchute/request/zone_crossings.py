"""Applies and records the decisions of one router to leave its zone.

`zone_overflow` decides; this module keeps what it decides by: the delays of the
zones over the last second, which zones are silent, and whether requests of each
service leave now.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import types

import attrs

from redwingchute.core import forwarding
from redwingchute.process import decision_log
from redwingchute.request import upstream_choice
from redwingchute.request import zone_overflow

# Figures change with notices, which hubs get about as often.
_OBSERVE_INTERVAL_MS = 100
# The time over which the growth of a zone's load is measured.
_RISE_WINDOW_MS = 1_000
# A zone that was sent requests and from which no byte came for this long is
# silent: cut off, or so loaded that nothing begins.
_SILENCE_MS = 1_000
# After this time one more request tries a silent zone. Upstreams that go on to
# be silent are paused by then.
_SILENCE_TRIAL_MS = 4_000
_BYTES_PER_MB = 1_000_000


@attrs.frozen
class CrossingCounts:
    """What left the zone since the process started.

    Attributes:
      requests: The number of requests by zone and reason; retries count again.
      body_bytes: The bytes of their bodies by zone.
    """

    requests: Mapping[tuple[str, str], int]
    body_bytes: Mapping[str, int]


@attrs.define
class _ServiceState:
    """What is known of the load of one service.

    Attributes:
      observed_ms: When its zones were last observed.
      overflow: Whether requests leave because of load.
      own: The load of the own zone; None without usable upstreams.
      others: The loads of the other zones.
      delays: The delays of each zone over the last second, with their times.
    """

    observed_ms: int = 0
    overflow: zone_overflow.Overflow = zone_overflow.Overflow()
    own: zone_overflow.ZoneDelay | None = None
    others: dict[str, zone_overflow.ZoneDelay] = attrs.Factory(dict)
    delays: dict[str, collections.deque[tuple[int, float]]] = attrs.Factory(
        lambda: collections.defaultdict(collections.deque)
    )


class ZoneCrossings:
    """The requests of one router that leave its availability zone."""

    def __init__(self, zone: str, price_ms_per_mb: float) -> None:
        """Starts without any load.

        Args:
          zone: The router's zone.
          price_ms_per_mb: The delay that the operator would bear to keep one MB
            in its zone; 0 if requests go anywhere as if there were no zones.
        """
        self._zone = zone
        self._price_ms_per_mb = price_ms_per_mb
        self._services: dict[str, _ServiceState] = {}
        self._has_peers = False
        self._notice_ms: int | None = None
        # Since when each zone has sent nothing to this router although it was
        # sent requests.
        self._waiting_since_ms: dict[str, int] = {}
        # Why the request that was last chosen for an upstream leaves, and its
        # size.
        self._chosen: dict[str, tuple[zone_overflow.Reason, int]] = {}
        self._requests: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._body_bytes: collections.Counter[str] = collections.Counter()

    @property
    def is_priced(self) -> bool:
        """Whether leaving the zone has a price."""
        return self._price_ms_per_mb > 0

    @property
    def counts(self) -> CrossingCounts:
        """What left the zone since the process started."""
        return CrossingCounts(
            types.MappingProxyType(self._requests),
            types.MappingProxyType(self._body_bytes),
        )

    def set_has_peers(self, has_peers: bool) -> None:
        """Sets whether there are other routers, whose load must be known."""
        self._has_peers = has_peers

    def record_notice(self, now_ms: int) -> None:
        """Records that a load notice of another router arrived."""
        self._notice_ms = now_ms

    def record_data(self, zone: str) -> None:
        """Records that data arrived from an upstream of a zone."""
        self._waiting_since_ms.pop(zone, None)

    def should_observe(self, service: str, now_ms: int) -> bool:
        """Returns whether the load of a service should be observed again."""
        state = self._services.get(service)
        return (
            state is None or now_ms - state.observed_ms >= _OBSERVE_INTERVAL_MS
        )

    def observe(
        self,
        service: str,
        delays: Iterable[tuple[str, float]],
        now_ms: int,
    ) -> None:
        """Updates the load of a service.

        Args:
          service: The service.
          delays: The zone of each upstream that takes work, and the time in ms
            until it begins a new prompt.
          now_ms: The current time.
        """
        state = self._services.setdefault(service, _ServiceState())
        state.observed_ms = now_ms
        by_zone: dict[str, list[float]] = {}
        for zone, delay_ms in delays:
            by_zone.setdefault(zone, []).append(delay_ms)
        zones = {
            zone: _measure_zone(delays_ms, state.delays[zone], now_ms)
            for zone, delays_ms in by_zone.items()
        }
        for zone in state.delays.keys() - zones.keys():
            del state.delays[zone]
        state.own = zones.pop(self._zone, None)
        state.others = zones
        figures = self._find_figures(state, now_ms)
        before = state.overflow
        state.overflow = zone_overflow.update_overflow(before, figures, now_ms)
        if state.overflow != before:
            self._log_change(service, state.overflow.is_leaving, figures)

    def narrow(
        self,
        service: str,
        candidates: Sequence[upstream_choice.Candidate],
        request: forwarding.ForwardRequest,
        target_ms: int,
        now_ms: int,
    ) -> zone_overflow.Decision:
        """Returns the upstreams in the zone, or those where leaving pays.

        Args:
          service: The service.
          candidates: The upstreams that may run the request.
          request: The request.
          target_ms: The time within which its first event should arrive; 0 if
            there is none.
          now_ms: The current time.
        """
        state = self._services.setdefault(service, _ServiceState())
        size_bytes = zone_overflow.count_crossing_bytes(request)
        return zone_overflow.narrow_candidates(
            candidates,
            self._zone,
            self._find_figures(state, now_ms),
            state.overflow,
            zone_overflow.Need(
                self._price_ms_per_mb * size_bytes / _BYTES_PER_MB,
                target_ms,
                request.id,
                upstream_choice.find_affinity_key(request.generation),
            ),
        )

    def record_choice(
        self,
        upstream: forwarding.Upstream,
        reason: zone_overflow.Reason | None,
        request: forwarding.ForwardRequest,
    ) -> None:
        """Records which upstream was chosen for a request, and why."""
        if reason is not None:
            self._chosen[upstream.id] = reason, request.body_bytes

    def record_send(self, upstream: forwarding.Upstream, now_ms: int) -> None:
        """Records that a request is sent to the upstream chosen for it.

        If two requests are chosen for one upstream before the first is sent,
        both count with the reason and size of the second.
        """
        self._waiting_since_ms.setdefault(upstream.zone, now_ms)
        if upstream.zone == self._zone:
            return
        chosen = self._chosen.get(upstream.id)
        if chosen is not None:
            reason, body_bytes = chosen
            self._requests[upstream.zone, reason.value] += 1
            self._body_bytes[upstream.zone] += body_bytes

    def remove(self, upstream_id: str) -> None:
        """Discards what is known of a removed upstream."""
        self._chosen.pop(upstream_id, None)

    def _is_silent(self, zone: str, now_ms: int) -> bool:
        """Returns whether a zone that was sent requests sends nothing."""
        since_ms = self._waiting_since_ms.get(zone)
        if since_ms is None:
            return False
        if now_ms - since_ms >= _SILENCE_TRIAL_MS:
            del self._waiting_since_ms[zone]
            return False
        return now_ms - since_ms >= _SILENCE_MS

    def _find_figures(
        self, state: _ServiceState, now_ms: int
    ) -> zone_overflow.Figures:
        """Returns the load of a service as it was last observed."""
        return zone_overflow.Figures(
            state.own,
            {
                zone: delay
                for zone, delay in state.others.items()
                if not self._is_silent(zone, now_ms)
            },
            self._find_age_ms(now_ms),
        )

    def _find_age_ms(self, now_ms: int) -> int:
        """Returns the age of the newest report of other routers."""
        if not self._has_peers:
            return 0
        return now_ms - (self._notice_ms or 0)

    def _log_change(
        self, service: str, is_leaving: bool, figures: zone_overflow.Figures
    ) -> None:
        """Logs that requests of a service begin or cease to leave the zone."""
        own = figures.own
        fields = {
            "service": service,
            "own_delay_ms": round(own.delay_ms) if own is not None else None,
            "other_delays_ms": {
                zone: round(other.forecast_ms)
                for zone, other in sorted(figures.others.items())
            },
            "figures_age_ms": figures.age_ms,
        }
        if is_leaving:
            decision_log.log_event("zone_overflow_began", **fields)
        else:
            decision_log.log_event("zone_overflow_ended", **fields)


def _measure_zone(
    delays_ms: Sequence[float],
    history: collections.deque[tuple[int, float]],
    now_ms: int,
) -> zone_overflow.ZoneDelay:
    """Returns the load of one zone, and adds it to the zone's history.

    Args:
      delays_ms: The delay of each upstream.
      history: The delays of the last second, with their times.
      now_ms: The current time.
    """
    delay_ms = sum(delays_ms) / len(delays_ms)
    while history and now_ms - history[0][0] > _RISE_WINDOW_MS:
        history.popleft()
    earliest_ms = history[0][1] if history else delay_ms
    history.append((now_ms, delay_ms))
    return zone_overflow.ZoneDelay(
        len(delays_ms), delay_ms, max(0.0, delay_ms - earliest_ms)
    )
