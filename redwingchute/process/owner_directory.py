"""Locates the owner of a ledger shard and forwards calls to it.

The first candidate is the owner proposed by rendezvous hashing over the live
routers. A router that is not the owner names the presumed owner in its reply.
This hint is followed once per call, and cached for later calls.
"""

from collections.abc import Callable

from redwingchute.core import data
from redwingchute.process import peer_network
from redwingchute.process.ledger import sharding

_CALL_TIMEOUT_MS = 5_000
# The router called first and the one that its hint names.
_MAX_HOPS = 2


class OwnerDirectory:
    """Forwards calls to the owners of ledger shards."""

    def __init__(
        self,
        network: peer_network.PeerNetwork,
        list_live_hosts: Callable[[], tuple[data.Host, ...]],
    ) -> None:
        """Starts without hints.

        Args:
          network: Carries the calls.
          list_live_hosts: Returns the routers that may own shards.
        """
        self._network = network
        self._list_live_hosts = list_live_hosts
        self._hints: dict[int, str] = {}

    async def call(
        self, shard: int, call: data.LedgerCall
    ) -> data.LedgerReply | None:
        """Forwards a call to the owner of its shard.

        Args:
          shard: The shard.
          call: The call; it may be handled even if there is no reply.

        Returns:
          The reply; its status is NOT_OWNER if the router called names no
          other owner. None if there is no live router, if a router did not
          reply, or if its hint did not lead to the owner.
        """
        reply = await self._send_to_owner(shard, call)
        return reply if isinstance(reply, data.LedgerReply) else None

    async def query_balances(
        self, query: data.BalanceQuery
    ) -> data.BalanceReport | None:
        """Returns a shard's balances.

        Returns None if its owner was not found or did not reply.
        """
        reply = await self._send_to_owner(query.shard, query)
        if not isinstance(reply, data.BalanceReport):
            return None
        if reply.status is data.CallStatus.NOT_OWNER:
            return None
        return reply

    async def _send_to_owner(
        self, shard: int, record: data.LedgerCall | data.BalanceQuery
    ) -> data.LedgerReply | data.BalanceReport | None:
        """Sends a record to the presumed owner; follows one hint."""
        for _ in range(_MAX_HOPS):
            host_name = self._find_host(shard)
            if host_name is None:
                return None
            reply = await self._network.call(
                host_name, record, _CALL_TIMEOUT_MS
            )
            if not isinstance(reply, data.LedgerReply | data.BalanceReport):
                self._hints.pop(shard, None)
                return None
            if reply.status is not data.CallStatus.NOT_OWNER:
                return reply
            self._hints.pop(shard, None)
            if reply.owner_host in ("", host_name):
                return reply
            self._hints[shard] = reply.owner_host
        return None

    def _find_host(self, shard: int) -> str | None:
        """Returns the host name of a shard's presumed owner, or None."""
        live = self._list_live_hosts()
        hint = self._hints.get(shard)
        if hint is not None and any(host.name == hint for host in live):
            return hint
        proposed = sharding.propose_owner(shard, live)
        return None if proposed is None else proposed.name
