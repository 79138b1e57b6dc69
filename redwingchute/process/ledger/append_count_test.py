"""Counts the log appends of a whole fleet, without network or processes.

The log accepts several hundred appends per second; the ledger of the target
fleet must stay below 300. Here every owner always has a call waiting, which is
the case with the most appends.
"""

import collections

import pytest

from redwingchute.core import data
from redwingchute.process.ledger import log_outcomes
from redwingchute.process.ledger import owner
from redwingchute.process.ledger import placement
from redwingchute.process.ledger import sharding
from redwingchute.testing import fake_log
from redwingchute.testing import ledger_builders as build
from redwingchute.wire import registry

_CODEC = registry.make_codec()
_TARGET_APPENDS_PER_S = 300
_STEP_MS = 100


class _BusyOwner:
    """One owner that always has a call waiting."""

    def __init__(
        self, shard: int, log: fake_log.FakeLog, shard_count: int
    ) -> None:
        self._stream = sharding.name_stream(shard)
        self._log = log
        self._calls = 0
        self._owner = owner.ShardOwner(
            shard,
            shard + 1,
            f"host-{shard}",
            owner.OwnerPolicy(shard_count=shard_count),
            _CODEC,
            placement.size_grant,
        )
        self._owner.set_proposed(True)
        self.waits_ms: list[int] = []
        self._called_at_ms = 0
        self.is_waiting = False

    def step(self, now_ms: int) -> int:
        """Makes one call, append and read; returns the number of appends."""
        if self._owner.is_owner and not self.is_waiting:
            self._calls += 1
            entry = build.make_credit(1, f"invoice-{self._calls}")
            call = build.make_call(entry)
            self._owner.handle_call(now_ms, self._calls, call)
            self._called_at_ms = now_ms
            self.is_waiting = True
        record = self._owner.next_append(now_ms)
        if record is not None:
            body = _CODEC.encode(record)
            outcome = self._log.append(self._stream, body)
            self._owner.handle_append_outcome(now_ms, outcome)
        planned = self._owner.begin_read()
        page = self._log.read(self._stream, planned.from_offset)
        assert isinstance(page, log_outcomes.Page)
        self._owner.handle_read_outcome(now_ms, planned, page)
        for call_reply in self._owner.pop_replies():
            assert call_reply.reply.status is data.CallStatus.HANDLED
            self.waits_ms.append(now_ms - self._called_at_ms)
            self.is_waiting = False
        return int(record is not None)


@pytest.mark.parametrize("shard_count", [16, 540])
def test_fleet_stays_below_the_append_limit(
    shard_count: int,
) -> None:
    log = fake_log.FakeLog()
    owners = [
        _BusyOwner(shard, log, shard_count) for shard in range(shard_count)
    ]
    per_second: collections.Counter[int] = collections.Counter()
    for now_ms in range(0, 12_000, _STEP_MS):
        for each in owners:
            per_second[now_ms // 1000] += each.step(now_ms)
    assert max(per_second.values()) < _TARGET_APPENDS_PER_S
    assert all(each.waits_ms for each in owners)
