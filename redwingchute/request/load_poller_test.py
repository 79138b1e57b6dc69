"""Tests of the period at which upstreams are polled."""

import pytest

from redwingchute.request import load_poller


@pytest.mark.parametrize(
    ("upstream_count", "period_ms"),
    [(0, 1_000), (6, 1_000), (8, 1_000), (24, 3_000), (144, 18_000)],
)
def test_polls_per_second_are_bounded(
    upstream_count: int, period_ms: int
) -> None:
    assert load_poller.find_period_ms(upstream_count) == period_ms
