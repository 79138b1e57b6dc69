"""Checks of the ledger's guarantees against all records of a shard's stream.

The checks fold the stream from its first record, independently of the state of
the routers under test.
"""

import collections
from collections.abc import Iterable

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import budget
from redwingchute.process.ledger import budget_position
from redwingchute.process.ledger import fold
from redwingchute.process.ledger import follower
from redwingchute.process.ledger import holder
from redwingchute.process.ledger import log_outcomes
from redwingchute.testing import ledger_router
from redwingchute.wire import codec

_RESERVE = data.GrantKind.RESERVE


class StreamChecker:
    """Folds a whole stream and counts the entries that took effect.

    Attributes:
      bill_counts: How often each key was billed.
      credit_counts: How often the credit of each reference took effect.
      transfer_counts: How often each transfer took effect.
      needed_offset: The offset of the first record that a new reader needs,
        because no complete checkpoint covers it.
    """

    def __init__(self, wire_codec: codec.Codec) -> None:
        """Starts before the first record."""
        self._follower = follower.ShardFollower(wire_codec)
        self.bill_counts: collections.Counter[data.KeyDigest] = (
            collections.Counter()
        )
        self.credit_counts: collections.Counter[str] = collections.Counter()
        self.transfer_counts: collections.Counter[bytes] = collections.Counter()
        self.needed_offset = 0
        self._checkpoint_parts: dict[bytes, set[int]] = {}
        # The current epoch and its owner.
        self._ownership: tuple[int, data.Incarnation] = (0, 0)
        self._effective_record_ids: set[bytes] = set()

    @property
    def shard_fold(self) -> fold.ShardFold:
        """The state after all records."""
        return self._follower.shard_fold

    @property
    def next_offset(self) -> int:
        """The offset of the next record to read."""
        return self._follower.next_offset

    def apply_page(self, page: log_outcomes.Page) -> None:
        """Applies records and counts the entries that took effect."""
        for applied in self._follower.apply_page(page):
            match applied.record:
                case data.Takeover() as takeover:
                    self._record_takeover(takeover, applied.verdicts[0])
                case data.Batch() as batch:
                    self._record_batch(batch, applied.verdicts)
                case data.Checkpoint() as part:
                    self._record_checkpoint_part(part)

    def _record_checkpoint_part(self, part: data.Checkpoint) -> None:
        """Advances the first needed offset once a checkpoint is complete."""
        parts = self._checkpoint_parts.setdefault(part.checkpoint_id, set())
        parts.add(part.part)
        if len(parts) == part.part_count:
            covered = part.as_of_offset + 1
            self.needed_offset = max(self.needed_offset, covered)

    def _record_takeover(
        self, record: data.Takeover, verdict: data.Verdict
    ) -> None:
        """Records the owner of the shard, independently of the fold."""
        if verdict.code is data.VerdictCode.ACCEPTED:
            assert record.epoch == self._ownership[0] + 1, "epoch skipped"
            self._ownership = (record.epoch, record.owner)

    def _record_batch(
        self, record: data.Batch, verdicts: tuple[data.Verdict, ...]
    ) -> None:
        """Counts the entries of a batch that took effect.

        Only records of the current owner may take effect, each of them once.
        """
        accepted = [
            entry
            for entry, verdict in zip(record.entries, verdicts, strict=True)
            if verdict.code is data.VerdictCode.ACCEPTED
        ]
        if not accepted:
            return
        is_from_owner = (record.epoch, record.owner) == self._ownership
        assert is_from_owner, "a deposed owner's record took effect"
        assert record.record_id not in self._effective_record_ids, (
            "record applied twice"
        )
        self._effective_record_ids.add(record.record_id)
        for entry in accepted:
            self._count(entry)

    def _count(self, entry: data.LedgerEntry) -> None:
        """Counts one entry that took effect."""
        match entry:
            case data.Settle():
                self.bill_counts[entry.key] += 1
            case data.RecordOutcome():
                if entry.status is not data.OutcomeStatus.NOT_RUN:
                    self.bill_counts[entry.key] += 1
            case data.Credit():
                self.credit_counts[entry.reference] += 1
            case data.Transfer():
                self.transfer_counts[entry.transfer_id] += 1
            case _:
                pass

    def check(self) -> None:
        """Fails when an entry took effect twice or a budget is overspent."""
        assert all(count == 1 for count in self.bill_counts.values()), (
            "billed twice"
        )
        assert all(count == 1 for count in self.credit_counts.values())
        assert all(count == 1 for count in self.transfer_counts.values())
        for account in self.shard_fold.budgets.values():
            _check_budget(account)


def _check_budget(account: budget.Budget) -> None:
    """Fails when a budget is overcommitted."""
    balance = account.report("")
    committed = (
        balance.settled_tokens
        + balance.leased_tokens
        + balance.reserved_tokens
        + balance.unaccounted_tokens
    )
    assert committed <= balance.credited_tokens, "overcommitted"
    assert account.free_tokens == balance.credited_tokens - committed
    assert balance.settled_tokens >= 0


def check_reserve_is_backed(
    checker: StreamChecker,
    subject: holder.Holder,
    name: str,
    transfers: Iterable[data.Transfer],
) -> None:
    """Fails when a holder has more reserve than the fold can charge.

    The holder's reserve is what it can still spend plus the open requests on
    reserve whose bills are not in the log yet. The fold must be able to charge
    all of it once it has applied the transfers that the holder gave and
    received.

    Args:
      checker: The fold of the whole stream.
      subject: The holder.
      name: The budget.
      transfers: The transfers that the holder's router gave and received.
    """
    position = subject.find_position(name)
    account = checker.shard_fold.budgets.get(name)
    if position is None:
        return
    open_tokens = sum(
        reservation.tokens
        for reservation in position.reservations.values()
        if reservation.covered_by is _RESERVE
        and not _is_billed(checker, reservation)
    )
    held_tokens = position.count_free(_RESERVE) + open_tokens
    holding = (account or budget.Budget()).holdings.get(
        subject.incarnation, budget.Holding()
    )
    backed_tokens = holding.reserve_tokens + holding.unaccounted_tokens
    for transfer in transfers:
        if checker.transfer_counts[transfer.transfer_id]:
            continue
        if transfer.target == subject.incarnation:
            backed_tokens += transfer.tokens
        if transfer.source == subject.incarnation:
            backed_tokens -= transfer.tokens
    assert held_tokens <= backed_tokens, (
        f"holder {subject.incarnation} has {held_tokens} tokens of "
        f"reserve, the fold backs {backed_tokens}"
    )


def _is_billed(
    checker: StreamChecker, reservation: budget_position.Reservation
) -> bool:
    """Returns whether a request's bill is in the log."""
    return checker.bill_counts[reservation.charge.request.key] > 0


def check_runs(
    runs: Iterable[ledger_router.RequestRun], credited_tokens: int
) -> None:
    """Fails when a request ran although it must not, or on overspending.

    Args:
      runs: All requests, including those of dead routers.
      credited_tokens: The tokens that are credited to the budget.
    """
    settled_by_key: dict[data.KeyDigest, int] = {}
    dispatched: collections.Counter[data.KeyDigest] = collections.Counter()
    for run in runs:
        request = run.charge.request
        if run.refusal is not None:
            assert not run.is_dispatched, "refused as not run, yet dispatched"
        if run.is_dispatched and not request.is_repeatable:
            dispatched[request.key] += 1
        if isinstance(run.settlement, spending.Settled):
            # Requests with the same key are billed once.
            known_tokens = settled_by_key.get(request.key, 0)
            settled_by_key[request.key] = max(known_tokens, run.tokens)
    assert all(count == 1 for count in dispatched.values()), "ran twice"
    assert sum(settled_by_key.values()) <= credited_tokens, "overspent"
