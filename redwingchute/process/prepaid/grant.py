"""Counts what this router spends of one account's grant.

The grant bounds what the router ever spends. A lower ceiling, which rises with
the age of the host's latest stamp, bounds it at each moment, so that a
successor on the same host knows how much may be gone by the time since that
stamp.
"""

import math

import attrs

from redwingchute.core import prepaid
from redwingchute.process.prepaid import ceiling

# The window over which the demand for tokens is averaged.
_DEMAND_WINDOW_MS = 6_000
# Demand is taken to have been the same before the first request for as long.
_INITIAL_DEMAND_SPAN_MS = 3_000
# The largest request is remembered for a time, for the size of grants.
_LARGEST_REQUEST_DECAY_MS = 48_000


@attrs.frozen
class _SpendingLimit:
    """A row and stamp that the log may hold, which the router obeys.

    Attributes:
      row: The account's row.
      stamp_boot_ms: When the stamp was made, on the boot clock.
    """

    row: prepaid.GrantRow
    stamp_boot_ms: int


class Grant:
    """One account's tokens at this router.

    Attributes:
      account: The client account.
      granted_tokens: The most that may ever be spent.
      spent_tokens: What is counted as spent.
      unsure_tokens: The part of it that a former process may not have spent.
      reserved_tokens: What open requests may still spend.
      largest_tokens: The largest request seen, fading slowly.
      row: The newest row that the log holds for sure, or None.
    """

    def __init__(self, account: str) -> None:
        """Starts without tokens."""
        self.account = account
        self.granted_tokens = 0
        self.spent_tokens = 0
        self.unsure_tokens = 0
        self.reserved_tokens = 0
        self.largest_tokens = 0.0
        self.row: prepaid.GrantRow | None = None
        self._limits: tuple[_SpendingLimit, ...] = ()
        self._demand_tokens = 0.0
        self._decayed_at_ms = 0
        self._demand_since_ms: int | None = None

    @property
    def committed_tokens(self) -> int:
        """What is spent or may be spent by open requests."""
        return self.spent_tokens + self.reserved_tokens

    @property
    def free_tokens(self) -> int:
        """What the grant allows once its ceiling does not bind."""
        return max(0, self.granted_tokens - self.committed_tokens)

    @property
    def is_above_ceiling(self) -> bool:
        """Whether a new stamp alone would claim that less is spent."""
        return any(
            self.committed_tokens > spending_limit.row.ceiling_tokens
            for spending_limit in self._limits
        )

    def find_available(self, boot_ms: int) -> int:
        """Returns what may be reserved now.

        Args:
          boot_ms: The time on the boot clock.
        """
        if not self._limits:
            return 0
        limit_tokens = self.granted_tokens
        for spending_limit in self._limits:
            age_ms = max(0, boot_ms - spending_limit.stamp_boot_ms)
            limit_tokens = min(
                limit_tokens, ceiling.find_ceiling(spending_limit.row, age_ms)
            )
        return max(0, limit_tokens - self.committed_tokens)

    def find_release_ms(self, tokens: int, boot_ms: int) -> int | None:
        """Returns in how many ms the ceiling allows tokens, or None.

        Args:
          tokens: What a request needs.
          boot_ms: The time on the boot clock.
        """
        goal_tokens = self.committed_tokens + tokens
        if not self._limits or goal_tokens > self.granted_tokens:
            return None
        release_ms = 0
        for spending_limit in self._limits:
            age_ms = ceiling.find_age_ms(spending_limit.row, goal_tokens)
            if age_ms is None:
                return None
            release_ms = max(
                release_ms, spending_limit.stamp_boot_ms + age_ms - boot_ms
            )
        return release_ms

    def reserve(self, tokens: int, boot_ms: int) -> bool:
        """Reserves tokens for a request, if they are available."""
        if tokens > self.find_available(boot_ms):
            return False
        self.reserved_tokens += tokens
        return True

    def settle(self, reserved_tokens: int, spent_tokens: int) -> None:
        """Ends a reservation with what the request consumed."""
        self.reserved_tokens -= reserved_tokens
        self.spent_tokens += min(spent_tokens, reserved_tokens)

    def note_demand(self, tokens: int, now_ms: int) -> None:
        """Counts a request that asked for tokens, whether it got them."""
        if self._demand_since_ms is None:
            self._demand_since_ms = now_ms - _INITIAL_DEMAND_SPAN_MS
        self._decay(now_ms)
        self._demand_tokens += tokens
        self.largest_tokens = max(self.largest_tokens, tokens)

    def find_demand(self, now_ms: int) -> float:
        """Returns the tokens asked for in a second, lately."""
        if self._demand_since_ms is None:
            return 0.0
        self._decay(now_ms)
        seen_ms = now_ms - self._demand_since_ms
        seen_share = 1 - math.exp(-seen_ms / _DEMAND_WINDOW_MS)
        return self._demand_tokens * 1000 / _DEMAND_WINDOW_MS / seen_share

    def lower(self, granted_tokens: int) -> None:
        """Gives up a part of the grant, from now on."""
        self.granted_tokens = min(
            self.granted_tokens, max(granted_tokens, self.committed_tokens)
        )

    def inherit(self, row: prepaid.GrantRow, boot_ms: int) -> None:
        """Takes the tokens of the process before on this host.

        All that it was granted counts as spent; what it spent for sure is in
        its row. Its demand goes on.

        Args:
          row: Its last row.
          boot_ms: The time on the boot clock.
        """
        self.granted_tokens = row.granted_tokens
        self.spent_tokens = row.granted_tokens
        known_spent_tokens = row.spent_tokens - row.unsure_tokens
        self.unsure_tokens = row.granted_tokens - known_spent_tokens
        self._demand_tokens = row.demand_tokens_per_s * _DEMAND_WINDOW_MS / 1000
        self._decayed_at_ms = boot_ms
        if row.demand_tokens_per_s > 0:
            self._demand_since_ms = boot_ms - _DEMAND_WINDOW_MS

    def release_unspent(
        self, row: prepaid.GrantRow, max_spent_tokens: int
    ) -> int:
        """Takes back what a former process cannot have spent.

        Args:
          row: Its last row.
          max_spent_tokens: The most that it spent.

        Returns:
          The tokens that are free again.
        """
        released_tokens = row.granted_tokens - max_spent_tokens
        self.spent_tokens -= released_tokens
        self.unsure_tokens -= released_tokens
        return released_tokens

    def note_sending(
        self, row: prepaid.GrantRow | None, stamp_boot_ms: int
    ) -> None:
        """Obeys an append that is about to be sent and may get lost.

        Args:
          row: The account's row in it, or None.
          stamp_boot_ms: When its stamp was made.
        """
        if row is None:
            # The same rows with a newer stamp allow less.
            self._limits = tuple(
                _SpendingLimit(spending_limit.row, stamp_boot_ms)
                for spending_limit in self._limits
            )
            return
        self.lower(row.granted_tokens)
        self._limits += (_SpendingLimit(row, stamp_boot_ms),)

    def note_not_appended(self, row: prepaid.GrantRow) -> None:
        """Forgets a row that is known not to be in the log."""
        self._limits = tuple(
            spending_limit
            for spending_limit in self._limits
            if spending_limit.row is not row
        )

    def note_appended(self, row: prepaid.GrantRow, stamp_boot_ms: int) -> None:
        """Obeys a row that the log holds for sure, and no older one."""
        self.row = row
        self.granted_tokens = row.granted_tokens
        self._limits = (_SpendingLimit(row, stamp_boot_ms),)

    def _decay(self, now_ms: int) -> None:
        """Lets past demand fade."""
        elapsed_ms = max(0, now_ms - self._decayed_at_ms)
        self._decayed_at_ms = now_ms
        self._demand_tokens *= max(0.0, 1 - elapsed_ms / _DEMAND_WINDOW_MS)
        self.largest_tokens *= max(
            0.0, 1 - elapsed_ms / _LARGEST_REQUEST_DECAY_MS
        )


def find_grant(grants: dict[str, Grant], account: str) -> Grant:
    """Returns the grant of an account, an empty one when it is new."""
    grant = grants.get(account)
    if grant is None:
        grant = grants[account] = Grant(account)
    return grant
