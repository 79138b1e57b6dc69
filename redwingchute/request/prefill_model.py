"""What upstreams have read of shared prompts, and how fast they read.

An upstream keeps the prompt parts that it read lately, so a request with the
same parts costs it little. The speed is learned from the time to the first
event of requests with much to read; an upstream that turned slow shows soon.
"""

from collections.abc import Iterable

import attrs

from redwingchute.core import forwarding

# Engines keep a part for about as long under the load that they are sized for.
_KEPT_MS = 12_000
_MAX_PARTS = 4_096
# Until something is measured; engines of the size in use read faster.
_FIRST_MS_PER_TOKEN = 0.025
_LEAST_MS_PER_TOKEN = 0.005
_MOST_MS_PER_TOKEN = 0.4
# Smaller requests tell more about the network than about the engine.
_MIN_SAMPLE_TOKENS = 4_000
# The time to a first event of a request with nothing to read.
_BASE_MS = 25
# The weight of the newest sample.
_SAMPLE_WEIGHT = 0.2
# A shared part that is read once more also drives out others.
_REREAD_WEIGHT = 5.0


@attrs.define
class _Upstream:
    """What is known of one upstream."""

    ms_per_token: float | None = None
    read_ms: dict[str, int] = attrs.Factory(dict)


class PrefillModel:
    """The prompts and speeds of all upstreams."""

    def __init__(self) -> None:
        """Starts without knowledge."""
        self._upstreams: dict[str, _Upstream] = {}
        self._mean_ms_per_token = _FIRST_MS_PER_TOKEN

    def note_read(
        self, upstream_id: str, part_ids: Iterable[str], now_ms: int
    ) -> None:
        """Notes that an upstream reads prompt parts now."""
        read_ms = self._find(upstream_id).read_ms
        for part_id in part_ids:
            read_ms.pop(part_id, None)
            read_ms[part_id] = now_ms
        while len(read_ms) > _MAX_PARTS:
            del read_ms[next(iter(read_ms))]

    def find_cold_tokens(
        self, upstream_id: str, generation: forwarding.Generation, now_ms: int
    ) -> int:
        """Returns the tokens of a prompt that an upstream has yet to read."""
        return generation.prompt_tokens - self._count_warm(
            upstream_id, generation, now_ms
        )

    def find_cost_ms(
        self, upstream_id: str, generation: forwarding.Generation, now_ms: int
    ) -> float:
        """Returns the reading time of a prompt, with what it drives out."""
        warm = self._count_warm(upstream_id, generation, now_ms)
        shared = sum(part.tokens for part in generation.shared_parts)
        own = max(0, generation.prompt_tokens - shared)
        weighed = own + _REREAD_WEIGHT * max(0, shared - warm)
        return weighed * self.find_ms_per_token(upstream_id)

    def find_ms_per_token(self, upstream_id: str) -> float:
        """Returns how long an upstream takes to read one token."""
        known = self._find(upstream_id).ms_per_token
        return known if known is not None else self._mean_ms_per_token

    def note_first_event(
        self, upstream_id: str, tokens: int, elapsed_ms: int
    ) -> None:
        """Learns from a request that has its first event.

        Args:
          upstream_id: Where it runs.
          tokens: What the upstream had to read before, that of requests ahead
            included.
          elapsed_ms: How long after the request was sent that was.
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
        """Forgets an upstream that is gone."""
        self._upstreams.pop(upstream_id, None)

    def _count_warm(
        self, upstream_id: str, generation: forwarding.Generation, now_ms: int
    ) -> int:
        """Returns the tokens of the shared parts that an upstream keeps."""
        read_ms = self._find(upstream_id).read_ms
        warm = 0
        for part in generation.shared_parts:
            if now_ms - read_ms.get(part.id, -_KEPT_MS) >= _KEPT_MS:
                break
            warm += part.tokens
        return warm

    def _find(self, upstream_id: str) -> _Upstream:
        """Returns the state of an upstream."""
        return self._upstreams.setdefault(upstream_id, _Upstream())
