"""Renders refusals as HTTP responses.

The JSON body holds the type, by which callers decide whether a repeat is safe,
a stable code and a message. If a later retry can succeed, the body and the
`Retry-After` header hold the delay.
"""

import json

from redwingchute.connection import http_server
from redwingchute.core import outcomes

_MS_PER_S = 1_000


def render_refusal(refusal: outcomes.Refusal) -> bytes:
    """Returns the JSON body of a refusal."""
    error: dict[str, object] = {
        "type": outcomes.name_refusal_type(refusal),
        "code": refusal.code,
        "message": refusal.message,
    }
    if refusal.retry_after_ms is not None:
        error["retry_after_ms"] = refusal.retry_after_ms
    return json.dumps({"error": error}).encode()


def list_refusal_headers(refusal: outcomes.Refusal) -> list[tuple[str, str]]:
    """Returns the `Retry-After` header, in seconds rounded up, if any."""
    if refusal.retry_after_ms is None:
        return []
    seconds = -(-refusal.retry_after_ms // _MS_PER_S)
    return [("retry-after", str(max(seconds, 1)))]


async def send_refusal(
    responder: http_server.HttpResponder, refusal: outcomes.Refusal
) -> None:
    """Sends a refusal, as a stream event if the response has begun."""
    body = render_refusal(refusal)
    if responder.has_started:
        await responder.send_chunk(b"event: error\ndata: " + body + b"\n\n")
        await responder.finish()
        return
    await responder.send(
        refusal.status, body, headers=list_refusal_headers(refusal)
    )
