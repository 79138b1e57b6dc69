"""Tests of the interface and the faults of the stand-in engine."""

import asyncio
import json

from redwingchute.connection import http_client
from redwingchute.standin import engine
from redwingchute.standin import engine_state
from redwingchute.testing import standin_calls

_CHAT = "/v1/chat/completions"
_FAST = engine.EngineFaults(token_interval_ms=0)


async def _complete(
    stand_in: engine.Engine, prompt: str, stream: bool = False, **fields: object
) -> http_client.Fetched:
    body = standin_calls.make_chat(prompt, stream, **fields)
    response = await standin_calls.fetch(
        stand_in.port, "POST", _CHAT, body, [("x-attempt-id", "a-1")]
    )
    assert isinstance(response, http_client.Fetched)
    return response


async def _exercise_completions() -> None:
    async with engine.Engine("m", faults=_FAST) as stand_in:
        whole = json.loads((await _complete(stand_in, "the catch")).body)
        text = whole["choices"][0]["message"]["content"]
        assert whole["usage"]["prompt_tokens"] == 2
        assert whole["usage"]["completion_tokens"] == len(text.split())
        streamed = await _complete(stand_in, "the catch", stream=True)
        assert streamed.headers["x-attempt-id"] == "a-1"
        assert streamed.body.endswith(b"data: [DONE]\n\n")
        chunks = standin_calls.parse_stream(streamed.body)
        assert standin_calls.join_content(chunks) == text
        assert chunks[-1]["usage"] == whole["usage"] | {
            "prompt_tokens_details": {"cached_tokens": 0}
        }
        head = " ".join(text.split()[:5]) + " "
        rest = await _complete(
            stand_in, "the catch", True, continue_from_text=head
        )
        resumed = standin_calls.parse_stream(rest.body)
        assert head + standin_calls.join_content(resumed) == text
        other = json.loads((await _complete(stand_in, "another")).body)
        assert other["choices"][0]["message"]["content"] != text
        short = json.loads(
            (await _complete(stand_in, "the catch", max_tokens=3)).body
        )
        assert short["choices"][0]["finish_reason"] == "length"
        assert short["usage"]["completion_tokens"] == 3
        wrong = await _complete(stand_in, "the catch", continue_from_text="no ")
        assert wrong.status == 400


def test_completions_are_deterministic_and_resume_exactly() -> None:
    asyncio.run(_exercise_completions())


async def _exercise_crash() -> None:
    async with engine.Engine("m", faults=_FAST) as stand_in:
        await standin_calls.set_faults(stand_in, crash_on_text="poison")
        body = standin_calls.make_chat("a poison pill")
        response = await standin_calls.fetch(stand_in.port, "POST", _CHAT, body)
        assert isinstance(response, http_client.ExchangeBroken)
        while stand_in.is_listening:
            await asyncio.sleep(0)
        refused = await standin_calls.fetch(stand_in.port, "POST", _CHAT, body)
        assert isinstance(refused, http_client.ConnectFailed)
        state = await standin_calls.fetch_json(
            stand_in.control_port, "POST", "/control/restart"
        )
        assert state["crashes"] == 1
        assert state["is_listening"]
        assert (await _complete(stand_in, "harmless")).status == 200


def test_crash_on_prompt_drops_connections_until_restart() -> None:
    asyncio.run(_exercise_crash())


async def _exercise_leaving_and_cut() -> None:
    async with engine.Engine("m", faults=_FAST) as stand_in:
        await standin_calls.set_faults(stand_in, is_leaving=True)
        leaving = await _complete(stand_in, "x")
        assert (leaving.status, leaving.headers["x-leaving"]) == (503, "1")
        await standin_calls.set_faults(
            stand_in, is_leaving=False, cut_after_tokens=4
        )
        body = standin_calls.make_chat("x", stream=True)
        cut = await standin_calls.fetch(stand_in.port, "POST", _CHAT, body)
        assert isinstance(cut, http_client.ExchangeBroken)
        state = await standin_calls.read_state(stand_in)
        assert (state["cut"], state["tokens_produced"]) == (1, 4)
        assert state["finished"] == 0


def test_leaving_is_announced_and_streams_are_cut() -> None:
    asyncio.run(_exercise_leaving_and_cut())


async def _exercise_cancel() -> None:
    slow = engine.EngineFaults(token_interval_ms=60_000)
    async with engine.Engine("m", slots=1, faults=slow) as stand_in:
        calls = [
            asyncio.ensure_future(_complete(stand_in, "x")) for _ in range(2)
        ]
        while (await standin_calls.read_state(stand_in))["load"]["queued"] < 1:
            await asyncio.sleep(0)
        for call in calls:
            call.cancel()
        await asyncio.wait(calls)
        while (await standin_calls.read_state(stand_in))["cancelled"] < 2:
            await asyncio.sleep(0)
        state = await standin_calls.read_state(stand_in)
        assert state["load"]["running"] == 0
        assert state["load"]["queued"] == 0


def test_disconnect_cancels_running_and_queued_requests() -> None:
    asyncio.run(_exercise_cancel())


async def _exercise_slots() -> list[str]:
    slots = engine_state.SlotQueue(1)
    served: list[str] = []

    async def run_request(name: str, priority: int) -> None:
        await slots.acquire(priority, lambda: None)
        served.append(name)
        slots.release()

    await slots.acquire(0, lambda: None)
    waiting = [
        asyncio.ensure_future(run_request("late", 9)),
        asyncio.ensure_future(run_request("urgent", 1)),
        asyncio.ensure_future(run_request("next", 9)),
    ]
    await asyncio.sleep(0)
    slots.release()
    await asyncio.gather(*waiting)
    return served


def test_slots_are_assigned_by_priority_then_arrival() -> None:
    assert asyncio.run(_exercise_slots()) == ["urgent", "late", "next"]


async def _exercise_orders() -> None:
    def make_order(order_id: str, fence: int) -> dict[str, object]:
        return {
            "order_id": order_id,
            "fence": fence,
            "action": "load_adapter",
            "subject": "sds",
        }

    async with engine.Engine("m", faults=_FAST) as stand_in:
        statuses = []
        for order_id, fence in (("a", 5), ("b", 4), ("a", 5)):
            body = json.dumps(make_order(order_id, fence)).encode()
            response = await standin_calls.fetch(
                stand_in.port, "POST", "/orders", body
            )
            assert isinstance(response, http_client.Fetched)
            statuses.append(response.status)
        assert statuses == [200, 409, 200]
        assert stand_in.orders.executed == ["a"]
        await standin_calls.set_faults(stand_in, ignores_fencing=True)
        await standin_calls.fetch_json(
            stand_in.port, "POST", "/orders", make_order("b", 4)
        )
        assert stand_in.orders.executed == ["a", "b"]


def test_orders_are_fenced_and_idempotent() -> None:
    asyncio.run(_exercise_orders())


async def _exercise_reports() -> None:
    async with engine.Engine("m", faults=_FAST) as stand_in:
        prompt = "word " * 40
        await _complete(stand_in, prompt)
        events = await standin_calls.fetch_json(
            stand_in.port, "GET", "/cache_events?from=0"
        )
        assert [event["offset"] for event in events["events"]] == [0, 1]
        await standin_calls.set_faults(stand_in, cache_event_gap=2)
        events = await standin_calls.fetch_json(
            stand_in.port, "GET", "/cache_events?from=0"
        )
        assert [event["offset"] for event in events["events"]] == [0]
        await standin_calls.set_faults(
            stand_in, cache_event_lag_ms=3_600_000, load_lag_ms=3_600_000
        )
        events = await standin_calls.fetch_json(
            stand_in.port, "GET", "/cache_events?from=0"
        )
        assert events == {"next": 0, "events": []}
        load = await standin_calls.fetch_json(stand_in.port, "GET", "/load")
        assert load["running"] == 0


def test_cache_events_and_load_reports_lag() -> None:
    asyncio.run(_exercise_reports())
