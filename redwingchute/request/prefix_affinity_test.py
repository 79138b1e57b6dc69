"""Tests of prefix digests and of cache events with gaps."""

import pytest

from redwingchute.request import prefix_affinity
from redwingchute.standin import completions

_Event = prefix_affinity.CacheEvent


def test_digests_are_chained_and_salted_per_account() -> None:
    prompt = " ".join(f"word{number}" for number in range(50))
    salt = prefix_affinity.make_cache_salt("derwent")
    digests = prefix_affinity.make_prefix_digests(salt, prompt)
    assert len(digests) == len(set(digests)) == 3
    longer = prefix_affinity.make_prefix_digests(salt, prompt + " more" * 20)
    assert longer[:3] == digests
    other_salt = prefix_affinity.make_cache_salt("karri")
    others = prefix_affinity.make_prefix_digests(other_salt, prompt)
    assert not set(others) & set(digests)


@pytest.mark.parametrize("word_count", [0, 15, 16, 17, 100, 1_024])
def test_digests_equal_those_that_engines_publish(word_count: int) -> None:
    prompt = " ".join(f"w{number}" for number in range(word_count))
    published = [
        bytes.fromhex(block)
        for block in completions.hash_prefix_blocks("salt", prompt)
    ]
    digests = prefix_affinity.make_prefix_digests("salt", prompt)
    assert list(digests) == published[: prefix_affinity.MAX_BLOCKS]


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([_Event(1, b"a", True), _Event(2, b"b", True)], 1.0),
        ([_Event(1, b"a", True)], 0.5),
        ([_Event(1, b"b", True)], 0.0),
        ([_Event(1, b"a", True), _Event(2, b"a", False)], 0.0),
        # An event that arrives after a later one is ignored.
        ([_Event(2, b"a", True), _Event(1, b"a", False)], 0.5),
        # After a gap the older entries count half, newer ones fully.
        ([_Event(1, b"a", True), _Event(5, b"b", True)], 0.75),
    ],
)
def test_cached_share_follows_cache_events(
    events: list[prefix_affinity.CacheEvent], expected: float
) -> None:
    index = prefix_affinity.PrefixIndex()
    index.handle_cache_events(events)
    assert index.estimate_cached_share((b"a", b"b")) == expected
    index.clear()
    assert index.estimate_cached_share((b"a", b"b")) == 0.0


def test_index_is_bounded() -> None:
    index = prefix_affinity.PrefixIndex()
    index.record_dispatch(b"%d" % number for number in range(10_000))
    assert index.estimate_cached_share((b"0",)) == 0.0
    assert index.estimate_cached_share((b"9999",)) == 1.0
