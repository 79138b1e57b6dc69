"""Bounds the length of ids that callers choose and routers remember."""

import hashlib

# An id of this length is kept as it is; no sensible one is longer.
_MAX_LENGTH = 128


def shorten_id(text: str) -> str:
    """Returns an id, or a digest in its place if it is very long."""
    if len(text) <= _MAX_LENGTH:
        return text
    return f"sha256-{hashlib.sha256(text.encode()).hexdigest()}"
