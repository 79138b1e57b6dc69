"""Decodes the entries with which upstreams register in the platform's store.

Entries may have other writers and be malformed. An entry without a valid
service, address or state is ignored. The other fields have defaults, which also
replace values of another type.
"""

import json
import math
from typing import Any

from redwingchute.connection import http_client
from redwingchute.core import forwarding

TOPIC = "servers"

_READY = "ready"
_LEAVING = "draining"


def decode_upstream(
    upstream_id: str, value: bytes
) -> forwarding.Upstream | None:
    """Returns the upstream of an entry, or None if the entry is malformed.

    Args:
      upstream_id: The key of the entry, which identifies the upstream.
      value: The value of the entry.
    """
    try:
        fields = json.loads(value)
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    service = fields.get("service")
    address = fields.get("address")
    state = fields.get("state")
    if not isinstance(service, str) or state not in (_READY, _LEAVING):
        return None
    if not isinstance(address, str) or not _is_address(address):
        return None
    return forwarding.Upstream(
        id=upstream_id,
        service=service,
        address=address,
        zone=_read_text(fields.get("zone")),
        is_ready=state == _READY,
        slots=max(1, _read_count(fields.get("slots"))),
        born_ms=_read_count(fields.get("born")),
        sequence=_read_count(fields.get("sequence")),
        version=_read_text(fields.get("version")),
        cold_ms=_read_duration_ms(fields.get("coldRemainingMs")),
    )


def _is_address(text: str) -> bool:
    """Returns whether a text has the form ip:port."""
    try:
        http_client.Address.parse(text)
    except ValueError:
        return False
    return True


def _read_text(value: Any) -> str:
    """Returns a text field, or "" if the value is no text."""
    return value if isinstance(value, str) else ""


def _read_count(value: Any) -> int:
    """Returns an integer field, or 0 if the value is no integer."""
    is_count = isinstance(value, int) and not isinstance(value, bool)
    return value if is_count else 0


def _read_duration_ms(value: Any) -> int | None:
    """Returns a duration, or None if the value is none."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if not math.isfinite(value) or value < 0:
        return None
    return math.ceil(value)
