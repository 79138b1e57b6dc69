"""Orders the requests that wait for one pool of upstreams.

More urgent priorities go first. Within a priority the earliest deadline goes
first among the client accounts that are not ahead of their fair share, which
is measured as virtual time over the tokens of started work. The queue is
bounded; a more urgent arrival displaces the least urgent request.
"""

import bisect
from collections.abc import Iterator
import dataclasses
from typing import TypeAlias

from redwingchute.core import requesting

# How far one account may run ahead of another before its deadlines no longer
# count for more.
FAIRNESS_SLACK_TOKENS = 8_000

DEFAULT_MAX_TICKETS = 512


@dataclasses.dataclass(frozen=True)
class Queued:
    """The ticket waits."""


@dataclasses.dataclass(frozen=True)
class QueueFull:
    """The ticket is no more urgent than any that waits in a full queue."""


@dataclasses.dataclass(frozen=True)
class Displaced:
    """The ticket waits, and a less urgent one must be refused."""

    ticket: requesting.Ticket


AddResult: TypeAlias = Queued | QueueFull | Displaced

# Waiting tickets of one priority by client account, earliest deadline first.
_Lane: TypeAlias = dict[str, list[requesting.Ticket]]


class PoolQueue:
    """The waiting requests of one pool."""

    def __init__(self, max_tickets: int = DEFAULT_MAX_TICKETS) -> None:
        """Starts empty."""
        self._max_tickets = max_tickets
        self._lanes: dict[int, _Lane] = {}
        self._tickets: dict[int, requesting.Ticket] = {}
        self._virtual_tokens: dict[str, float] = {}

    def __len__(self) -> int:
        """Returns how many tickets wait."""
        return len(self._tickets)

    def __iter__(self) -> Iterator[requesting.Ticket]:
        """Iterates over the waiting tickets in order of arrival."""
        return iter(tuple(self._tickets.values()))

    def add(self, ticket: requesting.Ticket) -> AddResult:
        """Adds a ticket, if need be at the cost of the least urgent one."""
        if len(self._tickets) < self._max_tickets:
            self._insert(ticket)
            return Queued()
        least_urgent = max(self._tickets.values(), key=_urgency)
        if _urgency(ticket) >= _urgency(least_urgent):
            return QueueFull()
        self.remove(least_urgent.ticket_id)
        self._insert(ticket)
        return Displaced(least_urgent)

    def remove(self, ticket_id: int) -> requesting.Ticket | None:
        """Takes a ticket out without charging its account."""
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

    def start(self, ticket_id: int) -> requesting.Ticket | None:
        """Takes a ticket out and charges its account with its tokens."""
        ticket = self.remove(ticket_id)
        if ticket is not None:
            account = ticket.client_account
            self._virtual_tokens[account] += ticket.cost_tokens
            self._forget_idle_accounts()
        return ticket

    def iterate_in_order(self) -> Iterator[requesting.Ticket]:
        """Yields the tickets in the order in which they would start.

        The queue must not change while the iterator is in use.
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
        """Returns the tickets that would start before a new one."""
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
        """Puts a ticket into its lane."""
        account = ticket.client_account
        # An account that was idle begins level with the one furthest behind,
        # so that it cannot save up a claim to the whole pool.
        floor = self._find_least_virtual_tokens()
        known = self._virtual_tokens.get(account, floor)
        self._virtual_tokens[account] = max(known, floor)
        lane = self._lanes.setdefault(ticket.priority, {})
        tickets = lane.setdefault(account, [])
        bisect.insort(tickets, ticket, key=_deadline_order)
        self._tickets[ticket.ticket_id] = ticket

    def _find_least_virtual_tokens(self) -> float:
        """Returns the least virtual time of the accounts that wait."""
        return min(
            (
                self._virtual_tokens[account]
                for lane in self._lanes.values()
                for account in lane
            ),
            default=0.0,
        )

    def _forget_idle_accounts(self) -> None:
        """Starts the virtual times anew once nobody waits."""
        if not self._tickets:
            self._virtual_tokens.clear()


def _select_account(lane: _Lane, virtual_tokens: dict[str, float]) -> str:
    """Returns the account whose ticket starts next in a lane."""
    least = min(virtual_tokens[account] for account in lane)
    eligible = (
        account
        for account in lane
        if virtual_tokens[account] <= least + FAIRNESS_SLACK_TOKENS
    )
    return min(eligible, key=lambda account: _deadline_order(lane[account][-1]))


def _deadline_order(ticket: requesting.Ticket) -> tuple[int, int]:
    """Orders tickets of one account and priority."""
    return ticket.deadline_ms, ticket.ticket_id


def _urgency(ticket: requesting.Ticket) -> tuple[int, int]:
    """Orders tickets for displacement; larger is less urgent."""
    return ticket.priority, ticket.deadline_ms
