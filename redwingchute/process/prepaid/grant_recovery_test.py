"""Tests what routers may spend after crashes, partitions and lost replies."""

import asyncio
from collections.abc import Iterator

import pytest

from redwingchute.core import data
from redwingchute.core import prepaid
from redwingchute.process import shared_log
from redwingchute.testing import prepaid_simulation

_HOSTS = ("huon-1", "bruny-1")


@pytest.fixture(name="simulation")
def make_simulation() -> Iterator[prepaid_simulation.PrepaidSimulation]:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, 10_000)
    simulation.run_for(3)
    yield simulation
    simulation.close()


def _spend_all(simulation: prepaid_simulation.PrepaidSimulation) -> None:
    """Spends in small requests all tokens that the routers still grant."""
    for _ in range(120):
        for host in _HOSTS:
            simulation.send_request(host, 100, 100, seconds=0.05)
        simulation.run_for(0.1)


def _send_request(
    simulation: prepaid_simulation.PrepaidSimulation, host: str, tokens: int
) -> bool:
    """Sends one request, waits for its end, returns whether it was charged."""
    number = simulation.send_request(host, tokens, tokens, seconds=0.05)
    simulation.run_for(0.5)
    return simulation.is_charged(number)


def test_all_prepaid_tokens_can_be_spent(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    _spend_all(simulation)
    assert 9_900 <= simulation.max_used_tokens <= 10_000


def test_a_large_request_is_charged_to_several_routers(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.cut_from_log = set(_HOSTS)
    simulation.run_for(9)
    granted_tokens = sum(
        router.grants.find_grant(prepaid_simulation.ACCOUNT).granted_tokens
        for router in simulation.routers.values()
    )
    assert _send_request(simulation, "huon-1", granted_tokens - 100)


def test_a_whole_grant_spent_while_cut_off_counts_after_a_crash(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.cut_from_log = set(_HOSTS)
    simulation.run_for(9)
    assert _send_request(simulation, "huon-1", 4_500)
    simulation.kill("huon-1")
    simulation.cut_from_log.clear()
    simulation.start("huon-1")
    simulation.run_for(3)
    _spend_all(simulation)
    assert simulation.max_used_tokens <= 10_000


def test_the_ceiling_limits_spending_while_the_stamp_is_recent(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.cut_links = {frozenset(_HOSTS)}
    simulation.cut_from_log = {"huon-1"}
    simulation.run_for(0.05)
    for _ in range(8):
        simulation.send_request("huon-1", 500, 500, seconds=0.05)
    simulation.run_for(0.5)
    simulation.kill("huon-1")
    simulation.cut_from_log.clear()
    simulation.cut_links.clear()
    simulation.start("huon-1")
    simulation.run_for(3)
    _spend_all(simulation)
    assert simulation.max_used_tokens <= 10_000


def test_a_quick_restart_leaves_most_tokens_spendable(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    assert _send_request(simulation, "huon-1", 500)
    simulation.kill("huon-1")
    simulation.start("huon-1")
    simulation.run_for(3)
    _spend_all(simulation)
    assert 7_000 <= simulation.max_used_tokens <= 10_000


def test_a_power_loss_of_all_hosts_leaves_most_tokens_spendable() -> None:
    hosts = ("huon-1", "huon-2", "bruny-1")
    simulation = prepaid_simulation.PrepaidSimulation(hosts, 12_000)
    simulation.run_for(3)
    for host in hosts:
        assert _send_request(simulation, host, 300)
    for host in hosts:
        simulation.lose_power(host)
    simulation.run_for(1)
    for host in hosts:
        simulation.start(host)
    simulation.run_for(3)
    _spend_all(simulation)
    simulation.close()
    assert 8_000 <= simulation.max_used_tokens <= 12_000


def test_a_late_append_of_a_crashed_process_has_no_effect(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.append_effect = prepaid_simulation.AppendEffect.DELAYED
    simulation.responses_to_lose = 1
    simulation.send_request("huon-1", 6_000, 6_000, seconds=0.05)
    simulation.run_for(0.1)
    simulation.kill("huon-1")
    simulation.start("huon-1")
    simulation.run_for(1)
    grant = simulation.routers["huon-1"].grants.find_grant(
        prepaid_simulation.ACCOUNT
    )
    granted_tokens = grant.granted_tokens
    simulation.run_for(4)
    _spend_all(simulation)
    assert granted_tokens <= 10_000
    assert simulation.max_used_tokens <= 10_000


def test_concurrent_raises_do_not_grant_the_same_tokens_twice(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.cut_links = {frozenset(_HOSTS)}
    numbers = [simulation.send_request(host, 5_200, 5_200) for host in _HOSTS]
    simulation.run_for(0.4)
    assert sum(map(simulation.is_charged, numbers)) <= 1
    assert simulation.max_used_tokens <= 10_000


def test_a_previous_process_is_fenced(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.cut_links = {frozenset(_HOSTS)}
    grants = simulation.routers["huon-1"].grants
    stamp = shared_log.ProducerStamp("huon-1", 2_000_000_000, 0)
    simulation.topic.append((), stamp)
    simulation.run_for(2)
    assert not grants.has_taken_over
    assert not _send_request(simulation, "huon-1", 100)


def test_a_charge_of_a_crashed_borrower_counts_as_spent(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.cut_from_log = set(_HOSTS)
    simulation.run_for(9)
    simulation.send_request("huon-1", 4_500, 4_500, seconds=60)
    simulation.run_for(0.5)
    simulation.kill("huon-1")
    simulation.run_for(20)
    simulation.cut_from_log.clear()
    simulation.start("huon-1")
    simulation.run_for(3)
    _spend_all(simulation)
    assert simulation.max_used_tokens <= 10_000


def test_a_settlement_with_a_lost_reply_takes_effect_once(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.cut_from_log = set(_HOSTS)
    simulation.run_for(9)
    number = simulation.send_request("huon-1", 4_500, 1_000, seconds=1)
    simulation.run_for(0.8)
    simulation.cut_links = {frozenset(_HOSTS)}
    simulation.run_for(1.5)
    simulation.cut_links.clear()
    simulation.cut_from_log.clear()
    simulation.run_for(5)
    assert simulation.is_charged(number)
    _spend_all(simulation)
    assert 9_800 <= simulation.max_used_tokens <= 10_000


def test_a_lowered_grant_is_not_restored_by_outdated_rows(
    simulation: prepaid_simulation.PrepaidSimulation,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def refuse(*arguments: object) -> shared_log.AppendResult:
        await asyncio.sleep(0.01)
        return shared_log.WrongSequence(99)

    grant = simulation.routers["huon-1"].grants.find_grant(
        prepaid_simulation.ACCOUNT
    )
    monkeypatch.setattr(prepaid_simulation.SimulatedLog, "append", refuse)
    simulation.cut_from_log = {"huon-1"}
    grant.lower(1_000)
    simulation.run_for(4)
    assert grant.granted_tokens == 1_000


def test_a_takeover_without_a_reply_leaves_most_tokens_spendable(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.kill("huon-1")
    simulation.responses_to_lose = 1
    simulation.start("huon-1")
    simulation.run_for(6)
    _spend_all(simulation)
    assert 9_000 <= simulation.max_used_tokens <= 10_000


def test_a_lender_reports_no_unsure_tokens_as_spent(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.lose_power("huon-1")
    simulation.start("huon-1")
    simulation.run_for(3)
    lender = simulation.routers["huon-1"]
    grant = lender.grants.find_grant(prepaid_simulation.ACCOUNT)
    assert grant.unsure_tokens > 0
    peer = data.Host("bruny-1", "zone", "bruny-1", 1)
    reply = simulation.loop.run_until_complete(
        lender.charger.handle_charge(
            peer,
            prepaid.RemoteCharge("c1", prepaid_simulation.ACCOUNT, 1, 1_000),
        )
    )
    assert reply.spent_tokens == grant.spent_tokens - grant.unsure_tokens


def test_hosts_that_are_without_power_for_seconds_lose_part_of_the_grants() -> (
    None
):
    hosts = ("huon-1", "huon-2", "bruny-1")
    simulation = prepaid_simulation.PrepaidSimulation(hosts, 60_000)
    simulation.run_for(3)
    for _ in range(80):
        for host in hosts:
            simulation.send_request(host, 100, 100, seconds=0.05)
        simulation.run_for(0.1)
    for host in hosts:
        simulation.lose_power(host)
    simulation.run_for(4.5)
    for host in hosts:
        simulation.start(host)
    simulation.run_for(6)
    unsure_tokens = sum(
        router.grants.find_grant(prepaid_simulation.ACCOUNT).unsure_tokens
        for router in simulation.routers.values()
    )
    simulation.close()
    # They served 3,000 tokens a second and were away for 4.5 s.
    assert unsure_tokens < 2 * 4.5 * 3_000
