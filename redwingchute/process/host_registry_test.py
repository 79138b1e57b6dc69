"""Tests of the list of the fleet's hosts in the shared log."""

import asyncio
import copy
import itertools

import pytest

from redwingchute.process import era_log
from redwingchute.process import host_registry
from redwingchute.process import shared_log
from redwingchute.testing import manual_loop
from redwingchute.testing import memory_log


class _Fleet:
    """Hosts that register in one log, on a manual clock."""

    def __init__(self) -> None:
        self.loop = manual_loop.ManualLoop()
        self.log = memory_log.MemoryLog()
        self.registries: dict[str, host_registry.HostRegistry] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._incarnations = 0

    def start(self, name: str) -> host_registry.HostRegistry:
        """Starts the registry of a host, or starts it again."""
        self._incarnations += 1
        registry = host_registry.HostRegistry(
            era_log.EraLog(self.log),
            host_registry.RegisteredHost(name, "huon", f"{name}:7000", 0.5),
            self._incarnations,
            lambda: int(1000 * self.loop.time()),
            lambda: None,
        )
        self.registries[name] = registry
        self._tasks[name] = self.loop.create_task(registry.run())
        return registry

    def stop(self, name: str) -> None:
        """Ends the process of a host without notice."""
        self._tasks.pop(name).cancel()

    def run_for(self, seconds: float) -> None:
        """Runs the hosts for a duration."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def list_names(self, name: str) -> list[str]:
        """Returns the hosts that a host lists."""
        return [host.name for host in self.registries[name].list_hosts()]

    def close(self) -> None:
        """Ends all processes."""
        for task in self._tasks.values():
            task.cancel()
        self.run_for(0.01)
        self.loop.close()


def test_hosts_of_a_new_fleet_find_each_other_within_seconds() -> None:
    fleet = _Fleet()
    for name in ("a", "b", "c"):
        fleet.start(name)
    fleet.run_for(2)
    listed = [fleet.list_names(name) for name in ("a", "b", "c")]
    settled = [registry.has_settled for registry in fleet.registries.values()]
    fleet.close()
    assert listed == [["a", "b", "c"]] * 3
    assert all(settled)


def test_a_restarted_host_knows_the_fleet_at_once() -> None:
    fleet = _Fleet()
    for name in ("a", "b"):
        fleet.start(name)
    fleet.run_for(5)
    fleet.stop("a")
    restarted = fleet.start("a")
    fleet.run_for(0.05)
    listed = fleet.list_names("a")
    has_settled = restarted.has_settled
    fleet.close()
    assert has_settled
    assert listed == ["a", "b"]


def test_a_host_that_leaves_is_not_listed() -> None:
    fleet = _Fleet()
    for name in ("a", "b"):
        fleet.start(name)
    fleet.run_for(5)
    fleet.stop("b")
    fleet.loop.run_until_complete(fleet.registries["b"].leave(0.3))
    fleet.run_for(3)
    listed = fleet.list_names("a")
    fleet.close()
    assert listed == ["a"]


def test_a_host_leaves_although_a_renewal_had_no_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = _Fleet()
    for name in ("a", "b"):
        fleet.start(name)
    fleet.run_for(5)
    append = fleet.log.append

    async def lose_response(
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        await append(topic, records, stamp, at)
        return shared_log.LogUnavailable("no response", may_have_run=True)

    monkeypatch.setattr(fleet.log, "append", lose_response)
    fleet.run_for(10)
    monkeypatch.undo()
    fleet.stop("b")
    fleet.loop.run_until_complete(fleet.registries["b"].leave(0.3))
    fleet.run_for(3)
    listed = fleet.list_names("a")
    fleet.close()
    assert listed == ["a"]


def test_a_host_that_stopped_renewing_is_gone() -> None:
    fleet = _Fleet()
    for name in ("a", "b"):
        fleet.start(name)
    fleet.run_for(5)
    fleet.stop("b")
    fleet.run_for(20)
    before = fleet.list_names("a")
    fleet.run_for(40)
    after = fleet.list_names("a")
    fleet.close()
    assert before == ["a", "b"]
    assert after == ["a"]


def test_an_outage_of_the_log_removes_no_host() -> None:
    fleet = _Fleet()
    for name in ("a", "b"):
        fleet.start(name)
    fleet.run_for(5)
    fleet.log.is_unavailable = True
    fleet.run_for(60)
    during = fleet.list_names("a")
    fleet.log.is_unavailable = False
    fleet.run_for(5)
    after = fleet.list_names("a")
    fleet.close()
    assert during == after == ["a", "b"]


def test_a_malformed_entry_is_left_out() -> None:
    fleet = _Fleet()
    fleet.log.topic.append((shared_log.KeyedRecord("x", b'{"name":1}'),))
    fleet.start("a")
    fleet.run_for(5)
    listed = fleet.list_names("a")
    fleet.close()
    assert listed == ["a"]


# Guards against hosts that are missing from the list until the next renewal.
def test_hosts_register_again_when_the_log_returns_from_a_copy() -> None:
    fleet = _Fleet()
    earlier = copy.deepcopy(fleet.log.topic)
    for name in ("a", "b", "c"):
        fleet.start(name)
    fleet.run_for(5)
    fleet.log.topic = earlier
    fleet.log.topic.era = 1
    fleet.run_for(3)
    newest = fleet.log.topic.read_newest()
    listed = fleet.list_names("a")
    fleet.close()
    assert sorted(record.key for record in newest.records) == ["a", "b", "c"]
    assert newest.next_position.offset == 3
    assert listed == ["a", "b", "c"]


def test_renewals_in_a_new_era_are_spread() -> None:
    fleet = _Fleet()
    names = [f"host-{number}" for number in range(60)]
    for name in names:
        fleet.start(name)
    fleet.run_for(5)
    fleet.log.topic.era = 1
    end_before = fleet.log.topic.end_offset
    appended = []
    for _ in range(32):
        fleet.run_for(0.1)
        appended.append(fleet.log.topic.end_offset - end_before)
    fleet.close()
    assert appended[-1] == len(names)
    peaks = [after - now for now, after in itertools.pairwise(appended)]
    assert max(peaks) <= 30
