"""Tests of admission under load: who is served when there is too little room.

Each test names its pattern of demand and compares with hosts that refuse by
delay alone, as deployments without several client accounts do.
"""

from collections.abc import Callable
import math

import pytest

from redwingchute.testing import room_simulation

_URGENT = room_simulation.Kind("urgent", 0, 5_000, 1_063, 10_634)
_MIDDLE = room_simulation.Kind("middle", 1, 4_000, 1_545, 6_179)
_LEAST = room_simulation.Kind("least", 2, 1_500, 1_526, 12_209)
_CHARGE = room_simulation.Kind("charge", 0, 0, 424, 1_592)
_PULL = room_simulation.Kind("pull", 1, 0, 423, 1_586)
_GENERATIONS = ((_URGENT, 0.36), (_MIDDLE, 0.25), (_LEAST, 0.39))
_PLAIN = ((_CHARGE, 0.7), (_PULL, 0.3))
# Relative sizes of the accounts: a few of them are large.
_SIZES = {"a": 6, "b": 4, "c": 2, "d": 2, "e": 2, "f": 2}
_HOT = "c"
_MIN_ACCOUNT_RATIO = 0.8
_MIN_ZONE_RATIO = 0.9
_WARM_UP_MS = 4_000
_MEASURED_MS = 20_000
_END_MS = 4_000

_Mix = tuple[tuple[room_simulation.Kind, float], ...]
# The factor of the demand of an account and kind, by zone and time in ms.
_Shape = Callable[[str, room_simulation.Kind, int, int], float]


def _make_demands(
    load: float,
    shape: _Shape,
    mix: _Mix = _GENERATIONS,
    repeating: frozenset[str] = frozenset(),
) -> list[room_simulation.Demand]:
    """Returns demands that are a multiple of what upstreams bear."""
    mean_tokens = sum(kind.tokens * part for kind, part in mix)
    rate = load * room_simulation.PLAIN_REQUESTS_PER_S
    if mean_tokens:
        rate = load * room_simulation.ENGINE_TOKENS_PER_S / mean_tokens
    demands = []
    for account, size in _SIZES.items():
        for kind, part in mix:
            base = rate * part * size / sum(_SIZES.values()) / 3

            def find_rate(
                zone: int,
                elapsed_ms: int,
                account: str = account,
                kind: room_simulation.Kind = kind,
                base: float = base,
            ) -> float:
                return base * shape(account, kind, zone, elapsed_ms)

            demands.append(
                room_simulation.Demand(
                    account, kind, find_rate, 2 if account in repeating else 0
                )
            )
    return demands


def _make(
    demands: list[room_simulation.Demand],
    is_landed: bool = False,
    host_count: int = 6,
    hub_count: int | None = None,
) -> room_simulation.RoomSimulation:
    kinds = {demand.kind.name: demand.kind for demand in demands}
    return room_simulation.RoomSimulation(
        {name: size * 1_000_000 for name, size in _SIZES.items()},
        list(kinds.values()),
        demands,
        is_landed,
        host_count,
        hub_count,
    )


def _run(
    simulation: room_simulation.RoomSimulation,
) -> room_simulation.RoomSimulation:
    simulation.run_for(_WARM_UP_MS, is_measured=False)
    simulation.run_for(_MEASURED_MS)
    simulation.run_for(_END_MS, is_measured=False)
    return simulation


def _list_services(
    simulation: room_simulation.RoomSimulation, names: list[str]
) -> list[float]:
    return [simulation.find(name).service for name in names]


def _check_zones(simulation: room_simulation.RoomSimulation) -> None:
    services = _list_services(simulation, ["zone-0", "zone-1", "zone-2"])
    assert min(services) >= _MIN_ZONE_RATIO * sum(services) / 3


def _check_accounts(
    simulation: room_simulation.RoomSimulation, names: list[str]
) -> float:
    """Checks accounts within their share and returns their mean service."""
    services = _list_services(simulation, names)
    mean = sum(services) / len(services)
    assert min(services) >= _MIN_ACCOUNT_RATIO * mean
    return mean


def _shape_hot(
    account: str, kind: room_simulation.Kind, zone: int, elapsed_ms: int
) -> float:
    return 7.0 if account == _HOT else 1.0


def _shape_wave(
    account: str, kind: room_simulation.Kind, zone: int, elapsed_ms: int
) -> float:
    peak = 0.6 if zone == 0 else 0.0
    phase = 2 * math.pi * (elapsed_ms / 13_000 + zone / 13)
    return 1 + 0.55 * math.sin(phase) + peak


def _shape_burst(
    account: str, kind: room_simulation.Kind, zone: int, elapsed_ms: int
) -> float:
    is_burst = kind is _LEAST and 6_000 < elapsed_ms < 14_000
    return 5.0 if is_burst else 1.0


def _shape_even(
    account: str, kind: room_simulation.Kind, zone: int, elapsed_ms: int
) -> float:
    return 1.0


_FLEETS = pytest.mark.parametrize(
    ("host_count", "hub_count"), [(6, 6), (27, 9)]
)
_OTHERS = [name for name in _SIZES if name != _HOT]


# Pattern: one account sends seven times its usual. Without it the others have
# room enough, and they must keep most of what they would get alone.
@_FLEETS
def test_others_keep_their_share_beside_an_account_at_seven_times(
    host_count: int, hub_count: int
) -> None:
    demands = _make_demands(0.8, _shape_hot)
    alone = _make_demands(0.8, _shape_even)
    usual = _run(_make(alone, False, host_count, hub_count))
    needed = _MIN_ACCOUNT_RATIO * usual.find("").service
    shared = _run(_make(demands, False, host_count, hub_count))
    landed = _run(_make(demands, True, host_count, hub_count))
    assert _check_accounts(shared, _OTHERS) >= needed
    assert _check_accounts(landed, _OTHERS) < needed
    assert shared.find("").service > landed.find("").service
    # Unused room is lent: engines do as much work as before.
    assert shared.idle_share <= 0.01


# Pattern: demand swings by half, and its peak comes in one zone.
@_FLEETS
def test_zones_are_served_alike_in_a_wave(
    host_count: int, hub_count: int
) -> None:
    demands = _make_demands(0.9, _shape_wave)
    shared = _run(_make(demands, False, host_count, hub_count))
    landed = _run(_make(demands, True, host_count, hub_count))
    _check_zones(shared)
    _check_accounts(shared, list(_SIZES))
    assert shared.find("").service > landed.find("").service


# Pattern: some callers repeat at once, twice, after each refusal.
def test_repeating_at_once_gains_no_second_share() -> None:
    demands = _make_demands(1.2, _shape_even, repeating=frozenset({"a", "c"}))
    shared = _run(_make(demands))
    patient = [name for name in _SIZES if name not in ("a", "c")]
    mean = _check_accounts(shared, patient)
    for name in ("a", "c"):
        assert shared.find(name).service <= mean / _MIN_ACCOUNT_RATIO
    assert mean > _check_accounts(_run(_make(demands, True)), patient)


# Pattern: a burst of the least urgent kind.
def test_a_burst_of_the_least_urgent_kind_leaves_the_others_alone() -> None:
    demands = _make_demands(0.8, _shape_burst)
    shared, landed = _run(_make(demands)), _run(_make(demands, True))
    usual = _run(_make(_make_demands(0.8, _shape_even)))
    for kind in (_URGENT, _MIDDLE):
        needed = _MIN_ACCOUNT_RATIO * usual.find(kind.name).service
        assert shared.find(kind.name).service >= needed
        assert landed.find(kind.name).service < needed
    assert shared.find("").service > landed.find("").service


# Pattern: more of all kinds than there is room for, lastingly. Guards against
# limits that rise with a kind's own target: the less urgent kind with the
# longer target filled the queue, and the most urgent one was refused first.
def test_a_more_urgent_kind_is_served_no_less() -> None:
    demands = _make_demands(1.3, _shape_even)
    shared, landed = _run(_make(demands)), _run(_make(demands, True))
    shares = {
        simulation: [
            simulation.find(kind.name).served / simulation.find(kind.name).owed
            for kind in (_URGENT, _MIDDLE, _LEAST)
        ]
        for simulation in (shared, landed)
    }
    assert shares[shared] == sorted(shares[shared], reverse=True)
    assert shares[landed] != sorted(shares[landed], reverse=True)
    assert shared.find("").service > landed.find("").service
    assert shared.idle_share <= 0.01


# Pattern: plain services get 1.3 times what they bear. What an upstream rejects
# uses up the fleet's retries; nobody may be refused while places are free.
def test_plain_upstreams_reject_less_and_serve_as_much() -> None:
    demands = _make_demands(1.3, _shape_even, _PLAIN)
    shared, landed = _run(_make(demands)), _run(_make(demands, True))
    assert shared.rejections < 0.8 * landed.rejections
    assert shared.find("").served >= 0.98 * landed.find("").served
    _check_accounts(shared, list(_SIZES))
    _check_zones(shared)


# Pattern: one account sends seven times its usual to a plain service.
def test_plain_services_have_shares_too() -> None:
    demands = _make_demands(0.8, _shape_hot, _PLAIN)
    shared, landed = _run(_make(demands)), _run(_make(demands, True))
    assert _check_accounts(shared, _OTHERS) >= _MIN_ACCOUNT_RATIO
    assert _check_accounts(landed, _OTHERS) < _MIN_ACCOUNT_RATIO
    assert shared.find("").served >= 0.98 * landed.find("").served


# Pattern: a usual load below what there is room for.
@pytest.mark.parametrize("mix", [_GENERATIONS, _PLAIN])
def test_without_pressure_decisions_are_as_before(mix: _Mix) -> None:
    demands = _make_demands(0.8, _shape_even, mix)
    shared, landed = _run(_make(demands)), _run(_make(demands, True))
    assert shared.results == landed.results


# Guards against hosts that refuse at random once notices do not arrive.
def test_hosts_that_are_cut_off_decide_by_delay() -> None:
    demands = _make_demands(0.8, _shape_hot)
    simulation = _make(demands)
    simulation.lost_hosts = set(range(6))
    _run(simulation)
    landed = _make(demands, is_landed=True)
    landed.lost_hosts = set(range(6))
    _run(landed)
    assert simulation.find("").service >= 0.95 * landed.find("").service


# Guards against counts that stay behind with a hub that is gone.
def test_shares_hold_when_hubs_are_gone() -> None:
    simulation = _make(_make_demands(0.8, _shape_hot), False, 27, 9)
    simulation.run_for(_WARM_UP_MS, is_measured=False)
    simulation.lost_hosts = simulation.gone_hosts = {0, 4, 8}
    _run(simulation)
    usual = _run(_make(_make_demands(0.8, _shape_even)))
    needed = _MIN_ACCOUNT_RATIO * usual.find("").service
    assert _check_accounts(simulation, _OTHERS) >= needed


# Guards against a restarted host that favours accounts until it has counts.
def test_a_restarted_host_knows_the_shares_soon() -> None:
    simulation = _make(_make_demands(0.8, _shape_hot))
    simulation.run_for(_WARM_UP_MS, is_measured=False)
    for number in range(3):
        simulation.restart(number)
    _run(simulation)
    usual = _run(_make(_make_demands(0.8, _shape_even)))
    needed = _MIN_ACCOUNT_RATIO * usual.find("").service
    assert _check_accounts(simulation, _OTHERS) >= needed
