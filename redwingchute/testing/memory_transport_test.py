"""Tests of HTTP between processes of a manual loop."""

import asyncio

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.testing import manual_loop
from redwingchute.testing import memory_transport

_RESPONSE_DELAY_S = 5.0


class _Handler:
    """Responds after a delay; counts its runs and cancellations."""

    def __init__(self) -> None:
        self.runs = 0
        self.cancelled = 0

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        self.runs += 1
        try:
            await asyncio.sleep(_RESPONSE_DELAY_S)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        await responder.send(200, request.body)


class _Fixture:
    """A server process, a client process and the network between them."""

    def __init__(self) -> None:
        self.network = memory_transport.SimulatedNetwork()
        self.server = manual_loop.SimulatedProcess("server")
        self.client = manual_loop.SimulatedProcess("client")
        self.handler = _Handler()
        self.port = 0

    async def serve(self) -> None:
        listener = memory_transport.MemoryServer(
            self.network, self.handler.handle, "127.0.0.1", 0
        )
        async with listener:
            self.port = listener.port
            await asyncio.Event().wait()

    async def start(self) -> None:
        self.server.spawn(self.serve())
        await asyncio.sleep(0.1)

    def fetch(self, timeout_ms: int) -> "asyncio.Task[object]":
        pool = memory_transport.MemoryPool(self.network)
        address = http_client.Address("127.0.0.1", self.port)
        return self.client.spawn(
            pool.fetch(address, "POST", "/x?y=1", [], b"body", timeout_ms)
        )

    def cut(self) -> None:
        pair = frozenset(("server", "client"))
        self.network.set_cuts(frozenset({pair}))

    def heal(self) -> None:
        self.network.set_cuts(frozenset())


async def _fetch_response() -> object:
    fixture = _Fixture()
    await fixture.start()
    return await fixture.fetch(10_000)


def test_response_arrives() -> None:
    response = manual_loop.run(_fetch_response())
    assert isinstance(response, http_client.Fetched)
    assert (response.status, response.body) == (200, b"body")


async def _cut_and_heal() -> tuple[object, object, int]:
    fixture = _Fixture()
    await fixture.start()
    pending = fixture.fetch(100_000)
    await asyncio.sleep(1)
    fixture.cut()
    await asyncio.sleep(20)
    refused = await fixture.fetch(100_000)
    was_done = pending.done()
    fixture.heal()
    assert not was_done
    return await pending, refused, fixture.handler.runs


def test_cut_holds_the_response_back_and_stops_new_connections() -> None:
    late, refused, runs = manual_loop.run(_cut_and_heal())
    assert isinstance(late, http_client.Fetched)
    assert refused == http_client.ConnectFailed("connecting timed out")
    assert runs == 1


async def _time_out() -> tuple[object, int]:
    fixture = _Fixture()
    await fixture.start()
    result = await fixture.fetch(100)
    await asyncio.sleep(1)
    return result, fixture.handler.cancelled


def test_client_timeout_cancels_the_handler() -> None:
    result, cancelled = manual_loop.run(_time_out())
    assert isinstance(result, http_client.ExchangeBroken)
    assert cancelled == 1


async def _kill_server() -> tuple[object, object]:
    fixture = _Fixture()
    await fixture.start()
    running = fixture.fetch(100_000)
    await asyncio.sleep(1)
    fixture.network.kill(fixture.server)
    return await running, await fixture.fetch(100_000)


def test_killed_server_breaks_exchanges_and_refuses_new_ones() -> None:
    broken, refused = manual_loop.run(_kill_server())
    assert isinstance(broken, http_client.ExchangeBroken)
    assert refused == http_client.ConnectFailed("connection refused")
