"""Tests of the scheduling decisions of a pool, also with failing upstreams."""

from collections.abc import Callable

import attrs
import pytest

from redwingchute.core import requesting
from redwingchute.request import admission
from redwingchute.request import leaving_upstreams
from redwingchute.request import pool
from redwingchute.testing import request_builders as builders


def _make_pool(
    count: int = 3, slots: int = 2, max_queued: int = 512
) -> tuple[pool.Pool, leaving_upstreams.LeavingUpstreams]:
    leaving = leaving_upstreams.LeavingUpstreams()
    settings = pool.PoolSettings("huon", max_queued=max_queued)
    upstreams = builders.make_upstreams(count, slots=slots)
    return pool.Pool(settings, upstreams, leaving), leaving


def _submit_all(
    model_pool: pool.Pool, tickets: list[requesting.Ticket]
) -> list[pool.SubmitResult]:
    return [model_pool.submit(ticket, None, 0) for ticket in tickets]


def _start_all(model_pool: pool.Pool, now_ms: int = 0) -> list[pool.Assignment]:
    starts = []
    while (start := model_pool.start_next(now_ms)) is not None:
        starts.append(start)
    return starts


def test_requests_spread_over_free_slots_and_the_rest_wait() -> None:
    model_pool, _ = _make_pool()
    _submit_all(model_pool, [builders.make_ticket(n) for n in range(8)])
    starts = _start_all(model_pool)
    names = sorted(start.upstream.name for start in starts)
    assert names == ["runner-1"] * 2 + ["runner-2"] * 2 + ["runner-3"] * 2
    assert model_pool.queued_count == 2
    model_pool.record_end(starts[0].ticket.ticket_id, 2_000, 100)
    assert len(_start_all(model_pool, 2_000)) == 1


_Fault = Callable[[pool.Pool, leaving_upstreams.LeavingUpstreams], object]


@pytest.mark.parametrize(
    ("fault", "usable_count"),
    [
        (
            lambda model_pool, leaving: leaving.record_response("runner-1", 0),
            2,
        ),
        (
            lambda model_pool, leaving: leaving.handle_host_state(
                "runner-1", True, 0
            ),
            2,
        ),
        (
            lambda model_pool, leaving: leaving.handle_sibling_notice(
                "runner-1", 0, 0
            ),
            2,
        ),
        (
            lambda model_pool, leaving: (
                model_pool.upstreams.outliers.mark_unreachable("runner-1", 0)
            ),
            2,
        ),
        (
            lambda model_pool, leaving: [
                model_pool.upstreams.outliers.record_failure("runner-1", 0)
                for _ in range(3)
            ],
            2,
        ),
        (lambda model_pool, leaving: None, 3),
    ],
)
def test_unusable_upstream_gets_no_new_requests(
    fault: _Fault, usable_count: int
) -> None:
    model_pool, leaving = _make_pool()
    fault(model_pool, leaving)
    _submit_all(model_pool, [builders.make_ticket(n) for n in range(8)])
    names = {start.upstream.name for start in _start_all(model_pool)}
    assert len(names) == usable_count
    assert ("runner-1" in names) is (usable_count == 3)


def test_drained_upstream_finishes_but_starts_nothing() -> None:
    model_pool, _ = _make_pool(count=1)
    _submit_all(model_pool, [builders.make_ticket(1), builders.make_ticket(2)])
    first = model_pool.start_next(0)
    assert first is not None
    drained = attrs.evolve(first.upstream, is_drained=True)
    model_pool.upstreams.configure([drained], 1)
    assert model_pool.start_next(0) is None
    model_pool.record_end(first.ticket.ticket_id, 10, 5)
    assert [refused.refusal.code for refused in model_pool.expire(10)] == [
        "pool_down"
    ]


def test_unreachable_pool_is_refused_after_two_tries() -> None:
    model_pool, _ = _make_pool()
    for number in (1, 2, 3):
        model_pool.upstreams.outliers.mark_unreachable(f"runner-{number}", 0)
    # Each request tries two upstreams, in case the pool is reachable again.
    for tried in ((), ("runner-1",)):
        ticket = builders.make_ticket(1, excluded_upstreams=frozenset(tried))
        assert model_pool.submit(ticket, None, 0) == pool.Accepted()
        assert model_pool.expire(0) == ()
        (start,) = _start_all(model_pool)
        assert start.upstream.name not in tried
        model_pool.record_end(1, 0, None)
    excluded = frozenset(("runner-1", "runner-2"))
    ticket = builders.make_ticket(1, excluded_upstreams=excluded)
    result = model_pool.submit(ticket, None, 0)
    assert isinstance(result, admission.Refused)
    assert result.refusal.code == "pool_down"
    assert result.refusal.status == 503
    assert result.refusal.retry_after_ms == 250
    assert model_pool.submit(ticket, None, 250) == pool.Accepted()


def test_request_waits_for_an_upstream_that_is_fast_enough() -> None:
    model_pool, _ = _make_pool(count=2, slots=1)
    tickets = [builders.make_ticket(n, deadline_ms=9_000) for n in range(9)]
    _submit_all(model_pool, tickets[:2])
    for start in _start_all(model_pool):
        token_ms = 80 if start.upstream.name == "runner-1" else 10
        model_pool.record_first_token(start.ticket.ticket_id, 20)
        end_ms = 20 + 99 * token_ms
        model_pool.record_end(start.ticket.ticket_id, end_ms, 100)
    model_pool.submit(attrs.evolve(tickets[2], deadline_ms=4_000), None, 0)
    model_pool.submit(attrs.evolve(tickets[3], deadline_ms=4_000), None, 0)
    names = [start.upstream.name for start in _start_all(model_pool)]
    assert names == ["runner-2"]


def test_waiting_request_is_refused_once_it_cannot_meet_its_deadline() -> None:
    model_pool, _ = _make_pool(count=1, slots=1)
    _submit_all(
        model_pool,
        [
            builders.make_ticket(1, deadline_ms=3_000),
            builders.make_ticket(2, deadline_ms=4_100),
        ],
    )
    assert len(_start_all(model_pool)) == 1
    assert model_pool.expire(2_000) == ()
    (refused,) = model_pool.expire(2_081)
    assert refused.ticket.ticket_id == 2
    assert refused.refusal.retry_after_ms is not None
    assert model_pool.expire(2_081) == ()


def test_full_queue_refuses_the_least_urgent() -> None:
    model_pool, _ = _make_pool(count=1, slots=1, max_queued=1)
    waiting = builders.make_ticket(1, priority=5)
    assert model_pool.submit(waiting, None, 0) == pool.Accepted()
    same = model_pool.submit(builders.make_ticket(2, priority=5), None, 0)
    assert isinstance(same, admission.Refused)
    assert same.refusal.code == "queue_full"
    result = model_pool.submit(builders.make_ticket(3, priority=0), None, 0)
    assert isinstance(result, pool.Accepted)
    assert result.displaced is not None
    assert result.displaced.ticket is waiting


def test_each_upstream_runs_one_suspect_at_a_time() -> None:
    model_pool, _ = _make_pool(count=2, slots=8)
    suspects = [
        builders.make_ticket(
            n,
            body_digest=b"%d" % n,
            is_suspect=True,
            excluded_upstreams=frozenset({"runner-9"}),
        )
        for n in range(4)
    ]
    _submit_all(model_pool, [*suspects, builders.make_ticket(9)])
    starts = _start_all(model_pool)
    names = sorted(
        start.upstream.name for start in starts if start.ticket.is_suspect
    )
    assert names == ["runner-1", "runner-2"]
    assert len(starts) == 3


def test_failed_upstream_is_avoided_while_another_is_free() -> None:
    model_pool, _ = _make_pool(count=2)
    excluded = frozenset({"runner-1"})
    ticket = builders.make_ticket(1, excluded_upstreams=excluded)
    _submit_all(model_pool, [ticket])
    (start,) = _start_all(model_pool)
    assert start.upstream.name == "runner-2"


def test_copies_of_one_request_run_on_one_upstream_until_proven() -> None:
    model_pool, _ = _make_pool(count=3, slots=4)
    copies = [builders.make_ticket(n, body_digest=b"same") for n in range(6)]
    _submit_all(model_pool, copies)
    starts = _start_all(model_pool)
    assert len(starts) == 4
    assert len({start.upstream.name for start in starts}) == 1
    model_pool.record_first_token(starts[0].ticket.ticket_id, 10)
    assert len(_start_all(model_pool)) == 2


def test_one_copy_of_a_suspect_runs_in_the_whole_pool() -> None:
    model_pool, _ = _make_pool(count=3, slots=4)
    copies = [
        builders.make_ticket(n, body_digest=b"same", is_suspect=True)
        for n in range(6)
    ]
    _submit_all(model_pool, copies)
    (start,) = _start_all(model_pool)
    model_pool.record_first_token(start.ticket.ticket_id, 10)
    assert _start_all(model_pool) == []
    model_pool.record_end(start.ticket.ticket_id, 20, None)
    assert len(_start_all(model_pool)) == 1


def test_upstream_without_measurements_is_tried() -> None:
    model_pool, _ = _make_pool(count=2, slots=4)
    _submit_all(model_pool, [builders.make_ticket(1)])
    (first,) = _start_all(model_pool)
    model_pool.record_first_token(1, 1)
    model_pool.record_end(1, 100, 100)
    _submit_all(model_pool, [builders.make_ticket(n) for n in (2, 3)])
    names = {start.upstream.name for start in _start_all(model_pool, 100)}
    assert names == {"runner-1", "runner-2"}
    assert first.upstream.name in names


def test_complete_response_makes_its_request_proven() -> None:
    model_pool, _ = _make_pool(count=3, slots=2)
    copies = [builders.make_ticket(n, body_digest=b"same") for n in range(5)]
    _submit_all(model_pool, copies)
    starts = _start_all(model_pool)
    assert len(starts) == 2
    model_pool.record_end(starts[0].ticket.ticket_id, 10, 100)
    assert len(_start_all(model_pool, 10)) == 3
