"""Builds generations, requests and upstreams for tests of forwarding."""

import asyncio
from unittest import mock

import h11

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.connection import server_limits
from redwingchute.core import forwarding
from redwingchute.platform import headers
from redwingchute.request import forward_attempt
from redwingchute.request import header_translator
from redwingchute.request import upstream_connector
from redwingchute.request import upstream_paths

_PATIENCE_S = 2.0


def make_generation(
    shared: str = "prompt", shared_tokens: int = 10_000, own_tokens: int = 1_000
) -> forwarding.Generation:
    """Returns a generation with one shared prompt part and one of its own."""
    return forwarding.Generation(
        prompt_tokens=shared_tokens + own_tokens,
        max_output_tokens=100,
        parts=(
            forwarding.PromptPart(shared, shared_tokens),
            forwarding.PromptPart("own", own_tokens),
        ),
    )


def make_request(
    number: int, generation: forwarding.Generation | None
) -> forwarding.ForwardRequest:
    """Returns a caller's request."""
    return forwarding.ForwardRequest(
        id=f"request-{number}",
        host="a.example",
        path="/",
        generation=generation,
    )


def make_upstream(
    name: str, zone: str = "huon", address: str = "10.0.0.1:1"
) -> forwarding.Upstream:
    """Returns a ready upstream."""
    return forwarding.Upstream(name, "llm", address, zone, True, 64)


def make_attempt_runner(
    pool: http_client.ClientPool,
) -> forward_attempt.AttemptRunner:
    """Returns a runner of attempts on a host without peers."""
    connector = upstream_connector.UpstreamConnector(
        pool, upstream_paths.UpstreamPaths("huon-1", "huon"), None, lambda: 0
    )
    return forward_attempt.AttemptRunner(
        connector, headers.PlatformHeaderTranslator()
    )


def make_outgoing(
    request_id: str, body: bytes = b"", is_streaming: bool = False
) -> forward_attempt.UpstreamRequest:
    """Returns a request as the gateway forwards it, to be answered soon."""
    header_list = (("attempt-id", request_id), ("host", "a.example"))
    request = http_server.HttpRequest(
        method="POST",
        target="/x",
        path="/x",
        query={},
        headers=dict(header_list),
        body=body,
        header_list=header_list,
    )
    return forward_attempt.UpstreamRequest(
        request=request,
        request_id=request_id,
        metadata=header_translator.RequestMetadata("m-1", 0),
        is_streaming=is_streaming,
        deadline_s=asyncio.get_running_loop().time() + _PATIENCE_S,
        trace=forward_attempt.ExchangeTrace(),
    )


def make_responder(is_closed: bool = False) -> http_server.HttpResponder:
    """Returns the responder of one request, with a mock of its socket.

    Args:
      is_closed: Whether the caller has disconnected.
    """
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n")
    protocol.next_event()
    writer = mock.create_autospec(asyncio.StreamWriter)
    writer.is_closing.return_value = is_closed
    writer.transport.get_write_buffer_size.return_value = 0
    return http_server.HttpResponder(
        protocol, writer, server_limits.ServerLimits(), lambda: False
    )
