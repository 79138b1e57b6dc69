"""Joins the streams of all attempts at a request into one stream.

If an upstream interrupts a stream, the next attempt continues after the text
that the caller received. Only whole events are delivered, so that this text is
known exactly. The caller receives one stream with one id, and a usage that
counts the output of all attempts.
"""

import json
from typing import Any

from redwingchute.request import chat_event
from redwingchute.request import event_stream


class StreamTranscript:
    """The stream that a caller receives for one request.

    Attributes:
      text: The output text that was delivered.
      output_tokens: The number of tokens that were delivered. An event with
        text counts as one token.
      is_done: Whether the stream of the current attempt is complete.
    """

    def __init__(self, max_output_tokens: int) -> None:
        """Creates a stream of which nothing was delivered.

        Args:
          max_output_tokens: The output limit of the whole response.
        """
        self.text = ""
        self.output_tokens = 0
        self.is_done = False
        self._max_output_tokens = max_output_tokens
        self._splitter = event_stream.EventSplitter()
        self._held_events = bytearray()
        self._usage: chat_event.Usage | None = None
        # The tokens that were delivered before the current attempt.
        self._earlier_tokens = 0
        self._attempt_count = 0
        self._stream_id: object = None
        # The number of the attempt whose first event gave the stream its id, 0
        # before the first event.
        self._id_source_attempt = 0

    @property
    def is_oversized(self) -> bool:
        """Whether an event exceeds the maximum size."""
        return self._splitter.is_oversized

    @property
    def remaining_tokens(self) -> int:
        """The number of tokens that the next attempt may produce."""
        return self._max_output_tokens - self.output_tokens

    @property
    def attempt_tokens(self) -> int:
        """The number of tokens that the current attempt delivered."""
        return self.output_tokens - self._earlier_tokens

    @property
    def usage(self) -> chat_event.Usage | None:
        """The usage of the whole response, None until it is reported."""
        if self._usage is None:
            return None
        return chat_event.Usage(
            self._usage.prompt_tokens,
            self._earlier_tokens + self._usage.output_tokens,
        )

    def begin_attempt(self) -> None:
        """Begins the stream of the next attempt.

        Discards the events of the previous attempt that were not delivered.
        """
        self._splitter = event_stream.EventSplitter()
        self._held_events.clear()
        self._usage = None
        self._earlier_tokens = self.output_tokens
        self._attempt_count += 1
        self.is_done = False

    def process_chunk(self, chunk: bytes) -> bytes:
        """Processes bytes of the current attempt.

        The event that ends the output and all later events are held back until
        `pop_held` is called.

        Returns:
          The bytes to deliver now.
        """
        output = bytearray()
        for raw in self._splitter.split(chunk):
            event = chat_event.parse_chat_event(raw)
            self._usage = event.usage or self._usage
            self.is_done = self.is_done or event.is_done
            is_end = event.is_done or event.is_finish or event.usage is not None
            if is_end or self._held_events:
                self._held_events += self._render(event)
                # The text of a held event is delivered with it at the end, and
                # not counted here.
                continue
            if self._attempt_count > 1 and not event.text:
                # An event without text, such as the one that opens a stream, is
                # delivered from the first attempt only.
                continue
            output += self._render(event)
            if event.text:
                self.text += event.text
                self.output_tokens += 1
        return bytes(output)

    def pop_held(self) -> bytes:
        """Returns and clears the held events; called after settlement."""
        held = bytes(self._held_events)
        self._held_events.clear()
        return held

    def end_at_token_limit(self) -> None:
        """Ends a stream that was interrupted after its last allowed token."""
        fields = {
            "id": self._stream_id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
        }
        self._held_events.clear()
        self._held_events += b"data: " + json.dumps(fields).encode() + b"\n\n"
        self._held_events += b"data: [DONE]\n\n"

    def _render(self, event: chat_event.ChatEvent) -> bytes:
        """Returns the bytes of an event for the caller.

        Events of later attempts get the id of the first delivered event, and a
        usage that counts the output of all attempts.
        """
        if event.is_done or self._attempt_count == self._id_source_attempt:
            return event.raw
        fields = _read_fields(event.raw)
        if fields is None:
            return event.raw
        if self._id_source_attempt == 0:
            # The id of the first delivered event is the id of the stream.
            self._id_source_attempt = self._attempt_count
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
    """Returns the JSON object of an event, or None if it has none."""
    payload = raw.strip().removeprefix(b"data:")
    try:
        fields = json.loads(payload)
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None
