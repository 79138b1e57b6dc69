"""Makes the decisions of a router that owns or may take over a ledger shard.

The owner uses group commit: one append carries all entries received since the
previous one. At most one append is under way. The owner replies to a call only
after it has read its record back and found no takeover before it. If the
outcome of an append is unknown, the owner searches the stream for the record
before it sends the same record again.
"""

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import batch_builder
from redwingchute.process.ledger import checkpoint_schedule
from redwingchute.process.ledger import dead_holders
from redwingchute.process.ledger import fold
from redwingchute.process.ledger import follower
from redwingchute.process.ledger import grant_sizing
from redwingchute.process.ledger import log_outcomes
from redwingchute.process.ledger import pending_append
from redwingchute.process.ledger import reply_builder
from redwingchute.wire import codec

_MIN_COMMIT_INTERVAL_MS = 10


@attrs.frozen
class OwnerPolicy:
    """The settings of an owner.

    They affect availability and cost only, never correctness.

    Attributes:
      shard_count: The number of shards of the fleet.
      appends_per_s: The appends per second that all shards together may use.
      call_timeout_ms: How long a call waits for the log before it is refused
        as LOG_UNAVAILABLE.
      takeover_retry_delay_ms: The delay before a takeover is tried again, or a
        lost shard is taken over again.
      append_retry_delay_ms: The delay before an append is tried again.
      checkpoint_interval_ms: The longest time between checkpoints; much shorter
        than the log's retention.
      checkpoint_interval_records: The most records between checkpoints.
      grants: The policy for the size of grants.
    """

    shard_count: int = 16
    appends_per_s: float = 250.0
    call_timeout_ms: int = 4_000
    takeover_retry_delay_ms: int = 10_000
    append_retry_delay_ms: int = 300
    checkpoint_interval_ms: int = 3_600_000
    checkpoint_interval_records: int = 20_000
    grants: grant_sizing.GrantPolicy = grant_sizing.GrantPolicy()

    @property
    def commit_interval_ms(self) -> int:
        """The least interval between two appends of one shard."""
        interval_ms = int(1000 * self.shard_count / self.appends_per_s)
        return max(_MIN_COMMIT_INTERVAL_MS, interval_ms)

    def find_phase_ms(self, shard: int) -> int:
        """Returns a shard's offset within the commit interval."""
        index = shard % self.shard_count
        return self.commit_interval_ms * index // self.shard_count


@attrs.frozen
class PlannedRead:
    """A read of the shard's stream that `OwnerService` should make.

    It is unrelated to `distribution.PlannedRead`, a read of the configuration
    stream.

    Attributes:
      number: The number of the read, counted from 1.
      from_offset: The offset to read from.
      may_wait: Whether the log may delay its response until a record arrives.
    """

    number: int
    from_offset: int
    may_wait: bool


class ShardOwner:
    """The decisions of one router about one shard.

    The class does no input or output. Replies to calls are queued until
    `pop_replies` returns them.

    Attributes:
      follower: The reader of the shard's stream.
      append_count: The number of records returned by `next_append`.
    """

    def __init__(
        self,
        shard: int,
        incarnation: data.Incarnation,
        host_name: str,
        policy: OwnerPolicy,
        wire_codec: codec.Codec,
        size_grant: grant_sizing.SizeGrant,
        choose_recalls: grant_sizing.ChooseRecalls = (
            grant_sizing.choose_recalls
        ),
    ) -> None:
        """Creates an owner that has not read the shard's stream yet.

        Args:
          shard: The shard.
          incarnation: The incarnation of this process.
          host_name: The host that the process runs on.
          policy: The settings of the owner.
          wire_codec: Decodes and encodes the records.
          size_grant: Sizes the grants for each ask.
          choose_recalls: Chooses the holders that return tokens if an ask
            cannot be covered.
        """
        self._shard = shard
        self._incarnation = incarnation
        self._host_name = host_name
        self._policy = policy
        self.follower = follower.ShardFollower(wire_codec)
        self._builder = batch_builder.BatchBuilder(
            policy.grants, size_grant, choose_recalls
        )
        self._checkpoints = checkpoint_schedule.CheckpointSchedule(
            policy.checkpoint_interval_ms,
            policy.checkpoint_interval_records,
            wire_codec,
        )
        self._pending: pending_append.PendingAppend | None = None
        self._replies = reply_builder.ReplyBuilder(
            shard, host_name, policy.grants.lease_ms, self._builder
        )
        self._reads_begun = 0
        self._is_log_reachable = False
        self._is_proposed = False
        self._is_checkpoint_next = False
        self._next_takeover_ms = 0
        self._next_commit_ms = 0
        self._sequence = 0
        self._dead_holders = dead_holders.DeadHolders()
        self.append_count = 0

    @property
    def shard_fold(self) -> fold.ShardFold:
        """The fold of the shard."""
        return self.follower.shard_fold

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the shard, as of the last record read."""
        return (
            self.follower.state is follower.FollowState.CURRENT
            and self.shard_fold.owner == self._incarnation
            and not self.shard_fold.is_retired(self._incarnation)
        )

    @property
    def is_idle(self) -> bool:
        """Whether no call waits for a commit."""
        has_calls = self._pending is not None and bool(self._pending.calls)
        return not has_calls and self._builder.is_empty

    def set_proposed(self, is_proposed: bool) -> None:
        """Sets whether membership proposes this host as owner of the shard."""
        self._is_proposed = is_proposed

    def mark_holder_dead(self, incarnation: data.Incarnation) -> None:
        """Marks holders that membership declared dead; the owner retires them.

        Args:
          incarnation: A process, which stands for all of its holders, or a
            single holder.
        """
        if incarnation != self._incarnation:
            self._dead_holders.add(incarnation, self.shard_fold)

    def pop_replies(self) -> list[reply_builder.CallReply]:
        """Removes and returns the queued replies."""
        return self._replies.pop_replies()

    def pop_recalls(self) -> list[batch_builder.OutgoingRecall]:
        """Removes and returns the recalls to send to hosts, best effort."""
        return self._builder.pop_recalls()

    def handle_call(
        self, now_ms: int, call_id: int, call: data.LedgerCall
    ) -> None:
        """Handles a holder's call; the reply carries `call_id`."""
        status = self._find_status()
        if status is not data.CallStatus.HANDLED:
            self._replies.refuse_all(self.shard_fold, (call_id,), status)
            return
        if not call.entries and not call.asks:
            self._replies.reply_to_lookups(self.shard_fold, call_id, call)
            return
        self._dead_holders.check_holder(call.holder)
        self._builder.add(now_ms, call_id, call)

    def report_balances(self, query: data.BalanceQuery) -> data.BalanceReport:
        """Returns the balances for an operator, as of the last record read."""
        status = self._find_status()
        balances: tuple[data.BudgetBalance, ...] = ()
        if self.is_owner:
            balances = self.shard_fold.report_balances(query.budget)
        return data.BalanceReport(
            query.shard, status, self.shard_fold.owner_host, balances
        )

    def begin_read(self) -> PlannedRead:
        """Returns the next read to make."""
        self._reads_begun += 1
        is_searching = (
            self._pending is not None
            and self._pending.state is pending_append.AppendState.UNKNOWN
        )
        is_current = self.follower.state is follower.FollowState.CURRENT
        return PlannedRead(
            self._reads_begun,
            self.follower.next_offset,
            may_wait=is_current and self._is_log_reachable and not is_searching,
        )

    def handle_read_outcome(
        self,
        now_ms: int,
        planned: PlannedRead,
        outcome: log_outcomes.ReadOutcome,
    ) -> None:
        """Handles the outcome of a read."""
        match outcome:
            case log_outcomes.LogUnreachable():
                self._is_log_reachable = False
                self._refuse_waiting(data.CallStatus.LOG_UNAVAILABLE)
            case log_outcomes.Trimmed():
                self._mark_log_reachable(now_ms)
                self._handle_trimmed(outcome)
            case log_outcomes.Page():
                self._mark_log_reachable(now_ms)
                self._apply_page(now_ms, planned, outcome)

    def next_append(self, now_ms: int) -> pending_append.LoggedRecord | None:
        """Returns a record to append now, or None.

        The outcome of the append must be passed to `handle_append_outcome`.
        """
        if self._pending is None and now_ms >= self._next_commit_ms:
            self._pending = self._build_record(now_ms)
        if self._pending is None:
            return None
        record = self._pending.start_sending(now_ms)
        if record is not None:
            self.append_count += 1
            self._next_commit_ms = now_ms + self._policy.commit_interval_ms
        return record

    def find_next_append_ms(self) -> int:
        """Returns the earliest time when `next_append` may return a record."""
        if self._pending is not None:
            return self._pending.not_before_ms
        return self._next_commit_ms

    def handle_append_outcome(
        self, now_ms: int, outcome: log_outcomes.AppendOutcome
    ) -> None:
        """Handles the outcome of the append under way."""
        pending = self._pending
        if pending is None:
            # The record was read back before the response to its append.
            return
        retry_at_ms = now_ms + self._policy.append_retry_delay_ms
        is_absent = pending.handle_outcome(
            outcome, self._reads_begun, retry_at_ms
        )
        if isinstance(outcome, log_outcomes.LogUnreachable):
            self._refuse_waiting(data.CallStatus.LOG_UNAVAILABLE)
        if is_absent:
            self._pending = None
            self._next_commit_ms = retry_at_ms + self._policy.find_phase_ms(
                self._shard
            )
            self._next_takeover_ms = retry_at_ms
            if isinstance(pending.record, data.Checkpoint):
                self._checkpoints.requeue_part(pending.record)

    def expire_calls(self, now_ms: int) -> None:
        """Refuses calls that have waited too long for the log."""
        received_before_ms = now_ms - self._policy.call_timeout_ms
        received_before_ms -= self._policy.commit_interval_ms
        expired = self._builder.remove_received_before(received_before_ms)
        if self._pending is not None:
            expired += self._pending.pop_calls_before(received_before_ms)
        self._replies.refuse_all(
            self.shard_fold, expired, data.CallStatus.LOG_UNAVAILABLE
        )

    def _find_status(self) -> data.CallStatus:
        """Returns the status that a call gets now."""
        if self.follower.state is not follower.FollowState.CURRENT:
            return data.CallStatus.LOG_UNAVAILABLE
        if not self.is_owner:
            return data.CallStatus.NOT_OWNER
        if not self._is_log_reachable:
            return data.CallStatus.LOG_UNAVAILABLE
        return data.CallStatus.HANDLED

    def _build_record(self, now_ms: int) -> pending_append.PendingAppend | None:
        """Returns the next record to append, or None.

        While a checkpoint is due, its parts alternate with batches, so that
        neither delays the other for long.
        """
        if self.follower.state is not follower.FollowState.CURRENT:
            return None
        if not self._is_log_reachable:
            return None
        if not self.is_owner:
            return self._build_takeover(now_ms)
        is_due = self._checkpoints.is_due(now_ms, self.shard_fold.offset)
        if is_due and self._is_checkpoint_next:
            return self._build_checkpoint(now_ms)
        self._is_checkpoint_next = True
        batch = self._build_batch(now_ms)
        if batch is None and is_due:
            return self._build_checkpoint(now_ms)
        return batch

    def _build_takeover(
        self, now_ms: int
    ) -> pending_append.PendingAppend | None:
        """Returns a takeover if this process should own the shard now."""
        if not self._is_proposed or now_ms < self._next_takeover_ms:
            return None
        if self.shard_fold.is_retired(self._incarnation):
            return None
        self._next_takeover_ms = now_ms + self._policy.takeover_retry_delay_ms
        record = data.Takeover(
            record_id=self._make_record_id(),
            epoch=self.shard_fold.epoch + 1,
            owner=self._incarnation,
            host=self._host_name,
        )
        return pending_append.PendingAppend(record)

    def _build_batch(self, now_ms: int) -> pending_append.PendingAppend | None:
        """Returns a batch of waiting calls, or None without any entry.

        Without an entry, it replies to the calls at once.
        """
        retires = [
            data.Retire(each)
            for each in self._dead_holders.pop_unretired(self.shard_fold)
        ]
        built = self._builder.build(now_ms, self.shard_fold, retires)
        if not built.entries:
            for each in built.calls:
                self._replies.reply_to_call(self.shard_fold, each, ())
            return None
        record = data.Batch(
            record_id=self._make_record_id(),
            epoch=self.shard_fold.epoch,
            owner=self._incarnation,
            entries=built.entries,
        )
        return pending_append.PendingAppend(record, built.calls)

    def _build_checkpoint(self, now_ms: int) -> pending_append.PendingAppend:
        """Returns the next part of a checkpoint."""
        self._is_checkpoint_next = False
        part = self._checkpoints.next_part(
            now_ms, self.shard_fold, self._make_record_id()
        )
        return pending_append.PendingAppend(part)

    def _mark_log_reachable(self, now_ms: int) -> None:
        """Marks the log as reachable.

        All owners detect the end of an outage at the same time. Each starts at
        its own offset in the commit interval, so that their appends are spread.
        """
        if not self._is_log_reachable:
            self._is_log_reachable = True
            first_ms = now_ms + self._policy.find_phase_ms(self._shard)
            self._next_commit_ms = max(self._next_commit_ms, first_ms)

    def _handle_trimmed(self, trimmed: log_outcomes.Trimmed) -> None:
        """Restarts from the oldest record that the log keeps.

        The record under way may be among those that the log removed, so it is
        abandoned: later records of this owner have a higher sequence, after
        which a late copy of it is void.
        """
        self._refuse_waiting(data.CallStatus.LOG_UNAVAILABLE)
        self._pending = None
        self._checkpoints.reset()
        self.follower.handle_trimmed(trimmed)

    def _apply_page(
        self, now_ms: int, planned: PlannedRead, page: log_outcomes.Page
    ) -> None:
        """Applies the records of a page."""
        was_owner = self.is_owner
        for applied in self.follower.apply_page(page):
            self._handle_applied(applied)
            self._dead_holders.check_record(applied.record)
        if was_owner and not self.is_owner:
            self._next_takeover_ms = (
                now_ms + self._policy.takeover_retry_delay_ms
            )
            self._refuse_waiting(data.CallStatus.NOT_OWNER)
        if self.is_owner and not was_owner:
            self._checkpoints.reset()
            self._dead_holders.check_fold(self.shard_fold)
        if self.follower.next_offset >= page.next:
            self._resend_if_absent(now_ms, planned)

    def _handle_applied(self, applied: follower.AppliedRecord) -> None:
        """Replies to the calls of the record under way once it is read back."""
        pending = self._pending
        if pending is None:
            return
        identity = pending_append.identify_record(applied.record)
        if identity != pending_append.identify_record(pending.record):
            return
        self._pending = None
        if self._is_void(applied):
            call_ids = pending.pop_calls()
            self._replies.refuse_all(
                self.shard_fold, call_ids, data.CallStatus.NOT_OWNER
            )
            return
        for each in pending.calls:
            self._replies.reply_to_call(self.shard_fold, each, applied.verdicts)

    def _is_void(self, applied: follower.AppliedRecord) -> bool:
        """Returns whether the fold voided a whole record."""
        return self.shard_fold.is_retired(self._incarnation) or any(
            verdict.code is data.VerdictCode.STALE_EPOCH
            for verdict in applied.verdicts
        )

    def _resend_if_absent(self, now_ms: int, planned: PlannedRead) -> None:
        """Allows sending a record again once it is known to be absent."""
        pending = self._pending
        if pending is None:
            return
        retry_at_ms = now_ms + self._policy.append_retry_delay_ms
        is_absent = pending.mark_absent(planned.number, retry_at_ms)
        if is_absent and self._is_outdated(pending.record):
            self._pending = None

    def _is_outdated(self, record: pending_append.LoggedRecord) -> bool:
        """Returns whether a record would be void if it were appended now."""
        match record:
            case data.Takeover():
                return record.epoch != self.shard_fold.epoch + 1
            case data.Batch():
                return record.epoch != self.shard_fold.epoch
            case data.Checkpoint():
                return not self.is_owner

    def _refuse_waiting(self, status: data.CallStatus) -> None:
        """Refuses all waiting calls with the same status."""
        call_ids = self._builder.remove_all()
        if self._pending is not None:
            call_ids += self._pending.pop_calls()
        self._replies.refuse_all(self.shard_fold, call_ids, status)

    def _make_record_id(self) -> bytes:
        """Returns the id for the next record."""
        self._sequence += 1
        return fold.make_record_id(self._incarnation, self._sequence)
