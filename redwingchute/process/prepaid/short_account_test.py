"""Tests what a loss of all power costs an account that is nearly spent."""

from redwingchute.testing import prepaid_simulation

_HOSTS = ("huon-1", "tamar-1", "bruny-1")
_TOKENS = 800
# Spent at 8,000 tokens a second; what is left lasts for three seconds more.
_PREPAID_TOKENS = 120_000
_BUSY_S = 12
_RECOVERY_S = 12
_TAIL_S = 6
# Of the requests sent later than 12 s after the return, this share at least
# must be served.
_MIN_SERVED_SHARE = 0.25


def _send(
    simulation: prepaid_simulation.PrepaidSimulation,
    per_s: int,
    seconds: float,
) -> float:
    """Sends requests to all hosts in turn; returns the share charged."""
    numbers = []
    for index in range(int(per_s * seconds)):
        host = _HOSTS[index % len(_HOSTS)]
        numbers.append(
            simulation.send_request(host, _TOKENS, _TOKENS, seconds=0.2)
        )
        simulation.run_for(1 / per_s)
    return sum(map(simulation.is_charged, numbers)) / len(numbers)


# Guards against accounts near their end that lose what they have left with all
# power, because ceilings rose while no process ran.
def test_what_an_account_has_left_outlasts_a_loss_of_all_power() -> None:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, _PREPAID_TOKENS)
    simulation.run_for(3)
    assert _send(simulation, 10, _BUSY_S) == 1.0
    for host in _HOSTS:
        simulation.lose_power(host)
    simulation.run_for(1.5)
    for host in _HOSTS:
        simulation.start(host)
    simulation.run_for(1)
    _send(simulation, 1, _RECOVERY_S)
    served_share = _send(simulation, 1, _TAIL_S)
    assert simulation.max_used_tokens <= simulation.prepaid_tokens
    simulation.close()
    assert served_share >= _MIN_SERVED_SHARE


_POWER_OFF_S = 1.5
# Power is lost while the account lasts for this long.
_LASTS_S = 8
_REQUESTS_PER_S = 30
_REQUEST_TOKENS = 1_000
# Stamps are half a second apart: not more than the requests of that time should
# count as spent without having been.
_MAX_LOST_S = 0.5


# Guards against accounts that run out within seconds and lose a part of what
# they have left, since ceilings rose while no process ran.
def test_an_account_that_runs_out_soon_loses_little_with_all_power() -> None:
    hosts = tuple(
        f"{zone}-{number}"
        for zone in ("huon", "tamar", "bruny")
        for number in (1, 2, 3)
    )
    demand_tokens_per_s = _REQUESTS_PER_S * _REQUEST_TOKENS
    simulation = prepaid_simulation.PrepaidSimulation(
        hosts, (_BUSY_S + _LASTS_S) * demand_tokens_per_s
    )
    simulation.run_for(3)
    for index in range(_BUSY_S * _REQUESTS_PER_S):
        simulation.send_request(
            hosts[index % len(hosts)],
            _REQUEST_TOKENS,
            _REQUEST_TOKENS,
            seconds=0.8,
        )
        simulation.run_for(1 / _REQUESTS_PER_S)
    for host in hosts:
        simulation.lose_power(host)
    simulation.run_for(_POWER_OFF_S)
    for host in hosts:
        simulation.start(host)
    simulation.run_for(6)
    counted_tokens = sum(
        router.grants.find_grant(prepaid_simulation.ACCOUNT).spent_tokens
        for router in simulation.routers.values()
    )
    lost_tokens = counted_tokens - simulation.consumed_tokens
    simulation.close()
    assert 0 <= lost_tokens <= _MAX_LOST_S * demand_tokens_per_s
