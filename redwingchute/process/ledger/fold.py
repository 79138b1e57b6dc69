"""Folds the records of one ledger shard, in log order, into its state.

Validity depends on the order of the records only, never on a clock: a record
takes effect if it is valid against the fold of all records before it.
Therefore all readers of the stream reach the same verdicts. Records of a
deposed owner are void. A retired holder gets no grant and no claim, and its
lease is void; it may still bill, return and transfer its reserve.
"""

from typing import TypeAlias

import attrs
import xxhash

from redwingchute.core import data
from redwingchute.process.ledger import budget
from redwingchute.process.ledger import claim_rules
from redwingchute.process.ledger import key_store
from redwingchute.process.ledger import shard_state

# How many times the request of a settled key may run again free of charge.
MAX_RERUNS = 5
# The number of transfer ids that are kept to detect repeated transfers.
MAX_TRANSFERS = 50_000
# The number of retired holders that are kept; the oldest are removed first.
MAX_RETIRED = 100_000
Record: TypeAlias = data.Takeover | data.Batch | data.Checkpoint

_ACCEPTED = data.Verdict(data.VerdictCode.ACCEPTED)
_REPEATED = data.Verdict(data.VerdictCode.REPEATED)


def make_record_id(owner: data.Incarnation, sequence: int) -> bytes:
    """Returns the id of an owner's record; sequences count up from 1."""
    return owner.to_bytes(8, "big") + sequence.to_bytes(8, "big")


class ShardFold(shard_state.ShardState):
    """The state of one shard after the records that were applied."""

    def apply(self, offset: int, record: Record) -> tuple[data.Verdict, ...]:
        """Applies the next record of the stream.

        Args:
          offset: The record's offset; offsets of unreadable records may be
            left out.
          record: The record.

        Returns:
          One verdict for a takeover, one for each entry of a batch, and none
          for a checkpoint, which repeats the state that the fold already has.
        """
        self.offset = offset
        match record:
            case data.Takeover():
                return (self._apply_takeover(record),)
            case data.Batch():
                return self._apply_batch(record)
            case data.Checkpoint():
                return ()

    def look_up(self, lookup: data.Lookup) -> data.KeyReport:
        """Returns the state of an idempotency key."""
        claim = self.claims.get(lookup.key)
        if claim is not None:
            return claim_rules.report_claim(claim, lookup.body_digest)
        if self.claims.has_expired(lookup.key):
            return data.KeyReport(data.KeyState.EXPIRED)
        settled = self.keys.get(lookup.key)
        if settled is None:
            return data.KeyReport(data.KeyState.NEW)
        if settled.body_digest != truncate_body_digest(lookup.body_digest):
            return data.KeyReport(data.KeyState.BODY_MISMATCH)
        if settled.reruns >= MAX_RERUNS:
            return data.KeyReport(data.KeyState.TOO_MANY_RERUNS)
        return data.KeyReport(data.KeyState.SETTLED)

    def report_balances(self, name: str) -> tuple[data.BudgetBalance, ...]:
        """Returns the balance of one budget, or of all for an empty name."""
        return tuple(
            self.budgets[each].report(each)
            for each in sorted(self.budgets)
            if name in ("", each)
        )

    def _apply_takeover(self, record: data.Takeover) -> data.Verdict:
        """Changes the owner if the record's epoch follows the current one."""
        is_current = record.epoch == self.epoch and record.owner == self.owner
        if is_current:
            return _REPEATED
        if record.epoch != self.epoch + 1:
            return data.Verdict(data.VerdictCode.STALE_EPOCH)
        if self.is_retired(record.owner):
            return data.Verdict(data.VerdictCode.HOLDER_RETIRED)
        self.epoch = record.epoch
        self.owner = record.owner
        self.owner_host = record.host
        self.last_sequence = 0
        return _ACCEPTED

    def _apply_batch(self, record: data.Batch) -> tuple[data.Verdict, ...]:
        """Applies the entries of a batch if the batch is valid."""
        refusal = self._check_batch(record)
        if refusal is not None:
            return (refusal,) * len(record.entries)
        return tuple(self._apply_entry(entry) for entry in record.entries)

    def _check_batch(self, record: data.Batch) -> data.Verdict | None:
        """Returns the verdict that voids a batch, or None if it is valid.

        An owner appends its next record only after it has read the last one
        back, so its sequences increase. A batch whose sequence does not
        increase is a late copy of one that was already applied or abandoned.
        """
        if record.epoch != self.epoch or record.owner != self.owner:
            return data.Verdict(data.VerdictCode.STALE_EPOCH)
        if self.is_retired(record.owner):
            return data.Verdict(data.VerdictCode.HOLDER_RETIRED)
        sequence = int.from_bytes(record.record_id[8:16], "big")
        if sequence <= self.last_sequence:
            return _REPEATED
        self.last_sequence = sequence
        return None

    def _apply_entry(self, entry: data.LedgerEntry) -> data.Verdict:
        """Applies one entry of a valid batch."""
        match entry:
            case data.Credit():
                return self._apply_credit(entry)
            case data.Grant():
                return self._apply_grant(entry)
            case data.GiveBack():
                return self._apply_give_back(entry)
            case data.Settle():
                return self._apply_settle(entry)
            case data.Claim():
                return claim_rules.apply_claim(self, entry)
            case data.RecordOutcome():
                return claim_rules.apply_outcome(self, entry)
            case data.Resolve():
                return claim_rules.apply_resolve(self, entry)
            case data.Retire():
                return self._apply_retire(entry)
            case data.Release():
                return self._apply_release(entry)
            case data.Transfer():
                return self._apply_transfer(entry)

    def _apply_credit(self, entry: data.Credit) -> data.Verdict:
        """Tops a budget up, or reduces it by at most its free tokens."""
        budget_account = self.budgets.get(entry.budget)
        if budget_account is None:
            if entry.tokens < 0:
                return data.Verdict(data.VerdictCode.UNKNOWN_BUDGET)
            budget_account = self.budgets.setdefault(
                entry.budget, budget.Budget()
            )
        reference = _digest_reference("credit", entry.reference)
        if reference in budget_account.references:
            return _REPEATED
        if -entry.tokens > budget_account.free_tokens:
            return data.Verdict(
                data.VerdictCode.INSUFFICIENT_TOKENS, budget_account.free_tokens
            )
        budget_account.references.add(reference)
        budget_account.credited_tokens += entry.tokens
        return data.Verdict(data.VerdictCode.ACCEPTED, entry.tokens)

    def _apply_grant(self, entry: data.Grant) -> data.Verdict:
        """Grants the requested tokens, or fewer if fewer are free."""
        budget_account = self.budgets.get(entry.budget)
        if budget_account is None:
            return data.Verdict(data.VerdictCode.UNKNOWN_BUDGET)
        if self.is_retired(entry.holder):
            return data.Verdict(data.VerdictCode.HOLDER_RETIRED)
        moved_tokens = budget_account.grant(
            entry.holder, entry.kind, entry.tokens
        )
        if moved_tokens == 0:
            return data.Verdict(data.VerdictCode.INSUFFICIENT_TOKENS)
        return data.Verdict(data.VerdictCode.ACCEPTED, moved_tokens)

    def _apply_give_back(self, entry: data.GiveBack) -> data.Verdict:
        """Frees the tokens that a holder returns.

        A retired holder that is still alive may return reserve, which became
        unaccounted when it was retired: the entry proves that the holder has
        not spent these tokens and no longer counts them as its own.
        """
        budget_account = self.budgets.get(entry.budget)
        if budget_account is None:
            return data.Verdict(data.VerdictCode.UNKNOWN_BUDGET)
        holding = budget_account.holdings.get(entry.holder)
        if holding is None:
            return data.Verdict(data.VerdictCode.INSUFFICIENT_TOKENS)
        if holding.has_seen_sequence(entry.sequence):
            return _REPEATED
        is_retired = self.is_retired(entry.holder)
        if is_retired and entry.kind is data.GrantKind.LEASE:
            return data.Verdict(data.VerdictCode.HOLDER_RETIRED)
        if not budget_account.deduct(
            entry.holder, entry.kind, entry.tokens, is_retired
        ):
            return data.Verdict(data.VerdictCode.INSUFFICIENT_TOKENS)
        holding.record_sequence(entry.sequence)
        return data.Verdict(data.VerdictCode.ACCEPTED, entry.tokens)

    def _apply_settle(self, entry: data.Settle) -> data.Verdict:
        """Bills a request, at most once for each key."""
        budget_account = self.budgets.get(entry.budget)
        if budget_account is None:
            return data.Verdict(data.VerdictCode.UNKNOWN_BUDGET)
        refusal = self._check_settle(entry)
        if refusal is not None:
            return refusal
        if not self.charge(
            budget_account, entry.holder, entry.kind, entry.tokens
        ):
            return data.Verdict(data.VerdictCode.INSUFFICIENT_TOKENS)
        self.advance_time(entry.settled_at_ms)
        settled = key_store.SettledKey(
            truncate_body_digest(entry.body_digest),
            _to_stamp_s(entry.settled_at_ms),
        )
        self.keys.set(entry.key, settled, self.time_ms)
        return data.Verdict(data.VerdictCode.ACCEPTED, entry.tokens)

    def _check_settle(self, entry: data.Settle) -> data.Verdict | None:
        """Returns the verdict if a settlement must not be billed, else None."""
        settled = self.keys.get(entry.key)
        if settled is not None:
            return self._repeat_settle(entry, settled)
        claim = self.claims.get(entry.key)
        if claim is not None or self.claims.has_expired(entry.key):
            return data.Verdict(data.VerdictCode.ALREADY_CLAIMED)
        if _to_stamp_s(entry.settled_at_ms) < self.keys.floor_s:
            return data.Verdict(data.VerdictCode.KEY_EXPIRED)
        is_lease = entry.kind is data.GrantKind.LEASE
        if is_lease and self.is_retired(entry.holder):
            return data.Verdict(data.VerdictCode.HOLDER_RETIRED)
        return None

    def _repeat_settle(
        self, entry: data.Settle, settled: key_store.SettledKey
    ) -> data.Verdict:
        """Returns the verdict on a key that is already settled; bills nothing.

        A copy of the same bill has the same settlement time. A different time
        marks another run of the request, of which at most `MAX_RERUNS` are
        allowed.
        """
        if settled.body_digest != truncate_body_digest(entry.body_digest):
            return data.Verdict(data.VerdictCode.BODY_MISMATCH)
        if settled.settled_at_s == _to_stamp_s(entry.settled_at_ms):
            return _REPEATED
        if settled.reruns >= MAX_RERUNS:
            return data.Verdict(data.VerdictCode.TOO_MANY_RERUNS)
        rerun = attrs.evolve(settled, reruns=settled.reruns + 1)
        self.keys.set(entry.key, rerun, self.time_ms)
        return _REPEATED

    def _apply_retire(self, entry: data.Retire) -> data.Verdict:
        """Retires a holder: frees its lease.

        Its reserve becomes unaccounted, since it is unknown how much was spent.
        """
        if self.is_retired(entry.holder):
            return _REPEATED
        self.retired[entry.holder] = None
        if len(self.retired) > MAX_RETIRED:
            del self.retired[next(iter(self.retired))]
        for budget_account in self.budgets.values():
            budget_account.retire(entry.holder)
        return _ACCEPTED

    def _apply_release(self, entry: data.Release) -> data.Verdict:
        """Frees unaccounted tokens of a holder at an operator's command."""
        budget_account = self.budgets.get(entry.budget)
        if budget_account is None:
            return data.Verdict(data.VerdictCode.UNKNOWN_BUDGET)
        reference = _digest_reference("release", entry.reference)
        if entry.reference and reference in budget_account.references:
            return _REPEATED
        releasable_tokens = budget_account.count_releasable(entry.holder)
        tokens = min(entry.tokens, releasable_tokens)
        if tokens <= 0:
            return data.Verdict(data.VerdictCode.NOTHING_TO_RELEASE)
        if entry.reference:
            budget_account.references.add(reference)
        budget_account.release(entry.holder, tokens)
        return data.Verdict(data.VerdictCode.ACCEPTED, tokens)

    def _apply_transfer(self, entry: data.Transfer) -> data.Verdict:
        """Moves reserve between two holders, at most once for each id."""
        budget_account = self.budgets.get(entry.budget)
        if budget_account is None:
            return data.Verdict(data.VerdictCode.UNKNOWN_BUDGET)
        transfer_id = xxhash.xxh3_128_digest(entry.transfer_id)
        if transfer_id in self.transfers:
            return _REPEATED
        if entry.tokens <= 0 or not budget_account.transfer(
            entry.source,
            entry.target,
            entry.tokens,
            self.is_retired(entry.source),
            self.is_retired(entry.target),
        ):
            return data.Verdict(data.VerdictCode.INSUFFICIENT_TOKENS)
        self.transfers[transfer_id] = None
        if len(self.transfers) > MAX_TRANSFERS:
            del self.transfers[next(iter(self.transfers))]
        return data.Verdict(data.VerdictCode.ACCEPTED, entry.tokens)


def truncate_body_digest(body_digest: bytes) -> bytes:
    """Returns the prefix of a body's digest that is kept with its key."""
    size = key_store.BODY_BYTES
    return body_digest[:size].ljust(size, b"\0")


def _to_stamp_s(stamp_ms: int) -> int:
    """Returns a holder's time in seconds, clamped to what a slot can hold."""
    return max(0, min(stamp_ms, shard_state.MAX_STAMP_MS)) // 1000


def _digest_reference(action: str, reference: str) -> bytes:
    """Returns the digest under which an operator's reference is stored."""
    return xxhash.xxh3_128_digest(f"{action}:{reference}".encode())
