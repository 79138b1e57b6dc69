"""Tests of the interface and the faults of the stand-in plain service."""

import asyncio

import pytest

from redwingchute.connection import http_client
from redwingchute.standin import service
from redwingchute.testing import standin_calls

_HEADERS = [("x-attempt-id", "a-1"), ("idempotency-key", "lot-7")]


async def _call(stand_in: service.Service) -> object:
    response = await standin_calls.fetch(
        stand_in.port, "PUT", "/certificates/7", b"{}", _HEADERS
    )
    if isinstance(response, http_client.Fetched):
        return response.status
    return type(response)


async def _exercise(faults: dict[str, object]) -> tuple[object, object, int]:
    async with service.Service() as stand_in:
        await standin_calls.set_faults(stand_in, **faults)
        first = await _call(stand_in)
        second = await _call(stand_in)
        state = await standin_calls.read_state(stand_in)
        return first, second, state["runs_by_key"].get("lot-7", 0)


@pytest.mark.parametrize(
    ("faults", "first", "second", "runs"),
    [
        ({}, 200, 200, 2),
        ({"is_leaving": True}, 503, 503, 0),
        ({"fail_before_run": True}, 500, 500, 0),
        ({"fail_before_run": True, "fault_limit": 1}, 500, 200, 1),
        (
            {"close_before_run": True, "fault_limit": 1},
            http_client.ExchangeBroken,
            200,
            1,
        ),
        (
            {"close_after_run": True, "fault_limit": 1},
            http_client.ExchangeBroken,
            200,
            2,
        ),
    ],
)
def test_runs_are_counted_under_each_fault(
    faults: dict[str, object], first: object, second: object, runs: int
) -> None:
    assert asyncio.run(_exercise(faults)) == (first, second, runs)


async def _exercise_disconnect() -> int:
    faults = service.ServiceFaults(slow_ms=60_000)
    async with service.Service(faults=faults) as stand_in:
        call = asyncio.ensure_future(_call(stand_in))
        while stand_in.started == 0:
            await asyncio.sleep(0)
        call.cancel()
        await asyncio.wait({call})
        while stand_in.cancelled == 0:
            await asyncio.sleep(0)
        return len(stand_in.runs)


def test_disconnect_before_the_run_prevents_it() -> None:
    assert asyncio.run(_exercise_disconnect()) == 0
