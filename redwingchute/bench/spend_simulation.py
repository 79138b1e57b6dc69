"""A discrete-event simulation of routers that spend one prepaid budget.

`SpendSimulation` provides the clock and the network faults: which zones are
isolated and whether the log is available. `Tally` counts the actual cost of
every request, so that overspend and false refusals are measured independently
of any design's ledger.
"""

from collections.abc import Callable
import heapq
import itertools

import attrs

# The one-way delay of a message between routers, and the time of an append.
ROUTER_DELAY_MS = 1
LOG_DELAY_MS = 5


@attrs.frozen
class Request:
    """One request of a trace.

    Attributes:
      number: The number of the request in the trace, from 1.
      router: The index of the router that the caller would normally reach.
      at_ms: When it arrives.
      bound_tokens: The upper bound of its cost.
      cost_tokens: Its actual cost.
      duration_ms: How long it runs.
      deadline_ms: When the caller's patience ends.
    """

    number: int
    router: int
    at_ms: int
    bound_tokens: int
    cost_tokens: int
    duration_ms: int
    deadline_ms: int


class SpendSimulation:
    """The clock, the routers' zones and the faults of the network.

    Attributes:
      now_ms: The current simulated time.
      zones: The zone of each router.
      isolated_zones: Zones that are cut off from the log and all other zones.
      is_log_up: Whether the log is available.
      crashed_routers: The indexes of routers that are down.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        """Creates a simulation at time 0 without faults.

        Args:
          zones: The zone of each router.
        """
        self.now_ms = 0
        self.zones = zones
        self.isolated_zones: set[str] = set()
        self.is_log_up = True
        self.crashed_routers: set[int] = set()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        item = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._queue, item)

    def run_until(self, until_ms: int) -> None:
        """Runs the actions that are due up to and including a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._queue)
            self.now_ms = at_ms
            action()
        self.now_ms = until_ms

    def can_reach(self, source: int, target: int) -> bool:
        """Returns whether a message can get from one router to another."""
        if source in self.crashed_routers or target in self.crashed_routers:
            return False
        if self.zones[source] == self.zones[target]:
            return True
        ends = {self.zones[source], self.zones[target]}
        return not ends & self.isolated_zones

    def can_reach_log(self, router: int) -> bool:
        """Returns whether a router can reach the log."""
        is_isolated = self.zones[router] in self.isolated_zones
        return (
            self.is_log_up
            and not is_isolated
            and router not in self.crashed_routers
        )

    def find_available_router(self, router: int) -> int | None:
        """Returns the router that the load balancer sends a request to.

        That is the given router if it is up, else another one that is up,
        preferably of the same zone. Callers in an isolated zone reach only
        routers of that zone.

        Args:
          router: The index of the router that the caller would normally reach.

        Returns:
          The index of a router, or None if no router can be reached.
        """
        count = len(self.zones)
        nearby = sorted(
            ((router + step) % count for step in range(count)),
            key=lambda each: self.zones[each] != self.zones[router],
        )
        for each in nearby:
            is_near = self.zones[each] == self.zones[router]
            is_isolated = self.zones[router] in self.isolated_zones
            if each not in self.crashed_routers and (
                is_near or not is_isolated
            ):
                return each
        return None


class Tally:
    """The outcomes and actual costs of the requests of one budget.

    Attributes:
      credited_tokens: The tokens credited to the budget.
      answered_tokens: The actual cost of all answered requests.
      overspend_tokens: The tokens by which `answered_tokens` exceeds
        `credited_tokens`, or 0.
      offered: The number of requests that arrived.
      answered: The number of requests that were answered.
      false_refusals: How many were refused although the budget's actual
        remainder covered them.
      true_refusals: How many were refused for lack of tokens.
      undurable: How many responses ended before their bill was in the log.
      lost: How many requests were lost in the crash of their router.
      falsely_refused_tokens: The actual cost of the falsely refused requests.
    """

    def __init__(self, credited_tokens: int) -> None:
        """Creates a tally without requests."""
        self.credited_tokens = credited_tokens
        self.answered_tokens = 0
        self.overspend_tokens = 0
        self.offered = 0
        self.answered = 0
        self.false_refusals = 0
        self.true_refusals = 0
        self.undurable = 0
        self.lost = 0
        self.falsely_refused_tokens = 0
        self._running_tokens = 0

    @property
    def remaining_tokens(self) -> int:
        """The credit less the cost of answered and of running requests."""
        spent_tokens = self.answered_tokens + self._running_tokens
        return self.credited_tokens - spent_tokens

    def record_start(self, request: Request) -> None:
        """Records that a request started."""
        self._running_tokens += request.cost_tokens

    def record_answer(self, request: Request) -> None:
        """Records that a running request was answered in full."""
        self._running_tokens -= request.cost_tokens
        self.answered_tokens += request.cost_tokens
        self.answered += 1
        over_tokens = self.answered_tokens - self.credited_tokens
        self.overspend_tokens = max(self.overspend_tokens, over_tokens)

    def record_loss(self, request: Request) -> None:
        """Records that a running request was lost in its router's crash."""
        self._running_tokens -= request.cost_tokens
        self.lost += 1

    def record_void(self, request: Request) -> None:
        """Records that a running request ended unbilled and unanswered.

        It counts as a refusal, which is false if the remainder covers the
        actual cost.
        """
        self._running_tokens -= request.cost_tokens
        self._record_refusal(request, request.cost_tokens)

    def record_refusal(self, request: Request) -> None:
        """Records the refusal of a request that did not start.

        The refusal is false if the remainder covers the upper bound, because
        the cost of a request is unknown before it has run.
        """
        self._record_refusal(request, request.bound_tokens)

    def _record_refusal(self, request: Request, needed_tokens: int) -> None:
        """Records a refusal; it is false if the remainder covers the need."""
        if self.remaining_tokens >= needed_tokens:
            self.false_refusals += 1
            self.falsely_refused_tokens += request.cost_tokens
        else:
            self.true_refusals += 1

    @property
    def stranded_tokens(self) -> int:
        """Unspent tokens that falsely refused requests could have used."""
        return max(0, min(self.remaining_tokens, self.falsely_refused_tokens))
