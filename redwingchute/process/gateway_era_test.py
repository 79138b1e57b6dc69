"""Tests of a router when the store returns from an earlier copy."""

import asyncio
import collections

import pytest

from redwingchute.standin import metadata_store
from redwingchute.testing import gateway_rig

_RESTORATION = metadata_store.Restoration(away_ms=100, rewrite_ms=1_200)


async def _send_lookups(rig: gateway_rig.GatewayRig, count: int) -> list[int]:
    """Sends requests in turn and returns their statuses."""
    statuses = []
    for _ in range(count):
        response = await rig.send_request("/lookup/x")
        statuses.append(response.status)
        await asyncio.sleep(0.05)
    return statuses


# Guards against a version or entry of the copy that replaces a newer one.
def test_routes_and_upstreams_do_not_go_back_with_the_store() -> None:
    async def scenario() -> None:
        async with gateway_rig.GatewayRig() as rig:
            rig.store.take_copy()
            document = gateway_rig.make_document(version=2)
            document["routes"] = document["routes"][:1]
            rig.publish(document)
            rig.publish_runner("l-1", "draining")
            await asyncio.sleep(1)
            await rig.store.restore_copy(_RESTORATION)
            before = len(rig.list_runs("l-1"))
            statuses = await _send_lookups(rig, 30)
            # The copy may lack a version that no router has read yet.
            unconfirmed = await rig.send_request("/post/x", b"x")
            await asyncio.sleep(2)
            removed = await rig.send_request("/post/x", b"x")
            assert statuses == [200] * 30
            assert len(rig.list_runs("l-1")) == before
            assert unconfirmed.status == 503
            assert removed.status == 404

    asyncio.run(scenario())


def test_upstreams_missing_from_the_copy_serve_on() -> None:
    async def scenario() -> None:
        async with gateway_rig.GatewayRig() as rig:
            for runner_id in ("l-1", "l-2"):
                rig.store.write_record("keyed.servers", runner_id, None)
            rig.store.take_copy()
            for runner_id in ("l-1", "l-2"):
                rig.publish_runner(runner_id)
            await asyncio.sleep(1)
            await rig.store.restore_copy(_RESTORATION)
            assert await _send_lookups(rig, 40) == [200] * 40

    asyncio.run(scenario())


def test_an_upstream_that_does_not_write_again_is_gone() -> None:
    async def scenario() -> None:
        async with gateway_rig.GatewayRig() as rig:
            rig.store.write_record("keyed.servers", "l-1", None)
            rig.store.take_copy()
            rig.publish_runner("l-1")
            await asyncio.sleep(1)
            rig.store.write_record("keyed.servers", "l-1", None)
            await rig.store.restore_copy(_RESTORATION)
            await asyncio.sleep(4)
            before = len(rig.list_runs("l-1"))
            assert await _send_lookups(rig, 10) == [200] * 10
            assert len(rig.list_runs("l-1")) == before

    asyncio.run(scenario())


# Guards against tokens that are spent twice by routers over a real store.
@pytest.mark.parametrize("seed", [1, 2])
def test_prepaid_tokens_are_not_overspent_in_a_drill(seed: int) -> None:
    async def scenario() -> None:
        async with gateway_rig.GatewayRig(gateway_count=3) as rig:
            drill = asyncio.ensure_future(
                rig.store.run_drill(metadata_store.draw_restorations(seed, 3))
            )
            charged_tokens = 0
            statuses = collections.Counter[int]()
            for index in range(90):
                response = await rig.generate("/draft/x", 180, 20)
                statuses[response.status] += 1
                charged_tokens += 200 * (response.status == 200)
                await asyncio.sleep(0.1 if index % 3 else 0.2)
            await drill
            assert charged_tokens <= 10_000
            assert charged_tokens >= 5_000
            assert set(statuses) <= {200, 402, 503}

    asyncio.run(scenario())
