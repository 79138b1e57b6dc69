"""Keeps a router's configuration current and submits operators' changes.

`distribution.Distribution` decides; this module does the I/O: it reads the
log, exchanges messages with siblings and appends checkpoints.

`submit` returns the actual outcome of a change. If the log's reply to the
append is lost, it searches the stream for the record id. A repeated append
carries the same id, and the fold ignores duplicates.
"""

import asyncio
from collections.abc import Callable
import logging
import random
from typing import Any
from typing import Protocol

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import distribution as messages
from redwingchute.process import distribution
from redwingchute.process import operator_ports
from redwingchute.process import peer_network
from redwingchute.process.ledger import log_outcomes
from redwingchute.version import changes
from redwingchute.wire import codec

_PAGE_RECORDS = 500
_TICK_S = 0.25
_SUBMIT_TIMEOUT_MS = 15_000
_SUBMIT_RETRY_S = 0.25
_PULL_TIMEOUT_MS = 2_000
_CHECKPOINT_RETRY_S = 10.0

_logger = logging.getLogger(__name__)


class Log(Protocol):
    """The log client, as the follower uses it."""

    async def append(
        self, stream: str, body: bytes
    ) -> log_outcomes.AppendOutcome:
        """Appends one record."""

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> log_outcomes.ReadOutcome:
        """Reads records, waiting up to `wait_ms` for the first one."""


class Network(Protocol):
    """The links between routers, as the follower uses them."""

    def send(self, host_name: str, record: Any) -> bool:
        """Sends a one-way message."""

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        """Sends a request and waits for its reply."""

    def register_handler(
        self, record_type: type[Any], handler: peer_network.MessageHandler
    ) -> None:
        """Registers the handler for a record class."""


class ConfigurationFollower:
    """Follows the configuration stream and appends changes to it.

    Attributes:
      distribution: The state machine that decides what to read and send.
    """

    def __init__(
        self,
        own_host: data.Host,
        log: Log,
        network: Network,
        wire_codec: codec.Codec,
        read_clock_ms: Callable[[], int],
        random_source: random.Random,
        on_change: Callable[[], None],
        policy: distribution.DistributionPolicy | None = None,
    ) -> None:
        """Starts without a configuration and registers message handlers.

        Args:
          own_host: This router.
          log: The platform's log service.
          network: Carries messages between routers.
          wire_codec: Encodes records.
          read_clock_ms: Returns the current time.
          random_source: Chooses the receivers of digests and adds jitter.
          on_change: Called when a new version is in force.
          policy: Parameters of reading and distributing the stream; None for
            the defaults.
        """
        self._log = log
        self._network = network
        self._codec = wire_codec
        self._read_clock_ms = read_clock_ms
        self._on_change = on_change
        self._reported_version = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.distribution = distribution.Distribution(
            own_host,
            wire_codec,
            policy or distribution.DistributionPolicy(),
            random_source,
            read_clock_ms(),
        )
        network.register_handler(
            messages.ConfigurationDigest, self._handle_digest
        )
        network.register_handler(messages.ConfigurationPull, self._handle_pull)

    def find_current(self) -> configuration.Configuration | None:
        """Returns the version in force, or None before the first one."""
        current = self.distribution.fold.current
        return current if current.version else None

    def find_author(self) -> str:
        """Returns the author of the version in force."""
        return self.distribution.fold.author

    def list_audit(self) -> tuple[changes.AuditEntry, ...]:
        """Returns the newest entries of the audit trail, oldest first."""
        return self.distribution.fold.audit

    def find_confirmed_ms(self) -> int:
        """Returns when the version was last confirmed as newest; 0 if never."""
        return self.distribution.confirmed_ms

    def explain_not_ready(self) -> str | None:
        """Returns why this router is not ready to serve, or None if it is."""
        return self.distribution.explain_not_ready(self._read_clock_ms())

    def set_view(
        self, neighbours: tuple[str, ...], live: tuple[data.Host, ...]
    ) -> None:
        """Sets the overlay neighbours and the live routers."""
        self.distribution.set_view(neighbours, live)

    async def run(self) -> None:
        """Follows and distributes the stream until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_ticks())
                group.create_task(self._run_reads())
                group.create_task(self._run_checkpoints())
        finally:
            for task in list(self._tasks):
                task.cancel()

    async def submit(
        self, record: changes.ConfigurationChange | changes.AuditNote
    ) -> operator_ports.Submission:
        """Appends a record and waits for the verdict on it.

        Returns:
          The verdict; SubmissionFailed if the log did not store the record;
          SubmissionUnknown if no verdict was found before the timeout.
        """
        body = self._codec.encode(record)
        deadline_ms = self._read_clock_ms() + _SUBMIT_TIMEOUT_MS
        may_be_appended = False
        while True:
            outcome = await self._log.append(changes.STREAM, body)
            match outcome:
                case log_outcomes.Appended():
                    return await self._await_verdict(
                        record.record_id, deadline_ms
                    )
                case log_outcomes.LogUnreachable(message) if (
                    not may_be_appended
                ):
                    return operator_ports.SubmissionFailed(message)
            # This append, or an earlier one, may have taken effect; search the
            # stream for its record.
            may_be_appended = True
            if await self._read_to_end():
                verdict = self._find_verdict(record.record_id)
                if verdict is not None:
                    return verdict
            if self._read_clock_ms() >= deadline_ms:
                return operator_ports.SubmissionUnknown(record.record_id)
            await asyncio.sleep(_SUBMIT_RETRY_S)

    async def _await_verdict(
        self, record_id: bytes, deadline_ms: int
    ) -> operator_ports.Submission:
        """Reads the stream until it holds the verdict on a logged record."""
        while True:
            await self._read_to_end()
            verdict = self._find_verdict(record_id)
            if verdict is not None:
                return verdict
            if self._read_clock_ms() >= deadline_ms:
                return operator_ports.SubmissionUnknown(record_id)
            await asyncio.sleep(_SUBMIT_RETRY_S)

    def _find_verdict(self, record_id: bytes) -> changes.ChangeVerdict | None:
        """Returns the verdict on a record id, or None if not yet read."""
        return self.distribution.fold.find_verdict(record_id)

    async def _read_to_end(self) -> bool:
        """Reads the stream to its end; False if the log does not answer."""
        while True:
            from_offset = self.distribution.fold.next_offset
            outcome = await self._log.read(
                changes.STREAM, from_offset, _PAGE_RECORDS, 0
            )
            self._handle_read(outcome)
            match outcome:
                case log_outcomes.LogUnreachable():
                    return False
                case log_outcomes.Page() if (
                    self.distribution.fold.next_offset >= outcome.next
                ):
                    return True

    def _handle_read(self, outcome: log_outcomes.ReadOutcome) -> None:
        """Applies the outcome of a read of the log."""
        now_ms = self._read_clock_ms()
        match outcome:
            case log_outcomes.Page():
                self._send(self.distribution.receive_page(outcome, now_ms))
            case log_outcomes.Trimmed():
                self.distribution.handle_trim(outcome)
            case log_outcomes.LogUnreachable():
                self.distribution.handle_log_unreachable(now_ms)
        self._report_new_version()

    async def _run_reads(self) -> None:
        """Reads the log whenever a read is due."""
        while True:
            planned = self.distribution.plan_read(self._read_clock_ms())
            if planned is None:
                await asyncio.sleep(_TICK_S)
                continue
            outcome = await self._log.read(
                changes.STREAM,
                planned.from_offset,
                _PAGE_RECORDS,
                planned.wait_ms,
            )
            self._handle_read(outcome)

    async def _run_ticks(self) -> None:
        """Sends the digests that are due."""
        while True:
            self._send(self.distribution.tick(self._read_clock_ms()))
            await asyncio.sleep(_TICK_S)

    async def _run_checkpoints(self) -> None:
        """Appends the checkpoints that are due."""
        while True:
            await asyncio.sleep(_TICK_S)
            checkpoint = self.distribution.make_due_checkpoint(
                self._read_clock_ms()
            )
            if checkpoint is None:
                continue
            body = self._codec.encode(checkpoint)
            await self._log.append(changes.STREAM, body)
            # Applying the appended checkpoint resets the due time. If it
            # cannot be read now, pause before the next append.
            if not await self._read_to_end():
                await asyncio.sleep(_CHECKPOINT_RETRY_S)

    def _send(self, outgoing: list[distribution.Outgoing]) -> None:
        """Sends digests, and starts a task for each pull."""
        for item in outgoing:
            match item.record:
                case messages.ConfigurationDigest():
                    self._network.send(item.host_name, item.record)
                case messages.ConfigurationPull() as pull:
                    task = asyncio.ensure_future(
                        self._pull(item.host_name, pull)
                    )
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    async def _pull(
        self, host_name: str, pull: messages.ConfigurationPull
    ) -> None:
        """Pulls records from a sibling and applies them."""
        reply = await self._network.call(host_name, pull, _PULL_TIMEOUT_MS)
        now_ms = self._read_clock_ms()
        match reply:
            case messages.ConfigurationRecords():
                outgoing = self.distribution.receive_records(
                    host_name, reply, now_ms
                )
            case _:
                outgoing = self.distribution.handle_pull_failure(
                    host_name, now_ms
                )
        self._send(outgoing)
        self._report_new_version()

    async def _handle_digest(
        self, peer: data.Host, digest: messages.ConfigurationDigest
    ) -> None:
        """Handles a sibling's digest."""
        now_ms = self._read_clock_ms()
        self._send(self.distribution.receive_digest(peer.name, digest, now_ms))

    async def _handle_pull(
        self, peer: data.Host, pull: messages.ConfigurationPull
    ) -> messages.ConfigurationRecords:
        """Answers the pull of a sibling that is behind."""
        del peer
        return self.distribution.answer_pull(pull)

    def _report_new_version(self) -> None:
        """Logs a new version and calls back, once per version."""
        version = self.distribution.fold.current.version
        if version == self._reported_version:
            return
        self._reported_version = version
        _logger.info(
            "configuration version in force",
            extra={"version": version, "author": self.find_author()},
        )
        self._on_change()
