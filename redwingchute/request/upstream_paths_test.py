"""Tests of what a host knows of its paths to upstreams and of its carriers."""

from redwingchute.core import forwarding
from redwingchute.process import host_registry
from redwingchute.request import upstream_paths

_START = forwarding.UpstreamStart("m-1", 5)
_OTHER = forwarding.UpstreamStart("m-2", 5)


def _make_paths(
    zones: tuple[str, ...] = ("huon", "huon", "bruny", "tamar"),
    per_zone: int = 2,
) -> upstream_paths.UpstreamPaths:
    """Returns the paths of the first host of the first zone."""
    hosts = [
        host_registry.RegisteredHost(f"{zone}-{index}-{number}", zone, "", 1.0)
        for index, zone in enumerate(zones)
        for number in range(per_zone)
    ]
    paths = upstream_paths.UpstreamPaths(hosts[0].name, zones[0])
    paths.set_hosts(hosts)
    return paths


def test_a_path_is_tried_again_by_one_connection_at_a_time() -> None:
    paths = _make_paths()
    assert paths.mark_down(_START, 0)
    assert not paths.should_try_direct(_START, 900)
    assert paths.should_try_direct(_OTHER, 900)
    assert paths.should_try_direct(_START, 1_000)
    assert not paths.should_try_direct(_START, 1_010)
    assert paths.mark_up(_START)
    assert paths.should_try_direct(_START, 1_020)


# Guards against a cut host that loses time on its direct paths again and again.
def test_a_path_that_stays_down_is_tried_less_and_less() -> None:
    paths = _make_paths()
    tries = 0
    for now_ms in range(0, 20_000, 10):
        if paths.should_try_direct(_START, now_ms):
            tries += 1
            paths.mark_down(_START, now_ms)
    assert tries <= 7
    assert not paths.mark_down(_START, 20_000)


def test_a_path_that_nobody_uses_is_forgotten() -> None:
    paths = _make_paths()
    paths.mark_down(_START, 0)
    paths.mark_down(_OTHER, 90_000)
    assert paths.should_try_direct(_START, 90_001)
    assert not paths.mark_up(_START)


# Guards against a zone whose hosts are all cut off and ask only each other.
def test_hosts_of_other_zones_are_among_the_first_carriers() -> None:
    paths = _make_paths(("huon", "bruny"), per_zone=40)
    carriers = paths.list_carriers(_START, 0)
    assert len(carriers) == 4
    assert sum(name.startswith("bruny") for name in carriers) == 3


def test_a_host_that_cannot_carry_makes_room_for_others() -> None:
    paths = _make_paths()
    asked: set[str] = set()
    for _ in range(8):
        for name in paths.list_carriers(_START, 0)[:1]:
            asked.add(name)
            paths.mark_unable(name, 0)
    assert len(asked) == 7
    assert not paths.list_carriers(_START, 999)
    assert paths.list_carriers(_START, 1_000)


# Guards against an upstream that is gone, and for which hosts count as unable
# to carry connections to any other.
def test_a_host_that_does_not_reach_one_upstream_is_asked_for_others() -> None:
    paths = _make_paths()
    for name in paths.list_carriers(_START, 0):
        paths.mark_unreaching(name, _START, 0)
    paths.mark_unreached(_START, 0)
    assert not paths.list_carriers(_START, 499)
    later = paths.list_carriers(_START, 500)
    assert len(later) == 3
    assert len(paths.list_carriers(_OTHER, 0)) == 4


# Guards against a host that asks cut ones again for each upstream, although it
# knows one that reaches them.
def test_a_host_that_carries_is_asked_first() -> None:
    paths = _make_paths(per_zone=20)
    carrier = paths.list_carriers(_START, 0)[3]
    paths.record_carried(carrier, 0)
    assert paths.list_carriers(_OTHER, 100)[0] == carrier
    paths.mark_unreaching(carrier, _OTHER, 200)
    assert carrier not in paths.list_carriers(_OTHER, 300)
    assert paths.list_carriers(_START, 300)[0] == carrier


def test_connections_to_different_upstreams_use_different_carriers() -> None:
    paths = _make_paths()
    first = {
        paths.list_carriers(forwarding.UpstreamStart(f"m-{n}", 5), 0)[0]
        for n in range(40)
    }
    assert len(first) == 4


def test_a_host_without_peers_has_no_carrier() -> None:
    paths = _make_paths(("huon",), per_zone=1)
    assert not paths.list_carriers(_START, 0)
