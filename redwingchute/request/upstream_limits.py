"""Tracks the limits that upstreams name to the fleet.

A limit holds for one start of an upstream, from the first response that names
it until one that names another or none. Responses overtake each other: one
whose request was sent before the newest change was known says nothing new.

A brittle upstream that failed starts again, and so do others of its service. A
start that has not responded yet is taken as brittle if a start of its service
was lately.
"""

import math

import attrs

from redwingchute.core import forwarding
from redwingchute.core import rate_limiting

# The limits that were learned first are discarded beyond this number.
_MAX_LIMITS = 8_192
# Blocks that have ended are discarded beyond this number.
_MAX_BLOCKS = 256
_UNKNOWN = rate_limiting.KnownLimit()
_NO_LIMIT = rate_limiting.NoLimit()
# How long the starts of a service count as brittle after one of them was.
_BRITTLE_SERVICE_MS = 10_000


@attrs.frozen
class _Block:
    """Until when no request to an upstream will be permitted.

    Attributes:
      urgent_end_ms: For requests of the highest priority.
      other_end_ms: For all other requests.
    """

    urgent_end_ms: int = 0
    other_end_ms: int = 0


class UpstreamLimits:
    """The limits of upstreams, as one router knows them."""

    def __init__(self) -> None:
        """Creates an instance without limits."""
        self._limits: dict[
            forwarding.UpstreamStart, rate_limiting.KnownLimit
        ] = {}
        self._unreadable: set[forwarding.UpstreamStart] = set()
        self._blocks: dict[forwarding.UpstreamStart, _Block] = {}
        # The brittleness that starts of a service named last, and when.
        self._brittle_services: dict[str, tuple[float, int]] = {}

    def find_for(
        self, upstream: forwarding.Upstream, now_ms: int
    ) -> rate_limiting.KnownLimit:
        """Returns what is known or assumed of the limit of an upstream."""
        limit = self.find(upstream.start)
        if limit.revision or not self._brittle_services:
            return limit
        rejections_per_s, named_ms = self._brittle_services.get(
            upstream.service, (math.inf, 0)
        )
        if now_ms - named_ms > _BRITTLE_SERVICE_MS:
            return limit
        return attrs.evolve(limit, rejections_per_s=rejections_per_s)

    def record_brittle_service(
        self, service: str, limit: rate_limiting.KnownLimit, now_ms: int
    ) -> None:
        """Records that an upstream of a service is brittle, if it is."""
        if limit.is_brittle:
            self._brittle_services[service] = (limit.rejections_per_s, now_ms)

    def find(self, start: forwarding.UpstreamStart) -> rate_limiting.KnownLimit:
        """Returns what is known of the limit of a start of an upstream."""
        return self._limits.get(start, _UNKNOWN) if self._limits else _UNKNOWN

    def record_response(
        self,
        start: forwarding.UpstreamStart,
        named: rate_limiting.NamedLimit,
        sent_revision: int,
        is_rejection: bool,
        named_rejections: rate_limiting.NamedLimit = _NO_LIMIT,
    ) -> bool:
        """Records what a response names.

        Args:
          start: The start of the upstream that responded.
          named: What the response names.
          sent_revision: The revision that was known when the request was sent.
          is_rejection: Whether the request was not run. A rejection may come
            from a part of the upstream that knows no limit, so it ends none.
          named_rejections: What it names of its brittleness.

        Returns:
          Whether the limit has changed.
        """
        known = self.find(start)
        if sent_revision != known.revision:
            return False
        changed = rate_limiting.KnownLimit(
            known.revision + 1,
            _choose_rate(named, known.requests_per_s, is_rejection),
            _choose_rate(
                named_rejections, known.rejections_per_s, is_rejection
            ),
        )
        if attrs.evolve(changed, revision=known.revision) == known:
            return False
        self._set(start, changed)
        return True

    def record_unreadable(self, start: forwarding.UpstreamStart) -> bool:
        """Records an unreadable limit; returns whether it is the first one."""
        if start in self._unreadable or len(self._unreadable) >= _MAX_LIMITS:
            return False
        self._unreadable.add(start)
        return True

    def merge(
        self,
        start: forwarding.UpstreamStart,
        limit: rate_limiting.KnownLimit,
    ) -> bool:
        """Merges what another router knows; returns whether it is new.

        Of two changes with the same revision the stricter one holds. The next
        response of the upstream decides.
        """
        known = self.find(start)
        if limit.revision < known.revision or limit == known:
            return False
        if limit.revision == known.revision:
            limit = attrs.evolve(
                limit,
                requests_per_s=min(limit.requests_per_s, known.requests_per_s),
                rejections_per_s=min(
                    limit.rejections_per_s, known.rejections_per_s
                ),
            )
            if limit == known:
                return False
        self._set(start, limit)
        return True

    def block(
        self,
        start: forwarding.UpstreamStart,
        is_urgent: bool,
        end_ms: int,
        now_ms: int,
    ) -> None:
        """Records that a request to an upstream was not permitted.

        Args:
          start: The start of the upstream.
          is_urgent: Whether the request has the highest priority; what is not
            permitted to such a request is permitted to no other.
          end_ms: When the next one may be permitted.
          now_ms: The current time.
        """
        known = self._blocks.get(start, _Block())
        urgent_end_ms = end_ms if is_urgent else known.urgent_end_ms
        self._blocks[start] = _Block(
            urgent_end_ms, max(end_ms, known.other_end_ms)
        )
        if len(self._blocks) > _MAX_BLOCKS:
            self._blocks = {
                other: block
                for other, block in self._blocks.items()
                if block.other_end_ms > now_ms
            }

    def find_block_end_ms(
        self, start: forwarding.UpstreamStart, is_urgent: bool
    ) -> int:
        """Returns until when no request will be permitted; a past time if any.

        Args:
          start: The start of the upstream.
          is_urgent: Whether the request has the highest priority.
        """
        block = self._blocks.get(start) if self._blocks else None
        if block is None:
            return 0
        return block.urgent_end_ms if is_urgent else block.other_end_ms

    def _set(
        self,
        start: forwarding.UpstreamStart,
        limit: rate_limiting.KnownLimit,
    ) -> None:
        """Sets a limit and bounds the number of limits."""
        self._blocks.pop(start, None)
        self._limits[start] = limit
        while len(self._limits) > _MAX_LIMITS:
            del self._limits[next(iter(self._limits))]


def _choose_rate(
    named: rate_limiting.NamedLimit, known: float, is_rejection: bool
) -> float:
    """Returns the limit after a response; infinite if it has ended."""
    match named:
        case rate_limiting.RateLimit(requests_per_s):
            return requests_per_s
        case rate_limiting.NoLimit() if not is_rejection:
            return math.inf
        case _:
            return known
