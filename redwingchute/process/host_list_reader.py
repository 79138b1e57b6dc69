"""Polls the platform's host list for upstreams that are leaving.

The list is only a hint: it lags, and while the platform is unavailable the
last known states remain. A long list is polled less often, to bound the
average transfer rate.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from redwingchute.connection import body_pace
from redwingchute.connection import http_client

_MIN_PERIOD_MS = 1_000
_BYTES_PER_S = 2_048
_TIMEOUT_MS = 2_000
# How slowly the list may arrive.
_MIN_BYTES_PER_S = 32 * 1024


class HostListReader:
    """Reads the host list and reports the state of each host."""

    def __init__(
        self,
        connections: http_client.ClientPool,
        platform: http_client.Address,
        on_state: Callable[[str, bool], None],
    ) -> None:
        """Initializes the reader.

        Args:
          connections: The connections to the platform.
          platform: The platform's address.
          on_state: Called with each host's name and whether it is leaving.
        """
        self._connections = connections
        self._platform = platform
        self._on_state = on_state

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            size_bytes = await self.read_once()
            period_ms = max(_MIN_PERIOD_MS, size_bytes * 1000 // _BYTES_PER_S)
            await asyncio.sleep(period_ms / 1000)

    async def read_once(self) -> int:
        """Reads the list once; returns its size in bytes, 0 on failure."""
        fetched = await self._connections.fetch(
            self._platform,
            "GET",
            "/hosts",
            [],
            b"",
            _TIMEOUT_MS,
            pace=body_pace.BodyPace(_TIMEOUT_MS, _MIN_BYTES_PER_S),
        )
        match fetched:
            case http_client.Fetched(status=200, body=body):
                for name, is_leaving in read_host_states(body):
                    self._on_state(name, is_leaving)
                return len(body)
            case _:
                return 0


def read_host_states(body: bytes) -> list[tuple[str, bool]]:
    """Returns (name, is leaving) for each well-formed entry of the list."""
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
