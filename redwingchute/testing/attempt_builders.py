"""Builds attempts to forward requests to a scripted upstream."""

import asyncio
from unittest import mock

import h11

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import forwarding
from redwingchute.request import forward_attempt
from redwingchute.request import header_translator

UPSTREAM_ID = "m-1"
_DEADLINE_S = 5.0


def make_upstream(address: http_client.Address) -> forwarding.Upstream:
    """Returns a ready upstream at an address."""
    return forwarding.Upstream(UPSTREAM_ID, "llm", str(address), "", True, 8)


def make_request(
    request_id: str, is_streaming: bool = False, body: bytes = b"body"
) -> forward_attempt.UpstreamRequest:
    """Returns a POST request to forward; the event loop must be running."""
    request_headers = {"attempt-id": request_id}
    return forward_attempt.UpstreamRequest(
        request=http_server.HttpRequest(
            method="POST",
            target="/x",
            path="/x",
            query={},
            headers=request_headers,
            body=body,
            header_list=tuple(request_headers.items()),
            raw_path="/x",
        ),
        request_id=request_id,
        metadata=header_translator.RequestMetadata(UPSTREAM_ID, 0),
        is_streaming=is_streaming,
        deadline_s=asyncio.get_running_loop().time() + _DEADLINE_S,
        trace=forward_attempt.ExchangeTrace(),
    )


def make_relay() -> forward_attempt.Relay:
    """Returns a relay to a caller that accepts everything."""
    return forward_attempt.Relay(
        mock.create_autospec(http_server.HttpResponder, instance=True)
    )


def read_request_id(request: h11.Request) -> str:
    """Returns the id of a request that an upstream received."""
    return dict(request.headers)[b"attempt-id"].decode()
