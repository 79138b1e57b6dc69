"""Chooses the upstream that a request is sent to.

A generation goes where its first event is likely soonest, by what is to be read
there before it and of its own prompt. Among upstreams that are alike, requests
with the same shared prompt prefer the same one, on every router alike. Requests
without a prompt go to the least loaded upstream, the nearest first.
"""

from collections.abc import Sequence

import attrs
import xxhash

from redwingchute.core import forwarding

# A difference that the estimates cannot tell.
_INDIFFERENT_MS = 100.0
# An upstream may have this many times the mean load before requests that
# prefer it go elsewhere, plus the allowance for small numbers.
_LOAD_FACTOR = 1.5
_LOAD_ALLOWANCE = 6.0


@attrs.frozen
class Candidate:
    """An upstream that may take a request, and its load.

    Attributes:
      upstream: The upstream.
      load: Requests that are open there.
      delay_ms: How long until it would begin with the request.
      cost_ms: How long it would read the prompt.
    """

    upstream: forwarding.Upstream
    load: float
    delay_ms: float = 0.0
    cost_ms: float = 0.0


def find_affinity_key(generation: forwarding.Generation | None) -> str | None:
    """Returns what requests with the same shared prompt have in common.

    The last part of a prompt is the request's own; the one before it stands
    for all that is shared.
    """
    if generation is None or not generation.parts:
        return None
    shared = generation.shared_parts or generation.parts
    return shared[-1].id


def choose_upstream(
    candidates: Sequence[Candidate],
    affinity_key: str | None,
    zone: str,
    tie_breaker: str,
) -> Candidate | None:
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
        return min(
            candidates,
            key=lambda candidate: (
                candidate.load / candidate.upstream.slots,
                candidate.upstream.zone != zone,
                _rank(tie_breaker, candidate.upstream),
            ),
        )
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    bound = _LOAD_FACTOR * mean + _LOAD_ALLOWANCE
    # The least loaded one is always below the bound.
    fitting = [candidate for candidate in candidates if candidate.load <= bound]
    least_ms = min(map(_find_total_ms, fitting))
    alike = [
        candidate
        for candidate in fitting
        if _find_total_ms(candidate) <= least_ms + _INDIFFERENT_MS
    ]
    return min(
        alike, key=lambda candidate: _rank(affinity_key, candidate.upstream)
    )


def _find_total_ms(candidate: Candidate) -> float:
    """Returns how long a request would wait for its first event."""
    return candidate.delay_ms + candidate.cost_ms


def _rank(key: str, upstream: forwarding.Upstream) -> int:
    """Returns the order in which a key prefers upstreams; all routers agree."""
    return xxhash.xxh64_intdigest(f"{key}/{upstream.id}".encode())
