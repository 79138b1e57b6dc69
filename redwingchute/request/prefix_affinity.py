"""Tracks the prompt prefixes in the caches of upstreams.

Engines publish stored and evicted prefixes late and with gaps. The prefixes of
this router's own dispatches are added immediately. After a gap the older
entries count half until they are confirmed. Prefix digests are salted per
client account, so that no account benefits from, or can detect, the prompts of
another one.
"""

import collections
from collections.abc import Iterable
import hashlib

import attrs

# Engines use the same block size and digest size.
BLOCK_WORDS = 16
# The part of a prompt beyond this many blocks is ignored.
MAX_BLOCKS = 64
_DIGEST_BYTES = 8
_MAX_DIGESTS_PER_UPSTREAM = 1_024
# The factor for the weight of the entries from before a gap.
_GAP_WEIGHT_FACTOR = 0.5


@attrs.frozen
class CacheEvent:
    """One change of an engine's prefix cache.

    Attributes:
      sequence: The number of the event, which increases by one per engine.
      digest: The digest of the prefix.
      is_stored: Whether the prefix was stored; else it was evicted.
    """

    sequence: int
    digest: bytes
    is_stored: bool


def make_cache_salt(client_account: str) -> str:
    """Returns the salt of a client account's prefix digests."""
    return hashlib.sha256(b"cache-salt:" + client_account.encode()).hexdigest()


def make_prefix_digests(salt: str, prompt: str) -> tuple[bytes, ...]:
    """Returns the digests by which engines identify a prompt's prefixes.

    There is one digest for each complete block of words, which also covers all
    blocks before it.
    """
    words = prompt.split(maxsplit=MAX_BLOCKS * BLOCK_WORDS)
    block_count = min(len(words) // BLOCK_WORDS, MAX_BLOCKS)
    chain = hashlib.blake2b(salt.encode(), digest_size=_DIGEST_BYTES)
    digests = []
    for number in range(block_count):
        start = number * BLOCK_WORDS
        block = words[start : start + BLOCK_WORDS]
        chain.update(" ".join(block).encode())
        digests.append(chain.digest())
    return tuple(digests)


class PrefixIndex:
    """The prefixes that one upstream probably has in its cache.

    Each prefix has a weight from 0 to 1: how likely it is cached.
    """

    def __init__(self) -> None:
        """Creates an empty index."""
        self._weights: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._next_sequence: int | None = None

    def record_dispatch(self, digests: Iterable[bytes]) -> None:
        """Records the prefixes of a request that the upstream will run."""
        for digest in digests:
            self._add(digest)

    def handle_cache_events(self, events: Iterable[CacheEvent]) -> None:
        """Handles events of the engine, which may have gaps."""
        for event in events:
            expected = self._next_sequence
            if expected is not None and event.sequence < expected:
                continue
            if expected is not None and event.sequence > expected:
                self._reduce_weights()
            self._next_sequence = event.sequence + 1
            if event.is_stored:
                self._add(event.digest)
            else:
                self._weights.pop(event.digest, None)

    def clear(self) -> None:
        """Removes all entries, after a restart of the engine."""
        self._weights.clear()
        self._next_sequence = None

    def estimate_cached_share(self, digests: tuple[bytes, ...]) -> float:
        """Returns the expected share of a prompt's blocks in the cache.

        Args:
          digests: The digests of the prompt's prefixes, shortest first.
        """
        weight = 0.0
        for digest in digests:
            digest_weight = self._weights.get(digest)
            if digest_weight is None:
                break
            weight += digest_weight
        return weight / len(digests) if digests else 0.0

    def _add(self, digest: bytes) -> None:
        """Adds a prefix as the newest entry, which is evicted last."""
        self._weights[digest] = 1.0
        self._weights.move_to_end(digest)
        while len(self._weights) > _MAX_DIGESTS_PER_UPSTREAM:
            self._weights.popitem(last=False)

    def _reduce_weights(self) -> None:
        """Halves all weights, since a missing event may be an eviction."""
        for digest in self._weights:
            self._weights[digest] *= _GAP_WEIGHT_FACTOR
