"""Tests of attempts whose upstream sends what belongs to another request."""

import asyncio
from unittest import mock

import attrs
import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.request import forward_attempt
from redwingchute.testing import forwarding_builders
from redwingchute.testing import scripted_upstream

_PAUSE_S = 0.01


def _make_success(request_id: str, body: bytes = b"ran") -> bytes:
    """Returns a signed response."""
    return scripted_upstream.make_response(
        200, body, request_id, runner_signature="s"
    )


def _cut_body(response: bytes) -> bytes:
    """Returns a response without its body, as to a HEAD request."""
    head, end, _ = response.partition(b"\r\n\r\n")
    return head + end


def _make_outgoing(
    request_id: str, method: str
) -> forward_attempt.UpstreamRequest:
    """Returns a request with a method to forward."""
    outgoing = forwarding_builders.make_outgoing(
        request_id, b"body" if method == "POST" else b""
    )
    return attrs.evolve(
        outgoing, request=attrs.evolve(outgoing.request, method=method)
    )


def _run_attempts(
    late: bytes,
    request_ids: tuple[str, ...] = ("first", "second"),
    methods: tuple[str, ...] = ("POST", "POST", "POST"),
    body: bytes | None = None,
) -> tuple[list[forward_attempt.AttemptResult], int]:
    """Returns the results of attempts in turn, and the connections made.

    Args:
      late: What the upstream sends in front of the second response on a
        connection.
      request_ids: The ids of the requests, in order.
      methods: The methods of the requests, in order.
      body: The body of each response; the id of its request by default.
    """

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        for number in range(len(request_ids)):
            request_id = (await connection.read_request()).request_id
            if number == 1:
                await connection.send(late, pause_s=_PAUSE_S)
            response = _make_success(
                request_id, request_id.encode() if body is None else body
            )
            await connection.send(
                _cut_body(response) if methods[number] == "HEAD" else response
            )

    async def main() -> list[forward_attempt.AttemptResult]:
        async with upstream, http_client.ClientPool() as pool:
            runner = forwarding_builders.make_attempt_runner(pool)
            return [
                await runner.run(
                    forwarding_builders.make_upstream(
                        "m-1", address=str(upstream.address)
                    ),
                    _make_outgoing(request_id, method),
                    forward_attempt.Relay(forwarding_builders.make_responder()),
                )
                for request_id, method in zip(
                    request_ids, methods, strict=False
                )
            ]

    upstream = scripted_upstream.ScriptedUpstream(serve)
    return asyncio.run(main()), upstream.connection_count


# Guards against refusals as "not run" of requests that ran: the rejection of
# an earlier request arrives late, in front of the response.
@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("late_id", ["first", ""])
def test_a_late_rejection_of_another_request_is_no_rejection(
    status: int, late_id: str
) -> None:
    late = scripted_upstream.make_rejection(status, late_id)
    (first, second), _ = _run_attempts(late)
    assert isinstance(first, forward_attempt.CompleteResponse)
    assert not isinstance(second, forward_attempt.Rejected)


# Guards against failing a request whose response follows an extra one.
@pytest.mark.parametrize(
    "late",
    [
        _make_success("first", b"late"),
        scripted_upstream.make_rejection(503, "first"),
        _make_success("first") * 3,
    ],
)
def test_extra_responses_to_earlier_requests_are_skipped(late: bytes) -> None:
    (_, second), _ = _run_attempts(late)
    assert isinstance(second, forward_attempt.CompleteResponse)
    assert second.body == b"second"


# Guards against reading a response where an extra one is still to come.
def test_a_connection_with_an_extra_response_is_not_reused() -> None:
    (_, _, third), connection_count = _run_attempts(
        _make_success("first"), ("first", "second", "third")
    )
    assert isinstance(third, forward_attempt.CompleteResponse)
    assert connection_count == 2


# Guards against taking a response of unknown origin for an extra one.
@pytest.mark.parametrize("late_id", ["unknown", ""])
def test_a_response_to_an_unknown_request_breaks_the_exchange(
    late_id: str,
) -> None:
    late = scripted_upstream.make_response(200, b"", late_id)
    (_, second), _ = _run_attempts(late)
    assert isinstance(second, forward_attempt.Broken)


# Guards against waiting for the end of an extra response that was cut off.
def test_an_extra_response_that_is_cut_off_breaks_the_exchange() -> None:
    late = _make_success("first", b"x" * 10_000)[:-9_000]
    (_, second), _ = _run_attempts(late)
    assert isinstance(second, forward_attempt.Broken)
    assert not second.is_timeout


# Guards against taking sound upstreams for unreachable, and against closing a
# connection to one, when a request comes too close to its deadline.
def test_a_request_without_time_left_touches_no_connection() -> None:
    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request_id = (await connection.read_request()).request_id
        await connection.send(_make_success(request_id))
        await connection.read_request()

    async def main() -> None:
        upstream = scripted_upstream.ScriptedUpstream(serve)
        async with upstream, http_client.ClientPool() as pool:
            runner = forwarding_builders.make_attempt_runner(pool)
            target = forwarding_builders.make_upstream(
                "m-1", address=str(upstream.address)
            )
            served = forwarding_builders.make_outgoing("first")
            relay = forward_attempt.Relay(forwarding_builders.make_responder())
            await runner.run(target, served, relay)
            late = attrs.evolve(
                forwarding_builders.make_outgoing("second"),
                deadline_s=asyncio.get_running_loop().time() + 0.002,
            )
            result = await runner.run(target, late, relay)
            assert isinstance(result, forward_attempt.OutOfTime)
            assert pool.count_idle(upstream.address) == 1

    asyncio.run(main())


# Guards against refusals as "not run" of requests that ran: an id that was sent
# before on the connection cannot tell an extra response from the expected one.
@pytest.mark.parametrize("status", [503, 429, 421])
def test_an_id_is_not_sent_twice_on_a_connection(status: int) -> None:
    late = scripted_upstream.make_rejection(status, "same")
    (_, second), connection_count = _run_attempts(late, ("same", "same"))
    assert isinstance(second, forward_attempt.CompleteResponse)
    assert connection_count == 2


# Guards against taking a part of a body for a rejection: the extra response has
# a body, where one to the HEAD request would have none.
def test_the_body_of_an_extra_response_to_a_head_request_is_not_read() -> None:
    late = _make_success(
        "first", scripted_upstream.make_rejection(503, "second")
    )
    (_, second), _ = _run_attempts(late, methods=("POST", "HEAD"))
    assert isinstance(second, forward_attempt.Broken)


# Guards against taking a part of a body for a rejection: the extra response to
# the HEAD request has no body, where one to the later request would have one.
def test_an_extra_response_to_a_head_request_is_not_skipped() -> None:
    rejection = scripted_upstream.make_rejection(503, "second")
    body = b"abc" + rejection
    skipped_bytes = len(_make_success("second", body)) - len(rejection)
    late = _cut_body(_make_success("first", bytes(skipped_bytes)))
    (_, second), _ = _run_attempts(late, methods=("HEAD", "POST"), body=body)
    assert isinstance(second, forward_attempt.Broken)


# Guards against a stream that looks whole without its last bytes, which its
# signature covers.
@pytest.mark.parametrize("rest", [b"\n", b"\r\n", b"\n\n\n", b""])
def test_empty_lines_at_the_end_of_a_stream_are_passed_on(rest: bytes) -> None:
    event = b"id: 1\ndata: a\n\n"
    parts = [part for part in (event, rest) if part]

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request = await connection.read_request()
        await connection.send(
            *scripted_upstream.make_stream(request.request_id, *parts)
        )

    async def main() -> bytes:
        responder = mock.create_autospec(http_server.HttpResponder)
        async with (
            scripted_upstream.ScriptedUpstream(serve) as upstream,
            http_client.ClientPool() as pool,
        ):
            result = await forwarding_builders.make_attempt_runner(pool).run(
                forwarding_builders.make_upstream(
                    "m-1", address=str(upstream.address)
                ),
                forwarding_builders.make_outgoing("first", b"x", True),
                forward_attempt.Relay(responder),
            )
        assert isinstance(result, forward_attempt.Streamed)
        return b"".join(
            call.args[0] for call in responder.send_chunk.call_args_list
        )

    assert asyncio.run(main()) == event + rest
