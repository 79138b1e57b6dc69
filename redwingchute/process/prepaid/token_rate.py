"""A moving average of tokens per second."""

import math

# The time constant of the moving average.
_WINDOW_MS = 6_000
# The rate counts as observed since this long before the first tokens. A
# shorter time would make the first requests result in an extreme rate.
_INITIAL_SPAN_MS = 3_000


class TokenRate:
    """The recent rate of some event's tokens, 0 before the first one."""

    def __init__(self) -> None:
        """Starts without events."""
        self._tokens = 0.0
        self._decayed_at_ms = 0
        self._since_ms: int | None = None

    def record(self, tokens: int, now_ms: int) -> None:
        """Records the tokens of an event.

        Args:
          tokens: The tokens.
          now_ms: The time on the boot clock.
        """
        if self._since_ms is None:
            self._since_ms = now_ms - _INITIAL_SPAN_MS
        self._decay(now_ms)
        self._tokens += tokens

    def find(self, now_ms: int) -> float:
        """Returns the recent rate in tokens per second.

        Args:
          now_ms: The time on the boot clock.
        """
        if self._since_ms is None:
            return 0.0
        self._decay(now_ms)
        seen_share = 1 - math.exp(-(now_ms - self._since_ms) / _WINDOW_MS)
        return self._tokens * 1000 / _WINDOW_MS / seen_share

    def restore(self, tokens_per_s: float, now_ms: int) -> None:
        """Continues with a rate that another process observed.

        Args:
          tokens_per_s: The rate.
          now_ms: The time on the boot clock.
        """
        self._tokens = tokens_per_s * _WINDOW_MS / 1000
        self._decayed_at_ms = now_ms
        if tokens_per_s > 0:
            self._since_ms = now_ms - _WINDOW_MS

    def _decay(self, now_ms: int) -> None:
        """Reduces the recorded tokens by the time since the last call."""
        elapsed_ms = max(0, now_ms - self._decayed_at_ms)
        self._decayed_at_ms = now_ms
        self._tokens *= max(0.0, 1 - elapsed_ms / _WINDOW_MS)
