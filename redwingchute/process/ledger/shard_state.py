"""The state of one ledger shard, which the rules of the fold change.

It holds what the rules share: budgets, settled keys, claims, retired holders
and the shard's own time.
"""

from redwingchute.core import data
from redwingchute.process.ledger import budget
from redwingchute.process.ledger import claim_store
from redwingchute.process.ledger import key_store

# How long a settled key is kept at least, by the shard's time.
KEY_WINDOW_MS = 6 * 3600 * 1000
# The furthest that one entry moves the shard's time. A holder with a wrong
# clock thus cannot end the window of the keys.
_TIME_STEP_MS = 1_000
# The latest time that a key's slot can hold.
MAX_STAMP_MS = 2**32 * 1000 - 1


class ShardState:
    """What a shard knows after some of its records.

    Attributes:
      offset: The offset of the last applied record, or -1.
      epoch: The number of the current ownership; 0 before the first.
      owner: The incarnation that owns the shard, 0 before the first.
      owner_host: The host that it runs on.
      last_sequence: The sequence of the epoch's last batch.
      budgets: The budgets by name.
      retired: The holders whose entries are void, oldest first.
      transfers: The digests of the transfers that took effect.
      time_ms: The shard's time, which follows the holders' clocks slowly.
      keys: The settled keys.
      claims: The claimed keys.
    """

    def __init__(self) -> None:
        """Builds the state before the first record."""
        self.offset = -1
        self.epoch = 0
        self.owner: data.Incarnation = 0
        self.owner_host = ""
        self.last_sequence = 0
        self.budgets: dict[str, budget.Budget] = {}
        self.retired: dict[data.Incarnation, None] = {}
        self.transfers: dict[bytes, None] = {}
        self.time_ms = 0
        self.keys = key_store.KeyStore(KEY_WINDOW_MS)
        self.claims = claim_store.ClaimStore()

    def is_retired(self, holder: data.Incarnation) -> bool:
        """Tells whether a holder's entries are void."""
        return holder in self.retired

    def list_holders(self) -> tuple[data.Incarnation, ...]:
        """Returns the incarnations that have, or had, tokens of a budget."""
        holders = {
            holder
            for account in self.budgets.values()
            for holder in account.holdings
        }
        return tuple(sorted(holders))

    def is_holder(self, holder: data.Incarnation) -> bool:
        """Tells whether an incarnation has, or had, tokens of a budget."""
        return any(
            holder in account.holdings for account in self.budgets.values()
        )

    def charge(
        self,
        account: budget.Budget,
        holder: data.Incarnation,
        kind: data.GrantKind,
        tokens: int,
    ) -> bool:
        """Bills tokens from a holder's grant; False when it lacks them."""
        if not account.take(holder, kind, tokens, self.is_retired(holder)):
            return False
        account.settle(tokens)
        return True

    def advance_time(self, stamp_ms: int) -> None:
        """Moves the shard's time towards a holder's clock, by a small step.

        With a step for each entry, the time follows the middle of the
        holders' clocks, whatever one of them shows.
        """
        stamp_ms = max(0, min(stamp_ms, MAX_STAMP_MS))
        if self.time_ms == 0:
            self.time_ms = stamp_ms
            return
        step_ms = stamp_ms - self.time_ms
        self.time_ms += max(-_TIME_STEP_MS, min(step_ms, _TIME_STEP_MS))
