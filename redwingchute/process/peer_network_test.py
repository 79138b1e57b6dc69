"""Tests of the links between routers over the loopback interface."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from redwingchute.core import data
from redwingchute.process import peer_network
from redwingchute.process import telemetry
from redwingchute.wire import registry

_KEY = b"0123456789abcdef"


@contextlib.asynccontextmanager
async def _start(
    name: str, key: bytes = _KEY
) -> AsyncIterator[tuple[peer_network.PeerNetwork, telemetry.Metrics]]:
    metrics = telemetry.Metrics(name, "zone")
    network = peer_network.PeerNetwork(
        data.Host(name, "zone", "127.0.0.1:0", 1),
        key,
        registry.make_codec(),
        metrics,
        lambda: 0,
    )
    async with network:
        yield network, metrics


def test_calls_go_both_ways_over_one_link() -> None:
    async def main() -> None:
        async with _start("a") as (a, _), _start("b") as (b, _):

            async def answer(
                peer: data.Host, recall: data.Recall
            ) -> data.Recall:
                return data.Recall(peer.name, recall.kind, recall.tokens + 1)

            a.register_handler(data.Recall, answer)
            b.register_handler(data.Recall, answer)
            a.set_address("b", b.own_host.peer_address)
            recall = data.Recall("x", data.GrantKind.LEASE, 1)
            reply = await a.call("b", recall, 5_000)
            assert reply == data.Recall("a", data.GrantKind.LEASE, 2)
            # The other direction uses the open link and needs no address.
            reply = await b.call("a", recall, 5_000)
            assert reply == data.Recall("b", data.GrantKind.LEASE, 2)

    asyncio.run(main())


def test_wrong_fleet_key_is_closed_and_counted() -> None:
    async def main() -> None:
        async with (
            _start("a", b"another fleet key") as (a, a_metrics),
            _start("b") as (b, _),
        ):
            a.set_address("b", b.own_host.peer_address)
            recall = data.Recall("x", data.GrantKind.LEASE, 1)
            reply = await a.call("b", recall, 5_000)
            assert isinstance(reply, peer_network.PeerUnreachable)
            assert b'cause="wrong_key"' in a_metrics.render()

    asyncio.run(main())


def test_malformed_input_closes_only_its_own_connection() -> None:
    async def main() -> None:
        async with _start("a") as (a, _), _start("b") as (b, metrics):
            ip, _, port = b.own_host.peer_address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"\x00\x00\x00\x05noise" + b"\xff" * 64)
            assert await reader.read() == b""
            writer.close()
            assert b'cause="malformed"' in metrics.render()
            a.set_address("b", b.own_host.peer_address)
            await a.call("b", data.Recall("x", data.GrantKind.LEASE, 1), 100)

    asyncio.run(main())


# A call was handled by a host that had taken over the address of its receiver,
# and the reply counted as the receiver's.
def test_a_call_does_not_reach_another_host_at_the_address() -> None:
    async def main() -> None:
        received = []

        async def answer(peer: data.Host, recall: data.Recall) -> data.Recall:
            received.append(peer.name)
            return recall

        async with _start("a") as (a, metrics), _start("c") as (c, _):
            c.register_handler(data.Recall, answer)
            a.set_address("b", c.own_host.peer_address)
            recall = data.Recall("x", data.GrantKind.LEASE, 1)
            reply = await a.call("b", recall, 5_000)
            assert isinstance(reply, peer_network.PeerUnreachable)
            assert not received
            assert b'cause="another_host"' in metrics.render()

    asyncio.run(main())


# A reply that arrived after its call had ended was taken for that of another.
def test_a_late_reply_completes_no_other_call() -> None:
    async def main() -> None:
        async def answer_late(
            peer: data.Host, recall: data.Recall
        ) -> data.Recall:
            del peer
            if recall.tokens == 1:
                await asyncio.sleep(0.1)
            return recall

        async with _start("a") as (a, _), _start("b") as (b, _):
            b.register_handler(data.Recall, answer_late)
            a.set_address("b", b.own_host.peer_address)
            late = data.Recall("x", data.GrantKind.LEASE, 1)
            reply = await a.call("b", late, 50)
            assert isinstance(reply, peer_network.PeerUnreachable)
            for tokens in range(2, 40):
                recall = data.Recall("x", data.GrantKind.LEASE, tokens)
                assert await a.call("b", recall, 5_000) == recall
                await asyncio.sleep(0.005)

    asyncio.run(main())


def test_unknown_host_is_unreachable_at_once() -> None:
    async def main() -> None:
        async with _start("a") as (a, _):
            reply = await a.call(
                "nobody", data.Recall("x", data.GrantKind.LEASE, 1), 60_000
            )
            assert isinstance(reply, peer_network.PeerUnreachable)

    asyncio.run(main())


def test_a_message_to_all_reaches_each_host() -> None:
    async def main() -> None:
        async with (
            _start("a") as (a, _),
            _start("b") as (b, _),
            _start("c") as (c, _),
        ):
            received: list[str] = []
            is_done = asyncio.Event()

            async def record_recall(
                peer: data.Host, recall: data.Recall
            ) -> None:
                received.append(f"{peer.name}{recall.tokens}")
                if len(received) == 4:
                    is_done.set()

            for network in (b, c):
                network.register_handler(data.Recall, record_recall)
                a.set_address(
                    network.own_host.name, network.own_host.peer_address
                )
            # The first message dials the links; the second uses them.
            a.send_to_all(("b", "c"), data.Recall("x", data.GrantKind.LEASE, 1))
            while len(received) < 2:
                await asyncio.sleep(0.01)
            a.send_to_all(("b", "c"), data.Recall("x", data.GrantKind.LEASE, 2))
            await asyncio.wait_for(is_done.wait(), 5)
            assert sorted(received) == ["a1", "a1", "a2", "a2"]

    asyncio.run(main())
