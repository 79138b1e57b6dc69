"""Peer links between routers of a manual loop, without sockets.

`MemoryPeerNetwork` takes the place of `PeerNetwork`. Records pass through the
real codec, so that a record that is not registered or that the codec changes
fails here as well.
"""

import asyncio
from collections.abc import Callable
import itertools
from types import TracebackType
from typing import Any

import attrs

from redwingchute.connection import http_client
from redwingchute.core import data
from redwingchute.process import peer_network
from redwingchute.process import telemetry
from redwingchute.testing import manual_loop
from redwingchute.testing import memory_transport
from redwingchute.wire import codec


class PeerDirectory:
    """The peer networks of all routers, by their port.

    Attributes:
      network: The simulated network that holds the cuts.
      peer_networks: The networks that listen, by port.
    """

    def __init__(self, network: memory_transport.SimulatedNetwork) -> None:
        """Starts without networks."""
        self.network = network
        self.peer_networks: dict[int, MemoryPeerNetwork] = {}


class MemoryPeerNetwork(peer_network.PeerNetwork):
    """The links of one router; a context manager.

    Attributes:
      process: The process that it belongs to.
    """

    def __init__(
        self,
        directory: PeerDirectory,
        own_host: data.Host,
        fleet_key: bytes,
        wire_codec: codec.Codec,
        metrics: telemetry.Metrics,
        read_clock_ms: Callable[[], int],
        advertised: http_client.Address | None = None,
        max_handshakes: int = 0,
    ) -> None:
        """Prepares the network; see `PeerNetwork`."""
        del advertised, max_handshakes
        super().__init__(
            own_host, fleet_key, wire_codec, metrics, read_clock_ms
        )
        process = manual_loop.get_current_process()
        assert process is not None
        self.process = process
        self._directory = directory
        self._own_port = 0
        self._channels: dict[MemoryPeerNetwork, memory_transport.Channel] = {}
        self._call_ids = itertools.count(1)

    async def __aenter__(self) -> "MemoryPeerNetwork":
        """Starts to listen."""
        address = http_client.Address.parse(self.own_host.peer_address)
        network = self._directory.network
        self._own_port = address.port or network.allocate_port()
        self.own_host = attrs.evolve(
            self.own_host, peer_address=f"{address.ip}:{self._own_port}"
        )
        self._directory.peer_networks[self._own_port] = self
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening."""
        if self._directory.peer_networks.get(self._own_port) is self:
            del self._directory.peer_networks[self._own_port]
        self._tasks.cancel()

    def send(self, host_name: str, record: Any) -> bool:
        """Sends a one-way message; returns False for an unknown host."""
        target = self._find_target(host_name)
        if target is None:
            return False
        encoded = self._encode(record)
        self._get_or_create_channel(target).send(
            lambda: target.handle_message(self, encoded, 0)
        )
        return True

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        """Sends a request and waits for its reply; see `PeerNetwork`."""
        if host_name == self.own_host.name:
            reply = await self._dispatch(self.own_host, record)
            return reply or peer_network.PeerUnreachable("there was no reply")
        target = self._find_target(host_name)
        if target is None:
            return peer_network.PeerUnreachable(f"no link to {host_name}")
        call_id = next(self._call_ids)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._replies[call_id] = future
        encoded = self._encode(record)
        self._get_or_create_channel(target).send(
            lambda: target.handle_message(self, encoded, call_id)
        )
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await future
        except TimeoutError:
            return peer_network.PeerUnreachable(
                f"{host_name} did not reply in time"
            )
        finally:
            del self._replies[call_id]

    def handle_message(
        self, sender: "MemoryPeerNetwork", encoded: bytes, call_id: int
    ) -> None:
        """Runs the handler of a message, in this network's process.

        Args:
          sender: The network that sent it.
          encoded: The encoded record.
          call_id: The id of the call to reply to; 0 for a one-way message.
        """
        record = self._decode(encoded)
        self._tasks.spawn(self._handle_and_reply(sender, record, call_id))

    def handle_reply(self, call_id: int, encoded: bytes) -> None:
        """Completes a call with its reply, in this network's process."""
        future = self._replies.get(call_id)
        if future is not None and not future.done():
            future.set_result(self._decode(encoded))

    async def _handle_and_reply(
        self, sender: "MemoryPeerNetwork", record: Any, call_id: int
    ) -> None:
        """Runs the handler and sends its reply back."""
        reply = await self._dispatch(sender.own_host, record)
        if reply is not None and call_id:
            encoded = self._encode(reply)
            self._get_or_create_channel(sender).send(
                lambda: sender.handle_reply(call_id, encoded)
            )

    def _find_target(self, host_name: str) -> "MemoryPeerNetwork | None":
        """Returns the living network that listens at a host's address."""
        address = self._addresses.get(host_name)
        if address is None:
            return None
        target = self._directory.peer_networks.get(address.port)
        if target is None:
            return None
        if target.process.state is manual_loop.ProcessState.DEAD:
            return None
        return target

    def _get_or_create_channel(
        self, target: "MemoryPeerNetwork"
    ) -> memory_transport.Channel:
        """Returns the channel to another network."""
        channel = self._channels.get(target)
        if channel is None:
            channel = memory_transport.Channel(
                self._directory.network, self.process, target.process
            )
            self._channels[target] = channel
        return channel

    def _encode(self, record: Any) -> bytes:
        """Encodes a record and counts it and its bytes."""
        encoded = self._codec.encode(record)
        self._metrics.peer_bytes_sent.add(len(encoded))
        self._metrics.peer_messages_sent.add(1)
        return encoded

    def _decode(self, encoded: bytes) -> Any:
        """Decodes a record that this codec has encoded."""
        decoded = self._codec.decode(encoded)
        assert isinstance(decoded, codec.Decoded), decoded
        return decoded.record
