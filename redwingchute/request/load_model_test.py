"""Tests of load and speed estimates between load reports."""

import pytest

from redwingchute.core import requesting
from redwingchute.request import load_model
from redwingchute.testing import request_builders as builders


def _make_load(sharing_routers: int = 1) -> load_model.UpstreamLoad:
    return load_model.UpstreamLoad(builders.make_upstream(), sharing_routers)


def _start(load: load_model.UpstreamLoad, ids: range, now_ms: int = 0) -> None:
    for ticket_id in ids:
        load.record_start(builders.make_ticket(ticket_id), now_ms)


def test_attempts_since_the_report_are_counted_once() -> None:
    load = _make_load(sharing_routers=8)
    _start(load, range(3), now_ms=0)
    # At 1,000 the upstream ran three own attempts and two of other routers.
    _start(load, range(3, 5), now_ms=1_500)
    load.record_end(0, 2_000, None)
    load.handle_load_report(requesting.LoadReport(5, 0, 8, 1_000), 3_000)
    assert load.estimate_other_requests() == 2
    assert load.estimate_occupancy() == 6
    # The router may use half of the three free slots, which is two, and has
    # used one of them since the report.
    assert load.count_free_slots() == 1
    # An older report that arrives later is ignored.
    load.handle_load_report(requesting.LoadReport(8, 4, 8, 500), 3_100)
    assert load.estimate_other_requests() == 2


@pytest.mark.parametrize(
    ("sharing_routers", "report", "expected_free"),
    [
        (1, None, 8),
        (8, None, 8),
        (1, (0, 0), 8),
        (8, (0, 0), 4),
        (16, (0, 0), 2),
        (4, (8, 0), 2),  # The even share; the engine queues its requests.
        (1, (8, 3), 8),
        (2, (6, 0), 4),
        (8, (7, 0), 1),
    ],
)
def test_routers_share_the_free_slots(
    sharing_routers: int,
    report: tuple[int, int] | None,
    expected_free: int,
) -> None:
    load = _make_load(sharing_routers)
    if report is not None:
        load.handle_load_report(requesting.LoadReport(*report, 8, 0), 0)
    assert load.count_free_slots() == expected_free


def test_speeds_follow_complete_responses_only() -> None:
    load = _make_load()
    for ticket_id in range(30):
        now_ms = ticket_id * 10_000
        load.record_start(builders.make_ticket(ticket_id), now_ms)
        load.record_first_token(ticket_id, now_ms + 100)
        load.record_end(ticket_id, now_ms + 100 + 99 * 40, 100)
    assert load.output_token_ms == pytest.approx(40, rel=0.01)
    assert load.prefill_token_ms == pytest.approx(1, rel=0.01)
    speed_ms = load.output_token_ms
    load.record_start(builders.make_ticket(99), 0)
    load.record_end(99, 1, None)
    assert load.output_token_ms == speed_ms


def test_slot_times_follow_the_expected_ends() -> None:
    load = _make_load()
    load.record_start(builders.make_ticket(1, prompt_tokens=0), 0)
    times = sorted(load.list_slot_available_ms(500))
    assert times == [500.0] * 7 + [2_000.0]
    # The expected end of an overdue attempt is in the near future.
    assert max(load.list_slot_available_ms(9_000)) == 9_200.0
