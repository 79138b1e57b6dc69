"""A stand-in of the users' runners, which run models or plain services.

A request with a `token-usage: PROMPT,OUTPUT` header gets a stream of OUTPUT
events, one per token; any other request gets a plain body. The stand-in records
each run, so that a test can count the runs of one request. As a process, it
maintains its entry in the metadata store's stand-in, and can write each arrival
and run to a file, which remains when the process is killed.
"""

import asyncio
import collections
import contextlib
import hashlib
import json
import pathlib
from typing import Any

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.standin import base

_HEARTBEAT_PERIOD_S = 1.2
_WRITE_TIMEOUT_MS = 1_000
# An extra response is dropped if its connection gets no request for this long.
_EXTRA_RESPONSE_WAIT_S = 2.0
_EXTRA_RESPONSE_POLL_S = 0.001
# The share of a truncated response's body that is sent.
_TRUNCATED_SHARE = 0.5
_DEFAULT_SLOTS = 8
_MAX_KEPT_ARRIVALS = 10_000


@attrs.frozen
class RunnerFaults:
    """The faults of a runner.

    Attributes:
      is_full: Requests are refused with 503 and not run.
      reject_every: One in this many requests is refused with 503 and not run;
        0 for none.
      extra_every: One in this many responses is sent once more; 0 for none.
        Streams are not sent again.
      extra_delay_ms: The time from a response to its copy.
      extra_awaits_request: The copy is held until the connection's next
        request has arrived, so that it precedes that request's response.
      extra_has_no_id: The copy lacks the id of its request.
      truncate_answers: Plain responses are cut within their bodies.
      fail_runs: Runs end with status 500.
      break_after_events: Streams are cut after this many events; -1 for never.
      end_after_events: Streams end as if complete after this many events; -1
        for never.
      lose_answers: Requests are run, but the connection is closed without a
        response.
      unsigned: Responses have no signature.
      wrong_id: Responses have the id of another request.
      is_leaving: All responses state that the runner is leaving.
      retry_after_s: The pause that refusals with 503 ask for; 0 for none.
      named_limit: The requests a second that all responses name as the most
        that the runner takes; empty for none. It is not enforced.
      named_brittleness: The rejections a second that all responses name as the
        most that the runner bears; empty for none.
      capacity: How many requests it runs at once; it rejects more with 503. 0
        for any number.
      max_rejections: It ends if it rejects more than this for want of room
        within a second, and starts again as after a crash; -1 for never.
      crash_marker: A request with this text in its target, body or prompt parts
        ends the runner after `work_ms` of work, also if its caller has left:
        all connections close, and it listens again after `crash_ms` under the
        same id, with another birth. Empty for none.
      crash_after_events: The events of a stream that such a request shows
        before.
      crash_ms: How long the runner is down then.
      cold_start_ms: How long it is cold after it started again.
      event_ms: The time between two events of a stream.
      work_ms: The time to run a plain request.
      padding_bytes: What is added to the body of a plain response.
      version: The software version in the entry; None leaves it out.
    """

    is_full: bool = False
    reject_every: int = 0
    extra_every: int = 0
    extra_delay_ms: int = 0
    extra_awaits_request: bool = False
    extra_has_no_id: bool = False
    truncate_answers: bool = False
    fail_runs: bool = False
    break_after_events: int = attrs.field(default=-1, metadata={"minimum": -1})
    end_after_events: int = attrs.field(default=-1, metadata={"minimum": -1})
    lose_answers: bool = False
    unsigned: bool = False
    wrong_id: bool = False
    is_leaving: bool = False
    retry_after_s: float = 0.0
    named_limit: str = ""
    named_brittleness: str = ""
    capacity: int = 0
    max_rejections: int = attrs.field(default=-1, metadata={"minimum": -1})
    crash_marker: str = ""
    crash_ms: int = 300
    crash_after_events: int = 0
    cold_start_ms: int = 0
    event_ms: int = 5
    work_ms: int = 5
    padding_bytes: int = 0
    version: str | None = "v1"


@attrs.frozen
class RunnerRun:
    """A request that the runner started to run.

    Attributes:
      request_id: The value of the `attempt-id` header.
      account: The client account in the `tenant` header.
      target: Path and query.
      resumed_after: The number of the event after which a stream is resumed;
        None for a request that isn't resumed.
      headers: All headers of the request.
      is_crashing: Whether the request ends the runner.
    """

    request_id: str
    account: str
    target: str
    resumed_after: int | None
    headers: dict[str, str]
    is_crashing: bool


class Runner(base.StandIn[RunnerFaults]):
    """The stand-in of one runner; a context manager.

    Attributes:
      runner_id: The id of this start of the runner.
      service: The name of the service.
      runs: The requests that it started to run.
      arrivals: The number of requests received, without health checks.
      arrived_ms: When the latest of them arrived, in milliseconds.
      cancelled: The number of runs whose caller disconnected.
      entry_count: The number of entries made for the store.
      born_ms: The time of its last start, in milliseconds.
      zone: Its availability zone.
      cold_until_ms: Until when it is cold, in milliseconds.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        address: str = "127.0.0.1",
        port: int = 0,
        faults: RunnerFaults | None = None,
        record_path: pathlib.Path | None = None,
    ) -> None:
        """Prepares a runner without runs.

        Args:
          runner_id: The id of this start of the runner.
          service: The name of the service.
          address: The IP address to listen on.
          port: The main port; 0 selects a free one.
          faults: The initial faults.
          record_path: The file to which each arrival, run and response is
            appended as a line of JSON.
        """
        super().__init__(faults or RunnerFaults(), address, port)
        self._record_path = record_path
        self._responses = 0
        self.runner_id = runner_id
        self.service = service
        self.runs: list[RunnerRun] = []
        self.arrivals = 0
        self.arrived_ms: collections.deque[int] = collections.deque(
            maxlen=_MAX_KEPT_ARRIVALS
        )
        self.cancelled = 0
        self._running = 0
        self._rejected_ms: collections.deque[int] = collections.deque(
            maxlen=_MAX_KEPT_ARRIVALS
        )
        self.entry_count = 0
        self.born_ms = base.now_ms()
        self.zone = ""
        self.cold_until_ms = 0

    @property
    def cold_remaining_ms(self) -> int:
        """How long it stays cold; 0 if it is warm."""
        return max(0, self.cold_until_ms - base.now_ms())

    def turn_cold(self, duration_ms: int) -> None:
        """Turns cold for some time; what it bears meanwhile isn't enforced."""
        self.cold_until_ms = base.now_ms() + duration_ms

    def make_entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns the runner's entry in the store.

        Args:
          state: The state in the entry, such as `ready`.
        """
        self.entry_count += 1
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "slots": self.faults.capacity or _DEFAULT_SLOTS,
            "state": state,
            "coldRemainingMs": self.cold_remaining_ms,
            "born": self.born_ms,
            "sequence": self.entry_count,
            "version": self.faults.version or "",
        }

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a health check or a request.

        A request for another start of the runner is refused with 421.
        """
        if request.path == "/healthz":
            headers = [("instance-id", self.runner_id)]
            headers += self._list_status_headers()
            headers.append(("cold-start-ms", str(self.cold_remaining_ms)))
            await responder.send(200, b"", headers=headers)
            return
        self.arrivals += 1
        self.arrived_ms.append(base.now_ms())
        self._record("arrived", request, named_limit=self.faults.named_limit)
        expected = request.headers.get("target-instance", self.runner_id)
        echo = ("attempt-id", request.headers.get("attempt-id", ""))
        if expected != self.runner_id:
            headers = [echo, ("instance-id", self.runner_id)]
            headers += self._list_status_headers()
            await self._respond(request, responder, 421, b"", headers)
            return
        reject_every = self.faults.reject_every
        is_without_room = 0 < self.faults.capacity <= self._running
        if is_without_room:
            self._record_rejection()
        if (
            self.faults.is_full
            or is_without_room
            or (reject_every and self.arrivals % reject_every == 0)
        ):
            headers = [echo, ("not-executed", "1")]
            headers += self._list_status_headers()
            if self.faults.retry_after_s:
                retry_after = ("retry-after", str(self.faults.retry_after_s))
                headers.append(retry_after)
            await self._respond(request, responder, 503, b"", headers)
            return
        resumed_after = request.headers.get("last-event-id")
        run = RunnerRun(
            echo[1],
            request.headers.get("tenant", ""),
            request.target,
            None if resumed_after is None else int(resumed_after),
            request.headers,
            self._is_crashing(request),
        )
        self.runs.append(run)
        self._record(
            "ran",
            request,
            version=self.faults.version or "",
            is_resumed=run.resumed_after is not None,
            is_crashing=run.is_crashing,
        )
        self._running += 1
        try:
            await self._run(request, run, responder)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._running -= 1

    def _record_rejection(self) -> None:
        """Records a rejection for want of room, and ends after too many."""
        now_ms = base.now_ms()
        self._rejected_ms.append(now_ms)
        recent = sum(now_ms - other < 1_000 for other in self._rejected_ms)
        if 0 <= self.faults.max_rejections < recent:
            self._rejected_ms.clear()
            self.end_and_restart()

    def _list_status_headers(self) -> list[tuple[str, str]]:
        """Returns what every response states about the runner itself."""
        headers = []
        if self.faults.is_leaving:
            headers.append(("server-leaving", "1"))
        if self.faults.named_limit:
            headers.append(("server-limit", self.faults.named_limit))
        if self.faults.named_brittleness:
            headers.append(("server-brittle", self.faults.named_brittleness))
        return headers

    def describe(self) -> dict[str, Any]:
        """Returns the number of requests and the runs."""
        runs = [
            {"request_id": run.request_id, "account": run.account}
            for run in self.runs
        ]
        return {"arrivals": self.arrivals, "runs": runs}

    async def _run(
        self,
        request: http_server.HttpRequest,
        run: RunnerRun,
        responder: http_server.HttpResponder,
    ) -> None:
        """Runs a request and sends the response."""
        if run.is_crashing and not self.faults.crash_after_events:
            self._spawn(self._crash())
            await asyncio.sleep(2 * self.faults.work_ms / 1000)
            raise http_server.ClientDisconnectedError
        if self.faults.lose_answers:
            raise http_server.ClientDisconnectedError
        response_id = "another" if self.faults.wrong_id else run.request_id
        headers = [("attempt-id", response_id), *self._list_status_headers()]
        if not self.faults.unsigned:
            signature = make_signature(self.runner_id, request.body)
            headers.append(("runner-signature", signature))
        if self.faults.fail_runs:
            await self._respond(request, responder, 500, b"failed", headers)
            return
        token_usage = request.headers.get("token-usage")
        if token_usage is None:
            await asyncio.sleep(self.faults.work_ms / 1000)
            body = b"ran " + request.target.encode()
            body += bytes(self.faults.padding_bytes)
            headers.append(("content-type", "text/plain"))
            if self.faults.truncate_answers:
                await _send_truncated(responder, body, headers)
            await self._respond(request, responder, 200, body, headers)
            return
        headers.append(("content-type", "text/event-stream"))
        await responder.start(200, headers)
        label = request.headers.get("event-label", "")
        first = 0 if run.resumed_after is None else run.resumed_after + 1
        for number in range(first, int(token_usage.partition(",")[2])):
            if number - first == self.faults.break_after_events:
                raise http_server.ClientDisconnectedError
            if run.is_crashing and (
                number - first == self.faults.crash_after_events
            ):
                self.end_and_restart()
                raise http_server.ClientDisconnectedError
            if number - first == self.faults.end_after_events:
                break
            await responder.send_chunk(make_event(number, label))
            await asyncio.sleep(self.faults.event_ms / 1000)
        await responder.finish()

    def _is_crashing(self, request: http_server.HttpRequest) -> bool:
        """Returns whether a request ends the runner that runs it."""
        marker = self.faults.crash_marker
        return bool(marker) and (
            marker.encode() in request.body
            or marker in request.target
            or marker in request.headers.get("prompt-prefix", "")
        )

    async def _crash(self) -> None:
        """Ends the runner once a request has run for a while."""
        await asyncio.sleep(self.faults.work_ms / 1000)
        self.end_and_restart()

    def end_and_restart(self) -> None:
        """Ends the runner now, and starts it again after `crash_ms`."""
        self.schedule_crash()
        self._spawn(self._start_again())

    async def _start_again(self) -> None:
        """Listens again after a crash, as a new start of the runner."""
        await asyncio.sleep(self.faults.crash_ms / 1000)
        self.born_ms = base.now_ms()
        self.turn_cold(self.faults.cold_start_ms)
        await self.restart()

    async def _respond(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
        status: int,
        body: bytes,
        headers: list[tuple[str, str]],
    ) -> None:
        """Sends a response, and a copy of it later if one is due."""
        self._responses += 1
        self._record("answered", request, status=status)
        await responder.send_response(status, headers, body)
        faults = self.faults
        if not faults.extra_every or self._responses % faults.extra_every:
            return
        if faults.extra_has_no_id:
            headers = [pair for pair in headers if pair[0] != "attempt-id"]
        copy = _encode_response(status, headers, body)
        task = asyncio.ensure_future(
            self._send_extra(request, responder, status, copy, faults)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_extra(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
        status: int,
        payload: bytes,
        faults: RunnerFaults,
    ) -> None:
        """Sends a copy of a response that is already complete."""
        await asyncio.sleep(faults.extra_delay_ms / 1000)
        if faults.extra_awaits_request:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_EXTRA_RESPONSE_WAIT_S):
                    while not responder.has_next_request():
                        await asyncio.sleep(_EXTRA_RESPONSE_POLL_S)
            if not responder.has_next_request():
                return
        if responder.write_stray(payload):
            self._record("sent_extra", request, status=status)

    def _record(
        self, event: str, request: http_server.HttpRequest, **fields: Any
    ) -> None:
        """Appends an event to the record file, if there is one."""
        if self._record_path is None:
            return
        line = {
            "at_ms": base.now_ms(),
            "event": event,
            "upstream": self.runner_id,
            "service": self.service,
            "request_id": request.headers.get("attempt-id", ""),
            **fields,
        }
        with self._record_path.open("a") as file:
            file.write(json.dumps(line) + "\n")


def make_event(number: int, label: str = "") -> bytes:
    """Returns one event of a stream.

    Args:
      number: The id of the event.
      label: The value of the request's `event-label` header, which shows to
        which request an event belongs.
    """
    suffix = f" of {label}" if label else ""
    return f"id: {number}\ndata: token {number}{suffix}\n\n".encode()


async def _send_truncated(
    responder: http_server.HttpResponder,
    body: bytes,
    headers: list[tuple[str, str]],
) -> None:
    """Sends a part of a response and closes the connection."""
    framing = ("content-length", str(len(body)))
    await responder.start(200, [*headers, framing])
    await responder.send_chunk(body[: int(len(body) * _TRUNCATED_SHARE)])
    raise http_server.ClientDisconnectedError


def _encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Returns the bytes of a complete response."""
    framing = ("content-length", str(len(body)))
    lines = [f"{name}: {value}\r\n" for name, value in [*headers, framing]]
    return f"HTTP/1.1 {status} \r\n{''.join(lines)}\r\n".encode() + body


def make_signature(runner_id: str, body: bytes) -> str:
    """Returns the signature of the response to a request with this body."""
    return hashlib.sha256(runner_id.encode() + body).hexdigest()[:16]


async def serve_runner(runner: Runner, store: http_client.Address) -> None:
    """Serves until SIGTERM or SIGINT and maintains the runner's store entry.

    The entry is removed at the end.

    Args:
      runner: The runner.
      store: The address of the metadata store's stand-in.
    """
    async with http_client.ClientPool() as pool, runner:
        print(f"listening on {runner.address}:{runner.port}", flush=True)
        heartbeat = asyncio.ensure_future(_refresh_entry(runner, pool, store))
        await base.wait_for_signal()
        heartbeat.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await heartbeat
        await _write_entry(runner, pool, store, None)


async def _refresh_entry(
    runner: Runner, pool: http_client.ClientPool, store: http_client.Address
) -> None:
    """Writes the runner's entry to the store at each heartbeat."""
    while True:
        await _write_entry(runner, pool, store, runner.make_entry())
        await asyncio.sleep(_HEARTBEAT_PERIOD_S)


async def _write_entry(
    runner: Runner,
    pool: http_client.ClientPool,
    store: http_client.Address,
    value: dict[str, Any] | None,
) -> None:
    """Writes the runner's entry, or removes it if the value is None."""
    body = {"topic": "keyed.servers", "key": runner.runner_id, "value": value}
    await pool.fetch(
        store,
        "POST",
        "/control/put",
        [("content-type", "application/json")],
        json.dumps(body).encode(),
        _WRITE_TIMEOUT_MS,
    )


def run_runner(
    *,
    store: str,
    service: str,
    name: str = "runner-1",
    listen: str = "127.0.0.1:0",
    event_ms: int = 20,
    work_ms: int = 5,
    record: str = "",
    version: str = "v1",
    crash_marker: str = "",
    crash_ms: int = 300,
) -> None:
    """Run a stand-in of one of the users' runners.

    Args:
      store: The ip:port of the stand-in of the metadata store.
      service: The name of the service that the runner belongs to.
      name: The id of this start of the runner.
      listen: The ip:port to listen on; port 0 selects a free one.
      event_ms: The time between two events of a stream.
      work_ms: The time to run a plain request.
      record: The file to which each arrival, run and response is appended as
        a line of JSON; empty for none.
      version: The version of its software.
      crash_marker: A request with this text ends the runner; empty for none.
      crash_ms: How long the runner is down then.
    """
    address = base.parse_listen(listen)
    runner = Runner(
        name,
        service,
        address.ip,
        address.port,
        RunnerFaults(
            event_ms=event_ms,
            work_ms=work_ms,
            version=version,
            crash_marker=crash_marker,
            crash_ms=crash_ms,
        ),
        pathlib.Path(record) if record else None,
    )
    asyncio.run(serve_runner(runner, http_client.Address.parse(store)))
