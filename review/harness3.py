"""Stand-ins and helpers of the third review, in one process, without libraries.

The store, the runners and the clients run in the process of a script. Routers
are processes of their own, started with the command of the deploy file. All
addresses are loopback addresses; all files are in a temporary folder.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONTACT_S = 3.0
_BALANCER_PERIOD_S = 0.1
# A script is given up, so that it ends within 120 s.
_MAX_S = 112.0
_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def now():
    """Returns the time in seconds since the Unix epoch."""
    return time.time()


class Record:
    """The record file of a case; one JSON object a line."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._begin = now()

    def add(self, event, **fields):
        line = {"at_s": round(now() - self._begin, 3), "event": event} | fields
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = text.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_sized(reader, headers):
    """Reads a body that has a length or is sent in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def reset(writer):
    """Closes a connection as a process that ends does: with a reset."""
    found = writer.get_extra_info("socket")
    if found is not None and found.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Topic:
    """A keyed topic with one partition."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, content):
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append(content)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store, as far as routers use it.

    Attributes:
      fault: Called with the method, path and query of each call; returns None,
        or what happens instead: `busy` (503), `reset`, `lost` (it is done, and
        not answered).
      is_down: Whether all calls are reset, also those of runners.
    """

    def __init__(self):
        self.topics = {}
        self.is_down = False
        self.fault = lambda method, path, query: None
        self.address = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes as the operator or a runner does; None removes the key."""
        found = self.topic(topic)
        name = key.encode()
        text = b"" if value is None else json.dumps(value).encode()
        found.add(bytes([len(name)]) + name + text)
        found.wake()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_sized(reader, headers)
                method, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text))
                fault = self.fault(method, path, query)
                if self.is_down or fault == "reset":
                    break
                if fault == "busy":
                    self._send(writer, 503, b"")
                    continue
                status, answer = await self._handle(path, query, body)
                if self.is_down or fault == "lost":
                    break
                self._send(writer, status, answer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            reset(writer)

    def _send(self, writer, status, body):
        kind = b"application/json"
        if body[:1] not in (b"{", b""):
            kind = b"application/octet-stream"
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
            % (status, kind, len(body))
            + body
        )

    async def _handle(self, path, query, body):
        topic = self.topic(query.get("topic", ""))
        if path == "/v1/log-append":
            return self._append(topic, query, body)
        if path == "/v1/log-newest":
            return self._newest(topic, query)
        if path == "/v1/log-read":
            return await self._read(topic, query)
        return 404, b""

    def _append(self, topic, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, b""
        known = None
        if "producer" in query:
            epoch, number = int(query["epoch"]), int(query["sequence"])
            known = topic.producers.get(query["producer"])
            if known and epoch < known["epoch"]:
                return 409, b'{"reason":"fenced"}'
            if known and epoch == known["epoch"]:
                for earlier, answer in known["last"]:
                    if earlier == number and body:
                        return answer
                if body and known["next"] is not None:
                    if number != known["next"]:
                        fields = {"reason": "seq", "sequence": known["next"]}
                        return 409, json.dumps(fields).encode()
            else:
                known = {"epoch": epoch, "next": None, "last": []}
        if "at" in query and int(query["at"]) != topic.end:
            return 412, json.dumps({"endOffset": topic.end}).encode()
        offset, position = topic.end, 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            topic.add(body[position + 4 : position + 4 + size])
            position += 4 + size
        fields = {"offset": offset, "endOffset": topic.end}
        answer = 200, json.dumps(fields).encode()
        if known is not None:
            if body:
                known["next"] = int(query["sequence"]) + 1
                known["last"] = [
                    *known["last"][-4:],
                    (int(query["sequence"]), answer),
                ]
            topic.producers[query["producer"]] = known
        topic.wake()
        return answer

    def _newest(self, topic, query):
        keys = sorted(key for key in topic.newest if key > query.get("after", ""))
        entries = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][0]).decode(),
                "offset": topic.newest[key][1],
            }
            for key in keys[:500]
        ]
        fields = {
            "entries": entries,
            "hasMore": len(keys) > 500,
            "endOffset": topic.end,
        }
        return 200, json.dumps(fields).encode()

    async def _read(self, topic, query):
        source = int(query["source"])
        wait_s = min(30_000, int(query.get("waitMs", 0))) / 1000
        if wait_s and source >= topic.end:
            changed = topic.changed
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                pass
        if source < topic.first:
            fields = {"startOffset": topic.first}
            return 410, json.dumps(fields).encode()
        answer = struct.pack(">QQ", topic.end, topic.first)
        for content in topic.records[source - topic.first :]:
            answer += struct.pack(">I", len(content)) + content
        return 200, answer


class Runner:
    """One runner, which writes its entry to the store at each heartbeat.

    Attributes:
      handle: Called with the runner, a request and the writer once the request
        has begun to run; sends the answer.
      runs: The requests that began to run: time, id, headers, target.
    """

    def __init__(self, store, service, zone, name, handle, **entry):
        self.store = store
        self.service = service
        self.zone = zone
        self.id = name
        self.handle = handle
        self.entry = {"slots": 8, "version": "v1"} | entry
        self.born = int(now() * 1000)
        self.sequence = 0
        self.address = ""
        self.is_up = False
        self.running = 0
        self._server = None
        self._writers = set()
        self._beat = None

    async def start(self):
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.born = int(now() * 1000)
        self.sequence = 0
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.is_up = True
        self._beat = asyncio.ensure_future(self._write_entries())

    def crash(self):
        """Ends the runner's process: every connection of it is reset."""
        if not self.is_up:
            return
        self.is_up = False
        self._beat.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            reset(writer)

    def remove_entry(self, name=None):
        self.store.put("keyed.servers", name or self.id, None)

    def write_entry(self, state="ready"):
        self.sequence += 1
        if self.store.is_down:
            return
        self.store.put(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            | self.entry,
        )

    async def _write_entries(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_sized(reader, headers)
                method, target, _ = line.split(" ")
                if headers.get("target-instance", self.id) != self.id:
                    writer.write(
                        b"HTTP/1.1 421 X\r\nAttempt-Id: %s\r\n"
                        b"Content-Length: 0\r\n\r\n"
                        % headers.get("attempt-id", "").encode()
                    )
                    continue
                self.running += 1
                try:
                    await self.handle(
                        self, Request(method, target, headers, body), writer
                    )
                finally:
                    self.running -= 1
                if writer.is_closing():
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Request:
    """A request as a runner receives it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("attempt-id", "")


def sign(runner, body):
    return hashlib.sha256(runner.id.encode() + body).hexdigest()[:16]


def send_answer(runner, request, writer, body, status=200):
    """Sends a plain answer with a length."""
    writer.write(
        b"HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nRunner-Signature: %s\r\n"
        b"Content-Length: %d\r\n\r\n"
        % (
            status,
            request.id.encode(),
            sign(runner, body).encode(),
            len(body),
        )
        + body
    )


def begin_stream(runner, request, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Signature: %s\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        % (request.id.encode(), sign(runner, b"").encode())
    )


def send_event(writer, number, text="x"):
    event = f"id: {number}\ndata: {text}\n\n".encode()
    writer.write(b"%x\r\n%s\r\n" % (len(event), event))


def end_stream(writer):
    writer.write(b"0\r\n\r\n")


class Router:
    """A process of the deploy file's role."""

    def __init__(self, folder, store_address, name, zone, ip, **fields):
        self.name = name
        self.ip = ip
        self.process = None
        self._folder = pathlib.Path(folder)
        self.fields = {
            "nodeName": name,
            "role": "router",
            "machineClass": "edge",
            "serves": "edge",
            "ip": ip,
            "zone": zone,
            "region": "tas-south",
            "listen.frontend": f"{ip}:8227",
            "listen.ready": f"{ip}:8220",
            "internalPorts": "7340,7355",
            "bootstrap": "true",
            "limits.cpuShare": "0.537",
            "limits.cpuCores": "2",
            "limits.memoryMb": "150",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1200",
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.configApplyMs": "2000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.retryWindowS": "10",
            "bounds.retrySlack": "56",
            "platform.address": store_address,
            "platform.form": "log",
            "platform.recordBytes": "262144",
            "platform.keep_s": "300",
        } | fields

    async def start(self):
        path = self._folder / f"{self.name}.conf"
        lines = [f"{name}={value}\n" for name, value in self.fields.items()]
        path.write_text("".join(lines))
        with (ROOT / "deploy/system.toml").open("rb") as file:
            run = tomllib.load(file)["roles"]["router"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment |= {
            "REDWINGCHUTE_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def log_lines(self, *events):
        """Returns the lines of its log with one of some events."""
        lines = []
        text = (self._folder / f"{self.name}.log").read_text(errors="replace")
        for line in text.splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if fields.get("event") in events:
                lines.append(fields)
        return lines

    def send_signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await call(
            self.ip, 8220, "GET", "/v1/readyz", {"Host": self.ip}, timeout_s=1.0
        )
        return answer.status == 200

    async def wait_ready(self, limit_s=30.0):
        end = now() + limit_s
        while now() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended")
            if await self.is_ready():
                return
            await asyncio.sleep(_BALANCER_PERIOD_S)
        raise CannotRun(f"{self.name} did not get ready")

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def wait_ended(self):
        if self.process is not None:
            await self.process.wait()


class Answer:
    """What a client has got.

    Attributes:
      status: The status; 0 if there was none.
      is_complete: Whether the answer came to its end.
    """

    def __init__(self, status=0, headers=None, body=b"", is_complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = is_complete


class Channel:
    """A client's connection, kept for several requests."""

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.ip, self.port, limit=1 << 20
        )

    async def ask(self, method, target, headers, body=b"", timeout_s=10.0):
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        text = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(text)
                await self._read(answer)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
        return answer

    async def _read(self, answer):
        head = await read_head(self.reader)
        if head is None:
            return
        answer.headers = head[1]
        answer.status = int(head[0].split(" ")[1])
        if answer.headers.get("transfer-encoding", "") == "chunked":
            while True:
                line = await self.reader.readline()
                if not line:
                    return
                size = int(line, 16)
                part = await self.reader.readexactly(size + 2)
                answer.body += part[:-2]
                if not size:
                    break
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self.reader.readexactly(length)
        answer.is_complete = True

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def call(ip, port, method, target, headers, body=b"", timeout_s=10.0):
    """Sends one request on a new connection; returns its answer."""
    channel = Channel(ip, port)
    try:
        async with asyncio.timeout(timeout_s):
            await channel.open()
    except (OSError, TimeoutError):
        return Answer()
    try:
        return await channel.ask(method, target, headers, body, timeout_s)
    finally:
        channel.close()


class CannotRun(Exception):
    """The case could not run."""


class Case:
    """What a script owns; ends all that it started on exit.

    Attributes:
      has_trouble: Whether the disruption is to happen.
    """

    def __init__(self, folder, has_trouble):
        self.has_trouble = has_trouble
        self.record = Record(folder)
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.routers = []
        self.runners = []
        self._net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for router in self.routers:
            router.kill()
        for router in self.routers:
            await router.wait_ended()
        for runner in self.runners:
            runner.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.work, keep, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)

    def configure(self, version, routes, services, tenants, limits=None):
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": limits or _LIMITS,
                "tenants": tenants,
            },
        )

    async def add_runner(self, service, zone, handle, **entry):
        number = len(self.runners) + 1
        runner = Runner(
            self.store, service, zone, f"i-{number:x}", handle, **entry
        )
        await runner.start()
        self.runners.append(runner)
        return runner

    async def add_routers(self, zones, **fields):
        for zone in zones:
            number = len(self.routers) + 1
            router = Router(
                self.work,
                self.store.address,
                f"edge-{zone}-{number}",
                zone,
                f"{self._net}.{number}",
                **fields,
            )
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            await router.wait_ready()


def run_case(folder, play, has_trouble):
    """Plays a case; exits with 1 if the rule was broken, else 0, or 2.

    Also when it is stopped or takes too long, it ends what it has started.

    Args:
      folder: The folder of the case.
      play: Called with the case; returns whether the rule was broken.
      has_trouble: Whether the disruption is to happen.
    """

    async def main():
        loop = asyncio.get_running_loop()
        # Tasks of connections that are cancelled at the end are no news.
        loop.set_exception_handler(lambda *_: None)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(_MAX_S):
            async with Case(folder, has_trouble) as case:
                return await play(case)

    try:
        is_broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
