"""Tests of the distribution of the configuration, with a manual clock."""

import random

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from redwingchute.core import data
from redwingchute.core import distribution as messages
from redwingchute.process import distribution
from redwingchute.testing import configuration_builders as builders
from redwingchute.testing import distribution_fakes
from redwingchute.version import changes
from redwingchute.version import loader
from redwingchute.wire import codec
from redwingchute.wire import registry

# The time limit for an accepted configuration to be in force on all routers.
_IN_FORCE_MS = 17_000


def _make_change(
    number: int, change: changes.Change
) -> changes.ConfigurationChange:
    """Returns a change with a number as its record id."""
    return changes.ConfigurationChange(
        number.to_bytes(16), "ada", "test", 0, 0, change
    )


def _make_first_change() -> changes.ConfigurationChange:
    """Returns the change that creates the first version."""
    text = loader.dump_configuration(builders.make_configuration())
    return _make_change(
        1, changes.ReplaceDocument(loader.compress_document(text))
    )


def _make_small_change(number: int) -> changes.ConfigurationChange:
    """Returns a small change that differs by number."""
    share = number % 100 / 100
    return _make_change(number, changes.SetReserve(builders.BUDGET, share))


def _make_fleet(
    routers: int = 8, zones: int = 4
) -> distribution_fakes.FakeRouters:
    """Returns routers with the first version in force."""
    fleet = distribution_fakes.FakeRouters(
        distribution_fakes.make_zones(routers, zones)
    )
    fleet.append(_make_first_change())
    assert fleet.run_until_in_force(1, _IN_FORCE_MS) is not None
    fleet.run(10_000)
    return fleet


def _append_small_change(
    fleet: distribution_fakes.FakeRouters, number: int
) -> int:
    """Appends a small change and returns the version that it creates."""
    fleet.append(_make_small_change(number))
    return fleet.log.read(distribution_fakes.STREAM, 0).next


def test_a_change_is_in_force_everywhere_in_time() -> None:
    fleet = _make_fleet(routers=28, zones=7)
    version = _append_small_change(fleet, 2)
    assert fleet.run_until_in_force(version, _IN_FORCE_MS) is not None


def test_few_routers_of_each_zone_read_the_log() -> None:
    fleet = _make_fleet(routers=28, zones=7)
    readers = [r for r in fleet.routers.values() if r.is_reader]
    assert len(readers) == 14


def test_a_zone_without_the_log_gets_changes_from_siblings() -> None:
    fleet = _make_fleet()
    fleet.hosts_without_log = {"router-0", "router-4"}
    version = _append_small_change(fleet, 2)
    assert fleet.run_until_in_force(version, _IN_FORCE_MS) is not None


def test_a_cut_off_zone_keeps_its_version_and_catches_up() -> None:
    fleet = _make_fleet()
    fleet.cut_zones = {"zone-0"}
    fleet.hosts_without_log = {"router-0", "router-4"}
    old = fleet.routers["router-0"].fold.current.version
    for number in range(2, 302):
        version = _append_small_change(fleet, number)
        fleet.run(100)
    fleet.run(_IN_FORCE_MS)
    assert fleet.list_versions() == {old, version}
    fleet.cut_zones = set()
    fleet.hosts_without_log = set()
    assert fleet.run_until_in_force(version, _IN_FORCE_MS) is not None


def test_restarts_during_an_outage_never_go_back() -> None:
    fleet = _make_fleet()
    version = _append_small_change(fleet, 2)
    fleet.run_until_in_force(version, _IN_FORCE_MS)
    fleet.hosts_without_log = set(fleet.routers)
    for name in list(fleet.routers):
        fleet.start(name)
        fresh = fleet.routers[name]
        assert fresh.explain_not_ready(fleet.now_ms) is not None
        fleet.run(10_000)
        assert fresh.explain_not_ready(fleet.now_ms) is None
        assert fresh.fold.current.version == version
    assert fleet.list_versions() == {version}


def test_the_first_router_waits_for_the_log() -> None:
    fleet = distribution_fakes.FakeRouters({"router-0": "zone-0"})
    fleet.hosts_without_log = {"router-0"}
    fleet.append(_make_first_change())
    fleet.run(60_000)
    router = fleet.routers["router-0"]
    assert router.explain_not_ready(fleet.now_ms) is not None
    fleet.hosts_without_log = set()
    fleet.run(5_000)
    assert router.explain_not_ready(fleet.now_ms) is None


def test_a_checkpoint_suffices_after_retention() -> None:
    fleet = _make_fleet(routers=3, zones=3)
    version = _append_small_change(fleet, 2)
    fleet.run(3_700_000)
    page = fleet.log.read(distribution_fakes.STREAM, 0)
    # The log trims all records except the newest checkpoint.
    fleet.log.trim(distribution_fakes.STREAM, page.next - 1)
    for name in list(fleet.routers):
        fleet.start(name)
    fleet.run(20_000)
    assert fleet.list_versions() == {version}
    assert all(
        router.explain_not_ready(fleet.now_ms) is None
        for router in fleet.routers.values()
    )


def test_another_router_renews_the_checkpoint_that_is_overdue() -> None:
    fleet = _make_fleet(routers=3, zones=3)
    first = distribution.rank_hosts("checkpoint", fleet.routers)[0]
    fleet.hosts_without_log = {first}
    before = fleet.routers["router-0"].fold.checkpoint_offset
    fleet.run(3_800_000)
    offsets = {r.fold.checkpoint_offset for r in fleet.routers.values()}
    assert len(offsets) == 1
    assert offsets.pop() > before


def test_a_router_with_stale_state_reads_the_log() -> None:
    policy = distribution.DistributionPolicy()
    zones = {"router-0": "zone-0", "router-1": "zone-0", "router-2": "zone-0"}
    fleet = distribution_fakes.FakeRouters(zones, policy)
    fleet.append(_make_first_change())
    fleet.run(20_000)
    readers = {n for n, router in fleet.routers.items() if router.is_reader}
    fleet.hosts_without_log = readers
    version = _append_small_change(fleet, 2)
    fleet.run(2 * policy.stale_after_ms)
    assert fleet.list_versions() == {version}


def test_a_pull_without_a_reply_moves_to_another_sibling() -> None:
    policy = distribution.DistributionPolicy()
    router = distribution.Distribution(
        data.Host("a", "z", "127.0.0.1:1", 1),
        registry.make_codec(),
        policy,
        random.Random(1),
        0,
    )
    router.set_view(("b", "c"), ())
    digest = messages.ConfigurationDigest(5, 5, 0)
    (first,) = router.receive_digest("b", digest, 10)
    assert isinstance(first.record, messages.ConfigurationPull)
    lower = attrs.evolve(digest, next_offset=4)
    assert router.receive_digest("c", lower, 11) == []
    again = router.tick(10 + policy.pull_timeout_ms)
    assert [item.host_name for item in again][:1] == ["c"]
    assert (
        router.receive_records("c", messages.ConfigurationRecords(0), 5_000)
        == []
    )


def test_a_new_router_waits_for_the_newest_version_of_its_siblings() -> None:
    policy = distribution.DistributionPolicy()
    wire_codec = registry.make_codec()
    router = distribution.Distribution(
        data.Host("a", "z", "127.0.0.1:1", 1),
        wire_codec,
        policy,
        random.Random(1),
        0,
    )
    router.set_view(("b", "c"), ())
    logged = tuple(
        messages.LoggedRecord(offset, wire_codec.encode(record))
        for offset, record in enumerate(
            (_make_first_change(), _make_small_change(2))
        )
    )
    # An age of -1 is unknown, as during a long outage of the log.
    router.receive_digest("b", messages.ConfigurationDigest(1, 1, -1), 10)
    first = messages.ConfigurationRecords(1, logged[:1])
    router.receive_records("b", first, 20)
    assert router.fold.current.version == 1
    assert router.explain_not_ready(30) is not None
    (pull,) = router.receive_digest(
        "c", messages.ConfigurationDigest(2, 2, -1), policy.startup_wait_ms + 1
    )
    assert pull.host_name == "c"
    assert router.explain_not_ready(policy.startup_wait_ms + 2) is not None
    router.receive_records(
        "c",
        messages.ConfigurationRecords(2, logged[1:]),
        policy.startup_wait_ms + 3,
    )
    assert router.fold.current.version == 2
    assert router.explain_not_ready(policy.startup_wait_ms + 4) is None


@hypothesis.given(
    strategies.lists(strategies.integers(0, 6), max_size=6),
    strategies.integers(0, 2**64 - 1),
)
def test_records_out_of_order_leave_the_state_complete(
    offsets: list[int], next_offset: int
) -> None:
    wire_codec = registry.make_codec()
    router = distribution.Distribution(
        data.Host("a", "z", "127.0.0.1:1", 1),
        wire_codec,
        distribution.DistributionPolicy(),
        random.Random(1),
        0,
    )
    bodies = [wire_codec.encode(_make_first_change())]
    bodies += [wire_codec.encode(_make_small_change(n)) for n in range(2, 8)]
    records = tuple(messages.LoggedRecord(n, bodies[n]) for n in offsets)
    reply = messages.ConfigurationRecords(next_offset, records)
    router.receive_records("b", reply, 10)
    assert router.fold.has_complete_state
    known = router.fold.next_offset
    assert router.fold.current.version == known
    assert router.answer_pull(messages.ConfigurationPull(0, False)).records == (
        tuple(messages.LoggedRecord(n, bodies[n]) for n in range(known))
    )


def test_an_invalid_checkpoint_is_not_adopted() -> None:
    fleet = _make_fleet(routers=3, zones=3)
    router = fleet.routers["router-0"]
    before = router.fold.current
    router.receive_records(
        "router-1",
        messages.ConfigurationRecords(99, checkpoint=b"noise"),
        fleet.now_ms,
    )
    assert router.fold.current == before


def test_messages_round_trip_through_the_codec() -> None:
    wire_codec = registry.make_codec()
    for record in (
        messages.ConfigurationDigest(5, 4, -1),
        messages.ConfigurationPull(3, True),
        messages.ConfigurationRecords(
            9, (messages.LoggedRecord(8, b"x"),), b"y"
        ),
    ):
        encoded = wire_codec.encode(record)
        assert wire_codec.decode(encoded) == codec.Decoded(0, record)


class DistributionMachine(stateful.RuleBasedStateMachine):
    """Changes, zone cuts, log outages and restarts in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = _make_fleet(routers=6, zones=3)
        self.number = 1
        self.version = 1
        self.seen = {
            name: router.fold.current.version
            for name, router in self.fleet.routers.items()
        }

    @stateful.rule()
    def publish(self) -> None:
        self.number += 1
        self.version = _append_small_change(self.fleet, self.number)

    @stateful.rule(zones=strategies.sets(strategies.integers(0, 2)))
    def cut(self, zones: set[int]) -> None:
        self.fleet.cut_zones = {f"zone-{zone}" for zone in zones}

    @stateful.rule(hosts=strategies.sets(strategies.integers(0, 5)))
    def lose_log(self, hosts: set[int]) -> None:
        self.fleet.hosts_without_log = {f"router-{host}" for host in hosts}

    @stateful.rule(host=strategies.integers(0, 5))
    def restart(self, host: int) -> None:
        name = f"router-{host}"
        self.fleet.start(name)
        self.seen[name] = 0

    @stateful.rule(duration_ms=strategies.sampled_from([1, 300, 3_000, 40_000]))
    def wait(self, duration_ms: int) -> None:
        self.fleet.run(duration_ms)

    @stateful.invariant()
    def versions_only_grow(self) -> None:
        for name, router in self.fleet.routers.items():
            version = router.fold.current.version
            assert version >= self.seen[name]
            self.seen[name] = version

    @stateful.invariant()
    def a_ready_router_has_a_configuration(self) -> None:
        for router in self.fleet.routers.values():
            if router.explain_not_ready(self.fleet.now_ms) is None:
                assert router.fold.current.version > 0

    def teardown(self) -> None:
        self.fleet.cut_zones = set()
        self.fleet.hosts_without_log = set()
        took_ms = self.fleet.run_until_in_force(self.version, _IN_FORCE_MS)
        assert took_ms is not None
        assert len({r.fold.audit for r in self.fleet.routers.values()}) == 1


TestDistributionMachine = DistributionMachine.TestCase
TestDistributionMachine.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=20
)
