"""Tests of versions that reach a router over a narrow link to the log.

The link is one of 5 Mbit/s, the narrowest of the hosts, where a version has to
be in force 3 s after its acknowledgement.
"""

import asyncio
import copy
from typing import Any

import pytest

from redwingchute.testing import gateway_rig

_NARROW_BYTES_PER_S = 625_000.0
_APPLY_S = 3.0
_REMOVED_KEY = "key-2"
_ASKED_S = 4.0
_ASK_INTERVAL_S = 0.2


def _make_version(
    version: int, added_routes: int, has_key: bool
) -> dict[str, Any]:
    """Returns a configuration with many routes, and a key that may be gone."""
    document = gateway_rig.make_document(version)
    route = document["routes"][0]
    for number in range(added_routes):
        added = copy.copy(route)
        added["name"] = f"added-{number}"
        added["pathPrefix"] = f"/added{number:05d}/"
        document["routes"].append(added)
    keys = [_REMOVED_KEY] if has_key else []
    document["tenants"].append(
        {"name": "other", "apiKeys": keys, "reserved": 10_000}
    )
    return document


async def _ask(rig: gateway_rig.GatewayRig) -> int:
    """Returns the status of a request with the key that is removed."""
    response = await rig.send_request(
        "/lookup/1", authorization=f"Bearer {_REMOVED_KEY}"
    )
    return response.status


async def _publish_storm(
    rig: gateway_rig.GatewayRig, versions: int, gap_s: float, added_routes: int
) -> None:
    """Publishes versions in quick succession; the last one removes a key."""
    for version in range(2, versions + 2):
        rig.publish(_make_version(version, added_routes, True))
        await asyncio.sleep(gap_s)
    rig.publish(_make_version(versions + 2, added_routes, False))


async def _collect_late_statuses(rig: gateway_rig.GatewayRig) -> set[int]:
    """Returns the statuses from when the last version must be in force."""
    await asyncio.sleep(_APPLY_S)
    statuses = set()
    for _ in range(int(_ASKED_S / _ASK_INTERVAL_S)):
        statuses.add(await _ask(rig))
        await asyncio.sleep(_ASK_INTERVAL_S)
    return statuses


# Guards against a router that keeps an old version for good, since it begins
# again with a response that is larger than its link carries in the time limit.
@pytest.mark.parametrize(
    ("versions", "gap_s", "added_routes"),
    [(18, 0.24, 1_000), (25, 0.06, 1_000), (60, 0.03, 250)],
)
def test_the_last_of_many_versions_is_in_force_in_time(
    versions: int, gap_s: float, added_routes: int
) -> None:
    async def main() -> None:
        async with gateway_rig.GatewayRig(
            document=_make_version(1, 0, True),
            link_bytes_per_s=_NARROW_BYTES_PER_S,
        ) as rig:
            assert await _ask(rig) == 200
            await _publish_storm(rig, versions, gap_s, added_routes)
            assert await _collect_late_statuses(rig) == {401}

    asyncio.run(main())


# Guards against the same on a link whose stated width is no longer true.
def test_a_link_that_becomes_narrow_delays_no_version_for_good() -> None:
    async def main() -> None:
        async with gateway_rig.GatewayRig(
            document=_make_version(1, 0, True),
            link_bytes_per_s=20 * _NARROW_BYTES_PER_S,
        ) as rig:
            assert await _ask(rig) == 200
            (link,) = rig.links
            storm = asyncio.create_task(_publish_storm(rig, 18, 0.24, 1_000))
            await asyncio.sleep(1.0)
            link.bytes_per_s = _NARROW_BYTES_PER_S
            await storm
            assert await _collect_late_statuses(rig) == {401}

    asyncio.run(main())


# Guards against a router that can't start behind a narrow link, since the
# newest records take longer than the time limit of a call.
def test_a_router_starts_with_a_list_that_takes_seconds() -> None:
    async def main() -> None:
        async with gateway_rig.GatewayRig(
            document=_make_version(1, 1_000, False),
            link_bytes_per_s=_NARROW_BYTES_PER_S / 4,
        ) as rig:
            # The list may be too old to judge a key by when it has arrived.
            async with asyncio.timeout(_APPLY_S):
                while (status := await _ask(rig)) == 503:
                    await asyncio.sleep(_ASK_INTERVAL_S)
            assert status == 401

    asyncio.run(main())


# Guards against a follower that stays behind after the log has removed what it
# had not read.
def test_removed_history_delays_no_version_for_good() -> None:
    async def main() -> None:
        async with gateway_rig.GatewayRig(
            document=_make_version(1, 0, True),
            link_bytes_per_s=_NARROW_BYTES_PER_S,
        ) as rig:
            topic = rig.store.log.get_or_create_topic("keyed.op")
            storm = asyncio.create_task(_publish_storm(rig, 18, 0.24, 1_000))
            while not storm.done():
                await asyncio.sleep(1.0)
                topic.discard_history()
            await storm
            assert await _collect_late_statuses(rig) == {401}

    asyncio.run(main())


# Guards against a reader that waits for the rest of a response on a link that
# was cut in the middle of it, or begins again with all that it had missed.
def test_a_cut_in_the_middle_of_a_read_delays_no_version_for_good() -> None:
    async def main() -> None:
        async with gateway_rig.GatewayRig(
            document=_make_version(1, 0, True),
            link_bytes_per_s=_NARROW_BYTES_PER_S,
        ) as rig:
            (link,) = rig.links
            storm = asyncio.create_task(_publish_storm(rig, 18, 0.24, 1_000))
            await asyncio.sleep(1.0)
            link.is_stalled = True
            await storm
            link.is_stalled = False
            assert await _collect_late_statuses(rig) == {401}

    asyncio.run(main())


# Guards against versions that reach routers only one after the other.
def test_a_storm_reaches_routers_behind_links_of_their_own() -> None:
    async def main() -> None:
        async with gateway_rig.GatewayRig(
            3,
            document=_make_version(1, 0, True),
            link_bytes_per_s=_NARROW_BYTES_PER_S,
        ) as rig:
            await _publish_storm(rig, 18, 0.24, 1_000)
            await asyncio.sleep(_APPLY_S)
            statuses = [
                (
                    await rig.send_request(
                        "/lookup/1",
                        gateway_number=number,
                        authorization=f"Bearer {_REMOVED_KEY}",
                    )
                ).status
                for number in range(3)
            ]
            assert statuses == [401] * 3

    asyncio.run(main())
