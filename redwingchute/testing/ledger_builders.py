"""Builds ledger records for tests, with defaults for most fields."""

from redwingchute.core import data
from redwingchute.process.ledger import fold

BUDGET = "yield-books"
# Incarnations: of the shard's owner, and of two holders in one zone.
OWNER = 1
HOLDER = 7
SIBLING = 8
NOW_MS = 1_700_000_000_000


def make_key(number: int) -> bytes:
    """Returns a 16-byte key digest."""
    return number.to_bytes(16, "big")


def make_credit(tokens: int, reference: str = "invoice-1") -> data.Credit:
    """Returns a top-up of the default budget; negative tokens reduce it."""
    return data.Credit(BUDGET, reference, tokens, "ops", "test")


def make_grant(
    tokens: int,
    kind: data.GrantKind = data.GrantKind.LEASE,
    holder: int = HOLDER,
) -> data.Grant:
    """Returns a grant to a holder."""
    return data.Grant(BUDGET, holder, kind, tokens)


def make_give_back(
    tokens: int,
    sequence: int,
    kind: data.GrantKind = data.GrantKind.LEASE,
    holder: int = HOLDER,
) -> data.GiveBack:
    """Returns a record by which a holder returns tokens."""
    return data.GiveBack(BUDGET, holder, kind, tokens, sequence)


def make_settle(
    tokens: int,
    key: int = 1,
    kind: data.GrantKind = data.GrantKind.LEASE,
    holder: int = HOLDER,
    body: bytes = b"body-one",
    settled_at_ms: int = NOW_MS,
) -> data.Settle:
    """Returns a settlement."""
    return data.Settle(
        BUDGET, holder, kind, make_key(key), body, tokens, settled_at_ms
    )


def make_claim(
    key: int = 1,
    holder: int = HOLDER,
    body: bytes = b"body-one",
    claim_id: bytes = b"claim-1",
    claimed_at_ms: int = NOW_MS,
) -> data.Claim:
    """Returns a claim."""
    return data.Claim(
        BUDGET, holder, make_key(key), body, claimed_at_ms, claim_id
    )


def make_outcome(
    tokens: int,
    key: int = 1,
    holder: int = HOLDER,
    status: data.OutcomeStatus = data.OutcomeStatus.SUCCEEDED,
    kind: data.GrantKind = data.GrantKind.LEASE,
    claim_id: bytes = b"claim-1",
) -> data.RecordOutcome:
    """Returns the outcome of a claimed call."""
    return data.RecordOutcome(
        budget=BUDGET,
        holder=holder,
        key=make_key(key),
        status=status,
        tokens=tokens,
        kind=kind,
        answer=b"posted",
        claim_id=claim_id,
    )


def make_release(
    tokens: int, holder: int = HOLDER, reference: str = "release-1"
) -> data.Release:
    """Returns an operator's release of unaccounted tokens."""
    return data.Release(BUDGET, holder, tokens, "ops", "test", reference)


def make_transfer(
    tokens: int,
    source: int = HOLDER,
    target: int = SIBLING,
    transfer_id: bytes = b"transfer-1",
) -> data.Transfer:
    """Returns a transfer of reserve between holders."""
    return data.Transfer(BUDGET, source, target, transfer_id, tokens)


def make_call(
    *entries: data.LedgerEntry,
    asks: tuple[data.Ask, ...] = (),
    lookups: tuple[data.Lookup, ...] = (),
    holder: int = HOLDER,
    shard: int = 0,
) -> data.LedgerCall:
    """Returns a holder's call."""
    return data.LedgerCall(shard, holder, "huon-1", entries, asks, lookups)


def make_ask(lease_tokens: int, reserve_tokens: int = 0) -> data.Ask:
    """Returns a request for grants of the default budget."""
    return data.Ask(BUDGET, lease_tokens, reserve_tokens, 0.0)


class FoldDriver:
    """Applies records to a fold as the owner of its shard does.

    Attributes:
      shard_fold: The fold.
      epoch: The current epoch.
      owner: The incarnation of the current owner.
      sequence: The number of batches so far, from which record ids are made.
    """

    def __init__(self, shard_fold: fold.ShardFold | None = None) -> None:
        """Begins the first epoch of a fold, by default an empty one."""
        self.shard_fold = shard_fold or fold.ShardFold()
        self.epoch = 0
        self.sequence = 0
        self.take_over(OWNER)

    def take_over(self, owner: int) -> data.Verdict:
        """Applies the takeover that begins the next epoch."""
        self.epoch += 1
        self.owner = owner
        record = data.Takeover(b"takeover", self.epoch, owner, "huon-1")
        (verdict,) = self.shard_fold.apply(self._next_offset(), record)
        return verdict

    def make_batch(self, *entries: data.LedgerEntry) -> data.Batch:
        """Returns the owner's next batch."""
        self.sequence += 1
        record_id = fold.make_record_id(self.owner, self.sequence)
        return data.Batch(record_id, self.epoch, self.owner, entries)

    def apply_record(self, record: fold.Record) -> tuple[data.Verdict, ...]:
        """Applies a record at the next offset."""
        return self.shard_fold.apply(self._next_offset(), record)

    def apply(self, *entries: data.LedgerEntry) -> list[data.Verdict]:
        """Applies entries in one batch."""
        return list(self.apply_record(self.make_batch(*entries)))

    def apply_one(self, entry: data.LedgerEntry) -> data.Verdict:
        """Applies one entry."""
        return self.apply(entry)[0]

    def report(self) -> data.BudgetBalance:
        """Returns the balance of the default budget."""
        return self.shard_fold.budgets[BUDGET].report(BUDGET)

    def _next_offset(self) -> int:
        """Returns the offset of the next record."""
        return self.shard_fold.offset + 1
