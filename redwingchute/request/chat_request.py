"""Parses chat completion requests and computes upper bounds of their cost."""

import json
from typing import Any

import attrs

from redwingchute.core import configuration
from redwingchute.core import outcomes

# The upper bound of the prompt in tokens is its size in bytes, since a token is
# at least one byte, plus the tokens that the chat format adds to each message.
_TOKENS_PER_MESSAGE = 16
_MAX_OUTPUT_TOKENS = 1_000_000


@attrs.frozen
class ChatRequest:
    """A checked chat completion request.

    Attributes:
      model: The model of the configuration in force.
      prompt: The roles and texts of all messages.
      is_streamed: Whether the caller requested server-sent events.
      max_output_tokens: The maximum output in tokens.
      bound_tokens: The maximum cost in budget tokens.
      fields: The JSON fields of the request, to be forwarded.
    """

    model: configuration.Model
    prompt: str
    is_streamed: bool
    max_output_tokens: int
    bound_tokens: int
    fields: dict[str, Any]


def parse_chat_request(
    body: bytes,
    current: configuration.Configuration,
    account: configuration.ClientAccount,
) -> ChatRequest | outcomes.NotRun:
    """Parses the body of `POST /v1/chat/completions`.

    Args:
      body: The JSON body.
      current: The configuration in force.
      account: The client account of the caller.

    Returns:
      The request, or the refusal of a malformed one.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return _refuse("The body is not JSON.")
    if not isinstance(fields, dict):
        return _refuse("The body must be a JSON object.")
    model = _find_model(fields.get("model"), current, account)
    if isinstance(model, outcomes.NotRun):
        return model
    prompt = _read_prompt(fields.get("messages"))
    if isinstance(prompt, outcomes.NotRun):
        return prompt
    max_tokens = _read_max_tokens(fields, model)
    if isinstance(max_tokens, outcomes.NotRun):
        return max_tokens
    is_streamed = fields.get("stream", False)
    if not isinstance(is_streamed, bool):
        return _refuse("'stream' must be true or false.")
    if fields.get("n", 1) != 1:
        return _refuse("'n' must be 1.")
    message_count = len(fields["messages"])
    prompt_bound = len(prompt.encode()) + _TOKENS_PER_MESSAGE * message_count
    return ChatRequest(
        model,
        prompt,
        is_streamed,
        max_tokens,
        prompt_bound * model.prompt_price + max_tokens * model.output_price,
        fields,
    )


def _refuse(message: str) -> outcomes.NotRun:
    """Returns the refusal of a malformed request."""
    return outcomes.NotRun(400, "bad_request", message)


def _find_model(
    name: Any,
    current: configuration.Configuration,
    account: configuration.ClientAccount,
) -> configuration.Model | outcomes.NotRun:
    """Returns a model by name, or a refusal if the account may not use it."""
    if not isinstance(name, str):
        return _refuse("'model' must be a string.")
    for model in current.models:
        if model.name == name and name in account.models:
            return model
    return outcomes.NotRun(
        404, "unknown_model", f"The account has no model '{name}'."
    )


def _read_prompt(messages: Any) -> str | outcomes.NotRun:
    """Returns the roles and texts of all messages, one message per line."""
    if not isinstance(messages, list) or not messages:
        return _refuse("'messages' must be a non-empty list.")
    texts = []
    for position, message in enumerate(messages):
        if not isinstance(message, dict):
            return _refuse(f"'messages[{position}]' must be an object.")
        content = message.get("content")
        role = message.get("role")
        if not isinstance(content, str) or not isinstance(role, str):
            return _refuse(
                f"'messages[{position}]' must have a string role and content."
            )
        texts.append(f"{role}: {content}")
    try:
        "\n".join(texts).encode()
    except UnicodeEncodeError:
        return _refuse("The messages contain text that is not valid Unicode.")
    return "\n".join(texts)


def _read_max_tokens(
    fields: dict[str, Any], model: configuration.Model
) -> int | outcomes.NotRun:
    """Returns the maximum output in tokens, by default that of the model."""
    value = fields.get("max_completion_tokens", fields.get("max_tokens"))
    if value is None:
        return model.max_output_tokens
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if not is_number or not 1 <= value <= _MAX_OUTPUT_TOKENS:
        return _refuse(
            f"'max_tokens' must be an integer from 1 to {_MAX_OUTPUT_TOKENS}."
        )
    return int(value)
