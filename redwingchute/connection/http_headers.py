"""Decodes and encodes HTTP header fields for the server and the client."""

from collections.abc import Iterable


def decode_headers(
    fields: Iterable[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    """Returns header fields as text in received order, names in lower case."""
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in fields
    )


def encode_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """Returns header fields as they are sent.

    The value of a received field is sent with the same bytes (RFC 9110, 5.5);
    another one with characters beyond Latin-1 is sent in UTF-8.
    """
    return [(name.encode("latin-1"), _encode(value)) for name, value in headers]


def _encode(value: str) -> bytes:
    """Returns the bytes of a field value."""
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode()
