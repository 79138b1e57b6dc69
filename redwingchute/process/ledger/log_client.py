"""A client of the platform's log service over HTTP.

It distinguishes an append whose outcome is unknown from one that had no effect,
since only the latter may be sent again without first reading the stream.
"""

import base64
import binascii
import json
from typing import Any

from redwingchute.connection import body_pace
from redwingchute.connection import http_client
from redwingchute.process.ledger import log_outcomes

_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_SERVER_ERROR = 500
# How long the response to a read may take to begin, beyond the time for which
# the service may delay it.
_READ_MARGIN_MS = 5_000
# How slowly a page of records may arrive, or a record be sent.
_MIN_BYTES_PER_S = 32 * 1024


class LogClient:
    """Appends to and reads the streams of the log service.

    Attributes:
      append_count: The number of appends attempted.
    """

    def __init__(
        self,
        pool: http_client.ClientPool,
        address: http_client.Address,
        append_timeout_ms: int = 5_000,
    ) -> None:
        """Creates a client.

        Args:
          pool: The pool of connections.
          address: The address of the service.
          append_timeout_ms: The time after which the outcome of an append
            counts as unknown.
        """
        self._pool = pool
        self._address = address
        self._append_timeout_ms = append_timeout_ms
        self.append_count = 0

    async def append(
        self, stream: str, body: bytes
    ) -> log_outcomes.AppendOutcome:
        """Appends one record to a stream."""
        self.append_count += 1
        fetched = await self._pool.fetch(
            self._address,
            "POST",
            f"/streams/{stream}/records",
            [("content-type", "application/octet-stream")],
            body,
            self._append_timeout_ms,
            pace=body_pace.BodyPace(self._append_timeout_ms, _MIN_BYTES_PER_S),
        )
        match fetched:
            case http_client.ConnectFailed(message):
                return log_outcomes.LogUnreachable(message)
            case http_client.ExchangeBroken(message):
                return log_outcomes.AppendUnknown(message)
            case http_client.Fetched(status, _, content):
                return _parse_append_response(status, content)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> log_outcomes.ReadOutcome:
        """Reads records of a stream.

        Args:
          stream: The stream's name.
          from_offset: The offset of the first record to read.
          limit: The most records to return.
          wait_ms: How long the service waits for a record if there is none.
        """
        fetched = await self._pool.fetch(
            self._address,
            "GET",
            f"/streams/{stream}/records"
            f"?from={from_offset}&limit={limit}&wait_ms={wait_ms}",
            [],
            b"",
            wait_ms + _READ_MARGIN_MS,
            pace=body_pace.BodyPace(_READ_MARGIN_MS, _MIN_BYTES_PER_S),
        )
        match fetched:
            case http_client.ConnectFailed(message):
                return log_outcomes.LogUnreachable(message)
            case http_client.ExchangeBroken(message):
                return log_outcomes.LogUnreachable(message)
            case http_client.Fetched(status, _, content):
                return _parse_read_response(status, content)


def _parse_append_response(
    status: int, content: bytes
) -> log_outcomes.AppendOutcome:
    """Returns the outcome of an append from the response of the service."""
    if status == _HTTP_OK:
        fields = _parse_object(content)
        offset = fields.get("offset") if fields is not None else None
        if isinstance(offset, int):
            return log_outcomes.Appended(offset)
        return log_outcomes.AppendUnknown("the response has no offset")
    if status >= _HTTP_SERVER_ERROR:
        return log_outcomes.AppendUnknown(f"the log returned {status}")
    return log_outcomes.LogUnreachable(f"the log returned {status}")


def _parse_read_response(
    status: int, content: bytes
) -> log_outcomes.ReadOutcome:
    """Returns the outcome of a read from the response of the service."""
    if status not in (_HTTP_OK, _HTTP_GONE):
        return log_outcomes.LogUnreachable(f"the log returned {status}")
    fields = _parse_object(content)
    if fields is None:
        return log_outcomes.LogUnreachable("the response is not JSON")
    try:
        first, next_offset = int(fields["first"]), int(fields["next"])
        if status == _HTTP_GONE:
            return log_outcomes.Trimmed(first, next_offset)
        records = tuple(
            log_outcomes.LogRecord(
                int(item["offset"]),
                base64.b64decode(item["data"], validate=True),
            )
            for item in fields["records"]
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        return log_outcomes.LogUnreachable(f"malformed response: {error}")
    return log_outcomes.Page(first, next_offset, records)


def _parse_object(content: bytes) -> dict[str, Any] | None:
    """Returns the JSON object in a body, or None if it has none."""
    try:
        fields = json.loads(content)
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None
