"""A link between two routers: an authenticated, framed TCP connection.

Both sides prove that they hold the fleet key before any other message is
read, over nonces of both, so that a recorded handshake is useless. A frame is
a four-byte length and one packed envelope. Requests carry an even correlation
number, their replies the next odd one, one-way messages zero.
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
# A link whose peer leaves this much unread is closed rather than buffered.
_MAX_UNSENT_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class HandshakeFailed:
    """The other side is not a router of this fleet, or broke the handshake.

    Attributes:
      message: What went wrong.
      is_wrong_key: Whether the other side failed to prove the fleet key.
    """

    message: str
    is_wrong_key: bool = False


class PeerLink:
    """One established link; both sides may send at any time."""

    def __init__(
        self,
        peer: data.Host,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        wire_codec: codec.Codec,
    ) -> None:
        """Binds the link to its streams after the handshake."""
        self.peer = peer
        self.last_used_ms = 0
        self._reader = reader
        self._writer = writer
        self._codec = wire_codec

    @property
    def is_open(self) -> bool:
        """Whether messages can still be sent."""
        return not self._writer.is_closing()

    def send(self, record: Any, correlation: int = 0) -> int:
        """Queues one message and returns its bytes; 0 when the link closed."""
        return self.send_encoded(self._codec.encode(record, correlation))

    def send_encoded(self, message: bytes) -> int:
        """Queues an encoded message; returns its bytes, 0 when closed."""
        if not self.is_open:
            return 0
        size = _write_frame(self._writer, message)
        if self._writer.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self.close()
        return size

    async def receive(
        self,
    ) -> codec.Decoded | codec.UnknownKind | codec.DecodeError | None:
        """Returns the next message, or None when the link ended."""
        frame = await _read_frame(self._reader, codec.MAX_MESSAGE_BYTES)
        if frame is None:
            return None
        return self._codec.decode(frame)

    def close(self) -> None:
        """Closes the link at once."""
        self._writer.transport.abort()


async def dial_link(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own_host: data.Host,
    fleet_key: bytes,
    wire_codec: codec.Codec,
) -> PeerLink | HandshakeFailed:
    """Runs the dialling side of the handshake.

    Args:
      reader: Where the other side's bytes come from.
      writer: Where bytes go.
      own_host: This router's identity.
      fleet_key: The key that all routers of the fleet share.
      wire_codec: Encodes the messages.

    Returns:
      The link, or why there is none.
    """
    hello = fleet.LinkHello(own_host, secrets.token_bytes(_NONCE_BYTES))
    _write_frame(writer, wire_codec.encode(hello))
    welcome = await _read_handshake(reader, wire_codec)
    if not isinstance(welcome, fleet.LinkWelcome):
        return HandshakeFailed("the other side closed or sent no welcome")
    expected = _make_proof(fleet_key, b"answer", hello, welcome)
    if not hmac.compare_digest(expected, welcome.proof):
        return HandshakeFailed("the fleet key differs", is_wrong_key=True)
    proof = fleet.LinkProof(_make_proof(fleet_key, b"dial", hello, welcome))
    _write_frame(writer, wire_codec.encode(proof))
    return PeerLink(welcome.host, reader, writer, wire_codec)


async def answer_link(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own_host: data.Host,
    fleet_key: bytes,
    wire_codec: codec.Codec,
) -> PeerLink | HandshakeFailed:
    """Runs the answering side of the handshake; see `dial_link`."""
    hello = await _read_handshake(reader, wire_codec)
    if not isinstance(hello, fleet.LinkHello):
        return HandshakeFailed("the other side sent no hello")
    unproved = fleet.LinkWelcome(
        own_host, secrets.token_bytes(_NONCE_BYTES), b""
    )
    welcome = fleet.LinkWelcome(
        own_host,
        unproved.nonce,
        _make_proof(fleet_key, b"answer", hello, unproved),
    )
    _write_frame(writer, wire_codec.encode(welcome))
    proof = await _read_handshake(reader, wire_codec)
    if not isinstance(proof, fleet.LinkProof):
        return HandshakeFailed("the other side sent no proof", True)
    expected = _make_proof(fleet_key, b"dial", hello, welcome)
    if not hmac.compare_digest(expected, proof.proof):
        return HandshakeFailed("the fleet key differs", is_wrong_key=True)
    return PeerLink(hello.host, reader, writer, wire_codec)


def _make_proof(
    fleet_key: bytes,
    side: bytes,
    hello: fleet.LinkHello,
    welcome: fleet.LinkWelcome,
) -> bytes:
    """Returns the proof of one side over both nonces and identities."""
    parts = [side, hello.nonce, welcome.nonce]
    for host in (hello.host, welcome.host):
        parts.append(f"{host.name}|{host.zone}|{host.incarnation}".encode())
    message = b"".join(_LENGTH.pack(len(part)) + part for part in parts)
    return hmac.new(fleet_key, message, hashlib.sha256).digest()


async def _read_handshake(
    reader: asyncio.StreamReader, wire_codec: codec.Codec
) -> Any | None:
    """Returns the next handshake record, or None."""
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
    """Reads one frame; None when the stream ended or the frame is too big."""
    try:
        header = await reader.readexactly(_LENGTH.size)
        (size,) = _LENGTH.unpack(header)
        if size > max_bytes:
            return None
        return await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
