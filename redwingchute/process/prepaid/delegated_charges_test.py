"""Tests charges in fleets of which a few routers, the hubs, hold grants.

If every router held grants, the rows, stamps and appends of an account would
grow with the number of hosts, and each host would hold too small a slice for a
large request.
"""

import pytest

from redwingchute.core import outcomes
from redwingchute.process import shared_log
from redwingchute.testing import prepaid_simulation

_HUBS = ("huon-1", "huon-2", "bruny-1", "bruny-2")
_OTHERS = tuple(f"huon-{number}" for number in range(3, 20))
_TOKENS = 100_000


def _make_simulation(
    tokens: int = _TOKENS,
) -> prepaid_simulation.PrepaidSimulation:
    simulation = prepaid_simulation.PrepaidSimulation(
        (*_HUBS, *_OTHERS), tokens, _HUBS
    )
    simulation.run_for(3)
    return simulation


def _send_requests(
    simulation: prepaid_simulation.PrepaidSimulation, count: int, tokens: int
) -> list[int]:
    """Sends requests to the routers that are no hubs, in turn."""
    numbers = []
    for index in range(count):
        host = _OTHERS[index % len(_OTHERS)]
        numbers.append(
            simulation.send_request(host, tokens, tokens, seconds=0.05)
        )
        simulation.run_for(0.03)
    simulation.run_for(1)
    return numbers


def test_only_hubs_append(monkeypatch: pytest.MonkeyPatch) -> None:
    producers: list[str] = []
    append = prepaid_simulation.SimulatedLog.append

    async def record(
        log: prepaid_simulation.SimulatedLog,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        producers.append(stamp.producer)
        return await append(log, topic, records, stamp, at)

    monkeypatch.setattr(prepaid_simulation.SimulatedLog, "append", record)
    simulation = _make_simulation()
    numbers = _send_requests(simulation, 60, 300)
    simulation.close()
    assert all(map(simulation.is_charged, numbers))
    assert set(producers) == set(_HUBS)


def test_tokens_can_be_spent_to_the_last_request() -> None:
    simulation = _make_simulation(20_000)
    _send_requests(simulation, 80, 300)
    simulation.close()
    assert 19_000 <= simulation.max_used_tokens <= 20_000


def test_a_spent_account_is_refused_as_spent_and_at_once() -> None:
    simulation = _make_simulation(6_000)
    _send_requests(simulation, 19, 300)
    simulation.run_for(3)
    number = simulation.send_request("huon-9", 900, 900)
    simulation.run_for(0.02)
    result = simulation.results[number]
    simulation.close()
    assert isinstance(result, outcomes.NotRun)
    assert result.status == 402


def test_a_request_larger_than_a_grant_is_charged_at_several_hubs() -> None:
    simulation = _make_simulation()
    _send_requests(simulation, 60, 300)
    simulation.cut_from_log = set(_HUBS)
    simulation.run_for(9)
    largest = max(
        simulation.routers[hub]
        .grants.find_grant(prepaid_simulation.ACCOUNT)
        .free_tokens
        for hub in _HUBS
    )
    number = simulation.send_request("huon-9", largest + 500, 100)
    simulation.run_for(2)
    is_charged = simulation.is_charged(number)
    simulation.close()
    assert is_charged


@pytest.mark.parametrize("down", [("huon-1",), ("huon-1", "huon-2")])
def test_another_hub_serves_while_hubs_of_the_zone_are_down(
    down: tuple[str, ...],
) -> None:
    simulation = _make_simulation()
    _send_requests(simulation, 40, 300)
    for hub in down:
        simulation.kill(hub)
    numbers = _send_requests(simulation, 40, 300)
    simulation.close()
    assert sum(map(simulation.is_charged, numbers)) >= 38


def test_a_former_hub_returns_its_tokens() -> None:
    simulation = _make_simulation()
    _send_requests(simulation, 60, 300)
    former = simulation.routers["huon-1"].grants
    simulation.hubs = ("huon-2", "huon-3", "bruny-1", "bruny-2")
    simulation.run_for(4)
    grant = former.find_grant(prepaid_simulation.ACCOUNT)
    assert grant.granted_tokens == grant.spent_tokens
    assert not former.is_active
    numbers = _send_requests(simulation, 40, 300)
    simulation.close()
    assert all(map(simulation.is_charged, numbers))


def test_a_charge_of_a_crashed_borrower_counts_as_spent() -> None:
    simulation = _make_simulation(10_000)
    simulation.send_request("huon-9", 4_000, 4_000, seconds=60)
    simulation.run_for(0.5)
    simulation.kill("huon-9")
    simulation.run_for(20)
    _send_requests(simulation, 60, 300)
    simulation.close()
    assert simulation.max_used_tokens <= 10_000


@pytest.mark.parametrize("hub", ["huon-1", "huon-2"])
def test_a_hub_that_shuts_down_or_starts_refuses_nobody(hub: str) -> None:
    simulation = _make_simulation()
    _send_requests(simulation, 40, 300)
    stopping = simulation.routers[hub].grants
    simulation.loop.run_until_complete(stopping.stop(0.8))
    numbers = _send_requests(simulation, 20, 300)
    simulation.kill(hub)
    simulation.cut_from_log = {hub}
    simulation.start(hub)
    numbers += _send_requests(simulation, 20, 300)
    simulation.close()
    assert all(map(simulation.is_charged, numbers))


@pytest.mark.parametrize("hub", ["huon-1", "huon-2"])
def test_a_router_that_is_no_hub_for_itself_sends_others_on(hub: str) -> None:
    simulation = _make_simulation()
    _send_requests(simulation, 40, 300)
    # The router knows that it is no hub any more, the others do not yet.
    simulation.former_hubs = {hub}
    simulation.run_for(4)
    numbers = _send_requests(simulation, 20, 300)
    simulation.close()
    assert all(map(simulation.is_charged, numbers))
