"""Tests settlements for lenders that are out of reach.

The load: a zone is cut off while hundreds of requests borrow from its hubs.
"""

import asyncio
from typing import Any

from redwingchute.core import prepaid
from redwingchute.process import background_tasks
from redwingchute.process import peer_network
from redwingchute.process.prepaid import settlement_sender
from redwingchute.testing import manual_loop

_COUNT = 300


class _Network:
    """Links that reset at once, until they are restored."""

    def __init__(self) -> None:
        self.is_cut = True
        self.calls: list[str] = []
        self.confirmed: set[str] = set()

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        del timeout_ms
        self.calls.append(host_name)
        await asyncio.sleep(0.001)
        if self.is_cut:
            return peer_network.PeerUnreachable("reset")
        self.confirmed.add(record.charge_id)
        return prepaid.RemoteSettlementReply(record.charge_id)


def _send_all(
    loop: manual_loop.ManualLoop, network: _Network, cut_s: float
) -> None:
    """Sends settlements during a cut, which then ends."""
    sender = settlement_sender.SettlementSender(
        network,
        background_tasks.BackgroundTasks(),
        lambda: int(1000 * loop.time()),
    )

    async def send() -> None:
        for number in range(_COUNT):
            settlement = prepaid.RemoteSettlement(f"c{number}", "yield", 100)
            sender.send("bruny-1", settlement, 200)
            await asyncio.sleep(0.01)
        await asyncio.sleep(cut_s)
        network.is_cut = False
        network.calls.append("restored")
        await asyncio.sleep(5)

    loop.run_until_complete(send())


# Guards against a cut zone that is called for each settlement again and again.
def test_a_lender_out_of_reach_is_called_seldom() -> None:
    loop = manual_loop.ManualLoop()
    network = _Network()
    _send_all(loop, network, 30)
    loop.close()
    assert network.calls.index("restored") < 40


# Guards against settlements that are given up on links that reset at once.
def test_all_settlements_arrive_once_the_lender_is_back() -> None:
    loop = manual_loop.ManualLoop()
    network = _Network()
    _send_all(loop, network, 30)
    loop.close()
    assert len(network.confirmed) == _COUNT


def test_settlements_are_given_up_after_some_minutes() -> None:
    loop = manual_loop.ManualLoop()
    network = _Network()
    _send_all(loop, network, 400)
    loop.close()
    assert not network.confirmed
