"""Tests of the decisions about home regions, without a network."""

import contextlib

import pytest

from redwingchute.core import forwarding
from redwingchute.process import decision_log
from redwingchute.process import host_registry
from redwingchute.request import home_regions
from redwingchute.request import upstream_directory
from redwingchute.request import upstream_paths
from redwingchute.testing import forwarding_builders

_NOW_MS = 100_000
_ZONES = {"huon": "south", "tamar": "south", "bruny": "east", "derwent": "west"}


def _make_route(*homes: str) -> forwarding.Route:
    return forwarding.Route(
        "draft",
        "a.example",
        "/",
        forwarding.RequestKind.STREAMING,
        (forwarding.WeightedService("llm", 1.0),),
        1_000,
        500,
        home_regions=frozenset(homes),
    )


def _make_account(*homes: str) -> forwarding.ClientAccount:
    return forwarding.ClientAccount(
        "yield", frozenset({"k"}), home_regions=frozenset(homes)
    )


def _make_homes(*regions: str) -> home_regions.Homes:
    regions_map = home_regions.RegionMap(zones=_ZONES)
    return regions_map.find_homes(_make_route(*regions), None)


@pytest.mark.parametrize(
    ("route", "account", "zones"),
    [
        ((), (), {"huon", "tamar", "bruny", "derwent", "new", ""}),
        (("south",), (), {"huon", "tamar"}),
        ((), ("east", "west"), {"bruny", "derwent"}),
        (("south", "east"), ("east", "west"), {"bruny"}),
        (("south",), ("east",), set()),
        (("north",), (), set()),
    ],
)
def test_both_limits_bind_and_unknown_zones_are_no_home(
    route: tuple[str, ...], account: tuple[str, ...], zones: set[str]
) -> None:
    regions_map = home_regions.RegionMap("huon", "south", _ZONES)
    homes = regions_map.find_homes(_make_route(*route), _make_account(*account))
    allowed = {
        zone
        for zone in (*_ZONES, "new", "")
        if homes.may_run_at(forwarding_builders.make_upstream("m", zone))
    }
    assert allowed == zones
    assert {zone for zone in (*_ZONES, "new", "") if homes.may_pass(zone)} == (
        zones
    )


def test_the_own_region_is_known_without_a_list_of_zones() -> None:
    regions_map = home_regions.RegionMap("huon", "south")
    homes = regions_map.find_homes(_make_route("south"), None)
    assert homes.may_pass("huon")
    assert not homes.may_pass(None)


def _make_directory() -> upstream_directory.UpstreamDirectory:
    directory = upstream_directory.UpstreamDirectory("huon")
    for name, zone in (("m-1", "huon"), ("m-2", "bruny"), ("m-3", "derwent")):
        directory.set_upstream(forwarding_builders.make_upstream(name, zone))
    return directory


# Guards against a home upstream under load that sends its work abroad.
def test_a_busy_home_gets_the_work_although_other_regions_are_idle() -> None:
    directory = _make_directory()
    homes = _make_homes("south")
    home = directory.find("m-1")
    assert home is not None
    with contextlib.ExitStack() as open_requests:
        for number in range(200):
            generation = forwarding_builders.make_generation(f"prompt-{number}")
            request = forwarding_builders.make_request(number, generation)
            open_requests.enter_context(
                directory.track_request(home, generation, _NOW_MS)
            )
            chosen = directory.choose(
                "llm", request, frozenset(), _NOW_MS, homes=homes
            )
            assert chosen is not None and chosen.upstream.id == "m-1"
            assert chosen.load == number + 1


# Guards against a retry that leaves the home regions when all were tried.
def test_there_is_no_upstream_when_all_at_home_were_tried() -> None:
    directory = _make_directory()
    request = forwarding_builders.make_request(1, None)
    homes = _make_homes("south", "east")
    tried = {"m-1", "m-2"}
    for excluded, expected in (({"m-1"}, "m-2"), (tried, None)):
        chosen = directory.choose(
            "llm", request, frozenset(excluded), _NOW_MS, homes=homes
        )
        assert (chosen and chosen.upstream.id) == expected


def test_the_time_to_come_back_is_that_of_a_paused_home() -> None:
    directory = _make_directory()
    homes = _make_homes("east")
    home = directory.find("m-2")
    assert home is not None
    assert not directory.find_retry_delay_ms("llm", _NOW_MS, homes=homes)
    pause_ms = directory.pause(home, 3_000, _NOW_MS)
    assert directory.has_upstream("llm", _NOW_MS, homes)
    assert (
        directory.find_retry_delay_ms("llm", _NOW_MS, homes=homes) == pause_ms
    )
    assert not directory.find_retry_delay_ms("llm", _NOW_MS)
    directory.remove("m-2")
    assert not directory.has_upstream("llm", _NOW_MS, homes)


# Guards against carriers abroad, also among those that proved to reach it.
def test_only_hosts_in_home_regions_are_asked_to_carry() -> None:
    paths = upstream_paths.UpstreamPaths("huon-1", "huon")
    paths.set_hosts(
        [
            host_registry.RegisteredHost(
                f"{zone}-{number}", zone, "1.1.1.1:1", 1.0
            )
            for zone in (*_ZONES, "new")
            for number in range(1, 5)
        ]
    )
    start = forwarding.UpstreamStart("m-1", 0)
    paths.record_carried("bruny-1", _NOW_MS)
    paths.record_carried("derwent-1", _NOW_MS)
    carriers = paths.list_carriers(start, _NOW_MS, _make_homes("west"))
    assert carriers[0] == "derwent-1"
    assert len(carriers) == 4
    assert all(name.startswith("derwent") for name in carriers)
    assert not paths.list_carriers(start, _NOW_MS, _make_homes("north"))
    assert paths.may_carry("", _make_homes("north"))
    assert not paths.may_carry("host-that-is-gone", _make_homes("west"))
    assert paths.may_carry("host-that-is-gone", home_regions.ANYWHERE)


def test_the_configuration_that_binds_and_the_one_that_ends_it_are_logged() -> (
    None
):
    regions_map = home_regions.RegionMap(zones=_ZONES)
    bound = forwarding.RouteTable(
        2, (_make_route("south"),), accounts=(_make_account("north"),)
    )
    free = forwarding.RouteTable(3, (_make_route(),))
    counts = decision_log.LOG.counts
    before = counts["home_regions_in_force"]
    for table, logged in ((free, 0), (bound, 1), (free, 2), (free, 2)):
        regions_map.log_binding(table)
        assert counts["home_regions_in_force"] - before == logged
