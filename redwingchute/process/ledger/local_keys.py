"""Stores the idempotency keys of a router's own requests.

The ledger's fold decides about keys. The local table serves while the ledger
is unreachable, and prevents two requests with one key from running at the same
time on one router.
"""

import collections
import enum

import attrs

from redwingchute.core import data

# The most keys that are stored; the oldest are evicted first.
MAX_KEYS = 20_000

# The most reruns of a settled key while the ledger cannot count them.
MAX_LOCAL_RERUNS = 3


class LocalKeyState(enum.Enum):
    """The state of a key on this router."""

    NEW = enum.auto()
    IN_FLIGHT = enum.auto()
    SETTLED = enum.auto()
    BODY_MISMATCH = enum.auto()
    TOO_MANY_RERUNS = enum.auto()


@attrs.define
class _StoredKey:
    """One stored key."""

    body_digest: bytes
    is_settled: bool = False
    reruns: int = 0


class LocalKeys:
    """The keys of the requests that this router started."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._keys: collections.OrderedDict[data.KeyDigest, _StoredKey] = (
            collections.OrderedDict()
        )

    def find_state(
        self, key: data.KeyDigest, body_digest: bytes
    ) -> LocalKeyState:
        """Returns the state of a key that came with a given body."""
        stored = self._keys.get(key)
        if stored is None:
            return LocalKeyState.NEW
        if stored.body_digest != body_digest:
            return LocalKeyState.BODY_MISMATCH
        if not stored.is_settled:
            return LocalKeyState.IN_FLIGHT
        if stored.reruns >= MAX_LOCAL_RERUNS:
            return LocalKeyState.TOO_MANY_RERUNS
        return LocalKeyState.SETTLED

    def mark_in_flight(self, key: data.KeyDigest, body_digest: bytes) -> None:
        """Marks a key as used by a request that is under way.

        A settled key stays settled: the ledger decides on its reruns.
        """
        if key in self._keys and self._keys[key].is_settled:
            return
        self._keys[key] = _StoredKey(body_digest)
        while len(self._keys) > MAX_KEYS:
            self._keys.popitem(last=False)

    def mark_settled(self, key: data.KeyDigest) -> None:
        """Marks a key as billed."""
        if key in self._keys:
            self._keys[key].is_settled = True

    def count_rerun(self, key: data.KeyDigest) -> None:
        """Counts a run that is free of charge."""
        if key in self._keys:
            self._keys[key].reruns += 1

    def discard(self, key: data.KeyDigest) -> None:
        """Removes a key whose request ended without a bill."""
        stored = self._keys.get(key)
        if stored is not None and not stored.is_settled:
            del self._keys[key]
