"""Chat completion requests and deterministic completions of the engine.

The words of a completion depend on the model and the prompt alone: the digest
of both, together with the token's index, selects each word. A resumed stream
therefore continues exactly where the first one was cut, and completions of
different prompts differ. One word is one token.
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
# Completions have 12 to 35 tokens, unless their length is fixed.
_MIN_COMPLETION_TOKENS = 12
_COMPLETION_TOKENS_SPREAD = 24
# The size of the blocks of a prompt that the prefix cache stores.
WORDS_PER_BLOCK = 16


@attrs.frozen
class ChatRequest:
    """The fields of a chat completion request that the stand-in uses.

    Attributes:
      prompt: The text of all messages, joined by newlines.
      max_tokens: The maximum number of tokens that this attempt may produce.
      stream: Whether the response is sent as server-sent events.
      continue_from_text: The output that earlier attempts delivered; empty
        for a first attempt.
    """

    prompt: str
    max_tokens: int
    stream: bool
    continue_from_text: str


def read_chat_request(
    body: bytes,
) -> ChatRequest | tuple[data.Finding, ...]:
    """Parses the JSON body of a chat completion request.

    Returns:
      The request, or all findings if the body is invalid.
    """
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
        findings.append(data.Finding("messages", "A list is required."))
    if not isinstance(max_tokens, int) or max_tokens < 1:
        findings.append(
            data.Finding("max_tokens", "A positive integer is required.")
        )
    if not isinstance(resumed, str):
        findings.append(
            data.Finding("continue_from_text", "A string is required.")
        )
    if findings:
        return tuple(findings)
    return ChatRequest(
        prompt="\n".join(_get_message_text(message) for message in messages),
        max_tokens=max_tokens,
        stream=fields.get("stream") is True,
        continue_from_text=resumed,
    )


def _get_message_text(message: Any) -> str:
    """Returns the text of one message, whose content may be a list of parts."""
    if not isinstance(message, dict):
        return ""
    content = message.get("content")
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return " ".join(_get_part_text(part) for part in content)
    return ""


def _get_part_text(part: Any) -> str:
    """Returns the text of one content part, empty for other kinds of part."""
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return str(part["text"])
    return ""


def count_prompt_tokens(prompt: str) -> int:
    """Returns the number of prompt tokens; the stand-in counts words."""
    return max(1, len(prompt.split()))


def list_completion_tokens(
    model: str, prompt: str, fixed_count: int
) -> list[str]:
    """Returns all tokens of the completion of a prompt.

    Each token is a word and a space.

    Args:
      model: The model's name.
      prompt: The prompt.
      fixed_count: The number of tokens; 0 derives it from the prompt.
    """
    text = f"{model}\n{prompt}".encode()
    digest = hashlib.blake2b(text, digest_size=16).digest()
    spread = int.from_bytes(digest[:4]) % _COMPLETION_TOKENS_SPREAD
    count = fixed_count or _MIN_COMPLETION_TOKENS + spread
    return [_choose_token(digest, index) for index in range(count)]


def _choose_token(digest: bytes, index: int) -> str:
    """Returns token `index` of the completion with this digest."""
    seed = digest + index.to_bytes(4)
    choice = hashlib.blake2b(seed, digest_size=2).digest()
    return _WORDS[int.from_bytes(choice) % len(_WORDS)] + " "


def hash_prefix_blocks(salt: str, prompt: str) -> list[str]:
    """Returns a digest of each prefix of a prompt that ends at a block's end.

    A last block that is incomplete has no digest.

    Args:
      salt: Part of each digest, so that client accounts with different salts
        share no cached blocks.
      prompt: The prompt.
    """
    words = prompt.split()
    digest = hashlib.blake2b(salt.encode(), digest_size=8)
    blocks = []
    for start in range(0, len(words) - WORDS_PER_BLOCK + 1, WORDS_PER_BLOCK):
        digest.update(" ".join(words[start : start + WORDS_PER_BLOCK]).encode())
        blocks.append(digest.hexdigest())
    return blocks
