"""The ledger as requests see it: admit, settle, claim and record.

This is a thin shell on `asyncio`. It maps budgets to shards, drives one
`ShardLink` for each shard in use, and turns events into results. All
decisions are in `holder.Holder`.
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
from redwingchute.process.ledger import shard_link
from redwingchute.process.ledger import sharding

# How long a planned stop waits for the owner to confirm returned tokens.
STOP_TIMEOUT_MS = 10_000


def _send_nowhere(record: spending.HoldBills | spending.ForgetBills) -> None:
    """Stands for siblings where there are none."""
    del record


async def _ask_nobody(
    request: spending.TransferRequest,
) -> tuple[spending.TransferReply, ...]:
    """Stands for siblings where there are none."""
    del request
    return ()


def _make_random_incarnation() -> data.Incarnation:
    """Returns a random number above 0."""
    return secrets.randbits(63) + 1


class LedgerClient:
    """Charges requests to budgets, with leases and reserves behind it.

    The exit of the context returns all tokens to their budgets, which ends
    only when the owner confirmed it or `STOP_TIMEOUT_MS` have passed.
    """

    def __init__(
        self,
        host: str,
        shard_count: int,
        call: shard_link.Call,
        clock_ms: Callable[[], int],
        make_incarnation: Callable[
            [], data.Incarnation
        ] = _make_random_incarnation,
        send_to_siblings: shard_link.SendToSiblings = _send_nowhere,
        ask_siblings: shard_link.AskSiblings = _ask_nobody,
        settings: holder_state.HolderSettings | None = None,
        stop_timeout_ms: int = STOP_TIMEOUT_MS,
    ) -> None:
        """Prepares the client; it calls nobody before it is entered.

        Args:
          host: The name of this host.
          shard_count: The number of ledger shards.
          call: Sends a `LedgerCall` to the owner of a shard and returns its
            reply, or None when no reply came in time.
          clock_ms: Returns the time.
          make_incarnation: Returns a number that was never used before.
          send_to_siblings: Sends a record to the siblings of this zone.
          ask_siblings: Asks the siblings of this zone for reserve.
          settings: The times that holders go by.
          stop_timeout_ms: How long the exit waits for the owners.
        """
        self._shard_count = shard_count
        self._clock_ms = clock_ms
        self._copies = bill_store.BillStore()
        self._stop_timeout_ms = stop_timeout_ms
        self._link_settings = shard_link.LinkSettings(
            host=host,
            call=call,
            clock_ms=clock_ms,
            make_incarnation=make_incarnation,
            send_to_siblings=send_to_siblings,
            ask_siblings=ask_siblings,
            holder_settings=settings or holder_state.HolderSettings(),
        )
        self._links: dict[int, shard_link.ShardLink] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._last_charge_id = 0

    async def __aenter__(self) -> Self:
        """Returns the client; links start with their first use."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Returns leases and reserves and ends all tasks."""
        await _end_tasks(tuple(self._tasks.values()))
        try:
            async with asyncio.timeout(self._stop_timeout_ms / 1_000):
                await asyncio.gather(
                    *(link.stop() for link in self._links.values())
                )
        except TimeoutError:
            # What could not be returned stays with this incarnation until
            # the ledger retires it.
            pass
        for link in self._links.values():
            await link.close()
        self._links.clear()
        self._tasks.clear()

    def register_budget(self, budget: str) -> None:
        """Starts to ask for reserve of a budget before requests come."""
        link = self._open_link(budget)
        link.holder.register_budget(budget, self._clock_ms())
        link.wake()

    async def admit(
        self, request: spending.ChargeRequest, deadline_ms: int
    ) -> spending.Admission:
        """Reserves a request's upper bound.

        Args:
          request: What the request asks.
          deadline_ms: When it stops waiting.

        Returns:
          A charge, which must end by `settle`, `cancel` or `record_outcome`;
          or that the key is billed and the request may run free of charge; or
          a refusal.
        """
        self._last_charge_id += 1
        charge = spending.Charge(self._last_charge_id, request, deadline_ms)
        link = self._open_link(request.budget)
        future = link.expect(charge, holder_events.AdmissionEnded)
        link.holder.admit(charge, self._clock_ms())
        link.wake()
        try:
            return cast(spending.Admission, await future)
        except asyncio.CancelledError:
            self.cancel(charge)
            raise

    async def settle(
        self, charge: spending.Charge, tokens: int
    ) -> spending.Settlement:
        """Bills a request; its answer may end after this."""
        link = self._open_link(charge.request.budget)
        future = link.expect(charge, holder_events.SettlementEnded)
        holder = link.find_holder(charge)
        holder.settle(charge, tokens, self._clock_ms())
        return cast(
            spending.Settlement, await self._finish(link, charge, future)
        )

    def cancel(self, charge: spending.Charge) -> None:
        """Ends a charge of which nothing was used."""
        link = self._open_link(charge.request.budget)
        link.find_holder(charge).cancel(charge)
        link.release(charge)
        link.wake()

    async def claim(self, charge: spending.Charge) -> spending.ClaimResult:
        """Claims the single run of a call before its first byte.

        Returns:
          `Claimed`, or the recorded outcome of the key, or a refusal. Unless
          it is `Claimed`, the charge has ended and the call must not run.
        """
        link = self._open_link(charge.request.budget)
        future = link.expect(charge, holder_events.ClaimEnded)
        link.find_holder(charge).claim(charge, self._clock_ms())
        link.wake()
        result = cast(spending.ClaimResult, await future)
        if not isinstance(result, spending.Claimed):
            link.release(charge)
        return result

    async def record_outcome(
        self,
        charge: spending.Charge,
        status: data.OutcomeStatus,
        tokens: int,
        answer: bytes,
    ) -> spending.Settlement:
        """Records and bills the result of a claimed call."""
        link = self._open_link(charge.request.budget)
        future = link.expect(charge, holder_events.SettlementEnded)
        link.find_holder(charge).record_outcome(
            charge, status, tokens, answer, self._clock_ms()
        )
        return cast(
            spending.Settlement, await self._finish(link, charge, future)
        )

    def recall(self, recall: data.Recall) -> None:
        """Gives tokens back that an owner asks for."""
        link = self._open_link(recall.budget)
        link.holder.recall(recall)
        link.wake()

    def answer_transfer(
        self, request: spending.TransferRequest
    ) -> spending.TransferReply:
        """Gives a sibling part of this router's free reserve."""
        link = self._open_link(request.budget)
        reply = link.holder.answer_transfer(request, self._clock_ms())
        link.wake()
        return reply

    def hold_bills(self, request: spending.HoldBills) -> spending.BillsHeld:
        """Keeps copies of a sibling's bills."""
        return self._copies.hold(request, self._clock_ms())

    def forget_bills(self, request: spending.ForgetBills) -> None:
        """Drops copies of bills that are in the log."""
        self._copies.forget(request.keys)

    async def _finish(
        self,
        link: shard_link.ShardLink,
        charge: spending.Charge,
        future: asyncio.Future[Any],
    ) -> Any:
        """Waits for the end of a charge."""
        link.wake()
        result = await future
        link.release(charge)
        return result

    def _open_link(self, budget: str) -> shard_link.ShardLink:
        """Returns the link of a budget's shard and starts it on first use."""
        shard = sharding.find_shard(budget, self._shard_count)
        if shard not in self._links:
            link = shard_link.ShardLink(
                shard, self._link_settings, self._copies
            )
            self._links[shard] = link
            self._tasks[shard] = asyncio.create_task(link.run())
        return self._links[shard]


async def _end_tasks(tasks: tuple[asyncio.Task[None], ...]) -> None:
    """Cancels tasks and waits for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
