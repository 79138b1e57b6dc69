"""Packs a holder's entries, asks and lookups into calls to the shard's owner.

An ask is a request for grants. Every entry is sent again until it has a
verdict; the fold ignores repeats. Lookups are sent in calls of their own, so
that they need not wait for a commit.
"""

import collections

import attrs

from redwingchute.core import data

# The most calls with entries or asks that are under way at the same time.
MAX_OUTSTANDING_CALLS = 4

# The most entries of one call; the backlog after an outage takes several calls.
MAX_CALL_ENTRIES = 500


@attrs.define(eq=False)
class PendingEntry:
    """An entry without a verdict.

    Attributes:
      entry: The entry.
      charge_id: The charge that the entry belongs to, or None.
    """

    entry: data.LedgerEntry
    charge_id: int | None = None


@attrs.frozen(eq=False)
class OutgoingCall:
    """A call under way.

    Attributes:
      call_id: The id of the call, unique within its holder.
      message: The message to send.
      entries: The pending entries of the message, in its order.
      lookup_ids: The charges of the lookups of the message, in its order.
    """

    call_id: int
    message: data.LedgerCall
    entries: tuple[PendingEntry, ...]
    lookup_ids: tuple[int, ...]


class Outbox:
    """The calls under way, and the entries and lookups that are queued."""

    def __init__(self, shard: int, holder: data.Incarnation, host: str) -> None:
        """Creates an empty outbox.

        Args:
          shard: The shard whose owner is called.
          holder: The incarnation that makes the calls.
          host: The name of this host.
        """
        self._shard = shard
        self._holder = holder
        self._host = host
        self._entries: collections.deque[PendingEntry] = collections.deque()
        self._lookups: dict[int, data.Lookup] = {}
        self._calls: dict[int, OutgoingCall] = {}
        self._last_call_id = 0

    def enqueue_entry(self, pending: PendingEntry) -> None:
        """Queues an entry."""
        self._entries.append(pending)

    def enqueue_lookup(self, charge_id: int, lookup: data.Lookup) -> None:
        """Queues a lookup."""
        self._lookups[charge_id] = lookup

    def has_entries(self) -> bool:
        """Returns whether entries are queued."""
        return bool(self._entries)

    def has_lookups(self) -> bool:
        """Returns whether lookups are queued."""
        return bool(self._lookups)

    def is_idle(self) -> bool:
        """Returns whether nothing is queued or under way."""
        return not (self._entries or self._lookups or self._calls)

    def count_outstanding(self) -> int:
        """Returns the number of calls under way with entries or asks."""
        return sum(1 for call in self._calls.values() if not call.lookup_ids)

    def remove_entries(self, charge_id: int) -> None:
        """Removes the queued entries of a charge; entries under way stay."""
        self._entries = collections.deque(
            pending
            for pending in self._entries
            if pending.charge_id != charge_id
        )

    def make_lookup_call(self) -> OutgoingCall:
        """Starts a call with all queued lookups."""
        lookups = self._lookups
        self._lookups = {}
        message = data.LedgerCall(
            self._shard,
            self._holder,
            self._host,
            lookups=tuple(lookups.values()),
        )
        return self._start(message, (), tuple(lookups))

    def make_call(
        self,
        asks: tuple[data.Ask, ...],
        max_entries: int = MAX_CALL_ENTRIES,
    ) -> OutgoingCall:
        """Starts a call with the oldest queued entries and the asks."""
        count = min(len(self._entries), max_entries)
        pending = tuple(self._entries.popleft() for _ in range(count))
        message = data.LedgerCall(
            self._shard,
            self._holder,
            self._host,
            entries=tuple(item.entry for item in pending),
            asks=asks,
        )
        return self._start(message, pending, ())

    def pop_call(self, call_id: int) -> OutgoingCall | None:
        """Removes and returns a call; None if it is not under way."""
        return self._calls.pop(call_id, None)

    def abandon_call(self, call_id: int) -> OutgoingCall | None:
        """Removes and returns a call that got no reply.

        Its lookups are queued again. Entries that are still needed must be
        passed to `requeue_entries`.
        """
        call = self._calls.pop(call_id, None)
        if call is not None:
            lookups = zip(call.lookup_ids, call.message.lookups, strict=True)
            self._lookups.update(lookups)
        return call

    def requeue_entries(self, entries: tuple[PendingEntry, ...]) -> None:
        """Queues entries again, in their order, before all others."""
        self._entries.extendleft(reversed(entries))

    def remove_lookup(self, charge_id: int) -> None:
        """Removes the queued lookup of a charge, if any."""
        self._lookups.pop(charge_id, None)

    def _start(
        self,
        message: data.LedgerCall,
        entries: tuple[PendingEntry, ...],
        lookup_ids: tuple[int, ...],
    ) -> OutgoingCall:
        """Registers a call under the next id until it ends."""
        self._last_call_id += 1
        call = OutgoingCall(
            self._last_call_id,
            message,
            entries,
            lookup_ids,
        )
        self._calls[call.call_id] = call
        return call
