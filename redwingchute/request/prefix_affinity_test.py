"""Tests of prefix digests and of cache events with gaps."""

import pytest

from redwingchute.request import prefix_affinity

_STORED = prefix_affinity.CacheEvent


def test_digests_are_salted_per_account_and_chain() -> None:
    prompt = b"x" * 1_000
    salt = prefix_affinity.make_cache_salt("derwent")
    digests = prefix_affinity.make_prefix_digests(salt, prompt)
    assert len(digests) == len(set(digests)) == 3
    longer = prefix_affinity.make_prefix_digests(salt, prompt + b"y" * 256)
    assert longer[:3] == digests
    other_salt = prefix_affinity.make_cache_salt("karri")
    others = prefix_affinity.make_prefix_digests(other_salt, prompt)
    assert not set(others) & set(digests)


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([_STORED(1, b"a", True), _STORED(2, b"b", True)], 1.0),
        ([_STORED(1, b"a", True)], 0.5),
        ([_STORED(1, b"b", True)], 0.0),
        ([_STORED(1, b"a", True), _STORED(2, b"a", False)], 0.0),
        # Repeated events count once; one that came late is passed over.
        ([_STORED(2, b"a", True), _STORED(1, b"a", False)], 0.5),
        # What lies before a gap is worth half, what comes after it whole.
        ([_STORED(1, b"a", True), _STORED(5, b"b", True)], 0.75),
    ],
)
def test_cached_share(
    events: list[prefix_affinity.CacheEvent], expected: float
) -> None:
    index = prefix_affinity.PrefixIndex()
    index.note_events(events)
    assert index.estimate_cached_share((b"a", b"b")) == expected
    index.forget_all()
    assert index.estimate_cached_share((b"a", b"b")) == 0.0


def test_index_is_bounded() -> None:
    index = prefix_affinity.PrefixIndex()
    index.note_dispatch(b"%d" % number for number in range(10_000))
    assert index.estimate_cached_share((b"0",)) == 0.0
    assert index.estimate_cached_share((b"9999",)) == 1.0
