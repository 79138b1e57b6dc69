"""One holder and one shard owner on a manual clock, over an in-memory log.

Both sides are the decision code of the daemons. Every record passes through
the real codec, and the bytes of each link are counted, for measurements.
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

_OWNER = 0x9D2C_5681_EFC6_0017
_HOLDER = 0x7B4A_33D1_0C95_E2F8
_SHARD = 0
_STEP_MS = 25
_DEADLINE_MS = 10**12
_BUDGET_TOKENS = 10**12


@attrs.define
class LinkBytes:
    """The bytes that went over each link.

    Attributes:
      to_owner: Calls of the holder.
      to_holder: Replies of the owner.
      to_log: Appended records.
      from_log: Records that the owner read back.
      calls: Calls of the holder.
      appends: Appended records.
    """

    to_owner: int = 0
    to_holder: int = 0
    to_log: int = 0
    from_log: int = 0
    calls: int = 0
    appends: int = 0


class LedgerPair:
    """A holder and an owner that exchange messages without delay.

    Attributes:
      holder: The spending side.
      owner: The owning side.
      link_bytes: What went over the links.
      now_ms: The manual clock.
    """

    def __init__(self, budget: str) -> None:
        """Starts with a budget that lasts for ever."""
        self.now_ms = 1_000_000
        self.link_bytes = LinkBytes()
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
        """Returns the charge of a new request."""
        self._next_charge_id += 1
        # Digests, as real keys are: patterns would be packed away on the wire.
        name = str(self._next_charge_id).encode()
        request = spending.ChargeRequest(
            self._budget,
            hashlib.blake2b(b"key" + name, digest_size=16).digest(),
            hashlib.blake2b(b"body" + name, digest_size=16).digest(),
            bound_tokens,
        )
        return spending.Charge(self._next_charge_id, request, _DEADLINE_MS)

    def run_requests(self, count: int, tokens: int) -> None:
        """Admits requests at once, then settles them at once."""
        charges = [self.make_charge(2 * tokens) for _ in range(count)]
        for charge in charges:
            self.holder.admit(charge, self.now_ms)
        self._run_until(holder_events.AdmissionEnded, count)
        for charge in charges:
            self.holder.settle(charge, tokens, self.now_ms)
        self._run_until(holder_events.SettlementEnded, count)

    def step(self) -> None:
        """Lets a short time pass and carries all messages."""
        self.now_ms += _STEP_MS
        self.holder.advance(self.now_ms)
        while (call := self.holder.next_call(self.now_ms)) is not None:
            received = self._carry(call.message, "to_owner")
            self.link_bytes.calls += 1
            self._open_calls.add(call.call_id)
            self.owner.handle_call(self.now_ms, call.call_id, received)
        self._commit()
        for answer in self.owner.pop_replies():
            reply = self._carry(answer.reply, "to_holder")
            if answer.call_id in self._open_calls:
                self._open_calls.remove(answer.call_id)
                self.holder.handle_reply(answer.call_id, reply, self.now_ms)

    def _run_until(self, event_type: type[object], count: int) -> None:
        """Steps until so many events of a kind have come."""
        seen = 0
        while seen < count:
            events = self.holder.pop_events()
            seen += sum(isinstance(event, event_type) for event in events)
            if seen < count:
                self.step()

    def _commit(self) -> None:
        """Carries the owner's record to the log and back."""
        self._read()
        record = self.owner.next_append(self.now_ms)
        if record is None:
            return
        encoded = self._codec.encode(record)
        self.link_bytes.to_log += len(encoded)
        self.link_bytes.appends += 1
        self._log.append(encoded)
        offset = len(self._log) - 1
        self.owner.handle_append_outcome(
            self.now_ms, log_outcomes.Appended(offset)
        )
        self._read()

    def _read(self) -> None:
        """Lets the owner read its stream up to the end."""
        order = self.owner.begin_read()
        records = tuple(
            log_outcomes.LogRecord(offset, self._log[offset])
            for offset in range(order.from_offset, len(self._log))
        )
        self.link_bytes.from_log += sum(len(each.body) for each in records)
        page = log_outcomes.Page(0, len(self._log), records)
        self.owner.handle_read_outcome(self.now_ms, order, page)

    def _carry(self, record: Any, link: str) -> Any:
        """Returns a record after a passage through the codec."""
        encoded = self._codec.encode(record)
        count = getattr(self.link_bytes, link) + len(encoded)
        setattr(self.link_bytes, link, count)
        decoded = self._codec.decode(encoded)
        assert isinstance(decoded, codec.Decoded)
        return decoded.record
