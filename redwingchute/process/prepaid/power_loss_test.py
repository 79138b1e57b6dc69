"""Tests what losses of all power leave of an account late in its day.

The load: steady requests of one account at nine routers, which all lose power
when two thirds of the account are spent.
"""

import pytest

from redwingchute.testing import prepaid_simulation

_HOSTS = tuple(
    f"{zone}-{number}"
    for zone in ("huon", "tamar", "bruny")
    for number in (1, 2, 3)
)
_REQUESTS_PER_S = 30
_REQUEST_TOKENS = 1_000
_LASTS_S = 60
_PREPAID_TOKENS = _LASTS_S * _REQUESTS_PER_S * _REQUEST_TOKENS
_BUSY_S = 42
_START_S = 6
# 97 in 100 of what is prepaid must stay usable, so at most the rest, with room
# for one request, may become unsure.
_MAX_LOST_TOKENS = 0.03 * _PREPAID_TOKENS - _REQUEST_TOKENS


def _send(
    simulation: prepaid_simulation.PrepaidSimulation, seconds: float
) -> None:
    """Sends requests to all hosts in turn."""
    for index in range(int(seconds * _REQUESTS_PER_S)):
        simulation.send_request(
            _HOSTS[index % len(_HOSTS)],
            _REQUEST_TOKENS,
            _REQUEST_TOKENS,
            seconds=0.8,
        )
        simulation.run_for(1 / _REQUESTS_PER_S)


# Guards against callers who are refused to the end of the day, since more than
# callers can spare counts as spent after all hosts have lost power.
@pytest.mark.parametrize("after_stamp_s", (0.0, 0.25, 0.45))
@pytest.mark.parametrize("power_off_s", (1.1, 1.6, 2.1))
def test_a_loss_of_all_power_makes_few_tokens_unsure(
    power_off_s: float, after_stamp_s: float
) -> None:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, _PREPAID_TOKENS)
    simulation.run_for(3)
    _send(simulation, _BUSY_S + after_stamp_s)
    simulation.lose_all_power(power_off_s)
    simulation.run_for(_START_S)
    counted_tokens = sum(
        router.grants.find_grant(prepaid_simulation.ACCOUNT).spent_tokens
        for router in simulation.routers.values()
    )
    lost_tokens = counted_tokens - simulation.consumed_tokens
    simulation.close()
    assert 0 <= lost_tokens <= _MAX_LOST_TOKENS
