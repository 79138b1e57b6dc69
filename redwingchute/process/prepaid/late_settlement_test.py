"""Tests settlements that a cut between routers delays."""

from collections.abc import Iterator

import pytest

from redwingchute.core import outcomes
from redwingchute.testing import prepaid_simulation

_HOSTS = ("huon-1", "bruny-1")
_TOKENS = 10_000
# Longer than a lent charge lasts: the patience of the caller and 10 s.
_LONG_CUT_S = 25


@pytest.fixture(name="simulation")
def make_simulation() -> Iterator[prepaid_simulation.PrepaidSimulation]:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, _TOKENS)
    simulation.run_for(3)
    simulation.cut_from_log = set(_HOSTS)
    simulation.run_for(9)
    yield simulation
    simulation.close()


def _spend_all(simulation: prepaid_simulation.PrepaidSimulation) -> None:
    """Spends in small requests all tokens that the routers still grant."""
    for _ in range(120):
        for host in _HOSTS:
            simulation.send_request(host, 100, 100, seconds=0.05)
        simulation.run_for(0.1)


def _lose_reply_of_lender(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    """Cuts the routers after one has lent tokens and before it replies."""
    number = simulation.send_request("huon-1", 4_500, 4_500)
    lender = simulation.routers["bruny-1"].grants.find_grant(
        prepaid_simulation.ACCOUNT
    )
    while not lender.reserved_tokens:
        simulation.run_for(0.0005)
    simulation.cut_links = {frozenset(_HOSTS)}
    simulation.run_for(1)
    assert isinstance(simulation.results[number], outcomes.NotRun)


# Guards against tokens that stay lost because a zone was cut off for longer
# than a few attempts to settle what it had borrowed.
@pytest.mark.parametrize("cut_s", [8, _LONG_CUT_S])
def test_tokens_of_an_unanswered_charge_come_back_after_a_cut(
    simulation: prepaid_simulation.PrepaidSimulation, cut_s: float
) -> None:
    _lose_reply_of_lender(simulation)
    simulation.run_for(cut_s)
    simulation.cut_links.clear()
    simulation.cut_from_log.clear()
    simulation.run_for(5)
    _spend_all(simulation)
    assert 9_800 <= simulation.max_used_tokens <= _TOKENS


# Guards against accounts that are refused as spent for good while tokens were
# only lent to a router that is cut off.
def test_an_expired_charge_is_not_known_to_be_spent(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> None:
    _lose_reply_of_lender(simulation)
    simulation.cut_from_log.clear()
    simulation.run_for(_LONG_CUT_S)
    _spend_all(simulation)
    number = simulation.send_request("bruny-1", 1_000, 1_000)
    simulation.run_for(1)
    result = simulation.results[number]
    assert isinstance(result, outcomes.NotRun)
    assert result.status == 503
    assert simulation.max_used_tokens <= _TOKENS
