"""The client of the ledger that requests use to admit, settle and claim.

The client runs on `asyncio` and decides nothing itself: it maps budgets to
shards and runs one `ShardClient` for each shard in use. All decisions are made
by `holder.Holder`.
"""

import asyncio
from collections.abc import Callable
import secrets
import types
from typing import Any
from typing import Self
from typing import cast

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import bill_store
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import shard_client
from redwingchute.process.ledger import sharding

# How long a graceful shutdown waits for owners to confirm returned tokens.
STOP_TIMEOUT_MS = 10_000


def _discard_record(record: spending.HoldBills | spending.ForgetBills) -> None:
    """Does nothing; the default for a router without siblings."""
    del record


async def _return_no_replies(
    request: spending.TransferRequest,
) -> tuple[spending.TransferReply, ...]:
    """Returns no replies; the default for a router without siblings."""
    del request
    return ()


def _make_random_incarnation() -> data.Incarnation:
    """Returns a random positive number."""
    return secrets.randbits(63) + 1


class LedgerClient:
    """Charges requests to budgets, from leases and reserves of this router.

    Leaving the context returns all tokens to their budgets. It ends when the
    owners have confirmed this, or after a timeout.
    """

    def __init__(
        self,
        host: str,
        shard_count: int,
        call: shard_client.SendCall,
        clock_ms: Callable[[], int],
        make_incarnation: Callable[
            [], data.Incarnation
        ] = _make_random_incarnation,
        send_to_siblings: shard_client.SendToSiblings = _discard_record,
        request_reserve: shard_client.RequestReserve = _return_no_replies,
        settings: holder_state.HolderSettings | None = None,
        stop_timeout_ms: int = STOP_TIMEOUT_MS,
    ) -> None:
        """Creates a client, which sends nothing before a budget is used.

        Args:
          host: The name of this host.
          shard_count: The number of ledger shards.
          call: Sends a `LedgerCall` to the owner of a shard and returns its
            reply, or None if no reply came in time.
          clock_ms: Returns the time.
          make_incarnation: Returns a number that was never used before.
          send_to_siblings: Sends a record to the siblings of this zone.
          request_reserve: Requests reserve from the siblings of this zone.
          settings: The timeouts and intervals of holders.
          stop_timeout_ms: How long leaving the context waits for the owners.
        """
        self._shard_count = shard_count
        self._clock_ms = clock_ms
        self._copies = bill_store.BillStore()
        self._stop_timeout_ms = stop_timeout_ms
        self._client_settings = shard_client.ShardClientSettings(
            host=host,
            call=call,
            clock_ms=clock_ms,
            make_incarnation=make_incarnation,
            send_to_siblings=send_to_siblings,
            request_reserve=request_reserve,
            holder_settings=settings or holder_state.HolderSettings(),
        )
        self._clients: dict[int, shard_client.ShardClient] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._last_charge_id = 0

    async def __aenter__(self) -> Self:
        """Returns the client; a shard is opened on its first use."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Returns all leases and reserves and ends all tasks."""
        await _end_tasks(tuple(self._tasks.values()))
        try:
            async with asyncio.timeout(self._stop_timeout_ms / 1_000):
                await asyncio.gather(
                    *(client.stop() for client in self._clients.values())
                )
        except TimeoutError:
            # Tokens that could not be returned stay with this incarnation
            # until the ledger retires it.
            pass
        for client in self._clients.values():
            await client.close()
        self._clients.clear()
        self._tasks.clear()

    def register_budget(self, budget: str) -> None:
        """Starts requesting reserve of a budget before any request uses it."""
        client = self._open_client(budget)
        client.holder.register_budget(budget, self._clock_ms())
        client.wake()

    async def admit(
        self, request: spending.ChargeRequest, deadline_ms: int
    ) -> spending.Admission:
        """Reserves a request's upper bound.

        Args:
          request: The request to charge.
          deadline_ms: When the request stops waiting for tokens.

        Returns:
          A charge, which must be ended by `settle`, `cancel` or
          `record_outcome`; or `AlreadySettled` if the key is billed, so that
          the request may run free of charge; or a refusal.
        """
        self._last_charge_id += 1
        charge = spending.Charge(self._last_charge_id, request, deadline_ms)
        client = self._open_client(request.budget)
        future = client.register_future(charge, holder_events.AdmissionEnded)
        client.holder.admit(charge, self._clock_ms())
        client.wake()
        try:
            return cast(spending.Admission, await future)
        except asyncio.CancelledError:
            self.cancel(charge)
            raise

    async def settle(
        self, charge: spending.Charge, tokens: int
    ) -> spending.Settlement:
        """Bills a request; its response may end once this returns."""
        client = self._open_client(charge.request.budget)
        future = client.register_future(charge, holder_events.SettlementEnded)
        holder = client.find_holder(charge)
        holder.settle(charge, tokens, self._clock_ms())
        return cast(
            spending.Settlement,
            await self._await_result(client, charge, future),
        )

    def cancel(self, charge: spending.Charge) -> None:
        """Ends a charge without a bill."""
        client = self._open_client(charge.request.budget)
        client.find_holder(charge).cancel(charge)
        client.remove_charge(charge)
        client.wake()

    async def claim(self, charge: spending.Charge) -> spending.ClaimResult:
        """Claims the only run of a call before its first byte is sent.

        Returns:
          `Claimed`, or the recorded outcome of the key, or a refusal. Unless
          it is `Claimed`, the charge has ended and the call must not run.
        """
        client = self._open_client(charge.request.budget)
        future = client.register_future(charge, holder_events.ClaimEnded)
        client.find_holder(charge).claim(charge, self._clock_ms())
        client.wake()
        result = cast(spending.ClaimResult, await future)
        if not isinstance(result, spending.Claimed):
            client.remove_charge(charge)
        return result

    async def record_outcome(
        self,
        charge: spending.Charge,
        status: data.OutcomeStatus,
        tokens: int,
        answer: bytes,
    ) -> spending.Settlement:
        """Records and bills the result of a claimed call."""
        client = self._open_client(charge.request.budget)
        future = client.register_future(charge, holder_events.SettlementEnded)
        client.find_holder(charge).record_outcome(
            charge, status, tokens, answer, self._clock_ms()
        )
        return cast(
            spending.Settlement,
            await self._await_result(client, charge, future),
        )

    def handle_recall(self, recall: data.Recall) -> None:
        """Returns tokens that an owner recalls, as far as they are free."""
        client = self._open_client(recall.budget)
        client.holder.handle_recall(recall)
        client.wake()

    def handle_transfer_request(
        self, request: spending.TransferRequest
    ) -> spending.TransferReply:
        """Transfers part of this router's free reserve to a sibling."""
        client = self._open_client(request.budget)
        reply = client.holder.handle_transfer_request(request, self._clock_ms())
        client.wake()
        return reply

    def handle_hold_bills(
        self, request: spending.HoldBills
    ) -> spending.BillsHeld:
        """Stores copies of a sibling's bills."""
        return self._copies.hold(request, self._clock_ms())

    def handle_forget_bills(self, request: spending.ForgetBills) -> None:
        """Removes the copies of bills that are in the log."""
        self._copies.remove(request.keys)

    async def _await_result(
        self,
        client: shard_client.ShardClient,
        charge: spending.Charge,
        future: asyncio.Future[Any],
    ) -> Any:
        """Waits for the result of a charge, which ends the charge."""
        client.wake()
        result = await future
        client.remove_charge(charge)
        return result

    def _open_client(self, budget: str) -> shard_client.ShardClient:
        """Returns the client of a budget's shard, started on first use."""
        shard = sharding.find_shard(budget, self._shard_count)
        if shard not in self._clients:
            client = shard_client.ShardClient(
                shard, self._client_settings, self._copies
            )
            self._clients[shard] = client
            self._tasks[shard] = asyncio.create_task(client.run())
        return self._clients[shard]


async def _end_tasks(tasks: tuple[asyncio.Task[None], ...]) -> None:
    """Cancels tasks and waits for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
