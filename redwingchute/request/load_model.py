"""Models the load and speed of one upstream between its late load reports.

A report says how busy the upstream was some seconds ago. What this router
started and ended since is known exactly, so the estimate is the others' load
at the time of the report plus the own load now. Speeds are learned from the
own answers.
"""

import math

import attrs

from redwingchute.core import configuration
from redwingchute.core import requesting

_INITIAL_PREFILL_TOKEN_MS = 0.2
_INITIAL_OUTPUT_TOKEN_MS = 20.0
_LEARNING_RATE = 0.2

# Ended attempts are remembered this long, to place them before or after a
# late report.
_HISTORY_MS = 10_000

# Of the free slots in a report, how many times its even share a router may
# fill before the next report shows what the other routers did.
_FREE_SHARE_FACTOR = 4.0


@attrs.define
class _Attempt:
    """An attempt of this router on the upstream."""

    ticket: requesting.Ticket
    started_at_ms: int
    expected_ms: float
    is_alone_in_slot: bool
    first_token_at_ms: int | None = None
    ended_at_ms: int | None = None


class UpstreamLoad:
    """What one router knows about the load of one upstream.

    Attributes:
      upstream: The upstream.
      prefill_token_ms: The learned time for one uncached prompt token.
      output_token_ms: The learned time for one output token.
      has_learned: Whether the speeds come from its own answers.
    """

    def __init__(
        self, upstream: configuration.Upstream, sharing_routers: int = 1
    ) -> None:
        """Starts without reports.

        Args:
          upstream: The upstream.
          sharing_routers: How many routers send work to it, this included.
        """
        self.upstream = upstream
        self.prefill_token_ms = _INITIAL_PREFILL_TOKEN_MS
        self.output_token_ms = _INITIAL_OUTPUT_TOKEN_MS
        self.has_learned = False
        self._sharing_routers = max(1, sharing_routers)
        self._slots = upstream.slots
        self._report: requesting.LoadReport | None = None
        self._own_at_report = 0
        self._running: dict[int, _Attempt] = {}
        self._ended: list[_Attempt] = []

    @property
    def own_count(self) -> int:
        """How many of this router's attempts run there."""
        return len(self._running)

    @property
    def report(self) -> requesting.LoadReport | None:
        """The newest load report."""
        return self._report

    @property
    def slots(self) -> int:
        """How many requests the upstream runs at once."""
        return self._slots

    def assume_speed(self, other: "UpstreamLoad") -> None:
        """Takes another upstream's speeds until it has some of its own."""
        if not self.has_learned:
            self.prefill_token_ms = other.prefill_token_ms
            self.output_token_ms = other.output_token_ms

    def set_sharing_routers(self, count: int) -> None:
        """Updates how many routers send work to the upstream."""
        self._sharing_routers = max(1, count)

    def note_report(
        self, report: requesting.LoadReport, received_at_ms: int
    ) -> None:
        """Takes a load report; an older one than the last is ignored."""
        at_ms = min(report.at_ms, received_at_ms)
        if self._report is not None and at_ms < self._report.at_ms:
            return
        self._report = attrs.evolve(report, at_ms=at_ms)
        self._slots = max(1, report.slots)
        self._own_at_report = self._count_own_at(at_ms)
        oldest_ms = received_at_ms - _HISTORY_MS
        self._ended = [
            attempt
            for attempt in self._ended
            if (attempt.ended_at_ms or 0) >= oldest_ms
        ]

    def note_start(
        self, ticket: requesting.Ticket, now_ms: int, cached_tokens: int = 0
    ) -> None:
        """Records that an attempt begins."""
        self._running[ticket.ticket_id] = _Attempt(
            ticket,
            now_ms,
            self.estimate_duration_ms(ticket, cached_tokens),
            self.estimate_occupancy() < self._slots,
        )

    def note_first_token(self, ticket_id: int, now_ms: int) -> None:
        """Records the first output of an attempt."""
        attempt = self._running.get(ticket_id)
        if attempt is not None and attempt.first_token_at_ms is None:
            attempt.first_token_at_ms = now_ms

    def note_end(
        self, ticket_id: int, now_ms: int, output_tokens: int | None
    ) -> None:
        """Records an attempt's end; speeds are learned from whole answers.

        Args:
          ticket_id: The request's ticket.
          now_ms: The current time.
          output_tokens: The answer's size, or None when it did not finish.
        """
        attempt = self._running.pop(ticket_id, None)
        if attempt is None:
            return
        attempt.ended_at_ms = now_ms
        self._ended.append(attempt)
        if output_tokens is not None:
            self._learn(attempt, now_ms, output_tokens)

    def estimate_others(self) -> int:
        """Returns how many requests of other routers are there."""
        if self._report is None:
            return 0
        total = self._report.running + self._report.queued
        return max(0, total - self._own_at_report)

    def estimate_occupancy(self) -> int:
        """Returns how many requests run or wait at the upstream."""
        return self.estimate_others() + len(self._running)

    def count_usable_slots(self) -> int:
        """Returns how many slots this router may use at once.

        The router keeps its even share even when others fill all slots, and
        takes only part of the free slots of a report, since the other routers
        see the same report.
        """
        if self._report is None:
            # Plain services never report, and queue what is too much.
            return self._slots
        even_share = math.ceil(self._slots / self._sharing_routers)
        left = self._slots - self.estimate_others()
        free = max(0, self._slots - self._report.running - self._report.queued)
        share = min(1.0, _FREE_SHARE_FACTOR / self._sharing_routers)
        growth = max(1, math.ceil(free * share))
        return max(
            min(left, self._own_at_report + growth),
            min(even_share, self._slots),
        )

    def count_free_slots(self) -> int:
        """Returns how many attempts this router may begin now."""
        return max(0, self.count_usable_slots() - len(self._running))

    def estimate_duration_ms(
        self, ticket: requesting.Ticket, cached_tokens: int = 0
    ) -> float:
        """Returns the time that a request takes once it has a slot."""
        prompt_tokens = max(0, ticket.prompt_tokens - cached_tokens)
        return (
            prompt_tokens * self.prefill_token_ms
            + ticket.expected_output_tokens * self.output_token_ms
        )

    def list_slot_times(self, now_ms: int) -> list[float]:
        """Returns when each usable slot is expected to be free, unordered."""
        ends = [
            self._estimate_end_ms(attempt, now_ms)
            for attempt in self._running.values()
        ]
        excess = len(ends) - self.count_usable_slots()
        if excess >= 0:
            return sorted(ends)[excess:]
        return ends + [float(now_ms)] * -excess

    def _estimate_end_ms(self, attempt: _Attempt, now_ms: int) -> float:
        """Returns when an attempt ends, later when it is overdue."""
        expected = attempt.started_at_ms + attempt.expected_ms
        return max(expected, now_ms + 0.1 * attempt.expected_ms)

    def _count_own_at(self, at_ms: int) -> int:
        """Returns how many own attempts ran at an earlier time."""
        running = sum(
            attempt.started_at_ms <= at_ms for attempt in self._running.values()
        )
        ended = sum(
            attempt.started_at_ms <= at_ms < (attempt.ended_at_ms or 0)
            for attempt in self._ended
        )
        return running + ended

    def _learn(
        self, attempt: _Attempt, now_ms: int, output_tokens: int
    ) -> None:
        """Updates the speeds from a whole answer."""
        self.has_learned = True
        if attempt.ticket.prompt_tokens == 0:
            # A call of a plain service, whose size is counted as output.
            self._learn_output_speed(
                (now_ms - attempt.started_at_ms) / max(1, output_tokens)
            )
            return
        first_ms = attempt.first_token_at_ms
        if first_ms is None:
            self._learn_from_whole(attempt, now_ms, output_tokens)
            return
        if output_tokens > 1:
            self._learn_output_speed((now_ms - first_ms) / (output_tokens - 1))
        if attempt.is_alone_in_slot:
            waited_ms = first_ms - attempt.started_at_ms
            measured = waited_ms / attempt.ticket.prompt_tokens
            self.prefill_token_ms += _LEARNING_RATE * (
                measured - self.prefill_token_ms
            )

    def _learn_from_whole(
        self, attempt: _Attempt, now_ms: int, output_tokens: int
    ) -> None:
        """Learns from an answer that came in one piece."""
        if not attempt.is_alone_in_slot or output_tokens == 0:
            return
        prefill_ms = attempt.ticket.prompt_tokens * self.prefill_token_ms
        output_ms = now_ms - attempt.started_at_ms - prefill_ms
        self._learn_output_speed(max(0.0, output_ms) / output_tokens)

    def _learn_output_speed(self, measured_ms: float) -> None:
        """Moves the time for one output token towards a measured one."""
        self.output_token_ms += _LEARNING_RATE * (
            measured_ms - self.output_token_ms
        )
