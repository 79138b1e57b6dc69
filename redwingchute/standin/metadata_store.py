"""A stand-in of the users' metadata store, which is served over HTTP.

It serves keyed topics with one partition. Like the users' store, it refuses
appends to the topics of the operator and of the upstreams; `POST /control/put`
writes to these on their behalf.

In the bodies of appends and reads, a record is a 4-byte big-endian length, a
byte with the length of the key, the key and the value. An empty value deletes
the key.

`POST /control/copy` takes a copy of all topics, and `POST /control/restore` has
the store go away and return with that copy, which begins a new era.
"""

import asyncio
import base64
import json
import random
import struct
from typing import Any

import attrs

from redwingchute.connection import http_server
from redwingchute.process import shared_log
from redwingchute.standin import base
from redwingchute.standin import faults as faults_lib
from redwingchute.standin import keyed_log

_LENGTH = struct.Struct(">I")
_END_AND_FIRST_OFFSET = struct.Struct(">QQ")
_MAX_WAIT_MS = 30_000
_MAX_PAGE_ENTRIES = 500
_MAX_PAGE_BYTES = 1_000_000
_DEFAULT_READ_KB = 1_024
# Topics that only the operator and the upstreams may write.
_FOREIGN_TOPICS = frozenset({"keyed.op", "keyed.servers"})
_ERA_HEADER = "store-era"


@attrs.frozen
class Restoration:
    """A return of the store from an earlier copy.

    Attributes:
      after_ms: The time from the copy until the store goes away. What is
        written in this time is lost.
      away_ms: How long the store is away.
      rewrite_ms: The time from the return until the operator and the upstreams
        write their lost records again.
    """

    after_ms: int = 0
    away_ms: int = 300
    rewrite_ms: int = 1_000


def draw_restorations(seed: int, count: int) -> tuple[Restoration, ...]:
    """Returns a series of restorations that is determined by a seed."""
    generator = random.Random(seed)
    return tuple(
        Restoration(
            after_ms=generator.randint(200, 5_000),
            away_ms=generator.randint(50, 2_000),
            rewrite_ms=generator.randint(100, 1_800),
        )
        for _ in range(count)
    )


@attrs.frozen
class StoreFaults:
    """The faults of the store.

    Attributes:
      is_down: Connections are closed without a response.
      is_busy: Requests are refused with 503 and have no effect.
      slow_ms: The delay of every request.
      lose_next_answers: The number of next appends that take effect but get
        no response.
      omits_era: Responses lack the header with the era.
    """

    is_down: bool = False
    is_busy: bool = False
    slow_ms: int = 0
    lose_next_answers: int = 0
    omits_era: bool = False


class MetadataStore(base.StandIn[StoreFaults]):
    """The stand-in of the store; a context manager.

    Attributes:
      log: The topics.
      calls: The number of requests received, without those to `/control`.
    """

    def __init__(
        self,
        address: str = "127.0.0.1",
        port: int = 0,
        faults: StoreFaults | None = None,
    ) -> None:
        """Prepares an empty store on an address."""
        super().__init__(faults or StoreFaults(), address, port)
        self.log = keyed_log.KeyedLog()
        self.calls = 0
        self._copy = self.log.take_copy()
        self._append_events: dict[str, asyncio.Event] = {}

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles a request to the store."""
        self.calls += 1
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.is_down:
            raise http_server.ClientDisconnectedError
        if self.faults.is_busy:
            await self._send(responder, 503, b"")
            return
        match (request.method, request.path):
            case ("POST", "/v1/log-append"):
                await self._append(request, responder)
            case ("GET", "/v1/log-read"):
                await self._read(request.query, responder)
            case ("GET", "/v1/log-newest"):
                await self._read_newest(request.query, responder)
            case _:
                await self._send(responder, 404, b"")

    async def _send(
        self,
        responder: http_server.HttpResponder,
        status: int,
        body: bytes,
        content_type: str = "application/json",
    ) -> None:
        """Sends a response with the era of the log."""
        headers = []
        if not self.faults.omits_era:
            headers.append((_ERA_HEADER, str(self.log.era)))
        await responder.send(status, body, content_type, headers)

    async def handle_action(
        self, name: str, body: dict[str, Any]
    ) -> faults_lib.Findings | None:
        """Runs `put`, `forget`, `copy`, `restore` or `drill`.

        `put` writes a JSON `value` to a `key` of a `topic`; null deletes the
        key. `forget` deletes all records of a `topic` except the newest of each
        key. `copy` takes a copy, and `restore` returns from it after `away_ms`
        without the store. `drill` runs `count` restorations by `seed`.
        """
        match name:
            case "copy":
                self.take_copy()
                return ()
            case "restore":
                await self.restore_copy(
                    Restoration(
                        away_ms=int(body.get("away_ms", 300)),
                        rewrite_ms=int(body.get("rewrite_ms", 1_000)),
                    )
                )
                return ()
            case "drill":
                self._spawn(
                    self.run_drill(
                        draw_restorations(int(body["seed"]), int(body["count"]))
                    )
                )
                return ()
            case "put":
                value = body.get("value")
                encoded = None if value is None else json.dumps(value).encode()
                self.write_record(str(body["topic"]), str(body["key"]), encoded)
                return ()
            case "forget":
                self.log.get_or_create_topic(
                    str(body["topic"])
                ).discard_history()
                return ()
            case _:
                return None

    def take_copy(self) -> None:
        """Takes the copy from which the store returns next."""
        self._copy = self.log.take_copy()

    async def restore_copy(self, restoration: Restoration) -> None:
        """Goes away and returns from the last copy, in a new era.

        Args:
          restoration: How long the store is away, and when the records of the
            operator and of the upstreams are back.
        """
        before = self.log.take_copy()
        self.faults = attrs.evolve(self.faults, is_down=True)
        self._wake_readers()
        await asyncio.sleep(restoration.away_ms / 1000)
        self.log.restore_copy(self._copy)
        self.faults = attrs.evolve(self.faults, is_down=False)
        self._spawn(self._rewrite(before, restoration.rewrite_ms))

    async def run_drill(self, restorations: tuple[Restoration, ...]) -> None:
        """Takes a copy and returns from it, once for each restoration."""
        for restoration in restorations:
            self.take_copy()
            await asyncio.sleep(restoration.after_ms / 1000)
            await self.restore_copy(restoration)

    async def _rewrite(
        self, before: keyed_log.KeyedLog, rewrite_ms: int
    ) -> None:
        """Writes lost records of the operator and the upstreams again."""
        await asyncio.sleep(rewrite_ms / 1000)
        for topic in sorted(_FOREIGN_TOPICS & before.topics.keys()):
            newest = {
                record.key: record.value
                for record in before.topics[topic].read_newest().records
            }
            restored = {
                record.key: record.value
                for record in self.log.get_or_create_topic(topic)
                .read_newest()
                .records
            }
            for key in sorted(newest.keys() | restored.keys()):
                if newest.get(key) != restored.get(key):
                    self.write_record(topic, key, newest.get(key))

    def _wake_readers(self) -> None:
        """Ends the waits of all reads that wait for a record."""
        for event in self._append_events.values():
            event.set()

    def write_record(self, topic: str, key: str, value: bytes | None) -> None:
        """Writes a record as the operator or an upstream would."""
        self.log.get_or_create_topic(topic).append(
            (shared_log.KeyedRecord(key, value),)
        )
        self._get_or_create_event(topic).set()

    def describe(self) -> dict[str, Any]:
        """Returns the number of requests, the era and the end of each topic."""
        ends = {
            name: topic.end_offset for name, topic in self.log.topics.items()
        }
        return {"calls": self.calls, "era": self.log.era, "ends": ends}

    async def _append(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles an append."""
        query = request.query
        topic = query["topic"]
        if topic in _FOREIGN_TOPICS:
            await self._send(responder, 403, b"")
            return
        stamp = None
        if "producer" in query:
            stamp = shared_log.ProducerStamp(
                query["producer"], int(query["epoch"]), int(query["sequence"])
            )
        at_offset = int(query["at"]) if "at" in query else None
        records = tuple(_decode_records(request.body))
        result = self.log.get_or_create_topic(topic).append(
            records, stamp, at_offset
        )
        self._get_or_create_event(topic).set()
        if self.faults.lose_next_answers > 0:
            remaining = self.faults.lose_next_answers - 1
            self.faults = attrs.evolve(self.faults, lose_next_answers=remaining)
            raise http_server.ClientDisconnectedError
        status, fields = _describe_append(result)
        await self._send(responder, status, json.dumps(fields).encode())

    async def _read(
        self, query: dict[str, str], responder: http_server.HttpResponder
    ) -> None:
        """Handles a read; waits up to `waitMs` if there is no record yet."""
        topic = self.log.get_or_create_topic(query["topic"])
        offset = int(query["source"])
        wait_ms = min(int(query.get("waitMs", 0)), _MAX_WAIT_MS)
        if wait_ms and offset >= topic.end_offset:
            event = self._get_or_create_event(query["topic"])
            event.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await event.wait()
            except TimeoutError:
                pass
            if self.faults.is_down:
                raise http_server.ClientDisconnectedError
            # The store may have returned from a copy during the wait.
            topic = self.log.get_or_create_topic(query["topic"])
        result = topic.read(offset)
        if isinstance(result, shared_log.HistoryGone):
            body = json.dumps({"startOffset": topic.first_offset}).encode()
            await self._send(responder, 410, body)
            return
        assert isinstance(result, shared_log.ReadRecords)
        payload = _END_AND_FIRST_OFFSET.pack(
            topic.end_offset, topic.first_offset
        )
        max_bytes = 1024 * int(query.get("maxReadKb", _DEFAULT_READ_KB))
        for record in result.records:
            encoded = _encode_record(record)
            if len(payload) + len(encoded) > max_bytes:
                break
            payload += encoded
        await self._send(responder, 200, payload, "application/octet-stream")

    async def _read_newest(
        self, query: dict[str, str], responder: http_server.HttpResponder
    ) -> None:
        """Sends one page of the newest records, ordered by key."""
        newest = self.log.get_or_create_topic(query["topic"]).read_newest()
        after = query.get("after", "")
        records = sorted(
            (record for record in newest.records if record.key > after),
            key=lambda record: record.key,
        )
        entries: list[dict[str, Any]] = []
        page_bytes = 0
        for record in records[:_MAX_PAGE_ENTRIES]:
            value = base64.b64encode(record.value or b"").decode()
            page_bytes += len(value)
            if entries and page_bytes > _MAX_PAGE_BYTES:
                break
            entries.append(
                {"key": record.key, "value": value, "offset": record.offset}
            )
        fields = {
            "entries": entries,
            "hasMore": len(records) > len(entries),
            "endOffset": newest.next_position.offset,
        }
        await self._send(responder, 200, json.dumps(fields).encode())

    def _get_or_create_event(self, topic: str) -> asyncio.Event:
        """Returns the event that is set by each append to a topic."""
        return self._append_events.setdefault(topic, asyncio.Event())


def _describe_append(
    result: shared_log.AppendResult,
) -> tuple[int, dict[str, Any]]:
    """Returns the HTTP status and JSON fields for the result of an append."""
    match result:
        case shared_log.Appended(end):
            return 200, {"endOffset": end.offset}
        case shared_log.ConditionFailed(end):
            return 412, {"endOffset": end.offset}
        case shared_log.Fenced():
            return 409, {"reason": "fenced"}
        case shared_log.WrongSequence(expected):
            return 409, {"reason": "seq", "sequence": expected}
        case shared_log.LogUnavailable():
            return 503, {}


def _decode_records(body: bytes) -> list[shared_log.KeyedRecord]:
    """Decodes the records of an append request."""
    records = []
    position = 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + size]
        position += size
        key_end = 1 + content[0]
        key = content[1:key_end].decode()
        records.append(shared_log.KeyedRecord(key, content[key_end:] or None))
    return records


def _encode_record(record: shared_log.KeyedRecord) -> bytes:
    """Encodes a record for the response to a read."""
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def run_metadata_store(*, listen: str = "127.0.0.1:9100") -> None:
    """Run a stand-in of the users' metadata store.

    Args:
      listen: The ip:port to listen on; port 0 selects a free one.
    """
    address = base.parse_listen(listen)
    base.run_until_signal(MetadataStore(address.ip, address.port))
