"""A request that crashes runners after some events is never held back."""

import asyncio
import os
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_CONTACT_S = 3.0
_DOWN_S = 2.0
_MAX_RETRIES = 3
# The runner ends when it would make this event of the request; 1 is the first.
_CRASH_EVENT = int(os.environ.get("CRASH_EVENT", "5"))
# Variants for the report: `dark`, the runner falls silent before the first event
# and its channels end only when it is back, after the route's timeout; `left`,
# the client leaves just before the runner ends.
_VARIANT = os.environ.get("VARIANT", "")
_LEAVE_AFTER_S = 0.25
_CRASH_AFTER_LEAVING_S = 0.3


class FragileRunner(standins.Runner):
    """A runner that a certain request crashes; it is back after 2 s."""

    marker = "/draft/crash"

    async def answer(self, method, target, headers, body, reader, writer):
        if not (standins.TROUBLE and target == self.marker):
            return await super().answer(
                method, target, headers, body, reader, writer
            )
        attempt = headers.get("attempt-id", "")
        if headers.get("target-instance", self.id) != self.id:
            standins.respond(writer, 421, b"", [("Attempt-Id", attempt)])
            return True
        self.runs.append((time.monotonic(), attempt, headers, target))
        self.record.add(f"runner {self.id}: runs {attempt}, which crashes it")
        if _VARIANT:
            is_dark = _VARIANT == "dark"
            await asyncio.sleep(
                self.event_s if is_dark else _CRASH_AFTER_LEAVING_S
            )
            asyncio.ensure_future(self._crash(_DOWN_S if is_dark else 0.0))
            await asyncio.sleep(_DOWN_S + 1)
            return False
        if _CRASH_EVENT > 1:
            writer.write(
                "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
                f"Runner-Signature: {self.id}\r\nAttempt-Id: {attempt}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
        for number in range(_CRASH_EVENT - 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: t\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        await asyncio.sleep(self.event_s)
        asyncio.ensure_future(self._crash())
        return False

    async def _crash(self, silent_s=0.0):
        """Ends as a process does; starts again under the same id."""
        ip, port = self.address.rsplit(":", 1)
        self._beat.cancel()
        if silent_s:
            self._server.close()
            await asyncio.sleep(silent_s)
        standins.HttpServer.close(self)
        await asyncio.sleep(0 if silent_s else _DOWN_S)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.listen(ip, int(port))
        self.write_entry()
        self._beat = asyncio.ensure_future(self._beats())
        self.record.add(f"runner {self.id}: is back")


async def main():
    async with standins.Setting(pathlib.Path(__file__).parent) as setting:
        record = setting.record
        setting.add_gateways([("edge-huon-1", "huon"), ("edge-bruny-1", "bruny")])
        setting.publish(
            11,
            [
                standins.make_route(
                    "draft", "streaming", "llm",
                    timeoutMs=1500 if _VARIANT == "dark" else 8000,
                )
            ],
            [{"name": "llm", "inferenceEngine": {"stride": 1}}],
            [{"name": "tenant-a", "apiKeys": ["key-a"], "reserved": 10_000_000}],
        )
        for number in range(4):
            runner = FragileRunner(
                record, setting.store, f"i-run{number}", "llm",
                ("huon", "bruny")[number % 2], event_s=0.02,
            )
            await runner.start("127.0.0.1")
            setting.runners.append(runner)
        for gateway in setting.gateways:
            await gateway.start()
        for gateway in setting.gateways:
            if not await gateway.wait_until_ready():
                return 2
        await asyncio.sleep(_CONTACT_S + 1)
        number = 0

        async def send(gateway, path, body):
            nonlocal number
            number += 1
            leaves = _VARIANT == "left" and path == FragileRunner.marker
            return await standins.send(
                record, gateway.address, f"{number:016x}", path,
                [
                    standins.HOST,
                    ("Authorization", "Bearer key-a"),
                    ("Model", "m"),
                    ("Token-Usage", "200,20"),
                    ("Prompt-Prefix", f"a1:100,{number:x}:100"),
                ],
                body,
                patience_s=_LEAVE_AFTER_S if leaves else 8.0,
            )

        for index in range(40):
            gateway = setting.gateways[index % 2]
            # Other requests go on, and the same one comes again each second.
            await asyncio.gather(
                send(gateway, "/draft/crash", b"the same prompt"),
                send(setting.gateways[1 - index % 2], f"/draft/{index}", b"x"),
                asyncio.sleep(1.0),
            )
        times = sorted(
            run[0]
            for runner in setting.runners
            for run in runner.runs
            if run[3] == FragileRunner.marker
        )
        late = 0
        if len(times) >= 3:
            third_s = times[2] + _CRASH_EVENT * 0.02
            late = sum(run_s > third_s + _CONTACT_S for run_s in times[3:])
        crashes = len(times) if standins.TROUBLE else 0
        text = (
            f"{len(times)} of 40 reached runners, {crashes} crashes; "
            f"{late if crashes else 0} retries later than contactMs after the third"
        )
        record.add(f"result: {text}")
        print(text)
        return 1 if crashes and late > _MAX_RETRIES else 0


standins.run_case(main)
