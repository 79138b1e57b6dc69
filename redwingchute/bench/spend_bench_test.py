"""Tests of the spend bench, and of the fleet's reserve in one case."""

import attrs

from redwingchute.bench import spend_baselines
from redwingchute.bench import spend_bench
from redwingchute.bench import spend_cases
from redwingchute.bench import spend_fleet
from redwingchute.bench import spend_simulation


def _make_request(
    number: int, router: int = 0, at_ms: int = 0
) -> spend_simulation.Request:
    return spend_simulation.Request(number, router, at_ms, 100, 40, 10, 1_000)


def _find_case(name: str) -> spend_cases.Case:
    (case,) = (each for each in spend_cases.CASES if each.name == name)
    return case


def test_refusal_is_false_while_the_remainder_covers_the_bound() -> None:
    tally = spend_simulation.Tally(150)
    tally.record_start(_make_request(1))
    tally.record_refusal(_make_request(2))
    assert (tally.false_refusals, tally.true_refusals) == (1, 0)
    tally.record_start(_make_request(3))
    tally.record_refusal(_make_request(4))
    assert (tally.false_refusals, tally.true_refusals) == (1, 1)


def test_answers_beyond_the_credit_are_overspend() -> None:
    tally = spend_simulation.Tally(50)
    for number in (1, 2):
        tally.record_start(_make_request(number))
        tally.record_answer(_make_request(number))
    assert tally.overspend_tokens == 30


def test_isolated_zone_reaches_only_itself() -> None:
    simulation = spend_simulation.SpendSimulation(("huon", "huon", "bruny"))
    simulation.isolated_zones.add("huon")
    assert simulation.can_reach(0, 1)
    assert not simulation.can_reach(0, 2)
    assert not simulation.can_reach_log(0)
    assert simulation.can_reach_log(2)
    simulation.crashed_routers.add(0)
    assert simulation.find_available_router(0) == 1


def test_clairvoyant_bound_is_zero_only_while_tokens_suffice() -> None:
    trace = [_make_request(each, each % 2, each) for each in range(1, 9)]
    bound = spend_baselines.count_clairvoyant_refusals(
        trace, [True, False], 1_000, 1, 100
    )
    assert bound == 0
    scarce = spend_baselines.count_clairvoyant_refusals(
        trace, [True, False], 180, 1, 100
    )
    assert scarce > 0


def test_reserve_serves_skewed_demand_in_isolated_zone() -> None:
    case = _find_case("zone cut, skewed demand")
    zones = spend_cases.DERWENT_ZONES
    chosen = spend_bench.run_design(
        "derwent",
        zones,
        case,
        "chosen",
        lambda simulation, tally, seed: spend_fleet.Fleet(
            simulation, tally, spend_bench.KARRI_POLICY, seed
        ),
        0,
    )
    split = spend_bench.run_design(
        "derwent",
        zones,
        case,
        "equal split",
        lambda simulation, tally, seed: spend_baselines.EqualSplit(
            simulation, tally
        ),
        0,
    )
    assert chosen.overspend_tokens == 0
    assert chosen.answered + chosen.false_refusals == chosen.offered
    assert chosen.false_refusal_ratio < split.false_refusal_ratio / 10


def test_equal_seeds_give_equal_traces() -> None:
    case = attrs.evolve(spend_cases.CASES[0], budget_ratio=2.0)
    first = spend_cases.make_trace(case, spend_cases.KARRI_ZONES, 1)
    assert first == spend_cases.make_trace(case, spend_cases.KARRI_ZONES, 1)
    assert first != spend_cases.make_trace(case, spend_cases.KARRI_ZONES, 2)
