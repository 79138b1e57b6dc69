"""Finds out whether an upstream went down, after an exchange broke."""

import asyncio

from redwingchute.connection import http_client
from redwingchute.core import configuration

_CONNECT_MS = 500
_PAUSE_MS = 50
_PROBES = 2


class CrashProbe:
    """Tries fresh connections, which no pool keeps."""

    def __init__(self) -> None:
        """Prepares the probe."""
        self._connections = http_client.ClientPool(_CONNECT_MS, 0)

    async def is_down(self, upstream: configuration.Upstream) -> bool:
        """Tells whether an upstream refuses connections, now or soon."""
        address = http_client.Address.parse(upstream.address)
        for _ in range(_PROBES):
            connection = await self._connections.acquire(address)
            if isinstance(connection, http_client.ConnectFailed):
                return True
            connection.close()
            await asyncio.sleep(_PAUSE_MS / 1000)
        return False
