"""Counts what this router spends of one account's grant.

The grant bounds what the router ever spends. A lower ceiling bounds it while
the latest stamp of its host is young, so that a successor on the same host,
which finds the stamp while it is that young, knows that no more than the
ceiling is gone. A router that cannot renew its stamp may spend up to the
whole grant once the stamp is old.
"""

from redwingchute.core import prepaid

# The window over which the demand for tokens is averaged.
_DEMAND_WINDOW_MS = 6_000
# The largest request is remembered for a time, for the room of ceilings.
_LARGEST_MEMORY_MS = 48_000


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
        self._unsure_ceilings: list[int] = []
        self._demand_tokens = 0.0
        self._demand_ms = 0

    @property
    def committed_tokens(self) -> int:
        """What is spent or may be spent by open requests."""
        return self.spent_tokens + self.reserved_tokens

    @property
    def free_tokens(self) -> int:
        """What the grant allows once its ceiling does not bind."""
        return max(0, self.granted_tokens - self.committed_tokens)

    def find_available(self, is_bound: bool) -> int:
        """Returns what may be reserved now.

        Args:
          is_bound: Whether ceilings bind.
        """
        limit = self.granted_tokens
        if is_bound:
            sure = self.row.ceiling_tokens if self.row is not None else 0
            limit = min(limit, sure, *self._unsure_ceilings)
        return max(0, limit - self.committed_tokens)

    def reserve(self, tokens: int, is_bound: bool) -> bool:
        """Reserves tokens for a request, if they are available."""
        if tokens > self.find_available(is_bound):
            return False
        self.reserved_tokens += tokens
        return True

    def settle(self, reserved_tokens: int, spent_tokens: int) -> None:
        """Ends a reservation with what the request consumed."""
        self.reserved_tokens -= reserved_tokens
        self.spent_tokens += min(spent_tokens, reserved_tokens)

    def note_demand(self, tokens: int, now_ms: int) -> None:
        """Counts a request that asked for tokens, whether it got them."""
        self._fade(now_ms)
        self._demand_tokens += tokens
        self.largest_tokens = max(self.largest_tokens, tokens)

    def find_demand(self, now_ms: int) -> float:
        """Returns the tokens asked for in a second, lately."""
        self._fade(now_ms)
        return self._demand_tokens * 1000 / _DEMAND_WINDOW_MS

    def lower(self, granted_tokens: int) -> None:
        """Gives up a part of the grant, from now on."""
        self.granted_tokens = min(
            self.granted_tokens, max(granted_tokens, self.committed_tokens)
        )

    def inherit(self, row: prepaid.GrantRow) -> None:
        """Takes the tokens of the process before on this host.

        All that it was granted counts as spent; what it spent for sure is in
        its row.
        """
        self.granted_tokens = row.granted_tokens
        self.spent_tokens = row.granted_tokens
        sure_tokens = row.spent_tokens - row.unsure_tokens
        self.unsure_tokens = row.granted_tokens - sure_tokens

    def release_above_ceiling(self, row: prepaid.GrantRow) -> int:
        """Takes back what a former process did not spend above its ceiling.

        Args:
          row: Its last row.

        Returns:
          The tokens that are free again.
        """
        released = row.granted_tokens - row.ceiling_tokens
        self.spent_tokens -= released
        self.unsure_tokens -= released
        return released

    def note_sending(self, row: prepaid.GrantRow) -> None:
        """Obeys a row that is about to be appended and may get lost."""
        self.lower(row.granted_tokens)
        self._unsure_ceilings.append(row.ceiling_tokens)

    def note_not_appended(self) -> None:
        """Forgets rows that are known not to be in the log."""
        self._unsure_ceilings.clear()

    def note_appended(self, row: prepaid.GrantRow) -> None:
        """Obeys a row that the log holds for sure, and no older one."""
        self.row = row
        self.granted_tokens = row.granted_tokens
        self._unsure_ceilings.clear()

    def _fade(self, now_ms: int) -> None:
        """Lets past demand fade."""
        elapsed_ms = max(0, now_ms - self._demand_ms)
        self._demand_ms = now_ms
        self._demand_tokens *= max(0.0, 1 - elapsed_ms / _DEMAND_WINDOW_MS)
        self.largest_tokens *= max(0.0, 1 - elapsed_ms / _LARGEST_MEMORY_MS)
