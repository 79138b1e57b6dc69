"""The two baseline designs and the clairvoyant bound of the spend bench."""

from collections.abc import Sequence
from typing import Protocol

from redwingchute.bench import spend_simulation

# The interval at which a baseline retries the reservation or billing of a
# request.
RETRY_INTERVAL_MS = 50

# The delay until another router owns the counter after its owner is lost.
FAILOVER_MS = 2_000


class Design(Protocol):
    """A design for spending one budget through many routers."""

    def handle_request(
        self, request: spend_simulation.Request, router: int
    ) -> None:
        """Handles a request that arrives at a router."""

    def crash_router(self, router: int) -> None:
        """Crashes a router, which loses everything in its memory."""

    def restart_router(self, router: int) -> None:
        """Restarts a crashed router as a new process at the same address."""

    def count_unaccounted_tokens(self) -> int:
        """Returns the tokens of crashed routers whose use is unknown."""

    def count_appends(self) -> int:
        """Returns the number of records appended to the log."""

    def count_control_bytes(self) -> Sequence[int]:
        """Returns the control bytes sent and received by each router."""


class _Counter:
    """A counter of free tokens, from which requests reserve their bound."""

    def __init__(self, tokens: int) -> None:
        """Creates a counter with `tokens` free tokens."""
        self.free_tokens = tokens

    def reserve(self, request: spend_simulation.Request) -> bool:
        """Reserves a request's upper bound; returns whether it was free."""
        if request.bound_tokens > self.free_tokens:
            return False
        self.free_tokens -= request.bound_tokens
        return True

    def settle(self, request: spend_simulation.Request) -> None:
        """Frees the part of a reservation that the request did not use."""
        self.free_tokens += request.bound_tokens - request.cost_tokens


class EqualSplit:
    """Each router has a fixed equal part of the budget, without transfers."""

    def __init__(
        self,
        simulation: spend_simulation.SpendSimulation,
        tally: spend_simulation.Tally,
    ) -> None:
        """Divides the credit equally between the routers."""
        self._simulation = simulation
        self._tally = tally
        count = len(simulation.zones)
        self._counters = [
            _Counter(tally.credited_tokens // count) for _ in range(count)
        ]
        self._incarnations = [0] * count
        self._unaccounted_tokens = 0

    def handle_request(
        self, request: spend_simulation.Request, router: int
    ) -> None:
        """Admits a request when the router's part covers its bound."""
        self._admit(request, router, self._incarnations[router])

    def crash_router(self, router: int) -> None:
        """Loses the router's requests and its free tokens.

        No log says how many tokens were free, so they become unaccounted.
        """
        self._incarnations[router] += 1
        self._unaccounted_tokens += self._counters[router].free_tokens
        self._counters[router].free_tokens = 0

    def restart_router(self, router: int) -> None:
        """Leaves the new process without tokens."""

    def count_unaccounted_tokens(self) -> int:
        """Returns the free tokens of the routers that crashed."""
        return self._unaccounted_tokens

    def count_appends(self) -> int:
        """Returns 0: this design writes no log."""
        return 0

    def count_control_bytes(self) -> Sequence[int]:
        """Returns zeros: this design sends no messages."""
        return [0] * len(self._counters)

    def _admit(
        self, request: spend_simulation.Request, router: int, incarnation: int
    ) -> None:
        """Admits a request, retries later, or refuses it at its deadline."""
        if self._incarnations[router] != incarnation:
            self._tally.lost += 1
        elif self._counters[router].reserve(request):
            self._tally.record_start(request)
            self._simulation.schedule(
                request.duration_ms,
                lambda: self._finish(request, router, incarnation),
            )
        elif self._simulation.now_ms + RETRY_INTERVAL_MS >= request.deadline_ms:
            self._tally.record_refusal(request)
        else:
            self._simulation.schedule(
                RETRY_INTERVAL_MS,
                lambda: self._admit(request, router, incarnation),
            )

    def _finish(
        self, request: spend_simulation.Request, router: int, incarnation: int
    ) -> None:
        """Settles a request, unless its router crashed meanwhile."""
        if self._incarnations[router] != incarnation:
            self._tally.record_loss(request)
            return
        self._counters[router].settle(request)
        self._tally.record_answer(request)


class CentralOwner:
    """One owner keeps the budget in the log and handles every reservation."""

    # The size of a reservation, a bill or a reply, including addresses.
    MESSAGE_BYTES = 60

    def __init__(
        self,
        simulation: spend_simulation.SpendSimulation,
        tally: spend_simulation.Tally,
    ) -> None:
        """Gives the whole credit to the owner, which is router 0 at first."""
        self._simulation = simulation
        self._tally = tally
        self._counter = _Counter(tally.credited_tokens)
        self._incarnations = [0] * len(simulation.zones)
        self._bytes = [0] * len(simulation.zones)
        self._last_commit_window = -1
        self._appends = 0
        self._owner = 0
        self._owner_from_ms = 0

    def handle_request(
        self, request: spend_simulation.Request, router: int
    ) -> None:
        """Requests the bound of a request from the owner."""
        self._admit(request, router, self._incarnations[router])

    def crash_router(self, router: int) -> None:
        """Loses the router's requests.

        The owner frees a request's reservation when the request would have
        ended.
        """
        self._incarnations[router] += 1

    def restart_router(self, router: int) -> None:
        """Does nothing: only the owner has data about the budget."""

    def count_unaccounted_tokens(self) -> int:
        """Returns 0: the owner frees a crashed router's reservations."""
        return 0

    def count_appends(self) -> int:
        """Returns the number of group commits."""
        return self._appends

    def count_control_bytes(self) -> Sequence[int]:
        """Returns the bytes of calls and replies of each router."""
        return self._bytes

    def _can_reach_owner(self, router: int) -> bool:
        """Returns whether a router can reach the owner.

        If the owner can't reach the log, another router becomes the owner after
        `FAILOVER_MS`.
        """
        if not self._simulation.can_reach_log(self._owner):
            live = [
                each
                for each in range(len(self._incarnations))
                if self._simulation.can_reach_log(each)
            ]
            if live:
                self._owner = live[0]
                self._owner_from_ms = self._simulation.now_ms + FAILOVER_MS
        if self._simulation.now_ms < self._owner_from_ms:
            return False
        if not self._simulation.can_reach_log(self._owner):
            return False
        return self._simulation.can_reach(router, self._owner)

    def _commit(self, router: int) -> None:
        """Counts a reservation or bill and the group commit with it."""
        for each in (router, self._owner):
            self._bytes[each] += 2 * self.MESSAGE_BYTES
        commit_window = self._simulation.now_ms // spend_simulation.LOG_DELAY_MS
        if commit_window != self._last_commit_window:
            self._last_commit_window = commit_window
            self._appends += 1

    def _admit(
        self, request: spend_simulation.Request, router: int, incarnation: int
    ) -> None:
        """Admits a request, retries later, or refuses it at its deadline."""
        if self._incarnations[router] != incarnation:
            self._tally.lost += 1
            return
        if self._can_reach_owner(router):
            self._commit(router)
            if self._counter.reserve(request):
                self._tally.record_start(request)
                self._simulation.schedule(
                    request.duration_ms,
                    lambda: self._finish(request, router, incarnation),
                )
                return
        if self._simulation.now_ms + RETRY_INTERVAL_MS >= request.deadline_ms:
            self._tally.record_refusal(request)
            return
        self._simulation.schedule(
            RETRY_INTERVAL_MS, lambda: self._admit(request, router, incarnation)
        )

    def _finish(
        self, request: spend_simulation.Request, router: int, incarnation: int
    ) -> None:
        """Bills a request, retries later, or voids it after its deadline."""
        if self._incarnations[router] != incarnation:
            self._counter.free_tokens += request.bound_tokens
            self._tally.record_loss(request)
        elif self._can_reach_owner(router):
            self._commit(router)
            self._counter.settle(request)
            self._tally.record_answer(request)
        elif self._simulation.now_ms >= request.deadline_ms:
            self._counter.free_tokens += request.bound_tokens
            self._tally.record_void(request)
        else:
            self._simulation.schedule(
                RETRY_INTERVAL_MS,
                lambda: self._finish(request, router, incarnation),
            )


def count_clairvoyant_refusals(
    requests: Sequence[spend_simulation.Request],
    is_isolated: Sequence[bool],
    credited_tokens: int,
    fault_start_ms: int,
    fault_end_ms: int,
) -> int:
    """Returns the least number of false refusals that any division allows.

    When the isolation begins, the remaining tokens are divided between the
    isolated zone and all others. Each side serves its requests in order from
    its own part until the isolation ends. The function tries 201 evenly
    spaced divisions and returns the result of the best one, which only
    knowledge of all requests can find.

    Args:
      requests: The trace, in order of arrival.
      is_isolated: Whether each router is in the isolated zone.
      credited_tokens: The credit of the budget.
      fault_start_ms: When the isolation begins.
      fault_end_ms: When it ends.
    """
    spent_tokens = 0
    for request in requests:
        if request.at_ms >= fault_start_ms:
            break
        if spent_tokens + request.cost_tokens <= credited_tokens:
            spent_tokens += request.cost_tokens
    remaining_tokens = credited_tokens - spent_tokens
    requests_during_fault = [
        each for each in requests if fault_start_ms <= each.at_ms < fault_end_ms
    ]
    step_count = 200
    return min(
        _count_false_refusals(
            requests_during_fault,
            is_isolated,
            remaining_tokens,
            step / step_count,
        )
        for step in range(step_count + 1)
    )


def _count_false_refusals(
    requests_during_fault: Sequence[spend_simulation.Request],
    is_isolated: Sequence[bool],
    remaining_tokens: int,
    share: float,
) -> int:
    """Returns the false refusals if a share goes to the isolated zone.

    A refusal is false if the parts of both sides together cover the request's
    upper bound.
    """
    side_tokens = {
        True: int(remaining_tokens * share),
        False: remaining_tokens - int(remaining_tokens * share),
    }
    false_refusals = 0
    for request in requests_during_fault:
        side = is_isolated[request.router]
        if side_tokens[side] >= request.bound_tokens:
            side_tokens[side] -= request.cost_tokens
        elif side_tokens[True] + side_tokens[False] >= request.bound_tokens:
            false_refusals += 1
    return false_refusals
