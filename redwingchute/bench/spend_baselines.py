"""The two baselines and the clairvoyant bound of the spending bench."""

from collections.abc import Sequence
from typing import Protocol

from redwingchute.bench import spend_simulation

# How often a baseline tries again for a request that waits for tokens.
RETRY_INTERVAL_MS = 50

# How soon another router owns the counter after its owner went away.
FAILOVER_MS = 2_000


class Design(Protocol):
    """A way to spend a budget from many routers."""

    def handle_request(
        self, request: spend_simulation.Request, router: int
    ) -> None:
        """Takes a request at a router."""

    def crash_router(self, router: int) -> None:
        """Notes that a router died with all that it had."""

    def restart_router(self, router: int) -> None:
        """Notes that a dead router's address starts anew."""

    def count_unaccounted_tokens(self) -> int:
        """Returns the tokens of dead routers whose use nobody knows."""

    def count_appends(self) -> int:
        """Returns the records appended to the log."""

    def count_control_bytes(self) -> Sequence[int]:
        """Returns the bytes sent and received for control, by router."""


class _Counter:
    """Tokens at one place and the requests that reserved some of them."""

    def __init__(self, tokens: int) -> None:
        """Starts with free tokens."""
        self.free_tokens = tokens

    def reserve(self, request: spend_simulation.Request) -> bool:
        """Takes a request's upper bound if it is there."""
        if request.bound_tokens > self.free_tokens:
            return False
        self.free_tokens -= request.bound_tokens
        return True

    def settle(self, request: spend_simulation.Request) -> None:
        """Returns what a request did not use."""
        self.free_tokens += request.bound_tokens - request.cost_tokens


class EqualSplit:
    """Each host has a fixed equal part and asks nobody."""

    def __init__(
        self,
        simulation: spend_simulation.SpendSimulation,
        tally: spend_simulation.Tally,
    ) -> None:
        """Divides the credit."""
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
        """Runs a request from the router's part; waits for room."""
        self._admit(request, router, self._incarnations[router])

    def crash_router(self, router: int) -> None:
        """Strands the router's part: nobody knows what it used."""
        self._incarnations[router] += 1
        self._unaccounted_tokens += self._counters[router].free_tokens
        self._counters[router].free_tokens = 0

    def restart_router(self, router: int) -> None:
        """Leaves the new process without a part."""

    def count_unaccounted_tokens(self) -> int:
        """Returns what died with its routers."""
        return self._unaccounted_tokens

    def count_appends(self) -> int:
        """Returns 0: nothing is logged."""
        return 0

    def count_control_bytes(self) -> Sequence[int]:
        """Returns zeros: nothing is sent."""
        return [0] * len(self._counters)

    def _admit(
        self, request: spend_simulation.Request, router: int, incarnation: int
    ) -> None:
        """Admits, waits, or refuses at the deadline."""
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
        """Ends a request."""
        if self._incarnations[router] != incarnation:
            self._tally.record_loss(request)
            return
        self._counters[router].settle(request)
        self._tally.record_answer(request)


class CentralOwner:
    """One owner keeps the budget in the log and is asked each time."""

    # A question and its answer, and a bill and its answer, with addresses.
    MESSAGE_BYTES = 60

    def __init__(
        self,
        simulation: spend_simulation.SpendSimulation,
        tally: spend_simulation.Tally,
    ) -> None:
        """Puts all credit at the owner."""
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
        """Asks the owner for the request's bound."""
        self._admit(request, router, self._incarnations[router])

    def crash_router(self, router: int) -> None:
        """Drops the router's requests; the owner frees what they had."""
        self._incarnations[router] += 1

    def restart_router(self, router: int) -> None:
        """Has nothing to do."""

    def count_unaccounted_tokens(self) -> int:
        """Returns 0: the owner frees what a dead router had."""
        return 0

    def count_appends(self) -> int:
        """Returns the group commits."""
        return self._appends

    def count_control_bytes(self) -> Sequence[int]:
        """Returns the bytes by router."""
        return self._bytes

    def _can_reach_owner(self, router: int) -> bool:
        """Returns whether the owner can be asked now; elects one if not."""
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
        """Counts a question or bill and the group commit that holds it."""
        for each in (router, self._owner):
            self._bytes[each] += 2 * self.MESSAGE_BYTES
        commit_window = self._simulation.now_ms // spend_simulation.LOG_DELAY_MS
        if commit_window != self._last_commit_window:
            self._last_commit_window = commit_window
            self._appends += 1

    def _admit(
        self, request: spend_simulation.Request, router: int, incarnation: int
    ) -> None:
        """Admits, waits, or refuses at the deadline."""
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
        """Bills a request, or ends it unbilled at its deadline."""
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
    """Returns the fewest false refusals of any placement made at the cut.

    Each side serves its requests in order from its own part and returns what
    is left when the cut heals. The placement is chosen with full knowledge of
    what will be asked.

    Args:
      requests: The trace, by arrival.
      is_isolated: Whether each router is on the cut-off side.
      credited_tokens: The budget.
      fault_start_ms: When the cut begins.
      fault_end_ms: When it heals.
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
    steps = 200
    return min(
        _count_false_refusals(
            requests_during_fault, is_isolated, remaining_tokens, step / steps
        )
        for step in range(steps + 1)
    )


def _count_false_refusals(
    requests_during_fault: Sequence[spend_simulation.Request],
    is_isolated: Sequence[bool],
    remaining_tokens: int,
    share: float,
) -> int:
    """Returns the false refusals when a share is placed with the cut side."""
    parts = {
        True: int(remaining_tokens * share),
        False: remaining_tokens - int(remaining_tokens * share),
    }
    false_refusals = 0
    for request in requests_during_fault:
        side = is_isolated[request.router]
        if parts[side] >= request.bound_tokens:
            parts[side] -= request.cost_tokens
        elif parts[True] + parts[False] >= request.bound_tokens:
            false_refusals += 1
    return false_refusals
