"""Decides which requests leave their caller's availability zone.

Traffic between zones costs money and time. A request stays in its zone unless
leaving pays, by the times that callers would gain and a price for what crosses.
It leaves

- if its zone has no upstream for it,
- if upstreams elsewhere have read its shared prompt parts, and reading them
  here again takes longer than the crossing costs, or
- if its zone has more work than others have. Then only the excess leaves:
  every router of the zone sends the same share of its requests, which follows
  from the load of the whole fleet, to the other zones by their spare room.

This module narrows the candidates; `upstream_choice` chooses among those that
are left. It has no clock, and keeps no state.
"""

from collections.abc import Callable
from collections.abc import Sequence
import enum
import math

import attrs
import xxhash

from redwingchute.core import forwarding
from redwingchute.request import upstream_choice

# Leaving begins when the zone's upstreams begin prompts this much later than
# those of other zones, which is what estimates can tell apart, and ends when
# the difference is a fifth of it. Work would swing between equal thresholds.
_BEGIN_GAP_MS = 100.0
_END_GAP_MS = 20.0
# How long leaving lasts at least, and staying after it: routers that are no
# hubs hear of the fleet's load once a second or more often.
_MIN_LASTING_MS = 1_000
# The excess leaves over this time. After it, all routers know of what was sent.
_HORIZON_MS = 1_000.0
# Figures of the fleet's load that are older say nothing about other zones.
_MAX_AGE_MS = 1_500
# A response should begin this long before the target latency, for the network
# and the error of the estimate.
_TARGET_MARGIN_MS = 100.0
# Text of a token, and its share of the framing of events and chunks.
_RESPONSE_BYTES_PER_TOKEN = 12
# Plain services turn slow when they are nearly full.
_MAX_PLAIN_LOAD_SHARE = 0.75
# Bits of a hash that a float between 0 and 1 can hold, both excluded.
_HASH_BITS = 52


class Reason(enum.Enum):
    """Why a request leaves its zone.

    Attributes:
      NO_UPSTREAM: The zone has no upstream for it.
      PART: Its prompt parts were read elsewhere.
      LOAD: Its first event comes earlier elsewhere by more than the price.
      TARGET: Its first event would miss the target here and meets it elsewhere.
    """

    NO_UPSTREAM = "no_upstream"
    PART = "part"
    LOAD = "load"
    TARGET = "target"


@attrs.frozen
class ZoneDelay:
    """The load of the upstreams of a service in one zone.

    Attributes:
      upstream_count: The number of upstreams that may be used.
      delay_ms: The mean time until they begin a new prompt.
      rise_ms: By how much that rose within the last second; 0 if it fell.
    """

    upstream_count: int
    delay_ms: float
    rise_ms: float = 0.0

    @property
    def forecast_ms(self) -> float:
        """The delay in a second, if the zone's own work goes on to grow."""
        return self.delay_ms + self.rise_ms


@attrs.frozen
class Figures:
    """What a router knows of the load of a service.

    Attributes:
      own: The router's zone; None if no upstream there may be used.
      others: The zones that may take work, by their names. Silent ones are
        missing.
      age_ms: The age of the newest report of other routers; 0 if there are no
        other routers.
    """

    own: ZoneDelay | None
    others: dict[str, ZoneDelay]
    age_ms: int

    @property
    def are_fresh(self) -> bool:
        """Whether they are new enough to send work by them."""
        return self.age_ms <= _MAX_AGE_MS

    @property
    def gap_ms(self) -> float:
        """How much later prompts begin in the own zone; 0 if unknown."""
        if self.own is None or not self.others or not self.are_fresh:
            return 0.0
        pooled = _pool_zones(list(self.others.values()))
        return self.own.delay_ms - pooled.forecast_ms


@attrs.frozen
class Overflow:
    """Whether requests of a service leave the zone because of load.

    Attributes:
      is_leaving: Whether they do.
      since_ms: Since when; long ago at the start.
    """

    is_leaving: bool = False
    since_ms: int = -_MIN_LASTING_MS


@attrs.frozen
class Need:
    """What one request needs.

    Attributes:
      crossing_ms: The delay that its caller would bear to keep it in the zone.
      target_ms: The time within which its first event should arrive; 0 if
        there is none.
      request_id: Decides whether it belongs to the share that leaves.
      affinity_key: The key of its shared prompt, or None.
    """

    crossing_ms: float
    target_ms: int
    request_id: str
    affinity_key: str | None


@attrs.frozen
class Decision:
    """The upstreams that a request may be sent to.

    Attributes:
      candidates: The upstreams; empty only if there were none.
      reason: Why they are in other zones; None if they are in the own one.
    """

    candidates: Sequence[upstream_choice.Candidate]
    reason: Reason | None = None


def count_crossing_bytes(request: forwarding.ForwardRequest) -> int:
    """Returns the size of a request and of its largest expected response."""
    tokens = request.generation.max_output_tokens if request.generation else 0
    return request.body_bytes + tokens * _RESPONSE_BYTES_PER_TOKEN


def update_overflow(
    overflow: Overflow, figures: Figures, now_ms: int
) -> Overflow:
    """Returns whether requests leave because of load from now on.

    Args:
      overflow: What applied until now.
      figures: The load of the service.
      now_ms: The current time.
    """
    if now_ms - overflow.since_ms < _MIN_LASTING_MS:
        return overflow
    threshold_ms = _END_GAP_MS if overflow.is_leaving else _BEGIN_GAP_MS
    is_leaving = figures.gap_ms > threshold_ms
    if is_leaving == overflow.is_leaving:
        return overflow
    return Overflow(is_leaving, now_ms)


def narrow_candidates(
    candidates: Sequence[upstream_choice.Candidate],
    zone: str,
    figures: Figures,
    overflow: Overflow,
    need: Need,
) -> Decision:
    """Returns the upstreams in the zone, or those for which leaving pays.

    Args:
      candidates: The upstreams that may run the request.
      zone: The router's zone.
      figures: The load of the service.
      overflow: Whether requests of the service leave because of load.
      need: What the request needs.
    """
    near = [found for found in candidates if found.upstream.zone == zone]
    far = [
        found for found in candidates if found.upstream.zone in figures.others
    ]
    if not near:
        return Decision(far or candidates, Reason.NO_UPSTREAM)
    if not far:
        return Decision(near)
    is_plain = need.affinity_key is None
    share = _MAX_PLAIN_LOAD_SHARE if is_plain else 1.0
    free = _list_free(near, share)
    if not free:
        far = _list_free(far, share)
        return Decision(far, Reason.LOAD) if far else Decision(near)
    if is_plain:
        return Decision(near)
    near = free
    return (
        _leave_for_parts(near, far, need)
        or _leave_for_load(near, far, figures, overflow, need)
        or Decision(near)
    )


def _list_free(
    candidates: list[upstream_choice.Candidate], share: float
) -> list[upstream_choice.Candidate]:
    """Returns the upstreams that run less than a share of what they can."""
    return [
        candidate
        for candidate in candidates
        if candidate.load < share * candidate.upstream.slots
    ]


def _leave_for_parts(
    near: list[upstream_choice.Candidate],
    far: list[upstream_choice.Candidate],
    need: Need,
) -> Decision | None:
    """Returns where prompt parts need not be read again, if that pays.

    What is saved is the time of the prefill, and that of other prompts that it
    would evict. It must pay with the present load too.
    """
    stay_ms = min(map(_estimate_ms, near))
    read_ms = min(candidate.cost_ms for candidate in near)
    read_tokens = min(candidate.uncached_tokens for candidate in near)
    holders = [
        candidate
        for candidate in far
        if candidate.uncached_tokens < read_tokens
        and candidate.cost_ms + need.crossing_ms < read_ms
        and _estimate_ms(candidate) + need.crossing_ms < stay_ms
    ]
    return Decision(holders, Reason.PART) if holders else None


def _leave_for_load(
    near: list[upstream_choice.Candidate],
    far: list[upstream_choice.Candidate],
    figures: Figures,
    overflow: Overflow,
    need: Need,
) -> Decision | None:
    """Returns where to go if the request is a part of the zone's excess.

    One that would miss its target in the zone is a part of it in any case.
    """
    if not figures.are_fresh:
        return None
    prefill_ms = min(candidate.prefill_ms for candidate in near)
    is_late = min(map(_estimate_event_ms, near)) > find_limit_ms(need)
    is_excess = overflow.is_leaving and (
        _hash(f"{need.request_id}/leave")
        < compute_share(figures, need, prefill_ms)
    )
    if not is_late and not is_excess:
        return None
    stay_ms = min(map(_estimate_ms, near))
    rooms = find_rooms(figures, _find_price_ms(figures, need, prefill_ms))
    for zone in _order_zones(rooms, need.affinity_key or need.request_id):
        there = [found for found in far if found.upstream.zone == zone]
        if not there:
            continue
        if is_excess and (
            min(map(_estimate_ms, there)) + need.crossing_ms < stay_ms
        ):
            return Decision(there, Reason.LOAD)
        if is_late and (
            min(map(_estimate_event_ms, there)) <= find_limit_ms(need)
        ):
            return Decision(there, Reason.TARGET)
    return None


def find_limit_ms(need: Need) -> float:
    """Returns the longest time to its first event that a request can bear."""
    if not need.target_ms:
        return math.inf
    return max(0.0, need.target_ms - _TARGET_MARGIN_MS)


def find_rooms(figures: Figures, crossing_ms: float) -> dict[str, float]:
    """Returns the spare room of the other zones that have any, in ms of work.

    It is what their upstreams can take until prompts begin as late there as in
    the own zone, with the price of the crossing and what the zones' own work is
    likely to add within the next second.

    Args:
      figures: The load of the service.
      crossing_ms: The price of the crossing.
    """
    if figures.own is None:
        return {}
    level_ms = figures.own.delay_ms - crossing_ms
    return {
        zone: other.upstream_count * (level_ms - other.forecast_ms)
        for zone, other in figures.others.items()
        if other.forecast_ms < level_ms
    }


def compute_share(figures: Figures, need: Need, prefill_ms: float) -> float:
    """Returns the share of requests like this one that should leave.

    The excess of the zone is the work after whose move prompts begin here as
    late as elsewhere, but for the price. If the first event would miss the
    target, it is at least the work that makes it late, as far as others begin
    prompts earlier. The excess leaves within the horizon, in which the zone's
    own upstreams do the other part.

    Args:
      figures: The load of the service.
      need: What the request needs.
      prefill_ms: The time of its prefill in the own zone.
    """
    own = figures.own
    if own is None:
        return 1.0
    late_ms = own.delay_ms + prefill_ms - find_limit_ms(need)
    rooms = find_rooms(figures, _find_price_ms(figures, need, prefill_ms))
    if not rooms:
        return 0.0
    others = _pool_zones([figures.others[zone] for zone in rooms])
    gap_ms = own.delay_ms - others.forecast_ms
    # Moving work of one ms for each upstream here adds to that of the others
    # by the ratio of their numbers.
    ratio = others.upstream_count / (own.upstream_count + others.upstream_count)
    excess_ms = max(0.0, gap_ms - need.crossing_ms) * ratio
    if late_ms > 0:
        excess_ms = max(excess_ms, min(late_ms, gap_ms * ratio))
    return min(1.0, excess_ms / _HORIZON_MS)


def _find_price_ms(figures: Figures, need: Need, prefill_ms: float) -> float:
    """Returns the price of the crossing; 0 if staying misses the target."""
    own_ms = figures.own.delay_ms if figures.own is not None else math.inf
    if own_ms + prefill_ms > find_limit_ms(need):
        return 0.0
    return need.crossing_ms


def _order_zones(rooms: dict[str, float], key: str) -> list[str]:
    """Returns zones in an order in which each is first by its room.

    Equal keys get the same order from every router, and few keys get another
    order when rooms change: it is a weighted rendezvous hash.
    """

    def score(zone: str) -> float:
        return rooms[zone] / -math.log(_hash(f"{key}/{zone}"))

    return sorted(rooms, key=score, reverse=True)


def _pool_zones(zones: Sequence[ZoneDelay]) -> ZoneDelay:
    """Returns the load of several zones as if they were one."""
    count = sum(zone.upstream_count for zone in zones)

    def average(read: Callable[[ZoneDelay], float]) -> float:
        total = sum(zone.upstream_count * read(zone) for zone in zones)
        return total / count

    return ZoneDelay(
        count,
        average(lambda zone: zone.delay_ms),
        average(lambda zone: zone.rise_ms),
    )


def _estimate_ms(candidate: upstream_choice.Candidate) -> float:
    """Returns the estimated time to the first event, with evictions."""
    return candidate.delay_ms + candidate.cost_ms


def _estimate_event_ms(candidate: upstream_choice.Candidate) -> float:
    """Returns the estimated time to the first event."""
    return candidate.delay_ms + candidate.prefill_ms


def _hash(key: str) -> float:
    """Returns a number between 0 and 1 that is uniform over keys."""
    digest = xxhash.xxh64_intdigest(key.encode()) >> (64 - _HASH_BITS)
    return (digest + 0.5) / (1 << _HASH_BITS)
