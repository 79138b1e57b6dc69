"""The load, caches and health of the upstreams of one pool."""

from collections.abc import Iterable

from redwingchute.core import configuration
from redwingchute.core import requesting
from redwingchute.core import status
from redwingchute.request import leaving_upstreams
from redwingchute.request import load_model
from redwingchute.request import outlier_detector
from redwingchute.request import prefix_affinity

# How many upstreams a request tries while all upstreams are unreachable.
_LAST_RESORT_TRIES = 2


class UpstreamTable:
    """The load, caches and health of the upstreams of one pool.

    Attributes:
      outliers: Detects upstreams that fail.
      sharing_routers: The number of routers that send requests to each
        upstream.
    """

    def __init__(self, leaving: leaving_upstreams.LeavingUpstreams) -> None:
        """Creates a table without upstreams.

        Args:
          leaving: The upstreams that are about to stop; shared by all pools of
            the router.
        """
        self._leaving = leaving
        self._loads: dict[str, load_model.UpstreamLoad] = {}
        self._prefixes: dict[str, prefix_affinity.PrefixIndex] = {}
        self.outliers = outlier_detector.OutlierDetector(())
        self.sharing_routers = 1

    def configure(
        self,
        upstreams: Iterable[configuration.Upstream],
        sharing_routers: int,
    ) -> None:
        """Sets the upstreams; those with the same name and address keep state.

        The failures that `outliers` counts are kept by name alone.

        Args:
          upstreams: The upstreams of the configuration version in force.
          sharing_routers: The number of routers that send requests to each
            upstream.
        """
        self.sharing_routers = sharing_routers
        loads: dict[str, load_model.UpstreamLoad] = {}
        for upstream in upstreams:
            load = self._loads.get(upstream.name)
            if load is None or load.upstream.address != upstream.address:
                load = load_model.UpstreamLoad(upstream)
                self._prefixes[upstream.name] = prefix_affinity.PrefixIndex()
            load.upstream = upstream
            load.set_sharing_routers(sharing_routers)
            loads[upstream.name] = load
        self._loads = loads
        self._prefixes = {name: self._prefixes[name] for name in loads}
        self.outliers.set_upstreams(tuple(loads))

    def list_upstreams(self) -> tuple[configuration.Upstream, ...]:
        """Returns the upstreams of the pool."""
        return tuple(load.upstream for load in self._loads.values())

    def list_states(self, now_ms: int) -> tuple[status.UpstreamStatus, ...]:
        """Returns the state of each upstream, for operators."""
        return tuple(
            self._make_status(name, load, now_ms)
            for name, load in self._loads.items()
        )

    def mark_unreachable(self, upstream: str, now_ms: int) -> None:
        """Marks an upstream that refused a connection; clears its cache index.

        The prefix cache of an engine does not survive its restart.
        """
        self.outliers.mark_unreachable(upstream, now_ms)
        prefix_index = self._prefixes.get(upstream)
        if prefix_index is not None:
            prefix_index.clear()

    def handle_cache_events(
        self, upstream: str, events: Iterable[prefix_affinity.CacheEvent]
    ) -> None:
        """Applies prefix cache events of an upstream."""
        prefix_index = self._prefixes.get(upstream)
        if prefix_index is not None:
            prefix_index.handle_cache_events(events)

    def handle_load_report(
        self, upstream: str, report: requesting.LoadReport, now_ms: int
    ) -> None:
        """Applies the load report of an upstream."""
        load = self._loads.get(upstream)
        if load is not None:
            load.handle_load_report(report, now_ms)
            self.outliers.mark_reachable(upstream)

    def assume_fastest_speed(self) -> None:
        """Assumes the fastest known speed for upstreams without measurements.

        Otherwise a new upstream that is assumed to be slow would never be
        tried.
        """
        measured = [
            load for load in self._loads.values() if load.has_learned_speeds
        ]
        if not measured:
            return
        fastest = min(measured, key=lambda load: load.output_token_ms)
        for load in self._loads.values():
            load.copy_speeds(fastest)

    def estimate_cached_share(
        self, ticket: requesting.Ticket, load: load_model.UpstreamLoad
    ) -> float:
        """Returns the share of a prompt that an upstream probably caches."""
        prefix_index = self._prefixes.get(load.upstream.name)
        if prefix_index is None:
            return 0.0
        return prefix_index.estimate_cached_share(ticket.prefix_digests)

    def list_usable(self, now_ms: int) -> list[load_model.UpstreamLoad]:
        """Returns the upstreams that may run new requests."""
        return [
            load
            for name, load in self._loads.items()
            if not load.upstream.is_drained
            and not self._leaving.is_leaving(name, now_ms)
            and self.outliers.find_available_ms(name) <= now_ms
        ]

    def list_last_resort(
        self, ticket: requesting.Ticket, now_ms: int
    ) -> list[load_model.UpstreamLoad]:
        """Returns the unreachable upstreams that a request may still try.

        When all upstreams are unreachable, each request checks whether one is
        reachable again, but tries few of them before it is refused.
        """
        if len(ticket.excluded_upstreams) >= _LAST_RESORT_TRIES:
            return []
        return [
            load
            for name, load in self._loads.items()
            if not load.upstream.is_drained
            and not self._leaving.is_leaving(name, now_ms)
            and self.outliers.is_unreachable(name, now_ms)
            and name not in ticket.excluded_upstreams
        ]

    def find_next_available_ms(self, now_ms: int) -> int | None:
        """Returns the earliest time at which an upstream may be usable again.

        Only unusable upstreams count. Returns None if the time is not known for
        any of them.
        """
        return_times_ms = []
        for name, load in self._loads.items():
            leaving_until_ms = self._leaving.find_expiry_ms(name)
            if load.upstream.is_drained or leaving_until_ms is None:
                continue
            outlier_until_ms = self.outliers.find_available_ms(name)
            until_ms = max(leaving_until_ms, outlier_until_ms)
            if until_ms > now_ms:
                return_times_ms.append(until_ms)
        return min(return_times_ms, default=None)

    def _make_status(
        self, name: str, load: load_model.UpstreamLoad, now_ms: int
    ) -> status.UpstreamStatus:
        """Returns the state of one upstream, for operators."""
        report = load.report
        return status.UpstreamStatus(
            name,
            self._name_state(name, now_ms),
            running=0 if report is None else report.running,
            queued=0 if report is None else report.queued,
            reported_ms=0 if report is None else report.at_ms,
        )

    def _name_state(self, name: str, now_ms: int) -> str:
        """Returns the name of the state of an upstream."""
        if self._leaving.is_leaving(name, now_ms):
            return "leaving"
        if self.outliers.is_unreachable(name, now_ms):
            return "unreachable"
        if self.outliers.find_available_ms(name) > now_ms:
            return "ejected"
        return "live"

    def record_dispatch(self, upstream: str, digests: Iterable[bytes]) -> None:
        """Records the prompt prefixes of a request sent to an upstream."""
        prefix_index = self._prefixes.get(upstream)
        if prefix_index is not None:
            prefix_index.record_dispatch(digests)
