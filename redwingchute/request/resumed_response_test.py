"""Tests of streams that broke and of what other upstreams then answer."""

import asyncio
from unittest import mock

import attrs
import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.request import forward_attempt
from redwingchute.standin import runner
from redwingchute.testing import forwarding_builders
from redwingchute.testing import gateway_rig
from redwingchute.testing import scripted_upstream

_BEGUN = b"".join(runner.make_event(number) for number in range(3))
_REST = b"".join(runner.make_event(number) for number in range(3, 6))
_ERROR = b'{"error": "no such session"}'


def _make_answer(
    status: int,
    body: bytes,
    framing: str = "length",
    content_type: str = "application/json",
    signature: str = "runner-signature: s\r\n",
) -> bytes:
    """Returns the bytes of an answer; `{id}` stands for the request's id.

    Args:
      status: The HTTP status.
      body: The body.
      framing: `length`, `chunked` or `close`.
      content_type: The media type.
      signature: The line of the signature; empty for none.
    """
    head = (
        f"HTTP/1.1 {status} x\r\nattempt-id: {{id}}\r\n{signature}"
        f"content-type: {content_type}\r\n"
    ).encode()
    match framing:
        case "length":
            length = f"content-length: {len(body)}\r\n\r\n".encode()
            return head + length + body
        case "chunked":
            chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            return (
                head
                + b"transfer-encoding: chunked\r\n\r\n"
                + chunk
                + b"0\r\n\r\n"
            )
        case _:
            return head + b"\r\n" + body


def _make_stream(body: bytes, framing: str = "chunked") -> bytes:
    """Returns a signed stream of events; `{id}` as of `_make_answer`."""
    return _make_answer(200, body, framing, "text/event-stream")


@attrs.frozen
class _Resumed:
    """How an attempt to resume a stream after its third event ended.

    Attributes:
      result: The result of the attempt.
      sent: What was sent to the caller, without its framing.
    """

    result: forward_attempt.AttemptResult
    sent: bytes


def _resume_at(
    answer: bytes, full_events: int = 6, is_reset: bool = False
) -> _Resumed:
    """Runs an attempt to resume a stream of which three events were sent.

    Args:
      answer: What the upstream answers before it closes its connection.
      full_events: The events of a response of the greatest length.
      is_reset: Whether the upstream resets its connection.
    """

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send(answer.replace(b"{id}", b"r-1"))
        if is_reset:
            connection.reset()

    async def main() -> _Resumed:
        async with (
            scripted_upstream.ScriptedUpstream(serve) as upstream,
            http_client.ClientPool() as pool,
        ):
            responder = mock.create_autospec(http_server.HttpResponder)
            relay = forward_attempt.Relay(
                responder, True, 3, 2, "text/event-stream"
            )
            result = await forwarding_builders.make_attempt_runner(pool).run(
                forwarding_builders.make_upstream(
                    "m-1", address=str(upstream.address)
                ),
                attrs.evolve(
                    forwarding_builders.make_outgoing("r-1", b"x", True),
                    full_events=full_events,
                ),
                relay,
            )
            responder.start.assert_not_called()
            chunks = [
                call.args[0] for call in responder.send_chunk.call_args_list
            ]
            has_finished = bool(responder.finish.call_args_list)
            assert has_finished == isinstance(result, forward_attempt.Streamed)
            return _Resumed(result, b"".join(chunks))

    return asyncio.run(main())


def _see_resumed(answer: bytes) -> gateway_rig.Response:
    """Returns what a gateway's caller sees of a stream that breaks.

    Args:
      answer: What the next upstream answers after three events.
    """

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request = await connection.read_request()
        if "last-event-id" not in request.headers:
            await connection.send(
                *scripted_upstream.make_stream(request.request_id, _BEGUN)[:-1]
            )
            return
        assert request.headers["last-event-id"] == "2"
        await connection.send(
            answer.replace(b"{id}", request.request_id.encode())
        )

    async def main() -> gateway_rig.Response:
        async with scripted_upstream.ScriptedUpstream(serve) as upstream:
            addresses = dict.fromkeys(("m-1", "m-2"), upstream.address)
            async with gateway_rig.GatewayRig(addresses=addresses) as rig:
                return await rig.generate("/summary/x", 100, 30)

    return asyncio.run(main())


# Guards against errors, heads or foreign bodies in the middle of a stream, and
# against streams that end as complete before their last event.
@pytest.mark.parametrize("framing", ("length", "chunked", "close"))
@pytest.mark.parametrize(
    ("status", "body", "content_type"),
    [
        *[
            (status, _ERROR, "application/json")
            for status in (201, 206, 302, 400, 404, 409, 410, 500, 503, 504)
        ],
        (204, b"", "text/event-stream"),
        (404, b"", "text/event-stream"),
        (404, b'data: {"error": 1}\n\n', "text/event-stream"),
        (200, _ERROR, "application/json"),
        (200, _ERROR + b"\n\n", "application/json"),
        (200, _REST, "text/plain"),
        (200, b"", "text/event-stream"),
        (200, b": alive\n\n", "text/event-stream"),
        (200, b"data: no id\n\n", "text/event-stream"),
        (200, _REST[:9], "text/event-stream"),
        (200, _BEGUN, "text/event-stream"),
        (200, _BEGUN + _REST, "text/event-stream"),
    ],
)
def test_a_stream_that_is_not_resumed_ends_as_broken(
    status: int, body: bytes, content_type: str, framing: str
) -> None:
    resumed = _resume_at(_make_answer(status, body, framing, content_type))
    assert not isinstance(resumed.result, forward_attempt.Streamed)
    assert resumed.sent in (b"", b": alive\n\n")


# Guards against the same at the caller's side.
@pytest.mark.parametrize(
    "answer",
    [
        _make_answer(404, _ERROR, "chunked"),
        _make_answer(206, _ERROR + b"\n\n"),
        _make_answer(200, _ERROR + b"\n\n", "close"),
        _make_answer(500, _ERROR, "close"),
        _make_stream(b""),
    ],
)
def test_a_caller_sees_that_a_stream_was_not_resumed(answer: bytes) -> None:
    response = _see_resumed(answer)
    assert response.status == 200
    assert response.body == _BEGUN
    assert not response.is_complete


# Guards against streams that end as complete when the next upstream stops in
# the head of its answer, or answers nothing.
@pytest.mark.parametrize("is_reset", (False, True))
@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 ",
        b"HTTP/1.1 200 x\r\n",
        _make_stream(_REST).partition(b"transfer-encoding")[0],
        _make_stream(_REST).partition(b"\r\n\r\n")[0] + b"\r\n",
        _make_stream(_REST).partition(b"\r\n\r\n")[0] + b"\r\n\r\n",
        _make_stream(_REST)[:-2],
        _make_stream(_REST)[:-5],
        b"HTTP/1.1 100 x\r\n\r\n",
        b"HTTP/1.1 200 x\r\n\r\n" + _REST,
        _make_answer(200, _REST, "chunked", "text/event-stream", signature=""),
    ],
)
def test_a_stream_whose_rest_breaks_ends_as_broken(
    answer: bytes, is_reset: bool
) -> None:
    resumed = _resume_at(answer, is_reset=is_reset)
    assert isinstance(resumed.result, forward_attempt.Broken)
    assert _REST.startswith(resumed.sent)


@pytest.mark.parametrize("framing", ("length", "chunked", "close"))
def test_a_resumed_stream_ends_as_complete(framing: str) -> None:
    resumed = _resume_at(_make_stream(_REST, framing))
    assert isinstance(resumed.result, forward_attempt.Streamed)
    assert resumed.sent == _REST


# A stream of which only the end was missing has no events left.
@pytest.mark.parametrize("framing", ("length", "chunked", "close"))
def test_an_empty_rest_completes_a_stream_of_full_length(framing: str) -> None:
    resumed = _resume_at(_make_stream(b"", framing), full_events=3)
    assert isinstance(resumed.result, forward_attempt.Streamed)


# Guards against streams in which events are missing, since the upstream that
# resumes a stream skips some of an unbroken sequence of ids.
def test_a_rest_that_skips_events_ends_as_broken() -> None:
    response = _see_resumed(_make_stream(runner.make_event(5)))
    assert response.body == _BEGUN
    assert not response.is_complete
