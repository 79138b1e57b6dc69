"""A message loop with a manual clock, and the truth about a budget.

The world knows which zones are cut off and whether the log answers; it delays
messages and nothing else. The tally knows what every request really cost, so
that overspend and false refusals are measured against the truth and not
against any ledger.
"""

from collections.abc import Callable
import heapq
import itertools

import attrs

ROUTER_DELAY_MS = 1
LOG_DELAY_MS = 5


@attrs.frozen
class Request:
    """One request of a trace.

    Attributes:
      number: Counts the requests of the trace.
      router: The index of the router that its caller is sent to.
      at_ms: When it arrives.
      bound_tokens: Its upper bound.
      cost_tokens: Its true cost.
      duration_ms: How long it runs.
      deadline_ms: When its caller gives up.
    """

    number: int
    router: int
    at_ms: int
    bound_tokens: int
    cost_tokens: int
    duration_ms: int
    deadline_ms: int


class SpendSimulation:
    """The clock, the routers' zones and what can reach what.

    Attributes:
      now_ms: The time.
      cut_zones: Zones that reach nothing outside themselves.
      is_log_up: Whether the log answers anybody.
      crashed_routers: The indexes of routers that are down.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        """Starts at time 0 with everything reachable.

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
        """Runs an action later."""
        item = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._queue, item)

    def run_until(self, until_ms: int) -> None:
        """Runs all actions up to a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._queue)
            self.now_ms = at_ms
            action()
        self.now_ms = until_ms

    def can_reach(self, source: int, target: int) -> bool:
        """Returns whether a message passes between two routers."""
        if source in self.crashed_routers or target in self.crashed_routers:
            return False
        if self.zones[source] == self.zones[target]:
            return True
        ends = {self.zones[source], self.zones[target]}
        return not ends & self.isolated_zones

    def can_reach_log(self, router: int) -> bool:
        """Returns whether a router reaches the log."""
        is_isolated = self.zones[router] in self.isolated_zones
        return (
            self.is_log_up
            and not is_isolated
            and router not in self.crashed_routers
        )

    def find_available_router(self, router: int) -> int | None:
        """Returns where the balancer sends a request meant for a router.

        That is the router itself, or a live one, first of its own zone.
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
    """What really happened to the requests of one budget.

    Attributes:
      credited_tokens: The budget's credit.
      answered_tokens: The true cost of all answered requests.
      offered: Requests that arrived.
      answered: Requests that were answered.
      false_refusals: Refused although the true remainder covered them.
      true_refusals: Refused for want of tokens.
      undurable: Answers that ended before their bill was in the log.
      lost: Requests that died with their router.
      false_tokens: The true cost of the falsely refused requests.
    """

    def __init__(self, credited_tokens: int) -> None:
        """Starts with nothing spent."""
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
        """The credit less what was answered and what runs."""
        spent_tokens = self.answered_tokens + self._running_tokens
        return self.credited_tokens - spent_tokens

    def record_start(self, request: Request) -> None:
        """Notes that a request runs."""
        self._running_tokens += request.cost_tokens

    def record_answer(self, request: Request) -> None:
        """Notes that a running request was answered in full."""
        self._running_tokens -= request.cost_tokens
        self.answered_tokens += request.cost_tokens
        self.answered += 1
        over_tokens = self.answered_tokens - self.credited_tokens
        self.overspend_tokens = max(self.overspend_tokens, over_tokens)

    def record_loss(self, request: Request) -> None:
        """Notes that a running request died with its router."""
        self._running_tokens -= request.cost_tokens
        self.lost += 1

    def record_void(self, request: Request) -> None:
        """Notes that a running request ended unbilled and unanswered."""
        self._running_tokens -= request.cost_tokens
        self._record_refusal(request, request.cost_tokens)

    def record_refusal(self, request: Request) -> None:
        """Notes a refusal; the truth bears it out below the upper bound.

        Nobody knows the cost of a request that has not run.
        """
        self._record_refusal(request, request.bound_tokens)

    def _record_refusal(self, request: Request, needed_tokens: int) -> None:
        """Notes a refusal and whether the remainder covered the need."""
        if self.remaining_tokens >= needed_tokens:
            self.false_refusals += 1
            self.falsely_refused_tokens += request.cost_tokens
        else:
            self.true_refusals += 1

    @property
    def stranded_tokens(self) -> int:
        """Tokens left at the end that falsely refused requests needed."""
        return max(0, min(self.remaining_tokens, self.falsely_refused_tokens))
