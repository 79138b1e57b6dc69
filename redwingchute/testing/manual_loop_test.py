"""Tests of the manual loop and its processes."""

import asyncio

import pytest

from redwingchute.testing import manual_loop


async def _tick(seen: list[float], period_s: float) -> None:
    while True:
        await asyncio.sleep(period_s)
        seen.append(asyncio.get_running_loop().time())


async def _freeze_and_kill() -> list[float]:
    seen: list[float] = []
    process = manual_loop.SimulatedProcess("huon-1")
    process.spawn(_tick(seen, 10.0))
    await asyncio.sleep(25)
    process.freeze()
    await asyncio.sleep(100)
    process.resume()
    await asyncio.sleep(15)
    process.kill()
    await asyncio.sleep(1_000)
    return seen


def test_frozen_process_runs_late_and_killed_one_never() -> None:
    assert manual_loop.run(_freeze_and_kill()) == [10, 20, 125, 135]


async def _cancel_while_frozen() -> list[str]:
    seen: list[str] = []
    process = manual_loop.SimulatedProcess("huon-1")

    async def set_timers() -> None:
        loop = asyncio.get_running_loop()
        late = loop.call_later(20, seen.append, "late")
        loop.call_later(10, late.cancel)
        loop.call_later(30, seen.append, "last")

    process.spawn(set_timers())
    await asyncio.sleep(5)
    process.freeze()
    await asyncio.sleep(50)
    process.resume()
    await asyncio.sleep(1)
    return seen


def test_timer_cancelled_by_an_earlier_one_does_not_run() -> None:
    assert manual_loop.run(_cancel_while_frozen()) == ["last"]


def test_deadlock_is_an_error() -> None:
    async def wait_for_nothing() -> None:
        await asyncio.Event().wait()

    with pytest.raises(manual_loop.StalledError):
        manual_loop.run(wait_for_nothing())
