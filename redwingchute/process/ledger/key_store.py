"""Stores settled keys in packed memory for a given window of time.

A shard of a busy fleet settles tens of thousands of keys an hour. One Python
object for each would take most of the memory that a daemon has for control
data, so the keys are stored in a byte array with open addressing. Two
generations bound the window: when the current one is older than the window, it
replaces the previous one, whose keys are removed. A key is thus kept for one
to two windows, or for less time if a generation is full before.
"""

import struct

import attrs
import xxhash

# The size of the digest of a key.
KEY_BYTES = 16

# The size of the prefix of a body's digest that is stored with its key.
BODY_BYTES = 8

# A generation ends when it has this many keys, even within the window.
MAX_KEYS_PER_GENERATION = 131_072

# Key, body digest, settlement time in seconds, reruns, flag of a used slot.
_SLOT = struct.Struct("<16s8sIBB")
_MIN_CAPACITY = 64
_MAX_RERUNS_KEPT = 255


@attrs.frozen
class SettledKey:
    """The stored data of a settled key.

    Attributes:
      body_digest: The first `BODY_BYTES` bytes of the body's digest.
      settled_at_s: When it was settled, in seconds since the Unix epoch.
      reruns: How many other runs have settled the key again.
    """

    body_digest: bytes
    settled_at_s: int
    reruns: int = 0


class PackedTable:
    """A map from 16-byte keys to `SettledKey` in one byte array."""

    def __init__(self, packed: bytes = b"") -> None:
        """Creates the table from the slots that `pack` returned."""
        self._capacity = _MIN_CAPACITY
        self._slots = bytearray(_SLOT.size * self._capacity)
        self.count = 0
        for offset in range(0, len(packed), _SLOT.size):
            key, body, settled_at_s, reruns, _ = _SLOT.unpack_from(
                packed, offset
            )
            self.set(key, SettledKey(body, settled_at_s, reruns))

    def get(self, key: bytes) -> SettledKey | None:
        """Returns the data of a key, or None if it is not stored."""
        slot = self._find_slot(key)
        _, body, settled_at_s, reruns, is_used = _SLOT.unpack_from(
            self._slots, slot
        )
        return SettledKey(body, settled_at_s, reruns) if is_used else None

    def set(self, key: bytes, settled: SettledKey) -> None:
        """Adds or replaces a key."""
        slot = self._find_slot(key)
        if not self._slots[slot + _SLOT.size - 1]:
            if 4 * (self.count + 1) > 3 * self._capacity:
                self._grow()
                slot = self._find_slot(key)
            self.count += 1
        _SLOT.pack_into(
            self._slots,
            slot,
            key,
            settled.body_digest,
            settled.settled_at_s,
            min(settled.reruns, _MAX_RERUNS_KEPT),
            1,
        )

    def pack(self) -> bytes:
        """Returns the used slots, ordered by key."""
        size = _SLOT.size
        slots = (
            bytes(self._slots[offset : offset + size])
            for offset in range(0, len(self._slots), size)
            if self._slots[offset + size - 1]
        )
        return b"".join(sorted(slots))

    def _find_slot(self, key: bytes) -> int:
        """Returns the offset of the key's slot, or of a free slot for it."""
        size = _SLOT.size
        index = xxhash.xxh3_64_intdigest(key) % self._capacity
        while True:
            offset = index * size
            if not self._slots[offset + size - 1]:
                return offset
            if self._slots[offset : offset + 16] == key:
                return offset
            index = (index + 1) % self._capacity

    def _grow(self) -> None:
        """Doubles the capacity."""
        old_slots = self._slots
        self._capacity *= 2
        self._slots = bytearray(_SLOT.size * self._capacity)
        size = _SLOT.size
        for offset in range(0, len(old_slots), size):
            if old_slots[offset + size - 1]:
                slot = self._find_slot(bytes(old_slots[offset : offset + 16]))
                self._slots[slot : slot + size] = old_slots[
                    offset : offset + size
                ]


class KeyStore:
    """The settled keys of the last window.

    Attributes:
      floor_s: Every key that was settled at or after this time is stored; keys
        with an earlier time may have been removed.
    """

    def __init__(self, window_ms: int) -> None:
        """Creates an empty store.

        Args:
          window_ms: How long keys are kept at least, unless a generation is
            full before.
        """
        self._window_s = window_ms // 1000
        self._current = PackedTable()
        self._previous = PackedTable()
        self._began_at_s = 0
        self.floor_s = 0

    @property
    def count(self) -> int:
        """The number of stored keys."""
        return self._current.count + self._previous.count

    def get(self, key: bytes) -> SettledKey | None:
        """Returns the data of a key, or None if it is not stored."""
        slot_key = _to_slot_key(key)
        return self._current.get(slot_key) or self._previous.get(slot_key)

    def set(self, key: bytes, settled: SettledKey, time_ms: int) -> None:
        """Adds or replaces a key.

        Args:
          key: The key; unless it has 16 bytes, its digest is stored.
          settled: The data of the key.
          time_ms: The shard's time, by which the window moves.
        """
        time_s = time_ms // 1000
        if self._current.count == 0:
            self._began_at_s = time_s
        elif self._is_generation_over(time_s):
            self._previous = self._current
            self._current = PackedTable()
            self.floor_s = self._began_at_s
            self._began_at_s = time_s
        self._current.set(_to_slot_key(key), settled)

    def save(self) -> tuple[bytes, bytes, int, int]:
        """Returns both packed generations and their times, for `restore`."""
        return (
            self._current.pack(),
            self._previous.pack(),
            self._began_at_s,
            self.floor_s,
        )

    def restore(
        self, current: bytes, previous: bytes, began_at_s: int, floor_s: int
    ) -> None:
        """Replaces the contents by the values that `save` returned."""
        self._current = PackedTable(current)
        self._previous = PackedTable(previous)
        self._began_at_s = began_at_s
        self.floor_s = floor_s

    def _is_generation_over(self, time_s: int) -> bool:
        """Returns whether the current generation is too old or full."""
        return (
            time_s - self._began_at_s > self._window_s
            or self._current.count >= MAX_KEYS_PER_GENERATION
        )


def _to_slot_key(key: bytes) -> bytes:
    """Returns the 16 bytes under which a key is stored."""
    return key if len(key) == KEY_BYTES else xxhash.xxh3_128_digest(key)
