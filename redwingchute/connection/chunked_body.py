"""Decodes chunked bodies (RFC 9112, section 7.1) in bounded steps.

A parser of events costs one event for each chunk; this one takes all chunks of
a step at once. It accepts what h11 accepts, except for carriage returns within
chunk extensions.
"""

import re

# The size of a chunk, its extension and the end of its line.
_CHUNK_HEADER = re.compile(
    rb"([0-9A-Fa-f]{1,20})(?:;[^\r\n]*)?[ \t]*\r\n", re.DOTALL
)
_LINE_END = b"\r\n"
# The framing that a body may have besides a multiple of its content.
_MAX_FRAMING_BYTES = 256 * 1024
_MAX_FRAMING_RATIO = 16


class MalformedBodyError(Exception):
    """The bytes are no chunked body.

    Attributes:
      is_oversized: Whether a line or the framing is too long.
    """

    def __init__(self, message: str, is_oversized: bool = False) -> None:
        """Creates the error with the part of the body that is malformed."""
        super().__init__(message)
        self.is_oversized = is_oversized


class ChunkedDecoder:
    """Decodes one body.

    Attributes:
      is_last: Whether the last chunk was decoded; its trailers follow.
      needs_data: Whether the bytes given so far have no further chunk.
    """

    def __init__(self, max_line_bytes: int) -> None:
        """Creates a decoder at the begin of a body.

        Args:
          max_line_bytes: The longest line before a chunk.
        """
        self._max_line_bytes = max_line_bytes
        self._left_bytes = 0
        # Whether the end of the line behind a chunk's content is due.
        self._awaits_end = False
        self._content_bytes = 0
        self._framing_bytes = 0
        self.is_last = False
        self.needs_data = False

    def decode(self, received: bytearray, max_chunks: int) -> bytes:
        """Removes chunks from received bytes and returns their content.

        Args:
          received: The bytes that are not decoded yet.
          max_chunks: How many chunks are decoded at the most.

        Raises:
          MalformedBodyError: The bytes are no chunked body.
        """
        parts: list[bytearray] = []
        position = 0
        self.needs_data = False
        for _ in range(max_chunks):
            position = self._pass_content(received, position, parts)
            if self.needs_data:
                break
            header = _CHUNK_HEADER.match(received, position)
            if header is None:
                self._check_partial_line(received, position)
                self.needs_data = True
                break
            position = header.end()
            self._left_bytes = int(header[1], 16)
            if not self._left_bytes:
                self.is_last = True
                break
            self._awaits_end = True
        del received[:position]
        content = b"".join(parts)
        self._content_bytes += len(content)
        self._framing_bytes += position - len(content)
        if self._framing_bytes > (
            _MAX_FRAMING_BYTES + _MAX_FRAMING_RATIO * self._content_bytes
        ):
            raise MalformedBodyError("the body is mostly framing", True)
        return content

    def _pass_content(
        self, received: bytearray, position: int, parts: list[bytearray]
    ) -> int:
        """Takes the rest of the present chunk; returns the position behind."""
        if not self._awaits_end:
            return position
        if self._left_bytes:
            part = received[position : position + self._left_bytes]
            parts.append(part)
            position += len(part)
            self._left_bytes -= len(part)
        end = received[position : position + len(_LINE_END)]
        if not _LINE_END.startswith(end):
            raise MalformedBodyError("a chunk does not end where it should")
        if len(end) < len(_LINE_END):
            self.needs_data = True
            return position
        self._awaits_end = False
        return position + len(_LINE_END)

    def _check_partial_line(self, received: bytearray, position: int) -> None:
        """Checks that bytes may be the begin of a chunk's first line."""
        if received.find(_LINE_END, position) >= 0:
            raise MalformedBodyError("illegal chunk header")
        if len(received) - position > self._max_line_bytes:
            raise MalformedBodyError("a line of the body is too long", True)
