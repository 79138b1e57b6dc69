"""Serves `POST /v1/chat/completions` and `GET /v1/models`.

A chat request is checked, refused if it cannot be completed in time, and its
maximum cost is reserved. Only then is anything sent to an upstream. If an
upstream interrupts a stream, the next attempt continues it.
"""

import asyncio
import json

from redwingchute.connection import http_server
from redwingchute.core import outcomes
from redwingchute.core import spending
from redwingchute.request import chat_request
from redwingchute.request import chat_response
from redwingchute.request import context
from redwingchute.request import dispatcher
from redwingchute.request import pool_requests
from redwingchute.request import prefix_affinity
from redwingchute.request import request_key
from redwingchute.request import request_lifecycle
from redwingchute.request import retry
from redwingchute.request import retry_refusals
from redwingchute.request import upstream_exchange
from redwingchute.request import upstream_slot
from redwingchute.request import work_kind

_CHAT_PATH = "/v1/chat/completions"

# Estimates the prompt tokens for scheduling; billing does not use the estimate.
_CHARACTERS_PER_TOKEN = 4


class ChatHandler:
    """Handles chat completion requests."""

    def __init__(self, request_context: context.RequestContext) -> None:
        """Creates a handler with its shared dependencies."""
        self._context = request_context

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
        caller: context.Caller,
    ) -> outcomes.Refusal | None:
        """Handles one request.

        Returns:
          The refusal to send, or None if the whole response was sent.
        """
        chat = chat_request.parse_chat_request(
            request.body, caller.configuration_in_force, caller.account
        )
        if isinstance(chat, outcomes.NotRun):
            return chat
        pool_request = _make_pool_request(request, caller, chat)
        if isinstance(pool_request, outcomes.NotRun):
            return pool_request
        refusal = self._context.dispatcher.refuse_early(pool_request)
        if refusal is not None:
            return refusal
        billing = await self._reserve_cost(request, pool_request, chat)
        if isinstance(billing, outcomes.NotRun):
            return billing
        response = chat_response.ChatResponse(
            self._context, chat, billing, responder
        )
        try:
            return await self._run_attempts(response, pool_request)
        finally:
            if billing.charge is not None and not response.is_settled:
                self._context.ledger.cancel(billing.charge)

    async def _reserve_cost(
        self,
        request: http_server.HttpRequest,
        pool_request: pool_requests.PoolRequest,
        chat: chat_request.ChatRequest,
    ) -> chat_response.Billing | outcomes.NotRun:
        """Reserves the maximum cost of a request.

        Returns:
          How the request is billed, or the refusal if its cost cannot be
          reserved.
        """
        key = request_key.read_caller_key(request.headers)
        if isinstance(key, outcomes.NotRun):
            return key
        charge_request = spending.ChargeRequest(
            budget=pool_request.account.budget,
            key=request_key.derive_billing_key(
                pool_request.account.name, key, self._context.make_random_bytes
            ),
            body_digest=pool_request.body_digest,
            bound_tokens=chat.bound_tokens,
            has_caller_key=key is not None,
        )
        deadline_ms = self._context.dispatcher.find_deadline_ms(pool_request)
        match await self._context.ledger.admit(charge_request, deadline_ms):
            case spending.Charge() as charge:
                return chat_response.Billing(charge)
            case spending.AlreadySettled():
                return chat_response.Billing(None)
            case outcomes.NotRun() as refusal:
                return refusal

    async def _run_attempts(
        self,
        response: chat_response.ChatResponse,
        pool_request: pool_requests.PoolRequest,
    ) -> outcomes.Refusal | None:
        """Runs attempts until the response is complete or no retry is left."""
        lifecycle = self._context.dispatcher.begin_lifecycle(pool_request)
        progress = pool_requests.Progress()
        while True:
            async with self._context.dispatcher.acquire_slot(
                pool_request, progress
            ) as slot:
                if isinstance(slot, outcomes.NotRun):
                    return lifecycle.refuse(slot).refusal
                if isinstance(slot, dispatcher.Requeue):
                    continue
                result = await self._run_attempt(
                    response, pool_request, lifecycle, slot
                )
                if not isinstance(result, upstream_exchange.AttemptFailed):
                    self._record_output(response, pool_request)
                    return result
                await self._context.record_failure(pool_request, slot, result)
            progress = pool_requests.Progress(
                response.stream.output_tokens,
                lifecycle.has_sent,
                progress.failed_upstreams | {slot.upstream.name},
            )
            if response.stream.remaining_tokens <= 0:
                # The stream broke after its last allowed token, so that only
                # its end is missing.
                response.stream.end_at_token_limit()
                return await response.finish_stream()
            refusal = await self._wait_for_retry(
                pool_request, progress, lifecycle, result.kind
            )
            if refusal is not None:
                return refusal

    async def _run_attempt(
        self,
        response: chat_response.ChatResponse,
        pool_request: pool_requests.PoolRequest,
        lifecycle: request_lifecycle.RequestLifecycle,
        slot: upstream_slot.Slot,
    ) -> outcomes.Refusal | upstream_exchange.AttemptFailed | None:
        """Runs one attempt on the upstream of a slot."""
        self._context.metrics.attempts.add(1)
        salt = prefix_affinity.make_cache_salt(pool_request.account.name)
        upstream_request = upstream_exchange.UpstreamRequest(
            "POST",
            _CHAT_PATH,
            (
                ("content-type", "application/json"),
                ("x-cache-salt", salt),
                ("x-priority", str(slot.ticket.priority)),
            ),
            response.make_upstream_body(),
        )
        timeout_ms = upstream_exchange.compute_response_timeout_ms(
            lifecycle.settings.deadline_ms, self._context.read_clock_ms()
        )
        async with upstream_exchange.open_exchange(
            self._context.connections,
            slot,
            lifecycle,
            upstream_request,
            timeout_ms,
        ) as started:
            if isinstance(started, upstream_exchange.AttemptFailed):
                return started
            return await response.forward_response(started, slot)

    async def _wait_for_retry(
        self,
        pool_request: pool_requests.PoolRequest,
        progress: pool_requests.Progress,
        lifecycle: request_lifecycle.RequestLifecycle,
        kind: retry.FailureKind,
    ) -> outcomes.Refusal | None:
        """Waits until the next attempt or returns the final refusal."""
        remaining_work_ms = self._context.dispatcher.estimate_remaining_work_ms(
            pool_request, progress
        )
        now_ms = self._context.read_clock_ms()
        match lifecycle.record_failure(kind, now_ms, remaining_work_ms):
            case retry.RetryAfterDelay(delay_ms):
                await asyncio.sleep(delay_ms / 1000)
                return None
            case retry.StopRetrying(cause):
                refusal = retry_refusals.refuse_after_last_attempt(
                    cause, lifecycle.has_sent
                )
                return lifecycle.refuse(refusal).refusal

    def _record_output(
        self,
        response: chat_response.ChatResponse,
        pool_request: pool_requests.PoolRequest,
    ) -> None:
        """Updates the output estimate if the response is complete."""
        if response.output_tokens is not None:
            self._context.dispatcher.record_output(
                pool_request, response.output_tokens
            )


def _make_pool_request(
    request: http_server.HttpRequest,
    caller: context.Caller,
    chat: chat_request.ChatRequest,
) -> pool_requests.PoolRequest | outcomes.NotRun:
    """Returns a chat request as a request for the pool of its model."""
    kind = work_kind.read_work_kind(request.headers)
    if isinstance(kind, outcomes.NotRun):
        return kind
    prompt = "\n".join(
        message["content"] for message in chat.fields["messages"]
    )
    salt = prefix_affinity.make_cache_salt(caller.account.name)
    return pool_requests.PoolRequest(
        pool_name=dispatcher.name_model_pool(chat.model.name),
        account=caller.account,
        kind=kind,
        arrived_ms=caller.arrived_ms,
        body_digest=request_key.digest_body(_CHAT_PATH, request.body),
        prompt_tokens=max(1, len(prompt) // _CHARACTERS_PER_TOKEN),
        prefix_digests=prefix_affinity.make_prefix_digests(salt, prompt),
        max_output_tokens=chat.max_output_tokens,
    )


async def send_models(
    responder: http_server.HttpResponder, caller: context.Caller
) -> None:
    """Handles `GET /v1/models` with the models that the account may use."""
    models = [
        {"id": model.name, "object": "model", "owned_by": "redwingchute"}
        for model in caller.configuration_in_force.models
        if model.name in caller.account.models
    ]
    body = json.dumps({"object": "list", "data": models}).encode()
    await responder.send(200, body)
