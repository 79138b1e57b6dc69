"""Decodes the operator's configuration into a route table.

The store takes only valid documents, so a part that cannot be read means that
this release does not know it. The document is then refused as a whole and the
version before stays in force: half a configuration could send requests where
they must not go.
"""

import json
from typing import Any

from redwingchute.core import forwarding

TOPIC = "keyed.op"
KEY = "config"

_KINDS = {
    "idempotent": forwarding.RequestKind.IDEMPOTENT,
    "non_idempotent": forwarding.RequestKind.NON_IDEMPOTENT,
    "streaming": forwarding.RequestKind.STREAMING,
}


def decode_configuration(value: bytes) -> forwarding.RouteTable | str:
    """Returns the route table of a document, or why it cannot be read."""
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
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return f"{type(error).__name__}: {error}"


def _decode_route(fields: dict[str, Any]) -> forwarding.Route:
    """Decodes one route; it has one service or a split by weights."""
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
    )


def _decode_service(fields: dict[str, Any]) -> forwarding.Service:
    """Decodes one service; those that generate describe their engine."""
    engine = fields.get("inferenceEngine") or {}
    return forwarding.Service(
        name=str(fields["name"]),
        max_connections=int(fields.get("maxConnections", 0)),
        # The name says little: the output tokens that one event holds.
        tokens_per_event=int(engine.get("stride", 1)) if engine else 0,
    )


def _decode_account(fields: dict[str, Any]) -> forwarding.ClientAccount:
    """Decodes one client account."""
    # Named as if it were held back: all tokens that the account has prepaid.
    prepaid = fields.get("reserved")
    priority = fields.get("priority")
    return forwarding.ClientAccount(
        name=str(fields["name"]),
        keys=frozenset(map(str, fields.get("apiKeys") or ())),
        priority=None if priority is None else int(priority),
        prepaid_tokens=None if prepaid is None else int(prepaid),
    )


def _decode_limits(fields: dict[str, Any]) -> forwarding.ConnectionLimits:
    """Decodes what a caller's connection may cost."""
    usual = forwarding.ConnectionLimits()
    return forwarding.ConnectionLimits(
        header_bytes=int(fields.get("maxHeaderBytes", usual.header_bytes)),
        body_bytes=int(fields.get("maxBodyBytes", usual.body_bytes)),
        receive_ms=int(fields.get("headerTimeoutMs", usual.receive_ms)),
        idle_ms=int(fields.get("idleTimeoutMs", usual.idle_ms)),
    )
