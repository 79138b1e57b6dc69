"""Tests of the bytes that a tunnel passes on."""

import asyncio
import socket

from redwingchute.connection import http_client
from redwingchute.connection import peer_link
from redwingchute.core import data
from redwingchute.core import fleet
from redwingchute.core import forwarding
from redwingchute.process import tunnel_server
from redwingchute.wire import registry

_BODY = b"x" * 30_000
_BUFFER_BYTES = 4_096


async def _make_link(side: socket.socket) -> peer_link.PeerLink:
    """Returns one end of a link after its handshake."""
    host = data.Host("huon-1", "huon", "127.0.0.1:1", 1)
    streams = await asyncio.open_connection(sock=side)
    return peer_link.PeerLink(host, *streams, registry.make_codec(), True)


# Guards against the end of a response that a slow caller does not get, because
# the upstream has closed its connection.
def test_a_slow_peer_gets_all_that_the_upstream_sent_before_its_end() -> None:
    async def main() -> bytes:
        peer_side, carrier_side = socket.socketpair()
        upstream, direct = socket.socketpair()
        carrier_side.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES
        )

        async def open_direct(
            start: forwarding.UpstreamStart,
        ) -> http_client.ClientConnection:
            del start
            streams = await asyncio.open_connection(sock=direct)
            address = http_client.Address("127.0.0.1", 1)
            return http_client.ClientConnection(address, *streams)

        async with tunnel_server.TunnelServer(
            open_direct, lambda: False
        ) as server:
            peer = await _make_link(peer_side)
            await server.handle(await _make_link(carrier_side))
            peer.send(fleet.TunnelRequest("m-1", 5))
            await peer.receive()
            reader, writer = peer.detach()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            upstream.sendall(_BODY)
            upstream.close()
            await asyncio.sleep(0.5)
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            received = await reader.read(-1)
            writer.close()
            return received

    assert asyncio.run(main()) == _BODY
