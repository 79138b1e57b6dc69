"""A simulated router of the ledger: its shard owner, holders and requests.

It takes the place of a daemon's asyncio code. It runs one step at a time and
collects its messages in a list, so that a state machine decides which of them
arrive, when and how often.
"""

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
from redwingchute.process.ledger import owner
from redwingchute.process.ledger import placement
from redwingchute.wire import codec

SHARD = 0
_CALL_TIMEOUT_MS = 1_500
_POLICY = owner.OwnerPolicy(
    shard_count=1,
    appends_per_s=50,
    call_timeout_ms=500,
    takeover_retry_delay_ms=400,
    append_retry_delay_ms=50,
    checkpoint_interval_ms=20_000,
    checkpoint_interval_records=25,
)
_SETTINGS = holder_state.HolderSettings(
    owner_timeout_ms=400, probe_interval_ms=200, idle_return_ms=3_000
)


@attrs.frozen
class CallMessage:
    """A call to the router that may own the shard.

    Attributes:
      call_id: The id of the call, unique within its holder.
      holder: The incarnation of the holder that calls.
      call: The call.
    """

    call_id: int
    holder: data.Incarnation
    call: data.LedgerCall


@attrs.frozen
class ReplyMessage:
    """The reply to a call.

    Attributes:
      call_id: The id of the call.
      holder: The incarnation of the holder that called.
      reply: The reply.
    """

    call_id: int
    holder: data.Incarnation
    reply: data.LedgerReply


Payload: TypeAlias = (
    CallMessage
    | ReplyMessage
    | data.Recall
    | spending.HoldBills
    | spending.ForgetBills
    | spending.TransferRequest
    | spending.TransferReply
)


@attrs.frozen
class Message:
    """A message between hosts.

    Attributes:
      source: The name of the host that sends it.
      target: The name of the host that receives it.
      payload: Its content.
    """

    source: str
    target: str
    payload: Payload


@attrs.define(eq=False)
class RequestRun:
    """A request as its caller sees it.

    Attributes:
      charge: Its charge.
      tokens: Its actual cost, at most its bound.
      is_admitted: Whether it may run.
      is_dispatched: Whether it was sent to an upstream.
      is_finished: Whether it was settled or cancelled, or needs neither.
      refusal: Why it did not run, if it was refused.
      settlement: The result of its settlement, once there is one.
      is_rerun: Whether it runs free of charge, as its key is settled.
    """

    charge: spending.Charge
    tokens: int
    is_admitted: bool = False
    is_dispatched: bool = False
    is_finished: bool = False
    refusal: object | None = None
    settlement: spending.Settlement | None = None
    is_rerun: bool = False


class Router:
    """One process of a router, from its start to its end.

    Attributes:
      name: Its host's name.
      zone: Its availability zone.
      is_alive: Whether the process still exists.
      is_paused: Whether the process is suspended, as by SIGSTOP.
      clock_skew_ms: The difference of its clock from the true time.
      owner_name: The host that it calls as the shard's owner.
      outgoing: Messages that wait to be sent.
      runs: Its requests by charge id.
      copied_bill_keys: The keys of siblings' bills of which it received a copy.
      transfers: Transfers of reserve that it gave or received, by id.
      refused_bills: Bills of answered requests that the ledger refused.
      incarnation: The incarnation of the shard owner.
      shard_owner: The decision code of the shard's owner; it acts as owner
        only after a takeover.
      retired: The retired holders that are not finished yet.
      holder: The holder that admits new requests.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        siblings: tuple[str, ...],
        first_incarnation: data.Incarnation,
        now_ms: int,
        wire_codec: codec.Codec,
    ) -> None:
        """Starts the process.

        Args:
          name: Its host's name.
          zone: Its availability zone.
          siblings: The other hosts of the zone.
          first_incarnation: The first incarnation that the process uses.
          now_ms: The true time.
          wire_codec: Encodes the records.
        """
        self.name = name
        self.zone = zone
        self.is_alive = True
        self.is_paused = False
        self.clock_skew_ms = 0
        self.owner_name = ""
        self.outgoing: list[Message] = []
        self.runs: dict[int, RequestRun] = {}
        self.copied_bill_keys: set[data.KeyDigest] = set()
        self.transfers: dict[bytes, data.Transfer] = {}
        self.refused_bills: list[holder_events.BillRefused] = []
        self.incarnation = first_incarnation
        self.shard_owner = owner.ShardOwner(
            SHARD,
            first_incarnation,
            name,
            _POLICY,
            wire_codec,
            placement.size_grant,
            placement.choose_recalls,
        )
        self._siblings = siblings
        self._next_incarnation = first_incarnation + 1
        self._keys = local_keys.LocalKeys()
        self._bill_copies = bill_store.BillStore()
        # The source and the message of each received call, by a local id.
        self._callers: dict[int, tuple[str, CallMessage]] = {}
        self._last_call_id = 0
        self._sent_at_ms: dict[tuple[data.Incarnation, int], int] = {}
        self._holder_by_charge: dict[int, holder.Holder] = {}
        self.retired: list[holder.Holder] = []
        self.holder = self._make_holder(now_ms)

    @property
    def holders(self) -> tuple[holder.Holder, ...]:
        """The holders, retired ones first."""
        return (*self.retired, self.holder)

    def to_local_ms(self, now_ms: int) -> int:
        """Returns the time on the router's clock."""
        return now_ms + self.clock_skew_ms

    def submit(self, now_ms: int, run: RequestRun) -> None:
        """Starts a request by submitting its charge to the holder."""
        self.runs[run.charge.charge_id] = run
        self.holder.register_budget(
            run.charge.request.budget, self.to_local_ms(now_ms)
        )
        self.holder.admit(run.charge, self.to_local_ms(now_ms))
        self._handle_events(now_ms)

    def finish(self, now_ms: int, run: RequestRun) -> None:
        """Settles a request that ran, or records the outcome of its claim."""
        run.is_finished = True
        subject = self._holder_by_charge[run.charge.charge_id]
        if run.charge.request.is_repeatable:
            subject.settle(run.charge, run.tokens, self.to_local_ms(now_ms))
        else:
            subject.record_outcome(
                run.charge,
                data.OutcomeStatus.SUCCEEDED,
                run.tokens,
                b"posted",
                self.to_local_ms(now_ms),
            )
        self._handle_events(now_ms)

    def cancel(self, now_ms: int, run: RequestRun) -> None:
        """Cancels a request that has used no tokens."""
        run.is_finished = True
        self._holder_by_charge[run.charge.charge_id].cancel(run.charge)
        self._handle_events(now_ms)

    def advance_holders(self, now_ms: int) -> None:
        """Advances the holders and sends their calls, as `ShardClient` does."""
        local_ms = self.to_local_ms(now_ms)
        self._expire_calls(now_ms)
        for each in self.holders:
            each.advance(local_ms)
        self._handle_events(now_ms)
        if self.holder.is_owner_reachable:
            for bill in self._bill_copies.collect_due(SHARD, local_ms):
                self.holder.enqueue_bill_copy(bill)
        for each in self._list_callers():
            while (call := each.next_call(local_ms)) is not None:
                self._send_call(now_ms, each, call)
        self.retired = [each for each in self.retired if not each.is_finished()]

    def _expire_calls(self, now_ms: int) -> None:
        """Ends calls that got no reply in time, as a peer link does.

        Their holders handle them as failed.
        """
        for call_key, sent_at_ms in list(self._sent_at_ms.items()):
            if now_ms - sent_at_ms >= _CALL_TIMEOUT_MS:
                del self._sent_at_ms[call_key]
                for each in self.holders:
                    if each.incarnation == call_key[0]:
                        each.handle_call_failure(
                            call_key[1], self.to_local_ms(now_ms)
                        )

    def receive(self, now_ms: int, message: Message) -> None:
        """Handles a message."""
        local_ms = self.to_local_ms(now_ms)
        match message.payload:
            case CallMessage() as call:
                self._last_call_id += 1
                self._callers[self._last_call_id] = (message.source, call)
                self.shard_owner.handle_call(
                    local_ms, self._last_call_id, call.call
                )
                self.send_replies()
            case ReplyMessage() as message_reply:
                self._accept_reply(local_ms, message.source, message_reply)
            case data.Recall() as recall:
                for each in self.holders:
                    each.handle_recall(recall)
            case spending.HoldBills() as request:
                held = self._bill_copies.hold(request, local_ms)
                self.copied_bill_keys.update(held.keys)
            case spending.ForgetBills() as forgotten:
                self._bill_copies.remove(forgotten.keys)
            case spending.TransferRequest() as transfer_request:
                given = self.holder.handle_transfer_request(
                    transfer_request, local_ms
                )
                reply = Message(self.name, message.source, given)
                self.outgoing.append(reply)
            case spending.TransferReply(transfer):
                for each in self.holders:
                    each.handle_transfer(transfer, local_ms)
        self._handle_events(now_ms)

    def handle_lost_call(
        self, now_ms: int, lost: CallMessage | ReplyMessage
    ) -> None:
        """Handles the loss of a call of this router or of its reply."""
        self._sent_at_ms.pop((lost.holder, lost.call_id), None)
        for each in self.holders:
            if each.incarnation == lost.holder:
                each.handle_call_failure(lost.call_id, self.to_local_ms(now_ms))
        self._handle_events(now_ms)

    def send_replies(self) -> None:
        """Adds the owner's replies and recalls to the outgoing messages."""
        for call_reply in self.shard_owner.pop_replies():
            source, call = self._callers.pop(call_reply.call_id)
            reply = ReplyMessage(call.call_id, call.holder, call_reply.reply)
            self.outgoing.append(Message(self.name, source, reply))
        for outgoing in self.shard_owner.pop_recalls():
            message = Message(self.name, outgoing.host, outgoing.recall)
            self.outgoing.append(message)

    def _accept_reply(
        self, local_ms: int, source: str, message_reply: ReplyMessage
    ) -> None:
        """Passes a reply to the holder that called."""
        reply = message_reply.reply
        if reply.status is data.CallStatus.HANDLED:
            self.owner_name = source
        elif reply.owner_host:
            self.owner_name = reply.owner_host
        if (
            self._sent_at_ms.pop(
                (message_reply.holder, message_reply.call_id), None
            )
            is None
        ):
            return
        for each in self.holders:
            if each.incarnation == message_reply.holder:
                each.handle_reply(message_reply.call_id, reply, local_ms)

    def _list_callers(self) -> tuple[holder.Holder, ...]:
        """Returns the holders that may call the owner now.

        While a retired holder has open bills, only retired holders may call.
        """
        if any(each.has_open_bills() for each in self.retired):
            return tuple(self.retired)
        return self.holders

    def _send_call(
        self, now_ms: int, caller: holder.Holder, call: outbox.OutgoingCall
    ) -> None:
        """Sends a call to the presumed owner of the shard."""
        message = CallMessage(call.call_id, caller.incarnation, call.message)
        call_key = (caller.incarnation, call.call_id)
        self._sent_at_ms[call_key] = now_ms
        target = self.owner_name or self.name
        self.outgoing.append(Message(self.name, target, message))

    def _handle_events(self, now_ms: int) -> None:
        """Handles the holders' events until there are none."""
        is_done = False
        while not is_done:
            is_done = True
            for each in self.holders:
                for event in each.pop_events():
                    is_done = False
                    self._handle_event(now_ms, each, event)

    def _handle_event(
        self, now_ms: int, source: holder.Holder, event: holder_events.Event
    ) -> None:
        """Handles one event of a holder."""
        match event:
            case holder_events.AdmissionEnded(charge_id, result):
                self._end_admission(now_ms, source, charge_id, result)
            case holder_events.ClaimEnded(charge_id, result):
                run = self.runs[charge_id]
                if isinstance(result, spending.Claimed):
                    run.is_dispatched = True
                else:
                    run.refusal = result
            case holder_events.SettlementEnded(charge_id, result):
                self.runs[charge_id].settlement = result
            case holder_events.BillCopyRequested(bill):
                if isinstance(bill, data.Transfer):
                    self.transfers[bill.transfer_id] = bill
                self._send_to_siblings(
                    spending.HoldBills(SHARD, source.incarnation, (bill,))
                )
            case holder_events.ReserveRequested(request):
                self._send_to_siblings(request)
            case holder_events.BillLogged(key):
                self._bill_copies.remove((key,))
                self._send_to_siblings(
                    spending.ForgetBills(SHARD, source.incarnation, (key,))
                )
            case holder_events.BillRefused():
                self.refused_bills.append(event)
            case holder_events.HolderRetired():
                self._replace(now_ms, source)

    def _end_admission(
        self,
        now_ms: int,
        source: holder.Holder,
        charge_id: int,
        result: spending.Admission,
    ) -> None:
        """Dispatches a request, claims its key, or ends it."""
        run = self.runs[charge_id]
        match result:
            case spending.Charge():
                run.is_admitted = True
                self._holder_by_charge[charge_id] = source
                if run.charge.request.is_repeatable:
                    run.is_dispatched = True
                else:
                    source.claim(run.charge, self.to_local_ms(now_ms))
            case spending.AlreadySettled():
                run.is_rerun = True
                run.is_finished = True
            case _:
                run.refusal = result

    def _send_to_siblings(
        self,
        record: (
            spending.HoldBills | spending.ForgetBills | spending.TransferRequest
        ),
    ) -> None:
        """Sends a record to the other hosts of the zone."""
        for sibling in self._siblings:
            self.outgoing.append(Message(self.name, sibling, record))

    def _replace(self, now_ms: int, retired: holder.Holder) -> None:
        """Replaces a retired holder; its successor adopts its requests."""
        if retired is self.holder:
            self.retired.append(retired)
            self.holder = self._make_holder(now_ms)
        for reservation in retired.pop_reservations_to_adopt():
            self._holder_by_charge[reservation.charge.charge_id] = self.holder
            self.holder.adopt(reservation, self.to_local_ms(now_ms))

    def _make_holder(self, now_ms: int) -> holder.Holder:
        """Returns a holder of a new incarnation."""
        incarnation = self._next_incarnation
        self._next_incarnation += 1
        return holder.Holder(
            SHARD,
            incarnation,
            self.name,
            self.to_local_ms(now_ms),
            _SETTINGS,
            self._keys,
        )
