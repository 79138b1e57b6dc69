"""Runs the membership view of a router over its peer network."""

import asyncio
from collections.abc import Callable
import random

from redwingchute.core import data
from redwingchute.core import fleet
from redwingchute.process import membership
from redwingchute.process import peer_network

_TICK_S = 0.25


class MembershipService:
    """Sends and receives heartbeats and reports changes of the view.

    Attributes:
      view: The membership view.
    """

    def __init__(
        self,
        network: peer_network.PeerNetwork,
        random_source: random.Random,
        read_clock_ms: Callable[[], int],
        on_change: Callable[[], None],
    ) -> None:
        """Starts with this router as the only member.

        Args:
          network: Carries the messages; its context has been entered.
          random_source: Adds jitter to the heartbeats.
          read_clock_ms: Returns the current time.
          on_change: Called when the reachable hosts have changed, or when the
            view has become settled.
        """
        self._network = network
        self._read_clock_ms = read_clock_ms
        self._on_change = on_change
        self._reported_hosts: tuple[data.Host, ...] = ()
        self._was_settled = False
        self.view = membership.Membership(
            network.own_host,
            membership.MembershipTiming(),
            random_source,
            read_clock_ms(),
        )
        network.register_handler(fleet.Heartbeat, self._handle_heartbeat)
        network.register_handler(fleet.MemberList, self._handle_list)

    def is_settled(self) -> bool:
        """Returns whether the view is complete enough to act on."""
        return self.view.is_settled(self._read_clock_ms())

    def add_seed_host(self, host: data.Host) -> None:
        """Adds a host from the settings, to send the first heartbeats to."""
        self._network.set_address(host.name, host.peer_address)
        self.view.add_seed_host(host, self._read_clock_ms())

    def begin_leaving(self) -> None:
        """Publishes that this router is about to stop."""
        self.view.begin_leaving(self._read_clock_ms())
        self._send(self.view.tick(self._read_clock_ms()))

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self._send(self.view.tick(self._read_clock_ms()))
            self._report_changes()
            await asyncio.sleep(_TICK_S)

    async def _handle_heartbeat(
        self, peer: data.Host, heartbeat: fleet.Heartbeat
    ) -> None:
        """Handles a heartbeat."""
        self._send(
            self.view.receive_heartbeat(heartbeat, self._read_clock_ms())
        )
        self._report_changes()

    async def _handle_list(
        self, peer: data.Host, members: fleet.MemberList
    ) -> None:
        """Handles a list of states."""
        self._send(
            self.view.receive_list(peer.name, members, self._read_clock_ms())
        )
        self._report_changes()

    def _send(self, outgoing: list[membership.Outgoing]) -> None:
        """Sends the messages that the view returned."""
        for message in outgoing:
            self._network.send(message.host_name, message.record)

    def _report_changes(self) -> None:
        """Updates peer addresses and calls back if the view has changed."""
        reachable = self.view.list_reachable()
        is_settled = self.is_settled()
        if (
            reachable == self._reported_hosts
            and is_settled == self._was_settled
        ):
            return
        self._reported_hosts = reachable
        self._was_settled = is_settled
        for host in reachable:
            self._network.set_address(host.name, host.peer_address)
        self._on_change()
