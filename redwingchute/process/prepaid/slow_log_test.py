"""Tests steady spending while the log is slow and then unreachable."""

from redwingchute.testing import prepaid_simulation

_HOSTS = ("huon-1", "huon-2", "bruny-1")
_TOKENS = 800


def _spend_steadily(
    simulation: prepaid_simulation.PrepaidSimulation, seconds: float
) -> float:
    """Sends 10 requests per second and returns the share that is charged."""
    numbers = []
    for index in range(int(10 * seconds)):
        host = _HOSTS[index % len(_HOSTS)]
        numbers.append(
            simulation.send_request(host, _TOKENS, _TOKENS, seconds=0.2)
        )
        simulation.run_for(0.1)
    simulation.run_for(1)
    return sum(map(simulation.is_charged, numbers)) / len(numbers)


def test_requests_are_charged_while_the_log_is_slow_or_unreachable() -> None:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, 1_000_000)
    simulation.run_for(2)
    assert _spend_steadily(simulation, 2) == 1.0
    simulation.log_latency_s = 1.2
    charged_share_while_slow = _spend_steadily(simulation, 5)
    simulation.cut_from_log = set(_HOSTS)
    charged_share_while_cut_off = _spend_steadily(simulation, 6)
    simulation.close()
    assert charged_share_while_slow >= 0.95
    assert charged_share_while_cut_off >= 0.95
