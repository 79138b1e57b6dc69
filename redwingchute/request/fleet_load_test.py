"""Tests of load estimates over all routers and of load notices."""

from redwingchute.core import requesting
from redwingchute.request import fleet_load
from redwingchute.request import load_notice_builder

_NOW_MS = 50_000


def _make_load() -> fleet_load.FleetLoad:
    return fleet_load.FleetLoad(lambda upstream_id: 0.02)


def test_own_requests_count_until_they_end() -> None:
    load = _make_load()
    request = fleet_load.OpenRequest("r", _NOW_MS, waiting_tokens=900)
    load.add(request)
    assert load.count_open("r", _NOW_MS) == 1
    assert load.count_waiting_tokens("r", _NOW_MS) == 900
    request.waiting_tokens = 0
    assert load.count_waiting_tokens("r", _NOW_MS) == 0
    load.remove(request)
    assert load.count_open("r", _NOW_MS) == 0
    assert load.list_own_loads() == ()


def test_equal_requests_are_removed_by_identity() -> None:
    load = _make_load()
    first, second = (
        fleet_load.OpenRequest("r", _NOW_MS, waiting_tokens=900)
        for _ in range(2)
    )
    load.add(first)
    load.add(second)
    load.remove(second)
    first.waiting_tokens = 0
    assert load.count_waiting_tokens("r", _NOW_MS) == 0
    load.remove(first)
    assert load.count_open("r", _NOW_MS) == 0


def test_the_newest_notice_counts_and_its_prefill_progresses() -> None:
    load = _make_load()
    load.handle_notice(
        "h", (requesting.OpenLoad("r", 3, 10_000),), _NOW_MS - 100
    )
    load.handle_notice("h", (requesting.OpenLoad("r", 2, 8_000),), _NOW_MS)
    assert load.count_open("r", _NOW_MS) == 2
    assert load.count_waiting_tokens("r", _NOW_MS) == 8_000
    assert load.count_waiting_tokens("r", _NOW_MS + 100) == 3_000
    assert load.count_waiting_tokens("r", _NOW_MS + 300) == 0


def test_a_notice_without_successor_expires() -> None:
    load = _make_load()
    load.handle_notice("h", (requesting.OpenLoad("r", 3, 0),), _NOW_MS)
    assert load.count_open("r", _NOW_MS + 2_000) == 0


def test_the_notice_interval_grows_with_the_number_of_hosts() -> None:
    loads = (requesting.OpenLoad("r", 1, 500),)
    notices = load_notice_builder.LoadNoticeBuilder()
    notices.add_parts((requesting.ReadPart("r", "a"),), _NOW_MS)
    notice = notices.pop_due(lambda: loads, 80, _NOW_MS)
    assert notice is not None
    assert notice.list_parts() == (requesting.ReadPart("r", "a"),)
    notices.add_parts((requesting.ReadPart("r", "b"),), _NOW_MS)
    assert notices.pop_due(lambda: loads, 80, _NOW_MS + 900) is None
    assert notices.pop_due(lambda: loads, 80, _NOW_MS + 1_000) is not None


def test_the_last_notice_reports_that_no_request_is_open() -> None:
    loads = (requesting.OpenLoad("r", 1, 500),)
    notices = load_notice_builder.LoadNoticeBuilder()
    assert notices.pop_due(tuple, 7, _NOW_MS) is None
    assert notices.pop_due(lambda: loads, 7, _NOW_MS) is not None
    assert notices.pop_due(lambda: loads, 7, _NOW_MS + 200) is None
    assert notices.pop_due(lambda: loads, 7, _NOW_MS + 500) is not None
    last = notices.pop_due(tuple, 7, _NOW_MS + 700)
    assert last is not None
    assert last.list_loads() == ()
    assert notices.pop_due(tuple, 7, _NOW_MS + 5_000) is None


def test_a_repeated_prompt_part_is_sent_once_in_a_while() -> None:
    part = requesting.ReadPart("r", "a")
    notices = load_notice_builder.LoadNoticeBuilder()
    sent: list[requesting.ReadPart] = []
    for elapsed_ms in range(0, 4_000, 200):
        notices.add_parts((part,), _NOW_MS + elapsed_ms)
        notice = notices.pop_due(tuple, 1, _NOW_MS + elapsed_ms)
        if notice is not None:
            sent += notice.list_parts()
    assert sent == [part, part]
