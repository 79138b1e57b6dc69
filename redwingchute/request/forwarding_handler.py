"""Forwards requests by route to upstreams and returns their responses.

Each request gets a response: the upstream's own, or a refusal that states
whether the request may have run. A request is reported as not run only if no
upstream may have processed it.
"""

import asyncio
from collections.abc import Callable
import traceback
from typing import TypeAlias

import attrs

from redwingchute.connection import http_server
from redwingchute.connection import request_receiver
from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.process import decision_log
from redwingchute.process import invariants
from redwingchute.process import origin_exchange
from redwingchute.process import permit_exchange
from redwingchute.process.prepaid import charging
from redwingchute.request import crash_evidence
from redwingchute.request import fleet_load
from redwingchute.request import forward_attempt
from redwingchute.request import forward_plan
from redwingchute.request import forward_progress
from redwingchute.request import forward_retry
from redwingchute.request import header_translator
from redwingchute.request import home_regions
from redwingchute.request import path_evidence
from redwingchute.request import request_metrics
from redwingchute.request import retry_allowance
from redwingchute.request import room_admission
from redwingchute.request import stream_resumption
from redwingchute.request import suspect_tracker
from redwingchute.request import upstream_choice
from redwingchute.request import upstream_connector
from redwingchute.request import upstream_directory
from redwingchute.request import upstream_refusals
from redwingchute.request import upstream_statements
from redwingchute.version import route_index

# A request is refused once connecting to this many upstreams has failed.
_MAX_CONNECT_ATTEMPTS = 4
# Callers may take these statuses to mean that the request did not run. An
# upstream's response with one of them, without the header that confirms it, is
# not forwarded.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.frozen
class ForwardingDependencies:
    """The dependencies of the handler.

    Attributes:
      connector: Connects to upstreams.
      translator: Translates between headers and records.
      directory: The upstreams of all services.
      charger: Reserves and settles prepaid tokens.
      find_index: Returns the configuration in force, or None.
      is_fresh: Returns whether that configuration is confirmed to be the
        newest version.
      find_allowance: Returns the retry allowance of a service.
      suspects: The requests that may end upstreams.
      statements: Records what upstreams state about themselves.
      origins: Tells and asks where streams began.
      permits: Acquires permits for requests to upstreams that limit them.
      find_time_left_ms: Returns the time until the process stops; None unless
        a shutdown has begun.
      read_clock_ms: Returns the time on a steady clock.
      metrics: Records durations and outcomes of requests.
      regions: The regions of availability zones.
      divides_room: Whether too little room is divided among client accounts.
    """

    connector: upstream_connector.UpstreamConnector
    translator: header_translator.HeaderTranslator
    directory: upstream_directory.UpstreamDirectory
    charger: charging.Charger
    find_index: Callable[[], route_index.RouteIndex | None]
    is_fresh: Callable[[], bool]
    find_allowance: Callable[[str], retry_allowance.RetryAllowance]
    suspects: suspect_tracker.SuspectTracker
    statements: upstream_statements.UpstreamStatements
    origins: origin_exchange.OriginExchange
    permits: permit_exchange.PermitExchange
    find_time_left_ms: Callable[[], int | None]
    read_clock_ms: Callable[[], int]
    metrics: request_metrics.RequestMetrics
    regions: home_regions.RegionMap
    divides_room: bool = False


# How a request ends. A stream has already been sent to the caller.
_FinalResult: TypeAlias = (
    forward_attempt.CompleteResponse
    | outcomes.Refusal
    | forward_attempt.Streamed
)


class ForwardingHandler:
    """Handles the requests of callers."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        """Creates a handler with its dependencies."""
        self._dependencies = dependencies
        self._attempts = forward_attempt.AttemptRunner(
            dependencies.connector, dependencies.translator
        )
        self._path_evidence = path_evidence.PathEvidence(
            dependencies.directory,
            dependencies.connector,
            dependencies.read_clock_ms,
        )
        self._resumption = stream_resumption.StreamResumption(
            dependencies.origins
        )
        self._admission = room_admission.RoomAdmission(
            dependencies.directory,
            dependencies.find_index,
            dependencies.divides_room,
        )
        self._planner = forward_plan.Planner(
            dependencies.find_index,
            dependencies.is_fresh,
            dependencies.find_time_left_ms,
            dependencies.regions,
        )
        # Each ends the run of an open request.
        self._run_timeouts: set[asyncio.Timeout] = set()

    def end_requests(self) -> None:
        """Ends the runs of all open requests, whose callers are answered.

        A process that is about to exit calls it.
        """
        now_s = asyncio.get_running_loop().time()
        for run_timeout in tuple(self._run_timeouts):
            run_timeout.reschedule(now_s)

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Responds to one request, also after an internal error.

        Raises:
          ClientDisconnectedError: The caller disconnected, or its connection
            must be closed because the response cannot be completed.
        """
        try:
            await self._handle(request, responder)
        except (asyncio.CancelledError, http_server.ClientDisconnectedError):
            raise
        # After an unexpected exception the caller still gets a response, and
        # the traceback is logged.
        except Exception as error:
            decision_log.log_failure(
                "handler_failed",
                target=request.target,
                reason=repr(error),
                trace=traceback.format_exc(limit=-4),
            )
            if responder.has_started:
                raise http_server.ClientDisconnectedError from error
            await self._refuse(
                _make_failure("this router failed"),
                None,
                self._dependencies.read_clock_ms(),
                responder,
            )

    def check_head(
        self, request: http_server.HttpRequest
    ) -> request_receiver.AcceptedHead | request_receiver.PreparedResponse:
        """Refuses a request by its head, before its body is read.

        Args:
          request: The request without its body.

        Returns:
          The client account of the request, or the response that refuses it.
        """
        arrived_ms = self._dependencies.read_clock_ms()
        parsed = self._dependencies.translator.parse_request(request)
        if isinstance(parsed, outcomes.NotRun):
            return self._prepare_refusal(parsed, None, arrived_ms)
        plan = self._planner.plan(parsed, arrived_ms)
        if isinstance(plan, outcomes.NotRun):
            return self._prepare_refusal(plan, parsed.id, arrived_ms)
        return request_receiver.AcceptedHead(
            plan.account.name if plan.account else ""
        )

    async def _handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Responds to one request."""
        arrived_ms = self._dependencies.read_clock_ms()
        parsed = self._dependencies.translator.parse_request(request)
        if isinstance(parsed, outcomes.NotRun):
            await self._refuse(parsed, None, arrived_ms, responder)
            return
        plan = self._planner.plan(parsed, arrived_ms)
        if isinstance(plan, outcomes.NotRun):
            await self._refuse(plan, parsed.id, arrived_ms, responder)
            return
        progress = forward_progress.Progress(
            forward_attempt.Relay(responder),
            forward_plan.identify_request(plan, request),
        )
        try:
            result = await self._run_until_exit(plan, request, progress)
        except asyncio.CancelledError:
            self._log_end(plan, progress, "caller_left")
            raise
        except http_server.ClientDisconnectedError:
            self._log_end(plan, progress, "caller_left")
            raise
        await self._respond(result, plan, progress, responder)

    async def _run_until_exit(
        self,
        plan: forward_plan.Plan,
        request: http_server.HttpRequest,
        progress: forward_progress.Progress,
    ) -> _FinalResult:
        """Runs a request until it ends or `end_requests` is called."""
        run_timeout = asyncio.timeout(None)
        self._run_timeouts.add(run_timeout)
        try:
            async with run_timeout:
                return await self._charge_and_run(plan, request, progress)
        except TimeoutError:
            if not run_timeout.expired():
                raise
        finally:
            self._run_timeouts.discard(run_timeout)
        message = "This router stops."
        if progress.may_have_run:
            return outcomes.Failed(502, "stopping", message)
        return outcomes.NotRun(503, "stopping", message, 0)

    async def _charge_and_run(
        self,
        plan: forward_plan.Plan,
        request: http_server.HttpRequest,
        progress: forward_progress.Progress,
    ) -> _FinalResult:
        """Reserves tokens for a request, runs it and settles the charge."""
        subjects = forward_plan.list_crash_subjects(
            plan, progress.request_subject
        )
        now_ms = self._dependencies.read_clock_ms()
        avoided = self._dependencies.suspects.find_refusal(subjects)
        if avoided is not None:
            return avoided
        self._dependencies.find_allowance(plan.service.name).record_request(
            now_ms
        )
        directory = self._dependencies.directory
        if not directory.has_upstream(plan.service.name, now_ms, plan.homes):
            return self._refuse_no_upstream(plan)
        refusal = await self._resumption.resume(plan, progress)
        if refusal is not None:
            return refusal
        if progress.bond and self._choose(plan, progress) is None:
            decision_log.log_failure(
                "resume_refused", request_id=plan.request.id, cause="none_left"
            )
            return self._refuse_no_upstream(plan)
        if directory.find_retry_delay_ms(
            plan.service.name,
            now_ms,
            forward_progress.is_urgent(plan, progress),
            plan.homes,
        ):
            return self._refuse_no_upstream(plan)
        # The caller already has a part of a stream that goes on.
        if progress.bond is None:
            busy = self._admission.refuse_if_busy(plan, now_ms)
            if busy is not None:
                return busy
        charge = await self._charge(plan)
        if isinstance(charge, outcomes.NotRun):
            return charge
        self._admission.record_admitted(plan, now_ms)
        try:
            return await self._run(plan, request, progress, subjects)
        finally:
            if charge is not None:
                self._dependencies.charger.settle(
                    charge, forward_progress.count_spent_tokens(plan, progress)
                )

    def _choose(
        self, plan: forward_plan.Plan, progress: forward_progress.Progress
    ) -> upstream_choice.Candidate | None:
        """Returns the upstream for the next attempt, or None."""
        return self._dependencies.directory.choose(
            plan.service.name,
            plan.request,
            progress.excluded | progress.not_permitted,
            self._dependencies.read_clock_ms(),
            forward_progress.is_urgent(plan, progress),
            self._resumption.find_bond(progress),
            plan.homes,
            plan.route.target_latency_ms,
        )

    async def _charge(
        self, plan: forward_plan.Plan
    ) -> charging.Charge | outcomes.NotRun | None:
        """Reserves the tokens of a request; None if it consumes none."""
        account, generation = plan.account, plan.request.generation
        if account is None or generation is None:
            return None
        if account.prepaid_tokens is None:
            return None
        started_ms = self._dependencies.read_clock_ms()
        charge = await self._dependencies.charger.admit(
            plan.request.id,
            account.name,
            account.prepaid_tokens,
            generation.max_tokens,
            plan.patience_ms,
            self._dependencies.is_fresh(),
        )
        self._dependencies.metrics.record_grant_wait(
            isinstance(charge, charging.Charge),
            self._dependencies.read_clock_ms() - started_ms,
        )
        return charge

    async def _run(
        self,
        plan: forward_plan.Plan,
        request: http_server.HttpRequest,
        progress: forward_progress.Progress,
        subjects: tuple[crash_evidence.Subject, ...],
    ) -> _FinalResult:
        """Runs attempts until one ends the request or no upstream is left."""
        directory = self._dependencies.directory
        suspects = self._dependencies.suspects
        while True:
            # More may be known of the request than when it arrived.
            avoided = suspects.find_refusal(subjects)
            if avoided is not None:
                if progress.may_have_run:
                    return _make_failure(avoided.message)
                return avoided
            chosen = self._choose(plan, progress)
            if chosen is None:
                if progress.may_have_run:
                    return _make_failure("no other upstream is ready")
                return self._refuse_no_upstream(plan)
            upstream = chosen.upstream
            permit = await self._dependencies.permits.acquire(
                upstream, forward_progress.is_urgent(plan, progress)
            )
            if isinstance(permit, permit_exchange.NotPermitted):
                progress.not_permitted |= {upstream.id}
                continue
            progress.upstream_id = upstream.id
            progress.upstream_version = upstream.version
            progress.excluded |= {upstream.id}
            progress.earlier_events = progress.relay.event_count
            send = suspects.begin_send(plan.request.id, subjects)
            result: forward_attempt.AttemptResult | None = None
            try:
                with directory.track_request(
                    upstream,
                    plan.request.generation,
                    self._dependencies.read_clock_ms(),
                ) as open_request:
                    result = await self._attempt(
                        plan, request, progress, upstream, open_request
                    )
            finally:
                if result is None and progress.trace.is_sent:
                    self._record_abandoned(send, upstream)
                self._dependencies.permits.give_back(
                    permit,
                    is_used=not isinstance(
                        result,
                        forward_attempt.NotConnected
                        | forward_attempt.OutOfTime,
                    ),
                    was_rejected=isinstance(result, forward_attempt.Rejected)
                    and not result.is_wrong_instance,
                )
            final_result = self._evaluate_attempt(
                plan, progress, upstream, result, send
            )
            if final_result is not None:
                return final_result

    async def _attempt(
        self,
        plan: forward_plan.Plan,
        request: http_server.HttpRequest,
        progress: forward_progress.Progress,
        upstream: forwarding.Upstream,
        open_request: fleet_load.OpenRequest,
    ) -> forward_attempt.AttemptResult:
        """Runs one attempt.

        While it runs, the request counts as one that may have run. If the
        attempt is cancelled, the request is therefore still charged.
        """
        may_have_run = progress.may_have_run
        progress.may_have_run = True
        progress.sends += 1
        progress.trace = forward_attempt.ExchangeTrace()
        sent_limit = self._dependencies.directory.limits.find(upstream.start)
        if sent_limit.is_limited:
            decision_log.count_event("limited_upstream_used")
        outgoing = forward_attempt.UpstreamRequest(
            request=request,
            request_id=plan.request.id,
            metadata=header_translator.RequestMetadata(
                upstream_id=upstream.id,
                remaining_ms=0,
                account=plan.account.name if plan.account else None,
                priority=forward_plan.find_priority(plan),
                last_event_id=progress.relay.last_event_id,
            ),
            is_streaming=plan.route.kind is forwarding.RequestKind.STREAMING,
            deadline_s=plan.deadline_s,
            trace=progress.trace,
            max_events=forward_plan.find_max_events(plan),
            full_events=forward_plan.find_full_events(plan),
            mark_responsive=lambda: (
                self._dependencies.directory.mark_responsive(
                    upstream.id, self._dependencies.read_clock_ms()
                )
            ),
            record_head=lambda response: self._dependencies.statements.record(
                upstream, response, sent_limit.revision
            ),
            record_event=lambda: self._record_event(
                plan, progress, upstream, open_request
            ),
            homes=plan.homes,
        )
        result = await self._attempts.run(upstream, outgoing, progress.relay)
        match result:
            case forward_attempt.NotConnected():
                progress.may_have_run = may_have_run
                progress.sends -= 1
                progress.connect_failures += 1
            case forward_attempt.OutOfTime():
                progress.may_have_run = may_have_run
                progress.sends -= 1
            case forward_attempt.Rejected(_, is_wrong_instance):
                progress.may_have_run = may_have_run
                open_request.was_rejected = not is_wrong_instance
            case forward_attempt.CompleteResponse():
                open_request.was_completed = True
        return result

    def _record_event(
        self,
        plan: forward_plan.Plan,
        progress: forward_progress.Progress,
        upstream: forwarding.Upstream,
        open_request: fleet_load.OpenRequest,
    ) -> None:
        """Records the arrival of a chunk of a stream."""
        now_ms = self._dependencies.read_clock_ms()
        self._resumption.record_chunk(plan, progress, upstream)
        self._dependencies.directory.record_first_event(open_request, now_ms)
        if progress.last_event_ms is None:
            elapsed_ms = now_ms - plan.arrived_ms
            self._dependencies.metrics.record_first_event(elapsed_ms)
        else:
            self._dependencies.metrics.record_event_gap(
                now_ms - progress.last_event_ms
            )
        progress.last_event_ms = now_ms

    def _evaluate_attempt(
        self,
        plan: forward_plan.Plan,
        progress: forward_progress.Progress,
        upstream: forwarding.Upstream,
        result: forward_attempt.AttemptResult,
        send: suspect_tracker.Send,
    ) -> _FinalResult | None:
        """Returns how a request ends, or None if it is retried."""
        now_ms = self._dependencies.read_clock_ms()
        directory = self._dependencies.directory
        if forward_attempt.has_responded(result):
            self._dependencies.suspects.record_response(
                send, upstream, progress.trace.connection
            )
        match result:
            case forward_attempt.Streamed():
                directory.record_success(upstream)
                self._dependencies.suspects.record_success(send)
                return result
            case forward_attempt.CompleteResponse():
                return self._evaluate_response(
                    plan, progress, upstream, result, send
                )
            case forward_attempt.NotConnected(
                message, is_unresponsive, is_refused
            ):
                directory.mark_unreachable(upstream, now_ms)
                if is_refused:
                    self._dependencies.suspects.record_down(upstream)
                if is_unresponsive:
                    self._path_evidence.record_unreached(upstream)
                self._log_attempt(
                    plan, progress, upstream, "not_connected", message
                )
                if progress.connect_failures < _MAX_CONNECT_ATTEMPTS:
                    return None
                if progress.may_have_run:
                    return _make_failure(message)
                return self._refuse_no_upstream(plan)
            case forward_attempt.OutOfTime():
                message = "the deadline is too close to send the request"
                self._log_attempt(
                    plan, progress, upstream, "out_of_time", message
                )
                if progress.may_have_run:
                    return outcomes.Failed(504, "timed_out", message)
                return outcomes.NotRun(503, "out_of_time", message)
            case forward_attempt.Rejected(status, is_wrong_instance):
                if is_wrong_instance:
                    # An instance that still runs elsewhere is listed again
                    # with its new address.
                    directory.remove(upstream.id)
                self._log_attempt(
                    plan, progress, upstream, "turned_away", str(status)
                )
                if self._try_acquire_retry(plan, progress):
                    return None
                self._admission.record_rejected(plan, now_ms)
                if progress.may_have_run:
                    return _make_failure(
                        "all tried upstreams rejected the request"
                    )
                return outcomes.NotRun(
                    503,
                    "upstreams_busy",
                    "The upstreams accept no more work at the moment.",
                    upstream_refusals.find_retry_after_ms(
                        plan, directory, now_ms
                    ),
                )
            case forward_attempt.Broken(
                message, is_timeout, is_unresponsive, is_closed
            ):
                self._log_attempt(
                    plan, progress, upstream, "broken", message, is_closed
                )
                if is_timeout or is_unresponsive:
                    self._dependencies.suspects.record_unfinished(
                        send, upstream
                    )
                if is_timeout:
                    return outcomes.Failed(504, "timed_out", message)
                self._path_evidence.record_broken(
                    upstream, progress.trace.carrier, is_unresponsive
                )
                if is_closed:
                    self._dependencies.suspects.record_crash(
                        send,
                        upstream,
                        progress.relay.event_count - progress.earlier_events,
                    )
                if plan.route.may_repeat and self._try_acquire_retry(
                    plan, progress
                ):
                    return None
                return _make_failure(message)

    def _record_abandoned(
        self, send: suspect_tracker.Send, upstream: forwarding.Upstream
    ) -> None:
        """Records that a caller left while an upstream ran its request."""
        suspects = self._dependencies.suspects
        suspects.record_unfinished(send, upstream)
        self._dependencies.connector.watch_end(upstream, suspects.record_down)

    def _refuse_no_upstream(self, plan: forward_plan.Plan) -> outcomes.NotRun:
        """Returns the refusal of a request that no upstream can serve."""
        return upstream_refusals.refuse_no_upstream(
            plan,
            self._dependencies.directory,
            self._dependencies.read_clock_ms(),
        )

    def _evaluate_response(
        self,
        plan: forward_plan.Plan,
        progress: forward_progress.Progress,
        upstream: forwarding.Upstream,
        result: forward_attempt.CompleteResponse,
        send: suspect_tracker.Send,
    ) -> _FinalResult | None:
        """Returns how a request with a complete response ends."""
        status = result.metadata.status
        if (
            status < 500
            and status not in _NOT_RUN_STATUSES
            # The caller has the head and a part of another response.
            and not progress.relay.has_started
        ):
            self._dependencies.directory.record_success(upstream)
            self._dependencies.suspects.record_success(send)
            return result
        self._log_attempt(plan, progress, upstream, "failed", str(status))
        self._dependencies.directory.record_failure(
            upstream, self._dependencies.read_clock_ms()
        )
        if plan.route.may_repeat and self._try_acquire_retry(plan, progress):
            return None
        if progress.relay.has_started or status in _NOT_RUN_STATUSES:
            return _make_failure(f"the upstream responded with status {status}")
        return result

    def _try_acquire_retry(
        self, plan: forward_plan.Plan, progress: forward_progress.Progress
    ) -> bool:
        """Acquires a retry, if the request can be retried."""
        if asyncio.get_running_loop().time() >= plan.deadline_s:
            return False
        return forward_retry.try_acquire_retry(
            plan,
            progress,
            self._dependencies.directory,
            self._dependencies.find_allowance(plan.service.name),
            self._dependencies.read_clock_ms(),
            self._resumption.find_bond(progress),
        )

    async def _respond(
        self,
        result: _FinalResult,
        plan: forward_plan.Plan,
        progress: forward_progress.Progress,
        responder: http_server.HttpResponder,
    ) -> None:
        """Sends the response, unless a stream has already delivered it."""
        match result:
            case forward_attempt.Streamed():
                self._log_end(plan, progress, "streamed")
            case forward_attempt.CompleteResponse(head, metadata, body):
                self._log_end(plan, progress, f"answered_{metadata.status}")
                headers = self._dependencies.translator.build_response_headers(
                    head
                )
                await responder.send_response(head.status, headers, body)
            case outcomes.NotRun(status, code) if progress.may_have_run:
                # `NotRun` would invite the caller to repeat a request that
                # may have run.
                invariants.check(
                    False,
                    "refusal_after_run",
                    request_id=plan.request.id,
                    status=status,
                    code=code,
                )
                await self._respond(
                    _make_failure(code), plan, progress, responder
                )
            case refusal if progress.relay.has_started:
                # Closing the connection early marks the response as
                # incomplete.
                self._log_end(plan, progress, f"cut_{refusal.code}")
                raise http_server.ClientDisconnectedError
            case refusal:
                await self._refuse(
                    refusal,
                    plan.request.id,
                    plan.arrived_ms,
                    responder,
                    route=plan.route.name,
                    upstream=progress.upstream_id,
                    account=plan.account.name if plan.account else None,
                    spent_tokens=forward_progress.count_spent_tokens(
                        plan, progress
                    ),
                )

    async def _refuse(
        self,
        refusal: outcomes.Refusal,
        request_id: str | None,
        arrived_ms: int,
        responder: http_server.HttpResponder,
        **context: object,
    ) -> None:
        """Sends a refusal that this router made."""
        response = self._prepare_refusal(
            refusal, request_id, arrived_ms, **context
        )
        await responder.send_response(
            response.status, response.headers, response.body
        )

    def _prepare_refusal(
        self,
        refusal: outcomes.Refusal,
        request_id: str | None,
        arrived_ms: int,
        **context: object,
    ) -> request_receiver.PreparedResponse:
        """Logs and counts a refusal; returns the response."""
        elapsed_ms = self._dependencies.read_clock_ms() - arrived_ms
        index = self._dependencies.find_index()
        decision_log.log_failure(
            "request_refused",
            request_id=request_id,
            status=refusal.status,
            code=refusal.code,
            reason=refusal.message,
            elapsed_ms=elapsed_ms,
            version=index.table.version if index else None,
            **dict(refusal.context),
            **context,
        )
        self._dependencies.metrics.record_outcome(refusal.code, elapsed_ms)
        response = self._dependencies.translator.build_refusal(
            refusal, request_id
        )
        return request_receiver.PreparedResponse(
            refusal.status, list(response.headers), response.body
        )

    def _log_end(
        self,
        plan: forward_plan.Plan,
        progress: forward_progress.Progress,
        outcome: str,
    ) -> None:
        """Logs the end of a request and records its outcome."""
        elapsed_ms = self._dependencies.read_clock_ms() - plan.arrived_ms
        self._dependencies.metrics.record_outcome(outcome, elapsed_ms)
        forward_progress.log_end(plan, progress, outcome, elapsed_ms)

    def _log_attempt(
        self,
        plan: forward_plan.Plan,
        progress: forward_progress.Progress,
        upstream: forwarding.Upstream,
        outcome: str,
        reason: str,
        is_closed: bool = False,
    ) -> None:
        """Logs an attempt that failed."""
        elapsed_ms = self._dependencies.read_clock_ms() - plan.arrived_ms
        forward_progress.log_attempt(
            plan, progress, upstream, outcome, reason, elapsed_ms, is_closed
        )


def _make_failure(message: str) -> outcomes.Failed:
    """Returns the refusal of a request that may have run and failed."""
    return outcomes.Failed(502, "upstream_failed", message)
