"""Stand-ins and helpers for the scripts of the second review.

One process runs the stand-ins: the platform's store, runners and clients. The
project's routers are separate processes, started with the command of
deploy/system.toml. Only the standard library is used.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def now_ms() -> int:
    """Returns the time of day in milliseconds."""
    return time.time_ns() // 1_000_000


class Record:
    """Writes what was sent, answered and run to record.txt, and keeps it."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.begin_s = time.monotonic()
        self.events: list[dict] = []

    def add(self, event: str, **fields) -> dict:
        at_ms = int(1000 * (time.monotonic() - self.begin_s))
        line = {"at_ms": at_ms, "event": event, **fields}
        self.events.append(line)
        text = " ".join(f"{key}={value}" for key, value in line.items())
        self.file.write(text + "\n")
        self.file.flush()
        return line

    def find(self, event: str) -> list[dict]:
        return [line for line in self.events if line["event"] == event]


# --- HTTP -------------------------------------------------------------------


class Message:
    """The head and body of a request or a response."""

    def __init__(self, first: str, fields: list[tuple[str, str]], body: bytes):
        self.first = first
        self.fields = fields
        self.headers = {name.lower(): value for name, value in fields}
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")[:-2]
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name, value.strip()))
    return Message(lines[0], fields, b"")


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Reads the body that a head announces."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                return body
    return await reader.readexactly(int(head.headers.get("content-length", 0)))


def encode_response(
    status: int, fields: list[tuple[str, str]], body: bytes
) -> bytes:
    lines = [f"HTTP/1.1 {status} Reason"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# --- The platform's store ---------------------------------------------------


class _Topic:
    """A keyed topic with one partition."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, tuple[bytes, int]] = {}
        self.producers: dict[str, dict] = {}
        self.grown = asyncio.Event()

    def append(self, records: list[tuple[bytes, bytes]]) -> None:
        for key, value in records:
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, len(self.records))
            self.records.append((key, value))
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()


class Store:
    """The platform's store, by PROTOCOL.md; it is sound unless told otherwise.

    `intercept(method, path, query)` may be set: it is awaited before a call and
    returns None, or bytes to send instead of the answer (b"" closes).
    """

    def __init__(self) -> None:
        self.topics: dict[str, _Topic] = collections.defaultdict(_Topic)
        self.intercept = None
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def write(self, topic: str, key: str, value) -> None:
        """Writes a record as the operator or a runner does; None removes."""
        raw = b"" if value is None else json.dumps(value).encode()
        self.topics[f"keyed.{topic}"].append([(key.encode(), raw)])

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ")
                path, _, raw_query = target.partition("?")
                query = _parse_query(raw_query)
                answer = None
                if self.intercept is not None:
                    answer = await self.intercept(method, path, query)
                if answer is None:
                    answer = await self._answer(path, query, body)
                if not answer:
                    break
                writer.write(answer)
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, query: dict, body: bytes) -> bytes:
        topic = self.topics[query.get("topic", "")]
        if path == "/v1/log-append":
            return self._append(query["topic"], topic, query, body)
        if path == "/v1/log-newest":
            return self._newest(topic, query)
        if path == "/v1/log-read":
            return await self._read(topic, query)
        return _json(404, {})

    def _append(self, name, topic, query, body) -> bytes:
        if name in ("keyed.op", "keyed.servers"):
            return _json(403, {})
        records = []
        while body:
            (size,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + size], body[4 + size :]
            end = 1 + content[0]
            records.append((content[1:end], content[end:]))
        epoch = int(query.get("epoch", 0))
        sequence = int(query.get("sequence", 0))
        state = None
        if "producer" in query:
            state = topic.producers.get(query["producer"])
            if state is not None and epoch < state["epoch"]:
                return _json(409, {"reason": "fenced"})
            if state is None or epoch > state["epoch"]:
                state = {"epoch": epoch, "next": None, "answers": {}}
            elif sequence in state["answers"]:
                return state["answers"][sequence]
            elif state["next"] not in (None, sequence):
                return _json(
                    409, {"reason": "seq", "sequence": state["next"]}
                )
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return _json(412, {"endOffset": end})
        topic.append(records)
        answer = _json(200, {"offset": end, "endOffset": len(topic.records)})
        if state is not None:
            topic.producers[query["producer"]] = state
            if records:
                state["next"] = sequence + 1
                state["answers"][sequence] = answer
                while len(state["answers"]) > 5:
                    del state["answers"][min(state["answers"])]
        return answer

    def _newest(self, topic, query) -> bytes:
        after = query.get("after", "").encode()
        found = sorted(key for key in topic.newest if key > after)
        page = found[:500]
        return _json(
            200,
            {
                "entries": [
                    {
                        "key": key.decode(errors="replace"),
                        "value": base64.b64encode(topic.newest[key][0]).decode(),
                        "offset": topic.newest[key][1],
                    }
                    for key in page
                ],
                "hasMore": len(found) > len(page),
                "endOffset": len(topic.records),
            },
        )

    async def _read(self, topic, query) -> bytes:
        source = int(query["source"])
        wait_s = min(int(query.get("waitMs", 0)), 30_000) / 1000
        if wait_s and source >= len(topic.records):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await topic.grown.wait()
        body = struct.pack(">QQ", len(topic.records), 0)
        max_bytes = 1024 * int(query.get("maxReadKb", 1_024))
        for key, value in topic.records[source:]:
            content = bytes([len(key)]) + key + value
            if len(body) + len(content) > max_bytes:
                break
            body += struct.pack(">I", len(content)) + content
        return encode_response(
            200, [("Content-Type", "application/octet-stream")], body
        )


def _parse_query(raw: str) -> dict[str, str]:
    import urllib.parse

    return dict(urllib.parse.parse_qsl(raw, keep_blank_values=True))


def _json(status: int, fields: dict) -> bytes:
    return encode_response(
        status,
        [("Content-Type", "application/json")],
        json.dumps(fields).encode(),
    )


# --- Runners ----------------------------------------------------------------


class Runner:
    """A runner of one service; `behave` decides how it answers.

    `behave(runner, request, reader, writer)` is awaited for each request that
    it runs, and returns whether the channel is kept.
    """

    def __init__(self, record, store, runner_id, service, zone, behave=None,
                 slots=64, work_ms=20, event_ms=10, stride=5):
        self.record, self.store = record, store
        self.id, self.service, self.zone = runner_id, service, zone
        self.behave = behave or plain_or_stream
        self.slots, self.work_ms, self.event_ms = slots, work_ms, event_ms
        self.stride = stride
        self.sequence = 0
        self.born = now_ms()
        self.state = "ready"
        self.port = 0
        self.server = None
        self.beats: asyncio.Task | None = None
        self.writers: set = set()

    async def start(self, beats: bool = True) -> None:
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        if beats:
            self.beats = asyncio.ensure_future(self._beat())

    def make_entry(self) -> dict:
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "phase": "mixed",
            "modelList": [{"name": "m", "version": 1, "loras": []}],
            "sequence": self.sequence,
            "born": self.born,
        }

    def write_entry(self) -> None:
        entry = self.make_entry()
        self.store.write("servers", self.id, entry)
        self.record.add(
            "beat", runner=self.id, state=self.state, sequence=self.sequence
        )

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                if not await self._handle(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request, reader, writer) -> bool:
        target = request.first.split(" ")[1]
        if target == "/healthz":
            writer.write(encode_response(200, [("Instance-Id", self.id)], b""))
            return True
        attempt = request.headers.get("attempt-id", "")
        if request.headers.get("target-instance", self.id) != self.id:
            self.record.add("rejected", runner=self.id, attempt=attempt)
            writer.write(
                encode_response(
                    421,
                    [("Attempt-Id", attempt), ("Instance-Id", self.id)],
                    b"",
                )
            )
            return True
        self.record.add(
            "ran",
            runner=self.id,
            attempt=attempt,
            target=target,
            tenant=request.headers.get("tenant", ""),
            deadline=request.headers.get("deadline-ms", ""),
            resumed=request.headers.get("last-event-id", ""),
            body_bytes=len(request.body),
        )
        return await self.behave(self, request, reader, writer)

    async def end(self) -> None:
        """Ends as a process does: nothing listens, all channels are closed."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.add("runner_ended", runner=self.id)


async def plain_or_stream(runner, request, reader, writer) -> bool:
    """Answers as a sound runner: a stream for a generation, else a body."""
    attempt = request.headers.get("attempt-id", "")
    fields = [("Attempt-Id", attempt), ("Runner-Signature", f"s.{attempt}")]
    usage = request.headers.get("token-usage")
    if usage is None:
        await asyncio.sleep(runner.work_ms / 1000)
        body = f"answer to {attempt}".encode()
        writer.write(encode_response(200, fields, body))
        await writer.drain()
        runner.record.add("answered", runner=runner.id, attempt=attempt)
        return True
    return await stream(runner, request, writer, fields)


async def stream(runner, request, writer, fields) -> bool:
    """Sends all events of a generation."""
    attempt = request.headers.get("attempt-id", "")
    tokens = int(request.headers["token-usage"].split(",")[1])
    events = -(-tokens // runner.stride)
    first = int(request.headers.get("last-event-id", -1)) + 1
    head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    head += [f"{name}: {value}" for name, value in fields]
    head.append("Transfer-Encoding: chunked")
    writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
    for number in range(first, events):
        event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        if writer.is_closing():
            runner.record.add("stream_cut", runner=runner.id, attempt=attempt)
            return False
        await asyncio.sleep(runner.event_ms / 1000)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    runner.record.add("answered", runner=runner.id, attempt=attempt)
    return True


# --- Routers ----------------------------------------------------------------


class Router:
    """One process of the deploy file, with a settings file of its own."""

    def __init__(self, record, folder, store, name, zone, extra=None) -> None:
        self.record, self.folder, self.store = record, folder, store
        self.name, self.zone = name, zone
        self.ip = _pick_ip()
        self.extra = extra or {}
        self.process: asyncio.subprocess.Process | None = None
        self.output = folder / f"{name}.out"

    def write_settings(self) -> pathlib.Path:
        fields = {
            "nodeName": self.name, "role": "router", "machineClass": "edge",
            "serves": "edge", "ip": self.ip, "zone": self.zone,
            "region": "tas-south", "zones.huon": "tas-south",
            "zones.bruny": "tas-south",
            "listen.frontend": f"{self.ip}:8227",
            "listen.ready": f"{self.ip}:8220",
            "internalPorts": "7340,7355", "bootstrap": "true",
            "limits.cpuShare": "0.537", "limits.cpuCores": "2",
            "limits.memoryMb": "150", "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0", "limits.diskMb": "0",
            "discovery": "platform", "entry": "virtual_ip",
            "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,"
            "stream,tenants,platform",
            "bounds.reuseAfterS": "2", "bounds.contactMs": "3000",
            "bounds.drainMs": "2000", "bounds.graceS": "8",
            "bounds.lossSlackMs": "200", "bounds.configApplyMs": "2000",
            "bounds.rollbackSlackMs": "250", "bounds.outerMs": "5000",
            "bounds.retryBudgetRatio": "0.2", "bounds.retryWindowS": "10",
            "bounds.retrySlack": "56", "bounds.recoverS": "12",
            "platform.address": self.store.address, "platform.form": "log",
            "platform.writesPerS": "800", "platform.readsPerS": "2000",
            "platform.parts": "16", "platform.ttlMinMs": "1000",
            **self.extra,
        }
        path = self.folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        return path

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["REDWINGCHUTE_CONFIG"] = str(self.write_settings())
        with self.output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=output,
                stderr=output,
            )
        self.record.add("router_started", name=self.name)

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f"{self.name} ended")
                await asyncio.sleep(0.1)
        self.record.add("router_ready", name=self.name)

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, 8220)
                writer.write(
                    b"GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
                    b"Connection: close\r\n\r\n"
                )
                head = await read_head(reader)
                writer.close()
                return head is not None and " 200" in head.first
        except (OSError, TimeoutError):
            return False

    def signal(self, number: signal.Signals) -> None:
        self.record.add("signal", name=self.name, signal=number.name)
        self.process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> int | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        return self.process.returncode


def _pick_ip() -> str:
    """Returns a loopback address on which the ports of a router are free."""
    while True:
        ip = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.7"
        try:
            for port in (8227, 8220, 9464, 7340):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ip
        except OSError:
            continue


# --- Clients ----------------------------------------------------------------


class Answer:
    """What a client got: a status (0 for a closed channel), headers, body."""

    def __init__(self, status, headers, body, is_complete, ended_ms):
        self.status, self.headers, self.body = status, headers, body
        self.is_complete, self.ended_ms = is_complete, ended_ms


_numbers = iter(range(1, 1_000_000))


def make_attempt_id(prefix: str = "a") -> str:
    return f"{prefix}{next(_numbers):05d}{random.getrandbits(24):06x}"


async def ask(
    record, router, method, target, *, host="demo.example", key="key-1",
    attempt=None, deadline_ms=1500, fields=(), body=b"", timeout_s=None,
) -> Answer:
    """Sends one request on a channel of its own and reads its answer."""
    attempt = attempt or make_attempt_id()
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}",
             f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline_ms}",
             f"Authorization: Bearer {key}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    payload = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    record.add("sent", router=router.name, attempt=attempt, target=target)
    status, headers, content, is_complete = 0, {}, b"", False
    writer = None
    try:
        async with asyncio.timeout(timeout_s or deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(router.ip, 8227)
            writer.write(payload)
            head = await read_head(reader)
            if head is not None:
                status = int(head.first.split(" ")[1])
                headers = head.headers
                content = await read_body(reader, head)
                is_complete = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    line = record.add(
        "got", router=router.name, attempt=attempt, status=status,
        complete=is_complete, body=content[:60],
    )
    return Answer(status, headers, content, is_complete, line["at_ms"])


def make_configuration(version=1, routes=None, services=None, tenants=None):
    """Returns a configuration like that of a small deployment."""
    return {
        "version": version,
        "routes": routes or [
            make_route("post", "/post/", "non_idempotent", "ledger"),
            make_route("look", "/look/", "idempotent", "ledger", attempts=2),
            make_route("gen", "/gen/", "streaming", "llm", timeout_ms=8000,
                       target_ms=800),
        ],
        "services": services or [
            {"name": "llm", "healthPath": "/healthz", "maxConnections": 370,
             "protocol": "h1", "tls": False,
             "inferenceEngine": {"slots": 64, "kvCapacity": 464458,
                                 "stride": 5, "modelList": [{"name": "m"}]}},
            {"name": "ledger", "healthPath": "/healthz",
             "maxConnections": 110, "protocol": "h1", "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants or [
            {"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1,
             "reserved": 5_000_000}],
    }


def make_route(name, prefix, kind, service, timeout_ms=1500, target_ms=300,
               attempts=1, resumable=False, priority=1):
    return {
        "name": name, "host": "demo.example", "pathPrefix": prefix,
        "type": kind, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms,
        "priority": priority, "service": service, "maxAttempts": attempts,
        "public": False, "sticky": kind == "streaming",
        "resumable": resumable,
    }


# --- Running a case ---------------------------------------------------------


class Setting:
    """The store, runners and routers of one case."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record, self.folder = record, folder
        self.store = Store()
        self.runners: list[Runner] = []
        self.routers: list[Router] = []

    async def add_runner(self, runner_id, service, zone="huon", beats=True,
                         **options) -> Runner:
        runner = Runner(
            self.record, self.store, runner_id, service, zone, **options
        )
        await runner.start(beats)
        self.runners.append(runner)
        return runner

    def make_router(self, name, zone="huon", extra=None) -> Router:
        router = Router(
            self.record, self.folder, self.store, name, zone, extra
        )
        self.routers.append(router)
        return router

    async def close(self) -> None:
        for router in self.routers:
            process = router.process
            if process is None:
                continue
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for runner in self.runners:
            if runner.beats is not None:
                runner.beats.cancel()


def run_case(folder: pathlib.Path, case) -> None:
    """Runs `case(setting)`, which returns BROKEN or HELD, and exits with it."""
    record = Record(folder)
    work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def run() -> int:
        setting = Setting(record, work)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                await setting.store.start()
                return await case(setting)
        finally:
            await setting.close()

    # Channels that are still open at the end are of no interest.
    sys.unraisablehook = lambda _: None
    try:
        result = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.add("could_not_run", error=repr(error))
        for output in sorted(work.glob("*.out")):
            record.add("output", text=output.read_text()[-600:])
        result = COULD_NOT_RUN
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(work, keep, dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    record.add("result", exit=result, trouble=int(TROUBLE))
    record.file.close()
    sys.exit(result)
