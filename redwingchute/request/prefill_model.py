"""Models the prompt caches and prefill speeds of upstreams.

An upstream caches the prompt parts that it processed recently, so a request
with the same parts needs little prefill there. The prefill speed of each
upstream is a moving average over the times to first event of requests with
large prompts, so that an upstream that becomes slow is soon estimated as slow.
"""

from collections.abc import Iterable

import attrs

from redwingchute.core import forwarding

# How long engines keep a prompt part in their cache under their rated load.
_CACHE_TTL_MS = 12_000
# The number of prompt parts kept for one upstream; bounds the memory.
_MAX_PARTS = 4_096
# The parts remembered for all upstreams; some 12 MB.
_MAX_ALL_PARTS = 65_536
# Prefill speed before the first sample; slower than engines of the size in use.
_INITIAL_MS_PER_TOKEN = 0.025
# Samples outside this range are set to its nearest bound.
_MIN_MS_PER_TOKEN = 0.005
_MAX_MS_PER_TOKEN = 0.4
# The time to first event of smaller prompts depends more on the network than
# on the engine.
_MIN_SAMPLE_TOKENS = 4_000
# The time to first event of a request without prefill.
_BASE_LATENCY_MS = 25
# The weight of the newest sample in an upstream's moving average.
_SAMPLE_WEIGHT = 0.2
# The weight of shared tokens that are not cached at an upstream: caching them
# there evicts other parts, which then need prefill again.
_UNCACHED_SHARED_WEIGHT = 5.0


@attrs.define
class _UpstreamState:
    """The cached prompt parts and prefill speed of one upstream.

    Attributes:
      ms_per_token: Its average prefill time of one token; None before the
        first sample.
      processed_ms: When it last processed each prompt part, by the part's
        id; the oldest first.
    """

    ms_per_token: float | None = None
    processed_ms: dict[str, int] = attrs.Factory(dict)


class PrefillModel:
    """The cached prompt parts and prefill speeds of all upstreams."""

    def __init__(self) -> None:
        """Creates a model without samples."""
        self._upstreams: dict[str, _UpstreamState] = {}
        self._mean_ms_per_token = _INITIAL_MS_PER_TOKEN

    def record_prefill(
        self, upstream_id: str, part_ids: Iterable[str], now_ms: int
    ) -> None:
        """Records that an upstream processes prompt parts now."""
        processed_ms = self._get_state(upstream_id).processed_ms
        for part_id in part_ids:
            processed_ms.pop(part_id, None)
            processed_ms[part_id] = now_ms
        max_parts = min(_MAX_PARTS, _MAX_ALL_PARTS // len(self._upstreams))
        while len(processed_ms) > max_parts:
            del processed_ms[next(iter(processed_ms))]

    def count_uncached_tokens(
        self, upstream_id: str, generation: forwarding.Generation, now_ms: int
    ) -> int:
        """Returns how many tokens of a prompt an upstream has not cached.

        A caller may state fewer tokens than its parts have.
        """
        cached_tokens = self._count_cached_tokens(
            upstream_id, generation, now_ms
        )
        return max(0, generation.prompt_tokens - cached_tokens)

    def estimate_cost_ms(
        self, upstream_id: str, generation: forwarding.Generation, now_ms: int
    ) -> float:
        """Returns the time of a prefill, plus that of the parts it evicts."""
        cached_tokens = self._count_cached_tokens(
            upstream_id, generation, now_ms
        )
        shared_tokens = sum(part.tokens for part in generation.shared_parts)
        own_tokens = max(0, generation.prompt_tokens - shared_tokens)
        weighted_tokens = own_tokens + _UNCACHED_SHARED_WEIGHT * max(
            0, shared_tokens - cached_tokens
        )
        return weighted_tokens * self.estimate_ms_per_token(upstream_id)

    def estimate_ms_per_token(self, upstream_id: str) -> float:
        """Returns the prefill time of one token.

        For an upstream without samples this is the average of all upstreams.
        """
        mean = self._get_state(upstream_id).ms_per_token
        return mean if mean is not None else self._mean_ms_per_token

    def record_first_event(
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
        sample = max(0, elapsed_ms - _BASE_LATENCY_MS) / tokens
        sample = min(max(sample, _MIN_MS_PER_TOKEN), _MAX_MS_PER_TOKEN)
        state = self._get_state(upstream_id)
        mean = self.estimate_ms_per_token(upstream_id)
        state.ms_per_token = mean + _SAMPLE_WEIGHT * (sample - mean)
        # The mean of all gets the samples of every upstream, at half of their
        # weight: one slow upstream changes it less than its own average.
        self._mean_ms_per_token += (
            _SAMPLE_WEIGHT * (sample - self._mean_ms_per_token) / 2
        )

    def remove(self, upstream_id: str) -> None:
        """Discards the state of a removed upstream."""
        self._upstreams.pop(upstream_id, None)

    def _count_cached_tokens(
        self, upstream_id: str, generation: forwarding.Generation, now_ms: int
    ) -> int:
        """Returns how many tokens of the shared parts an upstream has cached.

        Caches hold prefixes, so parts after the first missing one don't count.
        """
        processed_ms = self._get_state(upstream_id).processed_ms
        cached_tokens = 0
        for part in generation.shared_parts:
            if (
                now_ms - processed_ms.get(part.id, -_CACHE_TTL_MS)
                >= _CACHE_TTL_MS
            ):
                break
            cached_tokens += part.tokens
        return cached_tokens

    def _get_state(self, upstream_id: str) -> _UpstreamState:
        """Returns the state of an upstream, which is created if missing."""
        state = self._upstreams.get(upstream_id)
        if state is None:
            state = self._upstreams[upstream_id] = _UpstreamState()
        return state
