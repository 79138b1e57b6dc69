"""Serves `POST /v1/chat/completions` and `GET /v1/models`.

A chat request is checked, refused if it cannot be complete in time, and its
maximum cost is reserved. Only then is anything sent to an upstream. If an
upstream interrupts a stream, the next attempt continues it.
"""

import asyncio
import json

from redwingchute.connection import http_server
from redwingchute.core import outcomes
from redwingchute.core import spending
from redwingchute.request import chat_answer
from redwingchute.request import chat_request
from redwingchute.request import context
from redwingchute.request import dispatcher
from redwingchute.request import exchange
from redwingchute.request import give_up
from redwingchute.request import prefix_affinity
from redwingchute.request import request_key
from redwingchute.request import request_life
from redwingchute.request import retry
from redwingchute.request import slot as slot_lib
from redwingchute.request import work as work_lib
from redwingchute.request import work_kind

_CHAT_PATH = "/v1/chat/completions"
_CHARACTERS_PER_TOKEN = 4


class ChatHandler:
    """Handles chat completion requests."""

    def __init__(self, request_context: context.RequestContext) -> None:
        """Creates a handler that uses the shared parts of the process."""
        self._context = request_context

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
        caller: context.Caller,
    ) -> outcomes.Refusal | None:
        """Handles one request.

        Returns:
          The refusal to send, or None if the whole answer was sent.
        """
        chat = chat_request.parse_chat_request(
            request.body, caller.current, caller.account
        )
        if isinstance(chat, outcomes.NotRun):
            return chat
        work = _make_pool_request(request, caller, chat)
        if isinstance(work, outcomes.NotRun):
            return work
        refusal = self._context.dispatcher.refuse_early(work)
        if refusal is not None:
            return refusal
        billing = await self._reserve_cost(request, work, chat)
        if isinstance(billing, outcomes.NotRun):
            return billing
        answer = chat_answer.ChatAnswer(self._context, chat, billing, responder)
        try:
            return await self._run_attempts(answer, work)
        finally:
            if billing.charge is not None and not answer.is_settled:
                self._context.ledger.cancel(billing.charge)

    async def _reserve_cost(
        self,
        request: http_server.HttpRequest,
        work: work_lib.Work,
        chat: chat_request.ChatRequest,
    ) -> chat_answer.Billing | outcomes.NotRun:
        """Reserves the maximum cost of a request."""
        key = request_key.read_caller_key(request.headers)
        if isinstance(key, outcomes.NotRun):
            return key
        charge_request = spending.ChargeRequest(
            budget=work.account.budget,
            key=request_key.find_billing_key(
                work.account.name, key, self._context.make_id
            ),
            body_digest=work.body_digest,
            bound_tokens=chat.bound_tokens,
            has_caller_key=key is not None,
        )
        deadline_ms = self._context.dispatcher.find_deadline_ms(work)
        match await self._context.ledger.admit(charge_request, deadline_ms):
            case spending.Charge() as charge:
                return chat_answer.Billing(charge)
            case spending.AlreadySettled():
                return chat_answer.Billing(None)
            case outcomes.NotRun() as refusal:
                return refusal

    async def _run_attempts(
        self, answer: chat_answer.ChatAnswer, work: work_lib.Work
    ) -> outcomes.Refusal | None:
        """Runs attempts until the answer is complete or no retry is left."""
        life = self._context.dispatcher.begin_life(work)
        progress = work_lib.Progress()
        while True:
            async with self._context.dispatcher.hold_slot(
                work, progress
            ) as slot:
                if isinstance(slot, outcomes.NotRun):
                    return life.refuse(slot).refusal
                if isinstance(slot, dispatcher.Requeue):
                    continue
                result = await self._run_attempt(answer, work, life, slot)
                if not isinstance(result, exchange.AttemptFailed):
                    self._record_output(answer, work)
                    return result
                await self._context.note_failure(work, slot, result)
            progress = work_lib.Progress(
                answer.stream.output_tokens,
                life.has_sent,
                progress.failed_upstreams | {slot.upstream.name},
            )
            if answer.stream.left_tokens <= 0:
                answer.stream.end_at_bound()
                return await answer.finish_stream()
            refusal = await self._wait_for_retry(
                work, progress, life, result.kind
            )
            if refusal is not None:
                return refusal

    async def _run_attempt(
        self,
        answer: chat_answer.ChatAnswer,
        work: work_lib.Work,
        life: request_life.RequestLife,
        slot: slot_lib.Slot,
    ) -> outcomes.Refusal | exchange.AttemptFailed | None:
        """Runs one attempt on the upstream of a slot."""
        self._context.metrics.attempts.add(1)
        salt = prefix_affinity.make_cache_salt(work.account.name)
        outgoing = exchange.Outgoing(
            "POST",
            _CHAT_PATH,
            (
                ("content-type", "application/json"),
                ("x-cache-salt", salt),
                ("x-priority", str(slot.ticket.priority)),
            ),
            answer.make_upstream_body(),
        )
        timeout_ms = exchange.find_timeout_ms(
            life.settings.deadline_ms, self._context.read_clock_ms()
        )
        async with exchange.open_exchange(
            self._context.pool, slot, life, outgoing, timeout_ms
        ) as started:
            if isinstance(started, exchange.AttemptFailed):
                return started
            return await answer.pass_on(started, slot)

    async def _wait_for_retry(
        self,
        work: work_lib.Work,
        progress: work_lib.Progress,
        life: request_life.RequestLife,
        kind: retry.FailureKind,
    ) -> outcomes.Refusal | None:
        """Waits until the next attempt or returns the final refusal."""
        work_left_ms = self._context.dispatcher.estimate_work_left_ms(
            work, progress
        )
        now_ms = self._context.read_clock_ms()
        match life.note_failure(kind, now_ms, work_left_ms):
            case retry.RetryAfterDelay(delay_ms):
                await asyncio.sleep(delay_ms / 1000)
                return None
            case retry.GiveUp(cause):
                refusal = give_up.describe(cause, life.has_sent)
                return life.refuse(refusal).refusal

    def _record_output(
        self, answer: chat_answer.ChatAnswer, work: work_lib.Work
    ) -> None:
        """Updates the output estimate from a complete answer."""
        if answer.output_tokens is not None:
            self._context.dispatcher.note_output(work, answer.output_tokens)


def _make_pool_request(
    request: http_server.HttpRequest,
    caller: context.Caller,
    chat: chat_request.ChatRequest,
) -> work_lib.Work | outcomes.NotRun:
    """Returns a chat request as a request for the pool of its model."""
    kind = work_kind.read_work_kind(request.headers)
    if isinstance(kind, outcomes.NotRun):
        return kind
    prompt = "\n".join(
        message["content"] for message in chat.fields["messages"]
    )
    salt = prefix_affinity.make_cache_salt(caller.account.name)
    return work_lib.Work(
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
    """Answers `GET /v1/models` with the models that the account may use."""
    models = [
        {"id": model.name, "object": "model", "owned_by": "redwingchute"}
        for model in caller.current.models
        if model.name in caller.account.models
    ]
    body = json.dumps({"object": "list", "data": models}).encode()
    await responder.send(200, body)
