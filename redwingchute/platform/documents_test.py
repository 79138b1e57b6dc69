"""Tests of decoding the configuration document and upstream entries."""

import json
from typing import Any

import pytest

from redwingchute.core import forwarding
from redwingchute.platform import configuration_document
from redwingchute.platform import upstream_entries
from redwingchute.testing import gateway_rig

_ENTRY = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "huon",
    "slots": 64,
    "state": "ready",
    "sequence": 4,
    "born": 1_790_000_000_000,
}


def _decode(document: dict[str, Any]) -> forwarding.RouteTable:
    table = configuration_document.decode_configuration(
        json.dumps(document).encode()
    )
    assert isinstance(table, forwarding.RouteTable)
    return table


def test_a_document_becomes_a_route_table() -> None:
    table = _decode(gateway_rig.make_document(version=7))
    assert table.version == 7
    summary = table.routes[-1]
    assert summary.kind is forwarding.RequestKind.STREAMING
    assert summary.may_repeat
    assert not table.routes[3].may_repeat
    assert table.services[1].tokens_per_event == 5
    assert table.accounts[0].prepaid_tokens == 10_000
    assert table.limits.idle_ms == 15_000


def test_a_traffic_split_has_weights() -> None:
    document = gateway_rig.make_document()
    route = document["routes"][0]
    del route["service"]
    route["trafficSplit"] = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    assert _decode(document).routes[0].services == (
        forwarding.WeightedService("a", 90.0),
        forwarding.WeightedService("b", 10.0),
    )


def test_routes_and_accounts_have_home_regions() -> None:
    document = gateway_rig.make_document()
    document["routes"][0]["allowedRegions"] = ["south", "east"]
    document["routes"][1]["allowedRegions"] = []
    document["tenants"][0]["allowedRegions"] = ["south"]
    table = _decode(document)
    assert table.routes[0].home_regions == {"south", "east"}
    assert not table.routes[1].home_regions
    assert not table.routes[2].home_regions
    assert table.accounts[0].home_regions == {"south"}


# Guards against a configuration in force without the limits that it states.
@pytest.mark.parametrize("regions", ["south", [1], {"south": True}])
def test_home_regions_that_cannot_be_read_refuse_the_document(
    regions: Any,
) -> None:
    document = gateway_rig.make_document()
    document["routes"][0]["allowedRegions"] = regions
    error = configuration_document.decode_configuration(
        json.dumps(document).encode()
    )
    assert isinstance(error, str)


@pytest.mark.parametrize(
    "value", [b"", b"{}", b"[]", b'{"version": 1, "routes": [{}]}']
)
def test_a_malformed_document_is_refused(value: bytes) -> None:
    assert isinstance(configuration_document.decode_configuration(value), str)


def test_an_entry_is_decoded_into_an_upstream() -> None:
    upstream = upstream_entries.decode_upstream(
        "i-1", json.dumps(_ENTRY).encode()
    )
    assert upstream == forwarding.Upstream(
        "i-1", "llm", "10.128.0.9:8080", "huon", True, 64, 1_790_000_000_000, 4
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "odd"},
        {"state": None},
        {"address": "nowhere"},
        {"address": 7},
        {"service": ["llm"]},
    ],
)
def test_entries_with_invalid_fields_are_ignored(
    changes: dict[str, Any],
) -> None:
    value = json.dumps({**_ENTRY, **changes}).encode()
    assert upstream_entries.decode_upstream("i-1", value) is None


@pytest.mark.parametrize(
    "value, expected",
    [(0, 0), (900, 900), (899.5, 900), (-1, None), (True, None), ("9", None)],
)
def test_an_entry_states_how_long_the_upstream_stays_cold(
    value: Any, expected: int | None
) -> None:
    encoded = json.dumps({**_ENTRY, "coldRemainingMs": value}).encode()
    upstream = upstream_entries.decode_upstream("i-1", encoded)
    assert upstream is not None
    assert upstream.cold_ms == expected


def test_a_service_has_a_rate_for_cold_upstreams() -> None:
    document = gateway_rig.make_document()
    document["services"][1] |= {"coldStartS": 2.5, "coldPerS": 7.7}
    ledger, llm = _decode(document).services
    assert (ledger.cold_start_ms, ledger.cold_requests_per_s) == (0, 0.0)
    assert (llm.cold_start_ms, llm.cold_requests_per_s) == (2_500, 7.7)


@pytest.mark.parametrize("value", [b"\xff\x00", b"7", b"null", b"{"])
def test_malformed_entries_are_ignored(value: bytes) -> None:
    assert upstream_entries.decode_upstream("i-1", value) is None
