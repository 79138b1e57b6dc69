"""Tests of the HTTP server and client over loopback connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.connection import server_limits

_LIMITS = server_limits.ServerLimits(header_bytes=2_048, body_bytes=4_096)


async def _echo(
    request: http_server.HttpRequest, responder: http_server.HttpResponder
) -> None:
    await responder.send(200, request.body or request.path.encode(), "text/x")


def _run(
    scenario: Callable[[http_client.Address], Awaitable[None]],
    handler: http_server.Handler = _echo,
) -> None:
    """Runs a scenario against a server with the given handler."""

    async def main() -> None:
        async with http_server.HttpServer(
            handler, "127.0.0.1", 0, _LIMITS
        ) as server:
            await scenario(http_client.Address("127.0.0.1", server.port))

    asyncio.run(main())


async def _send_raw(address: http_client.Address, payload: bytes) -> bytes:
    """Sends raw bytes and returns all that is received until the close."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(payload)
    response = await reader.read()
    writer.close()
    return response


def test_connection_is_reused_for_the_next_exchange() -> None:
    async def scenario(address: http_client.Address) -> None:
        async with http_client.ClientPool() as pool:
            first = await pool.acquire(address)
            assert isinstance(first, http_client.ClientConnection)
            pool.release(first)
            for text in (b"one", b"two"):
                fetched = await pool.fetch(address, "POST", "/", [], text, 9999)
                assert isinstance(fetched, http_client.Fetched)
                assert fetched.body == text

    _run(scenario)


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nbad header\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 9_000, b"431"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"
            + b"x" * 9_000,
            b"413",
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: z\r\n\r\n", b"400"),
    ],
)
def test_bad_input_gets_a_4xx_response_and_closes_the_connection(
    payload: bytes, status: bytes
) -> None:
    async def scenario(address: http_client.Address) -> None:
        response = await _send_raw(address, payload)
        assert response.startswith(b"HTTP/1.1 " + status)
        assert b'"not_run"' in response
        # Other connections are not affected.
        async with http_client.ClientPool() as pool:
            fetched = await pool.fetch(address, "GET", "/ok", [], b"", 9_999)
            assert isinstance(fetched, http_client.Fetched)

    _run(scenario)


def test_pipelined_requests_get_responses_in_order() -> None:
    async def scenario(address: http_client.Address) -> None:
        get = b"GET /%d HTTP/1.1\r\nHost: a\r\n%s\r\n"
        response = await _send_raw(
            address, get % (1, b"") + get % (2, b"Connection: close\r\n")
        )
        assert response.index(b"/1") < response.index(b"/2")

    _run(scenario)


def test_disconnect_cancels_the_handler() -> None:
    started = asyncio.Event()
    cancelled = asyncio.Event()

    async def wait_forever(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        started.set()
        try:
            await asyncio.Event().wait()
        finally:
            cancelled.set()

    async def scenario(address: http_client.Address) -> None:
        _, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await started.wait()
        writer.close()
        await cancelled.wait()

    _run(scenario, wait_forever)


def test_late_bytes_never_reach_the_next_exchange() -> None:
    """A connection with bytes after a complete response is not reused."""

    async def respond_twice(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d"
        while await reader.read(4_096):
            writer.write(response % 1 + response % 2)

    async def main() -> None:
        server = await asyncio.start_server(respond_twice, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = http_client.Address("127.0.0.1", port)
        async with http_client.ClientPool() as pool:
            for _ in range(3):
                fetched = await pool.fetch(address, "GET", "/", [], b"", 9_999)
                assert isinstance(fetched, http_client.Fetched)
                assert fetched.body == b"1"
        server.close()

    asyncio.run(main())


def test_connect_failure_differs_from_a_broken_exchange() -> None:
    async def disconnect(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        raise http_server.ClientDisconnectedError

    async def scenario(address: http_client.Address) -> None:
        async with http_client.ClientPool() as pool:
            broken = await pool.fetch(address, "GET", "/", [], b"", 9_999)
            assert isinstance(broken, http_client.ExchangeBroken)
            unused = http_client.Address("127.0.0.1", 1)
            failed = await pool.fetch(unused, "GET", "/", [], b"", 9_999)
            assert isinstance(failed, http_client.ConnectFailed)

    _run(scenario, disconnect)


def test_drain_closes_connections_after_their_response() -> None:
    async def main() -> None:
        async with http_server.HttpServer(_echo, "127.0.0.1", 0) as server:
            server.begin_drain()
            address = http_client.Address("127.0.0.1", server.port)
            response = await _send_raw(
                address, b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            assert b"connection: close" in response.lower()

    asyncio.run(main())
