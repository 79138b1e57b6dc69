"""Routers' request side on loopback, before stand-ins of upstreams.

The rig has what lies between callers and upstreams, with a ledger that grants
everything and notes what was billed, and notices passed on by call.
"""

import asyncio
import contextlib
import json
import random
import secrets
import time
from types import TracebackType
from typing import Any

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process import telemetry
from redwingchute.request import caller_endpoint
from redwingchute.request import context
from redwingchute.request import dispatcher
from redwingchute.request import load_poller
from redwingchute.standin import base
from redwingchute.testing import configuration_builders as builders

MODEL = builders.MODEL
SERVICE = builders.SERVICE
_TIMEOUT_MS = 20_000


def read_clock_ms() -> int:
    """Returns the time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class GenerousLedger:
    """Grants every charge and notes what was billed.

    Attributes:
      bills: (key, tokens) of each settlement.
      cancelled: How many charges ended unused.
      outcomes: Recorded results of claimed calls by key.
    """

    def __init__(self) -> None:
        """Starts with nothing billed."""
        self.bills: list[tuple[bytes, int]] = []
        self.cancelled = 0
        self.outcomes: dict[bytes, tuple[data.OutcomeStatus, bytes]] = {}
        self._claimed: set[bytes] = set()
        self._last_id = 0

    async def admit(
        self, request: spending.ChargeRequest, deadline_ms: int
    ) -> spending.Admission:
        """Grants a charge."""
        self._last_id += 1
        return spending.Charge(self._last_id, request, deadline_ms)

    async def settle(
        self, charge: spending.Charge, tokens: int
    ) -> spending.Settlement:
        """Notes a bill."""
        self.bills.append((charge.request.key, tokens))
        return spending.Settled(tokens, True)

    def cancel(self, charge: spending.Charge) -> None:
        """Counts an unused charge."""
        self.cancelled += 1

    async def claim(self, charge: spending.Charge) -> spending.ClaimResult:
        """Claims a key once."""
        key = charge.request.key
        if key in self._claimed:
            unknown = data.OutcomeStatus.UNKNOWN, b""
            return spending.ClaimRefused(*self.outcomes.get(key, unknown))
        self._claimed.add(key)
        return spending.Claimed()

    async def record_outcome(
        self,
        charge: spending.Charge,
        status: data.OutcomeStatus,
        tokens: int,
        answer: bytes,
    ) -> spending.Settlement:
        """Notes a result and its bill."""
        self.outcomes[charge.request.key] = status, answer
        return await self.settle(charge, tokens)


@attrs.frozen
class Reply:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """The refusal that the body holds."""
        found: dict[str, Any] = json.loads(self.body)["error"]
        return found


class RequestRig:
    """Routers' request sides before upstreams; a context manager.

    Attributes:
      ledger: Shared by the routers.
      dispatchers: One for each router.
    """

    def __init__(
        self, current: configuration.Configuration, router_count: int = 1
    ) -> None:
        """Prepares routers that all have one configuration."""
        self.ledger = GenerousLedger()
        self.current = current
        self.dispatchers: list[dispatcher.Dispatcher] = []
        self._stack = contextlib.AsyncExitStack()
        self._servers: list[http_server.HttpServer] = []
        self._pollers: list[load_poller.LoadPoller] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._router_count = router_count

    async def __aenter__(self) -> "RequestRig":
        """Starts the routers."""
        for number in range(self._router_count):
            await self._start_router(number)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops the routers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    async def poll(self) -> None:
        """Has every router poll its upstreams once."""
        for poller in self._pollers:
            await poller.poll_once()

    async def chat(
        self,
        prompt: str,
        router: int = 0,
        stream: bool = True,
        account: str = builders.ACCOUNT,
        **fields: Any,
    ) -> Reply:
        """Sends a chat request and returns the whole reply."""
        body = {
            "model": MODEL,
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
            **fields,
        }
        return await self.send(
            "/v1/chat/completions", json.dumps(body).encode(), router, account
        )

    async def send(
        self,
        path: str,
        body: bytes,
        router: int = 0,
        account: str = builders.ACCOUNT,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Reply:
        """Sends any request and returns the whole reply."""
        key = ("authorization", f"Bearer client-key-{account}")
        async with http_client.ClientPool() as callers:
            fetched = await callers.fetch(
                self.find_address(router),
                "POST",
                path,
                [key, *headers],
                body,
                _TIMEOUT_MS,
            )
        assert isinstance(fetched, http_client.Fetched), fetched
        return Reply(fetched.status, fetched.headers, fetched.body)

    def find_address(self, router: int = 0) -> http_client.Address:
        """Returns where a router serves callers."""
        return http_client.Address("127.0.0.1", self._servers[router].port)

    async def _start_router(self, number: int) -> None:
        """Starts one router."""
        name = f"router-{number}"
        dependencies = dispatcher.DispatcherDependencies(
            name,
            "huon",
            number + 1,
            read_clock_ms,
            random.Random(number),
            lambda notice: self._broadcast(number, notice),
        )
        made = dispatcher.Dispatcher(dependencies)
        made.configure(self.current, self._router_count)
        self.dispatchers.append(made)
        connections = await self._stack.enter_async_context(
            http_client.ClientPool()
        )
        metrics = telemetry.Metrics(name, "huon")
        self._stack.callback(metrics.close)
        request_context = context.RequestContext(
            self.ledger,
            connections,
            made,
            metrics,
            read_clock_ms,
            secrets.token_bytes,
        )
        endpoint = caller_endpoint.CallerEndpoint(
            request_context, lambda: self.current
        )
        server = http_server.HttpServer(endpoint.handle, "127.0.0.1", 0)
        self._servers.append(await self._stack.enter_async_context(server))
        self._pollers.append(
            load_poller.LoadPoller(made, connections, random.Random(number))
        )
        self._tasks.append(asyncio.create_task(made.run()))

    def _broadcast(self, sender: int, notice: dispatcher.Notice) -> None:
        """Passes a notice on to the other routers."""
        for number, other in enumerate(self.dispatchers):
            if number != sender:
                other.handle_notice(notice)


def make_configuration(
    engines: list[Any],
    services: tuple[Any, ...] = (),
    zones: tuple[str, ...] = ("huon",),
) -> configuration.Configuration:
    """Returns a configuration with stand-ins as upstreams.

    Args:
      engines: The runners of the model, already listening.
      services: The instances of the service that may not be repeated.
      zones: Given to the engines in turn.
    """
    patience = (
        configuration.PatienceRule(
            configuration.WorkKind.INTERACTIVE,
            0,
            1440,
            (1, 2, 3, 4, 5, 6, 7),
            60_000,
            1,
        ),
    )
    accounts = tuple(
        attrs.evolve(builders.make_account(name), patience=patience)
        for name in ("huon", "bruny")
    )
    return attrs.evolve(
        builders.make_configuration(),
        client_accounts=accounts,
        models=(
            configuration.Model(
                MODEL,
                tuple(
                    _make_upstream(engine, zones[number % len(zones)])
                    for number, engine in enumerate(engines)
                ),
            ),
        ),
        services=(
            configuration.Service(
                SERVICE,
                tuple(_make_upstream(service, "huon") for service in services),
                is_repeatable=False,
            ),
        ),
    )


def _make_upstream(
    stand_in: base.StandIn[Any], zone: str
) -> configuration.Upstream:
    """Returns a stand-in as the configuration names it."""
    return configuration.Upstream(
        f"upstream-{stand_in.port}", f"127.0.0.1:{stand_in.port}", zone
    )
