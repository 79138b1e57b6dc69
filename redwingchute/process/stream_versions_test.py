"""Tests of streams while upstreams of two versions serve, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import re

from redwingchute.testing import gateway_rig

_VERSIONS = {"m-1": "v1", "m-3": "v1", "m-5": "v1"} | {
    "m-2": "v2",
    "m-4": "v2",
    "m-6": "v2",
}
_EVENTS = 12
_STREAMS = 24


def _run(
    scenario: Callable[[gateway_rig.GatewayRig], Awaitable[None]],
    gateway_count: int = 1,
) -> None:
    """Runs a scenario with three upstreams of each of two versions."""

    async def main() -> None:
        async with gateway_rig.GatewayRig(gateway_count) as rig:
            for runner_id, version in _VERSIONS.items():
                if runner_id not in rig.runners:
                    await rig.start_runner(runner_id, "llm")
                rig.set_faults(runner_id, version=version)
                rig.publish_runner(runner_id)
            # The gateways read the entries of upstreams every 0.5 s.
            await asyncio.sleep(1.2)
            await scenario(rig)

    asyncio.run(main())


async def _stream(
    rig: gateway_rig.GatewayRig,
    number: int,
    gateway_number: int = 0,
    **headers: str,
) -> gateway_rig.Response:
    """Sends a request for a stream that may be resumed."""
    return await rig.send_request(
        f"/summary/{number}",
        b"prompt",
        gateway_number,
        token_usage=f"100,{_EVENTS}",
        prompt_prefix=f"{number:x}:100",
        model="m",
        **headers,
    )


def _list_versions(rig: gateway_rig.GatewayRig, target: str) -> list[str]:
    """Returns the version of each run of a target."""
    return [
        _VERSIONS[runner_id]
        for runner_id, found in rig.runners.items()
        for run in found.runs
        if run.target == target
    ]


# Guards against events of two software versions in one answer.
def test_a_stream_goes_on_at_the_version_that_began_it() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        for runner_id in ("m-1", "m-2"):
            rig.set_faults(runner_id, break_after_events=4)
        taken_over = 0
        for number in range(_STREAMS):
            response = await _stream(rig, number)
            assert response.is_complete
            versions = _list_versions(rig, f"/summary/{number}")
            assert len(set(versions)) == 1
            taken_over += len(versions) == 2
        assert taken_over

    _run(scenario)


# Guards against events of two software versions over a caller's tries, where
# the second try comes to another router.
def test_a_caller_resumes_a_stream_at_the_version_that_began_it() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        for number in range(_STREAMS):
            rig.set_faults("m-", break_after_events=4)
            first_id = f"a{number:015x}"
            response = await _stream(rig, number, attempt_id=first_id)
            assert not response.is_complete
            events = response.body.count(b"\n\n")
            rig.set_faults("m-", break_after_events=-1)
            response = await _stream(
                rig,
                number,
                gateway_number=1,
                attempt_id=f"b{number:015x}",
                resumes=first_id,
                last_event_id=str(events - 1),
            )
            assert response.is_complete
            assert response.body.count(b"\n\n") == _EVENTS - events
            assert len(set(_list_versions(rig, f"/summary/{number}"))) == 1

    _run(scenario, gateway_count=2)


# Guards against a stream that ends as if complete, or goes on elsewhere, where
# no upstream of its version is left.
def test_a_stream_whose_version_has_gone_is_broken_off() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        for runner_id in ("m-1", "m-2"):
            rig.set_faults(runner_id, break_after_events=4)
        for runner_id in ("m-3", "m-4", "m-5", "m-6"):
            rig.publish_runner(runner_id, "draining")
        await asyncio.sleep(1.2)
        for number in range(8):
            response = await _stream(rig, number)
            assert response.status == 200
            assert not response.is_complete
            assert len(_list_versions(rig, f"/summary/{number}")) == 1

    _run(scenario)


# Guards against a resumed stream that is passed on though nobody knows at which
# version it began, and against a refusal that lets it seem to have run.
def test_a_resumed_stream_of_unknown_version_is_refused_as_not_run() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        for number, resumes in enumerate(("unknown", "")):
            response = await _stream(
                rig, number, last_event_id="1", resumes=resumes
            )
            assert response.status == 503
            assert not _list_versions(rig, f"/summary/{number}")

    _run(scenario)


# Guards against the rest of a stream from any version, where the route does not
# let streams be resumed and the caller's header is passed on.
def test_a_resumption_on_a_route_without_it_is_refused_as_not_run() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        response = await rig.send_request(
            "/draft/1",
            b"prompt",
            token_usage=f"100,{_EVENTS}",
            prompt_prefix="1:100",
            model="m",
            last_event_id="3",
        )
        assert response.status == 503
        assert not _list_versions(rig, "/draft/1")

    _run(scenario)


# Guards against the rest of a stream from another version in the first second
# after the loss of all hosts, when those that knew its version are gone too.
def test_after_the_loss_of_all_hosts_no_stream_changes_its_version() -> None:
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        rig.set_faults("m-", break_after_events=4)
        for number in range(8):
            response = await _stream(rig, number, attempt_id=f"c{number:015x}")
            assert not response.is_complete
        rig.set_faults("m-", break_after_events=-1)
        for lost in rig.gateways:
            await lost.__aexit__(None, None, None)
        for runner_id, version in _VERSIONS.items():
            if version == "v1":
                rig.store.write_record("keyed.servers", runner_id, None)
        await rig.start_gateway("huon-1")
        for number in range(8):
            runs = _list_versions(rig, f"/summary/{number}")
            for resumes in (f"c{number:015x}", ""):
                response = await _stream(
                    rig, number, -1, last_event_id="3", resumes=resumes
                )
                assert response.status == 503
                assert "retry-after" in response.headers
            assert _list_versions(rig, f"/summary/{number}") == runs

    _run(scenario, gateway_count=2)


# Guards against events that come twice or are missing, where a stream that the
# caller resumed breaks off again and the router itself goes on with it.
def test_a_resumed_stream_that_breaks_off_goes_on_after_its_last_event() -> (
    None
):
    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        taken_over = 0
        for number in range(_STREAMS):
            rig.set_faults("m-", break_after_events=4)
            first_id = f"d{number:015x}"
            response = await _stream(rig, number, attempt_id=first_id)
            events = response.body.count(b"\n\n")
            rig.set_faults("m-", break_after_events=-1)
            for runner_id in ("m-1", "m-2"):
                rig.set_faults(runner_id, break_after_events=2)
            response = await _stream(
                rig,
                number,
                attempt_id=f"e{number:015x}",
                resumes=first_id,
                last_event_id=str(events - 1),
            )
            ids = re.findall(rb"^id: (\d+)$", response.body, re.MULTILINE)
            assert response.is_complete
            assert list(map(int, ids)) == list(range(events, _EVENTS))
            versions = _list_versions(rig, f"/summary/{number}")
            assert len(set(versions)) == 1
            taken_over += len(versions) == 4
        assert taken_over

    _run(scenario)
