"""Tests of load reports, cache events, host lists and subsets."""

import asyncio
import json

import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import requesting
from redwingchute.process import host_list_reader
from redwingchute.request import load_poller
from redwingchute.request import prefix_affinity
from redwingchute.request import upstream_subset
from redwingchute.testing import narrow_link
from redwingchute.testing import request_builders as builders


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (
            b'{"running": 1, "queued": 2, "slots": 8, "at_ms": 5}',
            requesting.LoadReport(1, 2, 8, 5),
        ),
        (b'{"running": 1, "queued": 2, "slots": 8}', None),
        (b'{"running": -1, "queued": 2, "slots": 8, "at_ms": 5}', None),
        (b'{"running": true, "queued": 2, "slots": 8, "at_ms": 5}', None),
        (b"[]", None),
        (b"{", None),
    ],
)
def test_only_well_formed_load_reports_are_parsed(
    body: bytes, expected: requesting.LoadReport | None
) -> None:
    assert load_poller.parse_load_report(body) == expected


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (
            b'{"events": [{"offset": 3, "kind": "stored", "block": "0a"}]}',
            (prefix_affinity.CacheEvent(3, b"\n", True),),
        ),
        (b'{"events": [{"offset": 3, "kind": "moved", "block": "0a"}]}', ()),
        (b'{"events": [{"offset": 3, "kind": "stored", "block": "x"}]}', ()),
        (b'{"events": 1}', None),
        (b"x", None),
    ],
)
def test_only_well_formed_cache_events_are_parsed(
    body: bytes, expected: tuple[prefix_affinity.CacheEvent, ...] | None
) -> None:
    assert load_poller.parse_cache_events(body) == expected


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'[{"name": "r", "state": "leaving"}]', [("r", True)]),
        (b'[{"name": "r", "state": "live"}, 1, {}]', [("r", False)]),
        (b'[{"name": "r", "state": "odd"}]', []),
        (b"{}", []),
        (b"", []),
    ],
)
def test_only_well_formed_host_list_entries_are_parsed(
    body: bytes, expected: list[tuple[str, bool]]
) -> None:
    assert host_list_reader.read_host_states(body) == expected


def test_subsets_are_bounded_and_stable() -> None:
    upstreams = [
        builders.make_upstream(f"runner-{n}", f"zone-{n % 7}")
        for n in range(4_480)
    ]
    chosen = upstream_subset.choose_subset(upstreams, "r-1", "zone-1", 540)
    assert len(chosen.upstreams) == upstream_subset.MAX_SUBSET
    local = sum(u.zone == "zone-1" for u in chosen.upstreams)
    assert local == 18
    assert chosen.sharing_routers == 3
    again = upstream_subset.choose_subset(upstreams[:-1], "r-1", "zone-1", 540)
    assert len(set(again.upstreams) & set(chosen.upstreams)) >= 23
    small = upstream_subset.choose_subset(upstreams[:6], "r-1", "zone-1", 8)
    assert small == upstream_subset.Subset(tuple(upstreams[:6]), 8)


# A list of many hosts over a narrow link was given up, and never read.
def test_a_long_list_of_hosts_is_read_over_a_narrow_link() -> None:
    names = [f"host-{number}" for number in range(12_000)]
    body = json.dumps(
        {"hosts": [{"name": name, "state": "leaving"} for name in names]}
    ).encode()

    async def send_list(
        request: http_server.HttpRequest, responder: http_server.HttpResponder
    ) -> None:
        del request
        await responder.send(200, body)

    async def read() -> int:
        async with (
            http_server.HttpServer(send_list, "127.0.0.1", 0) as server,
            narrow_link.NarrowLink(
                http_client.Address("127.0.0.1", server.port), 200_000
            ) as link,
            http_client.ClientPool() as pool,
        ):
            reader = host_list_reader.HostListReader(
                pool, link.address, lambda name, is_leaving: None
            )
            return await reader.read_once()

    assert asyncio.run(read()) == len(body)
