"""Tests of the record codec."""

import hypothesis
from hypothesis import strategies

from redwingchute.core import data
from redwingchute.wire import codec
from redwingchute.wire import registry

_BATCH = data.Batch(
    record_id=b"0123456789abcdef",
    epoch=3,
    owner=2**64 - 1,
    entries=(
        data.Credit("yield-books", "invoice-7", 5_000, "ops", "top-up"),
        data.Settle(
            "yield-books", 7, data.GrantKind.RESERVE, b"k", b"d", 12, 99
        ),
        data.Retire(holder=9),
    ),
)


def test_batch_survives_a_round_trip() -> None:
    wire_codec = registry.make_codec()
    decoded = wire_codec.decode(wire_codec.encode(_BATCH, correlation=8))
    assert decoded == codec.Decoded(8, _BATCH)


def test_unknown_kind_is_reported_with_its_body() -> None:
    full = registry.make_codec()
    empty = codec.Codec(())
    result = empty.decode(full.encode(_BATCH))
    assert isinstance(result, codec.UnknownKind)
    assert result.kind == 2
    assert result.body


@hypothesis.given(strategies.binary(max_size=400))
def test_arbitrary_bytes_never_raise(noise: bytes) -> None:
    result = registry.make_codec().decode(noise)
    assert isinstance(
        result, codec.Decoded | codec.UnknownKind | codec.DecodeError
    )


@hypothesis.given(
    strategies.integers(min_value=0, max_value=10_000),
    strategies.integers(min_value=0, max_value=255),
)
def test_changed_bytes_never_raise(position: int, value: int) -> None:
    wire_codec = registry.make_codec()
    encoded = bytearray(wire_codec.encode(_BATCH))
    encoded[position % len(encoded)] = value
    result = wire_codec.decode(bytes(encoded))
    assert isinstance(
        result, codec.Decoded | codec.UnknownKind | codec.DecodeError
    )
