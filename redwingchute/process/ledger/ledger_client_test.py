"""Tests of the ledger client against a scripted owner."""

import asyncio

from redwingchute.core import data
from redwingchute.core import outcomes
from redwingchute.core import spending
from redwingchute.process.ledger import ledger_client
from redwingchute.testing import spend_builders as build


class ScriptedOwner:
    """Accepts every entry and grants a fixed total of lease.

    Attributes:
      entries: All received entries, in order.
      call_sizes: The number of entries of each call.
      retired: The incarnations that are reported as retired.
      is_down: Whether calls get no reply.
    """

    def __init__(self, lease_tokens: int) -> None:
        self.entries: list[data.LedgerEntry] = []
        self.call_sizes: list[int] = []
        self.retired: set[data.Incarnation] = set()
        self.is_down = False
        self._grant = build.make_grant(lease_total_tokens=lease_tokens)

    async def call(
        self, shard: int, message: data.LedgerCall
    ) -> data.LedgerReply | None:
        if self.is_down:
            return None
        self.entries.extend(message.entries)
        self.call_sizes.append(len(message.entries))
        is_retired = message.holder in self.retired
        code = data.VerdictCode.ACCEPTED
        if is_retired:
            code = data.VerdictCode.HOLDER_RETIRED
        return build.make_reply(
            (code,) * len(message.entries),
            () if is_retired else (self._grant,) * len(message.asks),
            (data.KeyReport(data.KeyState.NEW),) * len(message.lookups),
            is_holder_retired=is_retired,
        )


class ManualClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_ms = 1_000

    def __call__(self) -> int:
        return self.now_ms


def _make_client(
    owner: ScriptedOwner, clock: ManualClock
) -> ledger_client.LedgerClient:
    numbers = iter(range(1, 100))
    return ledger_client.LedgerClient(
        "huon-1", 1, owner.call, clock, lambda: next(numbers)
    )


def _list_entries(owner: ScriptedOwner, kind: type) -> list[data.LedgerEntry]:
    return [entry for entry in owner.entries if isinstance(entry, kind)]


def test_request_is_charged_and_unused_tokens_return_at_the_exit() -> None:
    owner = ScriptedOwner(500)

    async def scenario() -> None:
        async with _make_client(owner, ManualClock()) as client:
            request = build.make_charge(1, has_caller_key=True).request
            charge = await client.admit(request, 5_000)
            assert isinstance(charge, spending.Charge)
            settled = await client.settle(charge, 40)
            assert settled == spending.Settled(40, is_durable=True)

    asyncio.run(scenario())
    (give_back,) = _list_entries(owner, data.GiveBack)
    assert isinstance(give_back, data.GiveBack)
    assert give_back.tokens == 460


def test_concurrent_bills_share_one_call() -> None:
    owner = ScriptedOwner(5_000)

    async def scenario() -> None:
        async with _make_client(owner, ManualClock()) as client:
            admitted = await asyncio.gather(
                *(
                    client.admit(build.make_charge(number).request, 5_000)
                    for number in range(20)
                )
            )
            await asyncio.gather(
                *(
                    client.settle(charge, 1)
                    for charge in admitted
                    if isinstance(charge, spending.Charge)
                )
            )
        assert 20 in owner.call_sizes

    asyncio.run(scenario())


def test_retired_client_bills_under_a_new_incarnation() -> None:
    owner = ScriptedOwner(500)

    async def scenario() -> None:
        async with _make_client(owner, ManualClock()) as client:
            charge = await client.admit(build.make_charge(1).request, 5_000)
            assert isinstance(charge, spending.Charge)
            owner.retired.add(1)
            settled = await client.settle(charge, 40)
            assert settled == spending.Settled(40, is_durable=True)

    asyncio.run(scenario())
    holders = [
        entry.holder
        for entry in owner.entries
        if isinstance(entry, data.Settle)
    ]
    assert holders == [1, 2]


def test_request_without_a_reachable_owner_ends_at_its_deadline() -> None:
    owner = ScriptedOwner(500)
    owner.is_down = True
    clock = ManualClock()

    async def scenario() -> None:
        async with _make_client(owner, clock) as client:
            request = build.make_charge(1).request
            admission = asyncio.create_task(client.admit(request, 5_000))
            await asyncio.sleep(0)
            clock.now_ms = 5_000
            result = await admission
            assert isinstance(result, outcomes.NotRun)
            owner.is_down = False
            clock.now_ms = 9_000

    asyncio.run(scenario())
