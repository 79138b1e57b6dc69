"""One holder and one shard owner on a manual clock, over an in-memory log.

Both run the decision code of the daemons. Every record passes through the real
codec, and the bytes of each link are counted for measurements.
"""

import hashlib
from typing import Any

import attrs

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import grant_sizing
from redwingchute.process.ledger import holder
from redwingchute.process.ledger import holder_events
from redwingchute.process.ledger import log_outcomes
from redwingchute.process.ledger import owner
from redwingchute.wire import codec
from redwingchute.wire import registry

# Incarnations.
_OWNER = 0x9D2C_5681_EFC6_0017
_HOLDER = 0x7B4A_33D1_0C95_E2F8
_SHARD = 0
_STEP_MS = 25
_DEADLINE_MS = 10**12
_BUDGET_TOKENS = 10**12


@attrs.define
class LinkTraffic:
    """The traffic of each link.

    Attributes:
      to_owner: The bytes of the holder's calls.
      to_holder: The bytes of the owner's replies.
      to_log: The bytes of appended records.
      from_log: The bytes of records that the owner read back.
      call_count: The number of the holder's calls.
      append_count: The number of appended records.
    """

    to_owner: int = 0
    to_holder: int = 0
    to_log: int = 0
    from_log: int = 0
    call_count: int = 0
    append_count: int = 0


class LedgerPair:
    """A holder and an owner that exchange messages without delay.

    Attributes:
      holder: The holder that charges requests.
      owner: The owner of the shard.
      link_traffic: The traffic of the links so far.
      now_ms: The manual clock.
    """

    def __init__(self, budget: str) -> None:
        """Starts with a budget that is never exhausted."""
        self.now_ms = 1_000_000
        self.link_traffic = LinkTraffic()
        self._budget = budget
        self._codec = registry.make_codec()
        self._log: list[bytes] = []
        self._next_charge_id = 0
        self._open_calls: set[int] = set()
        self.holder = holder.Holder(_SHARD, _HOLDER, "huon-1", self.now_ms)
        self.owner = owner.ShardOwner(
            _SHARD,
            _OWNER,
            "huon-2",
            owner.OwnerPolicy(),
            self._codec,
            grant_sizing.size_grant,
        )
        self.owner.set_proposed(True)
        while not self.owner.is_owner:
            self.step()
        credit = data.Credit(budget, "first", _BUDGET_TOKENS, "test", "")
        call = data.LedgerCall(_SHARD, 3, "huon-3", entries=(credit,))
        self.owner.handle_call(self.now_ms, 0, call)
        while budget not in self.owner.shard_fold.budgets:
            self.step()

    def make_charge(self, bound_tokens: int) -> spending.Charge:
        """Returns the charge of a new request with an upper bound."""
        self._next_charge_id += 1
        # Real keys are digests. The codec packs regular patterns smaller.
        name = str(self._next_charge_id).encode()
        request = spending.ChargeRequest(
            self._budget,
            hashlib.blake2b(b"key" + name, digest_size=16).digest(),
            hashlib.blake2b(b"body" + name, digest_size=16).digest(),
            bound_tokens,
        )
        return spending.Charge(self._next_charge_id, request, _DEADLINE_MS)

    def run_requests(self, count: int, tokens: int) -> None:
        """Admits requests together, then settles them together.

        Args:
          count: The number of requests.
          tokens: The actual cost of each; its upper bound is twice as high.
        """
        charges = [self.make_charge(2 * tokens) for _ in range(count)]
        for charge in charges:
            self.holder.admit(charge, self.now_ms)
        self._run_until(holder_events.AdmissionEnded, count)
        for charge in charges:
            self.holder.settle(charge, tokens, self.now_ms)
        self._run_until(holder_events.SettlementEnded, count)

    def step(self) -> None:
        """Advances the clock by one step and delivers all messages."""
        self.now_ms += _STEP_MS
        self.holder.advance(self.now_ms)
        while (call := self.holder.next_call(self.now_ms)) is not None:
            received = self._transmit(call.message, "to_owner")
            self.link_traffic.call_count += 1
            self._open_calls.add(call.call_id)
            self.owner.handle_call(self.now_ms, call.call_id, received)
        self._commit()
        for call_reply in self.owner.pop_replies():
            reply = self._transmit(call_reply.reply, "to_holder")
            if call_reply.call_id in self._open_calls:
                self._open_calls.remove(call_reply.call_id)
                self.holder.handle_reply(call_reply.call_id, reply, self.now_ms)

    def _run_until(self, event_type: type[object], count: int) -> None:
        """Steps until the holder has reported `count` events of a type."""
        seen = 0
        while seen < count:
            events = self.holder.pop_events()
            seen += sum(isinstance(event, event_type) for event in events)
            if seen < count:
                self.step()

    def _commit(self) -> None:
        """Appends the owner's next record, which the owner reads back."""
        self._read()
        record = self.owner.next_append(self.now_ms)
        if record is None:
            return
        encoded = self._codec.encode(record)
        self.link_traffic.to_log += len(encoded)
        self.link_traffic.append_count += 1
        self._log.append(encoded)
        offset = len(self._log) - 1
        self.owner.handle_append_outcome(
            self.now_ms, log_outcomes.Appended(offset)
        )
        self._read()

    def _read(self) -> None:
        """Passes all new records of the stream to the owner."""
        planned = self.owner.begin_read()
        records = tuple(
            log_outcomes.LogRecord(offset, self._log[offset])
            for offset in range(planned.from_offset, len(self._log))
        )
        self.link_traffic.from_log += sum(len(each.body) for each in records)
        page = log_outcomes.Page(0, len(self._log), records)
        self.owner.handle_read_outcome(self.now_ms, planned, page)

    def _transmit(self, record: Any, link: str) -> Any:
        """Encodes and decodes a record, and counts its bytes."""
        encoded = self._codec.encode(record)
        count = getattr(self.link_traffic, link) + len(encoded)
        setattr(self.link_traffic, link, count)
        decoded = self._codec.decode(encoded)
        assert isinstance(decoded, codec.Decoded)
        return decoded.record
