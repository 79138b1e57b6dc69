"""Encodes what the platform, the operator and callers send to a router.

The counterpart of the decoders in this package, for programs that play these
parts, such as the soak.
"""

from typing import Any

from redwingchute.core import forwarding
from redwingchute.process import gateway_settings


def encode_settings(settings: gateway_settings.GatewaySettings) -> str:
    """Returns the text of a settings file; `settings_file` decodes it.

    The metrics address and the key of the fleet follow from the other fields.
    """
    first_port = settings.peer_listen.port
    fields = {
        "nodeName": settings.host_name,
        "ip": settings.peer_listen.ip,
        "zone": settings.zone,
        "listen.frontend": settings.listen,
        "listen.ready": settings.ready_listen,
        "internalPorts": f"{first_port},{first_port}",
        "platform.address": settings.log_address,
        "bounds.graceS": settings.stop_ms / 1000,
        "bounds.retryBudgetRatio": settings.retry_ratio,
        "bounds.retryWindowS": settings.retry_window_ms / 1000,
        "bounds.retrySlack": settings.retry_slack,
        "bounds.configApplyMs": settings.configuration_fresh_ms,
        "bounds.drainMs": settings.drain_ms,
        "limits.cpuShare": settings.processor_share,
        "limits.memoryMb": settings.memory_mb,
        "limits.maxFds": settings.max_descriptors,
        "region": settings.region,
        **{
            f"zones.{zone}": region
            for zone, region in settings.zone_regions.items()
        },
    }
    return "".join(f"{name}={value}\n" for name, value in fields.items())


def encode_configuration(table: forwarding.RouteTable) -> dict[str, Any]:
    """Returns a document that `configuration_document` decodes."""
    limits = table.limits
    return {
        "version": table.version,
        "routes": list(map(_encode_route, table.routes)),
        "services": list(map(_encode_service, table.services)),
        "tenants": list(map(_encode_account, table.accounts)),
        "limits": {
            "maxHeaderBytes": limits.header_bytes,
            "maxBodyBytes": limits.body_bytes,
            "headerTimeoutMs": limits.receive_ms,
            "idleTimeoutMs": limits.idle_ms,
        },
    }


def encode_request_headers(
    request: forwarding.ForwardRequest,
) -> list[tuple[str, str]]:
    """Returns the headers of a caller's request, without its host."""
    headers = [("attempt-id", request.id)]
    if request.key is not None:
        headers.append(("authorization", f"Bearer {request.key}"))
    if request.patience_ms is not None:
        headers.append(("deadline-ms", str(request.patience_ms)))
    generation = request.generation
    if generation is not None:
        tokens = f"{generation.prompt_tokens},{generation.max_output_tokens}"
        parts = ",".join(
            f"{part.id}:{part.tokens}" for part in generation.parts
        )
        headers += [
            ("model", "m"),
            ("token-usage", tokens),
            ("prompt-prefix", parts),
        ]
    return headers


def _encode_route(route: forwarding.Route) -> dict[str, Any]:
    """Encodes one route."""
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "type": route.kind.value,
        "trafficSplit": [
            {"service": target.service, "weight": target.weight}
            for target in route.services
        ],
        "timeoutMs": route.timeout_ms,
        "targetLatencyMs": route.target_latency_ms,
        "maxAttempts": route.max_attempts,
        "priority": route.priority,
        "public": route.is_public,
        "resumable": route.is_resumable,
        **_encode_regions(route.home_regions),
    }


def _encode_service(service: forwarding.Service) -> dict[str, Any]:
    """Encodes one service."""
    fields: dict[str, Any] = {
        "name": service.name,
        "maxConnections": service.max_connections,
    }
    if service.tokens_per_event:
        fields["inferenceEngine"] = {"stride": service.tokens_per_event}
    if service.cold_requests_per_s:
        fields["coldStartS"] = service.cold_start_ms / 1000
        fields["coldPerS"] = service.cold_requests_per_s
    return fields


def _encode_account(account: forwarding.ClientAccount) -> dict[str, Any]:
    """Encodes one client account."""
    fields: dict[str, Any] = {
        "name": account.name,
        "apiKeys": sorted(account.keys),
        **_encode_regions(account.home_regions),
    }
    if account.priority is not None:
        fields["priority"] = account.priority
    if account.prepaid_tokens is not None:
        fields["reserved"] = account.prepaid_tokens
    return fields


def _encode_regions(regions: frozenset[str]) -> dict[str, Any]:
    """Encodes the home regions of a route or account, if it has any."""
    return {"allowedRegions": sorted(regions)} if regions else {}
