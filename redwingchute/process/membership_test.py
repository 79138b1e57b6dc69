"""Tests of the membership view, with a manual clock."""

import random

import pytest

from redwingchute.core import data
from redwingchute.core import fleet
from redwingchute.process import membership

_TIMING = membership.MembershipTiming()
_STEP_MS = 250


class _Fleet:
    """The memberships of several routers; messages arrive without delay."""

    def __init__(self, zones: dict[str, str]) -> None:
        self.now_ms = 1_000
        self.cut: set[frozenset[str]] = set()
        self.stopped: set[str] = set()
        self.messages = 0
        self.zones = zones
        self.members: dict[str, membership.Membership] = {}
        for number, name in enumerate(sorted(zones)):
            self.start(name, incarnation=number + 1)

    def start(self, name: str, incarnation: int) -> None:
        """Starts a router that has the other hosts as seeds."""
        host = data.Host(name, self.zones[name], "ip:1", incarnation)
        member = membership.Membership(
            host, _TIMING, random.Random(name), self.now_ms
        )
        for other, zone in self.zones.items():
            if other != name:
                member.add_seed_host(
                    data.Host(other, zone, "ip:1"), self.now_ms
                )
        self.members[name] = member
        self.stopped.discard(name)

    def cut_zone(self, zone: str) -> None:
        """Cuts every link between one zone and the others."""
        for one, one_zone in self.zones.items():
            for other, other_zone in self.zones.items():
                if (one_zone == zone) != (other_zone == zone):
                    self.cut.add(frozenset((one, other)))

    def run(self, duration_ms: int) -> None:
        """Advances the clock in steps and delivers all messages."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += _STEP_MS
            for name, member in self.members.items():
                if name not in self.stopped:
                    self._deliver(name, member.tick(self.now_ms))

    def _deliver(self, sender: str, pending: list[membership.Outgoing]) -> None:
        for outgoing in pending:
            target = outgoing.host_name
            self.messages += 1
            if target in self.stopped:
                continue
            if frozenset((sender, target)) in self.cut:
                continue
            receiver = self.members[target]
            match outgoing.record:
                case fleet.Heartbeat() as heartbeat:
                    answers = receiver.receive_heartbeat(heartbeat, self.now_ms)
                case fleet.MemberList() as members:
                    answers = receiver.receive_list(
                        sender, members, self.now_ms
                    )
            self._deliver(target, answers)

    def view(self, name: str) -> set[str]:
        """Returns the names of the hosts that one router reaches."""
        return {h.name for h in self.members[name].list_reachable()}


def _make_zones(count: int, zone_count: int) -> dict[str, str]:
    return {f"host-{i:03}": f"zone-{i % zone_count}" for i in range(count)}


@pytest.mark.parametrize(("count", "zone_count"), [(1, 1), (2, 2), (8, 4)])
def test_all_routers_see_each_other(count: int, zone_count: int) -> None:
    routers = _Fleet(_make_zones(count, zone_count))
    routers.run(5_000)
    for name in routers.zones:
        assert routers.view(name) == set(routers.zones)


def test_dead_router_leaves_every_view_and_may_be_retired() -> None:
    routers = _Fleet(_make_zones(8, 4))
    routers.run(5_000)
    routers.stopped.add("host-003")
    routers.run(20_000)
    for name in set(routers.zones) - {"host-003"}:
        assert routers.view(name) == set(routers.zones) - {"host-003"}
        assert routers.members[name].list_dead(routers.now_ms) == (4,)


def test_both_sides_of_a_cut_see_their_component_and_heal() -> None:
    routers = _Fleet(_make_zones(8, 4))
    routers.run(5_000)
    routers.cut_zone("zone-1")
    routers.run(10_000)
    inside = {n for n, zone in routers.zones.items() if zone == "zone-1"}
    for name in routers.zones:
        side = inside if name in inside else set(routers.zones) - inside
        assert routers.view(name) == side
    routers.cut.clear()
    routers.run(10_000)
    for name in routers.zones:
        assert routers.view(name) == set(routers.zones)


def test_replacement_on_the_same_host_supersedes_the_former_process() -> None:
    routers = _Fleet(_make_zones(4, 2))
    routers.run(5_000)
    former = routers.members["host-001"]
    routers.start("host-001", incarnation=99)
    routers.run(5_000)
    assert 2 in routers.members["host-000"].list_dead(routers.now_ms)
    # The former process was only frozen; its later heartbeats have no effect.
    for outgoing in former.tick(routers.now_ms):
        record = outgoing.record
        assert isinstance(record, fleet.Heartbeat)
        routers.members[outgoing.host_name].receive_heartbeat(
            record, routers.now_ms
        )
    hosts = routers.members["host-000"].list_reachable()
    incarnations = {host.name: host.incarnation for host in hosts}
    assert incarnations["host-001"] == 99


def test_view_of_a_new_process_settles_after_heartbeats_from_the_others() -> (
    None
):
    routers = _Fleet(_make_zones(4, 2))
    routers.run(5_000)
    routers.start("host-001", incarnation=99)
    restarted = routers.members["host-001"]
    assert not restarted.is_settled(routers.now_ms)
    routers.run(2_000)
    assert restarted.is_settled(routers.now_ms)


def test_view_without_replies_settles_when_the_links_are_broken() -> None:
    routers = _Fleet(_make_zones(2, 1))
    routers.stopped.add("host-001")
    alone = routers.members["host-000"]
    assert not alone.is_settled(routers.now_ms)
    routers.run(_TIMING.broken_after_ms)
    assert alone.is_settled(routers.now_ms)


def test_leaving_router_is_not_live_but_reachable() -> None:
    routers = _Fleet(_make_zones(4, 2))
    routers.run(5_000)
    routers.members["host-002"].begin_leaving(routers.now_ms)
    routers.run(5_000)
    view = routers.members["host-000"]
    assert "host-002" in routers.view("host-000")
    assert "host-002" not in {host.name for host in view.list_live()}


def test_messages_per_router_do_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (28, 112):
        routers = _Fleet(_make_zones(count, 7))
        routers.run(10_000)
        routers.messages = 0
        routers.run(10_000)
        rates.append(routers.messages / count / 10)
    # At most six neighbours, each with one heartbeat and one reply per second;
    # jitter shortens the interval by up to an eighth.
    assert all(rate <= 6 * 2 * 8 / 7 for rate in rates)
