"""Keeps what a caller received of a stream, over all attempts at it.

When an upstream cuts a stream, another continues from the text that was
delivered. Only whole events are delivered, so that the delivered text is
always known to the token. The caller sees one stream: one id, and one usage
that counts the output of all attempts.
"""

import json
from typing import Any

from redwingchute.request import event_stream
from redwingchute.request import sse


class StreamTranscript:
    """The events of one streamed answer.

    Attributes:
      text: The output that was delivered.
      output_tokens: How many tokens that is.
      is_done: Whether the current attempt ended its stream whole.
    """

    def __init__(self, max_output_tokens: int) -> None:
        """Starts with nothing delivered.

        Args:
          max_output_tokens: The bound of the whole answer.
        """
        self.text = ""
        self.output_tokens = 0
        self.is_done = False
        self._max_output_tokens = max_output_tokens
        self._splitter = event_stream.EventSplitter()
        self._held = bytearray()
        self._usage: sse.Usage | None = None
        self._earlier_tokens = 0
        self._attempts = 0
        self._stream_id: object = None
        self._id_attempt = 0

    @property
    def is_oversized(self) -> bool:
        """Whether an event grew beyond what is accepted."""
        return self._splitter.is_oversized

    @property
    def left_tokens(self) -> int:
        """How many tokens a continuation may still produce."""
        return self._max_output_tokens - self.output_tokens

    @property
    def attempt_tokens(self) -> int:
        """How many tokens the current attempt produced."""
        return self.output_tokens - self._earlier_tokens

    @property
    def usage(self) -> sse.Usage | None:
        """The usage of the whole answer, once the upstream told it."""
        if self._usage is None:
            return None
        return sse.Usage(
            self._usage.prompt_tokens,
            self._earlier_tokens + self._usage.output_tokens,
        )

    def begin_attempt(self) -> None:
        """Starts over with the events that were not delivered."""
        self._splitter = event_stream.EventSplitter()
        self._held.clear()
        self._usage = None
        self._earlier_tokens = self.output_tokens
        self._attempts += 1
        self.is_done = False

    def take(self, chunk: bytes) -> bytes:
        """Takes bytes of the current attempt; returns what to deliver now.

        From the event that ends the output on, events are held.
        """
        output = bytearray()
        for raw in self._splitter.split(chunk):
            event = sse.parse_chat_event(raw)
            self._usage = event.usage or self._usage
            self.is_done = self.is_done or event.is_done
            is_end = event.is_done or event.is_finish or event.usage is not None
            if is_end or self._held:
                self._held += self._render(event)
                # Output on a held event is delivered with it, at the end.
                continue
            if self._attempts > 1 and not event.text:
                continue
            output += self._render(event)
            if event.text:
                self.text += event.text
                self.output_tokens += 1
        return bytes(output)

    def release_held(self) -> bytes:
        """Returns the held end of the stream, after it was billed."""
        held = bytes(self._held)
        self._held.clear()
        return held

    def end_at_bound(self) -> None:
        """Ends a stream that was cut after the last token that it may have."""
        fields = {
            "id": self._stream_id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
        }
        self._held.clear()
        self._held += b"data: " + json.dumps(fields).encode() + b"\n\n"
        self._held += b"data: [DONE]\n\n"

    def _render(self, event: sse.ChatEvent) -> bytes:
        """Returns an event as the caller shall see it."""
        if event.is_done or self._attempts == self._id_attempt:
            return event.raw
        fields = _read_fields(event.raw)
        if fields is None:
            return event.raw
        if self._id_attempt == 0:
            # The first event that is delivered gives the stream its id.
            self._id_attempt = self._attempts
            self._stream_id = fields.get("id")
        else:
            fields["id"] = self._stream_id
        usage = self.usage
        if event.usage is not None and usage is not None:
            fields["usage"]["completion_tokens"] = usage.output_tokens
            fields["usage"]["total_tokens"] = (
                usage.prompt_tokens + usage.output_tokens
            )
        return b"data: " + json.dumps(fields).encode() + b"\n\n"


def _read_fields(raw: bytes) -> dict[str, Any] | None:
    """Returns the JSON object of an event, or None when it has none."""
    payload = raw.strip().removeprefix(b"data:")
    try:
        fields = json.loads(payload)
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None
