"""Tracks the rates to which upstreams limit the requests of the fleet.

A limit holds for one start of an upstream, from the first response that names
it until one that names another or none. Responses overtake each other: one
whose request was sent before the newest change was known says nothing new.
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

    def find(self, start: forwarding.UpstreamStart) -> rate_limiting.KnownLimit:
        """Returns what is known of the limit of a start of an upstream."""
        return self._limits.get(start, _UNKNOWN) if self._limits else _UNKNOWN

    def record_response(
        self,
        start: forwarding.UpstreamStart,
        named: rate_limiting.NamedLimit,
        sent_revision: int,
        is_rejection: bool,
    ) -> bool:
        """Records what a response names.

        Args:
          start: The start of the upstream that responded.
          named: What the response names.
          sent_revision: The revision that was known when the request was sent.
          is_rejection: Whether the request was not run. A rejection may come
            from a part of the upstream that knows no limit, so it ends none.

        Returns:
          Whether the limit has changed.
        """
        known = self.find(start)
        if sent_revision != known.revision:
            return False
        match named:
            case rate_limiting.RateLimit(requests_per_s):
                pass
            case rate_limiting.NoLimit() if not is_rejection:
                requests_per_s = math.inf
            case _:
                return False
        if requests_per_s == known.requests_per_s:
            return False
        self._set(
            start,
            rate_limiting.KnownLimit(known.revision + 1, requests_per_s),
        )
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
        if (
            limit.revision == known.revision
            and limit.requests_per_s > known.requests_per_s
        ):
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
