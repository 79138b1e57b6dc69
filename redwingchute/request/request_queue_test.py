"""Tests of the order, fairness and size limit of the queue of a pool."""

import pytest

from redwingchute.request import request_queue
from redwingchute.testing import request_builders as builders


def _start_in_order(pool_queue: request_queue.PoolQueue) -> list[int]:
    started = []
    while len(pool_queue):
        ticket = next(pool_queue.iterate_in_order())
        pool_queue.dequeue(ticket.ticket_id)
        started.append(ticket.ticket_id)
    return started


@pytest.mark.parametrize(
    ("tickets", "expected"),
    [
        # (id, account, priority, deadline)
        ([(1, "a", 2, 10), (2, "a", 1, 90)], [2, 1]),
        ([(1, "a", 1, 90), (2, "b", 1, 10)], [2, 1]),
        ([(1, "a", 1, 10), (2, "a", 1, 10)], [1, 2]),
        ([(1, "a", 5, 9), (2, "b", 1, 99), (3, "a", 1, 98)], [3, 2, 1]),
    ],
)
def test_earliest_deadline_goes_first_within_a_priority(
    tickets: list[tuple[int, str, int, int]], expected: list[int]
) -> None:
    pool_queue = request_queue.PoolQueue()
    for ticket_id, account, priority, deadline_ms in tickets:
        pool_queue.add(
            builders.make_ticket(ticket_id, account, priority, deadline_ms)
        )
    planned = [ticket.ticket_id for ticket in pool_queue.iterate_in_order()]
    assert planned == expected
    assert _start_in_order(pool_queue) == expected


def test_heavy_account_cannot_starve_another() -> None:
    pool_queue = request_queue.PoolQueue()
    for number in range(100):
        pool_queue.add(
            builders.make_ticket(
                number, "heavy", deadline_ms=10, prompt_tokens=900
            )
        )
    for number in range(100, 110):
        pool_queue.add(
            builders.make_ticket(
                number, "light", deadline_ms=99, prompt_tokens=900
            )
        )
    first = _start_in_order(pool_queue)[:28]
    assert sum(ticket_id >= 100 for ticket_id in first) == 10


def test_idle_account_accumulates_no_credit() -> None:
    pool_queue = request_queue.PoolQueue()
    for number in range(40):
        pool_queue.add(
            builders.make_ticket(
                number, "busy", deadline_ms=10, prompt_tokens=900
            )
        )
    for _ in range(20):
        pool_queue.dequeue(next(pool_queue.iterate_in_order()).ticket_id)
    for number in range(100, 120):
        pool_queue.add(
            builders.make_ticket(
                number, "new", deadline_ms=10, prompt_tokens=900
            )
        )
    first = _start_in_order(pool_queue)[:20]
    assert 5 <= sum(ticket_id >= 100 for ticket_id in first) <= 15


def test_full_queue_keeps_the_most_urgent() -> None:
    pool_queue = request_queue.PoolQueue(max_tickets=2)
    early = builders.make_ticket(1, deadline_ms=10)
    late = builders.make_ticket(2, deadline_ms=90)
    assert pool_queue.add(early) == request_queue.Queued()
    assert pool_queue.add(late) == request_queue.Queued()
    later = builders.make_ticket(3, deadline_ms=95)
    assert pool_queue.add(later) == request_queue.QueueFull()
    urgent = builders.make_ticket(4, priority=0, deadline_ms=95)
    assert pool_queue.add(urgent) == request_queue.Displaced(late)
    assert _start_in_order(pool_queue) == [4, 1]


def test_list_ahead_leaves_the_queue_unchanged() -> None:
    pool_queue = request_queue.PoolQueue()
    for number, deadline_ms in ((1, 10), (2, 30), (3, 50)):
        pool_queue.add(builders.make_ticket(number, deadline_ms=deadline_ms))
    ahead = pool_queue.list_ahead(builders.make_ticket(9, deadline_ms=40))
    assert [ticket.ticket_id for ticket in ahead] == [1, 2]
    assert _start_in_order(pool_queue) == [1, 2, 3]
    assert pool_queue.remove(1) is None
