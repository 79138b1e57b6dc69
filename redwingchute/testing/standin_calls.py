"""Calls to stand-ins, for tests and scenarios."""

import json
from typing import Any

from redwingchute.connection import http_client
from redwingchute.standin import base

_TIMEOUT_MS = 10_000


async def fetch(
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    headers: list[tuple[str, str]] | None = None,
) -> (
    http_client.Fetched | http_client.ConnectFailed | http_client.ExchangeBroken
):
    """Sends a request to a server on loopback and returns its response."""
    address = http_client.Address("127.0.0.1", port)
    async with http_client.ClientPool() as pool:
        return await pool.fetch(
            address, method, target, headers or [], body, _TIMEOUT_MS
        )


async def fetch_json(
    port: int, method: str, target: str, body: Any = None
) -> Any:
    """Sends a request that must succeed and returns the JSON response."""
    payload = b"" if body is None else json.dumps(body).encode()
    response = await fetch(port, method, target, payload)
    assert isinstance(response, http_client.Fetched), response
    assert response.status == 200, response
    return json.loads(response.body)


async def set_faults(stand_in: base.StandIn[Any], **patch: Any) -> Any:
    """Sets faults through the control path and returns the state."""
    return await fetch_json(stand_in.control_port, "POST", "/control", patch)


async def read_state(stand_in: base.StandIn[Any]) -> Any:
    """Returns the state that `GET /control` shows."""
    return await fetch_json(stand_in.control_port, "GET", "/control")


def make_chat(prompt: str, stream: bool = False, **fields: Any) -> bytes:
    """Returns the body of a chat completion request."""
    message = {"role": "user", "content": prompt}
    chat = {"model": "m", "messages": [message], "stream": stream, **fields}
    return json.dumps(chat).encode()


def parse_stream(body: bytes) -> list[dict[str, Any]]:
    """Returns the JSON chunks of a server-sent event stream."""
    lines = body.decode().splitlines()
    texts = [ln.removeprefix("data: ") for ln in lines if ln.startswith("data")]
    return [json.loads(text) for text in texts if text != "[DONE]"]


def join_content(chunks: list[dict[str, Any]]) -> str:
    """Returns the concatenated text of the chunks of a stream."""
    return "".join(
        chunk["choices"][0]["delta"].get("content", "") for chunk in chunks
    )
