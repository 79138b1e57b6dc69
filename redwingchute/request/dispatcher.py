"""Runs the decisions of all pools of a router on its loop.

Handlers wait here for a slot on an upstream and report what became of their
attempts. Pools decide; this class keeps the waiting futures, passes notices
on to other routers, and lets time pass.
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
from redwingchute.request import attempt
from redwingchute.request import crash_probe
from redwingchute.request import dispatch_refusals
from redwingchute.request import leaving_upstreams
from redwingchute.request import output_estimator
from redwingchute.request import patience
from redwingchute.request import pool
from redwingchute.request import prefix_affinity
from redwingchute.request import quarantine
from redwingchute.request import request_life
from redwingchute.request import retry
from redwingchute.request import slot as slot_lib
from redwingchute.request import upstream_subset
from redwingchute.request import work as work_lib

_TICK_MS = 50

# A request that has run goes before all that have not.
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
class DispatcherParts:
    """What a dispatcher needs of its process.

    Attributes:
      router_name: This router's host name.
      zone: Its availability zone.
      incarnation: This start of the process.
      read_clock_ms: Returns the time.
      rng: The source of jitter.
      broadcast: Sends a notice to all other routers, best effort.
    """

    router_name: str
    zone: str
    incarnation: int
    read_clock_ms: Callable[[], int]
    rng: random.Random
    broadcast: Callable[[Notice], None]


@dataclasses.dataclass(frozen=True)
class Requeue:
    """The request must be looked at anew, since a copy of it crashed."""


SlotResult: TypeAlias = slot_lib.Slot | outcomes.NotRun | Requeue
_Wait: TypeAlias = "asyncio.Future[pool.Start | outcomes.NotRun | Requeue]"


class Dispatcher:
    """The pools of one router and the requests that wait for them.

    Attributes:
      quarantine: The requests that crashed upstreams.
      leaving: The upstreams that are leaving.
      estimator: The expected sizes of answers.
    """

    def __init__(self, parts: DispatcherParts) -> None:
        """Starts without pools."""
        self._parts = parts
        self._pools: dict[str, pool.Pool] = {}
        self._waits: dict[int, _Wait] = {}
        self._works: dict[int, tuple[work_lib.Work, str]] = {}
        self._ticket_ids = itertools.count(1)
        self._ids = attempt.AttemptIds(parts.incarnation)
        self._probe = crash_probe.CrashProbe()
        self.quarantine = quarantine.Quarantine(parts.router_name)
        self.leaving = leaving_upstreams.LeavingUpstreams()
        self.estimator = output_estimator.OutputEstimator()

    def configure(
        self, current: configuration.Configuration, router_count: int
    ) -> None:
        """Takes a configuration version and the number of routers."""
        settings = pool.PoolSettings(self._parts.zone, current.retry)
        named = {name_model_pool(m.name): m.upstreams for m in current.models}
        for service in current.services:
            named[name_service_pool(service.name)] = service.upstreams
        pools = {}
        for name, upstreams in named.items():
            subset = upstream_subset.choose_subset(
                upstreams,
                self._parts.router_name,
                self._parts.zone,
                router_count,
            )
            known = self._pools.get(name)
            if known is None:
                known = pool.Pool(settings, (), self.leaving)
            known.upstreams.configure(subset.upstreams, subset.sharing_routers)
            pools[name] = known
        removed = [known for n, known in self._pools.items() if n not in pools]
        self._pools = pools
        for known in removed:
            for given_up in known.give_up_all(
                dispatch_refusals.refuse_unknown_pool()
            ):
                self._resolve(given_up.ticket, given_up.refusal)
        for name in pools:
            self._advance(name)

    def list_pools(self) -> dict[str, pool.Pool]:
        """Returns the pools by name."""
        return dict(self._pools)

    def begin_life(self, work: work_lib.Work) -> request_life.RequestLife:
        """Starts the life of a request."""
        found = self._pools.get(work.pool_name)
        budget = (
            retry.RetryBudget(configuration.RetryPolicy())
            if found is None
            else found.retry_budget
        )
        settings = request_life.LifeSettings(
            work.is_repeatable, self.find_deadline_ms(work)
        )
        return request_life.RequestLife(
            settings, self._ids, budget, self._parts.rng
        )

    def find_deadline_ms(self, work: work_lib.Work) -> int:
        """Returns when a request's answer must have ended."""
        found = patience.find_patience(work.account, work.kind, work.arrived_ms)
        return work.arrived_ms + found.deadline_ms

    def refuse_early(self, work: work_lib.Work) -> outcomes.NotRun | None:
        """Returns the refusal of a request that need not be tried, or None."""
        now_ms = self._parts.read_clock_ms()
        entry = self.quarantine.find(work.key, now_ms)
        if entry is not None:
            return dispatch_refusals.refuse_quarantined(entry, now_ms)
        found = self._pools.get(work.pool_name)
        if found is None:
            return dispatch_refusals.refuse_unknown_pool()
        ticket = self._make_ticket(work, work_lib.Progress())
        change = patience.find_next_change(work.account, work.kind, now_ms)
        match found.forecast(ticket, change, now_ms):
            case admission.Refused(refusal):
                return refusal
            case admission.Admitted():
                return None

    @contextlib.asynccontextmanager
    async def hold_slot(
        self, work: work_lib.Work, progress: work_lib.Progress
    ) -> AsyncIterator[SlotResult]:
        """Waits for a slot and holds it while the context lasts.

        Yields:
          The slot, the refusal, or that the request must be looked at anew.
        """
        now_ms = self._parts.read_clock_ms()
        entry = self.quarantine.find(work.key, now_ms)
        found = self._pools.get(work.pool_name)
        if entry is not None:
            yield dispatch_refusals.refuse_quarantined(entry, now_ms)
        elif found is None:
            yield dispatch_refusals.refuse_unknown_pool()
        else:
            ticket = self._make_ticket(work, progress)
            result = await self._wait(work, found, ticket)
            if not isinstance(result, pool.Start):
                yield result
                return
            slot = slot_lib.Slot(found, result, self._parts.read_clock_ms)
            self._works[ticket.ticket_id] = work, slot.upstream.name
            try:
                yield slot
            finally:
                del self._works[ticket.ticket_id]
                found.note_end(
                    ticket.ticket_id,
                    self._parts.read_clock_ms(),
                    slot.output_tokens,
                )
                self._advance(work.pool_name)

    def note_output(self, work: work_lib.Work, output_tokens: int) -> None:
        """Learns from the size of an answer that ended by itself."""
        self.estimator.note_output(
            work.account.name,
            work.kind,
            work.max_output_tokens,
            output_tokens,
        )

    def estimate_work_left_ms(
        self, work: work_lib.Work, progress: work_lib.Progress
    ) -> int:
        """Returns how long the rest of a request is expected to take."""
        found = self._pools.get(work.pool_name)
        if found is None:
            return 0
        ticket = self._make_ticket(work, progress)
        return found.estimate_work_left_ms(ticket, self._parts.read_clock_ms())

    async def note_failure(
        self,
        work: work_lib.Work,
        slot: slot_lib.Slot,
        kind: retry.FailureKind,
        attempt_id: str,
    ) -> None:
        """Records a failed attempt while its slot is still held."""
        now_ms = self._parts.read_clock_ms()
        name = slot.upstream.name
        found = self._pools.get(work.pool_name)
        if found is None:
            return
        match kind:
            case retry.FailureKind.NOT_CONNECTED:
                self.note_unreachable(work.pool_name, name)
            case retry.FailureKind.LEAVING:
                if self.leaving.record_response(name, now_ms):
                    self._parts.broadcast(
                        requesting.LeavingNotice(name, now_ms)
                    )
            case retry.FailureKind.BROKEN:
                found.upstreams.outliers.record_failure(name, now_ms)
                if await self._probe.is_down(slot.upstream):
                    self.note_unreachable(work.pool_name, name)
                    self._note_crash(work, name, attempt_id)
            case _:
                found.upstreams.outliers.record_failure(name, now_ms)

    def note_unreachable(self, pool_name: str, upstream: str) -> None:
        """Records that an upstream refused a connection."""
        now_ms = self._parts.read_clock_ms()
        found = self._pools.get(pool_name)
        if found is not None:
            found.upstreams.note_unreachable(upstream, now_ms)
        self.leaving.mark_down(upstream, now_ms)

    def note_reachable(self, pool_name: str, upstream: str) -> None:
        """Records that an upstream accepted a connection."""
        found = self._pools.get(pool_name)
        if found is not None:
            found.upstreams.outliers.mark_reachable(upstream)
        self.leaving.mark_up(upstream)

    def note_load(
        self, pool_name: str, upstream: str, report: requesting.LoadReport
    ) -> None:
        """Takes a load report."""
        found = self._pools.get(pool_name)
        if found is None:
            return
        self.leaving.mark_up(upstream)
        found.upstreams.note_report(
            upstream, report, self._parts.read_clock_ms()
        )
        self._advance(pool_name)

    def note_cache_events(
        self,
        pool_name: str,
        upstream: str,
        events: tuple[prefix_affinity.CacheEvent, ...],
    ) -> None:
        """Takes cache events of an engine."""
        found = self._pools.get(pool_name)
        if found is not None:
            found.upstreams.note_cache_events(upstream, events)

    def note_host_state(self, upstream: str, is_leaving: bool) -> None:
        """Takes what the host list says of an upstream."""
        self.leaving.handle_host_state(
            upstream, is_leaving, self._parts.read_clock_ms()
        )

    def take_notice(self, notice: Notice) -> None:
        """Takes a notice of another router."""
        now_ms = self._parts.read_clock_ms()
        match notice:
            case requesting.CrashNotice():
                made = self.quarantine.record_crash(notice, now_ms)
                if made is not None:
                    self._parts.broadcast(made)
                self._requeue_copies(notice.client_account, notice.body_digest)
            case requesting.QuarantineNotice():
                self.quarantine.handle_notice(notice)
                self._requeue_copies(notice.client_account, notice.body_digest)
            case requesting.LeavingNotice():
                self.leaving.handle_sibling_notice(
                    notice.upstream, notice.seen_at_ms, now_ms
                )

    def list_quarantined(self) -> tuple[status.QuarantinedRequest, ...]:
        """Returns the requests that are refused after crashes."""
        entries = self.quarantine.list_entries(self._parts.read_clock_ms())
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
        """Ends a quarantine on all routers; False when there is none."""
        key = quarantine.RequestKey(account, digest)
        now_ms = self._parts.read_clock_ms()
        notice = self.quarantine.lift(key, author, now_ms)
        if notice is not None:
            self._parts.broadcast(notice)
        return notice is not None

    def list_running(self) -> tuple[status.RunningRequest, ...]:
        """Returns the requests that wait or run, for operators."""
        return tuple(
            status.RunningRequest(
                work.account.name,
                work.pool_name.partition("/")[2],
                work.kind.value,
                upstream,
                "running" if upstream else "queued",
                work.arrived_ms,
            )
            for work, upstream in self._works.values()
        )

    def list_upstreams(self) -> tuple[status.UpstreamStatus, ...]:
        """Returns what is known of the upstreams, for operators."""
        now_ms = self._parts.read_clock_ms()
        return tuple(
            state
            for known in self._pools.values()
            for state in known.upstreams.list_states(now_ms)
        )

    async def run(self) -> None:
        """Lets time pass for waiting requests until cancelled."""
        while True:
            await asyncio.sleep(_TICK_MS / 1000)
            for name, known in self._pools.items():
                known.retry_budget.note_time(_TICK_MS)
                if known.queued_count:
                    self._advance(name)

    def _make_ticket(
        self, work: work_lib.Work, progress: work_lib.Progress
    ) -> requesting.Ticket:
        """Returns the ticket of a request's next attempt."""
        now_ms = self._parts.read_clock_ms()
        found = patience.find_patience(work.account, work.kind, work.arrived_ms)
        expected_tokens = self.estimator.estimate_tokens(
            work.account.name, work.kind, work.max_output_tokens
        )
        return requesting.Ticket(
            ticket_id=next(self._ticket_ids),
            client_account=work.account.name,
            kind=work.kind,
            priority=_RESUME_PRIORITY if progress.has_sent else found.priority,
            deadline_ms=work.arrived_ms + found.deadline_ms,
            prompt_tokens=work.prompt_tokens + progress.delivered_tokens,
            expected_output_tokens=max(
                1, expected_tokens - progress.delivered_tokens
            ),
            arrived_at_ms=work.arrived_ms,
            prefix_digests=work.prefix_digests,
            body_digest=work.body_digest,
            is_suspect=self.quarantine.is_suspect(work.key, now_ms),
            excluded_upstreams=progress.failed_upstreams,
        )

    async def _wait(
        self, work: work_lib.Work, found: pool.Pool, ticket: requesting.Ticket
    ) -> pool.Start | outcomes.NotRun | Requeue:
        """Queues a ticket and waits for what the pool decides."""
        now_ms = self._parts.read_clock_ms()
        change = patience.find_next_change(work.account, work.kind, now_ms)
        match found.submit(ticket, change, now_ms):
            case admission.Refused(refusal):
                return refusal
            case pool.Accepted(displaced):
                if displaced is not None:
                    self._resolve(displaced.ticket, displaced.refusal)
        future: _Wait = asyncio.get_running_loop().create_future()
        self._waits[ticket.ticket_id] = future
        self._works[ticket.ticket_id] = work, ""
        self._advance(work.pool_name)
        try:
            return await future
        except asyncio.CancelledError:
            found.cancel(ticket.ticket_id)
            if future.done() and not future.cancelled():
                found.note_end(ticket.ticket_id, now_ms, None)
                self._advance(work.pool_name)
            raise
        finally:
            self._waits.pop(ticket.ticket_id, None)
            self._works.pop(ticket.ticket_id, None)

    def _advance(self, pool_name: str) -> None:
        """Gives up what is late and starts what can start."""
        found = self._pools.get(pool_name)
        if found is None:
            return
        now_ms = self._parts.read_clock_ms()
        for given_up in found.expire(now_ms):
            self._resolve(given_up.ticket, given_up.refusal)
        while (start := found.start_next(now_ms)) is not None:
            self._resolve(start.ticket, start)

    def _resolve(
        self,
        ticket: requesting.Ticket,
        result: pool.Start | outcomes.NotRun | Requeue,
    ) -> None:
        """Tells the waiting handler what was decided."""
        future = self._waits.pop(ticket.ticket_id, None)
        if future is not None and not future.done():
            future.set_result(result)

    def _note_crash(
        self, work: work_lib.Work, upstream: str, attempt_id: str
    ) -> None:
        """Counts a crash here and on the other routers."""
        now_ms = self._parts.read_clock_ms()
        crash = requesting.CrashNotice(
            work.account.name, work.body_digest, upstream, attempt_id, now_ms
        )
        self._parts.broadcast(crash)
        self.take_notice(crash)

    def _requeue_copies(self, account: str, digest: bytes) -> None:
        """Has the waiting copies of a request looked at anew."""
        for found in self._pools.values():
            for ticket in found.list_waiting(account, digest):
                found.cancel(ticket.ticket_id)
                self._resolve(ticket, Requeue())
