"""Parses the server-sent events of chat completion streams."""

import json
from typing import Any

import attrs

_DATA_PREFIX = b"data:"
_DONE = b"[DONE]"


@attrs.frozen
class Usage:
    """The tokens that a request used, as its engine reports them."""

    prompt_tokens: int
    output_tokens: int


@attrs.frozen
class ChatEvent:
    """One event of a chat completion stream.

    Attributes:
      raw: The bytes of the event, including the blank line that ends it.
      text: The output text, empty if there is none.
      is_done: Whether it is the end marker `[DONE]`.
      is_finish: Whether it has a `finish_reason`, which ends the output.
      usage: The usage, None if the event has none or a malformed one.
    """

    raw: bytes
    text: str = ""
    is_done: bool = False
    is_finish: bool = False
    usage: Usage | None = None


def read_usage(fields: Any) -> Usage | None:
    """Returns the usage of a parsed completion, None if it is malformed."""
    usage = fields.get("usage") if isinstance(fields, dict) else None
    if not isinstance(usage, dict):
        return None
    prompt_tokens = usage.get("prompt_tokens")
    output_tokens = usage.get("completion_tokens")
    if not isinstance(prompt_tokens, int) or not isinstance(output_tokens, int):
        return None
    if prompt_tokens < 0 or output_tokens < 0:
        return None
    return Usage(prompt_tokens, output_tokens)


def parse_chat_event(raw: bytes) -> ChatEvent:
    """Parses one event.

    An event that is neither the end marker nor a JSON object is returned with
    only its raw bytes, so that it is forwarded unchanged.
    """
    payload = _read_payload(raw)
    if payload == _DONE:
        return ChatEvent(raw, is_done=True)
    try:
        fields = json.loads(payload)
    except ValueError:
        return ChatEvent(raw)
    if not isinstance(fields, dict):
        return ChatEvent(raw)
    text, is_finish = _read_choice(fields)
    return ChatEvent(
        raw, text=text, is_finish=is_finish, usage=read_usage(fields)
    )


def _read_payload(raw: bytes) -> bytes:
    """Returns the data of an event, several data lines joined by newlines."""
    # Fast path for an event that is a single data line.
    if raw.startswith(_DATA_PREFIX) and raw.find(b"\n") == len(raw) - 2:
        return raw[len(_DATA_PREFIX) : -2].strip()
    lines = [line for line in raw.split(b"\n") if line.startswith(_DATA_PREFIX)]
    return b"\n".join(line[len(_DATA_PREFIX) :].strip() for line in lines)


def _read_choice(fields: dict[str, Any]) -> tuple[str, bool]:
    """Returns the output text of an event and whether it ends the output."""
    choices = fields.get("choices")
    if not isinstance(choices, list) or not choices:
        return "", False
    choice = choices[0]
    if not isinstance(choice, dict):
        return "", False
    delta = choice.get("delta")
    content = delta.get("content") if isinstance(delta, dict) else None
    text = content if isinstance(content, str) else ""
    return text, bool(choice.get("finish_reason"))
