"""The bounded priority queue of requests that wait for one upstream pool.

Requests are ordered by priority. Within a priority, fair queueing by client
account comes before deadlines: each account has a virtual time, the tokens of
its requests that started, and the earliest deadline goes first among the
accounts that are within a slack of the smallest virtual time. When the queue
is full, a more urgent arrival displaces the least urgent request.
"""

import bisect
from collections.abc import Iterator
import dataclasses
from typing import TypeAlias

from redwingchute.core import requesting

# An account that is ahead of the smallest virtual time by more than this must
# wait even if its deadlines are earlier.
FAIRNESS_SLACK_TOKENS = 8_000

DEFAULT_MAX_TICKETS = 512


@dataclasses.dataclass(frozen=True)
class Queued:
    """The ticket was added."""


@dataclasses.dataclass(frozen=True)
class QueueFull:
    """The queue is full and holds no less urgent ticket; nothing was added."""


@dataclasses.dataclass(frozen=True)
class Displaced:
    """The ticket was added in place of a less urgent one.

    Attributes:
      ticket: The ticket that was removed and must be refused.
    """

    ticket: requesting.Ticket


AddResult: TypeAlias = Queued | QueueFull | Displaced

# The waiting tickets of one priority by client account, sorted by deadline.
_Lane: TypeAlias = dict[str, list[requesting.Ticket]]


class PoolQueue:
    """The waiting requests of one pool."""

    def __init__(self, max_tickets: int = DEFAULT_MAX_TICKETS) -> None:
        """Creates an empty queue."""
        self._max_tickets = max_tickets
        self._lanes: dict[int, _Lane] = {}
        self._tickets: dict[int, requesting.Ticket] = {}
        self._virtual_tokens: dict[str, float] = {}

    def __len__(self) -> int:
        """Returns the number of waiting tickets."""
        return len(self._tickets)

    def __iter__(self) -> Iterator[requesting.Ticket]:
        """Iterates over the waiting tickets in order of arrival."""
        return iter(tuple(self._tickets.values()))

    def add(self, ticket: requesting.Ticket) -> AddResult:
        """Adds a ticket, which displaces a less urgent one in a full queue."""
        if len(self._tickets) < self._max_tickets:
            self._insert(ticket)
            return Queued()
        least_urgent = max(self._tickets.values(), key=_make_urgency_key)
        if _make_urgency_key(ticket) >= _make_urgency_key(least_urgent):
            return QueueFull()
        self.remove(least_urgent.ticket_id)
        self._insert(ticket)
        return Displaced(least_urgent)

    def remove(self, ticket_id: int) -> requesting.Ticket | None:
        """Removes a ticket; the virtual time of its account does not change."""
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is None:
            return None
        lane = self._lanes[ticket.priority]
        lane[ticket.client_account].remove(ticket)
        if not lane[ticket.client_account]:
            del lane[ticket.client_account]
        if not lane:
            del self._lanes[ticket.priority]
        return ticket

    def dequeue(self, ticket_id: int) -> requesting.Ticket | None:
        """Removes a ticket and adds its tokens to the virtual time."""
        ticket = self.remove(ticket_id)
        if ticket is not None:
            account = ticket.client_account
            self._virtual_tokens[account] += ticket.cost_tokens
            self._reset_virtual_times()
        return ticket

    def iterate_in_order(self) -> Iterator[requesting.Ticket]:
        """Yields the tickets in the order in which they would start.

        The queue must not change during the iteration.
        """
        virtual_tokens = dict(self._virtual_tokens)
        for priority in sorted(self._lanes):
            lane = {
                account: list(reversed(tickets))
                for account, tickets in self._lanes[priority].items()
            }
            while lane:
                account = _select_account(lane, virtual_tokens)
                ticket = lane[account].pop()
                if not lane[account]:
                    del lane[account]
                virtual_tokens[account] += ticket.cost_tokens
                yield ticket

    def list_ahead(self, ticket: requesting.Ticket) -> list[requesting.Ticket]:
        """Returns the waiting tickets that would start before a new ticket."""
        self._insert(ticket)
        try:
            ahead = []
            for waiting in self.iterate_in_order():
                if waiting.ticket_id == ticket.ticket_id:
                    break
                ahead.append(waiting)
            return ahead
        finally:
            self.remove(ticket.ticket_id)

    def _insert(self, ticket: requesting.Ticket) -> None:
        """Adds a ticket to the lane of its priority."""
        account = ticket.client_account
        # An account that was idle starts at the smallest virtual time of the
        # waiting accounts. Otherwise it would accumulate credit while idle and
        # could later block all other accounts.
        smallest_tokens = self._find_smallest_virtual_tokens()
        current_tokens = self._virtual_tokens.get(account, smallest_tokens)
        self._virtual_tokens[account] = max(current_tokens, smallest_tokens)
        lane = self._lanes.setdefault(ticket.priority, {})
        tickets = lane.setdefault(account, [])
        bisect.insort(tickets, ticket, key=_make_deadline_key)
        self._tickets[ticket.ticket_id] = ticket

    def _find_smallest_virtual_tokens(self) -> float:
        """Returns the smallest virtual time of the waiting accounts."""
        return min(
            (
                self._virtual_tokens[account]
                for lane in self._lanes.values()
                for account in lane
            ),
            default=0.0,
        )

    def _reset_virtual_times(self) -> None:
        """Resets all virtual times when the queue is empty."""
        if not self._tickets:
            self._virtual_tokens.clear()


def _select_account(lane: _Lane, virtual_tokens: dict[str, float]) -> str:
    """Returns the account whose ticket starts next in a lane.

    Args:
      lane: The tickets by account, latest deadline first.
      virtual_tokens: The virtual times by account.
    """
    smallest_tokens = min(virtual_tokens[account] for account in lane)
    eligible = (
        account
        for account in lane
        if virtual_tokens[account] <= smallest_tokens + FAIRNESS_SLACK_TOKENS
    )
    return min(
        eligible, key=lambda account: _make_deadline_key(lane[account][-1])
    )


def _make_deadline_key(ticket: requesting.Ticket) -> tuple[int, int]:
    """Returns the sort key of tickets of one account and priority."""
    return ticket.deadline_ms, ticket.ticket_id


def _make_urgency_key(ticket: requesting.Ticket) -> tuple[int, int]:
    """Returns the sort key for displacement; larger is less urgent."""
    return ticket.priority, ticket.deadline_ms
