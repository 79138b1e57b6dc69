"""Builds the load notices that a router sends to the other routers.

A notice is due when something changed, at a rate that bounds the traffic of
large fleets. While requests are open it is repeated at a fixed interval, since
a notice may get lost.
"""

from collections.abc import Callable

from redwingchute.core import requesting

_MIN_INTERVAL_MS = 100
# The interval grows with the number of receiving hosts, so that a host sends at
# most 80 notices per second.
_INTERVAL_PER_HOST_MS = 12.5
_REPEAT_INTERVAL_MS = 500
# More prompt parts than this between two notices are not worth sending and are
# left out.
_MAX_PARTS = 200


class LoadNoticeBuilder:
    """Builds the load notices of one router."""

    def __init__(self) -> None:
        """Creates a builder with no changes to send."""
        self._parts: list[requesting.ReadPart] = []
        self._sent_loads: tuple[requesting.OpenLoad, ...] = ()
        self._sent_ms = 0

    def add_parts(self, upstream_id: str, part_ids: tuple[str, ...]) -> None:
        """Adds prompt parts that an upstream processes for this router."""
        for part_id in part_ids:
            if len(self._parts) < _MAX_PARTS:
                self._parts.append(requesting.ReadPart(upstream_id, part_id))

    def pop_due(
        self,
        list_loads: Callable[[], tuple[requesting.OpenLoad, ...]],
        host_count: int,
        now_ms: int,
    ) -> requesting.LoadNotice | None:
        """Returns the notice that is due now, or None.

        The caller must send the notice, since it counts as sent from now on
        and its prompt parts are discarded here.

        Args:
          list_loads: Returns this router's own load of each upstream.
          host_count: The number of hosts that receive the notice.
          now_ms: The current time.
        """
        elapsed_ms = now_ms - self._sent_ms
        interval_ms = max(_MIN_INTERVAL_MS, host_count * _INTERVAL_PER_HOST_MS)
        if elapsed_ms < interval_ms:
            return None
        loads = list_loads()
        has_changes = bool(self._parts) or loads != self._sent_loads
        is_repeat_due = bool(loads) and elapsed_ms >= _REPEAT_INTERVAL_MS
        if not (has_changes or is_repeat_due):
            return None
        notice = requesting.LoadNotice(loads, tuple(self._parts))
        self._parts.clear()
        self._sent_loads = loads
        self._sent_ms = now_ms
        return notice
