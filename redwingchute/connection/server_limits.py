"""The limits of each connection of a server."""

import attrs


@attrs.frozen
class ServerLimits:
    """The limits of one connection.

    Attributes:
      header_bytes: The request line and headers together, and any single line.
      body_bytes: The size of the body of one request.
      idle_ms: The time without a request on a kept-alive connection.
      receive_ms: The time that a head may take from its first byte, and the
        wait for more bytes of a body.
      body_ms: The time that a body may take in all, however steadily it comes.
        No caller waits longer for its response.
      unread_ms: How long a client may leave a full send buffer unread.
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    idle_ms: int = 60_000
    receive_ms: int = 15_000
    body_ms: int = 60_000
    unread_ms: int = 30_000
