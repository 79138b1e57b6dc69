"""Tests of client connections: reuse and unresponsive hosts."""

import asyncio
import socket
from unittest import mock

from redwingchute.connection import body_pace
from redwingchute.connection import http_client
from redwingchute.testing import scripted_upstream

# More than the sockets of both ends buffer.
_UNREAD_BODY_BYTES = 16 * 1024 * 1024


def test_a_read_that_times_out_breaks_the_exchange() -> None:
    async def main() -> None:
        reader = asyncio.StreamReader()
        reader.set_exception(TimeoutError(110, "Connection timed out"))
        connection = http_client.ClientConnection(
            http_client.Address("127.0.0.1", 1),
            reader,
            mock.create_autospec(asyncio.StreamWriter),
        )
        head = await connection.read_head()
        assert isinstance(head, http_client.ExchangeBroken)

    asyncio.run(main())


def test_connections_set_the_tcp_user_timeout() -> None:
    async def main() -> None:
        server = await asyncio.start_server(
            lambda reader, writer: None, "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        pool = http_client.ClientPool(tcp_user_timeout_ms=900)
        async with server, pool:
            connection = await pool.acquire(
                http_client.Address("127.0.0.1", port)
            )
            assert isinstance(connection, http_client.ClientConnection)
            assert (
                connection.get_socket().getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                )
                == 900
            )
            connection.close()

    asyncio.run(main())


async def _echo_targets(
    connection: scripted_upstream.UpstreamConnection,
) -> None:
    """Answers each request with its target, in one segment."""
    while True:
        request = await connection.read_request()
        body = request.target.encode()
        await connection.send(scripted_upstream.make_response(200, body))


# The end of an abandoned body, read ahead with its last part, became the body
# of the next response on the connection.
def test_a_body_abandoned_before_its_end_does_not_empty_the_next_one() -> None:
    async def main() -> None:
        async with (
            scripted_upstream.ScriptedUpstream(_echo_targets) as upstream,
            http_client.ClientPool() as pool,
        ):
            connection = await pool.acquire(upstream.address)
            assert isinstance(connection, http_client.ClientConnection)
            await connection.send_request("GET", "/first", [], b"")
            await connection.read_head()
            chunk = await connection.read_chunk()
            assert chunk == http_client.BodyChunk(b"/first")
            pool.release(connection)
            fetched = await pool.fetch(
                upstream.address, "GET", "/second", [], b"", 1_000
            )
            assert isinstance(fetched, http_client.Fetched)
            assert fetched.body == b"/second"

    asyncio.run(main())


# The same, where the body was abandoned because it was too large.
def test_an_oversized_body_does_not_empty_the_next_one() -> None:
    async def main() -> None:
        async with (
            scripted_upstream.ScriptedUpstream(_echo_targets) as upstream,
            http_client.ClientPool() as pool,
        ):
            oversized = await pool.fetch(
                upstream.address, "GET", "/oversized", [], b"", 1_000, 4
            )
            assert isinstance(oversized, http_client.ExchangeBroken)
            fetched = await pool.fetch(
                upstream.address, "GET", "/second", [], b"", 1_000
            )
            assert isinstance(fetched, http_client.Fetched)
            assert fetched.body == b"/second"

    asyncio.run(main())


# A request waited behind the body of the one before, which its upstream had
# answered without reading.
def test_a_connection_with_unsent_bytes_is_not_reused() -> None:
    async def answer_early(
        connection: scripted_upstream.UpstreamConnection,
    ) -> None:
        if connection.number:
            await _echo_targets(connection)
        request = await connection.read_head()
        rejection = scripted_upstream.make_rejection(503, request.request_id)
        await connection.send(rejection)
        await asyncio.Event().wait()

    async def main() -> None:
        async with (
            scripted_upstream.ScriptedUpstream(answer_early) as upstream,
            http_client.ClientPool() as pool,
        ):
            body = bytes(_UNREAD_BODY_BYTES)
            first = await pool.fetch(
                upstream.address, "POST", "/first", [], body, 1_000
            )
            assert isinstance(first, http_client.Fetched)
            assert first.status == 503
            second = await pool.fetch(
                upstream.address, "GET", "/second", [], b"", 1_000
            )
            assert isinstance(second, http_client.Fetched)
            assert second.body == b"/second"

    asyncio.run(main())


# A busy process took a late extra response, which its event loop had not read
# yet, for the response to the next request.
def test_a_connection_with_unread_bytes_in_the_socket_is_not_reused() -> None:
    connections: list[scripted_upstream.UpstreamConnection] = []

    async def echo_and_register(
        connection: scripted_upstream.UpstreamConnection,
    ) -> None:
        connections.append(connection)
        await _echo_targets(connection)

    async def main() -> None:
        async with (
            scripted_upstream.ScriptedUpstream(echo_and_register) as upstream,
            http_client.ClientPool() as pool,
        ):
            first = await pool.fetch(
                upstream.address, "GET", "/first", [], b"", 1_000
            )
            assert isinstance(first, http_client.Fetched)
            # Reaches the socket before the event loop runs again.
            connections[0].send_at_once(scripted_upstream.make_response())
            second = await pool.fetch(
                upstream.address, "GET", "/second", [], b"", 1_000
            )
            assert isinstance(second, http_client.Fetched)
            assert second.body == b"/second"

    asyncio.run(main())


# A request was sent on a connection whose end the event loop had not read yet,
# and could then not be repeated.
def test_a_connection_closed_by_the_upstream_is_not_reused() -> None:
    connections: list[scripted_upstream.UpstreamConnection] = []

    async def echo_and_register(
        connection: scripted_upstream.UpstreamConnection,
    ) -> None:
        connections.append(connection)
        await _echo_targets(connection)

    async def main() -> None:
        async with (
            scripted_upstream.ScriptedUpstream(echo_and_register) as upstream,
            http_client.ClientPool() as pool,
        ):
            first = await pool.fetch(
                upstream.address, "GET", "/first", [], b"", 1_000
            )
            assert isinstance(first, http_client.Fetched)
            connections[0].shut_down()
            second = await pool.fetch(
                upstream.address, "GET", "/second", [], b"", 1_000
            )
            assert isinstance(second, http_client.Fetched)

    asyncio.run(main())


# A long request body was copied into the buffer of its connection, and stayed
# there while the upstream did not read it.
def test_a_long_body_is_not_copied_while_the_upstream_reads_slowly() -> None:
    async def run() -> int:
        closed = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await closed.wait()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, http_client.ClientPool() as pool:
            connection = await pool.open(http_client.Address("127.0.0.1", port))
            assert isinstance(connection, http_client.ClientConnection)
            body = bytes(32 * 1024 * 1024)
            await connection.send_request("POST", "/", [], body)
            await asyncio.sleep(0.05)
            transport = connection.detach()[1].transport
            unsent_bytes = transport.get_write_buffer_size()
            connection.close()
            assert not transport.get_write_buffer_size()
            closed.set()
        return unsent_bytes

    assert asyncio.run(run()) <= 256 * 1024


# Idle connections to many upstreams took the descriptors that were left: each
# upstream had a limit, and all of them together had none.
def test_idle_connections_are_closed_for_new_ones() -> None:
    async def run() -> tuple[int, int]:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()
            writer.close()

        servers = [
            await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(6)
        ]
        async with http_client.ClientPool() as pool:
            pool.max_connections = 4
            for server in servers:
                port = server.sockets[0].getsockname()[1]
                address = http_client.Address("127.0.0.1", port)
                connection = await pool.open(address)
                assert isinstance(connection, http_client.ClientConnection)
                pool.add_idle(connection)
            open_count = pool.open_count
            newest_idle = pool.count_idle(address)
        for server in servers:
            server.close()
        assert pool.open_count == 0
        return open_count, newest_idle

    assert asyncio.run(run()) == (4, 1)


def _fetch_slow_body(
    part_bytes: int, parts: int, pause_s: float
) -> (
    http_client.Fetched | http_client.ConnectFailed | http_client.ExchangeBroken
):
    """Fetches a response whose body is sent in parts, with pauses."""

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        await connection.read_request()
        length = part_bytes * parts
        await connection.send(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length
        )
        await connection.send(*[bytes(part_bytes)] * parts, pause_s=pause_s)

    async def run() -> (
        http_client.Fetched
        | http_client.ConnectFailed
        | http_client.ExchangeBroken
    ):
        async with (
            scripted_upstream.ScriptedUpstream(serve) as upstream,
            http_client.ClientPool() as pool,
        ):
            return await pool.fetch(
                upstream.address,
                "GET",
                "/",
                [],
                b"",
                200,
                pace=body_pace.BodyPace(200, 10_000),
            )

    return asyncio.run(run())


# A response that a narrow link carries was given up at the time limit of a
# small one, and begun again from its first byte.
def test_a_response_that_goes_on_arriving_is_not_given_up() -> None:
    fetched = _fetch_slow_body(10_000, 12, 0.05)
    assert isinstance(fetched, http_client.Fetched)
    assert len(fetched.body) == 120_000
    assert fetched.body_ms > 0


def test_a_response_that_stops_or_trickles_is_given_up() -> None:
    stopped = _fetch_slow_body(10_000, 2, 5.0)
    assert isinstance(stopped, http_client.ExchangeBroken)
    assert 10_000 <= stopped.received_bytes < 20_000
    trickling = _fetch_slow_body(1, 1_000, 0.02)
    assert isinstance(trickling, http_client.ExchangeBroken)
    assert trickling.received_bytes < 200


# A lost response was noticed later by what even a short request would have
# taken over a very narrow link.
def test_a_lost_response_to_a_short_request_is_noticed_in_its_time() -> None:
    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        await connection.read_request()
        await asyncio.sleep(10)

    async def run() -> object:
        async with (
            scripted_upstream.ScriptedUpstream(serve) as upstream,
            http_client.ClientPool() as pool,
            asyncio.timeout(3),
        ):
            return await pool.fetch(
                upstream.address,
                "POST",
                "/",
                [],
                bytes(60_000),
                200,
                pace=body_pace.BodyPace(200, 10_000),
            )

    assert isinstance(asyncio.run(run()), http_client.ExchangeBroken)
