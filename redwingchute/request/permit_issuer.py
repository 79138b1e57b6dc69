"""Issues permits for requests to upstreams that limit their rate.

Each limited upstream has a token bucket, which starts empty, so that a limiter
that starts again has no permits that its earlier process may have issued. The
last permit of a bucket is kept for requests of the highest priority.

An upstream that is cold bears its rate in each second, so its buckets are
small: those of all hosts that may issue at the same time hold five permits.
"""

import math

import attrs

from redwingchute.core import forwarding

# The least rate: without any request nobody learns that a limit has ended.
_MIN_REQUESTS_PER_S = 0.1
_MIN_BURST = 2.0
_BURST_S = 0.25
# The bursts of cold upstreams: of a limiter that holds most of the rate, and of
# others, of which there may be two at the same time. The users allow five
# requests beyond the rate in a second.
_COLD_BURST = 2.0
_COLD_MINOR_BURST = 1.5
_MAJOR_SHARE = 0.5
# Buckets that were not used for the longest time are discarded beyond this
# number.
_MAX_BUCKETS = 8_192


@attrs.define
class _Bucket:
    """The permits that are left for one start of an upstream.

    Attributes:
      permits: The number of permits at `updated_ms`.
      updated_ms: When the number was computed.
    """

    permits: float
    updated_ms: int


class PermitIssuer:
    """The permits that one router issues."""

    def __init__(self, is_for_cold: bool = False) -> None:
        """Creates an issuer without permits.

        Args:
          is_for_cold: Whether its permits are for cold upstreams.
        """
        self._is_for_cold = is_for_cold
        self._buckets: dict[forwarding.UpstreamStart, _Bucket] = {}

    def issue(
        self,
        start: forwarding.UpstreamStart,
        requests_per_s: float,
        share: float,
        is_urgent: bool,
        now_ms: int,
    ) -> int:
        """Issues a permit for one request, if there is one.

        Args:
          start: The start of the upstream that the request is for.
          requests_per_s: The limit of the upstream.
          share: The part of it that this router holds, above 0.
          is_urgent: Whether the request has the highest priority.
          now_ms: The current time.

        Returns:
          0 if a permit was issued, otherwise the time in ms until there is
          one, if nobody asks before.
        """
        rate_per_s = share * max(requests_per_s, _MIN_REQUESTS_PER_S)
        bucket = self._buckets.pop(start, _Bucket(0.0, now_ms))
        self._buckets[start] = bucket
        while len(self._buckets) > _MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        elapsed_s = max(0, now_ms - bucket.updated_ms) / 1_000
        burst = self._find_burst(rate_per_s, share)
        bucket.permits = min(bucket.permits + rate_per_s * elapsed_s, burst)
        bucket.updated_ms = now_ms
        needed = 1.0 if is_urgent else min(2.0, burst)
        if bucket.permits >= needed:
            bucket.permits -= 1.0
            return 0
        return max(1, math.ceil(1_000 * (needed - bucket.permits) / rate_per_s))

    def _find_burst(self, rate_per_s: float, share: float) -> float:
        """Returns the most permits that a bucket holds."""
        if not self._is_for_cold:
            return max(_MIN_BURST, rate_per_s * _BURST_S)
        return _COLD_BURST if share >= _MAJOR_SHARE else _COLD_MINOR_BURST

    def take_back(self, start: forwarding.UpstreamStart) -> None:
        """Takes back a permit that was not used."""
        bucket = self._buckets.get(start)
        if bucket is not None:
            bucket.permits += 1.0
