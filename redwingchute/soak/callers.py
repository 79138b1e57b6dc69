"""Sends the requests of a plan at their times, and records what callers see.

Callers use kept connections until these are closed. After a promise that a
request was not run, or after the failure of a repeatable one, a caller sends it
again under a new id, on a new connection to another host.
"""

import asyncio
import pathlib

import attrs

from redwingchute.connection import http_client
from redwingchute.core import forwarding
from redwingchute.platform import document_encoder
from redwingchute.platform import headers as platform_headers
from redwingchute.soak import caller_identity
from redwingchute.soak import fleet as fleet_lib
from redwingchute.soak import observations
from redwingchute.soak import plan
from redwingchute.standin import base

# An answer is due this long after the deadline at the latest.
ANSWER_MARGIN_MS = 1_000

_MAX_ATTEMPTS = 3
_RETRY_STATUSES = frozenset({408, 421, 429, 503})
_FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})
_DEFAULT_RETRY_AFTER_S = 0.05
# A caller honours Retry-After up to this share of its remaining time.
_MAX_WAIT_SHARE = 1 / 3
_MIN_REMAINING_MS = 50
PROMPT_TOKENS = 40
_TRANSLATOR = platform_headers.PlatformHeaderTranslator()


class Callers:
    """All callers of a soak; a context manager for their connections.

    Attributes:
      attempts: The attempts that have ended.
    """

    def __init__(
        self, fleet: fleet_lib.Fleet, size: plan.Size, path: pathlib.Path
    ) -> None:
        """Prepares the callers.

        Args:
          fleet: The processes, which tell the addresses of hosts.
          size: The size of the soak.
          path: The file to which each attempt is appended.
        """
        self.attempts: list[observations.CallerAttempt] = []
        self._fleet = fleet
        self._hosts = size.list_hosts()
        self._path = path
        self._kept = http_client.ClientPool()

    async def __aenter__(self) -> "Callers":
        """Returns the callers."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Closes the kept connections."""
        await self._kept.__aexit__(None, None, None)

    async def run(self, requests: list[plan.PlannedRequest]) -> None:
        """Sends requests at their times and waits for the end of all."""
        started_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for request in requests:
                due_s = started_s + request.at_ms / 1000
                await asyncio.sleep(due_s - asyncio.get_running_loop().time())
                group.create_task(self._send(request))

    async def _send(self, request: plan.PlannedRequest) -> None:
        """Sends a request until an attempt is final or the time is over."""
        until_ms = base.now_ms() + request.deadline_ms
        for number in range(_MAX_ATTEMPTS):
            left_ms = until_ms - base.now_ms()
            if left_ms < _MIN_REMAINING_MS:
                return
            exchange = _Exchange(request, number, left_ms)
            host = self._hosts[(request.host_index + number) % len(self._hosts)]
            await self._run_attempt(exchange, host)
            attempt = exchange.make_record(host)
            self.attempts.append(attempt)
            observations.append_record(self._path, attempt)
            if not _is_retried(attempt):
                return
            left_s = (until_ms - base.now_ms()) / 1000
            wait_s = min(exchange.retry_after_s, left_s * _MAX_WAIT_SHARE)
            await asyncio.sleep(wait_s)

    async def _run_attempt(self, exchange: "_Exchange", host: str) -> None:
        """Runs an attempt on a kept or a new connection."""
        address = self._fleet.find_address(host)
        if exchange.number or exchange.request.is_new_connection:
            async with http_client.ClientPool() as pool:
                await exchange.run(pool, address)
        else:
            await exchange.run(self._kept, address)


@attrs.define
class _Exchange:
    """The state of one attempt."""

    request: plan.PlannedRequest
    number: int
    deadline_ms: int
    sent_ms: int = attrs.field(factory=base.now_ms)
    outcome: observations.Outcome = observations.Outcome.CLOSED
    head: http_client.ResponseHead | None = None
    body: bytearray = attrs.field(factory=bytearray)

    @property
    def request_id(self) -> str:
        """The id of the attempt."""
        return f"{self.request.number:06x}-{self.number}"

    @property
    def retry_after_s(self) -> float:
        """How long the caller waits before the next attempt."""
        headers = self.head.headers if self.head else {}
        return float(headers.get("retry-after", _DEFAULT_RETRY_AFTER_S))

    async def run(
        self, pool: http_client.ClientPool, address: http_client.Address
    ) -> None:
        """Sends the attempt and reads the response until the caller leaves."""
        connection = await pool.acquire(address)
        if isinstance(connection, http_client.ConnectFailed):
            self.outcome = observations.Outcome.NOT_CONNECTED
            return
        self.sent_ms = base.now_ms()
        give_up_ms = self.request.give_up_ms
        wait_ms = self.deadline_ms + ANSWER_MARGIN_MS
        if give_up_ms is not None:
            wait_ms = min(wait_ms, give_up_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                self.outcome = await self._exchange(connection)
        except TimeoutError:
            self.outcome = (
                observations.Outcome.UNANSWERED
                if give_up_ms is None
                else observations.Outcome.GAVE_UP
            )
        finally:
            pool.release(connection)

    async def _exchange(
        self, connection: http_client.ClientConnection
    ) -> observations.Outcome:
        """Sends the request and reads the whole response."""
        kind = self.request.kind
        headers = document_encoder.encode_request_headers(self._make_request())
        if kind.is_stream:
            headers.append(("event-label", self.request_id))
        is_get = kind is observations.Kind.IDEMPOTENT
        name = self.request_id
        if self.request.is_crashing:
            name = fleet_lib.CRASH_MARKER
        broken = await connection.send_request(
            "GET" if is_get else "POST",
            f"/{kind}/{name}",
            headers,
            b"" if is_get else b"x" * self.request.body_bytes,
            host=caller_identity.CALLED_HOST,
        )
        head = broken or await connection.read_head()
        if isinstance(head, http_client.ExchangeBroken):
            return observations.Outcome.CLOSED
        self.head = head
        while True:
            match await connection.read_chunk():
                case http_client.BodyChunk(data):
                    self.body += data
                case http_client.BodyEnd():
                    return observations.Outcome.ANSWERED
                case http_client.ExchangeBroken():
                    return observations.Outcome.CLOSED

    def _make_request(self) -> forwarding.ForwardRequest:
        """Returns the request as its headers state it."""
        generation = None
        if self.request.kind.is_stream:
            part_id = f"{self.request.number:x}"
            generation = forwarding.Generation(
                PROMPT_TOKENS,
                self.request.output_tokens,
                (forwarding.PromptPart(part_id, PROMPT_TOKENS),),
            )
        return forwarding.ForwardRequest(
            id=self.request_id,
            host=caller_identity.CALLED_HOST,
            path="",
            patience_ms=self.deadline_ms,
            key=caller_identity.KEY,
            generation=generation,
        )

    def make_record(self, host: str) -> observations.CallerAttempt:
        """Returns what the caller saw."""
        response = _TRANSLATOR.parse_response(self.head) if self.head else None
        return observations.CallerAttempt(
            request_id=self.request_id,
            kind=self.request.kind,
            host=host,
            sent_ms=self.sent_ms,
            ended_ms=base.now_ms(),
            deadline_ms=self.deadline_ms,
            outcome=self.outcome,
            output_tokens=self.request.output_tokens,
            status=response.status if response else 0,
            response_id=response.request_id if response else None,
            is_signed=response is not None and response.is_signed,
            body=self.body.decode("latin-1"),
        )


def _is_retried(attempt: observations.CallerAttempt) -> bool:
    """Returns whether a caller sends a request again after an attempt."""
    match attempt.outcome:
        case observations.Outcome.GAVE_UP | observations.Outcome.UNANSWERED:
            return False
        case observations.Outcome.NOT_CONNECTED:
            return True
    if attempt.status in _RETRY_STATUSES:
        return True
    if attempt.kind.is_repeatable:
        is_success = 200 <= attempt.status < 300
        is_complete = attempt.outcome is observations.Outcome.ANSWERED
        return not (is_success and is_complete) and (
            attempt.status not in _FINAL_STATUSES
        )
    return False
