"""A small model of an engine on a manual clock, for the request bench."""

import heapq
import itertools

import attrs

from redwingchute.bench import request_clock
from redwingchute.core import requesting

PREFILL_TOKEN_MS = 0.2
OUTPUT_TOKEN_MS = 20.0


@attrs.define(eq=False)
class SimulatedRequest:
    """One request of a profile and what became of it.

    Attributes:
      client_account: Whose request it is.
      ticket_hint: The ticket without an id, as the router would make it.
      max_output_tokens: The bound that the caller gave.
      output_tokens: The true size of its answer.
      is_measured: Whether it arrived in the measured window.
      ended_ms: When its answer ended, or None.
      is_refused: Whether it got a refusal.
    """

    client_account: str
    ticket_hint: requesting.Ticket
    max_output_tokens: int
    output_tokens: int
    is_measured: bool
    ended_ms: float | None = None
    is_refused: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered within its caller's patience."""
        deadline_ms = self.ticket_hint.deadline_ms
        return self.ended_ms is not None and self.ended_ms <= deadline_ms

    @property
    def work_ms(self) -> float:
        """Its time on a slot of an engine of full speed."""
        return (
            self.ticket_hint.prompt_tokens * PREFILL_TOKEN_MS
            + self.output_tokens * OUTPUT_TOKEN_MS
        )


class Listener:
    """Told what an engine does with a request; the methods do nothing."""

    def note_first_token(self, request: SimulatedRequest) -> None:
        """Is called when output begins."""

    def note_end(self, request: SimulatedRequest) -> None:
        """Is called when the answer ended."""


class SimulatedEngine:
    """An engine with slots, a queue by priority, and late load reports.

    Attributes:
      name: The upstream's name.
      slots: How many requests it runs at once.
      slowness: How many times longer than usual everything takes.
      is_gone: Whether it refuses connections.
    """

    def __init__(
        self,
        clock: request_clock.Clock,
        name: str,
        slots: int,
        slowness: float = 1.0,
        is_gone: bool = False,
    ) -> None:
        """Starts idle."""
        self.name = name
        self.slots = slots
        self.slowness = slowness
        self.is_gone = is_gone
        self._clock = clock
        self._running = 0
        self._order = itertools.count()
        self._queue: list[tuple[int, int, SimulatedRequest, Listener]] = []
        self._history: list[requesting.LoadReport] = [self._report()]

    def submit(self, request: SimulatedRequest, listener: Listener) -> bool:
        """Takes a request; False when it is gone."""
        if self.is_gone:
            return False
        priority = request.ticket_hint.priority
        entry = (priority, next(self._order), request, listener)
        heapq.heappush(self._queue, entry)
        self._start_next()
        return True

    def find_report(self, lag_ms: int) -> requesting.LoadReport:
        """Returns the load report of some time ago."""
        at_ms = self._clock.now_ms - lag_ms
        while len(self._history) > 1 and self._history[1].at_ms <= at_ms:
            self._history.pop(0)
        return attrs.evolve(self._history[0], at_ms=int(at_ms))

    def _start_next(self) -> None:
        """Fills the free slots."""
        while self._queue and self._running < self.slots:
            _, _, request, listener = heapq.heappop(self._queue)
            self._running += 1
            self._run(request, listener)
        self._history.append(self._report())

    def _run(self, request: SimulatedRequest, listener: Listener) -> None:
        """Schedules the first token and the end of a request."""
        prefill_ms = (
            request.ticket_hint.prompt_tokens * PREFILL_TOKEN_MS * self.slowness
        )
        output_ms = request.output_tokens * OUTPUT_TOKEN_MS * self.slowness
        first_ms = prefill_ms + OUTPUT_TOKEN_MS * self.slowness
        self._clock.call_later(
            first_ms, lambda: listener.note_first_token(request)
        )
        self._clock.call_later(
            prefill_ms + output_ms, lambda: self._end(request, listener)
        )

    def _end(self, request: SimulatedRequest, listener: Listener) -> None:
        """Frees the slot of an answer that ended."""
        self._running -= 1
        request.ended_ms = self._clock.now_ms
        self._start_next()
        listener.note_end(request)

    def _report(self) -> requesting.LoadReport:
        """Returns the load of this instant."""
        return requesting.LoadReport(
            self._running,
            len(self._queue),
            self.slots,
            int(self._clock.now_ms),
        )
