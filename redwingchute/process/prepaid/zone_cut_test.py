"""Tests charges in a zone that is cut off from the log and all other zones.

The load: requests that one hub's grant does not cover, while other hubs of the
zone have tokens and those of other zones, which have more, do not reply.
"""

from redwingchute.testing import prepaid_simulation

_HUBS = ("huon-1", "huon-2", "bruny-1", "bruny-2", "tamar-1", "tamar-2")
_OTHERS = ("huon-3", "huon-4", "bruny-3", "tamar-3")
_HOSTS = (*_HUBS, *_OTHERS)
# A request every 20 ms for 4 s, observed every 4 ms.
_STEP_S = 0.004
_STEPS = 1_000
_STEPS_BETWEEN_REQUESTS = 5
# Longer than calls to all hubs of a zone take.
_MAX_REFUSAL_S = 0.1
# Somebody must find out whether a lender replies again.
_MAX_WAITED_SHARE = 0.1


def _cut_zone(simulation: prepaid_simulation.PrepaidSimulation) -> None:
    """Cuts the zone huon off from the log and from all other zones."""
    own = {host for host in _HOSTS if host.startswith("huon")}
    simulation.cut_from_log = own
    simulation.cut_links = {
        frozenset({host, other})
        for host in own
        for other in _HOSTS
        if other not in own
    }


def _find_free_tokens(
    simulation: prepaid_simulation.PrepaidSimulation, hub: str
) -> int:
    grants = simulation.routers[hub].grants
    return grants.find_grant(prepaid_simulation.ACCOUNT).free_tokens


# Guards against requests that are refused in a zone that is cut off, because a
# hub waits for lenders of other zones before it asks those of its own.
def test_hubs_of_a_cut_zone_borrow_from_each_other() -> None:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, 200_000, _HUBS)
    simulation.run_for(3)
    for index in range(120):
        host = "bruny-3" if index % 2 else "tamar-3"
        simulation.send_request(host, 200, 200, seconds=0.05)
        if index % 4 == 0:
            simulation.send_request("huon-3", 200, 200, seconds=0.05)
        simulation.run_for(0.03)
    _cut_zone(simulation)
    simulation.run_for(9)
    largest = max(_find_free_tokens(simulation, f"huon-{n}") for n in (1, 2))
    both = sum(_find_free_tokens(simulation, f"huon-{n}") for n in (1, 2))
    assert both > largest + 1_000
    number = simulation.send_request("huon-3", largest + 500, 100, seconds=0.05)
    simulation.run_for(1)
    is_charged = simulation.is_charged(number)
    simulation.close()
    assert is_charged


# Guards against callers in a zone that is cut off who all wait for lenders of
# other zones, whenever one of these is tried again.
def test_few_requests_wait_for_lenders_that_do_not_reply() -> None:
    simulation = prepaid_simulation.PrepaidSimulation(_HOSTS, 200_000, _HUBS)
    simulation.run_for(3)
    for index in range(80):
        simulation.send_request(
            _HOSTS[index % len(_HOSTS)], 200, 200, seconds=0.05
        )
        simulation.run_for(0.03)
    _cut_zone(simulation)
    simulation.run_for(9)
    both = sum(_find_free_tokens(simulation, f"huon-{n}") for n in (1, 2))
    started_s: dict[int, float] = {}
    ended_s: dict[int, float] = {}
    for step in range(_STEPS):
        if step % _STEPS_BETWEEN_REQUESTS == 0:
            number = simulation.send_request("huon-3", both + 500, 100)
            started_s[number] = simulation.loop.time()
        simulation.run_for(_STEP_S)
        for number in started_s.keys() - ended_s.keys():
            if number in simulation.results:
                ended_s[number] = simulation.loop.time()
    simulation.run_for(1)
    simulation.close()
    waited = [
        number
        for number, since_s in started_s.items()
        if ended_s.get(number, since_s + 1) - since_s > _MAX_REFUSAL_S
    ]
    assert len(waited) <= _MAX_WAITED_SHARE * len(started_s)
