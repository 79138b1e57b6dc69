"""Stores the claims and outcomes of calls that may not be repeated.

Such calls are rare, so each has an object of its own. After the window its
outcome is removed, but its key stays as a packed tombstone: a repeated request
is then refused as expired and never runs again.
"""

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import key_store

# How long a claim and its outcome are kept, by the shard's time.
CLAIM_WINDOW_MS = 7 * 24 * 3600 * 1000
# The most claims that are kept with their outcomes, even within the window.
MAX_CLAIMS = 20_000
# The most bytes of recorded answers that are kept. The oldest answers are
# removed first; their claims and outcomes stay.
MAX_ANSWER_BYTES = 1024 * 1024
# Longer than any possible time: tombstones expire by count only.
_TOMBSTONE_WINDOW_MS = 2**52
_TOMBSTONE = key_store.SettledKey(b"", 0)


@attrs.frozen
class ClaimState:
    """One claimed key.

    Attributes:
      holder: The incarnation that claimed it.
      body_digest: The digest of the request's body.
      claimed_at_ms: The shard's time when it was claimed.
      claim_id: The id of the attempt to claim, chosen by the holder.
      is_recorded: Whether the outcome is known.
      status: The outcome.
      answer: The recorded answer.
    """

    holder: data.Incarnation
    body_digest: bytes
    claimed_at_ms: int
    claim_id: bytes
    is_recorded: bool = False
    status: data.OutcomeStatus = data.OutcomeStatus.UNKNOWN
    answer: bytes = b""


class ClaimStore:
    """The claimed keys of a shard."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self._claims: dict[data.KeyDigest, ClaimState] = {}
        self._answered: dict[data.KeyDigest, None] = {}
        self._answer_bytes = 0
        self._expired = key_store.KeyStore(_TOMBSTONE_WINDOW_MS)

    def get(self, key: data.KeyDigest) -> ClaimState | None:
        """Returns the claim of a key, or None if the window holds none."""
        return self._claims.get(key)

    def has_expired(self, key: data.KeyDigest) -> bool:
        """Returns whether the key was claimed before the window."""
        return self._expired.get(key) is not None

    def set(self, key: data.KeyDigest, claim: ClaimState) -> None:
        """Adds a claim, or replaces one that has no recorded answer."""
        self._claims[key] = claim
        if not claim.answer:
            return
        self._answered[key] = None
        self._answer_bytes += len(claim.answer)
        while self._answer_bytes > MAX_ANSWER_BYTES:
            oldest = next(iter(self._answered))
            self._remove_answer(oldest)

    def remove(self, key: data.KeyDigest) -> None:
        """Removes the claim of a call that did not run."""
        del self._claims[key]

    def _remove_answer(self, key: data.KeyDigest) -> None:
        """Removes the recorded answer of a claim, but not its outcome."""
        if key in self._answered:
            del self._answered[key]
            claim = self._claims[key]
            self._answer_bytes -= len(claim.answer)
            self._claims[key] = attrs.evolve(claim, answer=b"")

    def expire(self, time_ms: int) -> None:
        """Replaces claims that are older than the window by tombstones."""
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            is_old = time_ms - claim.claimed_at_ms > CLAIM_WINDOW_MS
            if not is_old and len(self._claims) <= MAX_CLAIMS:
                return
            self._expired.set(key, _TOMBSTONE, time_ms)
            self._remove_answer(key)
            del self._claims[key]

    def save(self) -> tuple[tuple[data.ClaimSnapshot, ...], bytes, bytes]:
        """Returns the claims and both packed generations of tombstones."""
        numbers = {key: index for index, key in enumerate(self._answered)}
        claims = tuple(
            data.ClaimSnapshot(
                key=key,
                holder=claim.holder,
                body_digest=claim.body_digest,
                claimed_at_ms=claim.claimed_at_ms,
                claim_id=claim.claim_id,
                is_recorded=claim.is_recorded,
                status=claim.status,
                answer=claim.answer,
                answered_number=numbers.get(key, 0),
            )
            for key, claim in self._claims.items()
        )
        current, previous, _, _ = self._expired.save()
        return claims, current, previous

    def restore(
        self,
        claims: tuple[data.ClaimSnapshot, ...],
        current: bytes,
        previous: bytes,
    ) -> None:
        """Replaces the contents by the values that `save` returned."""
        self._claims = {
            claim.key: ClaimState(
                holder=claim.holder,
                body_digest=claim.body_digest,
                claimed_at_ms=claim.claimed_at_ms,
                claim_id=claim.claim_id,
                is_recorded=claim.is_recorded,
                status=claim.status,
                answer=claim.answer,
            )
            for claim in claims
        }
        answered = sorted(
            (claim.answered_number, claim.key)
            for claim in claims
            if claim.answer
        )
        self._answered = {key: None for _, key in answered}
        self._answer_bytes = sum(len(claim.answer) for claim in claims)
        self._expired.restore(current, previous, 0, 0)
