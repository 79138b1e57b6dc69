"""A stand-in of the users' runners, which run models or plain services.

A request with a `token-usage: PROMPT,OUTPUT` header gets a stream of OUTPUT
events, one per token; any other request gets a plain body. The stand-in records
each run, so that a test can count the runs of one request. As a process, it
maintains its entry in the metadata store's stand-in.
"""

import asyncio
import contextlib
import hashlib
import json
from typing import Any

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.standin import base

_HEARTBEAT_PERIOD_S = 1.2
_WRITE_TIMEOUT_MS = 1_000


@attrs.frozen
class RunnerFaults:
    """The faults of a runner.

    Attributes:
      is_full: Requests are refused with 503 and not run.
      fail_runs: Runs end with status 500.
      break_after_events: Streams are cut after this many events; -1 for never.
      end_after_events: Streams end as if complete after this many events; -1
        for never.
      lose_answers: Requests are run, but the connection is closed without a
        response.
      unsigned: Responses have no signature.
      wrong_id: Responses have the id of another request.
      event_ms: The time between two events of a stream.
      work_ms: The time to run a plain request.
    """

    is_full: bool = False
    fail_runs: bool = False
    break_after_events: int = attrs.field(default=-1, metadata={"minimum": -1})
    end_after_events: int = attrs.field(default=-1, metadata={"minimum": -1})
    lose_answers: bool = False
    unsigned: bool = False
    wrong_id: bool = False
    event_ms: int = 5
    work_ms: int = 5


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
    """

    request_id: str
    account: str
    target: str
    resumed_after: int | None
    headers: dict[str, str]


class Runner(base.StandIn[RunnerFaults]):
    """The stand-in of one runner; a context manager.

    Attributes:
      runner_id: The id of this start of the runner.
      service: The name of the service.
      runs: The requests that it started to run.
      arrivals: The number of requests received, without health checks.
      cancelled: The number of runs whose caller disconnected.
      entry_count: The number of entries made for the store.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        address: str = "127.0.0.1",
        port: int = 0,
        faults: RunnerFaults | None = None,
    ) -> None:
        """Prepares a runner without runs."""
        super().__init__(faults or RunnerFaults(), address, port)
        self.runner_id = runner_id
        self.service = service
        self.runs: list[RunnerRun] = []
        self.arrivals = 0
        self.cancelled = 0
        self.entry_count = 0

    def make_entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns the runner's entry in the store.

        Args:
          state: The state in the entry, such as `ready`.
        """
        self.entry_count += 1
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": "",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.entry_count,
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
            await responder.send(
                200, b"", headers=[("instance-id", self.runner_id)]
            )
            return
        self.arrivals += 1
        request_id = request.headers.get("attempt-id", "")
        expected = request.headers.get("target-instance", self.runner_id)
        if expected != self.runner_id:
            await responder.send(
                421,
                b"",
                headers=[
                    ("instance-id", self.runner_id),
                    ("attempt-id", request_id),
                ],
            )
            return
        if self.faults.is_full:
            await responder.send(
                503,
                b"",
                headers=[("not-executed", "1"), ("attempt-id", request_id)],
            )
            return
        resumed_after = request.headers.get("last-event-id")
        run = RunnerRun(
            request_id,
            request.headers.get("tenant", ""),
            request.target,
            None if resumed_after is None else int(resumed_after),
            request.headers,
        )
        self.runs.append(run)
        try:
            await self._run(request, run, responder)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

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
        if self.faults.lose_answers:
            raise http_server.ClientDisconnectedError
        response_id = "another" if self.faults.wrong_id else run.request_id
        headers = [("attempt-id", response_id)]
        if not self.faults.unsigned:
            signature = make_signature(self.runner_id, request.body)
            headers.append(("runner-signature", signature))
        if self.faults.fail_runs:
            await responder.send(500, b"failed", headers=headers)
            return
        token_usage = request.headers.get("token-usage")
        if token_usage is None:
            await asyncio.sleep(self.faults.work_ms / 1000)
            body = b"ran " + request.target.encode()
            await responder.send(200, body, "text/plain", headers)
            return
        headers.append(("content-type", "text/event-stream"))
        await responder.start(200, headers)
        first = 0 if run.resumed_after is None else run.resumed_after + 1
        for number in range(first, int(token_usage.partition(",")[2])):
            if number - first == self.faults.break_after_events:
                raise http_server.ClientDisconnectedError
            if number - first == self.faults.end_after_events:
                break
            await responder.send_chunk(make_event(number))
            await asyncio.sleep(self.faults.event_ms / 1000)
        await responder.finish()


def make_event(number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


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
) -> None:
    """Run a stand-in of one of the users' runners.

    Args:
      store: The ip:port of the stand-in of the metadata store.
      service: The name of the service that the runner belongs to.
      name: The id of this start of the runner.
      listen: The ip:port to listen on; port 0 selects a free one.
      event_ms: The time between two events of a stream.
    """
    address = base.parse_listen(listen)
    runner = Runner(
        name,
        service,
        address.ip,
        address.port,
        RunnerFaults(event_ms=event_ms),
    )
    asyncio.run(serve_runner(runner, http_client.Address.parse(store)))
