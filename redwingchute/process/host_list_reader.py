"""Follows the platform's host list for upstreams that are leaving.

The list is a hint that lags; when the platform is out, what it said last
stays. A long list is read less often, so that reading it costs little.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from redwingchute.connection import http_client

_MIN_PERIOD_MS = 1_000
_BYTES_PER_S = 2_048
_TIMEOUT_MS = 2_000


class HostListReader:
    """Reads the host list and passes on the state of each host."""

    def __init__(
        self,
        connections: http_client.ClientPool,
        platform: http_client.Address,
        note_state: Callable[[str, bool], None],
    ) -> None:
        """Binds the reader.

        Args:
          connections: Connections to the platform.
          platform: The platform's address.
          note_state: Called with each host's name and whether it is leaving.
        """
        self._connections = connections
        self._platform = platform
        self._note_state = note_state

    async def run(self) -> None:
        """Reads the list until cancelled."""
        while True:
            size_bytes = await self.read_once()
            period_ms = max(_MIN_PERIOD_MS, size_bytes * 1000 // _BYTES_PER_S)
            await asyncio.sleep(period_ms / 1000)

    async def read_once(self) -> int:
        """Reads the list once and returns its size in bytes."""
        fetched = await self._connections.fetch(
            self._platform, "GET", "/hosts", [], b"", _TIMEOUT_MS
        )
        match fetched:
            case http_client.Fetched(status=200, body=body):
                for name, is_leaving in read_host_states(body):
                    self._note_state(name, is_leaving)
                return len(body)
            case _:
                return 0


def read_host_states(body: bytes) -> list[tuple[str, bool]]:
    """Returns (name, is leaving) of each well-formed entry of the list."""
    try:
        entries: Any = json.loads(body)
    except ValueError:
        return []
    if not isinstance(entries, list):
        return []
    return [
        (entry["name"], entry["state"] == "leaving")
        for entry in entries
        if isinstance(entry, dict)
        and isinstance(entry.get("name"), str)
        and entry.get("state") in ("live", "leaving")
    ]
