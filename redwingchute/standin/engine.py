"""A stand-in of a model engine.

It speaks the engines' interface of docs/design/ARCHITECTURE.md and batches
requests into slots, one token each per interval. Answers are deterministic.
`usage` counts the prompt and the tokens that this attempt produced, without
those of `continue_from_text`. Faults are switched through `POST /control`.
"""

import asyncio
import json
from typing import Any

import attrs

from redwingchute.connection import http_server
from redwingchute.standin import answers
from redwingchute.standin import base
from redwingchute.standin import batching
from redwingchute.standin import faults as faults_lib
from redwingchute.standin import orders

_DEFAULT_PRIORITY = 100
_CACHE_BLOCKS = 512


@attrs.frozen
class EngineFaults:
    """The faults and settings of an engine.

    Attributes:
      token_interval_ms: The time for one token.
      answer_tokens: The length of answers; 0 lets the prompt decide it.
      crash_on_text: A prompt that contains it crashes the engine; the empty
        text never does. `POST /control/restart` on the control port mends it.
      is_leaving: New work gets 503 with `X-Leaving: 1`.
      cut_after_tokens: Streams are cut after so many tokens; -1 never.
      cache_event_lag_ms: Cache events are shown this late.
      cache_event_gap: Each event of this number is lost; 0 for none.
      load_lag_ms: `GET /load` shows the load of this long ago.
      ignores_fencing: Orders with an old fencing number are run.
      ignores_priority: The queue is served by arrival alone.
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
    """One attempt that runs on the engine.

    Attributes:
      attempt_id: The router's id of the attempt.
      chat: What is asked for.
      salt: Separates the prefix caches of client accounts.
      tokens: The tokens that this attempt is to produce.
      finish_reason: `stop` or `length`.
    """

    attempt_id: str
    chat: answers.ChatRequest
    salt: str
    tokens: tuple[str, ...]
    finish_reason: str


class Engine(base.StandIn[EngineFaults]):
    """The stand-in of one runner of a model; a context manager.

    Attributes:
      model: The name of the model.
      name: The runner's name.
      started: Attempts that got a slot.
      finished: Attempts whose answer ended whole.
      cancelled: Attempts whose caller went away, queued or running.
      tokens_produced: Tokens of all attempts.
      dispatched: Attempts that came, refused ones included.
      attempt_ids: The ids of all attempts that were taken, in order.
      attempts_by_prompt: How many were taken, by the prompt's text.
      orders: The orders that it took.
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
        self.orders = orders.OrderBook(model)
        self._slots = batching.SlotQueue(slots)
        self._history = batching.LoadHistory(self._report_load())
        self._cache = batching.PrefixCache(_CACHE_BLOCKS)

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers a request of the engines' interface."""
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
        """Returns the counters and the attempts seen."""
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
        """Answers a chat completion, refusing it while leaving."""
        attempt_id = request.headers.get("x-attempt-id", "")
        headers = [("x-attempt-id", attempt_id)]
        self.dispatched += 1
        if self.faults.is_leaving:
            headers.append(("x-leaving", "1"))
            body = _make_error("the engine is leaving")
            await responder.send(503, body, headers=headers)
            return
        chat = answers.read_chat_request(request.body)
        if isinstance(chat, tuple):
            body = _make_error("; ".join(f.place + f.message for f in chat))
            await responder.send(400, body, headers=headers)
            return
        self.attempt_ids.append(attempt_id)
        seen = self.attempts_by_prompt.get(chat.prompt, 0)
        self.attempts_by_prompt[chat.prompt] = seen + 1
        if (text := self.faults.crash_on_text) and text in chat.prompt:
            self.begin_crash()
            await asyncio.Event().wait()
        attempt = self._plan(chat, attempt_id, request.headers)
        if attempt is None:
            body = _make_error("continue_from_text is not of this answer")
            await responder.send(400, body, headers=headers)
            return
        priority = self._use_priority(request.headers)
        await self._run_in_slot(attempt, priority, responder)

    def _plan(
        self,
        chat: answers.ChatRequest,
        attempt_id: str,
        headers: dict[str, str],
    ) -> _Attempt | None:
        """Plans an attempt; None when the resumed text is another answer's."""
        whole = answers.list_answer_tokens(
            self.model, chat.prompt, self.faults.answer_tokens
        )
        if not "".join(whole).startswith(chat.continue_from_text):
            return None
        left = whole[len(chat.continue_from_text.split()) :]
        return _Attempt(
            attempt_id=attempt_id,
            chat=chat,
            salt=headers.get("x-cache-salt", ""),
            tokens=tuple(left[: chat.max_tokens]),
            finish_reason="length" if len(left) > chat.max_tokens else "stop",
        )

    async def _run_in_slot(
        self,
        attempt: _Attempt,
        priority: int,
        responder: http_server.HttpResponder,
    ) -> None:
        """Waits for a slot and runs the attempt in it."""
        try:
            await self._slots.acquire(priority, self._note_load)
        except asyncio.CancelledError:
            self.cancelled += 1
            self._note_load()
            raise
        self.started += 1
        self._note_load()
        try:
            await self._run(attempt, responder)
        except (asyncio.CancelledError, http_server.ClientDisconnectedError):
            self.cancelled += 1
            raise
        finally:
            self._slots.release()
            self._note_load()

    async def _run(
        self, attempt: _Attempt, responder: http_server.HttpResponder
    ) -> None:
        """Produces the tokens and sends them as the caller asked."""
        blocks = answers.list_blocks(attempt.salt, attempt.chat.prompt)
        cached = self._cache.count_cached(blocks)
        self._cache.store(blocks, base.now_ms())
        headers = [("x-attempt-id", attempt.attempt_id)]
        if attempt.chat.stream:
            headers.append(("content-type", "text/event-stream"))
            await responder.start(200, headers)
        for index, token in enumerate(attempt.tokens):
            if index == self.faults.cut_after_tokens:
                self.cut += 1
                # Closing without an end of the body cuts the stream.
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
        """Returns one server-sent event."""
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
        """Returns the body of an answer that is not streamed."""
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
        """Sends the cache events that the faults let through."""
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
        """Answers `POST /orders`."""
        order = faults_lib.read_object(body)
        if isinstance(order, tuple):
            answer = faults_lib.to_json({"findings": list(order)})
            await responder.send(400, answer)
            return
        result = self.orders.handle(order, self.faults.ignores_fencing)
        await responder.send(result.status, json.dumps(result.body).encode())

    def _report_load(self) -> batching.LoadReport:
        """Returns the load of this instant."""
        return batching.LoadReport(
            running=self._slots.running,
            queued=self._slots.queued,
            slots=self._slots.slots,
            at_ms=base.now_ms(),
        )

    def _note_load(self) -> None:
        """Remembers the load after a change."""
        self._history.add(self._report_load())

    def _use_priority(self, headers: dict[str, str]) -> int:
        """Returns the priority that the queue uses for a request."""
        if self.faults.ignores_priority:
            return _DEFAULT_PRIORITY
        return _read_priority(headers)


def _read_priority(headers: dict[str, str]) -> int:
    """Returns the priority of a request; malformed ones get the default."""
    try:
        return int(headers.get("x-priority", _DEFAULT_PRIORITY))
    except ValueError:
        return _DEFAULT_PRIORITY


def _make_usage(attempt: _Attempt, cached_blocks: int) -> dict[str, Any]:
    """Returns the `usage` of an attempt."""
    prompt_tokens = answers.count_prompt_tokens(attempt.chat.prompt)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(attempt.tokens),
        "total_tokens": prompt_tokens + len(attempt.tokens),
        "prompt_tokens_details": {
            "cached_tokens": cached_blocks * answers.BLOCK_WORDS
        },
    }


def _make_error(message: str) -> bytes:
    """Returns an error body as engines send it."""
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
      listen: The ip:port to serve on, port 0 for a free one.
      model: The name of the model that is loaded.
      name: The runner's name.
      token_interval_ms: The time for one token.
      slots: How many requests run at once.
    """
    at = base.parse_listen(listen)
    faults = EngineFaults(token_interval_ms=token_interval_ms)
    base.run_until_signal(Engine(model, name, slots, at.ip, at.port, faults))
