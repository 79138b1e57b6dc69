"""A simple model of an engine on the simulated clock of the request bench."""

import heapq
import itertools

import attrs

from redwingchute.bench import request_clock
from redwingchute.core import requesting

# The time per prompt token and per output token at full speed.
PREFILL_TOKEN_MS = 0.2
OUTPUT_TOKEN_MS = 20.0


@attrs.define(eq=False)
class SimulatedRequest:
    """One request of a load profile and its outcome.

    Attributes:
      client_account: The name of the client account.
      ticket_template: The router's ticket of the request, without its final id
        and without an estimate of the output.
      max_output_tokens: The upper bound that the caller set.
      output_tokens: The actual size of the output.
      is_measured: Whether it arrived in the measured window.
      ended_ms: When the response ended; None if it has not.
      is_refused: Whether the router refused it.
    """

    client_account: str
    ticket_template: requesting.Ticket
    max_output_tokens: int
    output_tokens: int
    is_measured: bool
    ended_ms: float | None = None
    is_refused: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether the response ended within the caller's patience."""
        deadline_ms = self.ticket_template.deadline_ms
        return self.ended_ms is not None and self.ended_ms <= deadline_ms

    @property
    def work_ms(self) -> float:
        """The time that it occupies a slot of an engine at full speed."""
        return (
            self.ticket_template.prompt_tokens * PREFILL_TOKEN_MS
            + self.output_tokens * OUTPUT_TOKEN_MS
        )


class Listener:
    """Receives the events of a request at an engine and ignores them."""

    def handle_first_token(self, request: SimulatedRequest) -> None:
        """Handles the first output token of a request."""

    def handle_end(self, request: SimulatedRequest) -> None:
        """Handles the end of a response."""


class SimulatedEngine:
    """An engine with slots, a priority queue and delayed load reports.

    Attributes:
      name: The upstream's name.
      slots: How many requests it runs at once.
      slowdown: The factor by which prefill and output take longer than at
        full speed.
      is_unreachable: Whether it refuses connections.
    """

    def __init__(
        self,
        clock: request_clock.Clock,
        name: str,
        slots: int,
        slowdown: float = 1.0,
        is_unreachable: bool = False,
    ) -> None:
        """Creates an idle engine."""
        self.name = name
        self.slots = slots
        self.slowdown = slowdown
        self.is_unreachable = is_unreachable
        self._clock = clock
        self._running = 0
        self._order = itertools.count()
        self._queue: list[tuple[int, int, SimulatedRequest, Listener]] = []
        self._history: list[requesting.LoadReport] = [self._report()]

    def submit(self, request: SimulatedRequest, listener: Listener) -> bool:
        """Queues a request; returns False if it refuses connections."""
        if self.is_unreachable:
            return False
        priority = request.ticket_template.priority
        entry = (priority, next(self._order), request, listener)
        heapq.heappush(self._queue, entry)
        self._start_next()
        return True

    def get_delayed_load_report(self, lag_ms: int) -> requesting.LoadReport:
        """Returns the load report that was current `lag_ms` ago.

        The lag must not shrink between calls, because older reports are
        removed.
        """
        at_ms = self._clock.now_ms - lag_ms
        while len(self._history) > 1 and self._history[1].at_ms <= at_ms:
            self._history.pop(0)
        return attrs.evolve(self._history[0], at_ms=int(at_ms))

    def _start_next(self) -> None:
        """Starts queued requests while slots are free."""
        while self._queue and self._running < self.slots:
            _, _, request, listener = heapq.heappop(self._queue)
            self._running += 1
            self._run(request, listener)
        self._history.append(self._report())

    def _run(self, request: SimulatedRequest, listener: Listener) -> None:
        """Schedules the first token and the end of a response."""
        prefill_ms = (
            request.ticket_template.prompt_tokens
            * PREFILL_TOKEN_MS
            * self.slowdown
        )
        output_ms = request.output_tokens * OUTPUT_TOKEN_MS * self.slowdown
        first_token_ms = prefill_ms + OUTPUT_TOKEN_MS * self.slowdown
        self._clock.call_later(
            first_token_ms, lambda: listener.handle_first_token(request)
        )
        self._clock.call_later(
            prefill_ms + output_ms, lambda: self._end(request, listener)
        )

    def _end(self, request: SimulatedRequest, listener: Listener) -> None:
        """Frees the slot of a response that ended."""
        self._running -= 1
        request.ended_ms = self._clock.now_ms
        self._start_next()
        listener.handle_end(request)

    def _report(self) -> requesting.LoadReport:
        """Returns the current load."""
        return requesting.LoadReport(
            self._running,
            len(self._queue),
            self.slots,
            int(self._clock.now_ms),
        )
