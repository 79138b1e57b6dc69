"""Tests of the decision to leave the zone, on figures of one moment."""

import contextlib
import hashlib
import random

import pytest

from redwingchute.request import upstream_choice
from redwingchute.request import upstream_directory
from redwingchute.request import zone_overflow
from redwingchute.testing import forwarding_builders

_NOW_MS = 50_000
_LEAVING = zone_overflow.Overflow(True, 0)
_STAYING = zone_overflow.Overflow(False, 0)


def _make_candidate(
    name: str, delay_ms: float = 0.0, cost_ms: float = 200.0, load: float = 1.0
) -> upstream_choice.Candidate:
    """Returns an upstream; its zone is the first word of its name."""
    zone = name.partition("-")[0]
    upstream = forwarding_builders.make_upstream(name, zone)
    return upstream_choice.Candidate(
        upstream, load, delay_ms, cost_ms, int(20 * cost_ms), cost_ms
    )


def _make_figures(
    own_ms: float,
    others_ms: dict[str, float],
    age_ms: int = 100,
    rise_ms: float = 0.0,
) -> zone_overflow.Figures:
    """Returns figures of zones with four upstreams each."""
    return zone_overflow.Figures(
        zone_overflow.ZoneDelay(4, own_ms),
        {
            zone: zone_overflow.ZoneDelay(4, delay_ms, rise_ms)
            for zone, delay_ms in others_ms.items()
        },
        age_ms,
    )


def _make_need(
    number: int = 0,
    crossing_ms: float = 50.0,
    target_ms: int = 0,
    key: str | None = "prompt",
) -> zone_overflow.Need:
    return zone_overflow.Need(crossing_ms, target_ms, f"r-{number}", key)


def _list_decisions(
    candidates: list[upstream_choice.Candidate],
    figures: zone_overflow.Figures,
    overflow: zone_overflow.Overflow = _LEAVING,
    crossing_ms: float = 50.0,
    target_ms: int = 0,
) -> list[tuple[str, zone_overflow.Reason | None]]:
    """Returns the zone that each of many requests goes to, and why."""
    decisions = []
    for number in range(400):
        need = _make_need(number, crossing_ms, target_ms, f"prompt-{number}")
        decision = zone_overflow.narrow_candidates(
            candidates, "huon", figures, overflow, need
        )
        zones = {found.upstream.zone for found in decision.candidates}
        assert len(zones) == 1
        decisions.append((zones.pop(), decision.reason))
    return decisions


def _share(
    decisions: list[tuple[str, zone_overflow.Reason | None]], zone: str
) -> float:
    return sum(found == zone for found, _ in decisions) / len(decisions)


# Guards against another choice on deployments that set no price. The digest is
# that of the same choices on commit 3ed1c7b, which knew none.
def test_without_a_price_the_choices_are_those_of_before() -> None:
    digest = hashlib.sha256()
    randomness = random.Random(7)
    for case in range(50):
        directory = upstream_directory.UpstreamDirectory("huon")
        for number in range(12):
            zone = randomness.choice(["huon", "bruny", "tamar"])
            directory.set_upstream(
                forwarding_builders.make_upstream(f"m-{number}", zone)
            )
        with contextlib.ExitStack() as open_requests:
            for number in range(40):
                prompt = f"prompt-{randomness.randrange(8)}"
                generation = randomness.choice(
                    [forwarding_builders.make_generation(prompt), None]
                )
                now_ms = _NOW_MS + 50 * number
                request = forwarding_builders.make_request(
                    1_000 * case + number, generation
                )
                excluded = frozenset({f"m-{randomness.randrange(12)}"})
                chosen = directory.choose("llm", request, excluded, now_ms)
                assert chosen is not None
                digest.update(chosen.upstream.id.encode())
                tracked = open_requests.enter_context(
                    directory.track_request(chosen.upstream, generation, now_ms)
                )
                if randomness.random() < 0.5:
                    directory.record_first_event(tracked, now_ms + 300)
    assert digest.hexdigest() == (
        "3878346848fa7c726fe20be3b309760251d332e95e331284ee39347baa9f065c"
    )


def test_equal_zones_keep_their_requests() -> None:
    candidates = [_make_candidate("huon-1", 60), _make_candidate("bruny-1", 0)]
    decisions = _list_decisions(candidates, _make_figures(60, {"bruny": 0}))
    assert _share(decisions, "huon") > 0.95


@pytest.mark.parametrize(
    ("own_ms", "share"), [(40.0, 0.0), (450.0, 0.2), (850.0, 0.4)]
)
def test_the_excess_leaves_and_no_more(own_ms: float, share: float) -> None:
    candidates = [
        _make_candidate("huon-1", own_ms),
        _make_candidate("bruny-1", 0),
    ]
    decisions = _list_decisions(candidates, _make_figures(own_ms, {"bruny": 0}))
    assert abs(_share(decisions, "bruny") - share) < 0.07
    reasons = {reason for zone, reason in decisions if zone == "bruny"}
    assert reasons <= {zone_overflow.Reason.LOAD}


def test_the_excess_is_spread_by_the_spare_room_of_zones() -> None:
    candidates = [
        _make_candidate("huon-1", 850),
        _make_candidate("bruny-1", 200),
        _make_candidate("tamar-1", 600),
    ]
    figures = _make_figures(850, {"bruny": 200, "tamar": 600})
    decisions = _list_decisions(candidates, figures)
    # Three quarters of the spare room are in one of the zones.
    ratio = _share(decisions, "bruny") / _share(decisions, "tamar")
    assert 1.5 < ratio < 6.0


def test_a_zone_whose_own_peak_begins_takes_no_more() -> None:
    candidates = [_make_candidate("huon-1", 450), _make_candidate("bruny-1", 0)]
    figures = _make_figures(450, {"bruny": 100}, rise_ms=300.0)
    assert _share(_list_decisions(candidates, figures), "bruny") == 0


@pytest.mark.parametrize("overflow", [_LEAVING, _STAYING])
def test_late_notices_keep_requests_in_the_zone(
    overflow: zone_overflow.Overflow,
) -> None:
    candidates = [_make_candidate("huon-1", 900), _make_candidate("bruny-1", 0)]
    figures = _make_figures(900, {"bruny": 0}, age_ms=1_600)
    decisions = _list_decisions(candidates, figures, overflow, target_ms=500)
    assert _share(decisions, "bruny") == 0


def test_a_silent_zone_gets_nothing_while_others_can_serve() -> None:
    candidates = [_make_candidate("huon-1", 900), _make_candidate("bruny-1", 0)]
    assert _share(_list_decisions(candidates, _make_figures(900, {})), "huon")
    decision = zone_overflow.narrow_candidates(
        candidates[1:], "huon", _make_figures(0, {}), _STAYING, _make_need()
    )
    assert decision.candidates == candidates[1:]


# Guards against refusals of what another zone could begin in time.
def test_requests_that_would_miss_their_target_leave() -> None:
    candidates = [_make_candidate("huon-1", 600), _make_candidate("bruny-1", 0)]
    figures = _make_figures(600, {"bruny": 0})
    decisions = _list_decisions(
        candidates, figures, _STAYING, crossing_ms=5_000, target_ms=500
    )
    assert set(decisions) == {("bruny", zone_overflow.Reason.TARGET)}
    # Where the others would miss it too, the price decides.
    late = [_make_candidate("huon-1", 600), _make_candidate("bruny-1", 550)]
    decisions = _list_decisions(
        late,
        _make_figures(600, {"bruny": 550}),
        crossing_ms=5_000,
        target_ms=500,
    )
    assert _share(decisions, "huon") == 1


@pytest.mark.parametrize(
    ("crossing_ms", "zone"), [(50.0, "bruny"), (900.0, "huon")]
)
def test_reading_parts_again_is_weighed_against_the_crossing(
    crossing_ms: float, zone: str
) -> None:
    candidates = [
        _make_candidate("huon-1", cost_ms=900),
        _make_candidate("bruny-1", cost_ms=100),
        _make_candidate("bruny-2", cost_ms=900),
    ]
    figures = _make_figures(0, {"bruny": 0})
    decision = zone_overflow.narrow_candidates(
        candidates, "huon", figures, _STAYING, _make_need(0, crossing_ms)
    )
    assert {found.upstream.zone for found in decision.candidates} == {zone}
    if zone == "bruny":
        assert decision.reason is zone_overflow.Reason.PART
        assert decision.candidates == [candidates[1]]


def test_a_part_is_read_again_when_its_holder_is_overloaded() -> None:
    candidates = [
        _make_candidate("huon-1", cost_ms=900),
        _make_candidate("bruny-1", delay_ms=900, cost_ms=100),
    ]
    decision = zone_overflow.narrow_candidates(
        candidates,
        "huon",
        _make_figures(0, {"bruny": 900}),
        _STAYING,
        _make_need(),
    )
    assert decision.candidates == candidates[:1]


def test_plain_requests_leave_a_full_zone_only() -> None:
    figures = _make_figures(0, {"bruny": 0})
    for load, far_load, zone in (
        (40, 0, "huon"),
        (50, 0, "bruny"),
        (50, 50, "huon"),
    ):
        candidates = [
            _make_candidate("huon-1", load=load),
            _make_candidate("bruny-1", load=far_load),
        ]
        decision = zone_overflow.narrow_candidates(
            candidates, "huon", figures, _STAYING, _make_need(key=None)
        )
        assert [found.upstream.zone for found in decision.candidates] == [zone]


# Guards against requests that wait for a place while other zones have some.
def test_generations_leave_a_zone_without_a_free_place() -> None:
    figures = _make_figures(0, {"bruny": 0})
    for loads, names in (
        ((63, 64), ["huon-1"]),
        ((64, 64), ["bruny-1"]),
        ((64, 64, 64), ["huon-1", "huon-2"]),
    ):
        candidates = [
            _make_candidate("huon-1", load=loads[0]),
            _make_candidate("huon-2", load=loads[1]),
            _make_candidate("bruny-1", load=loads[2] if len(loads) > 2 else 0),
        ]
        decision = zone_overflow.narrow_candidates(
            candidates, "huon", figures, _STAYING, _make_need()
        )
        assert [found.upstream.id for found in decision.candidates] == names


def test_leaving_begins_and_ends_at_different_gaps() -> None:
    overflow = zone_overflow.Overflow()
    for now_ms, gap_ms, is_leaving in (
        (0, 90, False),
        (100, 110, True),
        # It lasts for a second at least.
        (500, 0, True),
        (1_200, 60, True),
        (1_300, 10, False),
        (1_400, 500, False),
        (2_300, 500, True),
    ):
        figures = _make_figures(gap_ms, {"bruny": 0})
        overflow = zone_overflow.update_overflow(overflow, figures, now_ms)
        assert overflow.is_leaving == is_leaving, now_ms
