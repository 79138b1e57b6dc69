"""Polls the upstreams of a router's subset for load and cache events.

Services other than engines have no load interface. The poller only connects to
their instances, so that one that is down is found before a request fails on it.
"""

import asyncio
import json
import random
from typing import Any

from redwingchute.connection import http_client
from redwingchute.core import configuration
from redwingchute.core import requesting
from redwingchute.request import dispatcher
from redwingchute.request import prefix_affinity

_MIN_PERIOD_MS = 1_000
# Bounds the cost of polling: the more upstreams, the longer the period of each.
_MAX_POLLS_PER_S = 8
_TIMEOUT_MS = 800
_MAX_RESPONSE_BYTES = 256 * 1024
# The prefix of the names of pools whose upstreams are engines.
_MODEL_PREFIX = dispatcher.name_model_pool("")


def find_period_ms(upstream_count: int) -> int:
    """Returns the time between two polls of the same upstream.

    Args:
      upstream_count: The number of upstreams that are polled.
    """
    return max(_MIN_PERIOD_MS, upstream_count * 1_000 // _MAX_POLLS_PER_S)


class LoadPoller:
    """Polls upstreams for one dispatcher."""

    def __init__(
        self,
        target: dispatcher.Dispatcher,
        connections: http_client.ClientPool,
        rng: random.Random,
    ) -> None:
        """Creates a poller.

        Args:
          target: The dispatcher that lists the upstreams and receives their
            reports.
          connections: Connections to upstreams.
          rng: Randomizes the pauses between polls, so that routers do not poll
            in step.
        """
        self._target = target
        self._connections = connections
        self._rng = rng
        self._next_offsets: dict[str, int] = {}

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            upstreams = self._list_upstreams()
            period_ms = find_period_ms(len(upstreams))
            pause_ms = period_ms / max(len(upstreams), 1)
            async with asyncio.TaskGroup() as group:
                for pool_name, upstream in upstreams:
                    group.create_task(self._poll(pool_name, upstream))
                    await self._pause(pause_ms)
            if not upstreams:
                await self._pause(period_ms)

    async def poll_once(self) -> None:
        """Polls every upstream of the subset once."""
        polls = [
            self._poll(pool_name, upstream)
            for pool_name, upstream in self._list_upstreams()
        ]
        await asyncio.gather(*polls)

    def _list_upstreams(self) -> list[tuple[str, configuration.Upstream]]:
        """Returns the upstreams of the subset, each with its pool's name."""
        return [
            (pool_name, upstream)
            for pool_name, pool in self._target.list_pools().items()
            for upstream in pool.upstreams.list_upstreams()
        ]

    async def _pause(self, pause_ms: float) -> None:
        """Waits for a time with a random deviation of up to 20 percent."""
        await asyncio.sleep(pause_ms * self._rng.uniform(0.8, 1.2) / 1_000)

    async def _poll(
        self, pool_name: str, upstream: configuration.Upstream
    ) -> None:
        """Polls one upstream and forwards its reports to the dispatcher."""
        address = http_client.Address.parse(upstream.address)
        if not pool_name.startswith(_MODEL_PREFIX):
            await self._probe_connection(pool_name, upstream, address)
            return
        fetched = await self._connections.fetch(
            address, "GET", "/load", [], b"", _TIMEOUT_MS, _MAX_RESPONSE_BYTES
        )
        match fetched:
            case http_client.ConnectFailed():
                self._target.mark_unreachable(pool_name, upstream.name)
                # A restarted engine numbers its events from 0 again.
                self._next_offsets.pop(upstream.name, None)
            case http_client.Fetched(status=200):
                report = parse_load_report(fetched.body)
                if report is not None:
                    self._target.handle_load_report(
                        pool_name, upstream.name, report
                    )
                await self._poll_cache_events(pool_name, upstream, address)
            case _:
                # A slow or unexpected response does not show that requests
                # would fail.
                return

    async def _poll_cache_events(
        self,
        pool_name: str,
        upstream: configuration.Upstream,
        address: http_client.Address,
    ) -> None:
        """Fetches the cache events of one engine since the last poll."""
        offset = self._next_offsets.get(upstream.name, 0)
        fetched = await self._connections.fetch(
            address,
            "GET",
            f"/cache_events?from={offset}",
            [],
            b"",
            _TIMEOUT_MS,
            _MAX_RESPONSE_BYTES,
        )
        if not isinstance(fetched, http_client.Fetched):
            return
        events = parse_cache_events(fetched.body)
        if events:
            self._next_offsets[upstream.name] = events[-1].sequence + 1
            self._target.handle_cache_events(pool_name, upstream.name, events)

    async def _probe_connection(
        self,
        pool_name: str,
        upstream: configuration.Upstream,
        address: http_client.Address,
    ) -> None:
        """Reports whether a service instance accepts connections."""
        connection = await self._connections.acquire(address)
        if isinstance(connection, http_client.ConnectFailed):
            self._target.mark_unreachable(pool_name, upstream.name)
        else:
            self._target.mark_reachable(pool_name, upstream.name)
            self._connections.release(connection)


def parse_load_report(body: bytes) -> requesting.LoadReport | None:
    """Returns an engine's load report, or None when it is malformed."""
    try:
        fields = json.loads(body)
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    running = _parse_count(fields, "running")
    queued = _parse_count(fields, "queued")
    slots = _parse_count(fields, "slots")
    at_ms = _parse_count(fields, "at_ms")
    if running is None or queued is None or slots is None or at_ms is None:
        return None
    return requesting.LoadReport(running, queued, slots, at_ms)


def parse_cache_events(
    body: bytes,
) -> tuple[prefix_affinity.CacheEvent, ...] | None:
    """Returns an engine's cache events, or None when the body is malformed.

    Malformed events and those of other kinds are skipped.
    """
    try:
        fields = json.loads(body)
    except ValueError:
        return None
    events = fields.get("events") if isinstance(fields, dict) else None
    if not isinstance(events, list):
        return None
    parsed = [_parse_cache_event(event) for event in events]
    return tuple(event for event in parsed if event is not None)


def _parse_cache_event(event: Any) -> prefix_affinity.CacheEvent | None:
    """Returns one event, or None when it is malformed or of another kind."""
    if not isinstance(event, dict):
        return None
    offset = _parse_count(event, "offset")
    block = event.get("block")
    kind = event.get("kind")
    if offset is None or not isinstance(block, str):
        return None
    if kind not in ("stored", "evicted"):
        return None
    try:
        digest = bytes.fromhex(block)
    except ValueError:
        return None
    return prefix_affinity.CacheEvent(offset, digest, kind == "stored")


def _parse_count(fields: dict[str, Any], name: str) -> int | None:
    """Returns a field's value if it is an integer of at least 0, else None."""
    value = fields.get(name)
    if type(value) is not int or value < 0:
        return None
    return value
