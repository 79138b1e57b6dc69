"""Tests of detecting an unresponsive host by missing acknowledgements."""

import asyncio
import socket
from unittest import mock

from redwingchute.connection import http_client


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
