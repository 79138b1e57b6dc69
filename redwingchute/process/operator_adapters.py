"""Implements the command executor's ports with a router's components."""

import asyncio
from collections.abc import Callable

from redwingchute.core import data
from redwingchute.core import status
from redwingchute.process import membership_service
from redwingchute.process import operator_ports
from redwingchute.process import owner_directory
from redwingchute.process import peer_network
from redwingchute.process.ledger import sharding
from redwingchute.request import dispatcher

_STATUS_TIMEOUT_MS = 2_000


class ShardLedger:
    """The ledger for operators: accesses each shard through its owner."""

    def __init__(
        self,
        directory: owner_directory.OwnerDirectory,
        own_host: data.Host,
        shard_count: int,
    ) -> None:
        """Initializes the adapter.

        Args:
          directory: Forwards calls to the owners of shards.
          own_host: This router, the sender of the calls.
          shard_count: The number of ledger shards.
        """
        self._directory = directory
        self._own_host = own_host
        self._shard_count = shard_count

    async def read_balances(self) -> operator_ports.Balances:
        """Returns the balances of all budgets whose shard owner replies."""
        reports = await asyncio.gather(
            *(
                self._directory.query_balances(data.BalanceQuery(shard))
                for shard in range(self._shard_count)
            )
        )
        balances: list[data.BudgetBalance] = []
        missing: list[int] = []
        for shard, report in enumerate(reports):
            if report is None:
                missing.append(shard)
            else:
                balances += report.balances
        balances.sort(key=lambda balance: balance.budget)
        return operator_ports.Balances(tuple(balances), tuple(missing))

    async def read_balance(self, budget: str) -> data.BudgetBalance | None:
        """Returns the balance of a budget.

        Returns None if the budget is unknown or its shard's owner did not
        reply.
        """
        shard = sharding.find_shard(budget, self._shard_count)
        report = await self._directory.query_balances(
            data.BalanceQuery(shard, budget)
        )
        if report is None:
            return None
        return next(iter(report.balances), None)

    async def commit(
        self, entry: data.Credit | data.Release | data.Resolve
    ) -> data.Verdict | operator_ports.LedgerUnavailable:
        """Commits an entry and returns the verdict on it."""
        shard = sharding.find_shard(entry.budget, self._shard_count)
        call = data.LedgerCall(
            shard,
            self._own_host.incarnation,
            self._own_host.name,
            entries=(entry,),
        )
        reply = await self._directory.call(shard, call)
        if reply is None:
            return operator_ports.LedgerUnavailable(
                f"The owner of ledger shard {shard} did not answer."
            )
        match reply.status:
            case data.CallStatus.HANDLED:
                return reply.verdicts[0]
            case data.CallStatus.NOT_OWNER:
                return operator_ports.LedgerUnavailable(
                    f"Ledger shard {shard} has no owner at the moment."
                )
            case data.CallStatus.LOG_UNAVAILABLE:
                return operator_ports.LedgerUnavailable(
                    "The log service is unreachable."
                )


class FleetStatus:
    """The reachable routers and their status reports."""

    def __init__(
        self,
        members: membership_service.MembershipService,
        network: peer_network.PeerNetwork,
        report: Callable[[status.StatusQuery], status.StatusReport],
    ) -> None:
        """Initializes the adapter and registers the handler of status queries.

        Args:
          members: The membership view.
          network: Carries the queries.
          report: Returns this router's own status.
        """
        self._members = members
        self._network = network
        self._report = report
        network.register_handler(status.StatusQuery, self._answer_query)

    def list_reachable(self) -> tuple[data.Host, ...]:
        """Returns the reachable hosts, including leaving ones."""
        return self._members.view.list_reachable()

    def list_unreachable(self) -> tuple[tuple[data.Host, int], ...]:
        """Returns the unreachable hosts and since when, in milliseconds."""
        return self._members.view.list_unreachable()

    async def gather(
        self, query: status.StatusQuery
    ) -> tuple[status.StatusReport, ...]:
        """Returns the reports of the reachable hosts that replied."""
        replies = await asyncio.gather(
            *(
                self._network.call(host.name, query, _STATUS_TIMEOUT_MS)
                for host in self.list_reachable()
            )
        )
        return tuple(
            reply for reply in replies if isinstance(reply, status.StatusReport)
        )

    async def _answer_query(
        self, peer: data.Host, query: status.StatusQuery
    ) -> status.StatusReport:
        """Answers a status query of another router."""
        del peer
        return self._report(query)


class DispatcherQuarantine:
    """The quarantine that the request dispatcher enforces."""

    def __init__(self, requests: dispatcher.Dispatcher) -> None:
        """Initializes the adapter with the dispatcher."""
        self._requests = requests

    def list_entries(self) -> tuple[status.QuarantinedRequest, ...]:
        """Returns the entries in force."""
        return self._requests.list_quarantined()

    def lift(self, account: str, digest: bytes, author: str) -> bool:
        """Lifts a quarantine on all routers; False if there is none."""
        return self._requests.lift_quarantine(account, digest, author)
