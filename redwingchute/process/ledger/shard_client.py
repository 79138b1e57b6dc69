"""Drives the holders of one shard: sends their calls, dispatches their events.

When the ledger retires a holder, a successor with a new incarnation takes over
its requests. The successor sends nothing until the predecessor's bills and
give-backs have their verdicts, so that the two never spend the same tokens.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any
from typing import TypeAlias

import attrs

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import bill_store
from redwingchute.process.ledger import holder
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import holder_state
from redwingchute.process.ledger import local_keys
from redwingchute.process.ledger import outbox

SendCall: TypeAlias = Callable[
    [int, data.LedgerCall], Awaitable[data.LedgerReply | None]
]
RequestReserve: TypeAlias = Callable[
    [spending.TransferRequest], Awaitable[Sequence[spending.TransferReply]]
]
SendToSiblings: TypeAlias = Callable[
    [spending.HoldBills | spending.ForgetBills], None
]


@attrs.frozen
class ShardClientSettings:
    """The settings that all shards of a router share.

    Attributes:
      host: The name of this host.
      call: Sends a message to a shard's owner and returns its reply, or None
        without a reply.
      clock_ms: Returns the time.
      make_incarnation: Returns a number that was never used before.
      send_to_siblings: Sends a record to the siblings, best effort.
      request_reserve: Requests reserve from all siblings and returns their
        replies.
      holder_settings: The timeouts and intervals of holders.
      batch_window_ms: How long entries of concurrent requests are collected.
      tick_ms: The interval between checks of deadlines while requests are
        under way.
      busy_tick_ms: The same interval while only entries or calls are under
        way, or the owner is unreachable.
      idle_tick_ms: The same interval while nothing is under way; `wake` ends
        it early.
    """

    host: str
    call: SendCall
    clock_ms: Callable[[], int]
    make_incarnation: Callable[[], data.Incarnation]
    send_to_siblings: SendToSiblings
    request_reserve: RequestReserve
    holder_settings: holder_state.HolderSettings
    batch_window_ms: int = 3
    tick_ms: int = 25
    busy_tick_ms: int = 250
    idle_tick_ms: int = 4_000


class ShardClient:
    """The holders of one shard and the futures of their requests."""

    def __init__(
        self,
        shard: int,
        settings: ShardClientSettings,
        copies: bill_store.BillStore,
    ) -> None:
        """Creates a client with a holder of a new incarnation.

        Args:
          shard: The shard.
          settings: The settings that all shards share.
          copies: The copies of siblings' bills.
        """
        self._shard = shard
        self._settings = settings
        self._copies = copies
        self._keys = local_keys.LocalKeys()
        self._retired: list[holder.Holder] = []
        self.holder = self._make_holder()
        self._holder_by_charge: dict[int, holder.Holder] = {}
        self._futures: dict[tuple[int, type], asyncio.Future[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()

    def find_holder(self, charge: spending.Charge) -> holder.Holder:
        """Returns the holder that a charge belongs to."""
        return self._holder_by_charge.get(charge.charge_id, self.holder)

    def register_future(
        self, charge: spending.Charge, event_type: type
    ) -> asyncio.Future[Any]:
        """Returns a future for the result of the next event of a charge.

        Args:
          charge: The charge.
          event_type: The class of the event, `AdmissionEnded` for example.
        """
        future = asyncio.get_running_loop().create_future()
        self._futures[(charge.charge_id, event_type)] = future
        return future

    def wake(self) -> None:
        """Dispatches events and makes `run` serve the holders soon."""
        self._dispatch_events()
        self._wake.set()

    async def run(self) -> None:
        """Serves the holders until it is cancelled."""
        while True:
            self._serve(self._settings.clock_ms())
            await self._wait()

    async def stop(self) -> None:
        """Returns all tokens and waits until the owner has confirmed this."""
        for each in (*self._retired, self.holder):
            each.begin_stop(self._settings.clock_ms())
        while not self.is_finished():
            self._serve(self._settings.clock_ms())
            await self._wait()

    async def close(self) -> None:
        """Cancels the calls under way."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_finished(self) -> bool:
        """Returns whether nothing is under way for any holder."""
        return all(each.is_finished() for each in (*self._retired, self.holder))

    async def _wait(self) -> None:
        """Waits for work, then collects entries for the batch window."""
        try:
            async with asyncio.timeout(self._find_tick_ms() / 1_000):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
        await asyncio.sleep(self._settings.batch_window_ms / 1_000)

    def _find_tick_ms(self) -> int:
        """Returns the longest time to wait unless `wake` is called."""
        holders = (*self._retired, self.holder)
        if self._futures or any(each.has_requests() for each in holders):
            return self._settings.tick_ms
        if self.is_finished() and self.holder.is_owner_reachable:
            return self._settings.idle_tick_ms
        return self._settings.busy_tick_ms

    def _serve(self, now_ms: int) -> None:
        """Advances the holders and sends the calls that are due."""
        for each in (*self._retired, self.holder):
            each.advance(now_ms)
        self._dispatch_events()
        if self.holder.is_owner_reachable:
            for bill in self._copies.collect_due(self._shard, now_ms):
                self.holder.enqueue_bill_copy(bill)
        for each in self._list_callers():
            while (call := each.next_call(now_ms)) is not None:
                self._start_call(each, call)
        self._retired = [
            each for each in self._retired if not each.is_finished()
        ]

    def _list_callers(self) -> tuple[holder.Holder, ...]:
        """Returns the holders that may send calls now."""
        if any(each.has_open_bills() for each in self._retired):
            return tuple(self._retired)
        return (*self._retired, self.holder)

    def _start_call(
        self, caller: holder.Holder, call: outbox.OutgoingCall
    ) -> None:
        """Sends a call without waiting for it."""
        self._start_task(self._send_call(caller, call))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work concurrently; `close` cancels it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request_reserve(
        self, requester: holder.Holder, request: spending.TransferRequest
    ) -> None:
        """Requests reserve from the siblings and adds what they transfer."""
        replies = await self._settings.request_reserve(request)
        for reply in replies:
            requester.handle_transfer(reply.transfer, self._settings.clock_ms())
        self.wake()

    async def _send_call(
        self, caller: holder.Holder, call: outbox.OutgoingCall
    ) -> None:
        """Sends a call and handles its reply."""
        reply = await self._settings.call(self._shard, call.message)
        now_ms = self._settings.clock_ms()
        if reply is None:
            caller.handle_call_failure(call.call_id, now_ms)
        else:
            caller.handle_reply(call.call_id, reply, now_ms)
        self.wake()

    def _dispatch_events(self) -> None:
        """Dispatches the events of all holders to requests and siblings."""
        is_done = False
        while not is_done:
            is_done = True
            for each in (*self._retired, self.holder):
                for event in each.pop_events():
                    is_done = False
                    self._dispatch_event(each, event)

    def _dispatch_event(
        self, source: holder.Holder, event: holder_events.Event
    ) -> None:
        """Dispatches one event."""
        match event:
            case holder_events.AdmissionEnded():
                if isinstance(event.result, spending.Charge):
                    self._holder_by_charge[event.charge_id] = source
                self._set_result(event.charge_id, type(event), event.result)
            case holder_events.SettlementEnded() | holder_events.ClaimEnded():
                self._set_result(event.charge_id, type(event), event.result)
            case holder_events.BillCopyRequested():
                self._settings.send_to_siblings(
                    spending.HoldBills(
                        self._shard, source.incarnation, (event.bill,)
                    )
                )
            case holder_events.BillLogged():
                self._copies.remove((event.key,))
                self._settings.send_to_siblings(
                    spending.ForgetBills(
                        self._shard, source.incarnation, (event.key,)
                    )
                )
            case holder_events.ReserveRequested():
                self._start_task(self._request_reserve(source, event.request))
            case holder_events.BillRefused():
                pass
            case holder_events.HolderRetired():
                self._replace_holder(source)

    def _set_result(
        self, charge_id: int, event_type: type, result: Any
    ) -> None:
        """Sets the result of a request's future, if one waits."""
        future = self._futures.pop((charge_id, event_type), None)
        if future is not None and not future.done():
            future.set_result(result)

    def remove_charge(self, charge: spending.Charge) -> None:
        """Removes an ended charge from the map of holders."""
        self._holder_by_charge.pop(charge.charge_id, None)

    def _replace_holder(self, retired: holder.Holder) -> None:
        """Creates a successor that adopts the requests of a retired holder."""
        now_ms = self._settings.clock_ms()
        if retired is self.holder:
            self._retired.append(retired)
            self.holder = self._make_holder()
        for reservation in retired.pop_reservations_to_adopt():
            self._holder_by_charge[reservation.charge.charge_id] = self.holder
            self.holder.adopt(reservation, now_ms)

    def _make_holder(self) -> holder.Holder:
        """Returns a holder of a new incarnation."""
        return holder.Holder(
            self._shard,
            self._settings.make_incarnation(),
            self._settings.host,
            self._settings.clock_ms(),
            self._settings.holder_settings,
            self._keys,
        )
