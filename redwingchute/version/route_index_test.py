"""Tests of looking up routes, client accounts and services."""

import collections

from redwingchute.core import forwarding
from redwingchute.version import route_index


def _make_route(
    name: str, prefix: str, *services: tuple[str, float]
) -> forwarding.Route:
    return forwarding.Route(
        name=name,
        host="a.example",
        path_prefix=prefix,
        kind=forwarding.RequestKind.IDEMPOTENT,
        services=tuple(
            forwarding.WeightedService(service, weight)
            for service, weight in services or (("s", 1.0),)
        ),
        timeout_ms=800,
        target_latency_ms=300,
    )


def _make_index(*routes: forwarding.Route) -> route_index.RouteIndex:
    account = forwarding.ClientAccount("yield", frozenset({"k1", "k2"}))
    return route_index.RouteIndex(
        forwarding.RouteTable(1, routes, accounts=(account,))
    )


def test_the_longest_prefix_matches() -> None:
    index = _make_index(_make_route("short", "/a/"), _make_route("l", "/a/b/"))
    found = index.find_route("a.example", "/a/b/c")
    assert found is not None
    assert found.name == "l"


def test_other_hosts_and_paths_have_no_route() -> None:
    index = _make_index(_make_route("short", "/a/"))
    assert index.find_route("b.example", "/a/b") is None
    assert index.find_route("a.example", "/ab") is None


def test_every_key_finds_its_account() -> None:
    index = _make_index(_make_route("short", "/a/"))
    found = [index.find_account(key) for key in ("k1", "k2", "", "k")]
    assert [account.name if account else None for account in found] == [
        "yield",
        "yield",
        None,
        None,
    ]


def test_weights_split_requests() -> None:
    route = _make_route("split", "/a/", ("s1", 90.0), ("s2", 10.0))
    counts = collections.Counter(
        route_index.choose_service(route, f"{n:x}") for n in range(2_000)
    )
    assert 100 <= counts["s2"] <= 300
    assert route_index.choose_service(route, "7") == (
        route_index.choose_service(route, "7")
    )
