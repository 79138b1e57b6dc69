"""What one pool knows of its upstreams, and which of them may take work."""

from collections.abc import Iterable

from redwingchute.core import configuration
from redwingchute.core import requesting
from redwingchute.core import status
from redwingchute.request import leaving_upstreams
from redwingchute.request import load_model
from redwingchute.request import outlier_detector
from redwingchute.request import prefix_affinity

# How many upstreams a request tries while none of the pool is reachable.
_LAST_RESORT_TRIES = 2


class UpstreamTable:
    """The loads, caches and health of one pool's upstreams.

    Attributes:
      outliers: The failures of the upstreams.
      sharing_routers: How many routers send work to each upstream.
    """

    def __init__(self, leaving: leaving_upstreams.LeavingUpstreams) -> None:
        """Starts without upstreams.

        Args:
          leaving: Shared by all pools of the router.
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
        """Takes the upstreams of a new version; known ones keep their state."""
        self.sharing_routers = sharing_routers
        loads: dict[str, load_model.UpstreamLoad] = {}
        for upstream in upstreams:
            known = self._loads.get(upstream.name)
            if known is None or known.upstream.address != upstream.address:
                known = load_model.UpstreamLoad(upstream)
                self._prefixes[upstream.name] = prefix_affinity.PrefixIndex()
            known.upstream = upstream
            known.set_sharing_routers(sharing_routers)
            loads[upstream.name] = known
        self._loads = loads
        self._prefixes = {name: self._prefixes[name] for name in loads}
        self.outliers.set_upstreams(tuple(loads))

    def list_upstreams(self) -> tuple[configuration.Upstream, ...]:
        """Returns the upstreams of the version in force."""
        return tuple(load.upstream for load in self._loads.values())

    def list_states(self, now_ms: int) -> tuple[status.UpstreamStatus, ...]:
        """Returns what is known of each upstream, for operators."""
        return tuple(
            self._describe(name, load, now_ms)
            for name, load in self._loads.items()
        )

    def note_unreachable(self, upstream: str, now_ms: int) -> None:
        """Records that an upstream refused a connection."""
        self.outliers.mark_unreachable(upstream, now_ms)
        index = self._prefixes.get(upstream)
        if index is not None:
            index.clear()

    def note_cache_events(
        self, upstream: str, events: Iterable[prefix_affinity.CacheEvent]
    ) -> None:
        """Takes cache events of an upstream."""
        index = self._prefixes.get(upstream)
        if index is not None:
            index.handle_cache_events(events)

    def note_report(
        self, upstream: str, report: requesting.LoadReport, now_ms: int
    ) -> None:
        """Takes an upstream's load report."""
        load = self._loads.get(upstream)
        if load is not None:
            load.handle_load_report(report, now_ms)
            self.outliers.mark_reachable(upstream)

    def share_speed(self) -> None:
        """Has upstreams without experience count as the fastest known one.

        Else a new upstream that looks slow would never be tried.
        """
        learned = [
            load for load in self._loads.values() if load.has_learned_speeds
        ]
        if not learned:
            return
        fastest = min(learned, key=lambda load: load.output_token_ms)
        for load in self._loads.values():
            load.copy_speeds(fastest)

    def estimate_cached_share(
        self, ticket: requesting.Ticket, load: load_model.UpstreamLoad
    ) -> float:
        """Returns the share of a prompt that an upstream probably holds."""
        index = self._prefixes.get(load.upstream.name)
        if index is None:
            return 0.0
        return index.estimate_cached_share(ticket.prefix_digests)

    def list_usable(self, now_ms: int) -> list[load_model.UpstreamLoad]:
        """Returns the upstreams that may take new work."""
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
        """Returns unreachable upstreams that a request may still try.

        When a whole pool was unreachable, a request finds out whether it
        still is, but tries few upstreams before it is refused.
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

    def find_next_return_ms(self, now_ms: int) -> int | None:
        """Returns when an upstream that is out may come back, if known."""
        returns = []
        for name, load in self._loads.items():
            leaving_until_ms = self._leaving.find_expiry_ms(name)
            if load.upstream.is_drained or leaving_until_ms is None:
                continue
            outlier_until_ms = self.outliers.find_available_ms(name)
            until_ms = max(leaving_until_ms, outlier_until_ms)
            if until_ms > now_ms:
                returns.append(until_ms)
        return min(returns, default=None)

    def _describe(
        self, name: str, load: load_model.UpstreamLoad, now_ms: int
    ) -> status.UpstreamStatus:
        """Returns what is known of one upstream."""
        report = load.report
        return status.UpstreamStatus(
            name,
            self._name_state(name, now_ms),
            running=0 if report is None else report.running,
            queued=0 if report is None else report.queued,
            reported_ms=0 if report is None else report.at_ms,
        )

    def _name_state(self, name: str, now_ms: int) -> str:
        """Returns the state of an upstream in one word."""
        if self._leaving.is_leaving(name, now_ms):
            return "leaving"
        if self.outliers.is_unreachable(name, now_ms):
            return "unreachable"
        if self.outliers.find_available_ms(name) > now_ms:
            return "ejected"
        return "live"

    def note_dispatch(self, upstream: str, digests: Iterable[bytes]) -> None:
        """Takes the prefixes of a request that an upstream will run."""
        index = self._prefixes.get(upstream)
        if index is not None:
            index.record_dispatch(digests)
