"""Counts what this router spends of one account's grant.

The grant bounds the total that the router may spend. A lower ceiling, which
rises with the age of the host's latest stamp, bounds what it may have spent at
each moment. After a crash, the successor process on the host thus computes from
the age of the stamp how much may have been spent.
"""

from collections.abc import Iterable
import heapq

import attrs

from redwingchute.core import prepaid
from redwingchute.process.prepaid import ceiling
from redwingchute.process.prepaid import token_rate

# The time constant at which the recorded size of the largest request decays.
# `grant_planner` sizes grants to cover two such requests.
_LARGEST_REQUEST_DECAY_MS = 48_000

# Metrics name this many accounts, those with the most exposed tokens.
_MAX_MEASURED_ACCOUNTS = 8


@attrs.frozen
class _SpendingLimit:
    """The limit on the committed tokens that a row and a stamp set.

    The row and the stamp are in the log, or their append has been sent and its
    outcome is not known.

    Attributes:
      row: The account's row.
      stamp_boot_ms: The time of the stamp on the boot clock.
    """

    row: prepaid.GrantRow
    stamp_boot_ms: int


class Grant:
    """One account's grant at this router and what is spent of it.

    The gateway (`redwingchute gateway`) uses it. It is unrelated to
    `data.Grant`, an entry of the budget ledger.

    Attributes:
      account: The client account.
      granted_tokens: The total that the router may spend.
      spent_tokens: The tokens that count as spent.
      unsure_tokens: The part of `spent_tokens` that may not have been spent:
        by the previous process on the host, or by borrowers that did not
        settle their charges.
      reserved_tokens: The tokens that are reserved for open requests.
      largest_request_tokens: The size of the largest request, decaying with
        time.
      row: The newest row that is known to be in the log, or None.
    """

    def __init__(self, account: str) -> None:
        """Creates an empty grant."""
        self.account = account
        self.granted_tokens = 0
        self.spent_tokens = 0
        self.unsure_tokens = 0
        self.reserved_tokens = 0
        self.largest_request_tokens = 0.0
        self.row: prepaid.GrantRow | None = None
        self._limits: tuple[_SpendingLimit, ...] = ()
        self._demand_rate = token_rate.TokenRate()
        self._admission_rate = token_rate.TokenRate()
        self._decayed_at_ms = 0

    @property
    def committed_tokens(self) -> int:
        """The tokens that are spent or reserved."""
        return self.spent_tokens + self.reserved_tokens

    @property
    def free_tokens(self) -> int:
        """The tokens of the grant that are neither spent nor reserved."""
        return max(0, self.granted_tokens - self.committed_tokens)

    @property
    def is_above_ceiling(self) -> bool:
        """Whether the committed tokens exceed a row's ceiling at stamp age 0.

        A new stamp without a new row would then understate what is spent.
        """
        return any(
            self.committed_tokens > spending_limit.row.ceiling_tokens
            for spending_limit in self._limits
        )

    def find_available(self, boot_ms: int) -> int:
        """Returns how many tokens may be reserved now.

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

    def find_exposed(self, boot_ms: int) -> int:
        """Returns the tokens that a crash now would leave without a record.

        A successor would have to count them as spent, although some of them
        may not be.

        Args:
          boot_ms: The time on the boot clock.
        """
        return max(
            (
                ceiling.find_ceiling(
                    spending_limit.row,
                    max(0, boot_ms - spending_limit.stamp_boot_ms),
                )
                - spending_limit.row.spent_tokens
                for spending_limit in self._limits
            ),
            default=0,
        )

    def find_wait_ms(self, tokens: int, boot_ms: int) -> int | None:
        """Returns in how many ms the ceiling admits a request.

        Args:
          tokens: The maximum cost of the request.
          boot_ms: The time on the boot clock.

        Returns:
          The time, 0 if the ceiling admits the request now; None if it never
          does without a new row.
        """
        goal_tokens = self.committed_tokens + tokens
        if not self._limits or goal_tokens > self.granted_tokens:
            return None
        wait_ms = 0
        for spending_limit in self._limits:
            age_ms = ceiling.find_age_ms(spending_limit.row, goal_tokens)
            if age_ms is None:
                return None
            wait_ms = max(
                wait_ms, spending_limit.stamp_boot_ms + age_ms - boot_ms
            )
        return wait_ms

    def reserve(self, tokens: int, boot_ms: int) -> bool:
        """Reserves tokens for a request if they are available.

        Args:
          tokens: The maximum cost of the request.
          boot_ms: The time on the boot clock.

        Returns:
          Whether the tokens are reserved.
        """
        if tokens > self.find_available(boot_ms):
            return False
        self.reserved_tokens += tokens
        return True

    def settle(self, reserved_tokens: int, spent_tokens: int) -> None:
        """Replaces a reservation by what the request consumed.

        Args:
          reserved_tokens: The reservation.
          spent_tokens: What the request consumed; tokens beyond the
            reservation are not counted.
        """
        self.reserved_tokens -= reserved_tokens
        self.spent_tokens += min(spent_tokens, reserved_tokens)

    def expire(self, tokens: int) -> None:
        """Counts a reservation as spent that its borrower did not settle.

        The tokens are unsure until `settle_expired` is called.

        Args:
          tokens: The reservation.
        """
        self.settle(tokens, tokens)
        self.unsure_tokens += tokens

    def settle_expired(self, expired_tokens: int, spent_tokens: int) -> None:
        """Settles an expired reservation.

        Args:
          expired_tokens: The reservation.
          spent_tokens: What the request consumed of it.
        """
        self.spent_tokens -= expired_tokens - spent_tokens
        self.unsure_tokens -= expired_tokens

    def record_demand(self, tokens: int, now_ms: int) -> None:
        """Records a request for tokens, whether it gets them or not.

        Args:
          tokens: The maximum cost of the request.
          now_ms: The time on the boot clock.
        """
        self._demand_rate.record(tokens, now_ms)
        self._decay_largest_request(now_ms)
        self.largest_request_tokens = max(self.largest_request_tokens, tokens)

    def find_demand(self, now_ms: int) -> float:
        """Returns the recent demand in tokens per second.

        Args:
          now_ms: The time on the boot clock.
        """
        self._decay_largest_request(now_ms)
        return self._demand_rate.find(now_ms)

    def record_admission(self, tokens: int, now_ms: int) -> None:
        """Records that a request got its tokens, from any router's grant.

        Args:
          tokens: The maximum cost of the request.
          now_ms: The time on the boot clock.
        """
        self._admission_rate.record(tokens, now_ms)

    def find_admission_rate(self, now_ms: int) -> float:
        """Returns the tokens per second of requests that got their tokens.

        Unlike the demand it leaves out requests that were refused.

        Args:
          now_ms: The time on the boot clock.
        """
        return self._admission_rate.find(now_ms)

    def lower(self, granted_tokens: int) -> None:
        """Lowers the grant, but not below the committed tokens.

        Args:
          granted_tokens: The new grant; a higher one than now has no effect.
        """
        self.granted_tokens = min(
            self.granted_tokens, max(granted_tokens, self.committed_tokens)
        )

    def inherit(self, row: prepaid.GrantRow, boot_ms: int) -> None:
        """Takes over the grant of the previous process on this host.

        The whole grant counts as spent until `release_unspent` is called. All
        of it is unsure, except for the tokens that the row records as spent
        and not as unsure. The demand of the row continues.

        Args:
          row: The last row of the previous process.
          boot_ms: The time on the boot clock.
        """
        self.granted_tokens = row.granted_tokens
        self.spent_tokens = row.granted_tokens
        known_spent_tokens = row.spent_tokens - row.unsure_tokens
        self.unsure_tokens = row.granted_tokens - known_spent_tokens
        self._demand_rate.restore(row.demand_tokens_per_s, boot_ms)

    def release_unspent(
        self, row: prepaid.GrantRow, max_spent_tokens: int
    ) -> int:
        """Releases the tokens that the previous process cannot have spent.

        Args:
          row: The last row of the previous process.
          max_spent_tokens: An upper bound of the total that it spent.

        Returns:
          The number of released tokens.
        """
        released_tokens = row.granted_tokens - max_spent_tokens
        self.spent_tokens -= released_tokens
        self.unsure_tokens -= released_tokens
        return released_tokens

    def record_sent_append(
        self, row: prepaid.GrantRow | None, stamp_boot_ms: int
    ) -> None:
        """Applies the limits of an append before it is sent.

        The log may hold the append even if its reply gets lost. Until the
        outcome is known, the grant thus obeys both this row and the earlier
        ones.

        Args:
          row: The account's row in the append, or None.
          stamp_boot_ms: The time of the append's stamp on the boot clock.
        """
        if row is None:
            # A newer stamp lowers the ceilings of the same rows.
            self._limits = tuple(
                _SpendingLimit(spending_limit.row, stamp_boot_ms)
                for spending_limit in self._limits
            )
            return
        self.lower(row.granted_tokens)
        self._limits += (_SpendingLimit(row, stamp_boot_ms),)

    def discard_sent_row(self, row: prepaid.GrantRow) -> None:
        """Discards a row that is known not to be in the log."""
        self._limits = tuple(
            spending_limit
            for spending_limit in self._limits
            if spending_limit.row is not row
        )

    def record_appended_row(
        self, row: prepaid.GrantRow, stamp_boot_ms: int
    ) -> None:
        """Replaces all limits by a row that is known to be in the log.

        Args:
          row: The row.
          stamp_boot_ms: The time of its stamp on the boot clock.
        """
        self.row = row
        self.granted_tokens = row.granted_tokens
        self._limits = (_SpendingLimit(row, stamp_boot_ms),)

    def _decay_largest_request(self, now_ms: int) -> None:
        """Reduces the size of the largest request by the time passed."""
        elapsed_ms = max(0, now_ms - self._decayed_at_ms)
        self._decayed_at_ms = now_ms
        self.largest_request_tokens *= max(
            0.0, 1 - elapsed_ms / _LARGEST_REQUEST_DECAY_MS
        )


@attrs.frozen
class GrantTotals:
    """What the grants of a router add up to.

    Attributes:
      granted_tokens: The tokens that the router may spend.
      committed_tokens: The tokens that are spent or reserved.
      unsure_tokens: The tokens that count as spent without proof.
      exposed_tokens: The tokens that a crash would make unsure, by account;
        only the accounts with the most of them.
    """

    granted_tokens: int
    committed_tokens: int
    unsure_tokens: int
    exposed_tokens: dict[str, int]


def sum_grants(grants: Iterable[Grant], boot_ms: int) -> GrantTotals:
    """Returns what grants add up to.

    Args:
      grants: The grants of one router.
      boot_ms: The time on the boot clock.
    """
    grants = list(grants)
    exposed_tokens = {
        grant.account: grant.find_exposed(boot_ms) for grant in grants
    }
    largest = heapq.nlargest(
        _MAX_MEASURED_ACCOUNTS, exposed_tokens, key=exposed_tokens.__getitem__
    )
    return GrantTotals(
        granted_tokens=sum(grant.granted_tokens for grant in grants),
        committed_tokens=sum(grant.committed_tokens for grant in grants),
        unsure_tokens=sum(grant.unsure_tokens for grant in grants),
        exposed_tokens={
            account: exposed_tokens[account] for account in largest
        },
    )


def get_or_create_grant(grants: dict[str, Grant], account: str) -> Grant:
    """Returns the grant of an account; adds an empty one for a new account."""
    grant = grants.get(account)
    if grant is None:
        grant = grants[account] = Grant(account)
    return grant
