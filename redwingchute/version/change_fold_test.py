"""Tests of the fold of the configuration stream."""

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from redwingchute.core import configuration
from redwingchute.testing import configuration_builders as builders
from redwingchute.version import change_fold
from redwingchute.version import changes
from redwingchute.version import loader
from redwingchute.wire import codec
from redwingchute.wire import registry


def _make_record(
    number: int,
    change: changes.Change,
    expected_version: int = 0,
    author: str = "ada",
) -> changes.ConfigurationChange:
    """Returns a change whose record id is its number."""
    return changes.ConfigurationChange(
        number.to_bytes(16), author, "test", 1_000, expected_version, change
    )


def _make_document(
    source: configuration.Configuration | None = None,
) -> changes.ReplaceDocument:
    """Returns the change that sets a whole configuration."""
    text = loader.dump_configuration(source or builders.make_configuration())
    return changes.ReplaceDocument(loader.compress_document(text))


def _fold(*records: changes.Record | None) -> change_fold.ConfigurationFold:
    """Returns the fold of records at consecutive offsets from 0."""
    return change_fold.fold_records(
        change_fold.StreamRecord(offset, record)
        for offset, record in enumerate(records)
    )


def _find_verdict(
    fold: change_fold.ConfigurationFold, number: int
) -> changes.ChangeVerdict:
    """Returns the verdict on a numbered record."""
    verdict = fold.find_verdict(number.to_bytes(16))
    assert verdict is not None
    return verdict


_NEW_MODEL = configuration.Model("big", (builders.make_upstream("b", 9_000),))
_EXAMPLES: tuple[changes.Change, ...] = (
    changes.PutClientAccount(builders.make_account()),
    changes.CreateClientAccount(
        attrs.evolve(builders.make_account("tamar"), time_zone="UTC")
    ),
    changes.SuspendClientAccount(builders.ACCOUNT),
    changes.ResumeClientAccount(builders.ACCOUNT),
    changes.SetClientAccountBudget(builders.ACCOUNT, builders.BUDGET),
    changes.SetClientAccountTimeZone(builders.ACCOUNT, "Australia/Perth"),
    changes.AddClientKey(builders.ACCOUNT, builders.hash_key("new")),
    changes.RemoveClientKey(
        builders.ACCOUNT, builders.hash_key(builders.CLIENT_KEY)
    ),
    changes.AllowModel(builders.ACCOUNT, builders.MODEL),
    changes.ForbidModel(builders.ACCOUNT, builders.MODEL),
    changes.AllowService(builders.ACCOUNT, builders.SERVICE),
    changes.ForbidService(builders.ACCOUNT, builders.SERVICE),
    changes.SetPatience(
        builders.ACCOUNT,
        configuration.WorkKind.BATCH,
        (
            configuration.PatienceRule(
                configuration.WorkKind.BATCH, 0, 1_440, (6, 7), 60_000, 5
            ),
        ),
    ),
    changes.PutBudget(configuration.Budget("sheets", 0.5, 4_000)),
    changes.SetReserve(builders.BUDGET, 0.25),
    changes.SetRetry(configuration.RetryPolicy(0.2, 2, 10, 500)),
    changes.DrainUpstream("runner-1"),
    changes.ReturnUpstream("ledger-1"),
    changes.PutModel(_NEW_MODEL),
    changes.PutService(configuration.Service("sheets", (), False, 3)),
    changes.PutOperator(
        configuration.Operator(
            "di", builders.hash_key("di"), configuration.Role.BUDGET
        )
    ),
    changes.RemoveOperator("cy"),
    _make_document(),
)


@pytest.mark.parametrize("change", _EXAMPLES, ids=lambda c: type(c).__name__)
def test_every_change_survives_a_round_trip_and_applies(
    change: changes.Change,
) -> None:
    record = _make_record(2, change)
    wire_codec = registry.make_codec()
    decoded = wire_codec.decode(wire_codec.encode(record))
    assert decoded == codec.Decoded(0, record)
    fold = _fold(_make_record(1, _make_document()), record)
    assert _find_verdict(fold, 2).code == changes.ChangeCode.APPLIED
    assert fold.current.version == 2
    assert fold.audit[-1].before or fold.audit[-1].after


def test_the_verdict_on_a_lost_race_names_the_winner() -> None:
    fold = _fold(
        _make_record(1, _make_document()),
        _make_record(2, changes.SetReserve(builders.BUDGET, 0.5), 1, "bo"),
        _make_record(3, changes.SetReserve(builders.BUDGET, 0.1), 1, "ada"),
    )
    verdict = _find_verdict(fold, 3)
    assert verdict.code == changes.ChangeCode.LOST_RACE
    assert (verdict.version, verdict.winner) == (2, "bo")
    assert fold.current.budgets[0].reserve_share == 0.5
    assert fold.audit[-1].code == changes.ChangeCode.LOST_RACE


def test_a_repeated_record_id_has_no_effect() -> None:
    drain = _make_record(2, changes.DrainUpstream("runner-1"))
    fold = _fold(
        _make_record(1, _make_document()),
        drain,
        _make_record(3, changes.ReturnUpstream("runner-1")),
        drain,
    )
    assert not fold.current.models[0].upstreams[0].is_drained
    assert fold.current.version == 3
    assert len(fold.audit) == 3


_INVALID: list[tuple[changes.Change, str]] = [
    (changes.AllowModel(builders.ACCOUNT, "none"), "no model"),
    (changes.AllowModel("nobody", builders.MODEL), "no client account"),
    (changes.ForbidService(builders.ACCOUNT, "none"), "not there"),
    (changes.SetReserve("none", 0.5), "no budget"),
    (changes.SetReserve(builders.BUDGET, 1.5), "between"),
    (changes.SetClientAccountTimeZone(builders.ACCOUNT, "X"), "IANA"),
    (changes.CreateClientAccount(builders.make_account()), "already"),
    (changes.RemoveOperator("none"), "no operator"),
    (changes.DrainUpstream("none"), "no upstream"),
    (changes.AddClientKey(builders.ACCOUNT, "secret"), "SHA-256"),
    (changes.ReplaceDocument(b"noise"), "compressed"),
    (
        changes.ReplaceDocument(loader.compress_document('{"retry": 1}')),
        "$.retry",
    ),
]


@pytest.mark.parametrize(("change", "expected_text"), _INVALID)
def test_an_invalid_change_leaves_the_version_in_force(
    change: changes.Change, expected_text: str
) -> None:
    fold = _fold(_make_record(1, _make_document()), _make_record(2, change))
    verdict = _find_verdict(fold, 2)
    assert verdict.code == changes.ChangeCode.INVALID
    assert expected_text in verdict.message
    assert fold.current == builders.make_configuration(version=1)


def test_notes_and_unknown_records_change_no_version() -> None:
    note = changes.AuditNote(
        bytes(16), "", "why", 5, "top up", "yield-books", "", "", True
    )
    fold = _fold(_make_record(1, _make_document()), note, None, note)
    assert fold.current.version == 1
    assert fold.next_offset == 4
    assert fold.unknown_records == 1
    assert [entry.code for entry in fold.audit] == [
        changes.ChangeCode.APPLIED,
        changes.ChangeCode.REFUSED,
    ]


def test_a_reader_behind_retention_waits_for_a_checkpoint() -> None:
    fold = _fold(_make_record(1, _make_document()))
    writer = _fold(
        _make_record(1, _make_document()),
        _make_record(2, changes.SetReserve(builders.BUDGET, 0.5)),
        _make_record(3, changes.DrainUpstream("runner-1")),
    )
    fold.skip_to(2)
    drain = _make_record(3, changes.DrainUpstream("runner-1"))
    fold.apply(change_fold.StreamRecord(2, drain))
    assert fold.current.version == 1
    assert not fold.has_complete_state
    checkpoint = writer.make_checkpoint()
    fold.apply(change_fold.StreamRecord(3, checkpoint))
    assert fold.has_complete_state
    assert fold.current == writer.current
    assert fold.audit == writer.audit
    assert fold.next_offset == 4


def test_an_older_checkpoint_never_lowers_the_version() -> None:
    old_checkpoint = _fold(_make_record(1, _make_document())).make_checkpoint()
    fold = _fold(
        _make_record(1, _make_document()),
        _make_record(2, changes.SetReserve(builders.BUDGET, 0.5)),
    )
    assert not fold.adopt_checkpoint(old_checkpoint)
    fold.skip_to(9)
    assert not fold.adopt_checkpoint(old_checkpoint)
    newer_offset = attrs.evolve(old_checkpoint, next_offset=10)
    assert not fold.adopt_checkpoint(newer_offset)
    assert fold.current.version == 2


def test_an_older_checkpoint_removes_no_audit_entry() -> None:
    start = _make_record(1, _make_document())
    old_checkpoint = _fold(start).make_checkpoint()
    note = changes.AuditNote(
        bytes(16), "ada", "why", 5, "top up", "yield-books", "", "", False
    )
    fold = _fold(start, note)
    assert not fold.adopt_checkpoint(old_checkpoint)
    assert fold.next_offset == 2
    assert len(fold.audit) == 2


def test_an_unreadable_checkpoint_is_not_adopted() -> None:
    fold = change_fold.ConfigurationFold()
    good = _fold(_make_record(1, _make_document())).make_checkpoint()
    assert not fold.adopt_checkpoint(attrs.evolve(good, document=b"x"))
    assert fold.adopt_checkpoint(good)


_CHANGES = strategies.builds(
    _make_record,
    strategies.integers(2, 9),
    strategies.sampled_from([*_EXAMPLES, *(item for item, _ in _INVALID)]),
    strategies.sampled_from([0, 0, 0, 1, 2, 3, 4]),
    strategies.sampled_from(["ada", "bo"]),
)


@hypothesis.given(strategies.lists(_CHANGES, max_size=10), strategies.data())
def test_readers_agree_wherever_they_start(
    records: list[changes.ConfigurationChange], data: strategies.DataObject
) -> None:
    all_records = [_make_record(1, _make_document()), *records]
    full = _fold(*all_records)
    start = data.draw(strategies.integers(0, len(all_records)))
    late = change_fold.ConfigurationFold()
    late.adopt_checkpoint(_fold(*all_records[:start]).make_checkpoint())
    versions = [late.current.version]
    for offset, record in enumerate(all_records):
        late.apply(change_fold.StreamRecord(offset, record))
        versions.append(late.current.version)
    assert versions == sorted(versions)
    assert late.make_checkpoint() == full.make_checkpoint()
    wire_codec = registry.make_codec()
    checkpoint = full.make_checkpoint()
    decoded = wire_codec.decode(wire_codec.encode(checkpoint))
    assert decoded == codec.Decoded(0, checkpoint)
