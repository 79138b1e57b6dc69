"""Runs the shard owners of one router on asyncio.

The service follows the stream of each shard for which membership proposes this
host. It passes calls to the `ShardOwner` of the shard and appends the owner's
records, its takeover included, to the log. All decisions are made by
`ShardOwner`.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging
from types import TracebackType
from typing import Protocol
from typing import TypeAlias

from redwingchute.core import data
from redwingchute.process.ledger import grant_sizing
from redwingchute.process.ledger import log_outcomes
from redwingchute.process.ledger import owner
from redwingchute.process.ledger import sharding
from redwingchute.wire import codec

_MAX_READ_RECORDS = 500
# How long the log may delay its response to a read until a record arrives.
_MAX_READ_WAIT_MS = 2_000
# The delay of the next read after one that failed or found no record.
_READ_RETRY_DELAY_MS = 250
# The longest time for which the commit loop waits for work.
_POLL_INTERVAL_MS = 200
# How long a stop waits until the calls have their replies.
_STOP_TIMEOUT_MS = 5_000
_STOP_POLL_INTERVAL_MS = 50

_logger = logging.getLogger(__name__)


SendRecall: TypeAlias = Callable[[str, data.Recall], None]


def _discard_recall(host: str, recall: data.Recall) -> None:
    """Does nothing; the default without a connection to holders."""
    del host, recall


class Log(Protocol):
    """The methods of a log client that the service uses."""

    async def append(
        self, stream: str, body: bytes
    ) -> log_outcomes.AppendOutcome:
        """Appends one record."""

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> log_outcomes.ReadOutcome:
        """Reads records."""


class OwnerService:
    """The shard owners of one router.

    The service is a context manager; leaving it stops the owners.
    """

    def __init__(
        self,
        incarnation: data.Incarnation,
        host_name: str,
        log: Log,
        wire_codec: codec.Codec,
        now_ms: Callable[[], int],
        policy: owner.OwnerPolicy,
        size_grant: grant_sizing.SizeGrant = grant_sizing.size_grant,
        choose_recalls: grant_sizing.ChooseRecalls = (
            grant_sizing.choose_recalls
        ),
        send_recall: SendRecall = _discard_recall,
    ) -> None:
        """Creates a service that owns no shard yet.

        Args:
          incarnation: The incarnation of this process.
          host_name: The host that the process runs on.
          log: The client of the log service.
          wire_codec: Encodes the records.
          now_ms: Returns the time.
          policy: The settings of the owners.
          size_grant: Sizes the grants for each ask.
          choose_recalls: Chooses the holders that return tokens if an ask
            cannot be covered.
          send_recall: Sends a recall to a host, best effort.
        """
        self._incarnation = incarnation
        self._host_name = host_name
        self._log = log
        self._codec = wire_codec
        self._now_ms = now_ms
        self._policy = policy
        self._size_grant = size_grant
        self._choose_recalls = choose_recalls
        self._send_recall = send_recall
        self._hosts: tuple[data.Host, ...] = ()
        self._dead_incarnations: dict[data.Incarnation, None] = {}
        self._workers: dict[int, _ShardWorker] = {}
        self._is_stopping = False

    async def __aenter__(self) -> "OwnerService":
        """Returns the service."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops the service."""
        await self.stop()

    @property
    def append_count(self) -> int:
        """The number of appends that the current owners have attempted."""
        return sum(
            worker.shard_owner.append_count for worker in self._workers.values()
        )

    def list_owned(self) -> tuple[int, ...]:
        """Returns the shards that this process owns now."""
        return tuple(
            shard
            for shard, worker in sorted(self._workers.items())
            if worker.shard_owner.is_owner
        )

    def propose_owner(self, shard: int) -> data.Host | None:
        """Returns the host that should own a shard, by the live hosts."""
        return sharding.propose_owner(shard, self._hosts)

    def set_live_hosts(self, hosts: Iterable[data.Host]) -> None:
        """Sets the live hosts, which include this one.

        A shard that another host should own now is served until that host's
        takeover is read, so that the shard is always served.
        """
        self._hosts = tuple(hosts)
        if self._is_stopping:
            return
        for shard in range(self._policy.shard_count):
            proposed = self.propose_owner(shard)
            is_own = proposed is not None and proposed.name == self._host_name
            if is_own and shard not in self._workers:
                self._workers[shard] = self._start_worker(shard)
            if shard in self._workers:
                self._workers[shard].set_proposed(is_own)
        self._remove_lost_workers()

    def declare_dead(self, incarnation: data.Incarnation) -> None:
        """Marks an incarnation as dead; owners retire it by a record."""
        self._dead_incarnations[incarnation] = None
        for worker in self._workers.values():
            worker.shard_owner.mark_holder_dead(incarnation)
            worker.wake()

    async def handle_call(
        self, peer: data.Host, call: data.LedgerCall
    ) -> data.LedgerReply:
        """Returns the reply to a holder's call, once its batch is read back."""
        del peer
        worker = self._workers.get(call.shard)
        if worker is None or self._is_stopping:
            return self._refuse(call.shard)
        reply = await worker.handle_call(call)
        if reply.status is data.CallStatus.NOT_OWNER and not reply.owner_host:
            return self._refuse(call.shard)
        return reply

    async def handle_balance_query(
        self, peer: data.Host, query: data.BalanceQuery
    ) -> data.BalanceReport:
        """Returns the balances of one shard for an operator."""
        del peer
        worker = self._workers.get(query.shard)
        if worker is None:
            refusal = self._refuse(query.shard)
            return data.BalanceReport(
                query.shard, refusal.status, refusal.owner_host
            )
        return worker.shard_owner.report_balances(query)

    async def stop(self) -> None:
        """Commits waiting calls, replies to all and stops the owners."""
        self._is_stopping = True
        deadline_ms = self._now_ms() + _STOP_TIMEOUT_MS
        while self._now_ms() < deadline_ms and not all(
            worker.shard_owner.is_idle for worker in self._workers.values()
        ):
            await asyncio.sleep(_STOP_POLL_INTERVAL_MS / 1000)
        for worker in self._workers.values():
            await worker.stop()
        self._workers.clear()

    def _start_worker(self, shard: int) -> "_ShardWorker":
        """Starts and returns the worker of a shard."""
        shard_owner = owner.ShardOwner(
            shard,
            self._incarnation,
            self._host_name,
            self._policy,
            self._codec,
            self._size_grant,
            self._choose_recalls,
        )
        for incarnation in self._dead_incarnations:
            shard_owner.mark_holder_dead(incarnation)
        stream = sharding.name_stream(shard)
        return _ShardWorker(
            shard_owner,
            stream,
            self._log,
            self._codec,
            self._now_ms,
            self._send_recall,
        )

    def _remove_lost_workers(self) -> None:
        """Stops the workers of shards that this host no longer serves."""
        for shard, worker in list(self._workers.items()):
            if not worker.is_proposed and worker.is_unused():
                del self._workers[shard]
                worker.cancel()

    def _refuse(self, shard: int) -> data.LedgerReply:
        """Returns the reply of a host that does not own the shard."""
        proposed = self.propose_owner(shard)
        return data.LedgerReply(
            shard=shard,
            epoch=0,
            status=data.CallStatus.NOT_OWNER,
            owner_host=proposed.name if proposed is not None else "",
        )


class _ShardWorker:
    """Passes calls, reads and appends to and from one `ShardOwner`."""

    def __init__(
        self,
        shard_owner: owner.ShardOwner,
        stream: str,
        log: Log,
        wire_codec: codec.Codec,
        now_ms: Callable[[], int],
        send_recall: SendRecall,
    ) -> None:
        """Starts following the stream and appending records."""
        self._send_recall = send_recall
        self.shard_owner = shard_owner
        self.is_proposed = False
        self._stream = stream
        self._log = log
        self._codec = wire_codec
        self._now_ms = now_ms
        self._wake = asyncio.Event()
        self._futures: dict[int, asyncio.Future[data.LedgerReply]] = {}
        self._last_call_id = 0
        self._was_owner = False
        self._tasks = (
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._commit()),
        )

    def set_proposed(self, is_proposed: bool) -> None:
        """Sets whether membership proposes this host as owner."""
        self.is_proposed = is_proposed
        self.shard_owner.set_proposed(is_proposed)
        self.wake()

    def is_unused(self) -> bool:
        """Returns whether the worker neither owns the shard nor has calls."""
        return not self.shard_owner.is_owner and not self._futures

    def wake(self) -> None:
        """Makes the commit loop check for work."""
        self._wake.set()

    async def handle_call(self, call: data.LedgerCall) -> data.LedgerReply:
        """Passes a call to the owner and waits for its reply."""
        self._last_call_id += 1
        call_id = self._last_call_id
        future: asyncio.Future[data.LedgerReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[call_id] = future
        try:
            self.shard_owner.handle_call(self._now_ms(), call_id, call)
            self._deliver()
            self.wake()
            return await future
        finally:
            self._futures.pop(call_id, None)

    async def stop(self) -> None:
        """Stops both loops and refuses the calls that still wait."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cancel(self) -> None:
        """Stops both loops without waiting for their end."""
        for task in self._tasks:
            task.cancel()
        for future in self._futures.values():
            if not future.done():
                future.set_result(
                    data.LedgerReply(0, 0, data.CallStatus.LOG_UNAVAILABLE)
                )

    async def _follow(self) -> None:
        """Reads the stream until the worker is cancelled."""
        while True:
            planned = self.shard_owner.begin_read()
            outcome = await self._log.read(
                self._stream,
                planned.from_offset,
                _MAX_READ_RECORDS,
                _MAX_READ_WAIT_MS if planned.may_wait else 0,
            )
            self.shard_owner.handle_read_outcome(
                self._now_ms(), planned, outcome
            )
            self._deliver()
            self.wake()
            if _should_pause(planned, outcome):
                await asyncio.sleep(_READ_RETRY_DELAY_MS / 1000)

    async def _commit(self) -> None:
        """Appends records until the worker is cancelled."""
        while True:
            self._wake.clear()
            self.shard_owner.expire_calls(self._now_ms())
            record = self.shard_owner.next_append(self._now_ms())
            self._deliver()
            if record is None:
                await self._wait_for_work()
                continue
            outcome = await self._log.append(
                self._stream, self._codec.encode(record)
            )
            self.shard_owner.handle_append_outcome(self._now_ms(), outcome)
            self._deliver()

    async def _wait_for_work(self) -> None:
        """Waits until an append may be due."""
        wait_ms = self.shard_owner.find_next_append_ms() - self._now_ms()
        if wait_ms > 0:
            await asyncio.sleep(min(wait_ms, _POLL_INTERVAL_MS) / 1000)
            return
        try:
            async with asyncio.timeout(_POLL_INTERVAL_MS / 1000):
                await self._wake.wait()
        except TimeoutError:
            return

    def _deliver(self) -> None:
        """Delivers replies and recalls and logs changes of ownership."""
        for call_reply in self.shard_owner.pop_replies():
            future = self._futures.get(call_reply.call_id)
            if future is not None and not future.done():
                future.set_result(call_reply.reply)
        for outgoing in self.shard_owner.pop_recalls():
            self._send_recall(outgoing.host, outgoing.recall)
        is_owner = self.shard_owner.is_owner
        if is_owner != self._was_owner:
            self._was_owner = is_owner
            _logger.info(
                "ledger shard owned" if is_owner else "ledger shard lost",
                extra={
                    "stream": self._stream,
                    "epoch": self.shard_owner.shard_fold.epoch,
                    "owner": self.shard_owner.shard_fold.owner_host,
                },
            )


def _should_pause(
    planned: owner.PlannedRead, outcome: log_outcomes.ReadOutcome
) -> bool:
    """Returns whether to wait before the next read.

    An immediate read would most likely fail or find no new record.
    """
    match outcome:
        case log_outcomes.LogUnreachable():
            return True
        case log_outcomes.Page(records=records):
            return not planned.may_wait and not records
        case log_outcomes.Trimmed():
            return False
