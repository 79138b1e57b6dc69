"""Chooses the upstream that a request is forwarded to.

A generation that states its prompt parts goes to the upstream with the least
estimated time to its first event: the prefill of the requests before it plus
its own. Among upstreams with similar estimates, rendezvous hashing sends
requests with the same shared prompt to the same one from every router. Other
requests go to the least loaded upstream by requests per slot; among equals to
one in the router's zone.

This module serves requests that are forwarded by route and do not wait in the
router. For pools whose requests wait in a queue, `routing` chooses.
"""

from collections.abc import Sequence

import attrs
import xxhash

from redwingchute.core import forwarding

# Estimates of the time to the first event that differ by less are too close to
# tell apart.
_SIMILAR_MS = 100.0
# A request with an affinity key goes only to an upstream whose load is at most
# this multiple of the mean load plus the allowance, which matters when few
# requests are open. Loads are numbers of open requests.
_LOAD_FACTOR = 1.5
_LOAD_ALLOWANCE = 6.0


@attrs.frozen
class Candidate:
    """An upstream that a request may be sent to, with its load.

    It is unrelated to `routing.Candidate`. The times are 0 if the request is
    not a generation.

    Attributes:
      upstream: The upstream.
      load: The number of requests of all routers that are open there.
      delay_ms: The estimated time until it begins the request's prefill.
      cost_ms: The estimated time of the request's prefill there, plus that of
        cached prompt parts that it would evict.
      uncached_tokens: The tokens of its prompt that need prefill there. It and
        the next one are 0 unless leaving the zone has a price, see
        `zone_overflow`.
      prefill_ms: The estimated time of that prefill.
    """

    upstream: forwarding.Upstream
    load: float
    delay_ms: float = 0.0
    cost_ms: float = 0.0
    uncached_tokens: int = 0
    prefill_ms: float = 0.0


def find_affinity_key(generation: forwarding.Generation | None) -> str | None:
    """Returns the key that is equal for requests with the same shared prompt.

    The last part of a prompt is specific to the request. The part before it
    identifies all shared parts. If there is only one part, it is the key.
    Returns None if the request has no prompt parts.
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
      candidates: The upstreams that the request may be sent to.
      affinity_key: The key of its shared prompt, or None.
      zone: The router's availability zone, which matters only without an
        affinity key.
      tie_breaker: Spreads requests without an affinity key over upstreams of
        equal load that are all in the zone or all outside it.
    """
    if not candidates:
        return None
    if affinity_key is None:
        return min(
            candidates,
            key=lambda candidate: (
                candidate.load / candidate.upstream.slots,
                candidate.upstream.zone != zone,
                _compute_hash(tie_breaker, candidate.upstream),
            ),
        )
    mean_load = sum(candidate.load for candidate in candidates) / len(
        candidates
    )
    max_load = _LOAD_FACTOR * mean_load + _LOAD_ALLOWANCE
    # Never empty: the least loaded candidate is within the bound.
    eligible = [
        candidate for candidate in candidates if candidate.load <= max_load
    ]
    least_ms = min(map(_estimate_first_event_ms, eligible))
    similar = [
        candidate
        for candidate in eligible
        if _estimate_first_event_ms(candidate) <= least_ms + _SIMILAR_MS
    ]
    return min(
        similar,
        key=lambda candidate: _compute_hash(affinity_key, candidate.upstream),
    )


def _estimate_first_event_ms(candidate: Candidate) -> float:
    """Returns the estimated time to the first event at an upstream.

    It includes the cost of cached prompt parts that are evicted.
    """
    return candidate.delay_ms + candidate.cost_ms


def _compute_hash(key: str, upstream: forwarding.Upstream) -> int:
    """Returns the rendezvous hash of a key and an upstream; the least wins."""
    return xxhash.xxh64_intdigest(f"{key}/{upstream.id}".encode())
