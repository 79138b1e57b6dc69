"""Tests of one account's grant at a router."""

import attrs

from redwingchute.core import prepaid
from redwingchute.process.prepaid import grant as grant_lib

_ROW = prepaid.GrantRow("yield", "huon-1", 1_000, 400, 100.0, 0, 0.0)
_STAMP_MS = 50_000


def _make_grant() -> grant_lib.Grant:
    grant = grant_lib.Grant("yield")
    grant.record_appended_row(_ROW, _STAMP_MS)
    return grant


def test_the_ceiling_limits_reservations_while_the_stamp_is_recent() -> None:
    grant = _make_grant()
    assert not grant.reserve(500, _STAMP_MS)
    assert grant.reserve(400, _STAMP_MS)
    assert not grant.reserve(1, _STAMP_MS)


def test_the_ceiling_rises_until_the_grant_is_reached() -> None:
    grant = _make_grant()
    assert grant.find_available(_STAMP_MS + 1_000) == 500
    assert grant.reserve(1_000, _STAMP_MS + 20_000)
    assert not grant.reserve(1, _STAMP_MS + 20_000)


def test_the_time_until_the_ceiling_allows_a_request() -> None:
    grant = _make_grant()
    wait_ms = grant.find_wait_ms(600, _STAMP_MS + 500)
    assert wait_ms is not None
    assert 1_500 <= wait_ms <= 1_520
    assert grant.find_wait_ms(1_001, _STAMP_MS) is None


def test_a_sent_row_limits_reservations_before_its_outcome_is_known() -> None:
    grant = _make_grant()
    row = attrs.evolve(_ROW, ceiling_tokens=100)
    grant.record_sent_append(row, _STAMP_MS)
    assert grant.find_available(_STAMP_MS) == 100
    grant.discard_sent_row(row)
    assert grant.find_available(_STAMP_MS) == 400


def test_a_newer_stamp_lowers_the_ceiling_of_the_last_row() -> None:
    grant = _make_grant()
    grant.record_sent_append(None, _STAMP_MS + 2_000)
    assert grant.find_available(_STAMP_MS + 2_000) == 400


def test_committed_tokens_above_the_ceiling_are_detected() -> None:
    grant = _make_grant()
    grant.reserve(450, _STAMP_MS + 1_000)
    assert grant.is_above_ceiling


def test_a_process_without_a_row_in_the_log_reserves_nothing() -> None:
    grant = grant_lib.Grant("yield")
    grant.inherit(_ROW, 0)
    grant.release_unspent(_ROW, 400)
    assert not grant.reserve(1, 100)
    assert grant.find_wait_ms(1, 100) is None


def test_a_raise_takes_effect_only_after_its_append() -> None:
    grant = _make_grant()
    raised = attrs.evolve(_ROW, granted_tokens=2_000, ceiling_tokens=2_000)
    grant.record_sent_append(raised, _STAMP_MS)
    assert grant.find_available(_STAMP_MS + 60_000) == 1_000
    grant.record_appended_row(raised, _STAMP_MS)
    assert grant.find_available(_STAMP_MS) == 2_000


def test_a_grant_is_not_lowered_below_the_committed_tokens() -> None:
    grant = _make_grant()
    grant.reserve(300, _STAMP_MS)
    grant.lower(100)
    assert grant.granted_tokens == 300


def test_settling_releases_unused_tokens() -> None:
    grant = _make_grant()
    grant.reserve(300, _STAMP_MS)
    grant.settle(300, 120)
    assert (grant.spent_tokens, grant.reserved_tokens) == (120, 0)


def test_tokens_that_may_have_been_spent_count_as_spent() -> None:
    grant = grant_lib.Grant("yield")
    grant.inherit(attrs.evolve(_ROW, spent_tokens=150), 0)
    assert grant.spent_tokens == 1_000
    assert grant.unsure_tokens == 850
    assert grant.release_unspent(_ROW, 400) == 600
    assert grant.spent_tokens == 400
    assert grant.unsure_tokens == 250


def test_the_first_requests_give_a_realistic_demand() -> None:
    grant = grant_lib.Grant("yield")
    for time_ms in range(0, 1_000, 100):
        grant.record_demand(100, time_ms)
    assert 250 <= grant.find_demand(1_000) <= 1_100


def test_the_successor_continues_with_the_demand_of_its_predecessor() -> None:
    grant = grant_lib.Grant("yield")
    grant.inherit(attrs.evolve(_ROW, demand_tokens_per_s=500.0), 7_000)
    assert 450 <= grant.find_demand(7_100) <= 850


def test_exposed_tokens_are_those_without_a_record() -> None:
    grant = _make_grant()
    assert grant.find_exposed(_STAMP_MS) == 400
    assert grant.find_exposed(_STAMP_MS + 1_000) == 500
    row = attrs.evolve(_ROW, ceiling_tokens=450, spent_tokens=400)
    grant.record_appended_row(row, _STAMP_MS)
    totals = grant_lib.sum_grants([grant], _STAMP_MS)
    assert totals.exposed_tokens == {"yield": 50}
    assert totals.granted_tokens == 1_000
