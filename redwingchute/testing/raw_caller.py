"""Sends bytes of a test's choice to a server and reads what comes back."""

import asyncio
import re

from redwingchute.connection import http_client

_TIMEOUT_S = 10.0


def make_head(path: str, *lines: str, key: str, method: str = "POST") -> bytes:
    """Returns the head of a request to a gateway of `gateway_rig`.

    Args:
      path: The target.
      *lines: Further header lines.
      key: The caller's key.
      method: The HTTP method.
    """
    fixed = (
        f"{method} {path} HTTP/1.1",
        "host: a.example",
        f"authorization: Bearer {key}",
    )
    return "\r\n".join((*fixed, *lines, "", "")).encode()


async def send(
    address: http_client.Address, *segments: bytes, pause_s: float = 0.0
) -> bytes:
    """Sends segments on one connection; returns all that is received.

    Args:
      address: The address of the server.
      *segments: What is sent.
      pause_s: The time between two of them.

    Raises:
      TimeoutError: The server does not close the connection.
    """
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    try:
        for segment in segments:
            writer.write(segment)
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(_TIMEOUT_S):
            return await reader.read()
    finally:
        writer.close()


def list_statuses(received: bytes) -> list[int]:
    """Returns the statuses of all final responses in received bytes."""
    found = re.findall(rb"HTTP/1\.1 ([2-5]\d\d) ", received)
    return [int(status) for status in found]
