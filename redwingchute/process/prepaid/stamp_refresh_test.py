"""Tests that a log that returns soon has new stamps of all hubs.

The load: all hubs were without the log for seconds and return to it at once,
with requests that wait for raises of their grants. Their conditional appends
make each other fail.
"""

import pytest

from redwingchute.core import prepaid
from redwingchute.process.prepaid import grant_fold
from redwingchute.testing import prepaid_simulation

_HOSTS = tuple(
    f"{zone}-{number}"
    for zone in ("huon", "bruny", "tamar")
    for number in (1, 2, 3)
)
_REQUESTS_PER_S = 90
_TOKENS = 800
_AWAY_S = 6
# One interval of stamps, and as long again for the calls of all hubs.
_MAX_RETURN_S = 1.0


def _send(
    simulation: prepaid_simulation.PrepaidSimulation, seconds: float
) -> None:
    for index in range(int(_REQUESTS_PER_S * seconds)):
        simulation.send_request(
            _HOSTS[index % len(_HOSTS)], _TOKENS, _TOKENS, seconds=0.8
        )
        simulation.run_for(1 / _REQUESTS_PER_S)


def _find_oldest_stamp_ms(
    simulation: prepaid_simulation.PrepaidSimulation,
) -> int:
    """Returns the age of the oldest of the newest stamps of all hosts."""
    stamps = [
        decoded
        for record in simulation.topic.read_newest().records
        if isinstance(
            decoded := grant_fold.decode_record(record.value or b""),
            prepaid.HostStamp,
        )
    ]
    assert len(stamps) == len(_HOSTS)
    return simulation.now_ms - min(stamp.boot_ms for stamp in stamps)


# Guards against hubs whose stamps stay as old as an outage of the log, because
# appends that raise grants fail one after the other: what a hub may have spent
# since its stamp counts as spent if power is lost.
@pytest.mark.parametrize("log_latency_s", [0.004, 0.02])
def test_stamps_are_new_soon_after_the_log_returns(
    log_latency_s: float,
) -> None:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, 1_300_000)
    simulation.run_for(3)
    simulation.log_latency_s = log_latency_s
    _send(simulation, 4)
    simulation.is_log_away = True
    _send(simulation, _AWAY_S)
    simulation.is_log_away = False
    _send(simulation, _MAX_RETURN_S)
    oldest_stamp_ms = _find_oldest_stamp_ms(simulation)
    simulation.close()
    assert oldest_stamp_ms <= 1_000 * _MAX_RETURN_S
