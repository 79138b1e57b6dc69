"""Tests of the choice of an upstream by shared prompts and load."""

from redwingchute.core import forwarding
from redwingchute.request import upstream_choice


def _make_candidates(
    loads: dict[str, float], zones: dict[str, str] | None = None
) -> list[upstream_choice.Candidate]:
    return [
        upstream_choice.Candidate(
            forwarding.Upstream(
                name, "llm", "h:1", (zones or {}).get(name, "huon"), True, 8
            ),
            load,
        )
        for name, load in loads.items()
    ]


def _choose(loads: dict[str, float], key: str | None) -> str:
    chosen = upstream_choice.choose_upstream(
        _make_candidates(loads), key, "huon", "request"
    )
    assert chosen is not None
    return chosen.upstream.id


def test_requests_with_the_same_shared_prompt_go_to_one_upstream() -> None:
    idle = dict.fromkeys("abcdef", 0.0)
    assert len({_choose(idle, "prompt-1") for _ in range(20)}) == 1


def test_shared_prompts_spread_over_upstreams() -> None:
    idle = dict.fromkeys("abcdef", 0.0)
    assert len({_choose(idle, f"prompt-{n}") for n in range(60)}) == 6


def test_a_popular_prompt_avoids_an_overloaded_upstream() -> None:
    idle = dict.fromkeys("abcdef", 1.0)
    chosen_id = _choose(idle, "hot")
    assert _choose({**idle, chosen_id: 20.0}, "hot") != chosen_id


def test_other_prompts_keep_their_upstream_when_one_is_removed() -> None:
    idle = dict.fromkeys("abcdef", 0.0)
    chosen_ids = {n: _choose(idle, f"prompt-{n}") for n in range(60)}
    remaining = dict.fromkeys("abcde", 0.0)
    moved = [
        n
        for n, chosen_id in chosen_ids.items()
        if chosen_id != "f" and _choose(remaining, f"prompt-{n}") != chosen_id
    ]
    assert not moved


def test_plain_requests_go_to_the_least_loaded_upstream_in_zone() -> None:
    candidates = _make_candidates(
        {"a": 1.0, "b": 0.0, "c": 0.0}, {"b": "bruny", "c": "huon"}
    )
    chosen = upstream_choice.choose_upstream(candidates, None, "huon", "r")
    assert chosen is not None
    assert chosen.upstream.id == "c"


def test_the_affinity_key_is_the_last_shared_part() -> None:
    part = forwarding.PromptPart
    generation = forwarding.Generation(
        1_460, 80, (part("a", 800), part("b", 410), part("c", 250))
    )
    assert upstream_choice.find_affinity_key(generation) == "b"
    assert upstream_choice.find_affinity_key(None) is None


def test_no_upstream_is_chosen_without_candidates() -> None:
    assert upstream_choice.choose_upstream([], "k", "huon", "r") is None
