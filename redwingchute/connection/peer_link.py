"""A link between two routers: an authenticated, framed TCP connection.

Each side proves that it has the fleet key before any other message is read.
The proofs cover fresh nonces of both sides, so a recorded handshake cannot be
replayed. A frame is a four-byte big-endian length followed by one message as
`wire/codec` encodes it. A request carries an even correlation number, its reply
the next odd number, and a one-way message zero.

A connection may also become a tunnel to an upstream: after the handshake each
side sends one message, and from then on the bytes belong to the upstream.
"""

import asyncio
import dataclasses
import hashlib
import hmac
import secrets
import struct
from typing import Any

from redwingchute.core import data
from redwingchute.core import fleet
from redwingchute.wire import codec

_LENGTH = struct.Struct(">I")
_NONCE_BYTES = 16
_MAX_HANDSHAKE_BYTES = 4 * 1024
# A link with more unsent bytes than this is closed: its peer is too slow.
_MAX_UNSENT_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class HandshakeFailed:
    """The handshake failed.

    The peer is not a router of this fleet, closed the connection or sent a
    wrong message.

    Attributes:
      message: Why the handshake failed.
      is_wrong_key: Whether the peer did not prove that it has the fleet key.
    """

    message: str
    is_wrong_key: bool = False


class PeerLink:
    """One established link; both sides may send at any time.

    Attributes:
      peer: The identity that the peer gave in the handshake.
      last_used_ms: When the link was last used; its owner sets it.
      is_tunnel: Whether the connection is to become a tunnel.
    """

    def __init__(
        self,
        peer: data.Host,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        wire_codec: codec.Codec,
        is_tunnel: bool = False,
    ) -> None:
        """Creates a link on streams whose handshake is complete."""
        self.peer = peer
        self.is_tunnel = is_tunnel
        self.last_used_ms = 0
        self._reader = reader
        self._writer = writer
        self._codec = wire_codec

    @property
    def is_open(self) -> bool:
        """Whether messages can still be sent."""
        return not self._writer.is_closing()

    def send(self, record: Any, correlation: int = 0) -> int:
        """Queues a message; returns its size in bytes, 0 on a closed link."""
        return self.send_encoded(self._codec.encode(record, correlation))

    def send_encoded(self, message: bytes) -> int:
        """Queues an encoded message; returns its size like `send`."""
        if not self.is_open:
            return 0
        size = _write_frame(self._writer, message)
        if self._writer.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self.close()
        return size

    async def receive(
        self,
    ) -> codec.Decoded | codec.UnknownKind | codec.DecodeError | None:
        """Returns the next message, or None once the link is closed."""
        frame = await _read_frame(self._reader, codec.MAX_MESSAGE_BYTES)
        if frame is None:
            return None
        return self._codec.decode(frame)

    def detach(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns the streams of a tunnel after its messages were exchanged."""
        return self._reader, self._writer

    def close(self) -> None:
        """Closes the link and discards unsent bytes."""
        self._writer.transport.abort()


async def dial_link(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own_host: data.Host,
    fleet_key: bytes,
    wire_codec: codec.Codec,
    is_tunnel: bool = False,
) -> PeerLink | HandshakeFailed:
    """Runs the handshake on the side that opened the connection.

    Args:
      reader: The stream to receive from.
      writer: The stream to send to.
      own_host: This router's identity.
      fleet_key: The secret that all routers of the fleet share.
      wire_codec: Encodes and decodes the messages.
      is_tunnel: Whether the connection is to become a tunnel.

    Returns:
      The link, or why the handshake failed.
    """
    hello = fleet.LinkHello(
        own_host, secrets.token_bytes(_NONCE_BYTES), is_tunnel
    )
    _write_frame(writer, wire_codec.encode(hello))
    welcome = await _read_handshake(reader, wire_codec)
    if not isinstance(welcome, fleet.LinkWelcome):
        return HandshakeFailed(
            "the peer closed the connection or sent no welcome"
        )
    expected = _make_proof(fleet_key, b"answer", hello, welcome)
    if not hmac.compare_digest(expected, welcome.proof):
        return HandshakeFailed("the fleet key differs", is_wrong_key=True)
    proof = fleet.LinkProof(_make_proof(fleet_key, b"dial", hello, welcome))
    _write_frame(writer, wire_codec.encode(proof))
    return PeerLink(welcome.host, reader, writer, wire_codec, is_tunnel)


async def accept_link(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own_host: data.Host,
    fleet_key: bytes,
    wire_codec: codec.Codec,
) -> PeerLink | HandshakeFailed:
    """Runs the handshake on the accepting side; see `dial_link`."""
    hello = await _read_handshake(reader, wire_codec)
    if not isinstance(hello, fleet.LinkHello):
        return HandshakeFailed("the peer sent no hello")
    unsigned_welcome = fleet.LinkWelcome(
        own_host, secrets.token_bytes(_NONCE_BYTES), b""
    )
    welcome = fleet.LinkWelcome(
        own_host,
        unsigned_welcome.nonce,
        _make_proof(fleet_key, b"answer", hello, unsigned_welcome),
    )
    _write_frame(writer, wire_codec.encode(welcome))
    proof = await _read_handshake(reader, wire_codec)
    if not isinstance(proof, fleet.LinkProof):
        return HandshakeFailed("the peer sent no proof", True)
    expected = _make_proof(fleet_key, b"dial", hello, welcome)
    if not hmac.compare_digest(expected, proof.proof):
        return HandshakeFailed("the fleet key differs", is_wrong_key=True)
    return PeerLink(hello.host, reader, writer, wire_codec, hello.is_tunnel)


def _make_proof(
    fleet_key: bytes,
    side: bytes,
    hello: fleet.LinkHello,
    welcome: fleet.LinkWelcome,
) -> bytes:
    """Returns the HMAC by which a side proves that it has the fleet key.

    It covers the nonces and identities of both sides, and the purpose of the
    connection. `side` identifies the
    side that makes the proof: neither side can send the other's proof back.
    """
    parts = [side, hello.nonce, welcome.nonce]
    for host in (hello.host, welcome.host):
        parts.append(f"{host.name}|{host.zone}|{host.incarnation}".encode())
    if hello.is_tunnel:
        parts.append(b"tunnel")
    message = b"".join(_LENGTH.pack(len(part)) + part for part in parts)
    return hmac.new(fleet_key, message, hashlib.sha256).digest()


async def _read_handshake(
    reader: asyncio.StreamReader, wire_codec: codec.Codec
) -> Any | None:
    """Returns the next record of the handshake, or None without a valid one."""
    frame = await _read_frame(reader, _MAX_HANDSHAKE_BYTES)
    if frame is None:
        return None
    decoded = wire_codec.decode(frame)
    if isinstance(decoded, codec.Decoded):
        return decoded.record
    return None


def _write_frame(writer: asyncio.StreamWriter, payload: bytes) -> int:
    """Queues one frame and returns its size in bytes."""
    frame = _LENGTH.pack(len(payload)) + payload
    writer.write(frame)
    return len(frame)


async def _read_frame(
    reader: asyncio.StreamReader, max_bytes: int
) -> bytes | None:
    """Reads one frame.

    Returns:
      The payload, or None when the stream has ended or the payload would have
      more than `max_bytes`.
    """
    try:
        header = await reader.readexactly(_LENGTH.size)
        (size,) = _LENGTH.unpack(header)
        if size > max_bytes:
            return None
        return await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
