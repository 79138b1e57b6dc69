"""Decodes HTTP header fields for the server and the client."""

from collections.abc import Iterable


def decode_headers(
    fields: Iterable[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    """Returns header fields as text in received order, names in lower case."""
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in fields
    )
