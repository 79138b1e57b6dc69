"""Tests of the moving average of tokens per second."""

import pytest

from redwingchute.process.prepaid import token_rate


def test_a_steady_rate_is_found_from_the_start() -> None:
    rate = token_rate.TokenRate()
    for time_ms in range(0, 12_000, 100):
        rate.record(100, time_ms)
    assert rate.find(12_000) == pytest.approx(1_000, rel=0.2)


def test_a_restored_rate_decays() -> None:
    rate = token_rate.TokenRate()
    rate.restore(500.0, 1_000)
    assert rate.find(1_000) > 500
    assert rate.find(8_000) == 0
