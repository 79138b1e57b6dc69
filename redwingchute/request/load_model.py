"""Estimates the load and speed of one upstream between its load reports.

A report states the load of the upstream some seconds ago. The attempts that
this router has started and ended since then are known exactly, so the estimate
is the load of the other routers at the time of the report plus the current load
of this router. Speeds are moving averages over the responses that this router
received.
"""

import math

import attrs

from redwingchute.core import configuration
from redwingchute.core import requesting

# The time for one token before the first sample.
_INITIAL_PREFILL_TOKEN_MS = 0.2
_INITIAL_OUTPUT_TOKEN_MS = 20.0
# The weight of the newest sample in the average time for one token.
_SAMPLE_WEIGHT = 0.2

# The expected remaining time of an overdue attempt, as a share of its expected
# duration.
_OVERDUE_SHARE = 0.1

# Ended attempts are kept this long, to decide whether they ran at the time of a
# report that arrives late.
_HISTORY_MS = 10_000

# A router may fill its even share of the reported free slots times this factor
# before the next report shows the load of the other routers.
_FREE_SHARE_FACTOR = 4.0


@attrs.define
class _Attempt:
    """An attempt of this router at the upstream.

    Attributes:
      ticket: The request.
      started_at_ms: When it started.
      expected_ms: Its expected duration.
      had_free_slot: Whether a slot was free when it started, so that its
        time to first token contains no wait.
      first_token_at_ms: When its first output arrived, or None.
      ended_at_ms: When it ended, or None.
    """

    ticket: requesting.Ticket
    started_at_ms: int
    expected_ms: float
    had_free_slot: bool
    first_token_at_ms: int | None = None
    ended_at_ms: int | None = None


class UpstreamLoad:
    """One router's estimate of the load and speed of one upstream.

    Attributes:
      upstream: The upstream.
      prefill_token_ms: The estimated time for one uncached prompt token.
      output_token_ms: The estimated time for one output token.
      has_learned_speeds: Whether the speeds include responses of this upstream.
    """

    def __init__(
        self, upstream: configuration.Upstream, sharing_routers: int = 1
    ) -> None:
        """Creates an estimate without reports.

        Args:
          upstream: The upstream.
          sharing_routers: The number of routers that send work to it, this one
            included.
        """
        self.upstream = upstream
        self.prefill_token_ms = _INITIAL_PREFILL_TOKEN_MS
        self.output_token_ms = _INITIAL_OUTPUT_TOKEN_MS
        self.has_learned_speeds = False
        self._sharing_routers = max(1, sharing_routers)
        self._slots = upstream.slots
        self._report: requesting.LoadReport | None = None
        self._own_count_at_report = 0
        self._running_attempts: dict[int, _Attempt] = {}
        self._ended_attempts: list[_Attempt] = []

    @property
    def own_attempt_count(self) -> int:
        """The number of this router's attempts that run there."""
        return len(self._running_attempts)

    @property
    def report(self) -> requesting.LoadReport | None:
        """The newest load report, or None."""
        return self._report

    @property
    def slots(self) -> int:
        """The number of requests that the upstream runs concurrently."""
        return self._slots

    def copy_speeds(self, other: "UpstreamLoad") -> None:
        """Copies the speeds of another upstream while it has learned none."""
        if not self.has_learned_speeds:
            self.prefill_token_ms = other.prefill_token_ms
            self.output_token_ms = other.output_token_ms

    def set_sharing_routers(self, count: int) -> None:
        """Sets the number of routers that send work to the upstream."""
        self._sharing_routers = max(1, count)

    def handle_load_report(
        self, report: requesting.LoadReport, received_at_ms: int
    ) -> None:
        """Records a load report, unless it is older than the last one.

        The time of a report is on the engine's clock. If that is ahead, the
        time of arrival replaces it.
        """
        at_ms = min(report.at_ms, received_at_ms)
        if self._report is not None and at_ms < self._report.at_ms:
            return
        self._report = attrs.evolve(report, at_ms=at_ms)
        self._slots = max(1, report.slots)
        self._own_count_at_report = self._count_own_attempts_at(at_ms)
        oldest_ms = received_at_ms - _HISTORY_MS
        self._ended_attempts = [
            attempt
            for attempt in self._ended_attempts
            if (attempt.ended_at_ms or 0) >= oldest_ms
        ]

    def record_start(
        self, ticket: requesting.Ticket, now_ms: int, cached_tokens: int = 0
    ) -> None:
        """Records the start of an attempt."""
        self._running_attempts[ticket.ticket_id] = _Attempt(
            ticket,
            now_ms,
            self.estimate_duration_ms(ticket, cached_tokens),
            self.estimate_occupancy() < self._slots,
        )

    def record_first_token(self, ticket_id: int, now_ms: int) -> None:
        """Records the first output of an attempt."""
        attempt = self._running_attempts.get(ticket_id)
        if attempt is not None and attempt.first_token_at_ms is None:
            attempt.first_token_at_ms = now_ms

    def record_end(
        self, ticket_id: int, now_ms: int, output_tokens: int | None
    ) -> None:
        """Records the end of an attempt; complete responses update the speeds.

        Args:
          ticket_id: The request's ticket.
          now_ms: The current time.
          output_tokens: The size of the response, or None if it is not
            complete.
        """
        attempt = self._running_attempts.pop(ticket_id, None)
        if attempt is None:
            return
        attempt.ended_at_ms = now_ms
        self._ended_attempts.append(attempt)
        if output_tokens is not None:
            self._update_speeds(attempt, now_ms, output_tokens)

    def estimate_other_requests(self) -> int:
        """Returns how many requests of other routers run or wait there."""
        if self._report is None:
            return 0
        total = self._report.running + self._report.queued
        return max(0, total - self._own_count_at_report)

    def estimate_occupancy(self) -> int:
        """Returns how many requests run or wait at the upstream."""
        return self.estimate_other_requests() + len(self._running_attempts)

    def count_usable_slots(self) -> int:
        """Returns how many slots this router may use concurrently.

        The router may always use its even share, also while others fill all
        slots. Of the free slots in a report it uses only a part, since the
        other routers get the same report.
        """
        if self._report is None:
            # Services other than engines send no reports and queue excess
            # requests.
            return self._slots
        even_share = math.ceil(self._slots / self._sharing_routers)
        available = self._slots - self.estimate_other_requests()
        free = max(0, self._slots - self._report.running - self._report.queued)
        share = min(1.0, _FREE_SHARE_FACTOR / self._sharing_routers)
        growth = max(1, math.ceil(free * share))
        return max(
            min(available, self._own_count_at_report + growth),
            min(even_share, self._slots),
        )

    def count_free_slots(self) -> int:
        """Returns how many attempts this router may start now."""
        return max(0, self.count_usable_slots() - len(self._running_attempts))

    def estimate_duration_ms(
        self, ticket: requesting.Ticket, cached_tokens: int = 0
    ) -> float:
        """Returns how long a request occupies a slot."""
        prompt_tokens = max(0, ticket.prompt_tokens - cached_tokens)
        return (
            prompt_tokens * self.prefill_token_ms
            + ticket.expected_output_tokens * self.output_token_ms
        )

    def list_slot_available_ms(self, now_ms: int) -> list[float]:
        """Returns when each usable slot is expected to be free, in no order."""
        ends_ms = [
            self._estimate_end_ms(attempt, now_ms)
            for attempt in self._running_attempts.values()
        ]
        excess = len(ends_ms) - self.count_usable_slots()
        # If more attempts run than slots are usable, the end of the first ones
        # does not make a slot available.
        if excess >= 0:
            return sorted(ends_ms)[excess:]
        return ends_ms + [float(now_ms)] * -excess

    def _estimate_end_ms(self, attempt: _Attempt, now_ms: int) -> float:
        """Returns when an attempt is expected to end; never a past time."""
        expected_end_ms = attempt.started_at_ms + attempt.expected_ms
        return max(
            expected_end_ms, now_ms + _OVERDUE_SHARE * attempt.expected_ms
        )

    def _count_own_attempts_at(self, at_ms: int) -> int:
        """Returns how many attempts of this router ran at an earlier time."""
        running = sum(
            attempt.started_at_ms <= at_ms
            for attempt in self._running_attempts.values()
        )
        ended = sum(
            attempt.started_at_ms <= at_ms < (attempt.ended_at_ms or 0)
            for attempt in self._ended_attempts
        )
        return running + ended

    def _update_speeds(
        self, attempt: _Attempt, now_ms: int, output_tokens: int
    ) -> None:
        """Updates the speeds with a complete response."""
        self.has_learned_speeds = True
        if attempt.ticket.prompt_tokens == 0:
            # A call of a service other than an engine: its response counts as
            # one output token.
            self._add_output_sample(
                (now_ms - attempt.started_at_ms) / max(1, output_tokens)
            )
            return
        first_ms = attempt.first_token_at_ms
        if first_ms is None:
            self._update_from_unstreamed(attempt, now_ms, output_tokens)
            return
        if output_tokens > 1:
            self._add_output_sample((now_ms - first_ms) / (output_tokens - 1))
        if attempt.had_free_slot:
            waited_ms = first_ms - attempt.started_at_ms
            sample_ms = waited_ms / attempt.ticket.prompt_tokens
            self.prefill_token_ms += _SAMPLE_WEIGHT * (
                sample_ms - self.prefill_token_ms
            )

    def _update_from_unstreamed(
        self, attempt: _Attempt, now_ms: int, output_tokens: int
    ) -> None:
        """Updates the output speed with a response that was not streamed."""
        if not attempt.had_free_slot or output_tokens == 0:
            return
        prefill_ms = attempt.ticket.prompt_tokens * self.prefill_token_ms
        output_ms = now_ms - attempt.started_at_ms - prefill_ms
        self._add_output_sample(max(0.0, output_ms) / output_tokens)

    def _add_output_sample(self, sample_ms: float) -> None:
        """Adds a sample to the average time for one output token."""
        self.output_token_ms += _SAMPLE_WEIGHT * (
            sample_ms - self.output_token_ms
        )
