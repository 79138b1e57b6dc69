"""Tests of requests that are confined to home regions, on loopback."""

import asyncio
from typing import Any

import pytest

from redwingchute.testing import gateway_rig
from redwingchute.testing import upstream_cut

# Three regions with one zone each; the third has no upstreams.
_ZONE_REGIONS = {"huon": "south", "bruny": "east", "tamar": "west"}
_ZONES = {
    "l-1": "huon",
    "m-1": "huon",
    "l-2": "bruny",
    "m-2": "bruny",
    "huon-1": "huon",
    "huon-2": "bruny",
    "huon-3": "tamar",
}
_STREAM = {"token_usage": "100,4", "prompt_prefix": "aa:100", "model": "m"}
_ROUNDS = 8


def _make_rig(
    route_homes: list[str],
    account_homes: list[str],
    zones: dict[str, str] | None = None,
) -> gateway_rig.GatewayRig:
    """Returns three gateways, with homes for all routes and the account."""
    document: dict[str, Any] = gateway_rig.make_document()
    for route in document["routes"]:
        route["allowedRegions"] = route_homes
    document["tenants"][0]["allowedRegions"] = account_homes
    return gateway_rig.GatewayRig(
        3,
        document,
        zones={**_ZONES, **(zones or {})},
        zone_regions=_ZONE_REGIONS,
    )


async def _send_rounds(rig: gateway_rig.GatewayRig, number: int) -> list[int]:
    """Sends requests of each kind to a gateway; returns their statuses."""
    statuses = []
    for _ in range(_ROUNDS):
        for path, body, headers in (
            ("/lookup/x", b"", {}),
            ("/post/x", b"body", {}),
            ("/draft/x", b"prompt", _STREAM),
        ):
            response = await rig.send_request(path, body, number, **headers)
            statuses.append(response.status)
    return statuses


# Guards against requests that run outside of their home regions.
@pytest.mark.parametrize(
    ("route_homes", "account_homes"),
    [
        (["east"], []),
        ([], ["east", "west"]),
        (["east", "south"], ["east", "west"]),
    ],
)
def test_requests_run_only_in_their_home_regions(
    route_homes: list[str], account_homes: list[str]
) -> None:
    async def main() -> None:
        async with _make_rig(route_homes, account_homes) as rig:
            await asyncio.sleep(1)
            for number in range(3):
                assert set(await _send_rounds(rig, number)) == {200}
            assert not rig.list_runs("l-1")
            assert not rig.list_runs("m-1")

    asyncio.run(main())


# Guards against a retry or the rest of a stream outside of the home regions.
def test_requests_that_fail_at_home_go_nowhere_else() -> None:
    async def main() -> None:
        async with _make_rig(["east"], []) as rig:
            rig.set_faults("l-2", fail_runs=True)
            rig.set_faults("m-2", break_after_events=2)
            await asyncio.sleep(1)
            assert (await rig.send_request("/lookup/x")).status >= 500
            await rig.send_request("/summary/x", b"prompt", 0, **_STREAM)
            assert rig.list_runs("l-2") and rig.list_runs("m-2")
            assert not rig.list_runs("l-1")
            assert not rig.list_runs("m-1")

    asyncio.run(main())


# Guards against bodies that pass through hosts outside of the home regions.
@pytest.mark.parametrize(
    ("zone_of_peer", "status"), [("bruny", 503), ("huon", 200)]
)
def test_only_hosts_in_home_regions_carry_requests(
    zone_of_peer: str, status: int
) -> None:
    async def main() -> None:
        async with _make_rig(["south"], [], {"huon-2": zone_of_peer}) as rig:
            await asyncio.sleep(1)
            rig.cuts[0].begin(upstream_cut.CutKind.RESET)
            for _ in range(_ROUNDS):
                response = await rig.send_request("/post/x", b"body")
                assert response.status == status
            assert len(rig.list_runs("l-1")) == (
                _ROUNDS if status == 200 else 0
            )
            assert not rig.list_runs("l-2")

    asyncio.run(main())


# Guards against callers that wait, or come back, for what cannot be served.
def test_requests_without_a_home_upstream_are_refused_without_a_time() -> None:
    async def main() -> None:
        async with _make_rig(["west"], []) as rig:
            for path in ("/lookup/x", "/draft/x"):
                response = await rig.send_request(path, b"body", 0, **_STREAM)
                assert response.status == 503
                assert b"no_home_upstream" in response.body
                assert "retry-after" not in response.headers
            assert not rig.list_runs()

    asyncio.run(main())
