"""Request handling of routers on loopback, with stand-ins as upstreams.

The rig runs everything between the callers' connections and the upstreams. Its
ledger grants every charge and records the bills. Routers send each other
notices by direct calls.
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


class UnlimitedLedger:
    """Grants every charge and records the bills.

    Attributes:
      bills: The key and the tokens of each settlement.
      cancelled: The number of charges that ended unused.
      outcomes: The recorded outcomes of claimed calls, by key.
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
        """Records a bill."""
        self.bills.append((charge.request.key, tokens))
        return spending.Settled(tokens, True)

    def cancel(self, charge: spending.Charge) -> None:
        """Counts an unused charge."""
        self.cancelled += 1

    async def claim(self, charge: spending.Charge) -> spending.ClaimResult:
        """Claims a key, or refuses one that is claimed already."""
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
        """Records an outcome and its bill."""
        self.outcomes[charge.request.key] = status, answer
        return await self.settle(charge, tokens)


@attrs.frozen
class Response:
    """The whole response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """The fields of the refusal in the body."""
        found: dict[str, Any] = json.loads(self.body)["error"]
        return found


class RequestRig:
    """The request handling of routers; a context manager.

    Methods select a router by its index.

    Attributes:
      ledger: The ledger, shared by the routers.
      current: The configuration in force.
      dispatchers: The dispatcher of each router.
    """

    def __init__(
        self, current: configuration.Configuration, router_count: int = 1
    ) -> None:
        """Prepares routers that share a configuration."""
        self.ledger = UnlimitedLedger()
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

    async def poll_upstreams(self) -> None:
        """Has every router poll the load of its upstreams once."""
        for poller in self._pollers:
            await poller.poll_once()

    async def chat(
        self,
        prompt: str,
        router: int = 0,
        stream: bool = True,
        account: str = builders.ACCOUNT,
        **fields: Any,
    ) -> Response:
        """Sends a chat request and returns the whole response."""
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
    ) -> Response:
        """Sends any request and returns the whole response."""
        key = ("authorization", f"Bearer client-key-{account}")
        async with http_client.ClientPool() as callers:
            fetched = await callers.fetch(
                self.get_address(router),
                "POST",
                path,
                [key, *headers],
                body,
                _TIMEOUT_MS,
            )
        assert isinstance(fetched, http_client.Fetched), fetched
        return Response(fetched.status, fetched.headers, fetched.body)

    def get_address(self, router: int = 0) -> http_client.Address:
        """Returns the address at which a router serves callers."""
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
        own_dispatcher = dispatcher.Dispatcher(dependencies)
        own_dispatcher.configure(self.current, self._router_count)
        self.dispatchers.append(own_dispatcher)
        connections = await self._stack.enter_async_context(
            http_client.ClientPool()
        )
        metrics = telemetry.Metrics(name, "huon")
        self._stack.callback(metrics.close)
        request_context = context.RequestContext(
            self.ledger,
            connections,
            own_dispatcher,
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
            load_poller.LoadPoller(
                own_dispatcher, connections, random.Random(number)
            )
        )
        self._tasks.append(asyncio.create_task(own_dispatcher.run()))

    def _broadcast(self, sender: int, notice: dispatcher.Notice) -> None:
        """Sends a notice to the other routers."""
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
      services: The instances of a service whose calls must not be repeated.
      zones: The availability zones, assigned to the engines in turn.
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
    """Returns the configuration record of a stand-in."""
    return configuration.Upstream(
        f"upstream-{stand_in.port}", f"127.0.0.1:{stand_in.port}", zone
    )
