"""A stand-in of the platform: log service, host list and weight store.

It serves the interface of docs/design/ARCHITECTURE.md. `POST /control` switches
simulated faults on and off at run time.
"""

import asyncio
import base64
from typing import Any
import urllib.parse

import attrs

from redwingchute.connection import http_server
from redwingchute.core import data
from redwingchute.standin import base
from redwingchute.standin import faults as faults_lib
from redwingchute.standin import log_store

_DEFAULT_LIMIT = 1_000
_MAX_WAIT_MS = 30_000
_HOST_FIELDS = ("name", "zone", "address", "state")
_HOST_STATES = ("live", "leaving")


@attrs.frozen
class PlatformFaults:
    """The faults of the platform.

    Attributes:
      is_down: Connections are closed without a response.
      slow_ms: The delay of every request.
      lose_answers: Appends take effect, but the connection is closed without a
        response.
      lose_next_answers: The number of next appends that `lose_answers` applies
        to.
      keep_ms: The retention time of records; a read first deletes older records
        of the stream. 0 retains them without limit.
      host_list_lag_ms: The age of the list that `GET /hosts` returns.
      appends_per_s: Appends above this rate get status 429; 0 for no limit.
      weights_per_s: Reads of weights above this rate get status 429; 0 for no
        limit.
    """

    is_down: bool = False
    slow_ms: int = 0
    lose_answers: bool = False
    lose_next_answers: int = 0
    keep_ms: int = 0
    host_list_lag_ms: int = 0
    appends_per_s: float = 0.0
    weights_per_s: float = 0.0


class Platform(base.StandIn[PlatformFaults]):
    """The stand-in of the platform; a context manager.

    Attributes:
      store: The streams of the log service.
      appends: The number of appends that took effect.
      reads: The number of reads of a stream that got a response.
    """

    def __init__(
        self,
        address: str = "127.0.0.1",
        port: int = 0,
        faults: PlatformFaults | None = None,
    ) -> None:
        """Prepares an empty platform on an address."""
        super().__init__(faults or PlatformFaults(), address, port)
        self.store = log_store.LogStore()
        self.appends = 0
        self.reads = 0
        self._host_lists: list[tuple[int, list[dict[str, str]]]] = [(0, [])]
        self._append_events: dict[str, asyncio.Event] = {}
        self._append_limiter = log_store.RateLimiter()
        self._weight_limiter = log_store.RateLimiter()

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a request to the log service, host list or weight store."""
        self._disconnect_if_down()
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
            self._disconnect_if_down()
        match [urllib.parse.unquote(p) for p in request.path.split("/")[1:]]:
            case ["streams", stream, "records"] if request.method == "POST":
                await self._append(stream, request.body, responder)
            case ["streams", stream, "records"] if request.method == "GET":
                await self._read(stream, request.query, responder)
            case ["hosts"] if request.method == "GET":
                await responder.send(
                    200, faults_lib.to_json(self._get_visible_hosts())
                )
            case ["weights", name] if request.method == "GET":
                await self._send_weights(name, responder)
            case _:
                await responder.send(404, b'{"error": "no such path"}')

    async def handle_action(
        self, name: str, body: dict[str, Any]
    ) -> faults_lib.Findings | None:
        """Runs `trim`, which trims a stream, or `hosts`, which sets hosts."""
        match name:
            case "trim":
                return self._trim(body)
            case "hosts":
                return self._set_hosts(body)
            case _:
                return None

    def describe(self) -> dict[str, Any]:
        """Returns the counters, each stream's bounds and the host list."""
        streams = {
            name: {"first": stream.first, "next": stream.next}
            for name, stream in self.store.streams.items()
        }
        return {
            "appends": self.appends,
            "reads": self.reads,
            "streams": streams,
            "hosts": self._host_lists[-1][1],
        }

    def _disconnect_if_down(self) -> None:
        """Closes the connection without a response while down."""
        if self.faults.is_down:
            raise http_server.ClientDisconnectedError

    async def _append(
        self, name: str, body: bytes, responder: http_server.HttpResponder
    ) -> None:
        """Handles an append; a fault may suppress the response."""
        now_ms = base.now_ms()
        if not self._append_limiter.acquire_permit(
            self.faults.appends_per_s, now_ms
        ):
            await _send_too_many(responder)
            return
        offset = self.store.get_or_create_stream(name).append(body, now_ms)
        self.appends += 1
        self._get_or_create_event(name).set()
        self._append_events.pop(name)
        if self.faults.lose_next_answers > 0:
            remaining = self.faults.lose_next_answers - 1
            self.faults = attrs.evolve(self.faults, lose_next_answers=remaining)
            raise http_server.ClientDisconnectedError
        if self.faults.lose_answers:
            raise http_server.ClientDisconnectedError
        await responder.send(200, faults_lib.to_json({"offset": offset}))

    async def _read(
        self,
        name: str,
        query: dict[str, str],
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a read; waits up to `wait_ms` if there is no record yet."""
        try:
            start = int(query.get("from", "0"))
            limit = int(query.get("limit", str(_DEFAULT_LIMIT)))
            wait_ms = min(int(query.get("wait_ms", "0")), _MAX_WAIT_MS)
        except ValueError:
            await responder.send(400, b'{"error": "a number is malformed"}')
            return
        stream = self.store.get_or_create_stream(name)
        if wait_ms > 0 and start >= stream.next:
            await self._wait_for_append(name, wait_ms)
            self._disconnect_if_down()
        if self.faults.keep_ms:
            stream.trim_older_than(base.now_ms() - self.faults.keep_ms)
        records = stream.read(start, max(0, limit))
        self.reads += 1
        fields: dict[str, Any] = {"first": stream.first, "next": stream.next}
        if records is None:
            await responder.send(410, faults_lib.to_json(fields))
            return
        fields["records"] = [
            {
                "offset": record.offset,
                "data": base64.b64encode(record.data).decode(),
            }
            for record in records
        ]
        await responder.send(200, faults_lib.to_json(fields))

    def _get_or_create_event(self, name: str) -> asyncio.Event:
        """Returns the event that is set by the next append to a stream."""
        return self._append_events.setdefault(name, asyncio.Event())

    async def _wait_for_append(self, name: str, wait_ms: int) -> None:
        """Waits for the next append to a stream, for at most `wait_ms`."""
        event = self._get_or_create_event(name)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await event.wait()
        except TimeoutError:
            return

    def _get_visible_hosts(self) -> list[dict[str, str]]:
        """Returns the host list as of `host_list_lag_ms` ago."""
        seen_at_ms = base.now_ms() - self.faults.host_list_lag_ms
        visible_lists = [
            hosts for at_ms, hosts in self._host_lists if at_ms <= seen_at_ms
        ]
        return visible_lists[-1]

    async def _send_weights(
        self, name: str, responder: http_server.HttpResponder
    ) -> None:
        """Sends placeholder weights of a model, subject to the rate limit."""
        rate = self.faults.weights_per_s
        if self._weight_limiter.acquire_permit(rate, base.now_ms()):
            body = f"weights of {name}\n".encode()
            await responder.send(200, body, "application/octet-stream")
        else:
            await _send_too_many(responder)

    def _trim(self, body: dict[str, Any]) -> faults_lib.Findings:
        """Trims a stream as `{"stream": NAME, "before": OFFSET}` states."""
        stream, before = body.get("stream"), body.get("before")
        findings = []
        if not isinstance(stream, str):
            findings.append(data.Finding("stream", "A name is required."))
        if not isinstance(before, int) or isinstance(before, bool):
            findings.append(data.Finding("before", "An offset is required."))
        if not findings:
            assert isinstance(stream, str) and isinstance(before, int)
            self.store.get_or_create_stream(stream).trim(before)
        return tuple(findings)

    def _set_hosts(self, body: dict[str, Any]) -> faults_lib.Findings:
        """Sets the host list to that of `{"hosts": [HOST, ...]}`."""
        hosts = body.get("hosts")
        if not isinstance(hosts, list):
            return (data.Finding("hosts", "A list of hosts is required."),)
        findings = tuple(
            finding
            for index, host in enumerate(hosts)
            for finding in _check_host(f"hosts[{index}]", host)
        )
        if not findings:
            self._host_lists.append((base.now_ms(), hosts))
        return findings


def _check_host(place: str, host: Any) -> list[data.Finding]:
    """Returns the findings about one host of the list."""
    if not isinstance(host, dict):
        return [data.Finding(place, "A host must be a JSON object.")]
    findings = [
        data.Finding(f"{place}.{field}", "A string is required.")
        for field in _HOST_FIELDS
        if not isinstance(host.get(field), str)
    ]
    if host.get("state") not in _HOST_STATES:
        message = f"The state must be one of {', '.join(_HOST_STATES)}."
        findings.append(data.Finding(f"{place}.state", message))
    return findings


async def _send_too_many(responder: http_server.HttpResponder) -> None:
    """Sends status 429, because a rate limit was exceeded."""
    await responder.send(
        429, b'{"error": "too many requests"}', headers=[("retry-after", "1")]
    )


def run_platform(*, listen: str) -> None:
    """Run a stand-in of the platform: log service, hosts and weights.

    Args:
      listen: The ip:port to listen on; port 0 selects a free one.
    """
    at = base.parse_listen(listen)
    base.run_until_signal(Platform(at.ip, at.port))
