"""Stores copies of siblings' bills that are not in the log yet.

A router that ends a settlement on reserve may die before the bill reaches the
log. Its siblings in the zone keep copies and deliver them when they can reach
the shard's owner; the fold ignores repeats. Transfers are kept like bills.
"""

import attrs

from redwingchute.core import data
from redwingchute.core import spending

# The delay before a copy is delivered; the router that wrote the bill normally
# delivers it earlier.
DELIVERY_DELAY_MS = 5_000

# The most copies that are stored. The reply to a sibling lists only the keys
# that are stored, so that it can detect the others.
MAX_COPIES = 50_000


@attrs.define
class _Copy:
    """The copy of one bill."""

    shard: int
    bill: spending.UnloggedEntry
    due_at_ms: int


class BillStore:
    """The copies that this router stores for its siblings."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self._copies: dict[data.KeyDigest, _Copy] = {}

    def __len__(self) -> int:
        """Returns the number of copies."""
        return len(self._copies)

    def hold(
        self, request: spending.HoldBills, now_ms: int
    ) -> spending.BillsHeld:
        """Stores a sibling's bills and returns the keys of those stored."""
        stored_keys = []
        for bill in request.bills:
            if not isinstance(bill, spending.UnloggedEntry):
                continue
            key = spending.get_entry_id(bill)
            if key not in self._copies and len(self) >= MAX_COPIES:
                continue
            due_at_ms = now_ms + DELIVERY_DELAY_MS
            self._copies[key] = _Copy(request.shard, bill, due_at_ms)
            stored_keys.append(key)
        return spending.BillsHeld(
            request.shard, request.holder, tuple(stored_keys)
        )

    def remove(self, keys: tuple[data.KeyDigest, ...]) -> None:
        """Removes the copies whose bills are in the log."""
        for key in keys:
            self._copies.pop(key, None)

    def collect_due(
        self, shard: int, now_ms: int
    ) -> tuple[spending.UnloggedEntry, ...]:
        """Returns the copies to deliver now.

        They stay stored and are due again after `DELIVERY_DELAY_MS`.

        Args:
          shard: The shard, whose owner is reachable.
          now_ms: The time.
        """
        due = []
        for copy in self._copies.values():
            if copy.shard == shard and now_ms >= copy.due_at_ms:
                copy.due_at_ms = now_ms + DELIVERY_DELAY_MS
                due.append(copy.bill)
        return tuple(due)
