"""Decodes the operator's configuration document into a route table.

The store accepts only valid documents, so a part that cannot be decoded is one
that this release does not support. The whole document is then refused, and the
previous version stays in force: a partial configuration could forward requests
to a wrong service.
"""

import json
from typing import Any

from redwingchute.core import forwarding

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
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return f"{type(error).__name__}: {error}"


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
    )


def _decode_limits(fields: dict[str, Any]) -> forwarding.ConnectionLimits:
    """Decodes the limits for the connections of callers."""
    defaults = forwarding.ConnectionLimits()
    return forwarding.ConnectionLimits(
        header_bytes=int(fields.get("maxHeaderBytes", defaults.header_bytes)),
        body_bytes=int(fields.get("maxBodyBytes", defaults.body_bytes)),
        receive_ms=int(fields.get("headerTimeoutMs", defaults.receive_ms)),
        idle_ms=int(fields.get("idleTimeoutMs", defaults.idle_ms)),
    )
