"""Tests what routers may spend after the log returned from an earlier copy."""

from collections.abc import Iterator
from typing import Any

import pytest

from redwingchute.core import outcomes
from redwingchute.process.prepaid import charging
from redwingchute.testing import prepaid_simulation

_HOSTS = ("huon-1", "huon-2", "bruny-1")
_TOKENS = 30_000


@pytest.fixture(name="simulation")
def make_simulation() -> Iterator[prepaid_simulation.PrepaidSimulation]:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, _TOKENS)
    simulation.run_for(3)
    yield simulation
    simulation.close()


def _spend(
    simulation: prepaid_simulation.PrepaidSimulation,
    rounds: int,
    hosts: tuple[str, ...] = _HOSTS,
    tokens: int = 200,
) -> None:
    """Spends in small requests at hosts."""
    for _ in range(rounds):
        for host in hosts:
            simulation.send_request(host, tokens, tokens, seconds=0.05)
        simulation.run_for(0.1)


def _find_status(
    simulation: prepaid_simulation.PrepaidSimulation, number: int
) -> int:
    """Returns the status of a request, 200 if it was charged."""
    match simulation.results[number]:
        case charging.Charge():
            return 200
        case outcomes.NotRun(status):
            return status


# Guards against tokens of a lost raise that are granted to another host.
def test_tokens_granted_after_the_copy_are_not_granted_again(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    simulation.send_request("huon-1", 20_000, 20_000, seconds=30)
    simulation.run_for(0.5)
    simulation.return_from_copy()
    _spend(simulation, 120, ("huon-2", "bruny-1"))
    assert simulation.max_used_tokens <= _TOKENS


# Guards against a host that spends a grant of which the log has no record.
def test_a_host_cut_off_across_the_change_keeps_its_grant(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    _spend(simulation, 30, ("huon-1",), 300)
    simulation.cut_from_log = {"huon-1"}
    simulation.cut_links = {
        frozenset(("huon-1", "huon-2")),
        frozenset(("huon-1", "bruny-1")),
    }
    simulation.return_from_copy(0.3)
    _spend(simulation, 60)
    assert simulation.max_used_tokens <= _TOKENS
    simulation.cut_from_log.clear()
    simulation.cut_links.clear()
    _spend(simulation, 120)
    assert 0.9 * _TOKENS <= simulation.max_used_tokens <= _TOKENS


# Guards against the use of a dead host that is nowhere recorded.
def test_what_a_host_spent_before_it_died_stays_spent(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    simulation.send_request("huon-1", 20_000, 20_000, seconds=0.05)
    simulation.run_for(0.5)
    simulation.kill("huon-1")
    simulation.return_from_copy(0.3)
    simulation.start("huon-1")
    _spend(simulation, 150)
    assert simulation.max_used_tokens <= _TOKENS


def test_a_second_change_before_the_first_is_worked_off(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    simulation.send_request("huon-1", 15_000, 15_000, seconds=60)
    simulation.run_for(0.5)
    simulation.return_from_copy()
    simulation.run_for(0.1)
    simulation.send_request("bruny-1", 8_000, 8_000, seconds=60)
    simulation.run_for(0.2)
    simulation.return_from_copy()
    _spend(simulation, 120, ("huon-2", "bruny-1"))
    assert simulation.max_used_tokens <= _TOKENS


# Guards against an append of the lost era that takes effect in the next one.
def test_a_delayed_append_of_the_lost_era_grants_nothing(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.append_effect = prepaid_simulation.AppendEffect.DELAYED
    simulation.take_copy()
    simulation.responses_to_lose = 3
    for host in _HOSTS:
        simulation.send_request(host, 16_000, 16_000, seconds=60)
    simulation.run_for(0.2)
    simulation.return_from_copy()
    _spend(simulation, 150)
    assert simulation.max_used_tokens <= _TOKENS


def test_callers_get_503_while_it_is_not_known_what_is_spent(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    simulation.send_request("huon-1", 20_000, 20_000, seconds=0.05)
    simulation.run_for(0.5)
    simulation.kill("huon-1")
    simulation.return_from_copy(0.3)
    simulation.start("huon-1")
    simulation.run_for(5)
    number = simulation.send_request("huon-2", 25_000, 25_000)
    simulation.run_for(1)
    assert _find_status(simulation, number) == 503


def test_all_tokens_can_be_spent_when_all_hosts_survive(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    _spend(simulation, 5)
    simulation.take_copy()
    _spend(simulation, 5)
    simulation.return_from_copy(0.5)
    _spend(simulation, 120)
    assert 0.98 * _TOKENS <= simulation.max_used_tokens <= _TOKENS


def test_a_grant_can_be_raised_within_two_seconds_of_the_return(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    _spend(simulation, 5)
    simulation.return_from_copy(0.5)
    simulation.run_for(2)
    number = simulation.send_request("huon-1", 15_000, 15_000)
    simulation.run_for(0.5)
    assert _find_status(simulation, number) == 200


def test_small_requests_are_served_during_the_change(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    _spend(simulation, 10)
    simulation.take_copy()
    simulation.run_for(1)
    simulation.return_from_copy(0.3)
    numbers = []
    for index in range(20):
        numbers.append(
            simulation.send_request(_HOSTS[index % 3], 100, 100, seconds=0.05)
        )
        simulation.run_for(0.1)
    simulation.run_for(0.5)
    assert all(map(simulation.is_charged, numbers))


def test_a_host_that_starts_after_the_change_holds_tokens(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    simulation.return_from_copy(0.3)
    simulation.run_for(5)
    simulation.kill("huon-1")
    simulation.start("huon-1")
    simulation.run_for(3)
    _spend(simulation, 120)
    assert 0.8 * _TOKENS <= simulation.max_used_tokens <= _TOKENS


def test_tokens_prepaid_after_a_loss_can_be_spent(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    simulation.kill("huon-1")
    simulation.return_from_copy(0.3)
    simulation.start("huon-1")
    simulation.run_for(6)
    simulation.prepaid_tokens += 10_000
    used_tokens = simulation.max_used_tokens
    _spend(simulation, 120)
    assert simulation.max_used_tokens >= used_tokens + 9_500
    assert simulation.max_used_tokens <= _TOKENS + 10_000


def test_a_new_fleet_on_a_log_of_a_later_era_can_spend_all() -> None:
    simulation = prepaid_simulation.PrepaidSimulation((), _TOKENS, _HOSTS)
    simulation.topic.era = 4
    for host in _HOSTS:
        simulation.start(host)
    simulation.run_for(4)
    _spend(simulation, 120)
    used_tokens = simulation.max_used_tokens
    simulation.close()
    assert 0.98 * _TOKENS <= used_tokens <= _TOKENS


# Guards against a load peak when all hubs see the change at once.
@pytest.mark.parametrize("hub_count", [7, 9, 24])
def test_a_change_of_era_is_no_load_peak(
    hub_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    hosts = tuple(f"zone{index % 3}-{index}" for index in range(hub_count))
    simulation = prepaid_simulation.PrepaidSimulation(hosts, 500_000)
    simulation.run_for(5)
    called_s: list[float] = []
    for name in ("append", "read", "read_newest"):
        call = getattr(prepaid_simulation.SimulatedLog, name)

        def record(*arguments: Any, call: Any = call) -> Any:
            called_s.append(simulation.loop.time())
            return call(*arguments)

        monkeypatch.setattr(prepaid_simulation.SimulatedLog, name, record)
    simulation.take_copy()
    _spend(simulation, 20, hosts, 100)
    usual_calls = len(called_s)
    simulation.return_from_copy(0.5)
    returned_s = simulation.loop.time()
    used_tokens = simulation.max_used_tokens
    _spend(simulation, 20, hosts, 100)
    served_tokens = simulation.max_used_tokens - used_tokens
    simulation.close()
    first_calls = sum(
        returned_s <= at_s < returned_s + 0.25 for at_s in called_s
    )
    calls = sum(returned_s <= at_s for at_s in called_s)
    assert first_calls <= 6 * hub_count
    assert calls <= usual_calls + 6 * hub_count
    assert served_tokens == 20 * hub_count * 100


def _stop(simulation: prepaid_simulation.PrepaidSimulation, host: str) -> None:
    """Shuts a router down gracefully."""
    grants = simulation.routers[host].grants
    simulation.loop.run_until_complete(grants.stop(2))
    simulation.kill(host)


# Guards against a host that left and holds up all raises for ever.
def test_a_host_that_left_before_the_copy_costs_nothing(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    _spend(simulation, 5)
    _stop(simulation, "huon-1")
    simulation.run_for(1)
    simulation.take_copy()
    _spend(simulation, 5)
    simulation.return_from_copy(0.3)
    _spend(simulation, 150, ("huon-2", "bruny-1"))
    assert 0.98 * _TOKENS <= simulation.max_used_tokens <= _TOKENS


def test_a_host_that_leaves_in_a_new_era_returns_its_tokens(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    _spend(simulation, 5)
    simulation.return_from_copy(0.3)
    simulation.run_for(0.1)
    _stop(simulation, "huon-1")
    _spend(simulation, 150, ("huon-2", "bruny-1"))
    assert 0.98 * _TOKENS <= simulation.max_used_tokens <= _TOKENS


# Guards against a host that started after the copy and is cut off since.
def test_a_host_unknown_to_the_copy_is_waited_for() -> None:
    simulation = prepaid_simulation.PrepaidSimulation(
        ("huon-2", "bruny-1"), _TOKENS, _HOSTS
    )
    simulation.run_for(3)
    simulation.take_copy()
    simulation.start("huon-1")
    simulation.run_for(3)
    simulation.send_request("huon-1", 12_000, 12_000, seconds=30)
    simulation.run_for(3)
    simulation.cut_from_log = {"huon-1"}
    simulation.cut_links = {
        frozenset(("huon-1", "huon-2")),
        frozenset(("huon-1", "bruny-1")),
    }
    simulation.return_from_copy(0.3)
    _spend(simulation, 150)
    used_tokens = simulation.max_used_tokens
    simulation.close()
    assert used_tokens <= _TOKENS


# Guards against a withdrawn hub whose older row in the copy grants more.
def test_a_router_that_is_no_hub_any_more_confirms_what_it_spent(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    _spend(simulation, 5)
    simulation.take_copy()
    simulation.former_hubs = {"huon-1"}
    simulation.run_for(2)
    simulation.return_from_copy(0.3)
    # A router that is no hub reads other topics only.
    log = simulation.routers["huon-1"].log
    simulation.loop.run_until_complete(log.read_newest("op"))
    _spend(simulation, 150, ("huon-2", "bruny-1"))
    assert 0.98 * _TOKENS <= simulation.max_used_tokens <= _TOKENS


# Guards against a new host that counts as one whose history is lost.
def test_a_new_host_after_a_closure_holds_tokens(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    simulation.take_copy()
    simulation.kill("huon-1")
    simulation.return_from_copy(0.3)
    simulation.run_for(5)
    simulation.hubs = (*_HOSTS, "bruny-2")
    simulation.start("bruny-2")
    simulation.prepaid_tokens += 10_000
    simulation.run_for(3)
    stamp = simulation.routers["bruny-1"].grants.fold.stamps["bruny-2"]
    assert not stamp.has_lost_history
    _spend(simulation, 120, ("bruny-2",))
    assert simulation.max_used_tokens >= 9_000
    assert simulation.max_used_tokens <= _TOKENS + 10_000


# Guards against a grant of a host that no surviving hub has read.
def test_a_host_that_nobody_has_read_raises_no_grant() -> None:
    simulation = prepaid_simulation.PrepaidSimulation(
        ("huon-2", "bruny-1"), _TOKENS, _HOSTS
    )
    simulation.run_for(4.7)
    simulation.take_copy()
    simulation.start("huon-1")
    simulation.run_for(0.8)
    simulation.send_request("huon-1", 12_000, 12_000, seconds=30)
    simulation.run_for(0.3)
    simulation.cut_from_log = {"huon-1"}
    simulation.cut_links = {
        frozenset(("huon-1", "huon-2")),
        frozenset(("huon-1", "bruny-1")),
    }
    simulation.return_from_copy()
    _spend(simulation, 150, ("huon-2", "bruny-1"))
    used_tokens = simulation.max_used_tokens
    simulation.close()
    assert used_tokens <= _TOKENS
