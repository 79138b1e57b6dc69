"""Tests of the clock without steps."""

import time

import pytest

from redwingchute.process import steady_clock


def test_clock_ignores_steps_of_the_wall_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    wall_ns, elapsed_ns = 1_700_000_000_000_000_000, 5_000_000
    monkeypatch.setattr(time, "time_ns", lambda: wall_ns)
    monkeypatch.setattr(time, "monotonic_ns", lambda: elapsed_ns)
    clock = steady_clock.SteadyClock()
    wall_ns -= 86_400_000_000_000
    elapsed_ns += 2_000_000
    assert clock.read_ms() == 1_700_000_000_002
