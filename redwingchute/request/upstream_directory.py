"""The upstreams of all services, with their load over all routers.

The directory joins the load of the fleet, the prefill model, outlier detection
and the pauses of unresponsive upstreams, and chooses upstreams by them.
"""

from collections.abc import Iterator
import contextlib

import attrs

from redwingchute.core import forwarding
from redwingchute.core import requesting
from redwingchute.request import fleet_load
from redwingchute.request import load_notices
from redwingchute.request import outlier
from redwingchute.request import prefill_model
from redwingchute.request import silence
from redwingchute.request import upstream_choice


@attrs.define
class _Pool:
    """The upstreams of one service."""

    upstreams: dict[str, forwarding.Upstream]
    outliers: outlier.OutlierDetector


class UpstreamDirectory:
    """The upstreams of all services and what is known of each."""

    def __init__(self, zone: str) -> None:
        """Creates a directory without upstreams.

        Args:
          zone: The router's availability zone.
        """
        self._zone = zone
        self._pools: dict[str, _Pool] = {}
        self._service_names: dict[str, str] = {}
        self._prefill = prefill_model.PrefillModel()
        self._load = fleet_load.FleetLoad(self._prefill.find_ms_per_token)
        self._notices = load_notices.LoadNotices()
        self._unresponsive = silence.SilenceWatch()

    def take(self, upstream: forwarding.Upstream) -> None:
        """Adds an upstream or replaces its entry."""
        if self._service_names.get(upstream.id, upstream.service) != (
            upstream.service
        ):
            self.drop(upstream.id)
        self._service_names[upstream.id] = upstream.service
        pool = self._get_pool(upstream.service)
        is_new = upstream.id not in pool.upstreams
        pool.upstreams[upstream.id] = upstream
        if is_new:
            pool.outliers.set_upstreams(tuple(pool.upstreams))

    def drop(self, upstream_id: str) -> None:
        """Removes an upstream; unknown ones are ignored."""
        service = self._service_names.pop(upstream_id, None)
        if service is None:
            return
        self._unresponsive.forget(upstream_id)
        self._prefill.forget(upstream_id)
        pool = self._get_pool(service)
        del pool.upstreams[upstream_id]
        pool.outliers.set_upstreams(tuple(pool.upstreams))

    def keep_only(self, upstream_ids: frozenset[str]) -> None:
        """Removes all upstreams except the given ones."""
        for upstream_id in list(self._service_names):
            if upstream_id not in upstream_ids:
                self.drop(upstream_id)

    def find(self, upstream_id: str) -> forwarding.Upstream | None:
        """Returns an upstream's newest entry, or None."""
        service = self._service_names.get(upstream_id)
        if service is None:
            return None
        return self._get_pool(service).upstreams.get(upstream_id)

    def count_ready(self, service: str) -> int:
        """Returns how many upstreams of a service accept new work."""
        upstreams = self._get_pool(service).upstreams.values()
        return sum(upstream.is_ready for upstream in upstreams)

    def choose(
        self,
        service: str,
        request: forwarding.ForwardRequest,
        excluded: frozenset[str],
        now_ms: int,
    ) -> upstream_choice.Candidate | None:
        """Returns the upstream for a request, or None.

        Upstreams that failed recently are chosen only if no other is
        available. Paused upstreams, whose hosts do not respond, are never
        chosen.

        Args:
          service: The service that runs the request.
          request: The request.
          excluded: Upstreams that were already tried for it.
          now_ms: The current time.
        """
        pool = self._get_pool(service)
        ready = [
            upstream
            for upstream in pool.upstreams.values()
            if upstream.is_ready
            and upstream.id not in excluded
            and not self._unresponsive.is_silent(upstream.id, now_ms)
        ]
        healthy = [
            upstream
            for upstream in ready
            if pool.outliers.find_return_ms(upstream.id) <= now_ms
        ]
        return upstream_choice.choose_upstream(
            [
                self._make_candidate(upstream, request.generation, now_ms)
                for upstream in healthy or ready
            ],
            upstream_choice.find_affinity_key(request.generation),
            self._zone,
            request.id,
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
        ms_per_token = self._prefill.find_ms_per_token(upstream.id)
        return upstream_choice.Candidate(
            upstream,
            load,
            delay_ms=waiting_tokens * ms_per_token,
            cost_ms=self._prefill.find_cost_ms(upstream.id, generation, now_ms),
        )

    @contextlib.contextmanager
    def hold(
        self,
        upstream: forwarding.Upstream,
        generation: forwarding.Generation | None,
        now_ms: int,
    ) -> Iterator[fleet_load.OpenRequest]:
        """Counts a request as open at an upstream while the context lasts."""
        self._unresponsive.begin_use(upstream.id, now_ms)
        request = fleet_load.OpenRequest(upstream.id, now_ms)
        if generation is not None:
            self._record_prefill(request, generation, now_ms)
        self._load.add(request)
        try:
            yield request
        finally:
            self._load.remove(request)

    def _record_prefill(
        self,
        request: fleet_load.OpenRequest,
        generation: forwarding.Generation,
        now_ms: int,
    ) -> None:
        """Records that the upstream of a request begins its prefill."""
        upstream_id = request.upstream_id
        earlier_tokens = self._load.count_waiting_tokens(upstream_id, now_ms)
        request.waiting_tokens = self._prefill.find_cold_tokens(
            upstream_id, generation, now_ms
        )
        request.ahead_tokens = earlier_tokens + request.waiting_tokens
        parts = tuple(part.id for part in generation.shared_parts)
        self._prefill.note_read(upstream_id, parts, now_ms)
        self._notices.add_parts(upstream_id, parts)

    def note_first_event(
        self, request: fleet_load.OpenRequest, now_ms: int
    ) -> None:
        """Records that the prefill of a request is complete.

        Only the first event of a request has an effect.
        """
        if not request.waiting_tokens:
            return
        request.waiting_tokens = 0
        self._prefill.note_first_event(
            request.upstream_id, request.ahead_tokens, now_ms - request.sent_ms
        )

    def find_due_notice(
        self, host_count: int, now_ms: int
    ) -> requesting.LoadNotice | None:
        """Returns the load notice that is due for other routers, or None."""
        return self._notices.find_due(self._load.list_own, host_count, now_ms)

    def take_notice(
        self, host: str, notice: requesting.LoadNotice, now_ms: int
    ) -> None:
        """Handles the load notice of another router.

        Args:
          host: The host of the other router.
          notice: Its open requests and the prompt parts that upstreams read
            for it.
          now_ms: The current time.
        """
        self._load.take_notice(host, notice.loads, now_ms)
        for part in notice.parts:
            if part.upstream in self._service_names:
                self._prefill.note_read(part.upstream, (part.part,), now_ms)

    def note_success(self, upstream: forwarding.Upstream) -> None:
        """Records that an upstream completed a request."""
        self._get_pool(upstream.service).outliers.note_success(upstream.id)

    def note_heard(self, upstream_id: str, now_ms: int) -> None:
        """Marks an upstream as responsive, since data arrived from it."""
        self._unresponsive.note_heard(upstream_id, now_ms)

    def note_silent(
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
        return self._unresponsive.note_silent(upstream.id, zone_ids, now_ms)

    def find_return_ms(self, service: str, now_ms: int) -> int:
        """Returns the time in ms until an upstream of a service is retried."""
        upstreams = self._get_pool(service).upstreams
        return max(0, self._unresponsive.find_return_ms(upstreams) - now_ms)

    def note_unreachable(
        self, upstream: forwarding.Upstream, now_ms: int
    ) -> None:
        """Marks an upstream as unreachable, since connecting to it failed."""
        pool = self._get_pool(upstream.service)
        pool.outliers.note_connect_failure(upstream.id, now_ms)

    def note_failure(self, upstream: forwarding.Upstream, now_ms: int) -> bool:
        """Records a failed attempt; returns whether it ejects the upstream."""
        pool = self._get_pool(upstream.service)
        return pool.outliers.note_failure(upstream.id, now_ms)

    def _get_pool(self, service: str) -> _Pool:
        """Returns the pool of a service, which is created if missing."""
        pool = self._pools.get(service)
        if pool is None:
            pool = _Pool({}, outlier.OutlierDetector(()))
            self._pools[service] = pool
        return pool
