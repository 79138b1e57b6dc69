"""Implements the shared log with the platform's store.

A call that the store refuses has no effect. A call without a response may have
taken effect, or may do so later; its connection is closed.
"""

import base64
import dataclasses
import json
import struct
from typing import Any
import urllib.parse

from redwingchute.connection import body_pace
from redwingchute.connection import http_client
from redwingchute.core import untrusted
from redwingchute.process import read_size
from redwingchute.process import shared_log

# How long a call may take until its response begins, in addition to the wait
# that it requests. The store responds within milliseconds, or within tens to
# hundreds of milliseconds when it is slow.
CALL_TIMEOUT_MS = 1_500
# A slower transfer is given up: a link of 5 Mbit/s, the narrowest one in use,
# carries nearly twenty times as much.
_MIN_BYTES_PER_S = 32 * 1024
_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# The store keeps the newest record of each key only in topics whose names begin
# with this.
TOPIC_PREFIX = "keyed."
# Topics have partitions; all records of the routers are in this one.
_PARTITION = 0
# The length that precedes each record.
_LENGTH = struct.Struct(">I")
# The end offset and the first retained offset, which precede the records of a
# read.
_OFFSETS = struct.Struct(">QQ")
_ERA_HEADER = "store-era"


class StoreClient:
    """Calls the platform's store; implements `shared_log.SharedLog`."""

    def __init__(
        self,
        pool: http_client.ClientPool,
        address: http_client.Address,
        size: read_size.ReadSize | None = None,
    ) -> None:
        """Creates a client.

        Args:
          pool: The connections to the store.
          address: The address of the store.
          size: How much a read asks for; None for that of a wide link.
        """
        self._pool = pool
        self._address = address
        self._size = size or read_size.ReadSize(read_size.ReadLimits())

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        """Appends records; see `shared_log.SharedLog`."""
        query = {
            "topic": TOPIC_PREFIX + topic,
            "part": _PARTITION,
            "producer": stamp.producer,
            "epoch": stamp.epoch,
            "sequence": stamp.sequence,
        }
        if at is not None:
            query["at"] = at.offset
        body = b"".join(map(_encode_record, records))
        fetched = await self._call("POST", "/v1/log-append", query, body, 0)
        if isinstance(fetched, shared_log.LogUnavailable):
            return fetched
        return _decode_append_response(fetched)

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        """Reads records; see `shared_log.SharedLog`."""
        query = {
            "topic": TOPIC_PREFIX + topic,
            "part": _PARTITION,
            "source": position.offset,
            "maxReadKb": self._size.choose_bytes() // 1024,
        }
        if wait_ms:
            query["waitMs"] = wait_ms
        fetched = await self._call(
            "GET",
            "/v1/log-read",
            query,
            b"",
            wait_ms,
            response_timeout_ms or CALL_TIMEOUT_MS,
        )
        if isinstance(fetched, shared_log.LogUnavailable):
            return fetched
        if fetched.status == 410:
            return shared_log.HistoryGone(_read_era(fetched))
        if fetched.status == 404:
            # The topic is created by its first append.
            return shared_log.ReadRecords(
                (),
                shared_log.LogPosition(_read_era(fetched), position.offset),
            )
        if fetched.status != 200:
            return _make_refusal(fetched)
        return _decode_records(fetched, position.offset)

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        """Reads the newest records; see `shared_log.SharedLog`."""
        query: dict[str, Any] = {
            "topic": TOPIC_PREFIX + topic,
            "part": _PARTITION,
        }
        records: list[shared_log.KeyedRecord] = []
        received_bytes = 0
        next_position: shared_log.LogPosition | None = None
        while True:
            fetched = await self._call("GET", "/v1/log-newest", query, b"", 0)
            if isinstance(fetched, shared_log.LogUnavailable):
                received_bytes += fetched.received_bytes
                return dataclasses.replace(
                    fetched, received_bytes=received_bytes
                )
            received_bytes += len(fetched.body)
            era = _read_era(fetched)
            if next_position is not None and next_position.era != era:
                return shared_log.LogUnavailable(
                    "the era changed between two pages", era=era
                )
            if fetched.status == 404:
                return shared_log.Newest((), shared_log.LogPosition(era, 0))
            if fetched.status != 200:
                return _make_refusal(fetched)
            try:
                page = json.loads(fetched.body)
                entries = page["entries"]
                records += filter(None, map(_decode_entry, entries))
                # The pages together are no snapshot. A reader continues from
                # the end offset of the first page, so that it misses nothing.
                if next_position is None:
                    next_position = shared_log.LogPosition(
                        era, int(page["endOffset"])
                    )
                has_more = bool(page.get("hasMore")) and bool(entries)
                if has_more:
                    query["after"] = str(entries[-1]["key"])
            except untrusted.DECODE_ERRORS as error:
                return shared_log.LogUnavailable(
                    f"malformed page: {error}", era=era
                )
            if not has_more:
                return shared_log.Newest(
                    tuple(records), next_position, received_bytes
                )

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes,
        wait_ms: int,
        response_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> http_client.Fetched | shared_log.LogUnavailable:
        """Sends one request on a pooled connection.

        Returns:
          The response, or `LogUnavailable` if there is none.
        """
        headers = [("content-type", "application/octet-stream")] if body else []
        fetched = await self._pool.fetch(
            self._address,
            method,
            f"{path}?{urllib.parse.urlencode(query, errors='replace')}",
            headers,
            body,
            wait_ms + response_timeout_ms,
            _MAX_RESPONSE_BYTES,
            body_pace.BodyPace(
                response_timeout_ms, _MIN_BYTES_PER_S, self._size.limits.keep_ms
            ),
        )
        match fetched:
            case http_client.Fetched():
                self._size.record(len(fetched.body), fetched.body_ms)
                return fetched
            case http_client.ConnectFailed(message):
                return shared_log.LogUnavailable(message)
            case http_client.ExchangeBroken() as broken:
                self._size.record(broken.received_bytes, broken.body_ms)
                return shared_log.LogUnavailable(
                    broken.message,
                    may_have_run=True,
                    received_bytes=broken.received_bytes,
                )


def _encode_record(record: shared_log.KeyedRecord) -> bytes:
    """Returns a record as it is appended: lengths, key and value.

    The format is a 32-bit length of the rest, an 8-bit length of the key, the
    key and the value.
    """
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _decode_append_response(
    fetched: http_client.Fetched,
) -> shared_log.AppendResult:
    """Returns the result of an append from its response."""
    era = _read_era(fetched)
    try:
        fields = json.loads(fetched.body) if fetched.body else {}
        match fetched.status:
            case 200:
                return shared_log.Appended(
                    shared_log.LogPosition(era, int(fields["endOffset"]))
                )
            case 412:
                return shared_log.ConditionFailed(
                    shared_log.LogPosition(era, int(fields["endOffset"]))
                )
            case 409 if fields.get("reason") == "fenced":
                return shared_log.Fenced(era)
            case 409:
                expected = fields.get("sequence", fields.get("next"))
                return shared_log.WrongSequence(int(str(expected)), era)
    except untrusted.DECODE_ERRORS as error:
        return shared_log.LogUnavailable(
            f"malformed response with status {fetched.status}: {error}",
            may_have_run=True,
            era=era,
        )
    return _make_refusal(fetched)


def _make_refusal(fetched: http_client.Fetched) -> shared_log.LogUnavailable:
    """Returns the result of a call that the store refused."""
    return shared_log.LogUnavailable(
        f"the store refused the call with status {fetched.status}",
        era=_read_era(fetched),
    )


def _read_era(fetched: http_client.Fetched) -> int:
    """Returns the era of the store; 0 for a store that does not send it."""
    text = fetched.headers.get(_ERA_HEADER, "")
    return int(text) if text.isascii() and text.isdigit() else 0


def _decode_records(
    fetched: http_client.Fetched, offset: int
) -> shared_log.ReadResult:
    """Decodes the response to a read of a topic.

    Args:
      fetched: The response; its body holds the end offset and the first
        retained offset of the topic, then the records.
      offset: The offset from which the read started.
    """
    body, era = fetched.body, _read_era(fetched)
    if len(body) < _OFFSETS.size:
        return shared_log.LogUnavailable("the response is too short", era=era)
    end_offset, first_offset = _OFFSETS.unpack_from(body)
    # A read from before the first retained record returns records from there.
    next_offset = max(offset, first_offset)
    records = []
    position = _OFFSETS.size
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + size]
        if len(content) < size:
            break
        position += size
        records.append(_decode_content(content, next_offset))
        next_offset += 1
    return shared_log.ReadRecords(
        tuple(records),
        shared_log.LogPosition(era, next_offset),
        records_left=max(0, end_offset - next_offset),
        received_bytes=len(body),
    )


def _decode_content(content: bytes, offset: int) -> shared_log.KeyedRecord:
    """Decodes one record's key and value; one without a key has an empty key.

    The records of a read have consecutive offsets.
    """
    if not content or len(content) < 1 + content[0]:
        return shared_log.KeyedRecord("", None, offset)
    key_end = 1 + content[0]
    key = content[1:key_end].decode("utf-8", "replace")
    return shared_log.KeyedRecord(key, content[key_end:] or None, offset)


def _decode_entry(entry: Any) -> shared_log.KeyedRecord | None:
    """Decodes one entry of a page; returns None if it is malformed."""
    try:
        value = base64.b64decode(entry.get("value") or "")
        return shared_log.KeyedRecord(
            str(entry["key"]), value or None, int(entry["offset"])
        )
    except untrusted.DECODE_ERRORS:
        return None
