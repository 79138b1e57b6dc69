"""Serves `/services/NAME/...`: calls of plain HTTP services.

A call of a service that is not repeatable runs at most once. It needs an
idempotency key, is claimed in the ledger before its first byte is sent, is sent
in one attempt at most, and its response is forwarded only after its outcome is
recorded. A repeat with the same key gets the recorded outcome, or the refusal
`outcome_unknown`; it never runs the call again.
"""

import asyncio
import base64
import json
import urllib.parse

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import outcomes
from redwingchute.core import spending
from redwingchute.request import context
from redwingchute.request import dispatcher
from redwingchute.request import pool_requests
from redwingchute.request import request_key
from redwingchute.request import request_lifecycle
from redwingchute.request import retry
from redwingchute.request import retry_refusals
from redwingchute.request import upstream_exchange
from redwingchute.request import upstream_slot
from redwingchute.request import work_kind

PREFIX = "/services/"

# How long a call waits for tokens of its budget.
_ADMISSION_TIMEOUT_MS = 30_000

_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_RETRY_AFTER_MS = 1_000

# The ledger does not keep a longer response body. A repeat then gets an empty
# body with the header `Idempotency-Answer: not-kept`.
MAX_RECORDED_BYTES = 16 * 1024


@attrs.frozen
class _Call:
    """One checked call of a service.

    Attributes:
      service: The service.
      request: The HTTP request of the caller.
      target: The path and query for the service.
      kind: The kind of work.
      key: The idempotency key, None if the caller sent none.
    """

    service: configuration.Service
    request: http_server.HttpRequest
    target: str
    kind: configuration.WorkKind
    key: str | None

    def digest_body(self) -> bytes:
        """Returns a digest that is equal for equal calls."""
        line = f"{self.request.method} {self.request.target}"
        return request_key.digest_body(line, self.request.body)

    def list_headers(self) -> list[tuple[str, str]]:
        """Returns the headers that are sent to the service."""
        headers = []
        if self.key is not None:
            headers.append(("idempotency-key", self.key))
        if content_type := self.request.headers.get("content-type"):
            headers.append(("content-type", content_type))
        return headers


@attrs.frozen
class _Run:
    """A call as a request for a pool, and its lifecycle."""

    pool_request: pool_requests.PoolRequest
    lifecycle: request_lifecycle.RequestLifecycle


class ServiceHandler:
    """Handles calls of plain services."""

    def __init__(self, request_context: context.RequestContext) -> None:
        """Creates a handler with its shared dependencies."""
        self._context = request_context

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
        caller: context.Caller,
    ) -> outcomes.Refusal | None:
        """Handles one call.

        Returns:
          The refusal to send, or None if a response was sent.
        """
        call = self._parse_call(request, caller)
        if isinstance(call, outcomes.NotRun):
            return call
        charge = await self._admit(call, caller)
        if isinstance(charge, outcomes.NotRun):
            return charge
        run = self._begin_run(call, caller)
        if call.service.is_repeatable:
            return await self._run_repeatable(call, charge, run, responder)
        if charge is None:
            # The call was billed before, so that it may have run.
            return _refuse_outcome_unknown()
        return await self._claim_and_run(call, charge, run, responder)

    def _begin_run(self, call: _Call, caller: context.Caller) -> _Run:
        """Returns the request for the pool of the service, with a lifecycle."""
        pool_request = pool_requests.PoolRequest(
            pool_name=dispatcher.name_service_pool(call.service.name),
            account=caller.account,
            kind=call.kind,
            arrived_ms=caller.arrived_ms,
            body_digest=call.digest_body(),
            is_repeatable=call.service.is_repeatable,
        )
        return _Run(
            pool_request, self._context.dispatcher.begin_lifecycle(pool_request)
        )

    def _parse_call(
        self, request: http_server.HttpRequest, caller: context.Caller
    ) -> _Call | outcomes.NotRun:
        """Returns the checked call, or the refusal of a malformed one."""
        name, target = _split_target(request.target)
        service = _find_service(name, caller)
        if service is None:
            return outcomes.NotRun(
                404, "unknown_service", f"The account has no service '{name}'."
            )
        key = request_key.read_caller_key(request.headers)
        if isinstance(key, outcomes.NotRun):
            return key
        kind = work_kind.read_work_kind(request.headers)
        if isinstance(kind, outcomes.NotRun):
            return kind
        if key is None and not service.is_repeatable:
            return outcomes.NotRun(
                400,
                "key_required",
                f"Calls of '{name}' are not repeatable and need an "
                "Idempotency-Key header.",
            )
        return _Call(
            service,
            request,
            target,
            kind,
            key,
        )

    async def _admit(
        self, call: _Call, caller: context.Caller
    ) -> spending.Charge | None | outcomes.NotRun:
        """Reserves the price of a call.

        Returns:
          The charge, None if the call was settled before, or a refusal.
        """
        charge_request = spending.ChargeRequest(
            budget=caller.account.budget,
            key=request_key.derive_billing_key(
                caller.account.name, call.key, self._context.make_random_bytes
            ),
            body_digest=call.digest_body(),
            bound_tokens=call.service.call_price,
            has_caller_key=call.key is not None,
            is_repeatable=call.service.is_repeatable,
        )
        deadline_ms = caller.arrived_ms + _ADMISSION_TIMEOUT_MS
        match await self._context.ledger.admit(charge_request, deadline_ms):
            case spending.Charge() as charge:
                return charge
            case spending.AlreadySettled():
                return None
            case outcomes.NotRun() as refusal:
                return refusal

    async def _run_repeatable(
        self,
        call: _Call,
        charge: spending.Charge | None,
        run: _Run,
        responder: http_server.HttpResponder,
    ) -> outcomes.Refusal | None:
        """Runs a call of a repeatable service.

        A call without a charge was billed before and costs nothing.
        """
        is_settled = False
        try:
            fetched = await self._run_attempts(call, run)
            if not isinstance(fetched, http_client.Fetched):
                return fetched
            if charge is not None:
                is_settled = True
                settlement = await self._context.ledger.settle(
                    charge, call.service.call_price
                )
                if not isinstance(settlement, spending.Settled):
                    return outcomes.Failed(
                        503,
                        "settlement_failed",
                        "The charge was not settled durably in time.",
                        _RETRY_AFTER_MS,
                    )
            await _forward_response(responder, fetched)
            return None
        finally:
            if charge is not None and not is_settled:
                self._context.ledger.cancel(charge)

    async def _run_attempts(
        self, call: _Call, run: _Run
    ) -> http_client.Fetched | outcomes.Refusal:
        """Runs attempts until an instance responds or no retry is left."""
        progress = pool_requests.Progress()
        while True:
            async with self._context.dispatcher.acquire_slot(
                run.pool_request, progress
            ) as slot:
                if isinstance(slot, outcomes.NotRun):
                    return run.lifecycle.refuse(slot).refusal
                if isinstance(slot, dispatcher.Requeue):
                    continue
                result = await self._run_attempt(call, run, slot)
                if isinstance(result, http_client.Fetched):
                    # Marks the response as complete; it has no tokens.
                    slot.output_tokens = 1
                    return result
                await self._context.record_failure(
                    run.pool_request, slot, result
                )
            progress = pool_requests.Progress(
                has_sent=run.lifecycle.has_sent,
                failed_upstreams=progress.failed_upstreams
                | {slot.upstream.name},
            )
            refusal = await self._wait_for_retry(run, progress, result.kind)
            if refusal is not None:
                return refusal

    async def _run_attempt(
        self, call: _Call, run: _Run, slot: upstream_slot.Slot
    ) -> http_client.Fetched | upstream_exchange.AttemptFailed:
        """Runs one attempt on the instance of a slot."""
        self._context.metrics.attempts.add(1)
        upstream_request = upstream_exchange.UpstreamRequest(
            call.request.method,
            call.target,
            tuple(call.list_headers()),
            call.request.body,
        )
        timeout_ms = upstream_exchange.compute_response_timeout_ms(
            run.lifecycle.settings.deadline_ms, self._context.read_clock_ms()
        )
        async with upstream_exchange.open_exchange(
            self._context.connections,
            slot,
            run.lifecycle,
            upstream_request,
            timeout_ms,
        ) as started:
            if isinstance(started, upstream_exchange.AttemptFailed):
                return started
            body = await upstream_exchange.read_body(
                started.connection, _MAX_RESPONSE_BYTES
            )
            if isinstance(body, http_client.ExchangeBroken):
                return upstream_exchange.AttemptFailed(
                    retry.FailureKind.BROKEN, started.attempt_id
                )
            head = started.head
            return http_client.Fetched(head.status, head.headers, body)

    async def _wait_for_retry(
        self,
        run: _Run,
        progress: pool_requests.Progress,
        kind: retry.FailureKind,
    ) -> outcomes.Refusal | None:
        """Waits until the next attempt or returns the final refusal."""
        remaining_work_ms = self._context.dispatcher.estimate_remaining_work_ms(
            run.pool_request, progress
        )
        now_ms = self._context.read_clock_ms()
        match run.lifecycle.record_failure(kind, now_ms, remaining_work_ms):
            case retry.RetryAfterDelay(delay_ms):
                await asyncio.sleep(delay_ms / 1000)
                return None
            case retry.StopRetrying(cause):
                refusal = retry_refusals.refuse_after_last_attempt(
                    cause, run.lifecycle.has_sent
                )
                return run.lifecycle.refuse(refusal).refusal

    async def _claim_and_run(
        self,
        call: _Call,
        charge: spending.Charge,
        run: _Run,
        responder: http_server.HttpResponder,
    ) -> outcomes.Refusal | None:
        """Claims a call of a service that is not repeatable, then runs it."""
        match await self._context.ledger.claim(charge):
            case outcomes.NotRun() as refusal:
                self._context.ledger.cancel(charge)
                return refusal
            case spending.ClaimRefused(status, recorded_response):
                self._context.ledger.cancel(charge)
                return await _send_recorded(
                    responder, status, recorded_response
                )
            case spending.Claimed():
                return await self._run_claimed(call, charge, run, responder)

    async def _run_claimed(
        self,
        call: _Call,
        charge: spending.Charge,
        run: _Run,
        responder: http_server.HttpResponder,
    ) -> outcomes.Refusal | None:
        """Runs a claimed call at most once and records its outcome."""
        try:
            result = await self._run_attempts(call, run)
        except asyncio.CancelledError:
            # The call may have run, so its claim stays without an outcome.
            self._context.ledger.cancel(charge)
            raise
        match result:
            case outcomes.NotRun() as refusal:
                await self._context.ledger.record_outcome(
                    charge, data.OutcomeStatus.NOT_RUN, 0, b""
                )
                return refusal
            case http_client.Fetched() as fetched:
                return await self._record_and_respond(
                    call, charge, fetched, responder
                )
            case _:
                # The call may have run, so its claim stays without an outcome.
                self._context.ledger.cancel(charge)
                return _refuse_outcome_unknown()

    async def _record_and_respond(
        self,
        call: _Call,
        charge: spending.Charge,
        fetched: http_client.Fetched,
        responder: http_server.HttpResponder,
    ) -> outcomes.Refusal | None:
        """Records the outcome of a call, then responds to the caller.

        A call whose response has an error status costs nothing.
        """
        status = (
            data.OutcomeStatus.SUCCEEDED
            if fetched.status < 400
            else data.OutcomeStatus.FAILED
        )
        tokens = call.service.call_price
        if status is data.OutcomeStatus.FAILED:
            tokens = 0
        settlement = await self._context.ledger.record_outcome(
            charge, status, tokens, encode_response(fetched)
        )
        if not isinstance(settlement, spending.Settled):
            return _refuse_outcome_unknown()
        await _forward_response(responder, fetched)
        return None


def encode_response(fetched: http_client.Fetched) -> bytes:
    """Returns the response of a service in the form that the ledger keeps.

    The form is a JSON object with the status, the content type and the body in
    Base64, which is null if the body is too long to keep.
    """
    is_kept = len(fetched.body) <= MAX_RECORDED_BYTES
    fields = {
        "status": fetched.status,
        "content_type": fetched.headers.get("content-type", ""),
        "body": base64.b64encode(fetched.body).decode() if is_kept else None,
    }
    return json.dumps(fields).encode()


def _split_target(target: str) -> tuple[str, str]:
    """Returns the name of a service, and the path and query for it."""
    path, separator, query = target.partition("?")
    name, _, rest = path.removeprefix(PREFIX).partition("/")
    return urllib.parse.unquote(name), f"/{rest}{separator}{query}"


def _find_service(
    name: str, caller: context.Caller
) -> configuration.Service | None:
    """Returns a service by name if the account of the caller may use it."""
    for service in caller.configuration_in_force.services:
        if service.name == name and name in caller.account.services:
            return service
    return None


async def _forward_response(
    responder: http_server.HttpResponder, fetched: http_client.Fetched
) -> None:
    """Forwards the response of a service to the caller."""
    content_type = fetched.headers.get(
        "content-type", "application/octet-stream"
    )
    await responder.send(fetched.status, fetched.body, content_type)


async def _send_recorded(
    responder: http_server.HttpResponder,
    status: data.OutcomeStatus,
    recorded_response: bytes,
) -> outcomes.Refusal | None:
    """Responds to a repeated call with its recorded outcome."""
    if status is data.OutcomeStatus.UNKNOWN:
        return _refuse_outcome_unknown()
    headers = [("idempotency-replayed", "true")]
    if not recorded_response:
        # The outcome was recorded without a response.
        body = json.dumps({"outcome": status.name.lower()}).encode()
        await responder.send(200, body, headers=headers)
        return None
    fields = json.loads(recorded_response)
    if fields["body"] is None:
        headers.append(("idempotency-answer", "not-kept"))
    body = base64.b64decode(fields["body"] or "")
    await responder.send(
        fields["status"], body, fields["content_type"], headers
    )
    return None


def _refuse_outcome_unknown() -> outcomes.OutcomeUnknown:
    """Returns the refusal of a call that may or may not have run."""
    return outcomes.OutcomeUnknown(
        409,
        "outcome_unknown",
        "The call was sent once and may have run; it is not sent again. "
        "An operator can resolve its outcome.",
    )
