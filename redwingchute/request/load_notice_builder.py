"""Builds the load notices that a router sends to a group of other routers.

A notice is due when something changed, at a rate that bounds the traffic of
large groups. While requests are open it is repeated at a fixed interval, since
a notice may get lost.
"""

from collections.abc import Callable
from collections.abc import Iterable

from redwingchute.core import requesting

_MIN_INTERVAL_MS = 100
# The interval grows with the number of receiving hosts, so that a host sends at
# most 80 notices per second.
_INTERVAL_PER_HOST_MS = 12.5
_REPEAT_INTERVAL_MS = 500
# More prompt parts than this between two notices are not worth sending and are
# left out.
_MAX_PARTS = 200
# A prompt part that upstreams process again and again is sent this often. It
# stays in their caches for many seconds after the last time.
_PART_INTERVAL_MS = 2_000


class LoadNoticeBuilder:
    """Builds the load notices for one group of receivers."""

    def __init__(self) -> None:
        """Creates a builder with no changes to send."""
        self._parts: list[requesting.ReadPart] = []
        self._sent_loads: tuple[requesting.OpenLoad, ...] = ()
        self._sent_works: tuple[requesting.AccountWork, ...] = ()
        self._sent_ms = 0
        # When each prompt part was last added, the oldest first.
        self._added_ms: dict[requesting.ReadPart, int] = {}

    @property
    def sent_loads(self) -> tuple[requesting.OpenLoad, ...]:
        """The loads of the last notice."""
        return self._sent_loads

    @property
    def sent_works(self) -> tuple[requesting.AccountWork, ...]:
        """The work of client accounts of the last notice."""
        return self._sent_works

    def add_parts(
        self, parts: Iterable[requesting.ReadPart], now_ms: int
    ) -> None:
        """Adds prompt parts that upstreams process.

        Args:
          parts: The prompt parts.
          now_ms: The current time.
        """
        for part in parts:
            last_ms = self._added_ms.get(part)
            if last_ms is not None and now_ms - last_ms < _PART_INTERVAL_MS:
                continue
            if len(self._parts) < _MAX_PARTS:
                self._added_ms.pop(part, None)
                self._added_ms[part] = now_ms
                self._parts.append(part)
        self._discard_old_parts(now_ms)

    def pop_due(
        self,
        list_loads: Callable[[], tuple[requesting.OpenLoad, ...]],
        host_count: int,
        now_ms: int,
        keep_alive_ms: int | None = None,
        list_works: Callable[[], tuple[requesting.AccountWork, ...]] = tuple,
    ) -> requesting.LoadNotice | None:
        """Returns the notice that is due now, or None.

        The caller must send the notice, since it counts as sent from now on
        and its prompt parts are discarded here.

        Args:
          list_loads: Returns the load of each upstream to report.
          host_count: The number of hosts that receive the notice.
          now_ms: The current time.
          keep_alive_ms: The interval of notices without any change; None for no
            such notices.
          list_works: Returns the work of client accounts to report.
        """
        elapsed_ms = now_ms - self._sent_ms
        interval_ms = max(_MIN_INTERVAL_MS, host_count * _INTERVAL_PER_HOST_MS)
        if elapsed_ms < interval_ms:
            return None
        loads, works = list_loads(), list_works()
        has_changes = bool(self._parts) or loads != self._sent_loads
        is_repeat_due = (
            bool(loads or works) and elapsed_ms >= _REPEAT_INTERVAL_MS
        )
        is_keep_alive_due = (
            keep_alive_ms is not None and elapsed_ms >= keep_alive_ms
        )
        if not (has_changes or is_repeat_due or is_keep_alive_due):
            return None
        notice = requesting.make_load_notice(loads, self._parts, works)
        self._parts.clear()
        self._sent_loads, self._sent_works = loads, works
        self._sent_ms = now_ms
        return notice

    def _discard_old_parts(self, now_ms: int) -> None:
        """Discards the times of prompt parts that may be sent again."""
        while self._added_ms:
            part, added_ms = next(iter(self._added_ms.items()))
            if now_ms - added_ms < _PART_INTERVAL_MS:
                break
            del self._added_ms[part]
