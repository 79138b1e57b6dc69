"""Records what failed attempts tell of upstreams and of the ways to them.

A host that does not respond may be gone, or this host may not reach it. Its
upstream is paused at once, and the pause ends when a carrier reaches it.
"""

from collections.abc import Callable

from redwingchute.core import forwarding
from redwingchute.process import decision_log
from redwingchute.request import upstream_connector
from redwingchute.request import upstream_directory


class PathEvidence:
    """Applies the evidence of failed attempts of one router."""

    def __init__(
        self,
        directory: upstream_directory.UpstreamDirectory,
        connector: upstream_connector.UpstreamConnector,
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates an instance without evidence.

        Args:
          directory: The upstreams of all services.
          connector: Connects to them.
          read_clock_ms: Returns the time on a steady clock.
        """
        self._directory = directory
        self._connector = connector
        self._read_clock_ms = read_clock_ms

    def record_broken(
        self,
        upstream: forwarding.Upstream,
        carrier: str,
        is_unresponsive: bool,
    ) -> None:
        """Records that an attempt broke.

        Args:
          upstream: The upstream.
          carrier: The host that carried the connection; empty if it was direct.
          is_unresponsive: Whether the other end acknowledged nothing.
        """
        self._directory.cold.record_failure(upstream)
        if carrier:
            # The carrier may have ended, or be cut off.
            if is_unresponsive:
                self._connector.record_lost_carrier(carrier)
            return
        self._directory.record_failure(upstream, self._read_clock_ms())
        if is_unresponsive:
            self._seek_carriers(self._pause(upstream))

    def record_unreached(self, upstream: forwarding.Upstream) -> None:
        """Records that neither this host nor a carrier reached an upstream."""
        paused = self._pause(upstream)
        self._seek_carriers(tuple(set(paused) - {upstream.id}))

    def _pause(self, upstream: forwarding.Upstream) -> tuple[str, ...]:
        """Pauses an upstream; returns the ids of all that are paused by it."""
        paused = self._directory.mark_unresponsive(
            upstream, self._read_clock_ms()
        )
        if paused:
            decision_log.log_event(
                "upstreams_silent", upstreams=paused, zone=upstream.zone
            )
        return paused

    def _seek_carriers(self, upstream_ids: tuple[str, ...]) -> None:
        """Looks for carriers that reach paused upstreams."""
        found = map(self._directory.find, sorted(upstream_ids))
        self._connector.seek_carriers(
            (
                upstream
                for upstream in found
                if upstream is not None
                and not self._directory.is_closed(upstream)
            ),
            lambda upstream: self._directory.mark_responsive(
                upstream.id, self._read_clock_ms()
            ),
        )
