"""Deterministic answers of the stand-in engine.

The answer depends on the prompt alone: token `i` is a word chosen by the
prompt's digest and `i`. A resumed stream thus goes on exactly where the first
one was cut, and answers to different prompts differ.
"""

import hashlib
import json
from typing import Any

import attrs

from redwingchute.core import data

_WORDS = (
    "amber",
    "basin",
    "cedar",
    "delta",
    "ember",
    "fjord",
    "grove",
    "harbor",
    "inlet",
    "jetty",
    "kelp",
    "lagoon",
    "marsh",
    "north",
    "ocean",
    "pier",
    "quay",
    "reef",
    "shoal",
    "tide",
    "umber",
    "vale",
    "wharf",
    "yarrow",
    "zephyr",
    "birch",
    "coral",
    "drift",
    "estuary",
    "fern",
    "gull",
    "heath",
)
_SHORTEST_ANSWER_TOKENS = 12
_ANSWER_SPREAD_TOKENS = 24
BLOCK_WORDS = 16


@attrs.frozen
class ChatRequest:
    """What the stand-in reads of a chat completion request.

    Attributes:
      prompt: The text of all messages.
      max_tokens: The bound of the tokens that this attempt may produce.
      stream: Whether the answer is sent as server-sent events.
      continue_from_text: Output that was delivered before.
    """

    prompt: str
    max_tokens: int
    stream: bool
    continue_from_text: str


def read_chat_request(
    body: bytes,
) -> ChatRequest | tuple[data.Finding, ...]:
    """Reads the JSON body of a chat completion request."""
    try:
        fields = json.loads(body)
    except ValueError:
        return (data.Finding("body", "The body is not JSON."),)
    if not isinstance(fields, dict):
        return (data.Finding("body", "The body must be a JSON object."),)
    messages = fields.get("messages")
    max_tokens = fields.get("max_tokens", 1 << 30)
    resumed = fields.get("continue_from_text") or ""
    findings = []
    if not isinstance(messages, list) or not messages:
        messages = []
        findings.append(data.Finding("messages", "A list is needed."))
    if not isinstance(max_tokens, int) or max_tokens < 1:
        findings.append(data.Finding("max_tokens", "A count is needed."))
    if not isinstance(resumed, str):
        findings.append(
            data.Finding("continue_from_text", "A string is needed.")
        )
    if findings:
        return tuple(findings)
    return ChatRequest(
        prompt="\n".join(_read_text(message) for message in messages),
        max_tokens=max_tokens,
        stream=fields.get("stream") is True,
        continue_from_text=resumed,
    )


def _read_text(message: Any) -> str:
    """Returns the text of one message; its content may come in parts."""
    if not isinstance(message, dict):
        return ""
    content = message.get("content")
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return " ".join(_read_part(part) for part in content)
    return ""


def _read_part(part: Any) -> str:
    """Returns the text of one part of a message's content."""
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return str(part["text"])
    return ""


def count_prompt_tokens(prompt: str) -> int:
    """Returns the prompt's tokens; the stand-in takes words as tokens."""
    return max(1, len(prompt.split()))


def list_answer_tokens(model: str, prompt: str, fixed_count: int) -> list[str]:
    """Returns the whole answer to a prompt.

    Args:
      model: The model's name.
      prompt: The prompt.
      fixed_count: The number of tokens, 0 to let the prompt decide it.
    """
    text = f"{model}\n{prompt}".encode()
    digest = hashlib.blake2b(text, digest_size=16).digest()
    spread = int.from_bytes(digest[:4]) % _ANSWER_SPREAD_TOKENS
    count = fixed_count or _SHORTEST_ANSWER_TOKENS + spread
    return [_choose_token(digest, index) for index in range(count)]


def _choose_token(digest: bytes, index: int) -> str:
    """Returns token `index` of the answer with this digest."""
    seed = digest + index.to_bytes(4)
    choice = hashlib.blake2b(seed, digest_size=2).digest()
    return _WORDS[int.from_bytes(choice) % len(_WORDS)] + " "


def list_blocks(salt: str, prompt: str) -> list[str]:
    """Returns the digests of the prompt's whole prefix blocks."""
    words = prompt.split()
    digest = hashlib.blake2b(salt.encode(), digest_size=8)
    blocks = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        digest.update(" ".join(words[start : start + BLOCK_WORDS]).encode())
        blocks.append(digest.hexdigest())
    return blocks
