"""The account of one budget: what is credited, held and settled.

Every movement keeps settled + leased + reserved + unaccounted <= credited.
Movements are plain functions of one budget; which holder is retired and which
key was settled is the fold's business.
"""

import attrs

from redwingchute.core import data


@attrs.define
class Holding:
    """What one holder has of one budget.

    Attributes:
      lease_tokens: Tokens that it may commit while it reaches the owner.
      reserve_tokens: Tokens that it may commit while it does not. Negative
        when a transfer out arrived before the transfer in that funded it.
      unaccounted_tokens: Reserve whose use is unknown, once it is retired.
      lease_total_tokens: All lease ever granted.
      reserve_total_tokens: All reserve ever granted.
      released_tokens: Unaccounted tokens that an operator released.
      sequence_watermark: All give-backs up to this sequence took effect.
      later_sequences: Give-backs beyond the watermark that took effect.
    """

    lease_tokens: int = 0
    reserve_tokens: int = 0
    unaccounted_tokens: int = 0
    lease_total_tokens: int = 0
    reserve_total_tokens: int = 0
    released_tokens: int = 0
    sequence_watermark: int = 0
    later_sequences: set[int] = attrs.field(factory=set)

    def has_seen_sequence(self, sequence: int) -> bool:
        """Tells whether a give-back already took effect."""
        return (
            sequence <= self.sequence_watermark
            or sequence in self.later_sequences
        )

    def note_sequence(self, sequence: int) -> None:
        """Remembers that a give-back took effect."""
        self.later_sequences.add(sequence)
        while self.sequence_watermark + 1 in self.later_sequences:
            self.sequence_watermark += 1
            self.later_sequences.remove(self.sequence_watermark)


@attrs.define
class Budget:
    """One budget and its holders.

    Attributes:
      credited_tokens: Top-ups less reductions.
      settled_tokens: Billed for good.
      held_tokens: The sum over all holders of lease, reserve and unaccounted.
      references: Digests of the operators' references that took effect.
      holdings: What each holder has.
    """

    credited_tokens: int = 0
    settled_tokens: int = 0
    held_tokens: int = 0
    references: set[bytes] = attrs.field(factory=set)
    holdings: dict[data.Incarnation, Holding] = attrs.field(factory=dict)

    @property
    def free_tokens(self) -> int:
        """Tokens that are neither settled nor with a holder."""
        return self.credited_tokens - self.settled_tokens - self.held_tokens

    def find_holding(self, holder: data.Incarnation) -> Holding:
        """Returns a holder's part, adding an empty one when it has none."""
        return self.holdings.setdefault(holder, Holding())

    def grant(
        self, holder: data.Incarnation, kind: data.GrantKind, tokens: int
    ) -> int:
        """Moves free tokens to a holder.

        Returns:
          The tokens that were moved: fewer when fewer are free.
        """
        moved = max(0, min(tokens, self.free_tokens))
        if moved == 0:
            return 0
        holding = self.find_holding(holder)
        match kind:
            case data.GrantKind.LEASE:
                holding.lease_tokens += moved
                holding.lease_total_tokens += moved
            case data.GrantKind.RESERVE:
                holding.reserve_tokens += moved
                holding.reserve_total_tokens += moved
        self.held_tokens += moved
        return moved

    def take(
        self,
        holder: data.Incarnation,
        kind: data.GrantKind,
        tokens: int,
        is_retired: bool,
    ) -> bool:
        """Takes tokens from a holder; they become free.

        Args:
          holder: Whose tokens.
          kind: Which of them.
          tokens: How many.
          is_retired: Whether reserve is to be taken from unaccounted tokens.

        Returns:
          Whether the holder had them; otherwise nothing was taken.
        """
        holding = self.holdings.get(holder)
        if tokens == 0:
            return True
        if holding is None or tokens < 0:
            return False
        match kind:
            case data.GrantKind.LEASE if holding.lease_tokens >= tokens:
                holding.lease_tokens -= tokens
            case data.GrantKind.RESERVE if (
                is_retired and holding.unaccounted_tokens >= tokens
            ):
                holding.unaccounted_tokens -= tokens
            case data.GrantKind.RESERVE if (
                not is_retired and holding.reserve_tokens >= tokens
            ):
                holding.reserve_tokens -= tokens
            case _:
                return False
        self.held_tokens -= tokens
        return True

    def settle(self, tokens: int) -> None:
        """Bills tokens that were just taken from a holder."""
        self.settled_tokens += tokens

    def retire(self, holder: data.Incarnation) -> None:
        """Frees a holder's lease; its reserve becomes unaccounted."""
        holding = self.holdings.get(holder)
        if holding is None:
            return
        self.held_tokens -= holding.lease_tokens
        holding.lease_tokens = 0
        holding.unaccounted_tokens += holding.reserve_tokens
        holding.reserve_tokens = 0

    def transfer(
        self,
        source: data.Incarnation,
        target: data.Incarnation,
        tokens: int,
        is_source_retired: bool,
        is_target_retired: bool,
    ) -> bool:
        """Moves reserve between holders; the sum over holders stays.

        The source may be overdrawn: a transfer proves that its source had the
        tokens, and the transfer that funded it may arrive later. Once an
        operator released tokens of the source, that no longer holds.

        Returns:
          Whether the tokens were moved.
        """
        giver = self.find_holding(source)
        if giver.released_tokens and giver.unaccounted_tokens < tokens:
            return False
        if is_source_retired:
            giver.unaccounted_tokens -= tokens
        else:
            giver.reserve_tokens -= tokens
        taker = self.find_holding(target)
        if is_target_retired:
            taker.unaccounted_tokens += tokens
        else:
            taker.reserve_tokens += tokens
        return True

    def count_releasable(self, holder: data.Incarnation) -> int:
        """Returns how many unaccounted tokens an operator may release.

        What other holders are overdrawn by is funded by a transfer that has
        not arrived yet, perhaps from this holder; so much stays.
        """
        holding = self.holdings.get(holder)
        if holding is None:
            return 0
        overdrawn_tokens = sum(
            min(0, other.reserve_tokens) + min(0, other.unaccounted_tokens)
            for other in self.holdings.values()
        )
        return max(0, holding.unaccounted_tokens + overdrawn_tokens)

    def release(self, holder: data.Incarnation, tokens: int) -> None:
        """Frees unaccounted tokens; at most `count_releasable`."""
        holding = self.holdings[holder]
        holding.unaccounted_tokens -= tokens
        holding.released_tokens += tokens
        self.held_tokens -= tokens

    def report(self, name: str) -> data.BudgetBalance:
        """Returns the balance with its parts and holders."""
        holdings = self.holdings
        return data.BudgetBalance(
            budget=name,
            credited_tokens=self.credited_tokens,
            settled_tokens=self.settled_tokens,
            leased_tokens=sum(h.lease_tokens for h in holdings.values()),
            reserved_tokens=sum(h.reserve_tokens for h in holdings.values()),
            unaccounted_tokens=sum(
                h.unaccounted_tokens for h in holdings.values()
            ),
            holders=tuple(
                data.HolderBalance(
                    holder,
                    holding.lease_tokens,
                    holding.reserve_tokens,
                    holding.unaccounted_tokens,
                )
                for holder, holding in sorted(holdings.items())
                if holding.lease_tokens
                or holding.reserve_tokens
                or holding.unaccounted_tokens
            ),
        )
