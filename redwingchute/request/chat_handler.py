"""Serves `POST /v1/chat/completions`.

The order of steps is what keeps the promises: the request is checked and its
highest cost reserved before anything is sent; output is passed on as it comes;
the end of the answer is held until the true cost is settled. An answer that
did not end is not billed.
"""

import json
import math

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import configuration
from redwingchute.core import outcomes
from redwingchute.core import spending
from redwingchute.request import chat_request
from redwingchute.request import context
from redwingchute.request import request_key
from redwingchute.request import sse

_CHAT_PATH = "/v1/chat/completions"
_DEFAULT_DEADLINE_MS = 120_000
_MAX_ATTEMPTS = 3
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_RETRY_AFTER_MS = 1_000
_ATTEMPT_ID_BYTES = 8


@attrs.frozen
class _Billing:
    """How a request is paid: by a charge, or not at all on a rerun."""

    charge: spending.Charge | None


@attrs.frozen
class _Started:
    """An attempt whose response has begun."""

    connection: http_client.ClientConnection
    head: http_client.ResponseHead


class ChatHandler:
    """Answers chat completion requests."""

    def __init__(self, request_context: context.RequestContext) -> None:
        """Binds the handler to the parts of the process."""
        self._context = request_context

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
        caller: context.Caller,
    ) -> outcomes.Refusal | None:
        """Answers one request.

        Returns:
          The refusal to send, or None when the answer was sent whole.
        """
        chat = chat_request.parse_chat_request(
            request.body, caller.current, caller.account
        )
        if isinstance(chat, outcomes.NotRun):
            return chat
        billing = await self._admit(request, caller, chat)
        if isinstance(billing, outcomes.NotRun):
            return billing
        is_settled = False
        try:
            answer = _Answer(self._context, chat, billing, responder)
            refusal = await self._run(answer, caller)
            is_settled = answer.is_settled
            return refusal
        finally:
            if billing.charge is not None and not is_settled:
                self._context.ledger.cancel(billing.charge)

    async def _admit(
        self,
        request: http_server.HttpRequest,
        caller: context.Caller,
        chat: chat_request.ChatRequest,
    ) -> _Billing | outcomes.NotRun:
        """Reserves the request's highest cost."""
        key = request_key.read_caller_key(request.headers)
        if isinstance(key, outcomes.NotRun):
            return key
        charge_request = spending.ChargeRequest(
            budget=caller.account.budget,
            key=(
                self._context.make_id(request_key.DIGEST_BYTES)
                if key is None
                else request_key.digest_key(caller.account.name, key)
            ),
            body_digest=request_key.digest_body(_CHAT_PATH, request.body),
            bound_tokens=chat.bound_tokens,
            has_caller_key=key is not None,
        )
        deadline_ms = caller.arrived_ms + _DEFAULT_DEADLINE_MS
        match await self._context.ledger.admit(charge_request, deadline_ms):
            case spending.Charge() as charge:
                return _Billing(charge)
            case spending.AlreadySettled():
                return _Billing(None)
            case outcomes.NotRun() as refusal:
                return refusal

    async def _run(
        self, answer: "_Answer", caller: context.Caller
    ) -> outcomes.Refusal | None:
        """Tries upstreams until one begins to answer, then passes it on."""
        tried: frozenset[str] = frozenset()
        was_sent = False
        for _ in range(_MAX_ATTEMPTS):
            upstream = self._context.upstreams.choose(
                answer.chat.model.upstreams, tried
            )
            if upstream is None:
                break
            tried |= {upstream.name}
            self._context.metrics.attempts.add(1)
            with self._context.upstreams.count(upstream):
                connection = await self._context.pool.acquire(
                    http_client.Address.parse(upstream.address)
                )
                if isinstance(connection, http_client.ConnectFailed):
                    self._count_failure("connect")
                    continue
                was_sent = True
                try:
                    started = await self._start(connection, answer, caller)
                    if started is None:
                        continue
                    return await answer.pass_on(started)
                finally:
                    self._context.pool.release(connection)
        if was_sent:
            return outcomes.Failed(
                502,
                "upstreams_failed",
                "Every upstream that was tried failed.",
                _RETRY_AFTER_MS,
            )
        return outcomes.NotRun(
            503,
            "no_upstream",
            f"No upstream of model '{answer.chat.model.name}' can be reached.",
            _RETRY_AFTER_MS,
        )

    async def _start(
        self,
        connection: http_client.ClientConnection,
        answer: "_Answer",
        caller: context.Caller,
    ) -> _Started | None:
        """Sends the request; None when another upstream may be tried."""
        attempt_id = self._context.make_id(_ATTEMPT_ID_BYTES).hex()
        headers = [
            ("content-type", "application/json"),
            ("x-attempt-id", attempt_id),
            ("x-cache-salt", caller.account.name),
        ]
        body = json.dumps(answer.make_upstream_fields()).encode()
        broken = await connection.send_request(
            "POST", _CHAT_PATH, headers, body
        )
        head = broken or await connection.read_head()
        if isinstance(head, http_client.ExchangeBroken):
            self._count_failure("broken")
            return None
        if head.headers.get("x-attempt-id", attempt_id) != attempt_id:
            connection.close()
            self._count_failure("mismatched")
            return None
        if head.status >= 500:
            self._count_failure("status")
            return None
        return _Started(connection, head)

    def _count_failure(self, cause: str) -> None:
        """Counts an attempt that failed."""
        self._context.metrics.attempt_failures.add(1, {"cause": cause})


class _Answer:
    """The answer of one request on its way to the caller.

    Attributes:
      chat: The request.
      is_settled: Whether the request was billed.
    """

    def __init__(
        self,
        request_context: context.RequestContext,
        chat: chat_request.ChatRequest,
        billing: _Billing,
        responder: http_server.HttpResponder,
    ) -> None:
        """Starts with nothing passed on."""
        self.chat = chat
        self.is_settled = False
        self._context = request_context
        self._billing = billing
        self._responder = responder

    def make_upstream_fields(self) -> dict[str, object]:
        """Returns the request's fields as they are sent to an upstream."""
        fields = dict(self.chat.fields)
        fields.pop("max_completion_tokens", None)
        fields["max_tokens"] = self.chat.max_output_tokens
        if self.chat.is_streamed:
            fields["stream_options"] = {"include_usage": True}
        return fields

    async def pass_on(self, started: _Started) -> outcomes.Refusal | None:
        """Passes an upstream's response on and settles before its end."""
        if started.head.status != 200:
            return outcomes.Failed(
                502,
                "upstream_refused",
                f"The upstream answered with status {started.head.status}.",
            )
        if self.chat.is_streamed:
            return await self._pass_stream(started.connection)
        return await self._pass_whole(started.connection)

    async def _pass_whole(
        self, connection: http_client.ClientConnection
    ) -> outcomes.Refusal | None:
        """Passes on a response that is not streamed."""
        body = await connection.read_body(_MAX_ANSWER_BYTES)
        if isinstance(body, http_client.ExchangeBroken):
            return _report_cut()
        try:
            usage = sse.read_usage(json.loads(body))
        except ValueError:
            usage = None
        refusal = await self._settle(usage)
        if refusal is None:
            await self._responder.send(200, body)
        return refusal

    async def _pass_stream(
        self, connection: http_client.ClientConnection
    ) -> outcomes.Refusal | None:
        """Passes on events; holds the end until the cost is settled."""
        await self._responder.start(
            200,
            [
                ("content-type", "text/event-stream"),
                ("cache-control", "no-store"),
                ("transfer-encoding", "chunked"),
            ],
        )
        splitter = sse.EventSplitter()
        held = bytearray()
        usage: sse.Usage | None = None
        is_done = False
        while True:
            match await connection.read_chunk():
                case http_client.BodyChunk(chunk):
                    output = bytearray()
                    for raw in splitter.split(chunk):
                        event = sse.parse_chat_event(raw)
                        usage = event.usage or usage
                        is_done = is_done or event.is_done
                        is_end = event.is_done or event.is_finish or held
                        (held if is_end or event.usage else output).extend(raw)
                        if event.text:
                            self._context.metrics.tokens_delivered.add(1)
                    await self._responder.send_chunk(bytes(output))
                    if splitter.is_oversized:
                        return _report_cut()
                case http_client.BodyEnd():
                    break
                case http_client.ExchangeBroken():
                    return _report_cut()
        if not is_done:
            return _report_cut()
        refusal = await self._settle(usage)
        if refusal is None:
            await self._responder.send_chunk(bytes(held))
            await self._responder.finish()
        return refusal

    async def _settle(self, usage: sse.Usage | None) -> outcomes.Failed | None:
        """Bills the true cost; returns a refusal when it can't be covered."""
        charge = self._billing.charge
        if charge is None:
            return None
        bound_tokens = charge.request.bound_tokens
        tokens = _count_cost(self.chat.model, usage, bound_tokens)
        match await self._context.ledger.settle(charge, tokens):
            case spending.Settled():
                self.is_settled = True
                self._context.metrics.tokens_settled.add(tokens)
                return None
            case spending.SettlementVoid(message):
                self.is_settled = True
                return outcomes.Failed(
                    503, "settlement_void", message, _RETRY_AFTER_MS
                )
            case spending.SettlementDelayed():
                self.is_settled = True
                return outcomes.Failed(
                    503,
                    "settlement_delayed",
                    "The bill did not become durable in time. "
                    "A repeat with the same key is billed once.",
                    _RETRY_AFTER_MS,
                )


def _count_cost(
    model: configuration.Model, usage: sse.Usage | None, bound_tokens: int
) -> int:
    """Returns what a request cost, in budget tokens, at most its bound.

    An upstream that reports no usage is billed the bound.
    """
    if usage is None:
        return bound_tokens
    cost = (
        usage.prompt_tokens * model.prompt_price
        + usage.output_tokens * model.output_price
    )
    return min(math.ceil(cost), bound_tokens)


def _report_cut() -> outcomes.Failed:
    """Returns the refusal of an answer that its upstream cut off."""
    return outcomes.Failed(
        502,
        "upstream_cut",
        "The upstream ended before the answer was whole; it is not billed.",
        _RETRY_AFTER_MS,
    )


async def send_models(
    responder: http_server.HttpResponder, caller: context.Caller
) -> None:
    """Answers `GET /v1/models` with the models of the account."""
    models = [
        {"id": model.name, "object": "model", "owned_by": "redwingchute"}
        for model in caller.current.models
        if model.name in caller.account.models
    ]
    body = json.dumps({"object": "list", "data": models}).encode()
    await responder.send(200, body)
