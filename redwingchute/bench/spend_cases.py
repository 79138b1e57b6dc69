"""The cases of the spend bench: demand, isolations, outages and crashes."""

from collections.abc import Callable
import random

import attrs

from redwingchute.bench import spend_simulation

DERWENT_ZONES = tuple(
    zone for zone in ("huon", "bruny", "tamar", "derwent") for _ in range(2)
)
KARRI_ZONES = ("perth-a",) * 3 + ("perth-b",) * 2 + ("bunbury-c",) * 2

WARM_UP_MS = 20_000
# When the isolation or outage of a case begins and ends.
FAULT_START_MS = 40_000
FAULT_END_MS = 80_000
# When the arrivals end.
END_MS = 100_000
# How long the simulation continues after the last arrival.
DRAIN_MS = 20_000
# When the first requests arrive.
_TRACE_START_MS = 2_000

_BOUND_TOKENS = 1_000
_COST_RANGE_TOKENS = (100, 600)
_MEAN_COST_TOKENS = 350
_MEAN_DURATION_MS = 1_500
_PATIENCE_MS = 8_000

# The rate of requests to all routers together.
_FLEET_RATE_PER_S = 20.0


def _weigh_even(router: int, at_ms: int) -> float:
    """Returns the same weight for every router."""
    del router, at_ms
    return 1.0


def _weigh_skewed(router: int, at_ms: int) -> float:
    """Returns weights that fall from router 3 on: 1, 1/2, 1/3 to 1/8.

    Router 0 follows router 7, and router 2 has the smallest weight.
    """
    del at_ms
    return 1 / (1 + (router + 5) % 8)


def _weigh_moving(router: int, at_ms: int) -> float:
    """Returns skewed weights whose maximum moves to router 0 at the fault.

    Before, it is at router 3, which is in the zone that some cases isolate.
    """
    if at_ms < FAULT_START_MS:
        return _weigh_skewed(router, at_ms)
    return _weigh_skewed(router + 3, at_ms)


def _weigh_moving_in(router: int, at_ms: int) -> float:
    """Returns skewed weights whose maximum moves from router 0 to router 3.

    It moves at the fault, so into the zone that is isolated then.
    """
    if at_ms < FAULT_START_MS:
        return _weigh_skewed(router + 3, at_ms)
    return _weigh_skewed(router, at_ms)


@attrs.frozen
class Case:
    """One combination of demand, credit and faults.

    Zones are isolated and the log is down from `FAULT_START_MS` to
    `FAULT_END_MS`.

    Attributes:
      name: Its name in the results.
      weigh: Returns the weight of a router's demand, from the router's index
        and the time in milliseconds.
      budget_ratio: The credit, as a multiple of the expected cost of all
        requests.
      isolated_zone_index: The index of the zone that is isolated, in order of
        the zones' first routers, or None.
      has_log_outage: Whether the log is down during the fault.
      crashes: For each crash the router, the time of the crash and the time of
        the restart, in milliseconds.
    """

    name: str
    weigh: Callable[[int, int], float] = _weigh_even
    budget_ratio: float = 1.1
    isolated_zone_index: int | None = None
    has_log_outage: bool = False
    crashes: tuple[tuple[int, int, int], ...] = ()


CASES = (
    Case("zone cut, even demand", isolated_zone_index=1),
    Case("zone cut, skewed demand", _weigh_skewed, isolated_zone_index=1),
    Case("zone cut, moving demand", _weigh_moving, isolated_zone_index=1),
    Case("zone cut, demand moves in", _weigh_moving_in, isolated_zone_index=1),
    Case(
        "zone cut, demand moves in, half as much again",
        _weigh_moving_in,
        1.5,
        isolated_zone_index=1,
    ),
    Case(
        "zone cut, demand moves in, ample",
        _weigh_moving_in,
        3.0,
        isolated_zone_index=1,
    ),
    Case("platform outage, even demand", has_log_outage=True),
    Case("platform outage, skewed demand", _weigh_skewed, has_log_outage=True),
    Case(
        "router deaths",
        _weigh_skewed,
        crashes=((0, 35_000, 45_000), (3, 50_000, 60_000), (5, 65_000, 75_000)),
    ),
    Case("skewed demand, no fault", _weigh_skewed),
    Case("moving demand, no fault", _weigh_moving),
    Case("budget nearly spent", _weigh_skewed, 0.6),
    Case(
        "budget nearly spent, zone cut",
        _weigh_skewed,
        0.6,
        isolated_zone_index=1,
    ),
)


def make_trace(
    case: Case, zones: tuple[str, ...], seed: int
) -> list[spend_simulation.Request]:
    """Returns the requests of a case, in order of arrival.

    Args:
      case: The case.
      zones: The zone of each router.
      seed: The seed of the trace; equal seeds give equal traces.
    """
    rng = random.Random(seed)
    requests: list[spend_simulation.Request] = []
    at_ms = float(_TRACE_START_MS)
    while at_ms < END_MS:
        at_ms += rng.expovariate(_FLEET_RATE_PER_S) * 1_000
        weights = [case.weigh(each, int(at_ms)) for each in range(len(zones))]
        router = rng.choices(range(len(zones)), weights)[0]
        requests.append(
            spend_simulation.Request(
                number=len(requests) + 1,
                router=router,
                at_ms=int(at_ms),
                bound_tokens=_BOUND_TOKENS,
                cost_tokens=rng.randint(*_COST_RANGE_TOKENS),
                duration_ms=int(rng.expovariate(1 / _MEAN_DURATION_MS)) + 50,
                deadline_ms=int(at_ms) + _PATIENCE_MS,
            )
        )
    return requests


def compute_credit_tokens(case: Case) -> int:
    """Returns the credit of a case."""
    seconds = (END_MS - _TRACE_START_MS) / 1_000
    expected_tokens = _FLEET_RATE_PER_S * seconds * _MEAN_COST_TOKENS
    return int(case.budget_ratio * expected_tokens)


def find_isolated_zone(case: Case, zones: tuple[str, ...]) -> str | None:
    """Returns the name of the zone that is isolated, or None."""
    if case.isolated_zone_index is None:
        return None
    return list(dict.fromkeys(zones))[case.isolated_zone_index]
