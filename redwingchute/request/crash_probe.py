"""Probes whether an upstream went down after an exchange with it broke."""

import asyncio

from redwingchute.connection import http_client
from redwingchute.core import configuration

_CONNECT_TIMEOUT_MS = 500
_PROBE_INTERVAL_MS = 50
_PROBE_COUNT = 2


class CrashProbe:
    """Opens new connections to upstreams, which are never reused."""

    def __init__(self) -> None:
        """Creates a probe with a connection pool that keeps no connection."""
        self._connections = http_client.ClientPool(_CONNECT_TIMEOUT_MS, 0)

    async def is_down(self, upstream: configuration.Upstream) -> bool:
        """Returns whether an upstream refuses connections.

        Connects twice, with a pause in between, since an upstream that crashes
        may still accept connections for a moment. A connection that cannot be
        opened in time counts as refused.
        """
        address = http_client.Address.parse(upstream.address)
        for _ in range(_PROBE_COUNT):
            connection = await self._connections.acquire(address)
            if isinstance(connection, http_client.ConnectFailed):
                return True
            connection.close()
            await asyncio.sleep(_PROBE_INTERVAL_MS / 1000)
        return False
