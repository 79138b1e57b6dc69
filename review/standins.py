"""Small stand-ins for the review: store, runners, clients, gateway processes.

They speak what the users' pages say and use the standard library only. One
asyncio process runs the store, the runners and the clients of a case. The
gateways are processes of their own, started with the command of the deploy
file.
"""

import asyncio
import base64
import contextlib
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
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTRACTS = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"
_METRICS_PORT = 9464


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8", buffering=1)
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def add(self, text):
        line = f"{self.now():9.3f} {text}"
        self._file.write(line + "\n")
        if os.environ.get("VERBOSE"):
            print(line, flush=True)


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader):
    """Reads a chunked body; returns it and whether it was complete."""
    body = b""
    try:
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body, True
            body += part[:-2]
    except (ValueError, asyncio.IncompleteReadError, ConnectionError):
        return body, False


class HttpServer:
    """A minimal HTTP/1.1 server with kept channels."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._writers = set()

    async def listen(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                found = await read_head(reader)
                if found is None:
                    return
                line, headers = found
                method, target, _ = line.split(" ", 2)
                body = b""
                if "chunked" in headers.get("transfer-encoding", ""):
                    body, _ = await read_chunked(reader)
                elif headers.get("content-length", "0") != "0":
                    body = await reader.readexactly(int(headers["content-length"]))
                if not await self.answer(
                    method, target, headers, body, reader, writer
                ):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body, reader, writer):
        raise NotImplementedError


def respond(writer, status, body=b"", headers=()):
    """Writes a complete response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return True


class Topic:
    """One keyed topic with one partition."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def add(self, key, value):
        self.records.append((key, value))
        if value:
            self.newest[key] = (value, len(self.records) - 1)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()

    def append(self, records, query):
        """Carries out an append; returns the status and the fields."""
        producer = query.get("producer")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = self.producers.get(producer)
            if known is not None and epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if known is not None and epoch == known["epoch"]:
                if sequence in known["done"]:
                    return 200, known["done"][sequence]
                if sequence != known["next"]:
                    return 409, {"reason": "seq", "sequence": known["next"]}
        if "at" in query and int(query["at"]) != len(self.records):
            return 412, {"endOffset": len(self.records)}
        first = len(self.records)
        for key, value in records:
            self.add(key, value)
        fields = {"offset": first, "endOffset": len(self.records)}
        if producer is not None:
            if known is None or epoch > known["epoch"]:
                known = {"epoch": epoch, "done": {}}
                self.producers[producer] = known
            known["next"] = sequence + 1
            known["done"][sequence] = fields
            while len(known["done"]) > 5:
                del known["done"][next(iter(known["done"]))]
        return 200, fields


class Store(HttpServer):
    """The platform's store: keyed topics, as PROTOCOL.md describes them.

    `on_append` may return a number of seconds: the append is then carried out
    that much later and never answered ("lost, late").
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.topics = {}
        self.on_append = None
        self.on_read = None

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def write(self, topic, key, value):
        """Writes as the operator or a runner; the return is the ack."""
        if not isinstance(value, (bytes, type(None))):
            value = json.dumps(value).encode()
        self.topic(topic).add(key, value)

    async def answer(self, method, target, headers, body, reader, writer):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        await asyncio.sleep(0.004)
        match parts.path:
            case "/v1/log-append":
                return await self._append(query, body, reader, writer)
            case "/v1/log-read":
                return await self._read(query, writer)
            case "/v1/log-newest":
                return self._newest(query, writer)
        return respond(writer, 404)

    async def _append(self, query, body, reader, writer):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return respond(writer, 403)
        records = []
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            end = 1 + content[0]
            records.append((content[1:end].decode(), content[end:] or None))
        topic = self.topic(query["topic"])
        late_s = None
        if self.on_append is not None:
            late_s = self.on_append(query, records)
        if late_s is not None:

            def carry_out():
                status, fields = topic.append(records, query)
                self.record.add(
                    f"store: late append of {query.get('producer')} epoch "
                    f"{query.get('epoch')} carried out: {status} {fields}"
                )

            asyncio.get_running_loop().call_later(late_s, carry_out)
            # Nothing further comes on a channel on which an answer is lost.
            await reader.read()
            return False
        status, fields = topic.append(records, query)
        return respond(writer, status, json.dumps(fields).encode())

    async def _read(self, query, writer):
        topic = self.topic(query["topic"])
        offset = int(query["source"])
        wait_ms = int(query.get("waitMs", 0))
        if wait_ms and offset >= len(topic.records):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(wait_ms, 30_000) / 1000):
                    await topic.changed.wait()
        if offset > len(topic.records):
            return respond(writer, 410, json.dumps({"startOffset": 0}).encode())
        payload = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[offset:]:
            raw = key.encode()
            content = bytes([len(raw)]) + raw + (value or b"")
            if len(payload) + 4 + len(content) > 1024 * 1024:
                break
            payload += struct.pack(">I", len(content)) + content
        return respond(writer, 200, payload)

    def _newest(self, query, writer):
        topic = self.topic(query["topic"])
        after = query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        entries, total = [], 0
        for key in keys[:500]:
            value, offset = topic.newest[key]
            text = base64.b64encode(value).decode()
            total += len(text)
            if entries and total > 1_000_000:
                break
            entries.append({"key": key, "value": text, "offset": offset})
        fields = {
            "entries": entries,
            "hasMore": len(entries) < len(keys),
            "endOffset": len(topic.records),
        }
        return respond(writer, 200, json.dumps(fields).encode())


class Runner(HttpServer):
    """A runner. With `Token-Usage` it streams events, else a plain body."""

    def __init__(self, record, store, runner_id, service, zone, **options):
        super().__init__()
        self.record = record
        self.store = store
        self.id = runner_id
        self.service = service
        self.zone = zone
        self.work_s = options.get("work_s", 0.02)
        self.event_s = options.get("event_s", 0.01)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self._beat = None

    async def start(self, ip):
        await self.listen(ip)
        self.write_entry()
        self._beat = asyncio.ensure_future(self._beats())

    async def _beats(self):
        while True:
            await asyncio.sleep(1.2)
            self.write_entry()

    def write_entry(self):
        self.sequence += 1
        self.store.write(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": 64,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    def drain(self):
        """Reports `draining`; returns when the store has accepted that."""
        self.state = "draining"
        self.write_entry()
        self.record.add(f"runner {self.id}: the store accepted `draining`")

    def close(self):
        if self._beat is not None:
            self._beat.cancel()
        super().close()

    async def answer(self, method, target, headers, body, reader, writer):
        extra = []
        if self.state == "draining":
            extra.append(("Connection", "close"))
        if target == "/healthz":
            status = 503 if self.state == "draining" else 200
            respond(writer, status, b"", [("Instance-Id", self.id), *extra])
            return not extra
        attempt = headers.get("attempt-id", "")
        echo = [("Attempt-Id", attempt), *extra]
        if headers.get("target-instance", self.id) != self.id:
            respond(writer, 421, b"", [*echo, ("Instance-Id", self.id)])
            return not extra
        self.runs.append((time.monotonic(), attempt, headers, target))
        self.record.add(
            f"runner {self.id}: runs {attempt} {method} {target} tenant="
            f"{headers.get('tenant')} deadline={headers.get('deadline-ms')}"
        )
        tokens = headers.get("token-usage")
        digest = hashlib.sha256(self.id.encode() + body).hexdigest()[:16]
        signed = [("Runner-Signature", digest), *echo]
        if tokens is None:
            await asyncio.sleep(self.work_s)
            respond(writer, 200, f"done {attempt} at {self.id}".encode(), signed)
            await writer.drain()
            return not extra
        count = int(tokens.split(",")[1])
        lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in signed]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(count):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: t\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return not extra


class Answer:
    """What a client got: `status` is 0 if there was no complete answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def send(record, address, attempt, path, headers, body=b"", method="POST",
               patience_s=8.0, quiet=False):
    """Sends one client attempt on a new channel and returns its answer."""
    ip, port = address.rsplit(":", 1)
    answer = Answer(0, {}, b"")
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                lines = [
                    f"{method} {path} HTTP/1.1",
                    f"Attempt-Id: {attempt}",
                    f"Deadline-Ms: {int(patience_s * 1000)}",
                    f"Content-Length: {len(body)}",
                    "Connection: close",
                    *(f"{name}: {value}" for name, value in headers),
                ]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                found = await read_head(reader)
                if found is not None:
                    status = int(found[0].split(" ")[1])
                    if "chunked" in found[1].get("transfer-encoding", ""):
                        got, is_whole = await read_chunked(reader)
                    else:
                        length = int(found[1].get("content-length", "0"))
                        got = await reader.readexactly(length)
                        is_whole = True
                    answer = Answer(status if is_whole else 0, found[1], got)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    if not quiet:
        record.add(f"client: {attempt} to {address} got {answer.status}")
    return answer


class Gateway:
    """One process of the deploy file's role, on a loopback address."""

    def __init__(self, record, folder, store, name, ip, zone, port, **settings):
        self.record = record
        self.name = name
        self.ip = ip
        self.address = f"{ip}:{port}"
        self._ready_port = port + 1
        self._log = open(folder / f"{name}.log", "ab")
        self._process = None
        values = {
            "nodeName": name,
            "role": "router",
            "machineClass": "edge",
            "serves": "edge",
            "ip": ip,
            "zone": zone,
            "region": "tas-south",
            "zones.huon": "tas-south",
            "zones.bruny": "tas-south",
            "zones.tamar": "tas-south",
            "listen.frontend": self.address,
            "listen.ready": f"{ip}:{port + 1}",
            "internalPorts": f"{port + 2},{port + 12}",
            "bootstrap": "true",
            "limits.cpuShare": "0.537",
            "limits.cpuCores": "2",
            "limits.memoryMb": "150",
            "limits.maxFds": "4100",
            "heartbeatMs": "1200",
            "contracts": CONTRACTS,
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.retryWindowS": "10",
            "bounds.retrySlack": "56",
            "bounds.recoverS": "12",
            "platform.address": store.address,
            "platform.form": "log",
            "platform.recordBytes": "262144",
            "platform.callBytes": "2097152",
            **settings,
        }
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            "".join(f"{key}={value}\n" for key, value in values.items())
        )

    async def start(self):
        names = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in names if name in os.environ
        }
        environment["REDWINGCHUTE_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self._process = await asyncio.create_subprocess_exec(
            "python3",
            *"-m redwingchute.platform.main".split(),
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self.record.add(f"gateway {self.name}: started, pid {self._process.pid}")

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    def signal(self, number):
        self.record.add(f"gateway {self.name}: signal {number.name}")
        self._process.send_signal(number)

    async def wait(self):
        code = await self._process.wait()
        self.record.add(f"gateway {self.name}: ended with {code}")
        return code

    async def is_ready(self):
        answer = await send(
            self.record, f"{self.ip}:{self._ready_port}", "ready", "/v1/readyz",
            [("Host", "ready")], method="GET", patience_s=1.0, quiet=True,
        )
        return answer.status == 200

    async def wait_until_ready(self, timeout_s=15.0):
        """Returns whether the gateway becomes ready in time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                self.record.add(f"gateway {self.name}: ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        if self.is_running:
            self._process.kill()
            await self._process.wait()
        self._log.close()


def pick_ips(count):
    """Returns loopback addresses whose fixed metrics port is free."""
    found = []
    while len(found) < count:
        ip = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}.{random.randint(2, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((ip, _METRICS_PORT))
            except OSError:
                continue
        if ip not in found:
            found.append(ip)
    return found


class Setting:
    """One small deployment; a context manager that ends what it started."""

    def __init__(self, case_folder):
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.gateways = []
        self.runners = []

    async def __aenter__(self):
        await self.store.listen("127.0.0.1")
        return self

    async def __aexit__(self, *_):
        for gateway in self.gateways:
            await gateway.end()
        for runner in self.runners:
            runner.close()
        self.store.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def add_gateways(self, places, **settings):
        """Adds gateways; `places` are pairs of a name and a zone."""
        port = random.randint(20_000, 30_000)
        for (name, zone), ip in zip(places, pick_ips(len(places)), strict=True):
            self.gateways.append(
                Gateway(
                    self.record, self.folder, self.store, name, ip, zone, port,
                    **settings,
                )
            )

    async def add_runner(self, runner_id, service, zone, **options):
        runner = Runner(
            self.record, self.store, runner_id, service, zone, **options
        )
        await runner.start("127.0.0.1")
        self.runners.append(runner)
        return runner

    def publish(self, version, routes, services, tenants=None):
        """Writes a configuration; the return is the store's ack."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 20000,
            },
        }
        if tenants is not None:
            document["tenants"] = tenants
        self.store.write("keyed.op", "config", document)
        self.record.add(f"operator: version {version} acknowledged")


def make_route(name, kind, service, **fields):
    return {
        "name": name,
        "host": "demo.example",
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 800,
        "service": service,
        "maxAttempts": 1,
        "priority": 1,
        **fields,
    }


HOST = ("Host", "demo.example")


def run_case(main, limit_s=110):
    """Runs a case; exits with 1 if the rule broke, 0 if it held, else 2."""

    async def bounded():
        # A case that is stopped ends its processes too.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await main()

    try:
        code = asyncio.run(bounded())
    # The case could not run, or was stopped.
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
