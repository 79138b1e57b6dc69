"""Decodes the operator's configuration document into a route table.

The store accepts only valid documents, so a part that cannot be decoded is one
that this release does not support. The whole document is then refused, and the
previous version stays in force: a partial configuration could forward requests
to a wrong service.
"""

from collections.abc import Callable
from collections.abc import Iterator
import json
from typing import Any

from redwingchute.core import data
from redwingchute.core import forwarding
from redwingchute.core import untrusted

TOPIC = "op"
KEY = "config"
# The keys of the zones that the operator evacuates, in the same topic.
EVACUATION_PREFIX = "evacuate/"

_KINDS = {
    "idempotent": forwarding.RequestKind.IDEMPOTENT,
    "non_idempotent": forwarding.RequestKind.NON_IDEMPOTENT,
    "streaming": forwarding.RequestKind.STREAMING,
}


def decode_configuration(value: bytes) -> forwarding.RouteTable | str:
    """Returns the route table of a document, or the error in decoding it."""
    try:
        document = json.loads(value)
        return forwarding.RouteTable(
            version=int(document["version"]),
            routes=tuple(map(_decode_route, document["routes"])),
            services=tuple(
                map(_decode_service, document.get("services") or ())
            ),
            accounts=tuple(map(_decode_account, document.get("tenants") or ())),
            limits=_decode_limits(document.get("limits") or {}),
        )
    except untrusted.DECODE_ERRORS as error:
        return f"{type(error).__name__}: {error}"


def find_errors(value: bytes) -> tuple[data.Finding, ...]:
    """Returns all errors that keep a document from being decoded.

    Each part is decoded separately, so that one error does not hide others.
    """
    try:
        document = json.loads(value)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        return (data.Finding(place, f"This is no JSON: {error.msg}."),)
    except UnicodeDecodeError as error:
        return (
            data.Finding(f"byte {error.start}", "The text is not in UTF-8."),
        )
    if not isinstance(document, dict):
        return (data.Finding("document", "It is no JSON object."),)
    return (
        *_find_error("version", int, document.get("version")),
        *_find_list_errors(document, "routes", _decode_route),
        *_find_list_errors(document, "services", _decode_service),
        *_find_list_errors(document, "tenants", _decode_account),
        *_find_error("limits", _decode_limits, document.get("limits") or {}),
    )


def _find_list_errors(
    document: dict[str, Any], name: str, decode: Callable[[Any], object]
) -> Iterator[data.Finding]:
    """Yields the errors in the entries of one list of a document."""
    entries = document.get(name)
    if entries is None and name != "routes":
        return
    if not isinstance(entries, list):
        yield data.Finding(name, "It is no list.")
        return
    for index, fields in enumerate(entries):
        yield from _find_error(f"{name}[{index}]", decode, fields)


def _find_error(
    place: str, decode: Callable[[Any], object], value: Any
) -> Iterator[data.Finding]:
    """Yields the error in decoding one part of a document, if there is one."""
    try:
        decode(value)
    except KeyError as error:
        yield data.Finding(place, f"{error} is missing or not a known value.")
    except untrusted.DECODE_ERRORS as error:
        yield data.Finding(place, f"{type(error).__name__}: {error}.")


def _decode_route(fields: dict[str, Any]) -> forwarding.Route:
    """Decodes one route, which has one service or a weighted split."""
    split = fields.get("trafficSplit") or [
        {"service": fields["service"], "weight": 1}
    ]
    return forwarding.Route(
        name=str(fields["name"]),
        host=str(fields["host"]).lower(),
        path_prefix=str(fields["pathPrefix"]),
        kind=_KINDS[fields["type"]],
        services=tuple(
            forwarding.WeightedService(
                str(target["service"]), float(target["weight"])
            )
            for target in split
        ),
        timeout_ms=int(fields["timeoutMs"]),
        target_latency_ms=int(fields["targetLatencyMs"]),
        max_attempts=int(fields.get("maxAttempts", 1)),
        priority=int(fields.get("priority", 0)),
        is_public=bool(fields.get("public", False)),
        is_resumable=bool(fields.get("resumable", False)),
        home_regions=_decode_regions(fields),
    )


def _decode_service(fields: dict[str, Any]) -> forwarding.Service:
    """Decodes one service; only those that generate tokens have an engine."""
    engine = fields.get("inferenceEngine") or {}
    return forwarding.Service(
        name=str(fields["name"]),
        max_connections=int(fields.get("maxConnections", 0)),
        # `stride` is the number of output tokens in one event of a stream.
        tokens_per_event=int(engine.get("stride", 1)) if engine else 0,
        cold_start_ms=int(1_000 * float(fields.get("coldStartS") or 0)),
        cold_requests_per_s=float(fields.get("coldPerS") or 0),
    )


def _decode_account(fields: dict[str, Any]) -> forwarding.ClientAccount:
    """Decodes one client account."""
    # `reserved` is the total of tokens that the account has prepaid.
    prepaid = fields.get("reserved")
    priority = fields.get("priority")
    return forwarding.ClientAccount(
        name=str(fields["name"]),
        keys=frozenset(map(str, fields.get("apiKeys") or ())),
        priority=None if priority is None else int(priority),
        prepaid_tokens=None if prepaid is None else int(prepaid),
        home_regions=_decode_regions(fields),
    )


def _decode_regions(fields: dict[str, Any]) -> frozenset[str]:
    """Decodes the home regions of a route or account; empty for no limit.

    Raises:
      TypeError: They are no list of names. A configuration whose limits cannot
        be read must not come into force without them.
    """
    names = fields.get("allowedRegions")
    if names is None:
        return frozenset()
    if not isinstance(names, list) or not all(
        isinstance(name, str) for name in names
    ):
        raise TypeError("allowedRegions is no list of names")
    return frozenset(names)


def _decode_limits(fields: dict[str, Any]) -> forwarding.ConnectionLimits:
    """Decodes the limits for the connections of callers."""
    defaults = forwarding.ConnectionLimits()
    return forwarding.ConnectionLimits(
        header_bytes=int(fields.get("maxHeaderBytes", defaults.header_bytes)),
        body_bytes=int(fields.get("maxBodyBytes", defaults.body_bytes)),
        receive_ms=int(fields.get("headerTimeoutMs", defaults.receive_ms)),
        idle_ms=int(fields.get("idleTimeoutMs", defaults.idle_ms)),
    )
