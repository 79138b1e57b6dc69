"""Decides when each request of one pool starts, and on which upstream.

A pool combines the queue, admission, routing and upstream health. It does no
I/O and reads no clock: the dispatcher submits tickets, starts the next requests
after each event, and reports the results of the attempts.
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
from redwingchute.request import request_queue
from redwingchute.request import retry
from redwingchute.request import routing
from redwingchute.request import upstream_table

# The share of the forecast wait that admission counts when several routers
# send requests to the same upstreams, see `admission.PoolView`.
_SHARED_WAIT_SHARE = 0.5

# A request prefers upstreams on which its response meets the deadline even if
# it takes longer than expected by this share.
_DURATION_MARGIN_SHARE = 0.3


@attrs.frozen
class PoolSettings:
    """The settings of a pool that stay the same as long as it exists.

    Attributes:
      local_zone: The availability zone of the router.
      retry_policy: The limits on retries of failed attempts.
      max_queued: The maximum number of waiting requests.
    """

    local_zone: str
    retry_policy: configuration.RetryPolicy = attrs.field(
        factory=configuration.RetryPolicy
    )
    max_queued: int = request_queue.DEFAULT_MAX_TICKETS


@attrs.frozen
class RefusedTicket:
    """A ticket that was removed from the queue, and the refusal it gets."""

    ticket: requesting.Ticket
    refusal: outcomes.NotRun


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The request was queued.

    Attributes:
      displaced: The less urgent request that was removed from a full queue to
        make room, if any.
    """

    displaced: RefusedTicket | None = None


SubmitResult: TypeAlias = Accepted | admission.Refused


@attrs.frozen
class Assignment:
    """A request that is assigned to an upstream and must be sent now.

    Attributes:
      ticket: The request.
      upstream: The upstream that it is assigned to.
      completion_ms: The time at which the response is expected to be complete.
    """

    ticket: requesting.Ticket
    upstream: configuration.Upstream
    completion_ms: float


@attrs.frozen
class _Running:
    """A running request and the load of the upstream that runs it."""

    ticket: requesting.Ticket
    load: load_model.UpstreamLoad


class Pool:
    """The scheduler of one pool of upstreams.

    Attributes:
      retry_budget: Limits the retries of the requests of this pool.
      upstreams: The load, caches and health of its upstreams.
    """

    def __init__(
        self,
        settings: PoolSettings,
        upstreams: Iterable[configuration.Upstream],
        leaving: leaving_upstreams.LeavingUpstreams,
        sharing_routers: int = 1,
    ) -> None:
        """Creates a pool with an empty queue.

        Args:
          settings: The settings that do not change.
          upstreams: The upstreams of the configuration version in force.
          leaving: The upstreams that are about to stop; shared by all pools of
            the router.
          sharing_routers: The number of routers that send requests to each
            upstream.
        """
        self._settings = settings
        self._queue = request_queue.PoolQueue(settings.max_queued)
        self._running: dict[int, _Running] = {}
        self._crash_guard = crash_guard.CrashGuard()
        self.retry_budget = retry.RetryBudget(settings.retry_policy)
        self.upstreams = upstream_table.UpstreamTable(leaving)
        self.upstreams.configure(upstreams, sharing_routers)

    @property
    def queued_count(self) -> int:
        """The number of waiting requests."""
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

    def check_admission(
        self,
        ticket: requesting.Ticket,
        patience_change: patience.PatienceChange | None,
        now_ms: int,
    ) -> admission.AdmissionResult:
        """Returns whether a request would be admitted now, without queueing it.

        Args:
          ticket: The request.
          patience_change: The next change of the patience of the caller, None
            if there is none.
          now_ms: The current time.
        """
        ahead = self._queue.list_ahead(ticket) if len(self._queue) else []
        return admission.decide_admission(
            ticket,
            ahead,
            self._make_pool_view(ticket, now_ms),
            patience_change,
            now_ms,
        )

    def submit(
        self,
        ticket: requesting.Ticket,
        patience_change: patience.PatienceChange | None,
        now_ms: int,
    ) -> SubmitResult:
        """Queues a request or refuses it.

        Args:
          ticket: The request.
          patience_change: The next change of the patience of the caller, None
            if there is none.
          now_ms: The current time.
        """
        decision = self.check_admission(ticket, patience_change, now_ms)
        if isinstance(decision, admission.Refused):
            return decision
        match self._queue.add(ticket):
            case request_queue.Queued():
                return Accepted()
            case request_queue.QueueFull():
                start_ms = decision.forecast.start_ms
                return admission.Refused(
                    admission.refuse_queue_full(start_ms, now_ms)
                )
            case request_queue.Displaced(displaced):
                refusal = admission.refuse_queue_full(None, now_ms)
                return Accepted(RefusedTicket(displaced, refusal))

    def start_next(self, now_ms: int) -> Assignment | None:
        """Dequeues the next request that can start and meet its deadline.

        Requests whose deadline leaves a safety margin on a free upstream go
        first, in queue order. A request without this margin waits for a
        faster upstream, unless no usable upstream would give the margin or
        the pool is overloaded. If no upstream is usable, each request may
        try a few of the unreachable ones.

        Returns:
          The assignment, or None if no request can start now.
        """
        if not len(self._queue):
            return None
        usable = self.upstreams.list_usable(now_ms)
        free_loads = [load for load in usable if load.count_free_slots() > 0]
        if usable and not free_loads:
            return None
        without_margin: list[tuple[requesting.Ticket, routing.Choice]] = []
        for ticket in self._queue.iterate_in_order():
            loads = free_loads or self.upstreams.list_last_resort(
                ticket, now_ms
            )
            choice = self._choose_upstream(ticket, loads, now_ms)
            if choice is None or choice.completion_ms > ticket.deadline_ms:
                continue
            if _has_margin(ticket, choice, now_ms):
                return self._assign(ticket, choice, now_ms)
            without_margin.append((ticket, choice))
        is_overloaded = self._is_overloaded(usable)
        for ticket, choice in without_margin:
            if is_overloaded or not any(
                _could_have_margin(ticket, load, now_ms) for load in usable
            ):
                return self._assign(ticket, choice, now_ms)
        # The other requests wait for an upstream that is fast enough.
        return None

    def expire(self, now_ms: int) -> tuple[RefusedTicket, ...]:
        """Removes the requests that can no longer meet their deadline.

        If no upstream is usable, removes all requests that have no unreachable
        upstream left to try.
        """
        if not len(self._queue):
            return ()
        usable = self.upstreams.list_usable(now_ms)
        refused = []
        for ticket in self._queue:
            loads = usable or self.upstreams.list_last_resort(ticket, now_ms)
            if not loads:
                refusal = admission.refuse_pool_down(
                    self.upstreams.find_next_available_ms(now_ms), now_ms
                )
            elif _can_end_in_time(ticket, loads, now_ms):
                continue
            else:
                refusal = self._refuse_expired(ticket, now_ms)
            self._queue.remove(ticket.ticket_id)
            refused.append(RefusedTicket(ticket, refusal))
        return tuple(refused)

    def refuse_all(self, refusal: outcomes.NotRun) -> tuple[RefusedTicket, ...]:
        """Removes all waiting requests because the pool is removed."""
        tickets = tuple(self._queue)
        for ticket in tickets:
            self._queue.remove(ticket.ticket_id)
        return tuple(RefusedTicket(ticket, refusal) for ticket in tickets)

    def cancel(self, ticket_id: int) -> None:
        """Removes a request from the queue, if it is still waiting."""
        self._queue.remove(ticket_id)

    def record_first_token(self, ticket_id: int, now_ms: int) -> None:
        """Records the time of the first output of a running request."""
        running = self._running.get(ticket_id)
        if running is not None:
            running.load.record_first_token(ticket_id, now_ms)
            self._crash_guard.record_output(running.ticket)

    def record_end(
        self, ticket_id: int, now_ms: int, output_tokens: int | None
    ) -> None:
        """Records the end of an attempt.

        Args:
          ticket_id: The ticket of the attempt.
          now_ms: The current time.
          output_tokens: The size of the response in tokens if it is complete,
            else None.
        """
        running = self._running.pop(ticket_id, None)
        if running is None:
            return
        name = running.load.upstream.name
        is_complete = output_tokens is not None
        running.load.record_end(ticket_id, now_ms, output_tokens)
        self._crash_guard.record_end(running.ticket, name, is_complete)
        if is_complete:
            self.upstreams.outliers.record_success(name)
            self.upstreams.assume_fastest_speed()

    def estimate_remaining_work_ms(
        self, ticket: requesting.Ticket, now_ms: int
    ) -> int:
        """Returns the expected duration of a request on the fastest upstream.

        Returns 0 if no upstream is usable.
        """
        durations = [
            load.estimate_duration_ms(ticket)
            for load in self.upstreams.list_usable(now_ms)
        ]
        return round(min(durations, default=0.0))

    def _assign(
        self, ticket: requesting.Ticket, choice: routing.Choice, now_ms: int
    ) -> Assignment:
        """Moves a request from the queue to an upstream."""
        self._queue.dequeue(ticket.ticket_id)
        choice.load.record_start(ticket, now_ms, choice.cached_tokens)
        self._running[ticket.ticket_id] = _Running(ticket, choice.load)
        upstream = choice.load.upstream
        self._crash_guard.record_start(ticket, upstream.name)
        self.upstreams.record_dispatch(upstream.name, ticket.prefix_digests)
        return Assignment(ticket, upstream, choice.completion_ms)

    def _is_overloaded(self, usable: list[load_model.UpstreamLoad]) -> bool:
        """Returns whether more requests wait than this router can run at once.

        Some of them will then miss their deadline anyway, so that running a
        request that may be late is better than leaving a slot unused.
        """
        slots = sum(load.count_usable_slots() for load in usable)
        return len(self._queue) > slots

    def _choose_upstream(
        self,
        ticket: requesting.Ticket,
        loads: list[load_model.UpstreamLoad],
        now_ms: int,
    ) -> routing.Choice | None:
        """Chooses one of the given upstreams, or None if none may run it.

        Upstreams that failed an earlier attempt at the request are chosen only
        if there is no other.
        """
        allowed = [
            load
            for load in loads
            if self._crash_guard.may_start(ticket, load.upstream.name)
        ]
        not_excluded = [
            load
            for load in allowed
            if load.upstream.name not in ticket.excluded_upstreams
        ]
        candidates = [
            routing.Candidate(
                load,
                self.upstreams.estimate_cached_share(ticket, load),
                load.upstream.zone == self._settings.local_zone,
                float(now_ms),
            )
            for load in not_excluded or allowed
        ]
        return routing.choose_upstream(ticket, candidates)

    def _make_pool_view(
        self, ticket: requesting.Ticket, now_ms: int
    ) -> admission.PoolView:
        """Returns the state of the pool that admission decides on."""
        return admission.PoolView(
            self.upstreams.list_usable(now_ms)
            or self.upstreams.list_last_resort(ticket, now_ms),
            self.upstreams.find_next_available_ms(now_ms),
            1.0 if self.upstreams.sharing_routers == 1 else _SHARED_WAIT_SHARE,
        )

    def _refuse_expired(
        self, ticket: requesting.Ticket, now_ms: int
    ) -> outcomes.NotRun:
        """Returns the refusal of a request that waited too long.

        Its `Retry-After` is the time after which the same request is expected
        to meet its deadline.
        """
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


def _has_margin(
    ticket: requesting.Ticket, choice: routing.Choice, now_ms: int
) -> bool:
    """Returns whether a request meets its deadline with the margin."""
    duration_ms = choice.completion_ms - now_ms
    return (
        now_ms + duration_ms * (1 + _DURATION_MARGIN_SHARE)
        <= ticket.deadline_ms
    )


def _could_have_margin(
    ticket: requesting.Ticket, load: load_model.UpstreamLoad, now_ms: int
) -> bool:
    """Returns whether `_has_margin` would hold if an upstream were free."""
    duration_ms = load.estimate_duration_ms(ticket)
    return (
        now_ms + duration_ms * (1 + _DURATION_MARGIN_SHARE)
        <= ticket.deadline_ms
    )


def _can_end_in_time(
    ticket: requesting.Ticket,
    loads: list[load_model.UpstreamLoad],
    now_ms: int,
) -> bool:
    """Returns whether a request that starts now could meet its deadline."""
    return any(
        now_ms + load.estimate_duration_ms(ticket) <= ticket.deadline_ms
        for load in loads
    )
