"""Tests which routers are hubs, and in which order others turn to them."""

from redwingchute.process import host_registry
from redwingchute.process import hub_choice

_ZONES = ("huon", "bruny", "tamar", "derwent", "margate", "dover")


def _make_hosts(count: int) -> list[host_registry.RegisteredHost]:
    """Returns hosts in all zones; one in eight has more processor time."""
    return [
        host_registry.RegisteredHost(
            f"host-{number}",
            _ZONES[number % len(_ZONES)],
            f"10.0.0.{number}:7000",
            2.0 if number // len(_ZONES) % 8 == 0 else 0.5,
        )
        for number in range(count)
    ]


def test_every_router_of_a_small_fleet_is_a_hub() -> None:
    hosts = _make_hosts(24)
    view = hub_choice.choose_hubs(hosts[0], hosts)
    assert set(view.zones) == {host.name for host in hosts}


def test_hubs_of_a_zone_are_few_and_have_most_processor_time() -> None:
    for count in (61, 195, 540):
        hosts = _make_hosts(count)
        view = hub_choice.choose_hubs(hosts[0], hosts)
        assert len(view.zones) == 3 * len(_ZONES)
        for zone in _ZONES:
            assert sum(found == zone for found in view.zones.values()) == 3
    shares = {host.name: host.processor_share for host in hosts}
    assert all(shares[name] == 2.0 for name in view.zones)


def test_routers_agree_on_the_hubs_and_on_the_order_for_a_key() -> None:
    hosts = _make_hosts(195)
    views = [hub_choice.choose_hubs(host, hosts) for host in hosts]
    assert all(view.zones == views[0].zones for view in views)
    orders = {
        (view.own_zone, view.order_hubs("account-1"))
        for view in views
        if not view.is_hub
    }
    assert len(orders) == len(_ZONES)
    for zone, order in orders:
        assert [views[0].zones[host] for host in order[:3]] == [zone] * 3


def test_reporting_routers_are_spread_over_the_hubs_of_their_zone() -> None:
    hosts = _make_hosts(195)
    counts: dict[str, int] = {}
    for host in hosts:
        view = hub_choice.choose_hubs(host, hosts)
        if not view.is_hub:
            first = view.order_hubs(host.name)[0]
            counts[first] = counts.get(first, 0) + 1
    assert len(counts) == 18
    assert max(counts.values()) <= 20


def test_a_router_that_is_not_registered_yet_counts_itself() -> None:
    hosts = _make_hosts(6)
    view = hub_choice.choose_hubs(hosts[5], hosts[:5])
    assert view.is_hub
    assert view.host_count == 6
