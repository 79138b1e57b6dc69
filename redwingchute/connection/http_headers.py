"""Decodes the header fields of HTTP messages, for both ends of a connection."""

from collections.abc import Iterable


def decode_headers(
    fields: Iterable[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    """Returns header fields as text, names in lower case, in their order."""
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in fields
    )
