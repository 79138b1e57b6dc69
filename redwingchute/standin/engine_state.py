"""The request slots, load history and prefix cache of the stand-in engine."""

import asyncio
import collections
from collections.abc import Callable
import heapq

import attrs


@attrs.frozen
class LoadReport:
    """The load that `GET /load` reports.

    Attributes:
      running: The number of requests that hold a slot.
      queued: The number of requests that wait for a slot.
      slots: The number of slots, free or not.
      at_ms: The time that the report describes, since the Unix epoch.
    """

    running: int
    queued: int
    slots: int
    at_ms: int


class SlotQueue:
    """Assigns a fixed number of slots by priority, then by arrival.

    Attributes:
      slots: The number of slots.
      running: The number of slots in use.
    """

    def __init__(self, slots: int) -> None:
        """Starts with all slots free."""
        self.slots = slots
        self.running = 0
        self._arrivals = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def queued(self) -> int:
        """The number of requests that wait for a slot."""
        return sum(not future.done() for _, _, future in self._waiting)

    async def acquire(
        self, priority: int, on_queued: Callable[[], None]
    ) -> None:
        """Waits for a slot.

        Args:
          priority: The request's priority; lower numbers are served first.
          on_queued: Called if the request has to wait.
        """
        if self.running < self.slots:
            self.running += 1
            return
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._arrivals += 1
        heapq.heappush(self._waiting, (priority, self._arrivals, future))
        on_queued()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                # `release` passed a slot to this request before it was
                # cancelled.
                self.release()
            raise

    def release(self) -> None:
        """Releases a slot, or passes it to the next request in the queue."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1


class LoadHistory:
    """Keeps load reports, so that `GET /load` can serve outdated ones."""

    _MAX_REPORTS = 10_000

    def __init__(self, first: LoadReport) -> None:
        """Starts with the report of the idle engine."""
        self._reports = collections.deque([first], maxlen=self._MAX_REPORTS)

    def add(self, report: LoadReport) -> None:
        """Adds the report made after a change of the load."""
        self._reports.append(report)

    def find(self, at_ms: int) -> LoadReport:
        """Returns the report in force at a time, or else the oldest kept."""
        for report in reversed(self._reports):
            if report.at_ms <= at_ms:
                return report
        return self._reports[0]


@attrs.frozen
class CacheEvent:
    """One change of the prefix cache.

    Attributes:
      offset: The number of the event, counted from 0.
      at_ms: The time of the change, since the Unix epoch.
      kind: `stored` or `evicted`.
      block: The digest of the prefix up to the end of the block.
    """

    offset: int
    at_ms: int
    kind: str
    block: str


class PrefixCache:
    """A least-recently-used cache of prefix blocks.

    Attributes:
      events: All changes of the cache, in order.
    """

    def __init__(self, capacity: int) -> None:
        """Starts empty.

        Args:
          capacity: The maximum number of blocks.
        """
        self._capacity = capacity
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: list[CacheEvent] = []

    def count_cached(self, blocks: list[str]) -> int:
        """Returns how many leading blocks of a prompt are cached."""
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)

    def store(self, blocks: list[str], now_ms: int) -> None:
        """Adds a prompt's blocks and evicts the least recently used ones.

        Blocks are evicted only while there are more than the capacity.
        """
        for block in blocks:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = None
            self._add_event("stored", block, now_ms)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._add_event("evicted", evicted, now_ms)

    def list_events(
        self, start: int, until_ms: int, gap: int
    ) -> list[CacheEvent]:
        """Returns events from an offset on.

        Args:
          start: The first offset.
          until_ms: Later events are left out.
          gap: Leaves out every gap-th event, to simulate loss; 0 for none.
        """
        return [
            event
            for event in self.events[max(0, start) :]
            if event.at_ms <= until_ms
            and not (gap and (event.offset + 1) % gap == 0)
        ]

    def _add_event(self, kind: str, block: str, now_ms: int) -> None:
        """Appends an event."""
        event = CacheEvent(len(self.events), now_ms, kind, block)
        self.events.append(event)
