"""Tests of requests that the server refuses before a handler sees them."""

import asyncio
import contextlib
import re

import attrs
import pytest

from redwingchute.connection import http_server
from redwingchute.connection import server_limits

_LIMITS = server_limits.ServerLimits(
    header_bytes=1024,
    body_bytes=64,
    idle_ms=200,
    receive_ms=100,
    body_ms=1_000,
)
# Longer than a request may take to arrive under these limits.
_DRIP_TIMEOUT_S = 2.0
_COMPLETE = b"GET /whole HTTP/1.1\r\nhost: a\r\n\r\n"
_UNRECEIVED = {
    "half_a_head": (b"POST /cut HTTP/1.1\r\nho", 408),
    "half_a_body": (
        b"POST /cut HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc",
        408,
    ),
    "awaited_body": (
        b"POST /cut HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n"
        b"expect: 100-continue\r\n\r\n",
        408,
    ),
    "open_chunk": (
        b"POST /cut HTTP/1.1\r\nhost: a\r\n"
        b"transfer-encoding: chunked\r\n\r\n9\r\nabc",
        408,
    ),
    "large_body": (
        b"POST /cut HTTP/1.1\r\nhost: a\r\ncontent-length: 99\r\n\r\n"
        + bytes(99),
        413,
    ),
    "large_head": (
        b"GET /cut HTTP/1.1\r\nhost: a\r\nx-a: " + b"a" * 2048,
        431,
    ),
    "no_http": (b"\x16\x03\x01\r\n\r\n", 400),
}


async def _send(
    targets: list[str],
    *segments: bytes,
    pause_s: float = 0.0,
    limits: server_limits.ServerLimits = _LIMITS,
    run_s: float = 0.02,
) -> bytes:
    """Returns what a server sends on one connection until it closes it.

    Args:
      targets: Collects the targets of the requests that a handler saw.
      *segments: What the client sends.
      pause_s: How long the client waits after each segment.
      limits: The limits of the connection.
      run_s: How long each request runs.
    """

    async def handle(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        targets.append(request.path)
        await asyncio.sleep(run_s)
        await responder.send(200, b"ran " + request.path.encode())

    async with http_server.HttpServer(handle, "127.0.0.1", 0, limits) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        receiving = asyncio.ensure_future(reader.read())
        for segment in segments:
            if receiving.done():
                break
            writer.write(segment)
            await asyncio.sleep(pause_s)
        received = await receiving
        writer.close()
        return received


def _list_statuses(received: bytes) -> list[int]:
    """Returns the statuses of all final responses in received bytes."""
    found = re.findall(rb"HTTP/1\.1 ([2-5]\d\d) ", received)
    return [int(status) for status in found]


# A response with a body to a HEAD request closed its kept connection.
def test_a_response_to_a_head_request_keeps_the_connection() -> None:
    targets: list[str] = []
    head = _COMPLETE.replace(b"GET", b"HEAD")
    received = asyncio.run(_send(targets, head, _COMPLETE, pause_s=0.05))
    assert _list_statuses(received) == [200, 200]
    assert received.count(b"ran /whole") == 1


# A request was refused as "not run" although a handler had it.
@pytest.mark.parametrize("name", sorted(_UNRECEIVED))
def test_no_handler_sees_a_request_that_was_not_received(name: str) -> None:
    segment, status = _UNRECEIVED[name]
    targets: list[str] = []
    received = asyncio.run(_send(targets, segment))
    assert _list_statuses(received) == [status]
    assert not targets


# The refusal of one request took the place of the response to another one.
@pytest.mark.parametrize("is_pipelined", [False, True])
@pytest.mark.parametrize("name", sorted(_UNRECEIVED))
def test_a_refusal_follows_the_responses_before_it(
    name: str, is_pipelined: bool
) -> None:
    segment, status = _UNRECEIVED[name]
    targets: list[str] = []
    segments = [_COMPLETE, _COMPLETE, segment]
    if is_pipelined:
        segments = [b"".join(segments)]
    received = asyncio.run(_send(targets, *segments, pause_s=0.05))
    assert _list_statuses(received) == [200, 200, status]
    assert received.count(b"ran /whole") == 2
    assert targets == ["/whole", "/whole"]


# A refusal was sent on a connection on which no request waited.
def test_an_idle_connection_is_closed_without_a_response() -> None:
    targets: list[str] = []
    received = asyncio.run(_send(targets, _COMPLETE))
    assert _list_statuses(received) == [200]


# Bytes that arrived while a request was handled got lost or were handled twice.
@pytest.mark.parametrize("split_at", range(1, len(_COMPLETE), 7))
def test_a_pipelined_request_in_segments_is_handled_once(split_at: int) -> None:
    targets: list[str] = []
    whole = _COMPLETE + _COMPLETE.replace(b"whole", b"other")
    split_at += len(_COMPLETE)
    received = asyncio.run(
        _send(targets, whole[:split_at], whole[split_at:], pause_s=0.005)
    )
    assert targets == ["/whole", "/other"]
    assert _list_statuses(received) == [200, 200]


# A client that sent a long next request early lost the response to the first.
def test_a_long_request_that_is_sent_early_waits() -> None:
    body = bytes(1024 * 1024)
    head = _COMPLETE.replace(b"GET /whole", b"POST /long").replace(
        b"host: a", b"host: a\r\ncontent-length: %d" % len(body)
    )
    limits = attrs.evolve(_LIMITS, body_bytes=len(body), receive_ms=1_000)
    targets: list[str] = []
    received = asyncio.run(
        _send(targets, _COMPLETE + head, body, limits=limits, run_s=0.3)
    )
    assert targets == ["/whole", "/long"]
    assert _list_statuses(received) == [200, 200]


# Guards against a request that goes on although its client has left, once the
# server reads no more of what that sent early.
def test_the_end_of_a_connection_that_is_not_read_is_noticed() -> None:
    async def run() -> bool:
        ended = asyncio.Event()

        async def handle(
            request: http_server.HttpRequest,
            responder: http_server.HttpResponder,
        ) -> None:
            try:
                await asyncio.sleep(_DRIP_TIMEOUT_S)
            except asyncio.CancelledError:
                ended.set()
                raise

        async with http_server.HttpServer(handle, "127.0.0.1", 0) as server:
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(_COMPLETE + bytes(128 * 1024))
            await asyncio.sleep(0.1)
            writer.close()
            async with asyncio.timeout(_DRIP_TIMEOUT_S / 2):
                await ended.wait()
        return True

    assert asyncio.run(run())


async def _send_slowly(
    targets: list[str], begin: bytes, drip: bytes, pause_s: float
) -> tuple[bytes, float]:
    """Sends a beginning at once and the rest in single bytes.

    Returns:
      What the server sends until it closes the connection, and after how many
      seconds that was.
    """
    async with asyncio.timeout(_DRIP_TIMEOUT_S):
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        segments = [begin, *(bytes((byte,)) for byte in drip)]
        received = await _send(targets, *segments, pause_s=pause_s)
        return received, loop.time() - began_s


# A request whose bytes came now and then held its connection without end.
@pytest.mark.parametrize("part", ["head", "body"])
def test_a_request_that_comes_byte_by_byte_is_refused_in_time(
    part: str,
) -> None:
    begin = b"POST /drip HTTP/1.1\r\nhost: a\r\n"
    drip = b"x-a: " + b"a" * 200
    if part == "body":
        begin += b"content-length: 60\r\n\r\n"
        drip = b"a" * 59
    targets: list[str] = []
    received, elapsed_s = asyncio.run(
        _send_slowly(targets, begin, drip, pause_s=0.04)
    )
    assert _list_statuses(received) == [408]
    assert not targets
    assert elapsed_s < _DRIP_TIMEOUT_S


# Guards against a slow body that is sound and is cut off.
def test_a_body_slower_than_one_wait_is_received() -> None:
    targets: list[str] = []
    begin = b"POST /slow HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\n"
    received, _ = asyncio.run(
        _send_slowly(targets, begin, b"a" * 8, pause_s=0.04)
    )
    assert _list_statuses(received) == [200]
    assert targets == ["/slow"]


# A server that closes promised "not run" for a request that a handler had.
def test_a_server_that_closes_sends_no_response_for_a_handled_request() -> None:
    async def main() -> None:
        has_arrived = asyncio.Event()

        async def stall(
            request: http_server.HttpRequest,
            responder: http_server.HttpResponder,
        ) -> None:
            del request, responder
            has_arrived.set()
            await asyncio.Event().wait()

        async with http_server.HttpServer(stall, "127.0.0.1", 0) as server:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", server.port
            )
            writer.write(_COMPLETE)
            await has_arrived.wait()
        assert await reader.read() == b""
        writer.close()

    asyncio.run(main())


# A request ran whose idle connection was closed as it arrived, and its caller
# got no response.
@pytest.mark.parametrize("turns", range(5))
def test_no_handler_sees_a_request_on_a_connection_that_closes(
    turns: int,
) -> None:
    targets: list[str] = []

    async def handle(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        targets.append(request.path)
        await asyncio.sleep(0.02)
        await responder.send(200, b"ran")

    async def main() -> bytes:
        async with http_server.HttpServer(
            handle, "127.0.0.1", 0, _LIMITS
        ) as server:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", server.port
            )
            # The connection is idle after a first response.
            writer.write(_COMPLETE)
            await reader.readuntil(b"ran")
            await asyncio.sleep(0.02)
            writer.write(_COMPLETE)
            for _ in range(turns):
                await asyncio.sleep(0)
            server.close_idle_connections()
            try:
                return await reader.read()
            except ConnectionResetError:
                return b""
            finally:
                writer.close()

    received = asyncio.run(main())
    assert len(targets) == 1 + len(_list_statuses(received))


# Guards against requests that no caller sent: their targets were put together
# anew from parts, and lost what looked like a host.
@pytest.mark.parametrize(
    "target, expected",
    [
        (b"///cert/7", "///cert/7"),
        (b"//none/cert/7?a=1", "//none/cert/7?a=1"),
        (b"//[a", "//[a"),
        (b"/lot/1?", "/lot/1?"),
        (b"/lot/1?a=1?b=2#x", "/lot/1?a=1?b=2#x"),
        (b"/lot/1#x", "/lot/1#x"),
        (b"/lot;v=1/2", "/lot;v=1/2"),
        (b"/lot/http://a/b", "/lot/http://a/b"),
        (b"http://a.example/lot/1?a=1", "/lot/1?a=1"),
        (b"http://a.example", "/"),
        (b"http://a.example?a=1", "/?a=1"),
        (b"lot?u=http://a/b", "lot?u=http://a/b"),
        (b"*", "*"),
    ],
)
def test_a_target_arrives_as_it_was_sent(target: bytes, expected: str) -> None:
    seen: list[http_server.HttpRequest] = []

    async def handle(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        seen.append(request)
        await responder.send(200, b"")

    async def main() -> None:
        async with http_server.HttpServer(handle, "127.0.0.1", 0) as server:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", server.port
            )
            writer.write(b"GET " + target + b" HTTP/1.1\r\nhost: a\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

    asyncio.run(main())
    assert [request.target for request in seen] == [expected]
    assert seen[0].raw_path == expected.partition("?")[0]


# Guards against a connection that is closed without a response.
def test_a_target_that_is_no_url_is_refused() -> None:
    received = asyncio.run(
        _send([], b"GET http://[a/b HTTP/1.1\r\nhost: a\r\n\r\n")
    )
    assert _list_statuses(received) == [400]


# A connection whose client did not read stayed open with the whole response
# after its time was over.
def test_a_response_that_nobody_reads_is_given_up() -> None:
    body = bytes(32 * 1024 * 1024)

    async def handle(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        await responder.send(200, body)

    async def run() -> int:
        limits = attrs.evolve(_LIMITS, unread_ms=100)
        async with http_server.HttpServer(
            handle, "127.0.0.1", 0, limits
        ) as server:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", server.port, limit=1_024
            )
            writer.write(_COMPLETE)
            await asyncio.sleep(0.5)
            received = 0
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(1024 * 1024):
                    received += len(part)
            writer.close()
        return received

    assert asyncio.run(run()) < len(body)


# A client that goes on sending lost the response to its last request: closing a
# connection with unread bytes resets it.
def test_a_client_that_sends_after_its_last_request_gets_the_response() -> None:
    async def handle(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        await asyncio.sleep(0.1)
        await responder.send(200, b"ran")

    async def run() -> bytes:
        limits = attrs.evolve(_LIMITS, body_bytes=1024 * 1024)
        async with http_server.HttpServer(
            handle, "127.0.0.1", 0, limits
        ) as server:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", server.port
            )
            last = _COMPLETE.replace(
                b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"
            )
            writer.write(last + bytes(512 * 1024))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(0.5)
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            received = await reader.read()
            writer.close()
        return received

    assert _list_statuses(asyncio.run(run())) == [200]


# Methods are case-sensitive; an upstream got another one than the client sent.
def test_a_method_is_passed_on_as_it_was_sent() -> None:
    methods: list[str] = []

    async def handle(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        methods.append(request.method)
        await responder.send(200, b"")

    async def main() -> None:
        async with http_server.HttpServer(handle, "127.0.0.1", 0) as server:
            for method in (b"patch", b"PATCH", b"Post"):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", server.port
                )
                writer.write(method + b" / HTTP/1.1\r\nhost: a\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")
                writer.close()

    asyncio.run(main())
    assert methods == ["patch", "PATCH", "Post"]
