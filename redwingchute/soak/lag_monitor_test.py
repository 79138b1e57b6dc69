"""Tests the measurement of the soak's own delays."""

import asyncio
import time

from redwingchute.soak import lag_monitor

_BLOCKED_S = 0.2


def test_a_blocked_event_loop_is_measured() -> None:
    async def block() -> int:
        async with lag_monitor.LagMonitor() as monitor:
            await asyncio.sleep(0)
            time.sleep(_BLOCKED_S)  # Longer than the timer's period.
            await asyncio.sleep(0.01)
        return monitor.max_lag_ms

    assert asyncio.run(block()) >= 100
