"""Decides for one pool which request starts when and on which upstream.

This joins the queue, admission, routing and the health of upstreams. It holds
no socket and no clock: a shell submits tickets, asks what may start after each
event, and reports what became of the attempts.
"""

from collections.abc import Iterable
import dataclasses
from typing import TypeAlias

import attrs

from redwingchute.core import configuration
from redwingchute.core import outcomes
from redwingchute.core import requesting
from redwingchute.request import admission
from redwingchute.request import crash_guard
from redwingchute.request import leaving_upstreams
from redwingchute.request import load_model
from redwingchute.request import patience
from redwingchute.request import queue
from redwingchute.request import retry
from redwingchute.request import routing
from redwingchute.request import upstream_table

# The share of a forecast wait that counts where routers share upstreams.
_SHARED_WAIT_SHARE = 0.5

# The share by which an answer may take longer than expected and still be in
# time, on the upstreams that are preferred for it.
_SAFETY_SHARE = 0.3


@attrs.frozen
class PoolSettings:
    """What does not change while a pool lives.

    Attributes:
      local_zone: The router's availability zone.
      retry_policy: How often failed attempts are repeated.
      max_queued: How many requests may wait.
    """

    local_zone: str
    retry_policy: configuration.RetryPolicy = attrs.field(
        factory=configuration.RetryPolicy
    )
    max_queued: int = queue.DEFAULT_MAX_TICKETS


@attrs.frozen
class GivenUp:
    """A waiting request that gets its refusal now."""

    ticket: requesting.Ticket
    refusal: outcomes.NotRun


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The request waits for its start; `displaced` was given up for it."""

    displaced: GivenUp | None = None


SubmitResult: TypeAlias = Accepted | admission.Refused


@attrs.frozen
class Start:
    """A request that must be sent now.

    Attributes:
      ticket: The request.
      upstream: Where it goes.
      completion_ms: When its answer is expected to end.
    """

    ticket: requesting.Ticket
    upstream: configuration.Upstream
    completion_ms: float


@attrs.frozen
class _Running:
    """A request that an upstream runs."""

    ticket: requesting.Ticket
    load: load_model.UpstreamLoad


class Pool:
    """The decisions for one pool of upstreams.

    Attributes:
      retry_budget: The pool's budget of retries.
      upstreams: What is known of its upstreams.
    """

    def __init__(
        self,
        settings: PoolSettings,
        upstreams: Iterable[configuration.Upstream],
        leaving: leaving_upstreams.LeavingUpstreams,
        sharing_routers: int = 1,
    ) -> None:
        """Starts with an empty queue.

        Args:
          settings: What does not change.
          upstreams: The upstreams of the configuration version in force.
          leaving: Shared by all pools of the router.
          sharing_routers: How many routers send work to each upstream.
        """
        self._settings = settings
        self._queue = queue.PoolQueue(settings.max_queued)
        self._running: dict[int, _Running] = {}
        self._guard = crash_guard.CrashGuard()
        self.retry_budget = retry.RetryBudget(settings.retry_policy)
        self.upstreams = upstream_table.UpstreamTable(leaving)
        self.upstreams.configure(upstreams, sharing_routers)

    @property
    def queued_count(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def list_waiting(
        self, client_account: str, body_digest: bytes
    ) -> tuple[requesting.Ticket, ...]:
        """Returns the waiting copies of one request."""
        return tuple(
            ticket
            for ticket in self._queue
            if ticket.client_account == client_account
            and ticket.body_digest == body_digest
        )

    def forecast(
        self,
        ticket: requesting.Ticket,
        patience_change: patience.PatienceChange | None,
        now_ms: int,
    ) -> admission.AdmissionResult:
        """Tells whether a request would be admitted now."""
        ahead = self._queue.list_ahead(ticket) if len(self._queue) else []
        return admission.decide_admission(
            ticket, ahead, self._view(ticket, now_ms), patience_change, now_ms
        )

    def submit(
        self,
        ticket: requesting.Ticket,
        patience_change: patience.PatienceChange | None,
        now_ms: int,
    ) -> SubmitResult:
        """Admits a request to the queue or refuses it at once."""
        decision = self.forecast(ticket, patience_change, now_ms)
        if isinstance(decision, admission.Refused):
            return decision
        match self._queue.add(ticket):
            case queue.Queued():
                return Accepted()
            case queue.QueueFull():
                start_ms = decision.forecast.start_ms
                return admission.Refused(
                    admission.refuse_queue_full(start_ms, now_ms)
                )
            case queue.Displaced(displaced):
                refusal = admission.refuse_queue_full(None, now_ms)
                return Accepted(GivenUp(displaced, refusal))

    def start_next(self, now_ms: int) -> Start | None:
        """Takes out the next request that can start and end in time."""
        if not len(self._queue):
            return None
        usable = self.upstreams.list_usable(now_ms)
        free_loads = [load for load in usable if load.count_free_slots() > 0]
        if usable and not free_loads:
            return None
        unsafe: list[tuple[requesting.Ticket, routing.Choice]] = []
        for ticket in self._queue.iterate_in_order():
            loads = free_loads or self.upstreams.list_last_resort(
                ticket, now_ms
            )
            choice = self._choose(ticket, loads, now_ms)
            if choice is None or choice.completion_ms > ticket.deadline_ms:
                continue
            if _is_safe(ticket, choice, now_ms):
                return self._start(ticket, choice, now_ms)
            unsafe.append((ticket, choice))
        is_overloaded = self._is_overloaded(usable)
        for ticket, choice in unsafe:
            if is_overloaded or not any(
                _could_be_safe(ticket, load, now_ms) for load in usable
            ):
                return self._start(ticket, choice, now_ms)
        # The rest waits for upstreams that are fast enough.
        return None

    def expire(self, now_ms: int) -> tuple[GivenUp, ...]:
        """Takes out the requests that cannot end in time any more."""
        if not len(self._queue):
            return ()
        usable = self.upstreams.list_usable(now_ms)
        given_up = []
        for ticket in self._queue:
            loads = usable or self.upstreams.list_last_resort(ticket, now_ms)
            if not loads:
                refusal = admission.refuse_pool_down(
                    self.upstreams.find_next_return_ms(now_ms), now_ms
                )
            elif _can_end_in_time(ticket, loads, now_ms):
                continue
            else:
                refusal = self._refuse_expired(ticket, now_ms)
            self._queue.remove(ticket.ticket_id)
            given_up.append(GivenUp(ticket, refusal))
        return tuple(given_up)

    def give_up_all(self, refusal: outcomes.NotRun) -> tuple[GivenUp, ...]:
        """Takes out all waiting requests, when the pool is removed."""
        tickets = tuple(self._queue)
        for ticket in tickets:
            self._queue.remove(ticket.ticket_id)
        return tuple(GivenUp(ticket, refusal) for ticket in tickets)

    def cancel(self, ticket_id: int) -> None:
        """Takes out a waiting request whose caller went away."""
        self._queue.remove(ticket_id)

    def note_first_token(self, ticket_id: int, now_ms: int) -> None:
        """Records the first output of a running request."""
        running = self._running.get(ticket_id)
        if running is not None:
            running.load.record_first_token(ticket_id, now_ms)
            self._guard.note_output(running.ticket)

    def note_end(
        self, ticket_id: int, now_ms: int, output_tokens: int | None
    ) -> None:
        """Records that an attempt ended, with its size if it was whole."""
        running = self._running.pop(ticket_id, None)
        if running is None:
            return
        name = running.load.upstream.name
        is_whole = output_tokens is not None
        running.load.record_end(ticket_id, now_ms, output_tokens)
        self._guard.note_end(running.ticket, name, is_whole)
        if is_whole:
            self.upstreams.outliers.record_success(name)
            self.upstreams.share_speed()

    def estimate_work_left_ms(
        self, ticket: requesting.Ticket, now_ms: int
    ) -> int:
        """Returns the time that a request takes on the best upstream."""
        durations = [
            load.estimate_duration_ms(ticket)
            for load in self.upstreams.list_usable(now_ms)
        ]
        return round(min(durations, default=0.0))

    def _start(
        self, ticket: requesting.Ticket, choice: routing.Choice, now_ms: int
    ) -> Start:
        """Moves a request from the queue to its upstream."""
        self._queue.start(ticket.ticket_id)
        choice.load.record_start(ticket, now_ms, choice.cached_tokens)
        self._running[ticket.ticket_id] = _Running(ticket, choice.load)
        upstream = choice.load.upstream
        self._guard.note_start(ticket, upstream.name)
        self.upstreams.note_dispatch(upstream.name, ticket.prefix_digests)
        return Start(ticket, upstream, choice.completion_ms)

    def _is_overloaded(self, usable: list[load_model.UpstreamLoad]) -> bool:
        """Tells whether more requests wait than this router can run at once.

        Some will then be given up, so that an upstream is better used for an
        answer that may be late than not at all.
        """
        slots = sum(load.count_usable_slots() for load in usable)
        return len(self._queue) > slots

    def _choose(
        self,
        ticket: requesting.Ticket,
        loads: list[load_model.UpstreamLoad],
        now_ms: int,
    ) -> routing.Choice | None:
        """Chooses among upstreams that have a free slot for a request."""
        fitting = [
            load
            for load in loads
            if self._guard.may_start(ticket, load.upstream.name)
        ]
        others = [
            load
            for load in fitting
            if load.upstream.name not in ticket.excluded_upstreams
        ]
        candidates = [
            routing.Candidate(
                load,
                self.upstreams.estimate_cached_share(ticket, load),
                load.upstream.zone == self._settings.local_zone,
                float(now_ms),
            )
            for load in others or fitting
        ]
        return routing.choose_upstream(ticket, candidates)

    def _view(
        self, ticket: requesting.Ticket, now_ms: int
    ) -> admission.PoolView:
        """Returns what admission needs to know."""
        return admission.PoolView(
            self.upstreams.list_usable(now_ms)
            or self.upstreams.list_last_resort(ticket, now_ms),
            self.upstreams.find_next_return_ms(now_ms),
            1.0 if self.upstreams.sharing_routers == 1 else _SHARED_WAIT_SHARE,
        )

    def _refuse_expired(
        self, ticket: requesting.Ticket, now_ms: int
    ) -> outcomes.NotRun:
        """Returns the refusal of a request that waited in vain."""
        forecast = admission.forecast_request(
            ticket,
            self._queue.iterate_in_order(),
            self.upstreams.list_usable(now_ms),
            now_ms,
        )
        patience_ms = ticket.deadline_ms - ticket.arrived_at_ms
        late_ms = 0.0
        if forecast is not None:
            late_ms = forecast.completion_ms - now_ms - patience_ms
        return admission.refuse_too_late(
            admission.clamp_retry_after_ms(late_ms)
        )


def _is_safe(
    ticket: requesting.Ticket, choice: routing.Choice, now_ms: int
) -> bool:
    """Tells whether a choice leaves room for an answer of unusual length."""
    duration_ms = choice.completion_ms - now_ms
    return now_ms + duration_ms * (1 + _SAFETY_SHARE) <= ticket.deadline_ms


def _could_be_safe(
    ticket: requesting.Ticket, load: load_model.UpstreamLoad, now_ms: int
) -> bool:
    """Tells the same of an upstream, if it were free now."""
    duration_ms = load.estimate_duration_ms(ticket)
    return now_ms + duration_ms * (1 + _SAFETY_SHARE) <= ticket.deadline_ms


def _can_end_in_time(
    ticket: requesting.Ticket,
    loads: list[load_model.UpstreamLoad],
    now_ms: int,
) -> bool:
    """Tells whether any upstream could end a request that starts now."""
    return any(
        now_ms + load.estimate_duration_ms(ticket) <= ticket.deadline_ms
        for load in loads
    )
