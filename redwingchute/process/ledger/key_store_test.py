"""Tests of the packed store of settled keys."""

import hypothesis
from hypothesis import strategies

from redwingchute.process.ledger import key_store

_KEYS = strategies.binary(min_size=16, max_size=16)


def _make_settled(number: int) -> key_store.SettledKey:
    return key_store.SettledKey(number.to_bytes(8, "big"), number, number % 5)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(_KEYS, strategies.integers(0, 2**32 - 1)),
        max_size=300,
    )
)
def test_table_behaves_like_a_dictionary(
    items: list[tuple[bytes, int]],
) -> None:
    table = key_store.PackedTable()
    expected = {}
    for key, number in items:
        table.set(key, _make_settled(number))
        expected[key] = _make_settled(number)
    copy = key_store.PackedTable(table.pack())
    assert table.count == copy.count == len(expected)
    for key, settled in expected.items():
        assert table.get(key) == copy.get(key) == settled
    assert copy.pack() == table.pack()


def test_key_is_kept_for_its_window_and_removed_later() -> None:
    store = key_store.KeyStore(window_ms=10_000)
    for second in range(31):
        key = second.to_bytes(16, "big")
        store.set(key, _make_settled(second), second * 1_000)
        kept_s = max(0, second - 10)
        assert store.get(kept_s.to_bytes(16, "big")) is not None
    assert store.get(bytes(16)) is None
    assert store.floor_s > 0


def test_packed_key_takes_at_most_forty_bytes() -> None:
    table = key_store.PackedTable()
    for number in range(20_000):
        table.set(number.to_bytes(16, "big"), _make_settled(number))
    assert len(table.pack()) <= 40 * 20_000
