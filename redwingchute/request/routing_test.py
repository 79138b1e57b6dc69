"""Tests of the choice of an upstream by expected completion."""

import pytest

from redwingchute.request import load_model
from redwingchute.request import routing
from redwingchute.testing import request_builders as builders


def _make_candidate(
    name: str,
    own_count: int = 0,
    output_token_ms: float = 20.0,
    cached_share: float = 0.0,
    is_local: bool = True,
    start_ms: float = 0.0,
) -> routing.Candidate:
    load = load_model.UpstreamLoad(builders.make_upstream(name))
    for ticket_id in range(own_count):
        load.record_start(builders.make_ticket(ticket_id), 0)
    load.output_token_ms = output_token_ms
    load.prefill_token_ms = 1.0
    return routing.Candidate(load, cached_share, is_local, start_ms)


_Candidate = routing.Candidate


@pytest.mark.parametrize(
    ("case", "candidates", "expected"),
    [
        (
            "Among equals the least loaded one is chosen.",
            [_make_candidate("a", own_count=2), _make_candidate("b")],
            "b",
        ),
        (
            "A slow upstream is avoided even if it is less loaded.",
            [
                _make_candidate("a", output_token_ms=80),
                _make_candidate("b", own_count=7),
            ],
            "b",
        ),
        (
            "A slow upstream that is free is chosen over a long wait.",
            [
                _make_candidate("a", output_token_ms=40),
                _make_candidate("b", own_count=8, start_ms=3_000),
            ],
            "a",
        ),
        (
            "A cached prefix decides among equals.",
            [_make_candidate("a"), _make_candidate("b", cached_share=0.9)],
            "b",
        ),
        (
            "A cached prefix does not count on a heavily loaded upstream.",
            [
                _make_candidate("a"),
                _make_candidate("b", own_count=7, cached_share=0.9),
            ],
            "a",
        ),
        (
            "An upstream of the router's zone is preferred.",
            [_make_candidate("a", is_local=False), _make_candidate("b", 3)],
            "b",
        ),
        (
            "Another zone is chosen when it completes much earlier.",
            [
                _make_candidate("a", is_local=False),
                _make_candidate("b", start_ms=1_000),
            ],
            "a",
        ),
        ("There is no candidate.", [], None),
    ],
)
def test_the_earliest_expected_completion_is_chosen(
    case: str, candidates: list[_Candidate], expected: str | None
) -> None:
    choice = routing.choose_upstream(builders.make_ticket(), candidates)
    chosen = None if choice is None else choice.load.upstream.name
    assert chosen == expected, case
