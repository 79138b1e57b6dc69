"""Tests that what is encoded for a router is what it decodes."""

import json

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import forwarding
from redwingchute.platform import configuration_document
from redwingchute.platform import document_encoder
from redwingchute.platform import headers
from redwingchute.platform import settings_file
from redwingchute.process import gateway_settings


def test_settings_are_decoded_as_they_were_encoded() -> None:
    settings = gateway_settings.GatewaySettings(
        host_name="huon-1",
        zone="huon",
        listen=http_client.Address("127.0.0.2", 8227),
        ready_listen=http_client.Address("127.0.0.2", 8220),
        peer_listen=http_client.Address("127.0.0.2", 7340),
        metrics_listen=http_client.Address("127.0.0.2", 0),
        log_address=http_client.Address("127.0.0.1", 9000),
        fleet_key=b"",
        stop_ms=4_000,
        retry_ratio=0.3,
        retry_window_ms=5_000,
        retry_slack=7.0,
        configuration_fresh_ms=3_000,
        drain_ms=2_500,
        processor_share=0.5,
        region="south",
        zone_regions={"huon": "south", "bruny": "east"},
    )
    text = document_encoder.encode_settings(settings)
    decoded, findings = settings_file.decode_settings(text, "file")
    assert not findings
    assert decoded is not None
    assert settings == attrs.evolve(
        decoded,
        metrics_listen=settings.metrics_listen,
        fleet_key=settings.fleet_key,
    )


def test_a_configuration_is_decoded_as_it_was_encoded() -> None:
    table = forwarding.RouteTable(
        version=3,
        routes=(
            forwarding.Route(
                "draft",
                "a.example",
                "/draft/",
                forwarding.RequestKind.STREAMING,
                (
                    forwarding.WeightedService("llm", 3.0),
                    forwarding.WeightedService("llm-2", 1.0),
                ),
                timeout_ms=4_000,
                target_latency_ms=600,
                max_attempts=2,
                priority=1,
                is_resumable=True,
                home_regions=frozenset({"south", "east"}),
            ),
        ),
        services=(
            forwarding.Service("llm", 64, tokens_per_event=5),
            forwarding.Service("llm-2", 64, tokens_per_event=5),
            forwarding.Service("ledger", 10),
            forwarding.Service("llm-3", 64, 5, 3_000, 7.7),
        ),
        accounts=(
            forwarding.ClientAccount("yield", frozenset({"a", "b"}), 2, 900),
            forwarding.ClientAccount("drafts", frozenset({"c"})),
            forwarding.ClientAccount(
                "maps", frozenset({"d"}), home_regions=frozenset({"south"})
            ),
        ),
        limits=forwarding.ConnectionLimits(1_000, 2_000, 300, 400),
    )
    document = document_encoder.encode_configuration(table)
    encoded = json.dumps(document).encode()
    assert configuration_document.decode_configuration(encoded) == table


def test_a_request_is_decoded_as_it_was_encoded() -> None:
    request = forwarding.ForwardRequest(
        id="1f",
        host="a.example",
        path="/x",
        patience_ms=800,
        key="key-1",
        generation=forwarding.Generation(
            30,
            9,
            (forwarding.PromptPart("a", 20), forwarding.PromptPart("b", 10)),
        ),
    )
    pairs = [
        ("host", request.host),
        *document_encoder.encode_request_headers(request),
    ]
    received = http_server.HttpRequest(
        "POST", "/x", "/x", {}, dict(pairs), b"", tuple(pairs), "/x"
    )
    translator = headers.PlatformHeaderTranslator()
    assert translator.parse_request(received) == request
