"""Tests of transfers of reserve between routers of a cut-off zone."""

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process.ledger import bill_store
from redwingchute.process.ledger import dead_holders
from redwingchute.process.ledger import fold
from redwingchute.process.ledger import holder
from redwingchute.process.ledger import holder_events
from redwingchute.testing import ledger_builders
from redwingchute.testing import spend_builders as build

_RESERVE = data.GrantKind.RESERVE


def _make_isolated_holder(reserve_tokens: int) -> holder.Holder:
    subject = build.make_funded_holder(reserve_tokens=reserve_tokens)
    subject.mark_owner_unreachable(1)
    return subject


def _make_request(
    tokens: int, transfer_id: bytes = b"t"
) -> spending.TransferRequest:
    return spending.TransferRequest(build.BUDGET, 99, transfer_id, tokens, 10.0)


def _count_reserve(subject: holder.Holder) -> int:
    position = subject.find_position(build.BUDGET)
    assert position is not None
    return position.count_held(_RESERVE)


def test_transferred_reserve_admits_a_waiting_request() -> None:
    target = holder.Holder(build.SHARD, 99, "huon-2", 0)
    target.mark_owner_unreachable(1)
    charge = build.make_charge(1)
    target.admit(charge, 2)
    target.advance(2)
    (requested,) = target.pop_events()
    assert isinstance(requested, holder_events.ReserveRequested)
    source = _make_isolated_holder(1_000)
    reply = source.handle_transfer_request(requested.request, 3)
    target.handle_transfer(reply.transfer, 4)
    assert build.pop_results(target) == [charge]
    assert _count_reserve(source) + _count_reserve(target) == 1_000


def test_repeated_messages_transfer_reserve_once() -> None:
    source = _make_isolated_holder(1_000)
    first = source.handle_transfer_request(_make_request(300), 3)
    assert source.handle_transfer_request(_make_request(300), 9) == first
    assert _count_reserve(source) == 700
    target = holder.Holder(build.SHARD, 99, "huon-2", 0)
    target.handle_transfer(first.transfer, 4)
    target.handle_transfer(first.transfer, 5)
    assert _count_reserve(target) == 300


def test_router_that_reaches_the_owner_transfers_nothing() -> None:
    source = build.make_funded_holder(reserve_tokens=1_000)
    reply = source.handle_transfer_request(_make_request(300), 3)
    assert reply.transfer.tokens == 0


def test_reserve_in_use_is_not_transferred() -> None:
    source = _make_isolated_holder(1_000)
    build.admit(source, build.make_charge(1, bound_tokens=900), 2)
    reply = source.handle_transfer_request(_make_request(300), 3)
    assert reply.transfer.tokens <= 100


def test_transfer_is_applied_although_source_and_target_died() -> None:
    source = _make_isolated_holder(1_000)
    source.pop_events()
    transfer = source.handle_transfer_request(_make_request(300), 3).transfer
    (copy_request,) = source.pop_events()
    assert isinstance(copy_request, holder_events.BillCopyRequested)
    store = bill_store.BillStore()
    hold = spending.HoldBills(
        build.SHARD, build.INCARNATION, (copy_request.bill,)
    )
    store.hold(hold, 0)
    (copy,) = store.collect_due(build.SHARD, bill_store.DELIVERY_DELAY_MS)
    assert copy == transfer
    driver = ledger_builders.FoldDriver(fold.ShardFold())
    credit = ledger_builders.make_credit(1_000)
    grant = data.Grant(credit.budget, build.INCARNATION, _RESERVE, 1_000)
    driver.apply(credit, grant)
    driver.apply(data.Retire(build.INCARNATION), data.Retire(99))
    codes = [each.code for each in driver.apply(copy, copy)]
    assert codes == [data.VerdictCode.ACCEPTED, data.VerdictCode.REPEATED]
    assert driver.report().unaccounted_tokens == 1_000


def test_copies_are_delivered_after_a_delay_until_removed() -> None:
    store = bill_store.BillStore()
    bill = data.Settle(build.BUDGET, 7, _RESERVE, b"key", b"body", 5, 1)
    store.hold(spending.HoldBills(0, 7, (bill,)), 0)
    assert store.collect_due(0, 10) == ()
    assert store.collect_due(1, 60_000) == ()
    assert store.collect_due(0, 60_000) == (bill,)
    assert store.collect_due(0, 60_001) == ()
    store.remove((b"key",))
    assert len(store) == 0


def test_transfer_to_a_dead_holder_retires_it() -> None:
    dead = 99 << 16
    driver = ledger_builders.FoldDriver()
    driver.apply(ledger_builders.make_credit(1_000))
    driver.apply(ledger_builders.make_grant(100, _RESERVE))
    holders = dead_holders.DeadHolders()
    holders.add(dead, driver.shard_fold)
    transfer = data.Transfer(
        ledger_builders.BUDGET, ledger_builders.HOLDER, dead, b"t", 50
    )
    record = driver.make_batch(transfer)
    driver.apply_record(record)
    holders.check_record(record)
    assert holders.pop_unretired(driver.shard_fold) == [dead]
