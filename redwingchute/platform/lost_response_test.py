"""Tests how late a version is applied if a response of the store is lost.

The response to the waiting read that should deliver the version is lost. The
router detects this only when the read times out, and then reads again.
"""

import asyncio

import pytest

from redwingchute.connection import http_client
from redwingchute.process import era_log
from redwingchute.process import gateway_settings
from redwingchute.process import keyed_follower
from redwingchute.process import operator_records
from redwingchute.process import shared_log
from redwingchute.testing import manual_loop
from redwingchute.testing import memory_log

# The store's usual response takes 4 ms; it may take hundreds when it is slow.
_RESPONSE_S = 0.1
_ADDRESS = http_client.Address("127.0.0.1", 1)


def _make_settings(fresh_ms: int) -> gateway_settings.GatewaySettings:
    return gateway_settings.GatewaySettings(
        host_name="huon-1",
        zone="huon",
        listen=_ADDRESS,
        ready_listen=_ADDRESS,
        peer_listen=_ADDRESS,
        metrics_listen=_ADDRESS,
        log_address=_ADDRESS,
        fleet_key=b"key",
        configuration_fresh_ms=fresh_ms,
    )


class _SilentLog(memory_log.MemoryLog):
    """A log that never responds to its first waiting read."""

    def __init__(self) -> None:
        super().__init__()
        self.has_lost_read = False

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        if wait_ms and not self.has_lost_read:
            self.has_lost_read = True
            self.topic.append((shared_log.KeyedRecord("config", b"2"),))
            assert response_timeout_ms is not None
            await asyncio.sleep((wait_ms + response_timeout_ms) / 1000)
            return shared_log.LogUnavailable("no response")
        await asyncio.sleep(_RESPONSE_S)
        return await super().read(topic, position, wait_ms, response_timeout_ms)


@pytest.mark.parametrize("fresh_ms", [2_000, 3_000, 4_000])
def test_a_lost_response_delays_a_version_within_the_bound(
    fresh_ms: int,
) -> None:
    loop = manual_loop.ManualLoop()
    delivered_s: list[float] = []
    follower = keyed_follower.KeyedFollower(
        era_log.EraLog(_SilentLog()),
        "op",
        operator_records.make_timing(fresh_ms),
        lambda: int(1000 * loop.time()),
        lambda record: delivered_s.append(loop.time()),
    )

    async def follow() -> float:
        await follower.read_once()
        started_s = loop.time()
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(10)
        task.cancel()
        return started_s

    started_s = loop.run_until_complete(follow())
    loop.close()
    assert delivered_s[0] - started_s < fresh_ms / 1000
