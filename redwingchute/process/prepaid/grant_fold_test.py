"""Tests of the fold of grant rows across eras of the log."""

from redwingchute.core import prepaid
from redwingchute.process.prepaid import grant_fold

_ACCOUNT = "yield"


def _make_row(host: str, granted_tokens: int, era: int) -> prepaid.GrantRow:
    return prepaid.GrantRow(
        _ACCOUNT, host, granted_tokens, 0, 0.0, 0, 0.0, era=era
    )


def _make_stamp(
    host: str, era: int, epoch: int = 1, is_leaving: bool = False
) -> prepaid.HostStamp:
    return prepaid.HostStamp(
        host, "huon", f"{host}:1", epoch, 0, 0, is_leaving, era
    )


def _make_fold(*records: grant_fold.Record) -> grant_fold.GrantFold:
    """Returns a fold of era 1."""
    fold = grant_fold.GrantFold()
    fold.begin_era(1)
    for record in records:
        fold.apply_record(record)
    return fold


def test_nothing_can_be_raised_before_all_hosts_confirmed() -> None:
    fold = _make_fold(_make_stamp("a", 1), _make_stamp("b", 0))
    assert not fold.can_raise
    fold.apply_record(_make_stamp("b", 1))
    assert fold.can_raise


def test_a_closure_counts_what_no_host_accounts_for() -> None:
    fold = _make_fold(
        _make_stamp("a", 1),
        _make_row("a", 200, 1),
        _make_stamp("b", 0),
        prepaid.EraClosure(1, {_ACCOUNT: 800}),
    )
    assert fold.can_raise
    assert fold.sum_granted(_ACCOUNT) == 1_000
    fold.apply_record(_make_row("b", 300, 1))
    fold.apply_record(_make_stamp("b", 1))
    assert fold.sum_granted(_ACCOUNT) == 500


# Guards against a late append of a dead host that lowers what counts as spent.
def test_a_late_row_of_an_earlier_era_frees_no_tokens() -> None:
    fold = _make_fold(
        _make_stamp("b", 0),
        _make_row("b", 500, 0),
        prepaid.EraClosure(1, {_ACCOUNT: 1_000}),
    )
    before = fold.sum_granted(_ACCOUNT)
    fold.apply_record(_make_row("b", 100, 0))
    assert fold.sum_granted(_ACCOUNT) == before == 1_000


def test_a_closure_of_an_earlier_era_does_not_count() -> None:
    fold = _make_fold(
        _make_stamp("b", 0), prepaid.EraClosure(0, {_ACCOUNT: 1_000})
    )
    assert not fold.can_raise


def test_rows_of_a_host_that_left_before_the_copy_count() -> None:
    fold = _make_fold(
        _make_stamp("b", 0, is_leaving=True), _make_row("b", 500, 0)
    )
    assert fold.can_raise
    assert fold.sum_granted(_ACCOUNT) == 500


# Guards against a host that started after the copy and is unknown to others.
def test_lost_stamps_are_to_be_restored() -> None:
    fold = grant_fold.GrantFold()
    fold.apply_record(_make_stamp("new", 0))
    fold.apply_record(_make_stamp("again", 0, epoch=2))
    fold.apply_record(_make_stamp("known", 0))
    fold.begin_era(1)
    fold.apply_record(_make_stamp("again", 0, epoch=1, is_leaving=True))
    fold.apply_record(_make_stamp("known", 0))
    missing = [stamp.host for stamp in fold.list_missing_stamps()]
    assert missing == ["new", "again"]


def test_a_closure_is_encoded_and_decoded() -> None:
    closure = prepaid.EraClosure(3, {_ACCOUNT: 7})
    value = grant_fold.encode_closure(closure).value
    assert value is not None
    assert grant_fold.decode_record(value) == closure
