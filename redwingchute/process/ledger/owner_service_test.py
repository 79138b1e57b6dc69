"""Tests of the service that runs shard owners, with a log in memory."""

import asyncio
from collections.abc import Callable
import time

import attrs

from redwingchute.core import data
from redwingchute.process import incarnations
from redwingchute.process.ledger import owner
from redwingchute.process.ledger import owner_service
from redwingchute.testing import fake_log
from redwingchute.testing import ledger_builders as build
from redwingchute.wire import registry

_HUON = data.Host("huon-1", "huon", "127.0.0.1:1", 1)
_BRUNY = data.Host("bruny-1", "bruny", "127.0.0.1:2", 2)
_POLICY = owner.OwnerPolicy(
    shard_count=1, appends_per_s=1000, takeover_retry_delay_ms=100
)


def _make_service(
    host: data.Host, client: fake_log.FakeLogClient
) -> owner_service.OwnerService:
    return owner_service.OwnerService(
        host.incarnation,
        host.name,
        client,
        registry.make_codec(),
        lambda: int(time.monotonic() * 1000),
        _POLICY,
    )


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.005)


async def _call(
    service: owner_service.OwnerService, call: data.LedgerCall
) -> data.LedgerReply:
    async with asyncio.timeout(20):
        return await service.handle_call(_HUON, call)


def test_owner_commits_grants_and_settles() -> None:
    async def run() -> None:
        client = fake_log.FakeLogClient(fake_log.FakeLog())
        async with _make_service(_HUON, client) as service:
            service.set_live_hosts([_HUON])
            await _wait_until(lambda: service.list_owned() == (0,))
            await _call(service, build.make_call(build.make_credit(1_000)))
            reply = await _call(
                service, build.make_call(asks=(build.make_ask(100),))
            )
            assert reply.grants[0].lease_tokens == 100
            reply = await _call(service, build.make_call(build.make_settle(60)))
            assert reply.verdicts[0].code is data.VerdictCode.ACCEPTED
            report = await service.handle_balance_query(
                _HUON, data.BalanceQuery(0)
            )
            assert report.balances[0].settled_tokens == 60
            assert report.balances[0].leased_tokens == 40

    asyncio.run(run())


def test_shard_moves_to_the_host_that_membership_proposes() -> None:
    async def run() -> None:
        client = fake_log.FakeLogClient(fake_log.FakeLog())
        async with (
            _make_service(_HUON, client) as huon,
            _make_service(_BRUNY, client) as bruny,
        ):
            huon.set_live_hosts([_HUON])
            await _wait_until(lambda: huon.list_owned() == (0,))
            await _call(huon, build.make_call(build.make_credit(1_000)))
            huon.set_live_hosts([_BRUNY])
            bruny.set_live_hosts([_BRUNY])
            await _wait_until(lambda: bruny.list_owned() == (0,))
            await _wait_until(lambda: huon.list_owned() == ())
            refused = await _call(huon, build.make_call(asks=()))
            assert refused.status is data.CallStatus.NOT_OWNER
            assert refused.owner_host == "bruny-1"
            reply = await _call(
                bruny, build.make_call(asks=(build.make_ask(100),))
            )
            assert reply.grants[0].lease_tokens == 100

    asyncio.run(run())


def test_append_with_a_lost_response_takes_effect_once() -> None:
    async def run() -> None:
        client = fake_log.FakeLogClient(fake_log.FakeLog())
        async with _make_service(_HUON, client) as service:
            service.set_live_hosts([_HUON])
            await _wait_until(lambda: service.list_owned() == (0,))
            client.responses_to_lose = 1
            reply = await _call(
                service, build.make_call(build.make_credit(1_000))
            )
            assert reply.verdicts[0].code is data.VerdictCode.ACCEPTED
            report = await service.handle_balance_query(
                _HUON, data.BalanceQuery(0)
            )
            assert report.balances[0].credited_tokens == 1_000

    asyncio.run(run())


def test_calls_are_refused_during_a_log_outage_only() -> None:
    async def run() -> None:
        client = fake_log.FakeLogClient(fake_log.FakeLog())
        async with _make_service(_HUON, client) as service:
            service.set_live_hosts([_HUON])
            await _wait_until(lambda: service.list_owned() == (0,))
            client.is_down = True
            reply = await _call(
                service, build.make_call(build.make_credit(1_000))
            )
            assert reply.status is data.CallStatus.LOG_UNAVAILABLE
            client.is_down = False
            verdicts: tuple[data.Verdict, ...] = ()
            while not verdicts:
                await asyncio.sleep(0.005)
                reply = await _call(
                    service, build.make_call(build.make_credit(1_000))
                )
                verdicts = reply.verdicts
            assert verdicts[0].code is data.VerdictCode.ACCEPTED

    asyncio.run(run())


def test_dead_holder_is_retired_by_a_record() -> None:
    async def run() -> None:
        client = fake_log.FakeLogClient(fake_log.FakeLog())
        async with _make_service(_HUON, client) as service:
            service.set_live_hosts([_HUON])
            await _wait_until(lambda: service.list_owned() == (0,))
            await _call(service, build.make_call(build.make_credit(1_000)))
            await _call(
                service, build.make_call(asks=(build.make_ask(100, 50),))
            )
            service.declare_dead(build.HOLDER)
            reply = await _call(service, build.make_call(build.make_settle(60)))
            assert reply.is_holder_retired
            assert reply.verdicts[0].code is data.VerdictCode.HOLDER_RETIRED
            report = await service.handle_balance_query(
                _HUON, data.BalanceQuery(0)
            )
            assert report.balances[0].unaccounted_tokens == 50

    asyncio.run(run())


def test_holders_of_a_dead_process_are_retired_by_a_record() -> None:
    """Membership names the process; its holders have other incarnations.

    If only the incarnation of the process were retired, the leases of its
    holders would never be freed.
    """

    async def run() -> None:
        process = incarnations.make_process_incarnation(lambda bits: 5)
        numbers = incarnations.HolderIncarnations(process)
        holder = numbers.make_incarnation()
        client = fake_log.FakeLogClient(fake_log.FakeLog())
        async with _make_service(_HUON, client) as service:
            service.set_live_hosts([_HUON])
            await _wait_until(lambda: service.list_owned() == (0,))
            await _call(service, build.make_call(build.make_credit(1_000)))
            ask = build.make_call(asks=(build.make_ask(100, 50),))
            await _call(service, attrs.evolve(ask, holder=holder))
            service.declare_dead(process)
            settle = build.make_call(build.make_settle(60, holder=holder))
            reply = await _call(service, attrs.evolve(settle, holder=holder))
            assert reply.is_holder_retired

    asyncio.run(run())
