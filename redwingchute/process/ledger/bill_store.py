"""Keeps copies of siblings' bills that are not in the log yet.

A router that ends an answer on reserve may die before its bill reaches the
log. Its siblings in the zone keep copies and deliver them once they reach the
shard's owner; the fold drops repeats.
"""

import attrs

from redwingchute.core import data
from redwingchute.core import spending

# How long a copy waits for its own router to deliver it first.
DELIVERY_DELAY_MS = 5_000

# Copies that are kept at most; a sibling that asks for more is told so by the
# keys that are missing in the answer.
MAX_COPIES = 50_000


@attrs.define
class _Copy:
    """One kept bill."""

    shard: int
    bill: spending.UnloggedEntry
    due_at_ms: int


class BillStore:
    """The copies that this router keeps for its siblings."""

    def __init__(self) -> None:
        """Starts with no copies."""
        self._copies: dict[data.KeyDigest, _Copy] = {}

    def __len__(self) -> int:
        """Returns the number of copies."""
        return len(self._copies)

    def hold(
        self, request: spending.HoldBills, now_ms: int
    ) -> spending.BillsHeld:
        """Keeps the bills of a sibling and says which are kept now."""
        kept = []
        for bill in request.bills:
            if not isinstance(bill, spending.UnloggedEntry):
                continue
            name = spending.get_entry_id(bill)
            if name not in self._copies and len(self) >= MAX_COPIES:
                continue
            due_at_ms = now_ms + DELIVERY_DELAY_MS
            self._copies[name] = _Copy(request.shard, bill, due_at_ms)
            kept.append(name)
        return spending.BillsHeld(request.shard, request.holder, tuple(kept))

    def forget(self, keys: tuple[data.KeyDigest, ...]) -> None:
        """Drops copies whose bills are in the log."""
        for key in keys:
            self._copies.pop(key, None)

    def take_due(
        self, shard: int, now_ms: int
    ) -> tuple[spending.UnloggedEntry, ...]:
        """Returns the copies to deliver now; they are due again later.

        Args:
          shard: The shard whose owner is reachable.
          now_ms: The time.
        """
        due = []
        for copy in self._copies.values():
            if copy.shard == shard and now_ms >= copy.due_at_ms:
                copy.due_at_ms = now_ms + DELIVERY_DELAY_MS
                due.append(copy.bill)
        return tuple(due)
