"""Checks of the ledger's promises against all records of a shard's stream.

The checks fold the stream themselves, from its first record, beside whatever
the routers under test believe.
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
    """Folds a whole stream and counts what took effect.

    Attributes:
      billed: How often each key was billed.
      credits: How often each operator's reference took effect.
      transferred: How often each transfer took effect.
      needed_offset: The first record that a new reader needs.
    """

    def __init__(self, wire_codec: codec.Codec) -> None:
        """Begins before the first record."""
        self._follower = follower.ShardFollower(wire_codec)
        self.billed: collections.Counter[data.KeyDigest] = collections.Counter()
        self.credits: collections.Counter[str] = collections.Counter()
        self.transferred: collections.Counter[bytes] = collections.Counter()
        self.needed_offset = 0
        self._parts: dict[bytes, set[int]] = {}
        self._ownership: tuple[int, data.Incarnation] = (0, 0)
        self._effective: set[bytes] = set()

    @property
    def shard_fold(self) -> fold.ShardFold:
        """The state after all records."""
        return self._follower.shard_fold

    @property
    def next_offset(self) -> int:
        """Where to read from."""
        return self._follower.next_offset

    def apply_page(self, page: log_outcomes.Page) -> None:
        """Applies records and counts the entries that took effect."""
        for applied in self._follower.apply_page(page):
            match applied.record:
                case data.Takeover() as takeover:
                    self._note_takeover(takeover, applied.verdicts[0])
                case data.Batch() as batch:
                    self._note_batch(batch, applied.verdicts)
                case data.Checkpoint() as part:
                    self._note_part(part)

    def _note_part(self, part: data.Checkpoint) -> None:
        """Follows from where on the stream is covered by a checkpoint."""
        parts = self._parts.setdefault(part.checkpoint_id, set())
        parts.add(part.part)
        if len(parts) == part.part_count:
            covered = part.as_of_offset + 1
            self.needed_offset = max(self.needed_offset, covered)

    def _note_takeover(
        self, record: data.Takeover, verdict: data.Verdict
    ) -> None:
        """Follows who owns the shard, apart from the fold."""
        if verdict.code is data.VerdictCode.ACCEPTED:
            assert record.epoch == self._ownership[0] + 1, "epoch skipped"
            self._ownership = (record.epoch, record.owner)

    def _note_batch(
        self, record: data.Batch, verdicts: tuple[data.Verdict, ...]
    ) -> None:
        """Counts what took effect; only the owner's records may, once."""
        accepted = [
            entry
            for entry, verdict in zip(record.entries, verdicts, strict=True)
            if verdict.code is data.VerdictCode.ACCEPTED
        ]
        if not accepted:
            return
        is_owners = (record.epoch, record.owner) == self._ownership
        assert is_owners, "a deposed owner's record took effect"
        assert record.record_id not in self._effective, "record applied twice"
        self._effective.add(record.record_id)
        for entry in accepted:
            self._count(entry)

    def _count(self, entry: data.LedgerEntry) -> None:
        """Counts one entry that took effect."""
        match entry:
            case data.Settle():
                self.billed[entry.key] += 1
            case data.RecordOutcome():
                if entry.status is not data.OutcomeStatus.NOT_RUN:
                    self.billed[entry.key] += 1
            case data.Credit():
                self.credits[entry.reference] += 1
            case data.Transfer():
                self.transferred[entry.transfer_id] += 1
            case _:
                pass

    def check(self) -> None:
        """Fails when the fold itself breaks a promise."""
        assert all(count == 1 for count in self.billed.values()), "billed twice"
        assert all(count == 1 for count in self.credits.values())
        assert all(count == 1 for count in self.transferred.values())
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
    """Fails when a holder believes to have more reserve than the fold.

    What counts is the reserve that it would still spend, with the open bills
    on reserve that are not in the log yet: the fold must be able to charge
    all of it, once it has heard of the transfers that the holder gave and
    took.

    Args:
      checker: The fold of the whole stream.
      subject: The holder.
      name: The budget.
      transfers: What the holder's router gave and took.
    """
    held = subject.find_position(name)
    account = checker.shard_fold.budgets.get(name)
    if held is None:
        return
    open_tokens = sum(
        reservation.tokens
        for reservation in held.reservations.values()
        if reservation.covered_by is _RESERVE
        and not _is_billed(checker, reservation)
    )
    believed_tokens = held.count_free(_RESERVE) + open_tokens
    holding = (account or budget.Budget()).holdings.get(
        subject.incarnation, budget.Holding()
    )
    backed_tokens = holding.reserve_tokens + holding.unaccounted_tokens
    for transfer in transfers:
        if checker.transferred[transfer.transfer_id]:
            continue
        if transfer.target == subject.incarnation:
            backed_tokens += transfer.tokens
        if transfer.source == subject.incarnation:
            backed_tokens -= transfer.tokens
    assert believed_tokens <= backed_tokens, (
        f"holder {subject.incarnation} believes in {believed_tokens} "
        f"tokens of reserve, the fold has {backed_tokens}"
    )


def _is_billed(
    checker: StreamChecker, reservation: budget_position.Reservation
) -> bool:
    """Tells whether a request's key is in the log."""
    return checker.billed[reservation.charge.request.key] > 0


def check_runs(
    runs: Iterable[ledger_router.RequestRun], credited_tokens: int
) -> None:
    """Fails when requests ran that should not have, or too much was used.

    Args:
      runs: All requests, of dead routers too.
      credited_tokens: What is credited now.
    """
    answered: dict[data.KeyDigest, int] = {}
    dispatched: collections.Counter[data.KeyDigest] = collections.Counter()
    for run in runs:
        request = run.charge.request
        if run.refusal is not None:
            assert not run.is_dispatched, "refused as not run, yet dispatched"
        if run.is_dispatched and not request.is_repeatable:
            dispatched[request.key] += 1
        if isinstance(run.settlement, spending.Settled):
            before = answered.get(request.key, 0)
            answered[request.key] = max(before, run.tokens)
    assert all(count == 1 for count in dispatched.values()), "ran twice"
    assert sum(answered.values()) <= credited_tokens, "overspent"
