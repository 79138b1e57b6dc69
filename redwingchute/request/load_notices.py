"""Says when a router tells the others what it has open.

Notices are sent when something changed, at a pace that leaves the traffic of
large fleets bounded, and again now and then while requests are open, since a
notice may get lost.
"""

from collections.abc import Callable

from redwingchute.core import requesting

_MIN_INTERVAL_MS = 100
# Each host that is told adds as much, so that a host sends 80 notices a second
# at most.
_INTERVAL_PER_HOST_MS = 12.5
_REPEAT_MS = 500
# More new parts than this between two notices are not worth telling.
_MAX_PARTS = 200


class LoadNotices:
    """The notices of one router."""

    def __init__(self) -> None:
        """Starts with nothing to tell."""
        self._parts: list[requesting.ReadPart] = []
        self._told: tuple[requesting.OpenLoad, ...] = ()
        self._sent_ms = 0

    def add_parts(self, upstream_id: str, part_ids: tuple[str, ...]) -> None:
        """Notes prompt parts that an upstream reads for this router."""
        for part_id in part_ids:
            if len(self._parts) < _MAX_PARTS:
                self._parts.append(requesting.ReadPart(upstream_id, part_id))

    def find_due(
        self,
        list_loads: Callable[[], tuple[requesting.OpenLoad, ...]],
        host_count: int,
        now_ms: int,
    ) -> requesting.LoadNotice | None:
        """Returns the notice that is due now, or None.

        Args:
          list_loads: Returns what this router has open.
          host_count: How many hosts are told.
          now_ms: The current time.
        """
        since_ms = now_ms - self._sent_ms
        interval_ms = max(_MIN_INTERVAL_MS, host_count * _INTERVAL_PER_HOST_MS)
        if since_ms < interval_ms:
            return None
        loads = list_loads()
        is_new = bool(self._parts) or loads != self._told
        is_repeat = bool(loads) and since_ms >= _REPEAT_MS
        if not (is_new or is_repeat):
            return None
        notice = requesting.LoadNotice(loads, tuple(self._parts))
        self._parts.clear()
        self._told = loads
        self._sent_ms = now_ms
        return notice
