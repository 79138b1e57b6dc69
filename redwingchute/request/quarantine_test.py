"""Tests of which requests are quarantined after crashes, and for whom."""

import pytest

from redwingchute.core import requesting
from redwingchute.request import quarantine
from redwingchute.wire import codec
from redwingchute.wire import registry

_KEY = quarantine.RequestKey("derwent", b"poison")


def _make_crash(
    upstream: str, attempt_id: str, account: str = "derwent", at_ms: int = 0
) -> requesting.CrashNotice:
    return requesting.CrashNotice(
        account, b"poison", upstream, attempt_id, at_ms
    )


@pytest.mark.parametrize(
    ("crashes", "is_refused"),
    [
        ([_make_crash("r1", "a1")], False),
        ([_make_crash("r1", "a1"), _make_crash("r2", "a2")], True),
        # The same crash is reported twice.
        ([_make_crash("r1", "a1"), _make_crash("r1", "a1")], False),
        # Crashes of a single upstream do not show that the request is the
        # cause.
        ([_make_crash("r1", "a1"), _make_crash("r1", "a2")], False),
        # A crash under another account's request counts for that account only.
        ([_make_crash("r1", "a1"), _make_crash("r2", "a2", "karri")], False),
        # The first crash is outside the window.
        (
            [_make_crash("r1", "a1", at_ms=-900_000), _make_crash("r2", "a2")],
            False,
        ),
    ],
)
def test_crashes_of_two_upstreams_set_a_quarantine(
    crashes: list[requesting.CrashNotice], is_refused: bool
) -> None:
    subject = quarantine.Quarantine("router-1")
    notices = [subject.record_crash(crash, 0) for crash in crashes]
    assert (subject.find(_KEY, 0) is not None) is is_refused
    assert (notices[-1] is not None) is is_refused


def test_crashes_observed_by_two_routers_add_up() -> None:
    first = quarantine.Quarantine("router-1")
    second = quarantine.Quarantine("router-2")
    third = quarantine.Quarantine("router-3")
    first.record_crash(_make_crash("r1", "a1"), 0)
    second.record_crash(_make_crash("r1", "a1"), 0)
    notice = second.record_crash(_make_crash("r2", "b1"), 5)
    assert notice is not None
    assert third.handle_notice(notice)
    assert not third.handle_notice(notice)
    assert third.find(_KEY, 6) is not None


def test_quarantine_ends_and_can_be_lifted() -> None:
    subject = quarantine.Quarantine("router-1")
    subject.record_crash(_make_crash("r1", "a1"), 0)
    notice = subject.record_crash(_make_crash("r2", "a2"), 0)
    assert notice is not None
    assert [entry.key for entry in subject.list_entries(0)] == [_KEY]
    assert subject.find(_KEY, quarantine.QUARANTINE_MS) is None
    lifted = subject.lift(_KEY, "operator", 0)
    assert lifted is not None
    assert subject.find(_KEY, 0) is None
    assert not subject.is_suspect(_KEY, 0)
    # Late copies of earlier notices do not set the quarantine again.
    assert not subject.handle_notice(notice)
    subject.record_crash(_make_crash("r1", "a1"), 1)
    subject.record_crash(_make_crash("r2", "a2"), 1)
    assert subject.find(_KEY, 1) is None
    assert subject.lift(_KEY, "operator", 1) is None


def test_crash_records_are_bounded() -> None:
    subject = quarantine.Quarantine("router-1")
    for number in range(5_000):
        subject.record_crash(
            requesting.CrashNotice("a", b"%d" % number, "r1", f"{number}", 0),
            0,
        )
    oldest = quarantine.RequestKey("a", b"0")
    newest = quarantine.RequestKey("a", b"4999")
    assert not subject.is_suspect(oldest, 0)
    assert subject.is_suspect(newest, 0)


@pytest.mark.parametrize(
    "record",
    [
        _make_crash("r1", "a1", at_ms=12),
        requesting.QuarantineNotice("a", b"d", 7, 5, True, "operator"),
        requesting.LeavingNotice("r1", 99),
    ],
)
def test_notices_survive_a_round_trip(record: object) -> None:
    wire_codec = registry.make_codec()
    decoded = wire_codec.decode(wire_codec.encode(record))
    assert decoded == codec.Decoded(0, record)
