"""Chooses the upstream with the earliest expected completion of a request.

A cached prefix saves prefill time. It is taken into account only while the
upstream's load does not exceed the mean of the pool by more than a bound, since
popular prefixes would otherwise overload single upstreams. An upstream of
another availability zone is chosen only if it completes the request earlier by
more than a margin.

This module serves pools whose requests wait in a queue of the router, see
`pool`. For requests that are forwarded by route, `upstream_choice` chooses.
"""

from collections.abc import Sequence

import attrs

from redwingchute.core import requesting
from redwingchute.request import load_model

# The cache of an upstream counts only while its occupied share of slots is at
# most this multiple of the pool's mean, plus one request.
AFFINITY_LOAD_BOUND = 1.25

# The margin by which an upstream of another zone must complete a request
# earlier: a time plus a share of the request's duration without cached prefix.
SPILL_MARGIN_MS = 20.0
SPILL_MARGIN_SHARE = 0.15


@attrs.frozen
class Candidate:
    """An upstream that may run a queued request.

    It is unrelated to `upstream_choice.Candidate`.

    Attributes:
      load: The load model of the upstream.
      cached_share: The share of the prompt that its cache probably holds.
      is_local: Whether it is in the router's availability zone.
      start_ms: When it is expected to have a slot for the request.
    """

    load: load_model.UpstreamLoad
    cached_share: float
    is_local: bool
    start_ms: float


@attrs.frozen
class Choice:
    """The chosen upstream.

    Attributes:
      load: The load model of the chosen upstream.
      cached_tokens: Prompt tokens that its cache is expected to hold.
      completion_ms: When the response is expected to be complete.
    """

    load: load_model.UpstreamLoad
    cached_tokens: int
    completion_ms: float


def choose_upstream(
    ticket: requesting.Ticket, candidates: Sequence[Candidate]
) -> Choice | None:
    """Returns the upstream with the earliest expected completion.

    The margin is added for upstreams of other zones. Among equals it is the one
    with the smallest occupied share of slots. Returns None without candidates.
    """
    mean_busy_share = _compute_mean_busy_share(candidates)
    best: Choice | None = None
    best_rank: tuple[float, float] | None = None
    for candidate in candidates:
        choice = _estimate_choice(ticket, candidate, mean_busy_share)
        rank = (
            _add_remote_margin(ticket, candidate, choice),
            _compute_busy_share(candidate.load),
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = choice, rank
    return best


def _estimate_choice(
    ticket: requesting.Ticket, candidate: Candidate, mean_busy_share: float
) -> Choice:
    """Estimates when a candidate would complete the request."""
    load = candidate.load
    one_slot_share = 1 / load.slots
    max_busy_share = AFFINITY_LOAD_BOUND * mean_busy_share + one_slot_share
    cached_tokens = 0
    if _compute_busy_share(load) <= max_busy_share:
        cached_tokens = int(candidate.cached_share * ticket.prompt_tokens)
    duration_ms = load.estimate_duration_ms(ticket, cached_tokens)
    return Choice(load, cached_tokens, candidate.start_ms + duration_ms)


def _add_remote_margin(
    ticket: requesting.Ticket, candidate: Candidate, choice: Choice
) -> float:
    """Returns the completion time, plus the margin for other zones."""
    if candidate.is_local:
        return choice.completion_ms
    duration_ms = candidate.load.estimate_duration_ms(ticket)
    margin_ms = SPILL_MARGIN_MS + SPILL_MARGIN_SHARE * duration_ms
    return choice.completion_ms + margin_ms


def _compute_busy_share(load: load_model.UpstreamLoad) -> float:
    """Returns the occupied share of an upstream's slots."""
    return load.estimate_occupancy() / load.slots


def _compute_mean_busy_share(candidates: Sequence[Candidate]) -> float:
    """Returns the occupied share of the slots of all candidates."""
    occupancy = sum(
        candidate.load.estimate_occupancy() for candidate in candidates
    )
    slots = sum(candidate.load.slots for candidate in candidates)
    return occupancy / slots if slots else 0.0
