"""Tests requests whose account has its last tokens in pieces at many hubs.

The load: all hubs have had the same demand of an account that is nearly spent,
and a request comes that needs most of what is left.
"""

from redwingchute.core import outcomes
from redwingchute.process.prepaid import charging
from redwingchute.testing import prepaid_simulation

_HUBS = tuple(
    f"{zone}-{number}"
    for zone in ("huon", "bruny", "tamar")
    for number in (1, 2, 3)
)
_HOSTS = (*_HUBS, "huon-4")
_PREPAID_TOKENS = 60_000
_TOKENS = 100
_LEFT_TOKENS = 4_000
# A refusal must not take longer than a few calls between hubs, since a caller
# could use the time.
_MAX_REFUSAL_S = 0.1


def _make_nearly_spent_account() -> prepaid_simulation.PrepaidSimulation:
    simulation = prepaid_simulation.PrepaidSimulation(
        _HOSTS, _PREPAID_TOKENS, _HUBS
    )
    simulation.run_for(3)
    index = 0
    while simulation.max_used_tokens < _PREPAID_TOKENS - _LEFT_TOKENS:
        hub = _HUBS[index % len(_HUBS)]
        simulation.send_request(hub, _TOKENS, _TOKENS, seconds=0.05)
        simulation.run_for(0.01)
        index += 1
    simulation.run_for(0.3)
    return simulation


def _measure(
    simulation: prepaid_simulation.PrepaidSimulation, tokens: int
) -> tuple[charging.Charge | outcomes.NotRun, float]:
    """Returns what became of a request, and how long that took in seconds."""
    started_s = simulation.loop.time()
    number = simulation.send_request("huon-4", tokens, tokens, seconds=0.05)
    while number not in simulation.results:
        simulation.run_for(0.001)
    return simulation.results[number], simulation.loop.time() - started_s


# Guards against requests that are refused because a hub asks lenders that wait
# for raises in vain, until the time for the charge is over.
def test_the_last_tokens_are_collected_from_many_hubs() -> None:
    simulation = _make_nearly_spent_account()
    left_tokens = _PREPAID_TOKENS - simulation.max_used_tokens
    assert left_tokens >= 3_500
    result, _ = _measure(simulation, 3_000)
    simulation.close()
    assert isinstance(result, charging.Charge)


# Guards against callers that wait for raises that no hub can make.
def test_a_request_that_no_hub_can_serve_is_refused_soon() -> None:
    simulation = _make_nearly_spent_account()
    holder = simulation.send_request("huon-4", 3_000, 100, seconds=5)
    simulation.run_for(0.5)
    assert simulation.is_charged(holder)
    result, duration_s = _measure(simulation, 1_500)
    simulation.close()
    assert isinstance(result, outcomes.NotRun)
    assert duration_s < _MAX_REFUSAL_S
