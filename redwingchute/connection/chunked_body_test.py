"""Compares the decoder of chunked bodies with h11's."""

import h11
import hypothesis
from hypothesis import strategies
import pytest

from redwingchute.connection import chunked_body

_MAX_LINE_BYTES = 4_096
_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
_END = b"0\r\n\r\n"


def _decode(payload: bytes, step_bytes: int, max_chunks: int) -> bytes | None:
    """Returns the content of a body; None if it is malformed or has no end."""
    decoder = chunked_body.ChunkedDecoder(_MAX_LINE_BYTES)
    received = bytearray()
    content = b""
    for begin in range(0, len(payload), step_bytes):
        received += payload[begin : begin + step_bytes]
        decoder.needs_data = False
        while not (decoder.needs_data or decoder.is_last):
            try:
                content += decoder.decode(received, max_chunks)
            except chunked_body.MalformedBodyError:
                return None
        if decoder.is_last:
            return content
    return None


def _parse(payload: bytes) -> bytes | None:
    """Returns what h11 finds to be the content of a body, as `_decode`."""
    connection = h11.Connection(h11.SERVER, _MAX_LINE_BYTES)
    connection.receive_data(_HEAD + payload)
    content = b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return None
        if isinstance(event, h11.Data):
            content += event.data
        elif isinstance(event, h11.EndOfMessage):
            return content
        elif event is h11.NEED_DATA:
            return None


_CHUNKS = strategies.lists(strategies.binary(min_size=1, max_size=40))
_STEPS = strategies.integers(min_value=1, max_value=64)
_PIECES = (b"1", b"a", b"\r\n", b"\n", b"\r", b";", b" ", b"+", b"x", b"1\r\nz")


# Guards against a body that the decoder changes, however it is cut.
@hypothesis.given(chunks=_CHUNKS, step=_STEPS, max_chunks=_STEPS)
def test_chunks_are_joined(
    chunks: list[bytes], step: int, max_chunks: int
) -> None:
    payload = b"".join(b"%X;a=b\r\n%b\r\n" % (len(c), c) for c in chunks)
    assert _decode(payload + _END, step, max_chunks) == b"".join(chunks)
    assert _parse(payload + _END) == b"".join(chunks)


# Guards against framing that hides a request in the body of another one.
@hypothesis.given(
    pieces=strategies.lists(strategies.sampled_from(_PIECES)), step=_STEPS
)
def test_it_accepts_nothing_that_h11_rejects(
    pieces: list[bytes], step: int
) -> None:
    payload = b"".join(pieces) + _END
    decoded = _decode(payload, step, 4)
    assert decoded is None or decoded == _parse(payload)


@pytest.mark.parametrize(
    "payload",
    [
        b"1_0\r\n",
        b"0x1\r\na\r\n0\r\n",
        b"-1\r\n",
        b"\r\n",
        b"1\r\nab\r\n",
        b"1;a\rb\r\na\r\n",
        b"1" * (_MAX_LINE_BYTES + 1),
        b"1;" + b"a" * _MAX_LINE_BYTES,
    ],
)
def test_malformed_bodies_are_rejected(payload: bytes) -> None:
    decoder = chunked_body.ChunkedDecoder(_MAX_LINE_BYTES)
    with pytest.raises(chunked_body.MalformedBodyError):
        decoder.decode(bytearray(payload), 8)


# Guards against a body that goes on with framing and never ends.
def test_a_body_of_framing_is_rejected() -> None:
    decoder = chunked_body.ChunkedDecoder(_MAX_LINE_BYTES)
    chunk = b"1;" + b"a" * 2_000 + b"\r\na\r\n"
    with pytest.raises(chunked_body.MalformedBodyError):
        for _ in range(1_000):
            decoder.decode(bytearray(chunk), 8)
