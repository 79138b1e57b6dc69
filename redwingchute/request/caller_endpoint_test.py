"""Tests of request handling with stand-in upstreams on loopback."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json

import attrs
import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import configuration
from redwingchute.standin import completions
from redwingchute.standin import engine
from redwingchute.standin import service
from redwingchute.testing import request_rig
from redwingchute.testing import standin_calls

_PROMPT = "reconcile shift seven"
_FAST = engine.EngineFaults(token_interval_ms=1)


@contextlib.asynccontextmanager
async def _start_rig(
    faults: list[engine.EngineFaults],
    zones: tuple[str, ...] = ("huon",),
    router_count: int = 1,
) -> AsyncIterator[tuple[request_rig.RequestRig, list[engine.Engine]]]:
    """Starts routers in zone huon and one engine for each item of `faults`.

    Engines get the zones in turn; a router prefers the engines of its own zone.
    """
    async with contextlib.AsyncExitStack() as stack:
        engines = [
            await stack.enter_async_context(
                engine.Engine(request_rig.MODEL, f"runner-{n}", faults=fault)
            )
            for n, fault in enumerate(faults)
        ]
        current = request_rig.make_configuration(list(engines), zones=zones)
        rig = request_rig.RequestRig(current, router_count)
        yield await stack.enter_async_context(rig), engines


async def _wait_until(condition: Callable[[], bool]) -> None:
    """Waits for a condition; the time limit of the test bounds the wait."""
    while not condition():
        await asyncio.sleep(0.01)


def _list_expected_tokens(prompt: str) -> list[str]:
    return completions.list_completion_tokens(request_rig.MODEL, prompt, 0)


@pytest.mark.parametrize("cut_after_tokens", [0, 1, 5, 11])
def test_interrupted_stream_is_resumed_and_billed_once(
    cut_after_tokens: int,
) -> None:
    async def run() -> None:
        interrupting = attrs.evolve(_FAST, cut_after_tokens=cut_after_tokens)
        zones = ("huon", "bruny")
        async with _start_rig([interrupting, _FAST], zones) as (rig, engines):
            reply = await rig.chat(_PROMPT)
            expected_tokens = _list_expected_tokens(_PROMPT)
            chunks = standin_calls.parse_stream(reply.body)
            assert standin_calls.join_content(chunks) == "".join(
                expected_tokens
            )
            assert len({chunk["id"] for chunk in chunks}) == 1
            assert reply.body.count(b"[DONE]") == 1
            usage = chunks[-1]["usage"]
            assert usage["completion_tokens"] == len(expected_tokens)
            assert usage["prompt_tokens"] == 3
            assert [tokens for _, tokens in rig.ledger.bills] == [
                3 + len(expected_tokens)
            ]
            assert [e.started for e in engines] == [1, 1]
            produced = sum(e.tokens_produced for e in engines)
            assert produced == len(expected_tokens)

    asyncio.run(run())


def test_unstreamed_response_is_retried_after_an_interruption() -> None:
    async def run() -> None:
        interrupting = attrs.evolve(_FAST, cut_after_tokens=3)
        async with _start_rig([interrupting, _FAST], ("huon", "bruny")) as (
            rig,
            _,
        ):
            reply = await rig.chat(_PROMPT, stream=False)
            content = json.loads(reply.body)["choices"][0]["message"]
            assert content["content"] == "".join(_list_expected_tokens(_PROMPT))
            assert len(rig.ledger.bills) == 1

    asyncio.run(run())


@pytest.mark.parametrize("are_concurrent", [False, True])
def test_crashing_prompt_crashes_at_most_two_upstreams(
    are_concurrent: bool,
) -> None:
    async def run() -> None:
        crashing = attrs.evolve(_FAST, crash_on_text="poison")
        async with _start_rig([crashing] * 6, router_count=2) as (rig, engines):
            unrelated = [
                asyncio.create_task(rig.chat(f"innocent {n}", n % 2))
                for n in range(8)
            ]
            if are_concurrent:
                replies = await asyncio.gather(
                    *(rig.chat("poison") for _ in range(20))
                )
            else:
                replies = [await rig.chat("poison", n % 2) for n in range(20)]
            # An engine counts one crash for each copy that it was running.
            assert sum(e.crashes > 0 for e in engines) == 2
            assert {reply.error["code"] for reply in replies} == {"quarantined"}
            types = [reply.error["type"] for reply in replies]
            # Only the copies that were sent to an engine may be `failed`.
            ran = 1 if not are_concurrent else types.count("failed")
            assert types.count("failed") == ran >= 1
            assert types.count("not_run") == 20 - ran
            for number, task in enumerate(unrelated):
                reply = await task
                chunks = standin_calls.parse_stream(reply.body)
                expected_text = "".join(
                    _list_expected_tokens(f"innocent {number}")
                )
                assert standin_calls.join_content(chunks) == expected_text
            for other in rig.dispatchers:
                (entry,) = other.list_quarantined()
                assert entry.account == "huon"

    asyncio.run(run())


def test_quarantine_is_per_account_and_can_be_lifted() -> None:
    async def run() -> None:
        crashing = attrs.evolve(_FAST, crash_on_text="poison")
        async with _start_rig([crashing] * 4, router_count=2) as (rig, engines):
            await rig.chat("poison")
            for crashed in engines:
                crashed.faults = _FAST
            assert (await rig.chat("poison", 1)).status == 422
            assert (await rig.chat("poison", 1, account="bruny")).status == 200
            (entry,) = rig.dispatchers[0].list_quarantined()
            assert rig.dispatchers[0].lift_quarantine(
                entry.account, entry.digest, "operator"
            )
            assert (await rig.chat("poison", 1)).status == 200

    asyncio.run(run())


def test_leaving_engine_is_reported_to_other_routers_and_avoided() -> None:
    async def run() -> None:
        leaving = attrs.evolve(_FAST, is_leaving=True)
        zones = ("huon", "bruny")
        async with _start_rig([leaving, _FAST], zones, 2) as (rig, engines):
            assert (await rig.chat(_PROMPT)).status == 200
            # An engine that is leaving still reports its load.
            await rig.poll_upstreams()
            for other in rig.dispatchers:
                states = [state.state for state in other.list_upstreams()]
                assert states == ["leaving", "live"]
            engines[0].faults = _FAST
            assert (await rig.chat(_PROMPT, 1)).status == 200
            assert [e.started for e in engines] == [0, 2]
            await engines[0].crash()
            await rig.poll_upstreams()
            await engines[0].restart()
            await rig.poll_upstreams()
            assert (await rig.chat(_PROMPT, 1)).status == 200
            assert engines[0].started == 1

    asyncio.run(run())


def test_whole_pool_down_is_refused_as_not_run() -> None:
    async def run() -> None:
        async with _start_rig([_FAST, _FAST]) as (rig, engines):
            for stopped in engines:
                await stopped.crash()
            for _ in range(3):
                reply = await rig.chat(_PROMPT)
                assert reply.status == 503
                assert reply.error["type"] == "not_run"
                assert "retry-after" in reply.headers
            assert rig.ledger.bills == []
            for started in engines:
                await started.restart()
            await rig.poll_upstreams()
            assert (await rig.chat(_PROMPT)).status == 200

    asyncio.run(run())


def test_unreachable_deadline_is_refused_before_anything_runs() -> None:
    async def run() -> None:
        async with _start_rig([_FAST]) as (rig, engines):
            short = configuration.PatienceRule(
                configuration.WorkKind.INTERACTIVE,
                from_minute=0,
                until_minute=1440,
                weekdays=(1, 2, 3, 4, 5, 6, 7),
                deadline_ms=1,
                priority=0,
            )
            accounts = tuple(
                attrs.evolve(account, patience=(short,))
                for account in rig.current.client_accounts
            )
            rig.current = attrs.evolve(rig.current, client_accounts=accounts)
            reply = await rig.chat(_PROMPT)
            assert reply.error["type"] == "not_run"
            assert reply.error["code"] == "deadline_unreachable"
            assert engines[0].attempt_ids == []

    asyncio.run(run())


def test_cancelled_request_is_cancelled_at_the_engine() -> None:
    async def run() -> None:
        slow = engine.EngineFaults(token_interval_ms=50)
        async with _start_rig([slow]) as (rig, engines):
            task = asyncio.create_task(rig.chat(_PROMPT))
            await _wait_until(lambda: engines[0].tokens_produced > 0)
            task.cancel()
            await _wait_until(lambda: engines[0].cancelled == 1)
            await _wait_until(lambda: rig.ledger.cancelled == 1)
            assert rig.ledger.bills == []

    asyncio.run(run())


def test_response_of_another_attempt_is_never_forwarded() -> None:
    async def respond_with_wrong_attempt_id(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        del request
        headers = [("x-attempt-id", "another")]
        await responder.send(200, b'{"secret": 1}', headers=headers)

    async def run() -> None:
        server = http_server.HttpServer(
            respond_with_wrong_attempt_id, "127.0.0.1", 0
        )
        async with server, _start_rig([_FAST]) as (rig, engines):
            engines[0].port = server.port
            current = request_rig.make_configuration(list(engines))
            rig.current = current
            rig.dispatchers[0].configure(current, 1)
            reply = await rig.chat(_PROMPT, stream=False)
            assert reply.status == 502
            assert b"secret" not in reply.body
            assert rig.ledger.bills == []

    asyncio.run(run())


@pytest.mark.parametrize(
    ("faults", "expected_status", "expected_runs"),
    [
        (service.ServiceFaults(), 200, 1),
        (service.ServiceFaults(close_after_run=True), 409, 1),
        (service.ServiceFaults(close_before_run=True), 409, 0),
    ],
)
def test_call_that_may_not_be_repeated_runs_at_most_once(
    faults: service.ServiceFaults, expected_status: int, expected_runs: int
) -> None:
    async def run() -> None:
        async with (
            service.Service("records", faults=faults) as records,
            _start_rig([_FAST]) as (rig, engines),
        ):
            rig.current = request_rig.make_configuration(
                list(engines), (records,)
            )
            rig.dispatchers[0].configure(rig.current, 1)
            for _ in range(3):
                reply = await rig.send(
                    f"/services/{request_rig.SERVICE}/post",
                    b"lot 42",
                    headers=(("idempotency-key", "certificate-1"),),
                )
                assert reply.status == expected_status
            assert len(records.runs) == expected_runs

    asyncio.run(run())


def test_service_gets_path_and_query_as_the_caller_sent_them() -> None:
    async def run() -> None:
        async with (
            service.Service("records") as records,
            _start_rig([_FAST]) as (rig, engines),
        ):
            rig.current = request_rig.make_configuration(
                list(engines), (records,)
            )
            rig.dispatchers[0].configure(rig.current, 1)
            for number, target in enumerate(("/a%20lot?id=4%2F2&x", "/?y=1")):
                reply = await rig.send(
                    f"/services/{request_rig.SERVICE}{target}",
                    b"",
                    headers=(("idempotency-key", f"lookup-{number}"),),
                )
                assert reply.status == 200
                assert records.runs[-1].target == target

    asyncio.run(run())


def test_service_that_is_down_is_refused_as_not_run() -> None:
    async def run() -> None:
        async with (
            service.Service("records") as records,
            _start_rig([_FAST]) as (rig, engines),
        ):
            rig.current = request_rig.make_configuration(
                list(engines), (records,)
            )
            rig.dispatchers[0].configure(rig.current, 1)
            await records.crash()
            reply = await rig.send(
                f"/services/{request_rig.SERVICE}/post",
                b"lot 42",
                headers=(("idempotency-key", "certificate-1"),),
            )
            assert reply.error["type"] == "not_run"

    asyncio.run(run())


def test_unknown_work_kind_is_refused() -> None:
    async def run() -> None:
        async with _start_rig([_FAST]) as (rig, _):
            reply = await rig.send(
                "/v1/chat/completions",
                standin_calls.make_chat(_PROMPT, model=request_rig.MODEL),
                headers=(("x-work-kind", "leisure"),),
            )
            assert reply.error["code"] == "bad_work_kind"
            assert isinstance(rig.get_address(), http_client.Address)

    asyncio.run(run())


def test_removing_a_pool_refuses_its_waiting_requests() -> None:
    async def run() -> None:
        slow = engine.EngineFaults(token_interval_ms=20)
        async with _start_rig([slow]) as (rig, engines):
            tasks = [
                asyncio.create_task(rig.chat(f"shift {n}")) for n in range(12)
            ]
            # The engine runs 8 requests at once, so that 4 wait.
            await _wait_until(lambda: len(engines[0].attempt_ids) == 8)
            list_running = rig.dispatchers[0].list_running
            await _wait_until(lambda: len(list_running()) == 12)
            rig.dispatchers[0].configure(
                attrs.evolve(rig.current, models=()), 1
            )
            replies = await asyncio.gather(*tasks)
            statuses = sorted(reply.status for reply in replies)
            assert statuses == [200] * 8 + [503] * 4

    asyncio.run(run())


def test_claimed_call_whose_caller_leaves_keeps_no_reservation() -> None:
    async def run() -> None:
        faults = service.ServiceFaults(slow_ms=2_000)
        async with (
            service.Service("records", faults=faults) as records,
            _start_rig([_FAST]) as (rig, engines),
        ):
            rig.current = request_rig.make_configuration(
                list(engines), (records,)
            )
            rig.dispatchers[0].configure(rig.current, 1)
            call = asyncio.create_task(
                rig.send(
                    f"/services/{request_rig.SERVICE}/post",
                    b"lot 42",
                    headers=(("idempotency-key", "certificate-1"),),
                )
            )
            await asyncio.sleep(0.5)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            async with asyncio.timeout(5):
                await _wait_until(lambda: rig.ledger.cancelled == 1)
            assert rig.ledger.outcomes == {}

    asyncio.run(run())
