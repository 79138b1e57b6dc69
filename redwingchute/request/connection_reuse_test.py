"""Tests that one request's response never becomes part of another's."""

import asyncio

import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.request import forward_attempt
from redwingchute.testing import forwarding_builders
from redwingchute.testing import scripted_upstream

_PAUSE_S = 0.02
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
            attempts = forwarding_builders.make_attempt_runner(pool)
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


# What was left of one exchange became part of the next one on its connection.
@pytest.mark.parametrize("is_joined", [False, True])
@pytest.mark.parametrize("sent_segments", range(5))
def test_a_stream_is_complete_whenever_the_caller_before_left(
    sent_segments: int, is_joined: bool
) -> None:
    may_continue = asyncio.Event()

    async def pause_first_stream(
        connection: scripted_upstream.UpstreamConnection,
    ) -> None:
        while True:
            request = await connection.read_request()
            segments = scripted_upstream.make_stream(
                request.request_id, *_EVENTS
            )
            if not connection.number and request.request_id == "1":
                sent = segments[:sent_segments]
                await connection.send(
                    *([b"".join(sent)] if is_joined else sent)
                )
                await may_continue.wait()
                segments = segments[sent_segments:]
            await connection.send(*segments)

    async def main() -> None:
        async with (
            scripted_upstream.ScriptedUpstream(pause_first_stream) as upstream,
            http_client.ClientPool() as pool,
        ):
            attempts = forwarding_builders.make_attempt_runner(pool)
            target = forwarding_builders.make_upstream(
                "m-1", address=str(upstream.address)
            )
            leaving = asyncio.ensure_future(
                attempts.run(
                    target,
                    forwarding_builders.make_outgoing("1", is_streaming=True),
                    forward_attempt.Relay(forwarding_builders.make_responder()),
                )
            )
            await asyncio.sleep(_PAUSE_S)
            leaving.cancel()
            await asyncio.wait({leaving})
            may_continue.set()
            for number in range(2, 5):
                relay = forward_attempt.Relay(
                    forwarding_builders.make_responder()
                )
                result = await attempts.run(
                    target,
                    forwarding_builders.make_outgoing(
                        str(number), is_streaming=True
                    ),
                    relay,
                )
                assert isinstance(result, forward_attempt.Streamed)
                assert relay.event_count == len(_EVENTS)
                await asyncio.sleep(_PAUSE_S)

    asyncio.run(main())
