"""Tests of attempts whose upstream sends what belongs to another request."""

import asyncio

import h11
import pytest

from redwingchute.connection import http_client
from redwingchute.platform import headers
from redwingchute.request import forward_attempt
from redwingchute.testing import attempt_builders
from redwingchute.testing import scripted_upstream


def _run_attempts(
    script: scripted_upstream.Script, request_ids: tuple[str, ...]
) -> list[forward_attempt.AttemptResult]:
    """Returns the results of attempts that follow each other.

    Args:
      script: The script of the upstream.
      request_ids: The ids of the requests, in order.
    """

    async def main() -> list[forward_attempt.AttemptResult]:
        upstream = scripted_upstream.ScriptedUpstream(script)
        async with upstream, http_client.ClientPool() as pool:
            runner = forward_attempt.AttemptRunner(
                pool, headers.PlatformHeaderTranslator()
            )
            return [
                await runner.run(
                    attempt_builders.make_upstream(upstream.address),
                    attempt_builders.make_request(request_id),
                    attempt_builders.make_relay(),
                )
                for request_id in request_ids
            ]

    return asyncio.run(main())


# Guards against refusals as "not run" of requests that ran: the rejection of
# an earlier request arrives late, in front of the response.
@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("late_id", ["first", None])
def test_a_late_rejection_of_another_request_is_no_rejection(
    status: int, late_id: str | None
) -> None:
    def script(
        number: int, request: h11.Request
    ) -> list[scripted_upstream.Step]:
        request_id = attempt_builders.read_request_id(request)
        steps: list[scripted_upstream.Step] = [
            scripted_upstream.Send(scripted_upstream.make_success(request_id))
        ]
        if number > 1:
            late = scripted_upstream.make_rejection(late_id, status)
            steps.insert(0, scripted_upstream.Send(late))
        return steps

    first, second = _run_attempts(script, ("first", "second"))
    assert isinstance(first, forward_attempt.CompleteResponse)
    assert not isinstance(second, forward_attempt.Rejected)


def _script_with_late_response(
    late: bytes,
) -> scripted_upstream.Script:
    """Returns a script that sends bytes in front of the second response."""

    def script(
        number: int, request: h11.Request
    ) -> list[scripted_upstream.Step]:
        request_id = attempt_builders.read_request_id(request)
        success = scripted_upstream.make_success(
            request_id, request_id.encode()
        )
        if number == 1:
            return [scripted_upstream.Send(success)]
        return [
            scripted_upstream.Send(late),
            scripted_upstream.Pause(10),
            scripted_upstream.Send(success),
        ]

    return script


# Guards against failing a request whose response follows an extra one.
@pytest.mark.parametrize(
    "late",
    [
        scripted_upstream.make_success("first", b"late"),
        scripted_upstream.make_rejection("first"),
        scripted_upstream.make_success("first") * 3,
    ],
)
def test_extra_responses_to_earlier_requests_are_skipped(late: bytes) -> None:
    script = _script_with_late_response(late)
    _, second = _run_attempts(script, ("first", "second"))
    assert isinstance(second, forward_attempt.CompleteResponse)
    assert second.body == b"second"


# Guards against reading a response where an extra one is still to come.
def test_a_connection_with_an_extra_response_is_not_reused() -> None:
    late = scripted_upstream.make_success("first")
    script = _script_with_late_response(late)
    _, _, third = _run_attempts(script, ("first", "second", "third"))
    # The third request is the first one on a new connection.
    assert isinstance(third, forward_attempt.CompleteResponse)
    assert third.body == b"third"


# Guards against taking a response of unknown origin for an extra one.
@pytest.mark.parametrize("late_id", ["unknown", None])
def test_a_response_to_an_unknown_request_breaks_the_exchange(
    late_id: str | None,
) -> None:
    late = scripted_upstream.make_response(200, late_id)
    script = _script_with_late_response(late)
    _, second = _run_attempts(script, ("first", "second"))
    assert isinstance(second, forward_attempt.Broken)


# Guards against reading on after an extra response without a whole body.
def test_an_extra_response_that_is_cut_off_breaks_the_exchange() -> None:
    late = scripted_upstream.make_success("first", b"x" * 10_000)[:-9_000]
    script = _script_with_late_response(late)
    _, second = _run_attempts(script, ("first", "second"))
    assert isinstance(second, forward_attempt.Broken)
