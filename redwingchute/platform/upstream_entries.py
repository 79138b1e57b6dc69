"""Decodes the entries with which upstreams register in the platform's store.

Entries may have other writers and be malformed. An entry names an upstream only
if it has every field that upstreams write, with values that an upstream can
have; fields that are not used here are ignored.
"""

import ipaddress
import json
import math
import re
from typing import Any

from redwingchute.connection import http_client
from redwingchute.core import forwarding
from redwingchute.core import untrusted

TOPIC = "servers"

_READY = "ready"
_LEAVING = "draining"
# The id is sent in a header.
_ID = re.compile(r"[!-~]+")
# Each request that an upstream runs has a connection of its own, and a host
# has no more ports.
_MAX_SLOTS = 65_535
# Larger integers are not exact in all JSON implementations (RFC 8259).
_MAX_INTEGER = 2**53 - 1
# Versions are also kept in the entry of each host, whose size is limited.
_MAX_TEXT_CHARS = 256


def decode_upstream(
    upstream_id: str, value: bytes
) -> forwarding.Upstream | None:
    """Returns the upstream of an entry, or None if the entry is malformed.

    Args:
      upstream_id: The key of the entry, which identifies the upstream.
      value: The value of the entry.
    """
    try:
        return _decode(upstream_id, json.loads(value))
    except untrusted.DECODE_ERRORS:
        return None


def _decode(upstream_id: str, fields: Any) -> forwarding.Upstream:
    """Decodes the fields of an entry.

    Raises:
      ValueError: A field is missing or has an impossible value; other errors
        of `untrusted.DECODE_ERRORS` mean the same.
    """
    if not isinstance(fields, dict) or not _ID.fullmatch(upstream_id):
        raise ValueError("it is no entry of an upstream")
    state = fields["state"]
    if state not in (_READY, _LEAVING):
        raise ValueError("the state is unknown")
    return forwarding.Upstream(
        id=upstream_id,
        service=_read_text(fields["service"]),
        address=_read_address(fields["address"]),
        zone=_read_text(fields["zone"]),
        is_ready=state == _READY,
        slots=max(1, _read_integer(fields["slots"], _MAX_SLOTS)),
        born_ms=_read_integer(fields.get("born", 0), _MAX_INTEGER),
        sequence=_read_integer(fields["sequence"], _MAX_INTEGER),
        version=_read_text(fields["version"]),
        cold_ms=_read_duration_ms(fields["coldRemainingMs"]),
    )


def _read_text(value: Any) -> str:
    """Returns a text; raises ValueError if it is none that can be sent."""
    if not isinstance(value, str) or len(value) > _MAX_TEXT_CHARS:
        raise ValueError("a field is no text")
    # Raises UnicodeEncodeError, a ValueError, for half a surrogate pair.
    value.encode()
    return value


def _read_address(value: Any) -> str:
    """Returns an `ip:port`; raises ValueError if none can listen there."""
    address = http_client.Address.parse(_read_text(value))
    ipaddress.IPv4Address(address.ip)
    if not address.port:
        raise ValueError("no upstream listens on port 0")
    return str(address)


def _read_integer(value: Any, maximum: int) -> int:
    """Returns an integer of at least 0; raises ValueError for another value."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("a field is no integer")
    if not 0 <= value <= maximum:
        raise ValueError("a number is out of range")
    return value


def _read_duration_ms(value: Any) -> int | None:
    """Returns a duration, or None if it is negative.

    Raises:
      ValueError: It is no number, or none that a duration can have.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("a duration is no number")
    if not value <= _MAX_INTEGER:
        raise ValueError("a duration is out of range")
    return math.ceil(value) if value >= 0 else None
