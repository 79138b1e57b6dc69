"""Tests of how much a read of the shared log asks for."""

from redwingchute.process import read_size

_MBPS = 125_000
_RECORD_BYTES = 262_144
_DEFAULT_BYTES = 1024 * 1024


def _make_size(link_mbps: float) -> read_size.ReadSize:
    return read_size.ReadSize(
        read_size.ReadLimits(link_mbps * _MBPS, _RECORD_BYTES)
    )


def test_a_wide_link_asks_for_what_the_log_returns_by_default() -> None:
    assert _make_size(1_000).choose_bytes() == _DEFAULT_BYTES


def test_a_read_can_always_return_the_largest_record() -> None:
    chosen = _make_size(0.1).choose_bytes()
    assert _RECORD_BYTES < chosen < _DEFAULT_BYTES


# Guards against reads as large as before over a link that became narrow.
def test_a_link_that_became_narrow_is_asked_for_less_at_once() -> None:
    size = _make_size(100)
    size.record(_DEFAULT_BYTES, 1_600)
    assert size.choose_bytes() < _DEFAULT_BYTES // 2
    for _ in range(40):
        size.record(_DEFAULT_BYTES, 100)
    assert size.choose_bytes() == _DEFAULT_BYTES


def test_a_short_transfer_shows_no_width() -> None:
    size = _make_size(100)
    size.record(2_000, 400)
    size.record(_DEFAULT_BYTES, 0)
    assert size.bytes_per_s == 100 * _MBPS
