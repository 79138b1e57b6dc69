"""The upstreams of all services, with their load over all routers.

The directory combines the load of the fleet, the prefill model, outlier
detection and the pauses of unresponsive upstreams to choose upstreams.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import math

import attrs

from redwingchute.core import forwarding
from redwingchute.core import requesting
from redwingchute.request import account_work
from redwingchute.request import cold_upstreams
from redwingchute.request import departures
from redwingchute.request import fleet_load
from redwingchute.request import home_regions
from redwingchute.request import load_exchange
from redwingchute.request import outlier_detector
from redwingchute.request import plain_queues
from redwingchute.request import prefill_model
from redwingchute.request import requested_pauses
from redwingchute.request import service_pressure
from redwingchute.request import stream_origins
from redwingchute.request import unresponsive_upstreams
from redwingchute.request import upstream_choice
from redwingchute.request import upstream_limits
from redwingchute.request import version_history
from redwingchute.request import zone_crossings
from redwingchute.request import zone_overflow


@attrs.define
class _Pool:
    """The upstreams of one service.

    Attributes:
      upstreams: The upstreams, by id.
      outliers: Detects those that fail.
    """

    upstreams: dict[str, forwarding.Upstream]
    outliers: outlier_detector.OutlierDetector


class UpstreamDirectory:
    """The upstreams of all services and what is known of each.

    Attributes:
      limits: The rates to which upstreams limit the requests of the fleet.
      cold: The upstreams that bear few requests because they started lately.
      crossings: The requests that leave the router's zone.
      works: The work that client accounts ask of services.
    """

    def __init__(
        self,
        zone: str,
        host: str = "",
        drain_ms: int = 2_000,
        read_clock_ms: Callable[[], int] = lambda: 0,
        cold: cold_upstreams.ColdUpstreams | None = None,
        crossing_ms_per_mb: float = 0.0,
    ) -> None:
        """Creates a directory without upstreams.

        Args:
          zone: The router's availability zone.
          host: The router's host.
          drain_ms: How long an upstream that leaves still accepts requests.
          read_clock_ms: Returns the time on a steady clock, which dates the
            history of versions.
          cold: Tracks cold upstreams; None if no service has any.
          crossing_ms_per_mb: The price of leaving the zone, see
            `zone_crossings`.
        """
        self._zone = zone
        self.crossings = zone_crossings.ZoneCrossings(zone, crossing_ms_per_mb)
        self._pools: dict[str, _Pool] = {}
        self._service_names: dict[str, str] = {}
        self._prefill = prefill_model.PrefillModel()
        self._load = fleet_load.FleetLoad(self._prefill.estimate_ms_per_token)
        self.works = account_work.AccountWorks()
        self._exchange = load_exchange.LoadExchange(self._load, self.works)
        self._plain_queues = plain_queues.PlainQueues()
        self._unresponsive = unresponsive_upstreams.UnresponsiveUpstreams()
        self._departures = departures.Departures(drain_ms)
        self._pauses = requested_pauses.RequestedPauses(host)
        self.limits = upstream_limits.UpstreamLimits()
        self.cold = cold or cold_upstreams.ColdUpstreams(
            read_clock_ms, lambda: 0, lambda notice: None
        )
        # The zones to whose upstreams nothing new is sent.
        self._closed_zones: frozenset[str] = frozenset()
        self._read_clock_ms = read_clock_ms
        self._versions = version_history.VersionHistory()

    def close_zones(self, zones: frozenset[str]) -> None:
        """Sets the zones to whose upstreams nothing new is sent."""
        self._closed_zones = zones

    def is_closed(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether nothing new is sent to an upstream's zone."""
        return upstream.zone in self._closed_zones

    def set_upstream(self, upstream: forwarding.Upstream) -> None:
        """Adds an upstream or replaces its entry; its service may change.

        Nothing that is known of an earlier start applies to a later one.
        """
        known = self.find(upstream.id)
        if known is not None and (known.service, known.start) != (
            upstream.service,
            upstream.start,
        ):
            self.remove(upstream.id)
        if known is not None and known.version != upstream.version:
            self._record_versions(upstream.service)
        self.cold.record_entry(upstream)
        self._service_names[upstream.id] = upstream.service
        pool = self._get_pool(upstream.service)
        is_new = upstream.id not in pool.upstreams
        pool.upstreams[upstream.id] = upstream
        if is_new:
            pool.outliers.set_upstreams(tuple(pool.upstreams))

    def remove(self, upstream_id: str) -> None:
        """Removes an upstream; unknown ones are ignored."""
        service = self._service_names.pop(upstream_id, None)
        if service is None:
            return
        self._record_versions(service)
        self._unresponsive.remove(upstream_id)
        self.crossings.remove(upstream_id)
        self._prefill.remove(upstream_id)
        self.cold.remove(upstream_id)
        pool = self._get_pool(service)
        del pool.upstreams[upstream_id]
        pool.outliers.set_upstreams(tuple(pool.upstreams))

    def keep_only(self, upstream_ids: frozenset[str]) -> None:
        """Removes all upstreams except the given ones."""
        for upstream_id in list(self._service_names):
            if upstream_id not in upstream_ids:
                self.remove(upstream_id)

    def find(self, upstream_id: str) -> forwarding.Upstream | None:
        """Returns an upstream's newest entry, or None."""
        service = self._service_names.get(upstream_id)
        if service is None:
            return None
        return self._get_pool(service).upstreams.get(upstream_id)

    def _record_versions(self, service: str) -> None:
        """Records the versions that a service has now."""
        pool = self._get_pool(service)
        self._versions.record_listed(
            service,
            {upstream.version for upstream in pool.upstreams.values()},
            self._read_clock_ms(),
        )

    def list_versions(
        self, service: str, max_age_ms: int, now_ms: int
    ) -> tuple[str, ...]:
        """Returns the software versions that a service has had for some time.

        Args:
          service: The service.
          max_age_ms: The time.
          now_ms: The current time.
        """
        self._record_versions(service)
        return self._versions.list_versions(service, max_age_ms, now_ms)

    def begin_history(self) -> None:
        """Begins the history of versions, since entries may have been missed.

        To be called before the entries of a complete list are set.
        """
        self._versions.begin(self._read_clock_ms())

    @property
    def history_began_ms(self) -> int | None:
        """When the history of versions began in this process; None before."""
        return self._versions.began_ms

    def measure_history_ms(self, now_ms: int) -> int:
        """Returns how far back all versions are known."""
        return self._versions.measure_ms(now_ms)

    def list_all_versions(
        self, now_ms: int
    ) -> tuple[version_history.ListedVersion, ...]:
        """Returns the versions of all services that are remembered."""
        for service in self._pools:
            self._record_versions(service)
        return self._versions.list_all(now_ms)

    def restore_versions(
        self,
        covered_ms: int,
        listed: Iterable[version_history.ListedVersion],
        now_ms: int,
    ) -> None:
        """Adds what is known of versions before the history began."""
        self._versions.restore(covered_ms, listed, now_ms)

    def has_history(self, max_age_ms: int, now_ms: int) -> bool:
        """Returns whether all versions of some time are known."""
        return self._versions.covers(max_age_ms, now_ms)

    def has_read_history(self, max_age_ms: int, now_ms: int) -> bool:
        """Returns whether this process itself had a list for some time."""
        return self._versions.has_read(max_age_ms, now_ms)

    def has_upstream(
        self,
        service: str,
        now_ms: int,
        homes: home_regions.Homes = home_regions.ANYWHERE,
    ) -> bool:
        """Returns whether an upstream of a service accepts new work.

        Args:
          service: The service.
          now_ms: The current time.
          homes: Where the work may run.
        """
        return any(True for _ in self._iterate_in_use(service, now_ms, homes))

    def explain_no_upstream(self, service: str) -> str:
        """Returns why no upstream of a service can serve a request."""
        ready = [
            upstream
            for upstream in self._get_pool(service).upstreams.values()
            if upstream.is_ready
        ]
        if ready and all(map(self.is_closed, ready)):
            return "All upstreams are in evacuated zones."
        return "No upstream is ready."

    def choose(
        self,
        service: str,
        request: forwarding.ForwardRequest,
        excluded: frozenset[str],
        now_ms: int,
        is_urgent: bool = False,
        bond: stream_origins.VersionBond | None = None,
        homes: home_regions.Homes = home_regions.ANYWHERE,
        target_ms: int = 0,
    ) -> upstream_choice.Candidate | None:
        """Returns the upstream for a request, or None.

        Upstreams that failed recently are chosen only if no other is
        available, those that are leaving only if no other can serve. Paused
        upstreams, whose hosts do not respond or that asked for the pause, are
        never chosen, nor are those that have left or whose limit permits no
        request at the moment. Cold ones are chosen if no other can serve in
        time.

        Args:
          service: The service that runs the request.
          request: The request.
          excluded: Upstreams that were already tried for it.
          now_ms: The current time.
          is_urgent: Whether the request has the highest priority.
          bond: The upstreams that a stream may go on at; None for any.
          homes: Where the request may run.
          target_ms: The time within which its first event should arrive; 0 if
            there is none.
        """
        pool = self._get_pool(service)
        ready = [
            upstream
            for upstream in self._iterate_in_use(service, now_ms, homes)
            if upstream.id not in excluded
            and (bond is None or bond.allows(upstream))
            and self._find_pause_end_ms(upstream, is_urgent) <= now_ms
        ]
        healthy = [
            upstream
            for upstream in ready
            if pool.outliers.find_available_ms(upstream.id) <= now_ms
        ]
        staying = [
            upstream
            for upstream in healthy
            if not self._departures.is_leaving(upstream)
        ]
        return self.cold.choose(
            [
                self._make_candidate(upstream, request.generation, now_ms)
                for upstream in staying or healthy or ready
            ],
            excluded,
            lambda candidates: self._choose_among(
                candidates, service, request, target_ms, now_ms
            ),
        )

    def measure_pressure(
        self,
        service: str,
        request: forwarding.ForwardRequest,
        now_ms: int,
        is_urgent: bool,
        homes: home_regions.Homes = home_regions.ANYWHERE,
        target_ms: int = 0,
    ) -> service_pressure.ServicePressure | None:
        """Returns the pressure at the upstream for a request, or None.

        Args:
          service: The service that runs the request.
          request: The request.
          now_ms: The current time.
          is_urgent: Whether the request has the highest priority.
          homes: Where the request may run.
          target_ms: The time within which its first event should arrive; 0 if
            there is none.
        """
        chosen = self.choose(
            service,
            request,
            frozenset(),
            now_ms,
            is_urgent,
            homes=homes,
            target_ms=target_ms,
        )
        if chosen is None:
            return None
        age_ms = self._load.find_age_ms(now_ms)
        if request.generation is not None:
            return service_pressure.ServicePressure(
                chosen.delay_ms, age_ms=age_ms
            )
        slots = chosen.upstream.slots
        open_requests = self._plain_queues.estimate_open(
            service,
            self._load.count_own_open(chosen.upstream.id),
            chosen.load,
            slots,
            age_ms or 0,
        )
        return service_pressure.measure_plain(
            self._plain_queues.estimate_wait_ms(service, open_requests, slots),
            open_requests,
            slots,
            self._plain_queues.find_max_open(service, slots, now_ms),
            age_ms,
        )

    def _choose_among(
        self,
        candidates: Sequence[upstream_choice.Candidate],
        service: str,
        request: forwarding.ForwardRequest,
        target_ms: int,
        now_ms: int,
    ) -> upstream_choice.Candidate | None:
        """Returns the upstream for a request among those that may run it.

        If leaving the zone has a price, it is one in the zone unless leaving
        pays.
        """
        decision = zone_overflow.Decision(candidates)
        if self.crossings.is_priced:
            if self.crossings.should_observe(service, now_ms):
                self.crossings.observe(
                    service, self._list_delays(service, now_ms), now_ms
                )
            decision = self.crossings.narrow(
                service, candidates, request, target_ms, now_ms
            )
        chosen = upstream_choice.choose_upstream(
            decision.candidates,
            upstream_choice.find_affinity_key(request.generation),
            self._zone,
            request.id,
        )
        if chosen is not None:
            self.crossings.record_choice(
                chosen.upstream, decision.reason, request
            )
        return chosen

    def _list_delays(
        self, service: str, now_ms: int
    ) -> list[tuple[str, float]]:
        """Returns the zone and delay in ms of each upstream that takes work."""
        outliers = self._get_pool(service).outliers
        return [
            (
                upstream.zone,
                self._load.count_waiting_tokens(upstream.id, now_ms)
                * self._prefill.estimate_ms_per_token(upstream.id),
            )
            for upstream in self._iterate_in_use(service, now_ms)
            if self._find_pause_end_ms(upstream, False) <= now_ms
            and outliers.find_available_ms(upstream.id) <= now_ms
            and not self._departures.is_leaving(upstream)
            and self.cold.find_rate(upstream.id) == math.inf
        ]

    def _iterate_in_use(
        self,
        service: str,
        now_ms: int,
        homes: home_regions.Homes = home_regions.ANYWHERE,
    ) -> Iterator[forwarding.Upstream]:
        """Yields the upstreams that accept new work now or after a pause."""
        for upstream in self._get_pool(service).upstreams.values():
            if (
                upstream.is_ready
                and homes.may_run_at(upstream)
                and upstream.zone not in self._closed_zones
                and not self._departures.has_drained(upstream, now_ms)
            ):
                yield upstream

    def _find_pause_end_ms(
        self, upstream: forwarding.Upstream, is_urgent: bool
    ) -> int:
        """Returns when an upstream may be used; a past time means now."""
        return max(
            self._unresponsive.find_pause_end_ms(upstream.id),
            self._pauses.find_end_ms(upstream),
            self.limits.find_block_end_ms(upstream.start, is_urgent),
        )

    def _make_candidate(
        self,
        upstream: forwarding.Upstream,
        generation: forwarding.Generation | None,
        now_ms: int,
    ) -> upstream_choice.Candidate:
        """Returns an upstream with its estimated load."""
        load = float(self._load.count_open(upstream.id, now_ms))
        if generation is None:
            return upstream_choice.Candidate(upstream, load)
        waiting_tokens = self._load.count_waiting_tokens(upstream.id, now_ms)
        ms_per_token = self._prefill.estimate_ms_per_token(upstream.id)
        uncached_tokens = 0
        if self.crossings.is_priced:
            uncached_tokens = self._prefill.count_uncached_tokens(
                upstream.id, generation, now_ms
            )
        return upstream_choice.Candidate(
            upstream,
            load,
            delay_ms=waiting_tokens * ms_per_token,
            cost_ms=self._prefill.estimate_cost_ms(
                upstream.id, generation, now_ms
            ),
            uncached_tokens=uncached_tokens,
            prefill_ms=uncached_tokens * ms_per_token,
        )

    @contextlib.contextmanager
    def track_request(
        self,
        upstream: forwarding.Upstream,
        generation: forwarding.Generation | None,
        now_ms: int,
    ) -> Iterator[fleet_load.OpenRequest]:
        """Counts a request as open at an upstream while the context lasts."""
        self._unresponsive.begin_request(upstream.id, now_ms)
        self.crossings.record_send(upstream, now_ms)
        request = fleet_load.OpenRequest(upstream.id, now_ms)
        if generation is not None:
            self._record_prefill(request, generation, now_ms)
        self._load.add(request)
        try:
            yield request
        finally:
            self._load.remove(request)
            if generation is None:
                self._record_plain_end(upstream, request)

    def _record_plain_end(
        self, upstream: forwarding.Upstream, request: fleet_load.OpenRequest
    ) -> None:
        """Records how a request without a generation ended."""
        now_ms = self._read_clock_ms()
        open_requests = self._load.count_open(upstream.id, now_ms)
        if request.was_rejected:
            self._plain_queues.record_rejected(
                upstream.service, open_requests, upstream.slots, now_ms
            )
        elif request.was_completed:
            self._plain_queues.record_completed(
                upstream.service,
                now_ms - request.sent_ms,
                open_requests,
                upstream.slots,
            )

    def _record_prefill(
        self,
        request: fleet_load.OpenRequest,
        generation: forwarding.Generation,
        now_ms: int,
    ) -> None:
        """Records that the upstream of a request begins its prefill."""
        upstream_id = request.upstream_id
        earlier_tokens = self._load.count_waiting_tokens(upstream_id, now_ms)
        request.waiting_tokens = self._prefill.count_uncached_tokens(
            upstream_id, generation, now_ms
        )
        request.backlog_tokens = earlier_tokens + request.waiting_tokens
        parts = tuple(part.id for part in generation.shared_parts)
        self._prefill.record_prefill(upstream_id, parts, now_ms)
        self._exchange.add_parts(
            [requesting.ReadPart(upstream_id, part) for part in parts], now_ms
        )

    def record_first_event(
        self, request: fleet_load.OpenRequest, now_ms: int
    ) -> None:
        """Records that the prefill of a request is complete.

        Only the first event of a request has an effect.
        """
        if not request.waiting_tokens:
            return
        request.waiting_tokens = 0
        self._prefill.record_first_event(
            request.upstream_id,
            request.backlog_tokens,
            now_ms - request.sent_ms,
        )

    @property
    def reporters(self) -> tuple[str, ...]:
        """The hosts that report their load to this router."""
        return self._exchange.reporters

    def set_hub_role(self, role: load_exchange.HubRole) -> None:
        """Sets what this router does in the exchange of load notices."""
        self._exchange.set_role(role)
        self.crossings.set_has_peers(bool(role.hubs))

    def pop_due_notices(
        self, now_ms: int
    ) -> list[load_exchange.OutgoingNotice]:
        """Returns the load notices to send to other routers now."""
        return self._exchange.pop_due(now_ms)

    def handle_notice(
        self, host: str, notice: requesting.LoadNotice, now_ms: int
    ) -> None:
        """Handles the load notice of another router.

        Args:
          host: The host of the other router.
          notice: The open requests that it reports and the prompt parts that
            upstreams process.
          now_ms: The current time.
        """
        self._exchange.handle_notice(host, notice, now_ms)
        self.crossings.record_notice(now_ms)
        for part in notice.list_parts():
            if part.upstream in self._service_names:
                self._prefill.record_prefill(
                    part.upstream, (part.part,), now_ms
                )

    def record_success(self, upstream: forwarding.Upstream) -> None:
        """Records that an upstream completed a request."""
        self._get_pool(upstream.service).outliers.record_success(upstream.id)

    def mark_responsive(self, upstream_id: str, now_ms: int) -> None:
        """Marks an upstream as responsive, since data arrived from it."""
        self._unresponsive.mark_responsive(upstream_id, now_ms)
        upstream = self.find(upstream_id)
        if upstream is not None:
            self.crossings.record_data(upstream.zone)

    def mark_unresponsive(
        self, upstream: forwarding.Upstream, now_ms: int
    ) -> tuple[str, ...]:
        """Marks an upstream as unresponsive: its host acknowledges nothing.

        Returns:
          The upstreams whose pause begins now: this one, and others of its
          zone if the whole zone seems to be unreachable.
        """
        zone_ids = [
            other.id
            for pool in self._pools.values()
            for other in pool.upstreams.values()
            if other.zone == upstream.zone
        ]
        return self._unresponsive.mark_unresponsive(
            upstream.id, zone_ids, now_ms
        )

    def find_retry_delay_ms(
        self,
        service: str,
        now_ms: int,
        is_urgent: bool = False,
        homes: home_regions.Homes = home_regions.ANYWHERE,
    ) -> int:
        """Returns the time in ms until an upstream of a service may be used.

        It is 0 unless all of them are paused, or their limits permit no request
        at the moment.

        Args:
          service: The service.
          now_ms: The current time.
          is_urgent: Whether the request has the highest priority.
          homes: Where the request may run.
        """
        earliest_ms = 0
        for upstream in self._iterate_in_use(service, now_ms, homes):
            end_ms = self._find_pause_end_ms(upstream, is_urgent)
            # The usual case: no further upstream has to be looked at.
            if end_ms <= now_ms:
                return 0
            earliest_ms = min(earliest_ms or end_ms, end_ms)
        return max(0, earliest_ms - now_ms)

    def mark_leaving(
        self, start: forwarding.UpstreamStart, now_ms: int
    ) -> bool:
        """Marks an upstream as leaving, as it stated in a response.

        Its entry may be missing by then, or be that of a later start.

        Returns:
          Whether that is new.
        """
        return self._departures.record(start, now_ms)

    def pause(
        self, upstream: forwarding.Upstream, retry_after_ms: int, now_ms: int
    ) -> int:
        """Pauses the use of an upstream that asked for it.

        Returns:
          The time in ms until it is used again.
        """
        return self._pauses.record(upstream, retry_after_ms, now_ms)

    def has_requested_pause(
        self,
        service: str,
        now_ms: int,
        homes: home_regions.Homes = home_regions.ANYWHERE,
    ) -> bool:
        """Returns whether an upstream of a service asked for a pause.

        Args:
          service: The service.
          now_ms: The current time.
          homes: Where the upstreams are that count.
        """
        return any(
            self._pauses.is_paused(upstream, now_ms)
            for upstream in self._iterate_in_use(service, now_ms, homes)
        )

    def mark_unreachable(
        self, upstream: forwarding.Upstream, now_ms: int
    ) -> None:
        """Marks an upstream as unreachable, since connecting to it failed."""
        pool = self._get_pool(upstream.service)
        pool.outliers.mark_unreachable(upstream.id, now_ms)
        self.cold.record_failure(upstream)

    def record_failure(
        self, upstream: forwarding.Upstream, now_ms: int
    ) -> bool:
        """Records a failed attempt; returns whether it ejects the upstream."""
        pool = self._get_pool(upstream.service)
        return pool.outliers.record_failure(upstream.id, now_ms)

    def _get_pool(self, service: str) -> _Pool:
        """Returns the pool of a service, which is created if missing."""
        pool = self._pools.get(service)
        if pool is None:
            pool = _Pool({}, outlier_detector.OutlierDetector(()))
            self._pools[service] = pool
        return pool
