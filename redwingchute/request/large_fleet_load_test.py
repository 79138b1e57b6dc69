"""Tests load notices in fleets of hundreds of routers.

If each router told every other of its load, the messages would grow with the
square of the number of routers, and the interval between them as well, until
no router knew the load of the upstreams any more.
"""

import pytest

from redwingchute.core import requesting
from redwingchute.request import fleet_load
from redwingchute.request import load_exchange

_UPSTREAMS = tuple(f"runner-{number}" for number in range(78))
_HUB_COUNT = 18
_STEP_MS = 50
_START_MS = 100_000


class _Fleet:
    """Routers that exchange load notices; each has one open request.

    Attributes:
      now_ms: The current time.
      sent: The messages that each router sent, by number.
      received: The messages that each router received, by number.
      received_parts: The prompt parts that each router received, by number.
      silent: Routers whose messages get lost.
    """

    def __init__(self, count: int) -> None:
        """Creates routers of which the first are hubs."""
        self.now_ms = _START_MS
        self.sent = [0] * count
        self.received = [0] * count
        self.received_parts: list[set[requesting.ReadPart]] = [
            set() for _ in range(count)
        ]
        self.silent: set[int] = set()
        self.loads = []
        self.exchanges = []
        for number in range(count):
            load = fleet_load.FleetLoad(lambda upstream_id: 0.02)
            upstream_id = _UPSTREAMS[number % len(_UPSTREAMS)]
            load.add(fleet_load.OpenRequest(upstream_id, self.now_ms, 10**9))
            exchange = load_exchange.LoadExchange(load)
            exchange.set_role(_make_role(number))
            self.loads.append(load)
            self.exchanges.append(exchange)

    def run_for(self, duration_ms: int) -> None:
        """Lets the routers exchange notices."""
        for _ in range(0, duration_ms, _STEP_MS):
            self.now_ms += _STEP_MS
            for number, exchange in enumerate(self.exchanges):
                for outgoing in exchange.pop_due(self.now_ms):
                    self._deliver(number, outgoing)

    def _deliver(
        self, sender: int, outgoing: load_exchange.OutgoingNotice
    ) -> None:
        for host in outgoing.hosts:
            self.sent[sender] += 1
            if sender in self.silent or int(host) in self.silent:
                continue
            self.received[int(host)] += 1
            self.received_parts[int(host)].update(outgoing.notice.list_parts())
            self.exchanges[int(host)].handle_notice(
                str(sender), outgoing.notice, self.now_ms
            )


def _make_role(number: int) -> load_exchange.HubRole:
    """Returns the role of a router; others start at different hubs."""
    is_hub = number < _HUB_COUNT
    order = [(number + offset) % _HUB_COUNT for offset in range(_HUB_COUNT)]
    hubs = tuple(str(hub) for hub in order if hub != number)
    return load_exchange.HubRole(is_hub, hubs)


@pytest.mark.parametrize("count", [61, 195, 540])
def test_every_router_knows_the_load_of_the_fleet(count: int) -> None:
    fleet = _Fleet(count)
    fleet.run_for(3_000)
    expected = sum(
        _UPSTREAMS[number % len(_UPSTREAMS)] == "runner-0"
        for number in range(count)
    )
    counts = [load.count_open("runner-0", fleet.now_ms) for load in fleet.loads]
    assert counts == [expected] * count


@pytest.mark.parametrize("count", [61, 195, 540])
def test_messages_of_a_router_do_not_grow_with_the_fleet(count: int) -> None:
    fleet = _Fleet(count)
    fleet.run_for(3_000)
    fleet.sent = [0] * count
    fleet.received = [0] * count
    fleet.run_for(10_000)
    totals = [
        (sent + received) / 10
        for sent, received in zip(fleet.sent, fleet.received, strict=True)
    ]
    assert max(totals[:_HUB_COUNT]) < 220
    assert max(totals[_HUB_COUNT:]) < 20


def test_routers_of_a_silent_hub_turn_to_another() -> None:
    fleet = _Fleet(61)
    fleet.run_for(3_000)
    fleet.silent = {3}
    fleet.run_for(8_000)
    served = [
        load.count_open("runner-0", fleet.now_ms)
        for number, load in enumerate(fleet.loads)
        if number != 3
    ]
    assert served == [1] * 60


def test_repeated_prompt_parts_reach_every_router() -> None:
    fleet = _Fleet(61)
    fleet.run_for(3_000)
    part = requesting.ReadPart("runner-1", "shared")
    fleet.exchanges[40].add_parts((part,), fleet.now_ms)
    fleet.run_for(2_000)
    reached = {
        number for number in range(61) if part in fleet.received_parts[number]
    }
    assert reached | {40} == set(range(61))
