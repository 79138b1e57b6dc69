"""Tests what a loss of all power costs an account that was refused before."""

from redwingchute.testing import prepaid_simulation

_HOSTS = ("huon-1", "tamar-1", "bruny-1")
# The host that all callers of the account use.
_BUSY_HOST = "bruny-1"
_TOKENS = 800
_PREPAID_TOKENS = 40_000
_TOP_UP_TOKENS = 24_000
# Of the requests sent later than 12 s after the return, this share at least
# must be served.
_RECOVERY_S = 12
_MIN_SERVED_SHARE = 0.25


def _send_steadily(
    simulation: prepaid_simulation.PrepaidSimulation,
    per_s: int,
    seconds: float,
) -> float:
    """Sends requests to the busy host; returns the share that is charged."""
    numbers = []
    for _ in range(int(per_s * seconds)):
        numbers.append(
            simulation.send_request(_BUSY_HOST, _TOKENS, _TOKENS, seconds=0.2)
        )
        simulation.run_for(1 / per_s)
    simulation.run_for(1)
    return sum(map(simulation.is_charged, numbers)) / len(numbers)


# Guards against accounts that stay refused after a loss of all power because
# the demand that was refused before it counts as spent.
def test_refused_demand_is_not_lost_with_all_power() -> None:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, _PREPAID_TOKENS)
    simulation.run_for(3)
    assert _send_steadily(simulation, 10, 4) > 0.9
    assert _send_steadily(simulation, 30, 8) < 0.5
    simulation.prepaid_tokens += _TOP_UP_TOKENS
    simulation.run_for(0.6)
    simulation.lose_all_power(1.1)
    _send_steadily(simulation, 1, _RECOVERY_S)
    served_share = _send_steadily(simulation, 1, _RECOVERY_S)
    assert simulation.max_used_tokens <= simulation.prepaid_tokens
    simulation.close()
    assert served_share >= _MIN_SERVED_SHARE
