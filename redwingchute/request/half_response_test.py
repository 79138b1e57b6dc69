"""Tests of upstreams that stop at any byte of their response."""

import asyncio
from unittest import mock

import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.request import forward_attempt
from redwingchute.standin import runner
from redwingchute.testing import forwarding_builders
from redwingchute.testing import scripted_upstream

_REQUEST_ID = "r-1"
_EVENTS = [runner.make_event(number) for number in range(3)]
_STREAM = b"".join(scripted_upstream.make_stream(_REQUEST_ID, *_EVENTS))
_PLAIN = scripted_upstream.make_response(
    200, b"the whole body", _REQUEST_ID, runner_signature="s"
)
# Ends with its connection, so that only its head can be cut.
_HEAD_WITHOUT_LENGTH = _PLAIN.partition(b"content-length")[0] + b"\r\n"


def _list_ends(
    response: bytes, is_streaming: bool, is_reset: bool
) -> list[str]:
    """Returns the cuts at which a part of a response passes as a whole one.

    Args:
      response: The response.
      is_streaming: Whether the request is for a stream.
      is_reset: Whether the upstream resets its connection after a part.
    """
    found = []

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send(response[: connection.number])
        if is_reset:
            connection.reset()

    async def main() -> None:
        async with (
            scripted_upstream.ScriptedUpstream(serve) as upstream,
            http_client.ClientPool() as pool,
        ):
            attempts = forwarding_builders.make_attempt_runner(pool)
            for length in range(len(response)):
                responder = mock.create_autospec(http_server.HttpResponder)
                result = await attempts.run(
                    forwarding_builders.make_upstream(
                        "m-1", address=str(upstream.address)
                    ),
                    forwarding_builders.make_outgoing(
                        _REQUEST_ID, b"x", is_streaming
                    ),
                    forward_attempt.Relay(responder),
                )
                assert upstream.connection_count == length + 1
                if (
                    not isinstance(result, forward_attempt.Broken)
                    or responder.finish.call_args_list
                ):
                    found.append(f"{response[:length]!r}: {result}")

    asyncio.run(main())
    return found


# Guards against a success with an empty or short body, framed as whole, whose
# upstream stopped in the head or body of its response.
@pytest.mark.parametrize("is_reset", (False, True))
@pytest.mark.parametrize(
    ("response", "is_streaming"),
    [(_PLAIN, False), (_STREAM, True), (_HEAD_WITHOUT_LENGTH, False)],
    ids=["plain", "stream", "head without a length"],
)
def test_no_part_of_a_response_passes_as_a_whole_one(
    response: bytes, is_streaming: bool, is_reset: bool
) -> None:
    assert _list_ends(response, is_streaming, is_reset) == []
