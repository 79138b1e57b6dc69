"""The state of one ledger shard, which the rules of the fold change.

The rules share the budgets, the settled keys, the claims, the retired holders
and the shard's own time.
"""

from redwingchute.core import data
from redwingchute.process.ledger import budget
from redwingchute.process.ledger import claim_store
from redwingchute.process.ledger import key_store

# How long a settled key is kept at least, by the shard's time. Keys are removed
# earlier if a generation of the key store is full before.
KEY_WINDOW_MS = 6 * 3600 * 1000
# The most by which one entry moves the shard's time, so that a holder with a
# wrong clock cannot make keys expire before the end of their window.
_TIME_STEP_MS = 1_000
# The latest time that a key's slot can hold.
MAX_STAMP_MS = 2**32 * 1000 - 1


class ShardState:
    """The state of a shard after a prefix of its records.

    Attributes:
      offset: The offset of the last applied record, or -1.
      epoch: The number of the current ownership; 0 before the first.
      owner: The incarnation that owns the shard; 0 before the first.
      owner_host: The host that the owner runs on.
      last_sequence: The sequence of the epoch's last batch.
      budgets: The budgets by name.
      retired: The retired holders, oldest first; see the module `fold`.
      transfers: The digests of the ids of the transfers that took effect.
      time_ms: The shard's time, which follows the holders' clocks in small
        steps.
      keys: The settled keys.
      claims: The claimed keys.
    """

    def __init__(self) -> None:
        """Creates the state before the first record."""
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
        """Returns whether a holder is retired, so that its lease is void."""
        return holder in self.retired

    def list_holders(self) -> tuple[data.Incarnation, ...]:
        """Returns the incarnations that hold or have held tokens."""
        holders = {
            holder
            for budget_account in self.budgets.values()
            for holder in budget_account.holdings
        }
        return tuple(sorted(holders))

    def is_holder(self, holder: data.Incarnation) -> bool:
        """Returns whether an incarnation holds or has held tokens."""
        return any(
            holder in budget_account.holdings
            for budget_account in self.budgets.values()
        )

    def charge(
        self,
        budget_account: budget.Budget,
        holder: data.Incarnation,
        kind: data.GrantKind,
        tokens: int,
    ) -> bool:
        """Bills tokens from a holder's grant.

        Returns:
          Whether the holder had the tokens; otherwise nothing is billed.
        """
        if not budget_account.deduct(
            holder, kind, tokens, self.is_retired(holder)
        ):
            return False
        budget_account.settle(tokens)
        return True

    def advance_time(self, stamp_ms: int) -> None:
        """Moves the shard's time towards a holder's clock, by a small step.

        The first entry sets the time. Since the step of each later entry is
        bounded, the time follows the median of the holders' clocks, and no
        single clock can move it far.
        """
        stamp_ms = max(0, min(stamp_ms, MAX_STAMP_MS))
        if self.time_ms == 0:
            self.time_ms = stamp_ms
            return
        step_ms = stamp_ms - self.time_ms
        self.time_ms += max(-_TIME_STEP_MS, min(step_ms, _TIME_STEP_MS))
