"""Tests of entries of upstreams that arrive after newer ones."""

import asyncio
from typing import Any

import attrs

from redwingchute.process import entry_order
from redwingchute.testing import forwarding_builders
from redwingchute.testing import gateway_rig

_ENTRY = attrs.evolve(
    forwarding_builders.make_upstream("m-1"), born_ms=5, sequence=10
)


_HEARTBEAT_MS = 1_200


class _Order:
    """An order of entries and its clock."""

    def __init__(self) -> None:
        self.now_ms = 1_000
        self._order = entry_order.EntryOrder(lambda: self.now_ms)

    def accept(self, **changes: Any) -> bool:
        return self._order.accept(attrs.evolve(_ENTRY, **changes))


def test_an_entry_is_late_after_a_newer_one_of_the_same_start() -> None:
    order = _Order()
    assert order.accept()
    assert order.accept()
    assert not order.accept(sequence=9)
    assert order.accept(sequence=11)
    assert not order.accept(sequence=10)
    assert order.accept(id="m-2", sequence=9)


# An upstream that starts again counts anew, and its clock may be set back.
def test_no_entry_of_another_start_is_late() -> None:
    for born_ms in (0, 4, 6):
        order = _Order()
        assert order.accept()
        assert order.accept(born_ms=born_ms, sequence=1)
    order = _Order()
    assert order.accept(born_ms=0)
    assert order.accept(born_ms=0, sequence=1)


# Guards against one entry of another writer that hides an upstream for good.
def test_an_upstream_is_heard_again_after_an_entry_with_a_huge_number() -> None:
    order = _Order()
    assert order.accept(sequence=2**52)
    accepted = []
    for sequence in range(11, 61):
        order.now_ms += _HEARTBEAT_MS
        accepted.append(order.accept(sequence=sequence))
    assert not accepted[0]
    assert accepted[-1]
    assert sorted(accepted) == accepted


# What TCP held up may arrive for as long as the upstream writes newer entries.
def test_newer_entries_keep_late_ones_late() -> None:
    order = _Order()
    for sequence in range(100, 200):
        order.now_ms += _HEARTBEAT_MS
        assert order.accept(sequence=sequence)
        assert not order.accept(sequence=sequence - 90)


# Guards against requests to an upstream that drains, or is gone, after an entry
# that was held up has arrived.
def test_a_late_entry_undoes_neither_draining_nor_leaving() -> None:
    async def main() -> list[int]:
        async with gateway_rig.GatewayRig() as rig:
            leaving = await rig.start_runner("l-3", "ledger")
            held_up = leaving.make_entry()
            rig.publish_runner("l-3", "draining")
            await asyncio.sleep(1.0)
            found = []
            for is_removed in (False, True):
                if is_removed:
                    rig.remove_runner("l-3")
                    await asyncio.sleep(1.0)
                rig.publish_entry("l-3", held_up)
                await asyncio.sleep(1.0)
                begun = len(rig.list_runs("l-3"))
                for _ in range(12):
                    await rig.send_request("/lookup/1")
                found.append(len(rig.list_runs("l-3")) - begun)
            return found

    assert asyncio.run(main()) == [0, 0]
