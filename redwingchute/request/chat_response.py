"""Forwards the response to a chat request from the upstreams to the caller.

Output is forwarded as it arrives. The end of the response is held back until
its actual cost is settled. An incomplete response is not billed.
"""

import json
import math

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import configuration
from redwingchute.core import outcomes
from redwingchute.core import spending
from redwingchute.request import chat_event
from redwingchute.request import chat_request
from redwingchute.request import context
from redwingchute.request import retry
from redwingchute.request import transcript
from redwingchute.request import upstream_exchange
from redwingchute.request import upstream_slot

_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_RETRY_AFTER_MS = 1_000


@attrs.frozen
class Billing:
    """How a request is billed.

    Attributes:
      charge: The charge that pays for it, None if an earlier request with the
        same idempotency key was settled.
    """

    charge: spending.Charge | None


class ChatResponse:
    """The response to one request, over all of its attempts.

    Attributes:
      chat: The request.
      stream: The part of a streamed response that the caller received.
      output_tokens: The size of the complete response. None until it is
        complete, or if a response that is not streamed has no usage.
      is_settled: Whether the charge ended with a settlement, so that it must
        not be cancelled. The request may have been billed.
    """

    def __init__(
        self,
        request_context: context.RequestContext,
        chat: chat_request.ChatRequest,
        billing: Billing,
        responder: http_server.HttpResponder,
    ) -> None:
        """Creates a response of which nothing was forwarded.

        Args:
          request_context: The shared dependencies of request handlers.
          chat: The request.
          billing: How the request is billed.
          responder: Sends the response to the caller.
        """
        self.chat = chat
        self.stream = transcript.StreamTranscript(chat.max_output_tokens)
        self.output_tokens: int | None = None
        self.is_settled = False
        self._context = request_context
        self._billing = billing
        self._responder = responder

    def make_upstream_body(self) -> bytes:
        """Returns the request body of the next attempt.

        After an interrupted stream it requests the remaining output.
        """
        fields = dict(self.chat.fields)
        fields.pop("max_completion_tokens", None)
        fields["max_tokens"] = self.stream.remaining_tokens
        if self.chat.is_streamed:
            fields["stream_options"] = {"include_usage": True}
        if self.stream.text:
            fields["continue_from_text"] = self.stream.text
        return json.dumps(fields).encode()

    async def forward_response(
        self,
        started: upstream_exchange.StartedResponse,
        slot: upstream_slot.Slot,
    ) -> outcomes.Refusal | upstream_exchange.AttemptFailed | None:
        """Forwards a response and settles its cost before its end is sent.

        Args:
          started: The response of the upstream.
          slot: The slot of the attempt.

        Returns:
          None if the caller received the whole response, the refusal that ends
          the request, or the failure of the attempt.
        """
        if started.head.status != 200:
            return outcomes.Failed(
                502,
                "upstream_refused",
                f"The upstream responded with status {started.head.status}.",
            )
        if not self.chat.is_streamed:
            return await self._forward_unstreamed(started, slot)
        await self._start_stream()
        self.stream.begin_attempt()
        if not await self._forward_events(started.connection, slot):
            return upstream_exchange.AttemptFailed(
                retry.FailureKind.BROKEN, started.attempt_id
            )
        slot.output_tokens = self.stream.attempt_tokens
        return await self.finish_stream()

    async def finish_stream(self) -> outcomes.Refusal | None:
        """Settles the cost of a complete stream, then sends its end."""
        self.output_tokens = self.stream.output_tokens
        refusal = await self._settle(self.stream.usage)
        if refusal is None:
            await self._responder.send_chunk(self.stream.pop_held())
            await self._responder.finish()
        return refusal

    async def _start_stream(self) -> None:
        """Sends the head of the response if no attempt has sent it."""
        if self._responder.has_started:
            return
        await self._responder.start(
            200,
            [
                ("content-type", "text/event-stream"),
                ("cache-control", "no-store"),
                ("transfer-encoding", "chunked"),
            ],
        )

    async def _forward_events(
        self, connection: http_client.ClientConnection, slot: upstream_slot.Slot
    ) -> bool:
        """Forwards events; returns whether the stream is complete."""
        tokens_before = self.stream.output_tokens
        try:
            with upstream_exchange.IdleTimeout(connection) as idle_timeout:
                return await self._forward_chunks(idle_timeout, slot)
        finally:
            tokens = self.stream.output_tokens - tokens_before
            self._context.metrics.tokens_delivered.add(tokens)

    async def _forward_chunks(
        self,
        idle_timeout: upstream_exchange.IdleTimeout,
        slot: upstream_slot.Slot,
    ) -> bool:
        """Forwards each chunk; returns whether the stream is complete."""
        while True:
            match await idle_timeout.read_chunk():
                case http_client.BodyChunk(chunk):
                    output = self.stream.process_chunk(chunk)
                    if self.stream.attempt_tokens:
                        slot.record_first_token()
                    await self._responder.send_chunk(output)
                    if self.stream.is_oversized:
                        return False
                case http_client.BodyEnd():
                    return self.stream.is_done
                case http_client.ExchangeBroken():
                    return self.stream.is_done

    async def _forward_unstreamed(
        self,
        started: upstream_exchange.StartedResponse,
        slot: upstream_slot.Slot,
    ) -> outcomes.Refusal | upstream_exchange.AttemptFailed | None:
        """Forwards a response that is not streamed."""
        body = await upstream_exchange.read_body(
            started.connection, _MAX_RESPONSE_BYTES
        )
        if isinstance(body, http_client.ExchangeBroken):
            return upstream_exchange.AttemptFailed(
                retry.FailureKind.BROKEN, started.attempt_id
            )
        try:
            usage = chat_event.read_usage(json.loads(body))
        except ValueError:
            usage = None
        if usage is not None:
            slot.output_tokens = self.output_tokens = usage.output_tokens
        refusal = await self._settle(usage)
        if refusal is None:
            await self._responder.send(200, body)
        return refusal

    async def _settle(
        self, usage: chat_event.Usage | None
    ) -> outcomes.Failed | None:
        """Settles the actual cost; returns the refusal if that fails.

        A request without a charge was billed before and costs nothing.
        """
        charge = self._billing.charge
        if charge is None:
            return None
        bound_tokens = charge.request.bound_tokens
        tokens = compute_cost_tokens(self.chat.model, usage, bound_tokens)
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
                    "The charge was not settled durably in time. "
                    "A repeat with the same key is billed once.",
                    _RETRY_AFTER_MS,
                )


def compute_cost_tokens(
    model: configuration.Model,
    usage: chat_event.Usage | None,
    bound_tokens: int,
) -> int:
    """Returns the cost of a request in budget tokens, at most its bound.

    Args:
      model: The model with its prices.
      usage: The usage that the upstream reported. Without it, the cost is the
        upper bound.
      bound_tokens: The upper bound, which was reserved.
    """
    if usage is None:
        return bound_tokens
    cost = (
        usage.prompt_tokens * model.prompt_price
        + usage.output_tokens * model.output_price
    )
    return min(math.ceil(cost), bound_tokens)
