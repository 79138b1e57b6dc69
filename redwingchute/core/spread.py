"""Spreads what would otherwise happen at one moment, such as returns."""

import xxhash

_SPREAD_SHARE = 0.25
_MIN_SPREAD_MS = 100
_MAX_SPREAD_MS = 1_000


def spread_delay_ms(delay_ms: int, key: str) -> int:
    """Returns a delay extended by a part that depends on a key.

    The extension is uniformly distributed up to a quarter of the delay, but at
    least up to 0.1 s and at most up to 1 s.

    Args:
      delay_ms: The shortest delay.
      key: Whatever the delays are spread over, such as the host.
    """
    span_ms = int(_SPREAD_SHARE * delay_ms)
    span_ms = min(_MAX_SPREAD_MS, max(_MIN_SPREAD_MS, span_ms))
    return delay_ms + find_offset_ms(span_ms, key)


def find_offset_ms(span_ms: int, key: str) -> int:
    """Returns an offset within a span of time that depends on a key.

    Args:
      span_ms: The length of the span.
      key: Whatever is spread over the span, such as the host.
    """
    return xxhash.xxh64_intdigest(key.encode()) % span_ms
