"""Tests of the spending bench, and of the design's asks in one short case."""

import attrs

from redwingchute.bench import spend_baselines
from redwingchute.bench import spend_bench
from redwingchute.bench import spend_cases
from redwingchute.bench import spend_fleet
from redwingchute.bench import spend_world


def _make_request(
    number: int, router: int = 0, at_ms: int = 0
) -> spend_world.Request:
    return spend_world.Request(number, router, at_ms, 100, 40, 10, 1_000)


def _find_case(name: str) -> spend_cases.Case:
    (case,) = (each for each in spend_cases.CASES if each.name == name)
    return case


def test_refusal_is_false_while_the_remainder_covers_the_bound() -> None:
    tally = spend_world.Tally(150)
    tally.start(_make_request(1))
    tally.refuse(_make_request(2))
    assert (tally.false_refusals, tally.true_refusals) == (1, 0)
    tally.start(_make_request(3))
    tally.refuse(_make_request(4))
    assert (tally.false_refusals, tally.true_refusals) == (1, 1)


def test_answers_beyond_the_credit_are_overspend() -> None:
    tally = spend_world.Tally(50)
    for number in (1, 2):
        tally.start(_make_request(number))
        tally.answer(_make_request(number))
    assert tally.overspend_tokens == 30


def test_cut_zone_reaches_only_itself() -> None:
    world = spend_world.World(("huon", "huon", "bruny"))
    world.cut_zones.add("huon")
    assert world.can_reach(0, 1)
    assert not world.can_reach(0, 2)
    assert not world.can_log(0)
    assert world.can_log(2)
    world.dead.add(0)
    assert world.find_router(0) == 1


def test_clairvoyant_placement_refuses_nothing_that_it_can_serve() -> None:
    trace = [_make_request(each, each % 2, each) for each in range(1, 9)]
    bound = spend_baselines.find_clairvoyant_refusals(
        trace, [True, False], 1_000, 1, 100
    )
    assert bound == 0
    scarce = spend_baselines.find_clairvoyant_refusals(
        trace, [True, False], 180, 1, 100
    )
    assert scarce > 0


def test_skewed_zone_cut_is_served_from_reserve() -> None:
    case = _find_case("zone cut, skewed demand")
    zones = spend_cases.DERWENT_ZONES
    chosen = spend_bench.run_design(
        "derwent",
        zones,
        case,
        "chosen",
        lambda world, tally, seed: spend_fleet.Fleet(
            world, tally, spend_bench.KARRI_POLICY, seed
        ),
        0,
    )
    split = spend_bench.run_design(
        "derwent",
        zones,
        case,
        "equal split",
        lambda world, tally, seed: spend_baselines.EqualSplit(world, tally),
        0,
    )
    assert chosen.overspend_tokens == 0
    assert chosen.answered + chosen.false_refusals == chosen.offered
    assert chosen.false_refusal_ratio < split.false_refusal_ratio / 10


def test_every_design_meets_the_same_trace() -> None:
    case = attrs.evolve(spend_cases.CASES[0], budget_ratio=2.0)
    first = spend_cases.make_trace(case, spend_cases.KARRI_ZONES, 1)
    assert first == spend_cases.make_trace(case, spend_cases.KARRI_ZONES, 1)
    assert first != spend_cases.make_trace(case, spend_cases.KARRI_ZONES, 2)
