"""Tests of entries of upstreams that arrive after newer ones."""

import asyncio

import attrs

from redwingchute.process import entry_order
from redwingchute.testing import forwarding_builders
from redwingchute.testing import gateway_rig

_ENTRY = attrs.evolve(
    forwarding_builders.make_upstream("m-1"), born_ms=5, sequence=10
)


def test_an_entry_is_late_after_a_newer_one_of_the_same_start() -> None:
    order = entry_order.EntryOrder()
    assert not order.is_late(_ENTRY)
    order.record(_ENTRY)
    assert not order.is_late(_ENTRY)
    assert order.is_late(attrs.evolve(_ENTRY, sequence=9))
    assert not order.is_late(attrs.evolve(_ENTRY, sequence=11))
    assert not order.is_late(attrs.evolve(_ENTRY, id="m-2", sequence=9))


# An upstream that starts again counts anew, and its clock may be set back.
def test_no_entry_of_another_start_is_late() -> None:
    order = entry_order.EntryOrder()
    order.record(_ENTRY)
    for born_ms in (0, 4, 6):
        started = attrs.evolve(_ENTRY, born_ms=born_ms, sequence=1)
        assert not order.is_late(started)
    order.record(attrs.evolve(_ENTRY, born_ms=0))
    assert not order.is_late(attrs.evolve(_ENTRY, born_ms=0, sequence=1))


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
