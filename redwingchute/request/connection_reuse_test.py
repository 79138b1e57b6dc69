"""Tests that one request's response never becomes part of another's."""

import asyncio

import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.platform import headers
from redwingchute.request import forward_attempt
from redwingchute.testing import forwarding_builders
from redwingchute.testing import scripted_upstream

_EVENTS = [b"id: 0\ndata: a\n\n", b"id: 1\ndata: b\n\n"]


async def _answer_in_one_segment(
    connection: scripted_upstream.UpstreamConnection,
) -> None:
    """Answers each request with a whole stream, in one segment."""
    while True:
        request = await connection.read_request()
        stream = scripted_upstream.make_stream(request.request_id, *_EVENTS)
        await connection.send(b"".join(stream))


# A caller that left as the end of its stream arrived made the next stream on
# the connection end before its first event.
def test_a_stream_whose_caller_left_does_not_end_the_next_one() -> None:
    async def main() -> None:
        async with (
            scripted_upstream.ScriptedUpstream(
                _answer_in_one_segment
            ) as upstream,
            http_client.ClientPool() as pool,
        ):
            attempts = forward_attempt.AttemptRunner(
                pool, headers.PlatformHeaderTranslator()
            )
            target = forwarding_builders.make_upstream(
                "m-1", address=str(upstream.address)
            )
            left = forward_attempt.Relay(
                forwarding_builders.make_responder(is_closed=True)
            )
            with pytest.raises(http_server.ClientDisconnectedError):
                await attempts.run(
                    target,
                    forwarding_builders.make_outgoing("1", is_streaming=True),
                    left,
                )
            relay = forward_attempt.Relay(forwarding_builders.make_responder())
            result = await attempts.run(
                target,
                forwarding_builders.make_outgoing("2", is_streaming=True),
                relay,
            )
            assert isinstance(result, forward_attempt.Streamed)
            assert relay.event_count == len(_EVENTS)

    asyncio.run(main())
