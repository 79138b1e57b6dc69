"""Versions of a large configuration come in quick succession.

The router reaches the store over its machine's own link. The last version takes
a key away; the router is asked with that key from configApplyMs after its
acknowledgement on.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as h

FOLDER = pathlib.Path(__file__).resolve().parent
LINK_MBPS = 5.0
CONFIG_APPLY_MS = 3_000
ADDED_ROUTES = 1_000
STORM_S, STORM_GAP_S = 4.4, 0.24
ASKED_S = 15.0


class Link:
    """A link of a machine: both directions have the same width."""

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * 1_000_000 / 8
        self._free_s = {True: 0.0, False: 0.0}
        self.address = ""

    async def start(self, target: str) -> None:
        self._target = target.rsplit(":", 1)
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            self._target[0], int(self._target[1])
        )
        await asyncio.gather(
            self._pump(reader, far_writer, True),
            self._pump(far_reader, writer, False),
            return_exceptions=True,
        )

    async def _pump(self, reader, writer, is_up: bool) -> None:
        """Passes bytes on at the width of the link, shared by all channels."""
        loop = asyncio.get_running_loop()
        try:
            while received := await reader.read(8 * 1024):
                begin_s = max(loop.time(), self._free_s[is_up])
                end_s = begin_s + len(received) / self._bytes_per_s
                self._free_s[is_up] = end_s
                await asyncio.sleep(end_s - loop.time())
                writer.write(received)
                await writer.drain()
        finally:
            writer.close()


def make_version(version: int, added: int, has_key: bool) -> dict:
    configuration = h.make_configuration(version)
    configuration["routes"] += [
        h.make_route(f"added-{n}", f"/added{n:05d}/", "idempotent", "ledger")
        for n in range(added)
    ]
    configuration["tenants"].append(
        {"name": "tenant-2", "apiKeys": ["key-2"] if has_key else [],
         "priority": 1, "reserved": 5_000_000}
    )
    return configuration


async def case(setting: h.Setting) -> int:
    record, store = setting.record, setting.store
    await setting.add_runner("ledger-1", "ledger")
    await setting.add_runner("model-1", "llm")
    link = Link(LINK_MBPS)
    await link.start(store.address)
    store.write("op", "config", make_version(1, 0, True))
    router = setting.make_router(
        "edge-huon-1",
        extra={
            "platform.address": link.address,
            "bounds.configApplyMs": str(CONFIG_APPLY_MS),
            "limits.linkMbps": str(LINK_MBPS),
        },
    )
    await router.start()
    await router.wait_ready()
    await asyncio.sleep(4)

    def put(version: int, has_key: bool) -> None:
        document = make_version(version, ADDED_ROUTES, has_key)
        store.write("op", "config", document)
        record.add(
            "version", version=version, has_key=has_key,
            bytes=len(h.json.dumps(document)),
        )

    put(2, True)
    await asyncio.sleep(4)
    control = await h.ask(record, router, "GET", "/look/1", key="key-2")
    if control.status != 200:
        return h.COULD_NOT_RUN
    version = 2
    if h.TROUBLE:
        for _ in range(int(STORM_S / STORM_GAP_S)):
            version += 1
            put(version, True)
            await asyncio.sleep(STORM_GAP_S)
    put(version + 1, False)
    loop = asyncio.get_running_loop()
    acknowledged_s = loop.time()
    await asyncio.sleep(CONFIG_APPLY_MS / 1000)
    answers = []
    while loop.time() < acknowledged_s + ASKED_S:
        answer = await h.ask(
            record, router, "GET", "/look/1", key="key-2",
            attempt=h.make_attempt_id("revoked"),
        )
        answers.append(answer)
        await asyncio.sleep(0.25)
    control = await h.ask(record, router, "GET", "/look/1", key="key-1")
    if control.status != 200:
        return h.COULD_NOT_RUN
    runs = [
        line for line in record.find("ran")
        if line["attempt"].startswith("revoked")
    ]
    record.add(
        "verdict", asked=len(answers), run_with_removed_key=len(runs),
        refused=sum(answer.status == 401 for answer in answers),
    )
    return h.BROKEN if runs else h.HELD


h.run_case(FOLDER, case)
