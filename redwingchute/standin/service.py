"""A stand-in of a plain service, some of whose calls may not be repeated.

It records each call that it ran, so that a test can count the runs per attempt
or per idempotency key.
"""

import asyncio
import hashlib
from typing import Any

import attrs

from redwingchute.connection import http_server
from redwingchute.standin import base
from redwingchute.standin import faults as faults_lib


@attrs.frozen
class ServiceFaults:
    """The faults of a plain service.

    Attributes:
      fail_before_run: Calls get status 500 and are not run.
      close_before_run: The connection is closed and the call is not run.
      close_after_run: The call is run, but the connection is closed without a
        response.
      fault_limit: The number of next calls that the three faults above apply
        to; -1 for all.
      slow_ms: The duration of a call; one half precedes its run, the other
        half follows it.
      is_leaving: New calls are refused with 503 and `X-Leaving: 1`.
    """

    fail_before_run: bool = False
    close_before_run: bool = False
    close_after_run: bool = False
    fault_limit: int = attrs.field(default=-1, metadata={"minimum": -1})
    slow_ms: int = 0
    is_leaving: bool = False


@attrs.frozen
class ServiceRun:
    """One call that the service ran.

    Attributes:
      attempt_id: The router's id of the attempt.
      idempotency_key: The caller's idempotency key; empty if there is none.
      method: The HTTP method.
      target: Path and query, as received.
      body_digest: A digest of the body, in hex.
    """

    attempt_id: str
    idempotency_key: str
    method: str
    target: str
    body_digest: str


class Service(base.StandIn[ServiceFaults]):
    """The stand-in of one instance of a plain service; a context manager.

    Attributes:
      name: The instance's name.
      dispatched: The number of calls received, refused ones included.
      started: The number of calls accepted.
      runs: The calls that were run, in order.
      cancelled: The number of calls whose caller disconnected before the run.
    """

    def __init__(
        self,
        name: str = "service",
        address: str = "127.0.0.1",
        port: int = 0,
        faults: ServiceFaults | None = None,
    ) -> None:
        """Prepares a service without runs."""
        super().__init__(faults or ServiceFaults(), address, port)
        self.name = name
        self.dispatched = 0
        self.started = 0
        self.runs: list[ServiceRun] = []
        self.cancelled = 0

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a call."""
        headers = [("x-attempt-id", request.headers.get("x-attempt-id", ""))]
        self.dispatched += 1
        if self.faults.is_leaving:
            headers.append(("x-leaving", "1"))
            body = b'{"error": "the service is leaving"}'
            await responder.send(503, body, headers=headers)
            return
        active = self._consume_faults()
        if active.fail_before_run:
            body = b'{"error": "the call was not run"}'
            await responder.send(500, body, headers=headers)
            return
        if active.close_before_run:
            raise http_server.ClientDisconnectedError
        self.started += 1
        await self._wait_before_run(active.slow_ms / 2)
        run = _make_run(request)
        self.runs.append(run)
        if active.close_after_run:
            raise http_server.ClientDisconnectedError
        await asyncio.sleep(active.slow_ms / 2000)
        body = faults_lib.to_json(
            {
                "service": self.name,
                "run": len(self.runs),
                "echo": request.body.decode("utf-8", "replace"),
                **attrs.asdict(run),
            }
        )
        await responder.send(200, body, headers=headers)

    def describe(self) -> dict[str, Any]:
        """Returns the counters, the runs and their number per key."""
        runs_by_key: dict[str, int] = {}
        for run in self.runs:
            key = run.idempotency_key
            runs_by_key[key] = runs_by_key.get(key, 0) + 1
        return {
            "name": self.name,
            "dispatched": self.dispatched,
            "started": self.started,
            "runs": self.runs,
            "runs_by_key": runs_by_key,
            "cancelled": self.cancelled,
        }

    def _consume_faults(self) -> ServiceFaults:
        """Returns the faults of the next call and decrements `fault_limit`."""
        faults = self.faults
        is_faulty = (
            faults.fail_before_run
            or faults.close_before_run
            or faults.close_after_run
        )
        if not is_faulty or faults.fault_limit == -1:
            return faults
        if faults.fault_limit == 0:
            return ServiceFaults(slow_ms=faults.slow_ms)
        remaining = faults.fault_limit - 1
        self.faults = attrs.evolve(faults, fault_limit=remaining)
        return faults

    async def _wait_before_run(self, pause_ms: float) -> None:
        """Waits before the run; counts the call if its caller disconnects."""
        try:
            await asyncio.sleep(pause_ms / 1000)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def _make_run(request: http_server.HttpRequest) -> ServiceRun:
    """Returns the record of the run of a call."""
    return ServiceRun(
        attempt_id=request.headers.get("x-attempt-id", ""),
        idempotency_key=request.headers.get("idempotency-key", ""),
        method=request.method,
        target=request.target,
        body_digest=hashlib.blake2b(request.body, digest_size=8).hexdigest(),
    )


def run_service(*, listen: str, name: str = "service") -> None:
    """Run a stand-in of a plain service.

    Args:
      listen: The ip:port to listen on; port 0 selects a free one.
      name: The instance's name.
    """
    at = base.parse_listen(listen)
    base.run_until_signal(Service(name, at.ip, at.port))
