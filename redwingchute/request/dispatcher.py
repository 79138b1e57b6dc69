"""Assigns the requests of one router to the slots of its upstream pools.

Handlers wait here for a slot on an upstream and report the results of their
attempts. Each `Pool` makes the scheduling decisions without I/O. The
dispatcher runs them on the event loop: it holds the futures that handlers
wait on, broadcasts notices to other routers and runs the periodic timer.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import random
from typing import TypeAlias

import attrs

from redwingchute.core import configuration
from redwingchute.core import outcomes
from redwingchute.core import requesting
from redwingchute.core import status
from redwingchute.request import admission
from redwingchute.request import crash_probe
from redwingchute.request import dispatch_refusals
from redwingchute.request import leaving_upstreams
from redwingchute.request import output_estimator
from redwingchute.request import patience
from redwingchute.request import pool
from redwingchute.request import pool_requests
from redwingchute.request import prefix_affinity
from redwingchute.request import quarantine
from redwingchute.request import request_lifecycle
from redwingchute.request import request_state
from redwingchute.request import retry
from redwingchute.request import upstream_slot
from redwingchute.request import upstream_subset

# The interval of the periodic timer, see `Dispatcher.run`.
_TICK_MS = 50

# Lower numbers go first: a request that resumes after a failed attempt starts
# before every request that has not been sent yet.
_RESUME_PRIORITY = -1

Notice: TypeAlias = (
    requesting.CrashNotice
    | requesting.QuarantineNotice
    | requesting.LeavingNotice
)


def name_model_pool(model_name: str) -> str:
    """Returns the name of a model's pool."""
    return f"model/{model_name}"


def name_service_pool(service_name: str) -> str:
    """Returns the name of a service's pool."""
    return f"service/{service_name}"


@attrs.frozen
class DispatcherDependencies:
    """The dependencies of a dispatcher, provided by the router process.

    Attributes:
      router_name: The host name of this router.
      zone: The availability zone of this router.
      incarnation: The number of this start of the process, unique among all
        starts of all routers.
      read_clock_ms: Returns the time in milliseconds since the epoch.
      rng: The source of retry jitter.
      broadcast: Sends a notice to all other routers without waiting for or
        guaranteeing its delivery.
    """

    router_name: str
    zone: str
    incarnation: int
    read_clock_ms: Callable[[], int]
    rng: random.Random
    broadcast: Callable[[Notice], None]


@dataclasses.dataclass(frozen=True)
class Requeue:
    """The request must wait for a slot again.

    A copy of it crashed an upstream, or its quarantine changed. It may be a
    suspect or quarantined now.
    """


SlotResult: TypeAlias = upstream_slot.Slot | outcomes.NotRun | Requeue
_DecisionFuture: TypeAlias = (
    "asyncio.Future[pool.Assignment | outcomes.NotRun | Requeue]"
)


class Dispatcher:
    """The upstream pools of one router and the requests that wait for them.

    Attributes:
      quarantine: The requests that crashed upstreams.
      leaving: The upstreams that are about to stop.
      estimator: The expected output of requests, in tokens.
    """

    def __init__(self, dependencies: DispatcherDependencies) -> None:
        """Creates a dispatcher without pools."""
        self._dependencies = dependencies
        self._pools: dict[str, pool.Pool] = {}
        self._pending_decisions: dict[int, _DecisionFuture] = {}
        # The queued and running requests by ticket id, with the name of the
        # upstream, which is empty while a request is queued.
        self._active_requests: dict[
            int, tuple[pool_requests.PoolRequest, str]
        ] = {}
        self._ticket_ids = itertools.count(1)
        self._attempt_ids = request_state.AttemptIds(dependencies.incarnation)
        self._crash_probe = crash_probe.CrashProbe()
        self.quarantine = quarantine.Quarantine(dependencies.router_name)
        self.leaving = leaving_upstreams.LeavingUpstreams()
        self.estimator = output_estimator.OutputEstimator()

    def configure(
        self, current: configuration.Configuration, router_count: int
    ) -> None:
        """Applies a configuration version.

        Pools that stay keep their queues, the load, caches and health of their
        remaining upstreams, and the retry policy that they were created with.
        Requests that wait for a removed pool are refused.

        Args:
          current: The configuration version to apply.
          router_count: The number of routers in the fleet.
        """
        settings = pool.PoolSettings(self._dependencies.zone, current.retry)
        upstreams_by_pool = {
            name_model_pool(model.name): model.upstreams
            for model in current.models
        }
        for service in current.services:
            upstreams_by_pool[name_service_pool(service.name)] = (
                service.upstreams
            )
        pools = {}
        for name, upstreams in upstreams_by_pool.items():
            subset = upstream_subset.choose_subset(
                upstreams,
                self._dependencies.router_name,
                self._dependencies.zone,
                router_count,
            )
            target_pool = self._pools.get(name)
            if target_pool is None:
                target_pool = pool.Pool(settings, (), self.leaving)
            target_pool.upstreams.configure(
                subset.upstreams, subset.sharing_routers
            )
            pools[name] = target_pool
        removed = [
            target_pool
            for n, target_pool in self._pools.items()
            if n not in pools
        ]
        self._pools = pools
        for target_pool in removed:
            for refused in target_pool.refuse_all(
                dispatch_refusals.refuse_unknown_pool()
            ):
                self._resolve(refused.ticket, refused.refusal)
        for name in pools:
            self._schedule(name)

    def list_pools(self) -> dict[str, pool.Pool]:
        """Returns the pools by name."""
        return dict(self._pools)

    def begin_lifecycle(
        self, pool_request: pool_requests.PoolRequest
    ) -> request_lifecycle.RequestLifecycle:
        """Returns the lifecycle of a new request."""
        target_pool = self._pools.get(pool_request.pool_name)
        budget = (
            retry.RetryBudget(configuration.RetryPolicy())
            if target_pool is None
            else target_pool.retry_budget
        )
        settings = request_lifecycle.LifecycleSettings(
            pool_request.is_repeatable, self.find_deadline_ms(pool_request)
        )
        return request_lifecycle.RequestLifecycle(
            settings, self._attempt_ids, budget, self._dependencies.rng
        )

    def find_deadline_ms(self, pool_request: pool_requests.PoolRequest) -> int:
        """Returns the time at which the response must be complete."""
        caller_patience = patience.find_patience(
            pool_request.account, pool_request.kind, pool_request.arrived_ms
        )
        return pool_request.arrived_ms + caller_patience.deadline_ms

    def refuse_early(
        self, pool_request: pool_requests.PoolRequest
    ) -> outcomes.NotRun | None:
        """Returns the refusal if a request would be refused now, or None."""
        now_ms = self._dependencies.read_clock_ms()
        entry = self.quarantine.find(pool_request.key, now_ms)
        if entry is not None:
            return dispatch_refusals.refuse_quarantined(entry, now_ms)
        target_pool = self._pools.get(pool_request.pool_name)
        if target_pool is None:
            return dispatch_refusals.refuse_unknown_pool()
        ticket = self._make_ticket(pool_request, pool_requests.Progress())
        change = patience.find_next_change(
            pool_request.account, pool_request.kind, now_ms
        )
        match target_pool.check_admission(ticket, change, now_ms):
            case admission.Refused(refusal):
                return refusal
            case admission.Admitted():
                return None

    @contextlib.asynccontextmanager
    async def acquire_slot(
        self,
        pool_request: pool_requests.PoolRequest,
        progress: pool_requests.Progress,
    ) -> AsyncIterator[SlotResult]:
        """Waits for a slot and frees it when the context exits.

        Args:
          pool_request: The request.
          progress: The results of its earlier attempts.

        Yields:
          The slot, the refusal, or `Requeue` if the request must wait again.
        """
        now_ms = self._dependencies.read_clock_ms()
        entry = self.quarantine.find(pool_request.key, now_ms)
        target_pool = self._pools.get(pool_request.pool_name)
        if entry is not None:
            yield dispatch_refusals.refuse_quarantined(entry, now_ms)
        elif target_pool is None:
            yield dispatch_refusals.refuse_unknown_pool()
        else:
            ticket = self._make_ticket(pool_request, progress)
            result = await self._wait_for_decision(
                pool_request, target_pool, ticket
            )
            if not isinstance(result, pool.Assignment):
                yield result
                return
            slot = upstream_slot.Slot(
                target_pool, result, self._dependencies.read_clock_ms
            )
            self._active_requests[ticket.ticket_id] = (
                pool_request,
                slot.upstream.name,
            )
            try:
                yield slot
            finally:
                del self._active_requests[ticket.ticket_id]
                target_pool.record_end(
                    ticket.ticket_id,
                    self._dependencies.read_clock_ms(),
                    slot.output_tokens,
                )
                self._schedule(pool_request.pool_name)

    def record_output(
        self, pool_request: pool_requests.PoolRequest, output_tokens: int
    ) -> None:
        """Updates the output estimate from a complete response."""
        self.estimator.record_output(
            pool_request.account.name,
            pool_request.kind,
            pool_request.max_output_tokens,
            output_tokens,
        )

    def estimate_remaining_work_ms(
        self,
        pool_request: pool_requests.PoolRequest,
        progress: pool_requests.Progress,
    ) -> int:
        """Returns the expected time to complete the rest of a request.

        Returns 0 if its pool does not exist or has no usable upstream.
        """
        target_pool = self._pools.get(pool_request.pool_name)
        if target_pool is None:
            return 0
        ticket = self._make_ticket(pool_request, progress)
        return target_pool.estimate_remaining_work_ms(
            ticket, self._dependencies.read_clock_ms()
        )

    async def record_failure(
        self,
        pool_request: pool_requests.PoolRequest,
        slot: upstream_slot.Slot,
        kind: retry.FailureKind,
        attempt_id: str,
    ) -> None:
        """Records a failed attempt.

        After a broken exchange it waits for a probe that finds out whether the
        upstream crashed. Must be called before the slot of the attempt is
        freed. Otherwise a waiting copy of a request that crashed its upstream
        could start on another upstream before the crash is recorded.

        Args:
          pool_request: The request.
          slot: The slot of the attempt.
          kind: How the attempt failed.
          attempt_id: The id of the attempt, empty if nothing was sent.
        """
        now_ms = self._dependencies.read_clock_ms()
        name = slot.upstream.name
        target_pool = self._pools.get(pool_request.pool_name)
        if target_pool is None:
            return
        match kind:
            case retry.FailureKind.NOT_CONNECTED:
                self.mark_unreachable(pool_request.pool_name, name)
            case retry.FailureKind.LEAVING:
                if self.leaving.record_response(name, now_ms):
                    self._dependencies.broadcast(
                        requesting.LeavingNotice(name, now_ms)
                    )
            case retry.FailureKind.BROKEN:
                target_pool.upstreams.outliers.record_failure(name, now_ms)
                if await self._crash_probe.is_down(slot.upstream):
                    self.mark_unreachable(pool_request.pool_name, name)
                    self._record_crash(pool_request, name, attempt_id)
            case _:
                target_pool.upstreams.outliers.record_failure(name, now_ms)

    def mark_unreachable(self, pool_name: str, upstream: str) -> None:
        """Records that an upstream refused a connection."""
        now_ms = self._dependencies.read_clock_ms()
        target_pool = self._pools.get(pool_name)
        if target_pool is not None:
            target_pool.upstreams.mark_unreachable(upstream, now_ms)
        self.leaving.mark_down(upstream, now_ms)

    def mark_reachable(self, pool_name: str, upstream: str) -> None:
        """Records that an upstream accepted a connection."""
        target_pool = self._pools.get(pool_name)
        if target_pool is not None:
            target_pool.upstreams.outliers.mark_reachable(upstream)
        self.leaving.mark_up(upstream)

    def handle_load_report(
        self, pool_name: str, upstream: str, report: requesting.LoadReport
    ) -> None:
        """Applies the load report of an upstream."""
        target_pool = self._pools.get(pool_name)
        if target_pool is None:
            return
        self.leaving.mark_up(upstream)
        target_pool.upstreams.handle_load_report(
            upstream, report, self._dependencies.read_clock_ms()
        )
        self._schedule(pool_name)

    def handle_cache_events(
        self,
        pool_name: str,
        upstream: str,
        events: tuple[prefix_affinity.CacheEvent, ...],
    ) -> None:
        """Applies prefix cache events of an upstream."""
        target_pool = self._pools.get(pool_name)
        if target_pool is not None:
            target_pool.upstreams.handle_cache_events(upstream, events)

    def handle_host_state(self, upstream: str, is_leaving: bool) -> None:
        """Applies the state of an upstream from the platform's host list."""
        self.leaving.handle_host_state(
            upstream, is_leaving, self._dependencies.read_clock_ms()
        )

    def handle_notice(self, notice: Notice) -> None:
        """Applies a notice of another router or a crash on this router."""
        now_ms = self._dependencies.read_clock_ms()
        match notice:
            case requesting.CrashNotice():
                quarantine_notice = self.quarantine.record_crash(notice, now_ms)
                if quarantine_notice is not None:
                    self._dependencies.broadcast(quarantine_notice)
                self._requeue_copies(notice.client_account, notice.body_digest)
            case requesting.QuarantineNotice():
                self.quarantine.handle_notice(notice)
                self._requeue_copies(notice.client_account, notice.body_digest)
            case requesting.LeavingNotice():
                self.leaving.handle_sibling_notice(
                    notice.upstream, notice.seen_at_ms, now_ms
                )

    def list_quarantined(self) -> tuple[status.QuarantinedRequest, ...]:
        """Returns the quarantined requests, for operators."""
        entries = self.quarantine.list_entries(
            self._dependencies.read_clock_ms()
        )
        return tuple(
            status.QuarantinedRequest(
                entry.key.client_account,
                entry.key.body_digest,
                entry.until_ms,
                entry.author,
            )
            for entry in entries
        )

    def lift_quarantine(self, account: str, digest: bytes, author: str) -> bool:
        """Lifts a quarantine on all routers.

        Args:
          account: The client account of the quarantined request.
          digest: The digest of the target and body of the request.
          author: The operator who lifts the quarantine.

        Returns:
          False if the request is not quarantined.
        """
        key = quarantine.RequestKey(account, digest)
        now_ms = self._dependencies.read_clock_ms()
        notice = self.quarantine.lift(key, author, now_ms)
        if notice is not None:
            self._dependencies.broadcast(notice)
        return notice is not None

    def list_running(self) -> tuple[status.RunningRequest, ...]:
        """Returns the queued and running requests, for operators."""
        return tuple(
            status.RunningRequest(
                pool_request.account.name,
                pool_request.pool_name.partition("/")[2],
                pool_request.kind.value,
                upstream,
                "running" if upstream else "queued",
                pool_request.arrived_ms,
            )
            for pool_request, upstream in self._active_requests.values()
        )

    def list_upstreams(self) -> tuple[status.UpstreamStatus, ...]:
        """Returns the states of the upstreams of all pools, for operators."""
        now_ms = self._dependencies.read_clock_ms()
        return tuple(
            state
            for target_pool in self._pools.values()
            for state in target_pool.upstreams.list_states(now_ms)
        )

    async def run(self) -> None:
        """Refills retry budgets and schedules the pools until cancelled.

        The timer is needed because a request can become too late to run, or an
        upstream usable again, by the passing of time alone.
        """
        while True:
            await asyncio.sleep(_TICK_MS / 1000)
            for name, target_pool in self._pools.items():
                target_pool.retry_budget.refill(_TICK_MS)
                if target_pool.queued_count:
                    self._schedule(name)

    def _make_ticket(
        self,
        pool_request: pool_requests.PoolRequest,
        progress: pool_requests.Progress,
    ) -> requesting.Ticket:
        """Returns the ticket for the next attempt at a request."""
        now_ms = self._dependencies.read_clock_ms()
        caller_patience = patience.find_patience(
            pool_request.account, pool_request.kind, pool_request.arrived_ms
        )
        expected_tokens = self.estimator.estimate_tokens(
            pool_request.account.name,
            pool_request.kind,
            pool_request.max_output_tokens,
        )
        return requesting.Ticket(
            ticket_id=next(self._ticket_ids),
            client_account=pool_request.account.name,
            kind=pool_request.kind,
            priority=_RESUME_PRIORITY
            if progress.has_sent
            else caller_patience.priority,
            deadline_ms=pool_request.arrived_ms + caller_patience.deadline_ms,
            # The next attempt also processes the delivered output.
            prompt_tokens=pool_request.prompt_tokens
            + progress.delivered_tokens,
            expected_output_tokens=max(
                1, expected_tokens - progress.delivered_tokens
            ),
            arrived_at_ms=pool_request.arrived_ms,
            prefix_digests=pool_request.prefix_digests,
            body_digest=pool_request.body_digest,
            is_suspect=self.quarantine.is_suspect(pool_request.key, now_ms),
            excluded_upstreams=progress.failed_upstreams,
        )

    async def _wait_for_decision(
        self,
        pool_request: pool_requests.PoolRequest,
        target_pool: pool.Pool,
        ticket: requesting.Ticket,
    ) -> pool.Assignment | outcomes.NotRun | Requeue:
        """Queues a ticket and waits for the decision of the pool."""
        now_ms = self._dependencies.read_clock_ms()
        change = patience.find_next_change(
            pool_request.account, pool_request.kind, now_ms
        )
        match target_pool.submit(ticket, change, now_ms):
            case admission.Refused(refusal):
                return refusal
            case pool.Accepted(displaced):
                if displaced is not None:
                    self._resolve(displaced.ticket, displaced.refusal)
        future: _DecisionFuture = asyncio.get_running_loop().create_future()
        self._pending_decisions[ticket.ticket_id] = future
        self._active_requests[ticket.ticket_id] = pool_request, ""
        self._schedule(pool_request.pool_name)
        try:
            return await future
        except asyncio.CancelledError:
            target_pool.cancel(ticket.ticket_id)
            if future.done() and not future.cancelled():
                # The pool may have assigned a slot, which must be freed.
                target_pool.record_end(ticket.ticket_id, now_ms, None)
                self._schedule(pool_request.pool_name)
            raise
        finally:
            self._pending_decisions.pop(ticket.ticket_id, None)
            self._active_requests.pop(ticket.ticket_id, None)

    def _schedule(self, pool_name: str) -> None:
        """Refuses requests that are too late and starts those that can run."""
        target_pool = self._pools.get(pool_name)
        if target_pool is None:
            return
        now_ms = self._dependencies.read_clock_ms()
        for refused in target_pool.expire(now_ms):
            self._resolve(refused.ticket, refused.refusal)
        while (assignment := target_pool.start_next(now_ms)) is not None:
            self._resolve(assignment.ticket, assignment)

    def _resolve(
        self,
        ticket: requesting.Ticket,
        result: pool.Assignment | outcomes.NotRun | Requeue,
    ) -> None:
        """Passes a decision to the handler that waits for it."""
        future = self._pending_decisions.pop(ticket.ticket_id, None)
        if future is not None and not future.done():
            future.set_result(result)

    def _record_crash(
        self,
        pool_request: pool_requests.PoolRequest,
        upstream: str,
        attempt_id: str,
    ) -> None:
        """Records a crash on this router and notifies the other routers."""
        now_ms = self._dependencies.read_clock_ms()
        crash = requesting.CrashNotice(
            pool_request.account.name,
            pool_request.body_digest,
            upstream,
            attempt_id,
            now_ms,
        )
        self._dependencies.broadcast(crash)
        self.handle_notice(crash)

    def _requeue_copies(self, account: str, digest: bytes) -> None:
        """Requeues the waiting copies of a request."""
        for target_pool in self._pools.values():
            for ticket in target_pool.list_waiting(account, digest):
                target_pool.cancel(ticket.ticket_id)
                self._resolve(ticket, Requeue())
