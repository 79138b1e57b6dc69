"""Tests requests whose account has too few tokens left for them."""

import pytest

from redwingchute.core import outcomes
from redwingchute.process import shared_log
from redwingchute.testing import prepaid_simulation

_HOSTS = ("huon-1", "huon-2", "bruny-1")


def test_refused_requests_do_not_flood_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, 10_000)
    simulation.run_for(2)
    # The tokens that were granted to a process which crashes while it is cut
    # off from the log are never known to be spent.
    simulation.cut_from_log = {"huon-1"}
    simulation.run_for(6)
    simulation.kill("huon-1")
    simulation.cut_from_log.clear()
    simulation.start("huon-1")
    for _ in range(30):
        for host in _HOSTS:
            simulation.send_request(host, 300, 300, seconds=0.05)
        simulation.run_for(0.2)
    appends = []
    append = prepaid_simulation.SimulatedLog.append

    async def count(
        log: prepaid_simulation.SimulatedLog, topic: str, *arguments: object
    ) -> shared_log.AppendResult:
        appends.append(topic)
        return await append(log, topic, *arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(prepaid_simulation.SimulatedLog, "append", count)
    for index in range(100):
        simulation.send_request(_HOSTS[index % 3], 900, 900, seconds=0.05)
        simulation.run_for(0.05)
    simulation.run_for(1)
    simulation.close()
    # Each host appends twice a second without requests, for 6 s; the rest are
    # appends for requests.
    assert len(appends) < 6 * len(_HOSTS) * 2 + 30


def test_a_top_up_is_available_to_the_next_request() -> None:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, 3_000)
    simulation.run_for(2)
    for _ in range(4):
        simulation.send_request("huon-1", 700, 700, seconds=0.05)
        simulation.run_for(0.2)
    refused = simulation.send_request("huon-1", 900, 900, seconds=0.05)
    simulation.run_for(0.3)
    assert isinstance(simulation.results[refused], outcomes.NotRun)
    simulation.prepaid_tokens += 5_000
    charged = simulation.send_request("huon-1", 900, 900, seconds=0.05)
    simulation.run_for(0.5)
    assert simulation.is_charged(charged)
    simulation.close()
