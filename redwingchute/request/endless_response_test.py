"""Tests of upstreams that send bytes without end that are no response."""

import asyncio
import itertools

import attrs
import pytest

from redwingchute.connection import http_client
from redwingchute.request import forward_attempt
from redwingchute.testing import forwarding_builders
from redwingchute.testing import scripted_upstream

_HEAD = (
    b"HTTP/1.1 200 OK\r\nattempt-id: first\r\nrunner-signature: s\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
_SEGMENT_BYTES = 16 * 1024
# A router has to close the connection before it has received this much.
_MAX_SENT_BYTES = 2 * 1024 * 1024
_MAX_BODY_BYTES = 20 * 1024 * 1024
_MAX_EVENTS = 20
_PATIENCE_S = 20.0


def _repeat(piece: bytes) -> bytes:
    """Returns a segment that is filled with a piece."""
    return piece * (_SEGMENT_BYTES // len(piece))


def _run_attempt(
    start: bytes, endless: bytes, is_streaming: bool, pause_s: float = 0.0
) -> tuple[forward_attempt.AttemptResult, int]:
    """Returns the result of an attempt and how many bytes it took.

    Args:
      start: What the upstream sends first.
      endless: What it sends then, again and again, until the router closes.
      is_streaming: Whether the response should be a stream of events.
      pause_s: The pause after each segment.
    """
    sent_bytes = 0

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        nonlocal sent_bytes
        await connection.read_request()
        await connection.send(start)
        for _ in itertools.count():
            await connection.send(endless, pause_s=pause_s)
            sent_bytes += len(endless)

    async def main() -> forward_attempt.AttemptResult:
        async with upstream, http_client.ClientPool() as pool:
            runner = forwarding_builders.make_attempt_runner(pool)
            outgoing = forwarding_builders.make_outgoing(
                "first", b"body", is_streaming
            )
            now_s = asyncio.get_running_loop().time()
            return await runner.run(
                forwarding_builders.make_upstream(
                    "m-1", address=str(upstream.address)
                ),
                attrs.evolve(
                    outgoing,
                    deadline_s=now_s + _PATIENCE_S,
                    max_events=_MAX_EVENTS,
                ),
                forward_attempt.Relay(forwarding_builders.make_responder()),
            )

    upstream = scripted_upstream.ScriptedUpstream(serve)
    return asyncio.run(main()), sent_bytes


# Guards against a router whose memory and processor time an upstream takes by
# bytes without end.
@pytest.mark.parametrize("is_streaming", [False, True])
@pytest.mark.parametrize(
    ("start", "endless"),
    [
        (b"", _repeat(b"HTTP/1.1 103 Early Hints\r\n\r\n")),
        (b"HTTP/1.1 200 OK\r\nx: ", _repeat(b"a")),
        (b"HTTP/1.1 200 OK\r\n", _repeat(b"x: a\r\n")),
        (b"", _repeat(b"no response")),
        (_HEAD + b"1;", _repeat(b"a")),
        (_HEAD, b"1;" + 4_000 * b"a" + b"\r\nx\r\n"),
        (_HEAD + b"0\r\n", _repeat(b"x: a\r\n")),
        (_HEAD, _repeat(b"\r\n")),
    ],
    ids=[
        "interim heads",
        "header",
        "header lines",
        "no response",
        "chunk extension",
        "chunk extensions",
        "trailers",
        "no chunk",
    ],
)
def test_endless_framing_ends_the_attempt(
    start: bytes, endless: bytes, is_streaming: bool
) -> None:
    result, sent_bytes = _run_attempt(start, endless, is_streaming)
    assert isinstance(result, forward_attempt.Broken)
    assert not result.is_timeout
    assert sent_bytes <= _MAX_SENT_BYTES


# Guards against streams that go on after all tokens that were asked for.
@pytest.mark.parametrize("pause_s", [0.0, 0.01])
def test_endless_events_end_the_attempt(pause_s: float) -> None:
    event = b"data: x\n\n"
    chunk = b"%x\r\n%b\r\n" % (len(event), event)
    result, sent_bytes = _run_attempt(_HEAD, 10 * chunk, True, pause_s)
    assert isinstance(result, forward_attempt.Broken)
    assert not result.is_timeout
    assert sent_bytes <= _MAX_SENT_BYTES


def test_an_endless_event_ends_the_attempt() -> None:
    chunk = b"%x\r\n%b\r\n" % (_SEGMENT_BYTES, _repeat(b"a"))
    result, sent_bytes = _run_attempt(_HEAD, chunk, True)
    assert isinstance(result, forward_attempt.Broken)
    assert sent_bytes <= _MAX_SENT_BYTES


# Guards against many endless bodies that together exceed a process's memory.
def test_endless_bodies_share_one_limit() -> None:
    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            await connection.send(_repeat(b"a"))

    async def main() -> None:
        async with upstream, http_client.ClientPool() as pool:
            fetched = [
                pool.fetch(upstream.address, "GET", "/x", [], b"", 20_000)
                for _ in range(8)
            ]
            results = await asyncio.gather(*fetched)
            for result in results:
                assert isinstance(result, http_client.ExchangeBroken)
            assert pool.buffered_bodies.max_bytes <= 2 * _MAX_BODY_BYTES
            assert pool.buffered_bodies.size_bytes == 0

    upstream = scripted_upstream.ScriptedUpstream(serve)
    asyncio.run(main())
