"""Models the prompt caches and prefill speeds of upstreams.

An upstream caches the prompt parts that it processed recently, so a request
with the same parts needs little prefill there. The prefill speed of each
upstream is a moving average over the times to first event of requests with
large prompts, which follows an upstream that becomes slow.
"""

from collections.abc import Iterable

import attrs

from redwingchute.core import forwarding

# How long engines keep a prompt part in their cache under their rated load.
_KEPT_MS = 12_000
_MAX_PARTS = 4_096
# Prefill speed before the first sample; slower than engines of the size in use.
_FIRST_MS_PER_TOKEN = 0.025
_LEAST_MS_PER_TOKEN = 0.005
_MOST_MS_PER_TOKEN = 0.4
# The time to first event of smaller prompts depends more on the network than
# on the engine.
_MIN_SAMPLE_TOKENS = 4_000
# The time to first event of a request without prefill.
_BASE_MS = 25
# The weight of the newest sample.
_SAMPLE_WEIGHT = 0.2
# The weight of shared tokens that are not cached at an upstream: caching them
# there evicts other parts, which then need prefill again.
_REREAD_WEIGHT = 5.0


@attrs.define
class _Upstream:
    """The prefill speed of one upstream and its cached parts, oldest first."""

    ms_per_token: float | None = None
    read_ms: dict[str, int] = attrs.Factory(dict)


class PrefillModel:
    """The cached prompt parts and prefill speeds of all upstreams."""

    def __init__(self) -> None:
        """Creates a model without samples."""
        self._upstreams: dict[str, _Upstream] = {}
        self._mean_ms_per_token = _FIRST_MS_PER_TOKEN

    def note_read(
        self, upstream_id: str, part_ids: Iterable[str], now_ms: int
    ) -> None:
        """Records that an upstream processes prompt parts now."""
        read_ms = self._find(upstream_id).read_ms
        for part_id in part_ids:
            read_ms.pop(part_id, None)
            read_ms[part_id] = now_ms
        while len(read_ms) > _MAX_PARTS:
            del read_ms[next(iter(read_ms))]

    def find_cold_tokens(
        self, upstream_id: str, generation: forwarding.Generation, now_ms: int
    ) -> int:
        """Returns how many tokens of a prompt an upstream has not cached."""
        return generation.prompt_tokens - self._count_warm(
            upstream_id, generation, now_ms
        )

    def find_cost_ms(
        self, upstream_id: str, generation: forwarding.Generation, now_ms: int
    ) -> float:
        """Returns the cost of a prefill, including that of evicted parts."""
        warm = self._count_warm(upstream_id, generation, now_ms)
        shared = sum(part.tokens for part in generation.shared_parts)
        own = max(0, generation.prompt_tokens - shared)
        weighed = own + _REREAD_WEIGHT * max(0, shared - warm)
        return weighed * self.find_ms_per_token(upstream_id)

    def find_ms_per_token(self, upstream_id: str) -> float:
        """Returns the prefill time of one token; the mean without samples."""
        known = self._find(upstream_id).ms_per_token
        return known if known is not None else self._mean_ms_per_token

    def note_first_event(
        self, upstream_id: str, tokens: int, elapsed_ms: int
    ) -> None:
        """Updates the prefill speeds when a request has its first event.

        Args:
          upstream_id: The upstream that runs the request.
          tokens: The prompt tokens that it had to process first, including
            those of earlier requests.
          elapsed_ms: The time since the request was sent.
        """
        if tokens < _MIN_SAMPLE_TOKENS:
            return
        sample = max(0, elapsed_ms - _BASE_MS) / tokens
        sample = min(max(sample, _LEAST_MS_PER_TOKEN), _MOST_MS_PER_TOKEN)
        state = self._find(upstream_id)
        before = self.find_ms_per_token(upstream_id)
        state.ms_per_token = before + _SAMPLE_WEIGHT * (sample - before)
        self._mean_ms_per_token += (
            _SAMPLE_WEIGHT * (sample - self._mean_ms_per_token) / 2
        )

    def forget(self, upstream_id: str) -> None:
        """Discards the state of a removed upstream."""
        self._upstreams.pop(upstream_id, None)

    def _count_warm(
        self, upstream_id: str, generation: forwarding.Generation, now_ms: int
    ) -> int:
        """Returns how many tokens of the shared parts an upstream has cached.

        Caches hold prefixes, so parts after the first missing one don't count.
        """
        read_ms = self._find(upstream_id).read_ms
        warm = 0
        for part in generation.shared_parts:
            if now_ms - read_ms.get(part.id, -_KEPT_MS) >= _KEPT_MS:
                break
            warm += part.tokens
        return warm

    def _find(self, upstream_id: str) -> _Upstream:
        """Returns the state of an upstream, which is created if missing."""
        return self._upstreams.setdefault(upstream_id, _Upstream())
