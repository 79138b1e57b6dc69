"""Tests of the modelled prompt caches and prefill speeds."""

import attrs

from redwingchute.core import forwarding
from redwingchute.request import prefill_model
from redwingchute.testing import forwarding_builders

_NOW_MS = 50_000


def test_a_recently_processed_part_is_cached() -> None:
    model = prefill_model.PrefillModel()
    generation = forwarding_builders.make_generation("a", 8_000, 500)
    assert model.count_uncached_tokens("r", generation, _NOW_MS) == 8_500
    model.record_prefill("r", ("a",), _NOW_MS)
    assert model.count_uncached_tokens("r", generation, _NOW_MS + 5_000) == 500
    assert model.count_uncached_tokens("other", generation, _NOW_MS) == 8_500


def test_a_cached_part_expires() -> None:
    model = prefill_model.PrefillModel()
    generation = forwarding_builders.make_generation("a", 8_000, 500)
    model.record_prefill("r", ("a",), _NOW_MS)
    assert (
        model.count_uncached_tokens("r", generation, _NOW_MS + 60_000) == 8_500
    )


def test_an_uncached_shared_part_costs_more_than_its_prefill() -> None:
    model = prefill_model.PrefillModel()
    generation = forwarding_builders.make_generation("a", 8_000, 500)
    cold_ms = model.estimate_cost_ms("r", generation, _NOW_MS)
    assert cold_ms > 8_500 * model.estimate_ms_per_token("r")
    model.record_prefill("r", ("a",), _NOW_MS)
    warm_ms = model.estimate_cost_ms("r", generation, _NOW_MS)
    assert warm_ms == 500 * model.estimate_ms_per_token("r")


def test_the_speed_follows_large_prompts_only() -> None:
    model = prefill_model.PrefillModel()
    for _ in range(40):
        model.record_first_event("slow", 10_000, 1_000)
        model.record_first_event("slow", 200, 1_000)
    assert 0.09 < model.estimate_ms_per_token("slow") < 0.11
    model.remove("slow")
    assert model.estimate_ms_per_token("slow") < 0.11


# Guards against load notices that end with a negative number of tokens.
def test_a_prompt_smaller_than_its_cached_parts_has_nothing_uncached() -> None:
    model = prefill_model.PrefillModel()
    generation = forwarding_builders.make_generation("a", 8_000, 500)
    understated = attrs.evolve(generation, prompt_tokens=7_999)
    model.record_prefill("r", ("a",), _NOW_MS)
    assert model.count_uncached_tokens("r", understated, _NOW_MS) == 0


# Callers whose prompts have parts that no other has made a router remember
# 4,096 of them for each of its upstreams, however many these were.
def test_the_parts_of_all_upstreams_together_are_bounded() -> None:
    model = prefill_model.PrefillModel()
    parts = [
        forwarding.PromptPart(f"{number}", 1_000) for number in range(1_000)
    ]
    upstreams = [f"m-{number}" for number in range(100)]
    for upstream in upstreams * 2:
        model.record_prefill(
            upstream, [part.id for part in parts[::-1]], _NOW_MS
        )
    generation = forwarding.Generation(1_000_000, 1, (*parts, parts[0]))
    cached_parts = [
        1_000 - model.count_uncached_tokens(name, generation, _NOW_MS) // 1_000
        for name in upstreams
    ]
    assert 0 < sum(cached_parts) <= 70_000
