"""Chooses an upstream for an attempt and counts what is running there."""

import collections
from collections.abc import Iterator
import contextlib

from redwingchute.core import configuration


class UpstreamTable:
    """Counts the requests that this router has running on each upstream."""

    def __init__(self, zone: str) -> None:
        """Starts with nothing running.

        Args:
          zone: This router's availability zone, which is preferred.
        """
        self._zone = zone
        self._running: collections.Counter[str] = collections.Counter()

    def choose(
        self,
        upstreams: tuple[configuration.Upstream, ...],
        tried: frozenset[str],
    ) -> configuration.Upstream | None:
        """Returns the upstream with the least load for its slots.

        Args:
          upstreams: The pool.
          tried: Names of upstreams that this request has tried already.
        """
        candidates = [
            upstream
            for upstream in upstreams
            if not upstream.is_drained and upstream.name not in tried
        ]
        if not candidates:
            return None
        return min(candidates, key=self._rank)

    def _rank(
        self, upstream: configuration.Upstream
    ) -> tuple[int, bool, int, str]:
        """Orders upstreams: whole rounds of slots, own zone, load, name."""
        running = self._running[upstream.name]
        return (
            running // max(upstream.slots, 1),
            upstream.zone != self._zone,
            running,
            upstream.name,
        )

    @contextlib.contextmanager
    def count(self, upstream: configuration.Upstream) -> Iterator[None]:
        """Counts one request as running while the context lasts."""
        self._running[upstream.name] += 1
        try:
            yield
        finally:
            self._running[upstream.name] -= 1
