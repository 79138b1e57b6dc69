"""Listens on addresses without accepting more than can be handled."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

# Connections that wait to be accepted.
_BACKLOG = 1_024
# Connections that one iteration of the event loop accepts. Each is counted, and
# closed if there are too many, only in a later one.
_ACCEPTED_AT_ONCE = 16


async def start_server(
    serve: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
    address: str,
    port: int,
    reader_bytes: int,
) -> asyncio.Server:
    """Returns a server that accepts connections on an IP address.

    Args:
      serve: Serves one connection.
      address: The IP address.
      port: The port, or 0 to let the system choose one.
      reader_bytes: A connection is not read while twice this is waiting.

    Raises:
      OSError: The address is in use or not an address of this host.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address, port))
        server = await asyncio.start_server(
            serve, sock=listener, backlog=_ACCEPTED_AT_ONCE, limit=reader_bytes
        )
    except BaseException:
        listener.close()
        raise
    listener.listen(_BACKLOG)
    return server
