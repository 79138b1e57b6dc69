"""Simulated routers that distribute a configuration, on a manual clock.

The decision code is that of the daemon. Every message takes a fixed time. Links
between availability zones and links to the log can be cut. The sizes of
messages are those of the real codec.
"""

import heapq
import itertools
import json
import random
from typing import Any

from redwingchute.core import data
from redwingchute.core import distribution as messages
from redwingchute.process import distribution
from redwingchute.process import membership
from redwingchute.process.ledger import log_outcomes
from redwingchute.testing import fake_log
from redwingchute.version import changes
from redwingchute.wire import registry

STREAM = "configuration"
_TICK_MS = 250
_PAGE_RECORDS = 500
# The length prefix of a message on a link.
_FRAME_BYTES = 4
_START_MS = 1_000_000


class FakeRouters:
    """Routers, their links and the log, driven by one manual clock.

    Attributes:
      now_ms: The time on the manual clock.
      routers: The decision code of each router by host name.
      log: The log.
      cut_zones: Availability zones that are cut off from all others.
      hosts_without_log: Hosts that cannot reach the log.
      messages_sent: The number of messages between routers, lost ones
        included.
      bytes_sent: The total size of these messages.
      log_reads: The number of reads that the log served.
      log_bytes: The total size of the responses to these reads.
      sent_by_host: The bytes that each host sent to others, by its name.
    """

    def __init__(
        self,
        zones: dict[str, str],
        policy: distribution.DistributionPolicy | None = None,
        seed: int = 1,
        latency_ms: int = 2,
        has_links: bool = True,
    ) -> None:
        """Starts the routers; each has all others in its view.

        Args:
          zones: The availability zone of each host by its name.
          policy: When routers read the stream and exchange messages.
          seed: The seed of all random numbers.
          latency_ms: The latency of messages and of responses of the log.
          has_links: Whether routers exchange messages.
        """
        self.now_ms = _START_MS
        self.routers: dict[str, distribution.Distribution] = {}
        self.log = fake_log.FakeLog()
        self.cut_zones: set[str] = set()
        self.hosts_without_log: set[str] = set()
        self.messages_sent = 0
        self.bytes_sent = 0
        self.log_reads = 0
        self.log_bytes = 0
        self.sent_by_host: dict[str, int] = dict.fromkeys(zones, 0)
        self._zones = zones
        self._policy = policy or distribution.DistributionPolicy()
        self._random = random.Random(seed)
        self._latency_ms = latency_ms
        self._has_links = has_links
        self._codec = registry.make_codec()
        self._sequence = itertools.count()
        self._events: list[tuple[int, int, Any, tuple[Any, ...]]] = []
        # The number and the offset of the read that waits, by host.
        self._waiting_reads: dict[str, tuple[int, int]] = {}
        for name in zones:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a router, or restarts it without its state."""
        host = data.Host(name, self._zones[name], "127.0.0.1:1", 1)
        router = distribution.Distribution(
            host,
            self._codec,
            self._policy,
            random.Random(self._random.random()),
            self.now_ms,
        )
        hosts = tuple(
            data.Host(other, zone, "127.0.0.1:1", 1)
            for other, zone in self._zones.items()
        )
        neighbours: tuple[str, ...] = ()
        if self._has_links:
            neighbours = membership.list_neighbours(name, self._zones)
        router.set_view(neighbours, hosts)
        self.routers[name] = router
        self._waiting_reads.pop(name, None)
        # Starts are spread, so that ticks of the routers do not coincide.
        self._schedule(self._random.randrange(_TICK_MS), self._tick, router)
        self._schedule(0, self._read, router)

    def append(self, record: changes.Record) -> None:
        """Appends a record to the log."""
        self.log.append(STREAM, self._codec.encode(record))
        for name, (_, from_offset) in self._waiting_reads.items():
            router = self.routers[name]
            self._schedule(
                self._latency_ms, self._send_read_response, router, from_offset
            )
        self._waiting_reads.clear()

    def run(self, duration_ms: int) -> None:
        """Advances the clock and runs the actions that fall due."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_ms = end_ms

    def run_until_in_force(self, version: int, limit_ms: int) -> int | None:
        """Advances the clock until a version is in force at all routers.

        Returns:
          The milliseconds that it took, or None when the limit was reached.
        """
        start_ms = self.now_ms
        while self.now_ms < start_ms + limit_ms:
            if all(
                router.fold.current.version >= version
                for router in self.routers.values()
            ):
                return self.now_ms - start_ms
            self.run(1)
        return None

    def list_versions(self) -> set[int]:
        """Returns the distinct versions in force."""
        return {router.fold.current.version for router in self.routers.values()}

    def reset_counts(self) -> None:
        """Resets the counts of messages, bytes and reads to 0."""
        self.messages_sent = self.bytes_sent = 0
        self.log_reads = self.log_bytes = 0
        self.sent_by_host = dict.fromkeys(self._zones, 0)

    def _schedule(self, delay_ms: int, action: Any, *arguments: Any) -> None:
        """Schedules an action."""
        event = (
            self.now_ms + delay_ms,
            next(self._sequence),
            action,
            arguments,
        )
        heapq.heappush(self._events, event)

    def _find_host_name(self, router: distribution.Distribution) -> str | None:
        """Returns a router's host name, or None after its replacement."""
        for name, known in self.routers.items():
            if known is router:
                return name
        return None

    def _tick(self, router: distribution.Distribution) -> None:
        """Runs a router's tick and schedules the next one."""
        name = self._find_host_name(router)
        if name is None:
            return
        self._send(name, router.tick(self.now_ms))
        checkpoint = router.make_due_checkpoint(self.now_ms)
        if checkpoint is not None and name not in self.hosts_without_log:
            self.append(checkpoint)
        self._schedule(_TICK_MS, self._tick, router)

    def _read(self, router: distribution.Distribution) -> None:
        """Starts the read that is due, or tries again after one tick."""
        name = self._find_host_name(router)
        if name is None:
            return
        planned = router.plan_read(self.now_ms)
        if planned is None:
            self._schedule(_TICK_MS, self._read, router)
        elif name in self.hosts_without_log:
            router.handle_log_unreachable(self.now_ms)
            self._schedule(_TICK_MS, self._read, router)
        else:
            self._respond_or_wait(name, router, planned)

    def _respond_or_wait(
        self,
        name: str,
        router: distribution.Distribution,
        planned: distribution.PlannedRead,
    ) -> None:
        """Responds to a read, if need be after its wait for a record."""
        outcome = self.log.read(STREAM, planned.from_offset, _PAGE_RECORDS)
        has_news = not isinstance(outcome, log_outcomes.Page) or outcome.records
        if has_news or not planned.wait_ms:
            self._schedule(
                self._latency_ms,
                self._send_read_response,
                router,
                planned.from_offset,
            )
            return
        number = next(self._sequence)
        self._waiting_reads[name] = number, planned.from_offset
        self._schedule(planned.wait_ms, self._end_wait, router, name, number)

    def _end_wait(
        self, router: distribution.Distribution, name: str, number: int
    ) -> None:
        """Responds to a read whose wait ended without a record."""
        waiting = self._waiting_reads.get(name)
        if waiting is not None and waiting[0] == number:
            del self._waiting_reads[name]
            self._send_read_response(router, waiting[1])

    def _send_read_response(
        self, router: distribution.Distribution, from_offset: int
    ) -> None:
        """Sends the log's response to a router."""
        outcome = self.log.read(STREAM, from_offset, _PAGE_RECORDS)
        self.log_reads += 1
        if isinstance(outcome, log_outcomes.Page):
            self.log_bytes += _measure_page(outcome)
        self._schedule(
            self._latency_ms, self._handle_read_response, router, outcome
        )

    def _handle_read_response(
        self,
        router: distribution.Distribution,
        outcome: log_outcomes.Page | log_outcomes.Trimmed,
    ) -> None:
        """Passes the log's response to a router and starts its next read.

        The response is lost if the host cannot reach the log any more.
        """
        name = self._find_host_name(router)
        if name is None:
            return
        if name in self.hosts_without_log:
            router.handle_log_unreachable(self.now_ms)
        elif isinstance(outcome, log_outcomes.Trimmed):
            router.handle_trim(outcome)
        else:
            self._send(name, router.receive_page(outcome, self.now_ms))
        self._schedule(0, self._read, router)

    def _send(self, sender: str, outgoing: list[distribution.Outgoing]) -> None:
        """Sends messages over the links."""
        for item in outgoing:
            self._transmit(sender, item.host_name, item.record)

    def _transmit(self, sender: str, receiver: str, record: Any) -> None:
        """Sends one message, which is lost if its link is cut."""
        size = len(self._codec.encode(record)) + _FRAME_BYTES
        self.messages_sent += 1
        self.bytes_sent += size
        self.sent_by_host[sender] += size
        zones = {self._zones[sender], self._zones[receiver]}
        if len(zones) > 1 and zones & self.cut_zones:
            return
        self._schedule(
            self._latency_ms, self._receive, sender, receiver, record
        )

    def _receive(self, sender: str, receiver: str, record: Any) -> None:
        """Passes a message to its receiver."""
        router = self.routers[receiver]
        match record:
            case messages.ConfigurationDigest():
                self._send(
                    receiver,
                    router.receive_digest(sender, record, self.now_ms),
                )
            case messages.ConfigurationPull():
                self._transmit(receiver, sender, router.answer_pull(record))
            case messages.ConfigurationRecords():
                self._send(
                    receiver,
                    router.receive_records(sender, record, self.now_ms),
                )


def make_zones(routers: int, zones: int) -> dict[str, str]:
    """Returns the zone of each router by its name; zones take turns."""
    return {
        f"router-{index}": f"zone-{index % zones}" for index in range(routers)
    }


def _measure_page(page: log_outcomes.Page) -> int:
    """Returns the size of a page as JSON with bodies in base64, in bytes."""
    envelope = {"first": page.first, "next": page.next, "records": []}
    size = len(json.dumps(envelope))
    for record in page.records:
        item = {"offset": record.offset, "data": ""}
        size += len(json.dumps(item)) + -(-len(record.body) // 3) * 4
    return size
