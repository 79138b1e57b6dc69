"""Tests of what leaves the zone, by gateways on loopback."""

import asyncio

from redwingchute.connection import http_client
from redwingchute.testing import gateway_rig

_ZONES = {
    "l-1": "huon",
    "m-1": "huon",
    "l-2": "bruny",
    "m-2": "bruny",
    "huon-1": "huon",
    "huon-2": "bruny",
}
_STREAM = {"token_usage": "100,4", "prompt_prefix": "aa:50,bb:50", "model": "m"}


async def _send(rig: gateway_rig.GatewayRig, number: int, count: int) -> None:
    """Sends requests of two kinds to a gateway, which must all be served."""
    for _ in range(count):
        plain = await rig.send_request("/post/x", b"body", number)
        stream = await rig.send_request(
            "/draft/x", b"prompt", number, **_STREAM
        )
        assert plain.status == stream.status == 200


async def _read_metrics(rig: gateway_rig.GatewayRig) -> str:
    """Returns the metrics of the first gateway."""
    async with http_client.ClientPool() as pool:
        address = rig.gateways[0].settings.metrics_listen
        fetched = await pool.fetch(address, "GET", "/metrics", [], b"", 1_000)
    assert isinstance(fetched, http_client.Fetched)
    return fetched.body.decode()


def test_requests_stay_in_their_zone_until_it_has_no_upstream() -> None:
    async def main() -> None:
        async with gateway_rig.GatewayRig(
            2, zones=_ZONES, crossing_ms_per_mb=1e6
        ) as rig:
            await asyncio.sleep(1)
            await _send(rig, 0, 6)
            assert not rig.list_runs("l-2") and not rig.list_runs("m-2")
            assert "zone_crossings_total{" not in await _read_metrics(rig)
            for runner_id in ("l-1", "m-1"):
                rig.publish_runner(runner_id, "draining")
            await asyncio.sleep(1)
            await _send(rig, 0, 3)
            assert len(rig.list_runs("l-2")) == len(rig.list_runs("m-2")) == 3
            text = await _read_metrics(rig)
            labels = '{reason="no_upstream",zone="bruny"}'
            assert f"zone_crossings_total{labels} 6.0" in text
            body_bytes = 3 * len(b"body") + 3 * len(b"prompt")
            assert f'_body_bytes_total{{zone="bruny"}} {body_bytes}.0' in text

    asyncio.run(main())


def test_without_a_price_requests_go_to_all_zones() -> None:
    async def main() -> None:
        async with gateway_rig.GatewayRig(2, zones=_ZONES) as rig:
            await asyncio.sleep(1)
            for number in range(12):
                headers = {**_STREAM, "prompt_prefix": f"a{number}:50,bb:50"}
                await rig.send_request("/draft/x", b"prompt", 0, **headers)
            assert rig.list_runs("m-1") and rig.list_runs("m-2")
            assert "zone_crossings_total{" not in await _read_metrics(rig)

    asyncio.run(main())
