"""Tests of what routers know of the streams that others began."""

import attrs

from redwingchute.core import forwarding
from redwingchute.process import origin_exchange
from redwingchute.request import stream_origins
from redwingchute.testing import origin_rig

_V1 = tuple(origin_rig.make_upstream(f"m-{n}", "v1") for n in (1, 2))
_V2 = tuple(origin_rig.make_upstream(f"m-{n}", "v2") for n in (3, 4))
_REQUESTS = [f"request-{number}" for number in range(24)]


def _read_version(resolution: origin_exchange.Resolution) -> str | None:
    """Returns the version that a stream may go on at, or None."""
    match resolution:
        case origin_exchange.Resolved(bond):
            return bond.version
        case origin_exchange.NotKnown():
            return None


# Guards against streams that are lost with the host that began them, and
# against any order of hosts in which those that are asked were not told.
def test_origins_are_known_after_the_host_that_began_the_streams_is_gone() -> (
    None
):
    for host_count in (2, 3, 8, 48):
        fleet = origin_rig.OriginFleet(host_count)
        fleet.set_upstreams(_V1 + _V2)
        began = fleet.routers["host-0"]
        for number, request_id in enumerate(_REQUESTS):
            upstream = (_V1 + _V2)[number % 4]
            began.exchange.record_begin(request_id, upstream)
        began.is_reachable = False
        for host in fleet.routers:
            for number, request_id in enumerate(_REQUESTS):
                version = _read_version(fleet.resolve(host, request_id))
                assert version == (_V1 + _V2)[number % 4].version


# Guards against streams of the only version that are refused when a second one
# appears, and against messages while there is just one.
def test_origins_are_told_once_a_second_version_appears() -> None:
    fleet = origin_rig.OriginFleet(8)
    fleet.set_upstreams(_V1)
    began = fleet.routers["host-0"]
    for request_id in _REQUESTS:
        began.exchange.record_begin(request_id, _V1[0])
    assert not began.network.sent
    fleet.now_ms += 1_000
    fleet.set_upstreams(_V1 + _V2)
    assert began.network.sent
    began.is_reachable = False
    for request_id in _REQUESTS:
        assert _read_version(fleet.resolve("host-7", request_id)) == "v1"


# Guards against a take-up at the version that a router knows of, where another
# one has read of a second version already.
def test_one_version_answers_only_while_all_that_are_asked_agree() -> None:
    fleet = origin_rig.OriginFleet(3)
    fleet.set_upstreams(_V1)
    assert _read_version(fleet.resolve("host-0", "unknown")) is None
    fleet.now_ms += 20_000
    assert _read_version(fleet.resolve("host-0", "unknown")) == "v1"
    fleet.set_upstreams(_V1 + _V2, "host-1")
    assert _read_version(fleet.resolve("host-0", "unknown")) is None


# Guards against versions that have just gone and count as never there.
def test_a_version_that_has_gone_counts_as_long_as_streams_last() -> None:
    fleet = origin_rig.OriginFleet(2)
    fleet.set_upstreams(_V1 + _V2)
    fleet.now_ms += 20_000
    fleet.set_upstreams(_V2)
    assert _read_version(fleet.resolve("host-0", "unknown")) is None
    fleet.now_ms += 10_001
    assert _read_version(fleet.resolve("host-0", "unknown")) == "v2"


# Guards against streams that are refused for the whole of an outage of the log,
# and against a router that is alone and takes its old list for the newest.
def test_while_nobody_reads_the_log_the_others_must_answer() -> None:
    fleet = origin_rig.OriginFleet(3)
    fleet.set_upstreams(_V1)
    fleet.now_ms += 20_000
    for router in fleet.routers.values():
        router.has_fresh_upstreams = False
    assert _read_version(fleet.resolve("host-0", "unknown")) == "v1"
    assert _read_version(fleet.resolve("host-0", None)) is None
    fleet.routers["host-1"].is_reachable = False
    assert _read_version(fleet.resolve("host-0", "unknown")) is None
    fleet.routers["host-1"].is_reachable = True
    fleet.start_router("host-1")
    assert _read_version(fleet.resolve("host-0", "unknown")) is None


# Guards against an entry of an earlier start that names the version of a run.
def test_a_later_start_with_other_software_makes_the_version_unknown() -> None:
    fleet = origin_rig.OriginFleet(1)
    fleet.set_upstreams(_V1)
    exchange = fleet.routers["host-0"].exchange
    exchange.record_begin("early", _V1[0])
    fleet.now_ms += 5_000
    exchange.record_begin("late", _V1[0])
    again = origin_rig.make_upstream("m-1", "v2", fleet.now_ms - 2_000)
    fleet.set_upstreams((again, _V1[1]))
    assert _read_version(fleet.resolve("host-0", "early")) == "v1"
    assert _read_version(fleet.resolve("host-0", "late")) == ""


# Guards against unknown versions that are taken for equal.
def test_an_unknown_version_equals_nothing_but_the_same_start() -> None:
    unknown = origin_rig.make_upstream("m-1", "")
    other = origin_rig.make_upstream("m-2", "")
    bond = stream_origins.VersionBond("", unknown.start)
    assert bond.allows(unknown)
    assert not bond.allows(other)
    assert not stream_origins.VersionBond("").allows(unknown)
    start = forwarding.UpstreamStart("m-9", 1)
    assert stream_origins.VersionBond("v1", start).allows(_V1[0])
    fleet = origin_rig.OriginFleet(2)
    fleet.set_upstreams((unknown, other))
    fleet.now_ms += 20_000
    assert _read_version(fleet.resolve("host-0", "unknown")) is None


# Guards against a take-up at the new version by a process that ran for long
# before it read its first list, when the old version had just left.
def test_a_router_without_a_list_has_no_history() -> None:
    fleet = origin_rig.OriginFleet(3)
    fleet.now_ms += 20_000
    fleet.set_upstreams(_V2, "host-0")
    assert _read_version(fleet.resolve("host-0", "unknown")) is None
    assert _read_version(fleet.resolve("host-0", None)) is None


# Guards against keepers that vouch for the only version of another router,
# though they have read no list themselves.
def test_keepers_without_a_list_vouch_for_nothing() -> None:
    fleet = origin_rig.OriginFleet(3)
    fleet.now_ms += 20_000
    fleet.start_router("host-0")
    fleet.set_upstreams(_V2, "host-0")
    assert _read_version(fleet.resolve("host-0", "unknown")) is None


# Guards against a stream that a cut-off router begins at a version that has
# left the list, and that another router takes up at the only version it knows.
def test_a_router_with_an_old_list_tells_where_its_streams_begin() -> None:
    fleet = origin_rig.OriginFleet(3)
    fleet.set_upstreams(_V1)
    fleet.now_ms += 20_000
    fleet.routers["host-0"].has_fresh_upstreams = False
    fleet.set_upstreams(_V2, "host-1", "host-2")
    fleet.now_ms += 20_000
    fleet.routers["host-0"].exchange.record_begin("late", _V1[0])
    fleet.routers["host-0"].is_reachable = False
    assert _read_version(fleet.resolve("host-1", "late")) == "v1"


# Guards against a stream that goes on at another service of a split route,
# whose versions have the same names.
def test_a_stream_goes_on_only_at_the_service_that_began_it() -> None:
    fleet = origin_rig.OriginFleet(1)
    fleet.set_upstreams(_V1)
    elsewhere = attrs.evolve(_V1[0], id="x-1", service="other")
    exchange = fleet.routers["host-0"].exchange
    exchange.record_begin("request", elsewhere)
    assert _read_version(fleet.resolve("host-0", "request")) is None


# Guards against a stream of a new version that goes on at another one, since a
# router that stood still or was cut off takes its last list for the newest.
def test_a_router_reads_the_list_before_it_answers_by_one_version() -> None:
    for has_others in (True, False):
        fleet = origin_rig.OriginFleet(3)
        fleet.set_upstreams(_V1)
        fleet.now_ms += 20_000
        behind, began = fleet.routers["host-0"], fleet.routers["host-1"]
        behind.unread = _V1 + _V2
        behind.is_reachable = False
        fleet.set_upstreams(_V1 + _V2, "host-1")
        began.exchange.record_begin("new", _V2[0])
        behind.is_reachable = True
        began.is_reachable = has_others
        fleet.routers["host-2"].is_reachable = False
        version = _read_version(fleet.resolve("host-0", "new"))
        assert version == ("v2" if has_others else None)
        # Without the id of the request nobody can be asked for its origin.
        assert _read_version(fleet.resolve("host-0", None)) is None


# Guards against a hub that answers by a list of before the question.
def test_a_hub_reads_the_list_before_it_answers_for_others() -> None:
    fleet = origin_rig.OriginFleet(3)
    fleet.hubs = ("host-1", "host-2")
    fleet.set_upstreams(_V1)
    fleet.now_ms += 20_000
    fleet.routers["host-0"].has_fresh_upstreams = False
    assert _read_version(fleet.resolve("host-0", None)) == "v1"
    for host in fleet.hubs:
        fleet.routers[host].unread = _V1 + _V2
    assert _read_version(fleet.resolve("host-0", None)) is None


# Guards against keepers that vouch for one version while others may read of a
# second one: they were cut off together with the router that asks.
def test_keepers_vouch_only_while_no_hub_that_replies_can_read() -> None:
    fleet = origin_rig.OriginFleet(4)
    fleet.hubs = ("host-3",)
    fleet.set_upstreams(_V1)
    fleet.now_ms += 20_000
    for router in fleet.routers.values():
        router.has_fresh_upstreams = False
    assert _read_version(fleet.resolve("host-0", "unknown")) == "v1"
    fleet.routers["host-3"].is_reachable = False
    asked = [
        request_id
        for request_id in _REQUESTS
        if _read_version(fleet.resolve("host-0", request_id)) is not None
    ]
    assert not asked


# Callers whose requests have ids of the size of a head made each router that
# knows of a stream remember them all, for two minutes.
def test_the_origin_of_a_request_with_a_long_id_is_small() -> None:
    fleet = origin_rig.OriginFleet(3)
    fleet.set_upstreams(_V1 + _V2)
    long_id = "i" * 15_000
    origin = fleet.routers["host-0"].exchange.record_begin(long_id, _V2[0])
    assert len(origin.request_id) <= 128
    for host in fleet.routers:
        assert _read_version(fleet.resolve(host, long_id)) == "v2"
