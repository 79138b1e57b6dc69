"""Tests whether a refused caller is told a time to come back."""

import pytest

from redwingchute.core import outcomes
from redwingchute.testing import prepaid_simulation

_HUBS = ("huon-1", "huon-2", "bruny-1")
_HOSTS = (*_HUBS, "huon-3")
_PREPAID_TOKENS = 12_000


def _lose_tokens(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    """Makes tokens unsure by a loss of all power, and waits for a time."""
    simulation.run_for(3)
    for _ in range(20):
        for host in _HOSTS:
            simulation.send_request(host, 120, 120, seconds=0.05)
        simulation.run_for(0.1)
    for host in _HOSTS:
        simulation.lose_power(host)
    simulation.run_for(1)
    for host in _HOSTS:
        simulation.start(host)


def _spend_most(simulation: prepaid_simulation.PrepaidSimulation) -> None:
    """Leaves too few tokens for a request, but for those that are unsure."""
    for _ in range(80):
        for host in _HOSTS:
            simulation.send_request(host, 100, 100, seconds=0.05)
        simulation.run_for(0.1)


def _refuse(
    simulation: prepaid_simulation.PrepaidSimulation, host: str, tokens: int
) -> outcomes.NotRun:
    number = simulation.send_request(host, tokens, tokens)
    simulation.run_for(1)
    result = simulation.results[number]
    assert isinstance(result, outcomes.NotRun)
    return result


# Guards against callers that are told to come back when no time helps, since
# what their account lacks counts as spent without proof.
@pytest.mark.parametrize("host", ["huon-1", "huon-3"])
def test_no_time_is_named_when_only_unsure_tokens_are_left(host: str) -> None:
    simulation = prepaid_simulation.PrepaidSimulation(
        _HOSTS, _PREPAID_TOKENS, _HUBS
    )
    _lose_tokens(simulation)
    simulation.run_for(6)
    _spend_most(simulation)
    unsure_tokens = sum(
        simulation.routers[hub]
        .grants.find_grant(prepaid_simulation.ACCOUNT)
        .unsure_tokens
        for hub in _HUBS
    )
    assert unsure_tokens > 200
    refusal = _refuse(simulation, host, 200)
    simulation.close()
    assert refusal.status == 503
    assert refusal.retry_after_ms is None


@pytest.mark.parametrize("host", ["huon-1", "huon-3"])
def test_a_time_is_named_while_requests_hold_the_tokens(host: str) -> None:
    simulation = prepaid_simulation.PrepaidSimulation(
        _HOSTS, _PREPAID_TOKENS, _HUBS
    )
    simulation.run_for(7)
    simulation.send_request("huon-1", 11_000, 100, seconds=5)
    simulation.run_for(0.5)
    refusal = _refuse(simulation, host, 2_000)
    simulation.close()
    assert refusal.status == 503
    assert refusal.retry_after_ms is not None


@pytest.mark.parametrize("host", ["huon-1", "huon-3"])
def test_a_time_is_named_while_processes_take_over(host: str) -> None:
    simulation = prepaid_simulation.PrepaidSimulation(
        _HOSTS, _PREPAID_TOKENS, _HUBS
    )
    _lose_tokens(simulation)
    simulation.run_for(0.3)
    refusal = _refuse(simulation, host, 2_300)
    simulation.close()
    assert refusal.retry_after_ms is not None
