"""Chooses the upstream that a request is sent to.

Requests with the same shared prompt prefer the same upstream, on every router
alike, since it has read that prompt already. They leave it only when it has
clearly more work than the others. Requests without a prompt go to the least
loaded upstream, the nearest first.
"""

from collections.abc import Sequence

import attrs
import xxhash

from redwingchute.core import forwarding

# An upstream may have this many times the mean load before requests that
# prefer it go elsewhere, plus the allowance for small numbers.
_LOAD_FACTOR = 1.3
_LOAD_ALLOWANCE = 3.0


@attrs.frozen
class Candidate:
    """An upstream that may take a request, and its load.

    Attributes:
      upstream: The upstream.
      load: Requests that are open there.
    """

    upstream: forwarding.Upstream
    load: float


def find_affinity_key(generation: forwarding.Generation | None) -> str | None:
    """Returns what requests with the same shared prompt have in common.

    The last part of a prompt is the request's own; the one before it stands
    for all that is shared.
    """
    if generation is None or not generation.parts:
        return None
    shared = generation.parts[:-1] or generation.parts
    return shared[-1].id


def choose_upstream(
    candidates: Sequence[Candidate],
    affinity_key: str | None,
    zone: str,
    tie_breaker: str,
) -> forwarding.Upstream | None:
    """Returns the upstream for a request, or None without candidates.

    Args:
      candidates: The upstreams that may take it.
      affinity_key: What it shares with other requests, or None.
      zone: The router's availability zone.
      tie_breaker: Spreads requests over upstreams that are alike.
    """
    if not candidates:
        return None
    if affinity_key is None:
        least = min(
            candidates,
            key=lambda candidate: (
                candidate.load / candidate.upstream.slots,
                candidate.upstream.zone != zone,
                _rank(tie_breaker, candidate.upstream),
            ),
        )
        return least.upstream
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    bound = _LOAD_FACTOR * mean + _LOAD_ALLOWANCE
    preferred = sorted(
        candidates,
        key=lambda candidate: _rank(affinity_key, candidate.upstream),
    )
    for candidate in preferred:
        if candidate.load <= bound:
            return candidate.upstream
    return preferred[0].upstream


def _rank(key: str, upstream: forwarding.Upstream) -> int:
    """Returns the order in which a key prefers upstreams; all routers agree."""
    return xxhash.xxh64_intdigest(f"{key}/{upstream.id}".encode())
