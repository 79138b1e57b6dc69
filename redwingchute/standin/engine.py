"""A stand-in of a model engine.

It serves the engines' interface of docs/design/ARCHITECTURE.md. A fixed number
of requests run at once, each producing one token per interval. Completions are
deterministic. `usage` counts the prompt tokens and the tokens that this attempt
produced, without those of `continue_from_text`. `POST /control` sets faults.
"""

import asyncio
import json
from typing import Any

import attrs

from redwingchute.connection import http_server
from redwingchute.standin import base
from redwingchute.standin import completions
from redwingchute.standin import engine_state
from redwingchute.standin import faults as faults_lib
from redwingchute.standin import orders

_DEFAULT_PRIORITY = 100
_CACHE_BLOCKS = 512


@attrs.frozen
class EngineFaults:
    """The faults and settings of an engine.

    Attributes:
      token_interval_ms: The time to produce one token.
      answer_tokens: The length of completions in tokens; 0 derives it from the
        prompt.
      crash_on_text: The engine crashes on a prompt that contains this text;
        empty for never. `POST /control/restart` on the control port restarts
        it.
      is_leaving: New requests are refused with 503 and `X-Leaving: 1`.
      cut_after_tokens: Responses are cut off after this many tokens; -1 for
        never.
      cache_event_lag_ms: The delay until cache events are reported.
      cache_event_gap: The number n if every n-th cache event is lost; 0 if
        none is.
      load_lag_ms: The age of the load that `GET /load` reports.
      ignores_fencing: Orders with an outdated fencing number are executed.
      ignores_priority: Requests are served by arrival only.
    """

    token_interval_ms: int = 5
    answer_tokens: int = 0
    crash_on_text: str = ""
    is_leaving: bool = False
    cut_after_tokens: int = attrs.field(default=-1, metadata={"minimum": -1})
    cache_event_lag_ms: int = 0
    cache_event_gap: int = 0
    load_lag_ms: int = 0
    ignores_fencing: bool = False
    ignores_priority: bool = False


@attrs.frozen
class _Attempt:
    """An attempt that the engine runs.

    Attributes:
      attempt_id: The router's id of the attempt.
      chat: The request.
      salt: The `X-Cache-Salt` header, which separates the prefix caches of
        client accounts.
      tokens: The tokens that this attempt produces.
      finish_reason: `stop`, or `length` if `max_tokens` limits the output.
    """

    attempt_id: str
    chat: completions.ChatRequest
    salt: str
    tokens: tuple[str, ...]
    finish_reason: str


class Engine(base.StandIn[EngineFaults]):
    """The stand-in of one runner of a model; a context manager.

    Attributes:
      model: The name of the model.
      name: The runner's name.
      started: The number of attempts that got a slot.
      finished: The number of attempts with a complete response.
      cancelled: The number of attempts whose caller disconnected, while queued
        or running.
      cut: The number of responses that `cut_after_tokens` cut off.
      tokens_produced: The number of tokens of all attempts.
      dispatched: The number of attempts received, refused ones included.
      attempt_ids: The ids of all attempts with a valid body, in order.
      attempts_by_prompt: The number of these attempts by the prompt's text.
      orders: Executes the orders received and records them.
    """

    def __init__(
        self,
        model: str,
        name: str = "engine",
        slots: int = 8,
        address: str = "127.0.0.1",
        port: int = 0,
        faults: EngineFaults | None = None,
    ) -> None:
        """Prepares an engine with one loaded model."""
        super().__init__(faults or EngineFaults(), address, port)
        self.model = model
        self.name = name
        self.started = 0
        self.finished = 0
        self.cancelled = 0
        self.cut = 0
        self.tokens_produced = 0
        self.dispatched = 0
        self.attempt_ids: list[str] = []
        self.attempts_by_prompt: dict[str, int] = {}
        self.orders = orders.OrderProcessor(model)
        self._slots = engine_state.SlotQueue(slots)
        self._history = engine_state.LoadHistory(self._report_load())
        self._cache = engine_state.PrefixCache(_CACHE_BLOCKS)

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a request to the engines' interface."""
        match (request.method, request.path):
            case ("POST", "/v1/chat/completions"):
                await self._handle_chat(request, responder)
            case ("GET", "/v1/models"):
                models = [{"id": name} for name in sorted(self.orders.loaded)]
                body = {"object": "list", "data": models}
                await responder.send(200, faults_lib.to_json(body))
            case ("GET", "/load"):
                at_ms = base.now_ms() - self.faults.load_lag_ms
                report = self._history.find(at_ms)
                await responder.send(200, faults_lib.to_json(report))
            case ("GET", "/cache_events"):
                await self._send_cache_events(request.query, responder)
            case ("POST", "/orders"):
                await self._handle_order(request.body, responder)
            case _:
                await responder.send(404, b'{"error": "no such path"}')

    def describe(self) -> dict[str, Any]:
        """Returns the counters, the attempts, the load and the orders."""
        return {
            "name": self.name,
            "model": self.model,
            "started": self.started,
            "finished": self.finished,
            "cancelled": self.cancelled,
            "cut": self.cut,
            "tokens_produced": self.tokens_produced,
            "dispatched": self.dispatched,
            "attempt_ids": self.attempt_ids,
            "attempts_by_prompt": self.attempts_by_prompt,
            "load": self._report_load(),
            "fence": self.orders.fence,
            "loaded": sorted(self.orders.loaded),
            "role": self.orders.role,
            "executed_orders": self.orders.executed,
        }

    async def _handle_chat(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a chat completion request; refuses it while leaving."""
        attempt_id = request.headers.get("x-attempt-id", "")
        headers = [("x-attempt-id", attempt_id)]
        self.dispatched += 1
        if self.faults.is_leaving:
            headers.append(("x-leaving", "1"))
            body = _make_error("the engine is leaving")
            await responder.send(503, body, headers=headers)
            return
        chat = completions.read_chat_request(request.body)
        if isinstance(chat, tuple):
            body = _make_error("; ".join(f.place + f.message for f in chat))
            await responder.send(400, body, headers=headers)
            return
        self.attempt_ids.append(attempt_id)
        seen = self.attempts_by_prompt.get(chat.prompt, 0)
        self.attempts_by_prompt[chat.prompt] = seen + 1
        if (text := self.faults.crash_on_text) and text in chat.prompt:
            self.schedule_crash()
            # The crash cancels this handler.
            await asyncio.Event().wait()
        attempt = self._plan_attempt(chat, attempt_id, request.headers)
        if attempt is None:
            body = _make_error("continue_from_text does not match")
            await responder.send(400, body, headers=headers)
            return
        priority = self._get_priority(request.headers)
        await self._run_in_slot(attempt, priority, responder)

    def _plan_attempt(
        self,
        chat: completions.ChatRequest,
        attempt_id: str,
        headers: dict[str, str],
    ) -> _Attempt | None:
        """Plans an attempt.

        Returns:
          The attempt, or None if `continue_from_text` isn't the beginning of
          the prompt's completion.
        """
        tokens = completions.list_completion_tokens(
            self.model, chat.prompt, self.faults.answer_tokens
        )
        if not "".join(tokens).startswith(chat.continue_from_text):
            return None
        remaining = tokens[len(chat.continue_from_text.split()) :]
        return _Attempt(
            attempt_id=attempt_id,
            chat=chat,
            salt=headers.get("x-cache-salt", ""),
            tokens=tuple(remaining[: chat.max_tokens]),
            finish_reason="length"
            if len(remaining) > chat.max_tokens
            else "stop",
        )

    async def _run_in_slot(
        self,
        attempt: _Attempt,
        priority: int,
        responder: http_server.HttpResponder,
    ) -> None:
        """Waits for a slot and runs the attempt in it."""
        try:
            await self._slots.acquire(priority, self._record_load)
        except asyncio.CancelledError:
            self.cancelled += 1
            self._record_load()
            raise
        self.started += 1
        self._record_load()
        try:
            await self._run(attempt, responder)
        except (asyncio.CancelledError, http_server.ClientDisconnectedError):
            self.cancelled += 1
            raise
        finally:
            self._slots.release()
            self._record_load()

    async def _run(
        self, attempt: _Attempt, responder: http_server.HttpResponder
    ) -> None:
        """Produces the tokens and sends them as a stream or as one body."""
        blocks = completions.hash_prefix_blocks(
            attempt.salt, attempt.chat.prompt
        )
        cached = self._cache.count_cached(blocks)
        self._cache.store(blocks, base.now_ms())
        headers = [("x-attempt-id", attempt.attempt_id)]
        if attempt.chat.stream:
            headers.append(("content-type", "text/event-stream"))
            await responder.start(200, headers)
        for index, token in enumerate(attempt.tokens):
            if index == self.faults.cut_after_tokens:
                self.cut += 1
                # The handler returns without ending the body, so the server
                # closes the connection and the stream is cut.
                return
            await asyncio.sleep(self.faults.token_interval_ms / 1000)
            self.tokens_produced += 1
            if attempt.chat.stream:
                chunk = self._make_chunk(attempt, {"content": token}, None)
                await responder.send_chunk(chunk)
        usage = _make_usage(attempt, cached)
        if attempt.chat.stream:
            reason = attempt.finish_reason
            chunk = self._make_chunk(attempt, {}, reason, usage)
            await responder.send_chunk(chunk + b"data: [DONE]\n\n")
            await responder.finish()
        else:
            body = self._make_completion(attempt, usage)
            await responder.send(200, body, headers=headers)
        self.finished += 1

    def _make_chunk(
        self,
        attempt: _Attempt,
        delta: dict[str, str],
        finish_reason: str | None,
        usage: dict[str, Any] | None = None,
    ) -> bytes:
        """Returns one chunk of a stream, as a server-sent event."""
        chunk: dict[str, Any] = {
            "id": f"chatcmpl-{attempt.attempt_id}",
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [
                {"index": 0, "delta": delta, "finish_reason": finish_reason}
            ],
        }
        if usage is not None:
            chunk["usage"] = usage
        return b"data: " + faults_lib.to_json(chunk) + b"\n\n"

    def _make_completion(
        self, attempt: _Attempt, usage: dict[str, Any]
    ) -> bytes:
        """Returns the body of a response that isn't streamed."""
        message = {"role": "assistant", "content": "".join(attempt.tokens)}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": attempt.finish_reason,
        }
        return faults_lib.to_json(
            {
                "id": f"chatcmpl-{attempt.attempt_id}",
                "object": "chat.completion",
                "model": self.model,
                "choices": [choice],
                "usage": usage,
            }
        )

    async def _send_cache_events(
        self, query: dict[str, str], responder: http_server.HttpResponder
    ) -> None:
        """Sends cache events, subject to `cache_event_lag_ms` and `..._gap`."""
        start = query.get("from", "0")
        if not start.isdecimal():
            await responder.send(400, _make_error("from must be an offset"))
            return
        until_ms = base.now_ms() - self.faults.cache_event_lag_ms
        gap = self.faults.cache_event_gap
        events = self._cache.list_events(int(start), until_ms, gap)
        following = events[-1].offset + 1 if events else int(start)
        body = {"next": following, "events": events}
        await responder.send(200, faults_lib.to_json(body))

    async def _handle_order(
        self, body: bytes, responder: http_server.HttpResponder
    ) -> None:
        """Handles `POST /orders`."""
        order = faults_lib.parse_json_object(body)
        if isinstance(order, tuple):
            findings = faults_lib.to_json({"findings": list(order)})
            await responder.send(400, findings)
            return
        result = self.orders.handle(order, self.faults.ignores_fencing)
        await responder.send(result.status, json.dumps(result.body).encode())

    def _report_load(self) -> engine_state.LoadReport:
        """Returns the current load."""
        return engine_state.LoadReport(
            running=self._slots.running,
            queued=self._slots.queued,
            slots=self._slots.slots,
            at_ms=base.now_ms(),
        )

    def _record_load(self) -> None:
        """Adds the current load to the history, after a change."""
        self._history.add(self._report_load())

    def _get_priority(self, headers: dict[str, str]) -> int:
        """Returns a request's priority, or the default if it is ignored."""
        if self.faults.ignores_priority:
            return _DEFAULT_PRIORITY
        return _read_priority(headers)


def _read_priority(headers: dict[str, str]) -> int:
    """Returns the priority in the headers, or the default.

    The default applies if the header is missing or malformed.
    """
    try:
        return int(headers.get("x-priority", _DEFAULT_PRIORITY))
    except ValueError:
        return _DEFAULT_PRIORITY


def _make_usage(attempt: _Attempt, cached_blocks: int) -> dict[str, Any]:
    """Returns the `usage` of an attempt."""
    prompt_tokens = completions.count_prompt_tokens(attempt.chat.prompt)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(attempt.tokens),
        "total_tokens": prompt_tokens + len(attempt.tokens),
        "prompt_tokens_details": {
            "cached_tokens": cached_blocks * completions.WORDS_PER_BLOCK
        },
    }


def _make_error(message: str) -> bytes:
    """Returns the body of an error response in the engines' format."""
    return faults_lib.to_json({"error": {"message": message}})


def run_engine(
    *,
    listen: str,
    model: str,
    name: str = "engine",
    token_interval_ms: int = 5,
    slots: int = 8,
) -> None:
    """Run a stand-in of a model engine.

    Args:
      listen: The ip:port to listen on; port 0 selects a free one.
      model: The name of the loaded model.
      name: The runner's name.
      token_interval_ms: The time to produce one token.
      slots: The number of requests that run at once.
    """
    at = base.parse_listen(listen)
    faults = EngineFaults(token_interval_ms=token_interval_ms)
    base.run_until_signal(Engine(model, name, slots, at.ip, at.port, faults))
