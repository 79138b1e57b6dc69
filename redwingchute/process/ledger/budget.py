"""The account of one budget: its credited, held and settled tokens.

Every operation keeps settled + leased + reserved + unaccounted <= credited.
An operation depends on one budget only: the fold of the shard checks which
holders are retired and which keys are settled.
"""

import attrs

from redwingchute.core import data


@attrs.define
class Holding:
    """The tokens of one budget that one holder has.

    Checkpoints store the attributes under their own names.

    Attributes:
      lease_tokens: Tokens that the holder may spend while it can reach the
        shard's owner.
      reserve_tokens: Tokens that the holder may spend even while it cannot
        reach the owner. Negative if a transfer out was applied before the
        transfer in that funded it.
      unaccounted_tokens: Reserve of a retired holder, of which it is unknown
        how much was spent.
      lease_total_tokens: All lease tokens ever granted.
      reserve_total_tokens: All reserve tokens ever granted.
      released_tokens: Unaccounted tokens that an operator released.
      sequence_watermark: All give-backs up to this sequence took effect.
      later_sequences: Give-backs above the watermark that took effect.
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
        """Returns whether a give-back already took effect."""
        return (
            sequence <= self.sequence_watermark
            or sequence in self.later_sequences
        )

    def record_sequence(self, sequence: int) -> None:
        """Records that a give-back took effect."""
        self.later_sequences.add(sequence)
        while self.sequence_watermark + 1 in self.later_sequences:
            self.sequence_watermark += 1
            self.later_sequences.remove(self.sequence_watermark)


@attrs.define
class Budget:
    """One budget and its holders.

    Attributes:
      credited_tokens: Top-ups less reductions.
      settled_tokens: The tokens of all billed requests.
      held_tokens: The sum over all holders of lease, reserve and unaccounted.
      references: Digests of the operators' references that took effect.
      holdings: The tokens of each holder.
    """

    credited_tokens: int = 0
    settled_tokens: int = 0
    held_tokens: int = 0
    references: set[bytes] = attrs.field(factory=set)
    holdings: dict[data.Incarnation, Holding] = attrs.field(factory=dict)

    @property
    def free_tokens(self) -> int:
        """The tokens that are neither settled nor held by a holder."""
        return self.credited_tokens - self.settled_tokens - self.held_tokens

    def get_or_create_holding(self, holder: data.Incarnation) -> Holding:
        """Returns a holder's holding, after adding an empty one if needed."""
        return self.holdings.setdefault(holder, Holding())

    def grant(
        self, holder: data.Incarnation, kind: data.GrantKind, tokens: int
    ) -> int:
        """Moves free tokens to a holder.

        Returns:
          The number of tokens moved: fewer than `tokens` if fewer are free.
        """
        moved_tokens = max(0, min(tokens, self.free_tokens))
        if moved_tokens == 0:
            return 0
        holding = self.get_or_create_holding(holder)
        match kind:
            case data.GrantKind.LEASE:
                holding.lease_tokens += moved_tokens
                holding.lease_total_tokens += moved_tokens
            case data.GrantKind.RESERVE:
                holding.reserve_tokens += moved_tokens
                holding.reserve_total_tokens += moved_tokens
        self.held_tokens += moved_tokens
        return moved_tokens

    def deduct(
        self,
        holder: data.Incarnation,
        kind: data.GrantKind,
        tokens: int,
        is_retired: bool,
    ) -> bool:
        """Deducts tokens from a holder; they become free.

        Args:
          holder: The holder.
          kind: Whether to deduct lease or reserve.
          tokens: The number of tokens.
          is_retired: Whether the holder is retired, so that its reserve is
            found among its unaccounted tokens.

        Returns:
          Whether the holder had the tokens; otherwise nothing is deducted.
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
        """Bills tokens that `deduct` has just taken from a holder."""
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
        """Moves reserve between holders; the sum over holders is unchanged.

        The source may become overdrawn: a transfer proves that its source had
        the tokens, and the transfer that funded it may arrive later. This no
        longer holds once an operator has released tokens of the source.

        Returns:
          Whether the tokens were moved.
        """
        source_holding = self.get_or_create_holding(source)
        if (
            source_holding.released_tokens
            and source_holding.unaccounted_tokens < tokens
        ):
            return False
        if is_source_retired:
            source_holding.unaccounted_tokens -= tokens
        else:
            source_holding.reserve_tokens -= tokens
        target_holding = self.get_or_create_holding(target)
        if is_target_retired:
            target_holding.unaccounted_tokens += tokens
        else:
            target_holding.reserve_tokens += tokens
        return True

    def count_releasable(self, holder: data.Incarnation) -> int:
        """Returns how many unaccounted tokens an operator may release.

        A holder is overdrawn if the transfer that funded it has not arrived
        yet, and this holder may be the source of that transfer. The overdrawn
        tokens of all holders are therefore kept back.
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
        """Frees unaccounted tokens, at most `count_releasable` of them."""
        holding = self.holdings[holder]
        holding.unaccounted_tokens -= tokens
        holding.released_tokens += tokens
        self.held_tokens -= tokens

    def report(self, name: str) -> data.BudgetBalance:
        """Returns the balance in total and for each holder."""
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
