"""Remembers the keys of a router's own requests.

The ledger's fold is what decides about keys. This memory serves while the
ledger is out of reach, and keeps two requests with one key from running side
by side on one router.
"""

import collections
import enum

import attrs

from redwingchute.core import data

# Keys that are remembered at most; the oldest are forgotten first.
MAX_KEYS = 20_000

# Free runs of one settled key while the ledger cannot count them.
MAX_LOCAL_RERUNS = 3


class LocalKeyState(enum.Enum):
    """What this router knows of a key."""

    NEW = enum.auto()
    IN_FLIGHT = enum.auto()
    SETTLED = enum.auto()
    BODY_MISMATCH = enum.auto()
    TOO_MANY_RERUNS = enum.auto()


@attrs.define
class _KnownKey:
    """One remembered key."""

    body_digest: bytes
    is_settled: bool = False
    reruns: int = 0


class LocalKeys:
    """The keys of the requests that this router took on."""

    def __init__(self) -> None:
        """Starts with no keys."""
        self._keys: collections.OrderedDict[data.KeyDigest, _KnownKey] = (
            collections.OrderedDict()
        )

    def find_state(
        self, key: data.KeyDigest, body_digest: bytes
    ) -> LocalKeyState:
        """Returns what is known of a key and the body that came with it."""
        known = self._keys.get(key)
        if known is None:
            return LocalKeyState.NEW
        if known.body_digest != body_digest:
            return LocalKeyState.BODY_MISMATCH
        if not known.is_settled:
            return LocalKeyState.IN_FLIGHT
        if known.reruns >= MAX_LOCAL_RERUNS:
            return LocalKeyState.TOO_MANY_RERUNS
        return LocalKeyState.SETTLED

    def begin(self, key: data.KeyDigest, body_digest: bytes) -> None:
        """Notes that a request with this key is in hand.

        What is settled stays so: the ledger decides on its reruns.
        """
        if key in self._keys and self._keys[key].is_settled:
            return
        self._keys[key] = _KnownKey(body_digest)
        while len(self._keys) > MAX_KEYS:
            self._keys.popitem(last=False)

    def settle(self, key: data.KeyDigest) -> None:
        """Notes that the key is billed."""
        if key in self._keys:
            self._keys[key].is_settled = True

    def count_rerun(self, key: data.KeyDigest) -> None:
        """Notes a run free of charge."""
        if key in self._keys:
            self._keys[key].reruns += 1

    def forget(self, key: data.KeyDigest) -> None:
        """Forgets a key whose request ended without a bill."""
        known = self._keys.get(key)
        if known is not None and not known.is_settled:
            del self._keys[key]
