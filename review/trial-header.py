"""A trial, no case: an answer with a header value beyond ASCII closes the channel.

The pages name no such header. `TROUBLE=0` sends a plain ASCII one.
"""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import standins

_MAX_CLOSED = 3


class NamingRunner(standins.Runner):
    """Names the document that it has posted, in a header of its answer."""

    async def answer(self, method, target, headers, body, reader, writer):
        if not target.startswith("/cert/"):
            return await super().answer(
                method, target, headers, body, reader, writer
            )
        attempt = headers["attempt-id"]
        if headers.get("target-instance", self.id) != self.id:
            standins.respond(writer, 421, b"", [("Attempt-Id", attempt)])
            return True
        self.runs.append((0.0, attempt, headers, target))
        self.record.add(f"runner {self.id}: runs {attempt} {method} {target}")
        await asyncio.sleep(self.work_s)
        name = "R\u00e4ucherlachs.pdf" if standins.TROUBLE else "Lachs.pdf"
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Attempt-Id: {attempt}\r\n"
            f"Runner-Signature: {self.id}\r\n"
            f'Content-Disposition: attachment; filename="{name}"\r\n'
            "Content-Length: 4\r\n\r\nbody"
        )
        writer.write(head.encode("latin-1"))
        await writer.drain()
        self.record.add(f"runner {self.id}: answered {attempt}")
        return True


async def main():
    async with standins.Setting(pathlib.Path(__file__).parent) as setting:
        record = setting.record
        setting.add_gateways([("edge-huon-1", "huon"), ("edge-bruny-1", "bruny")])
        setting.publish(
            11,
            [
                standins.make_route("cert", "non_idempotent", "ledger"),
                standins.make_route("lot", "idempotent", "ledger", maxAttempts=2),
            ],
            [{"name": "ledger"}],
        )
        runner = NamingRunner(record, setting.store, "i-run1", "ledger", "huon")
        await runner.start("127.0.0.1")
        setting.runners.append(runner)
        for gateway in setting.gateways:
            await gateway.start()
        for gateway in setting.gateways:
            if not await gateway.wait_until_ready():
                return 2
        await asyncio.sleep(4.0)
        closed = answered = 0
        for number in range(20):
            ip, port = setting.gateways[number % 2].address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            # A kept channel: the first request on it is a lookup.
            for method, path in (("GET", "/lot/"), ("POST", "/cert/")):
                attempt = f"{method.lower()}{number:08x}"
                writer.write(
                    f"{method} {path}{number} HTTP/1.1\r\n"
                    "Host: demo.example\r\nDeadline-Ms: 1500\r\n"
                    f"Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n".encode()
                )
                async with asyncio.timeout(3):
                    found = await standins.read_head(reader)
                    if found is None:
                        record.add(f"client: {attempt}: closed, no answer")
                        closed += 1
                        break
                    length = int(found[1].get("content-length", "0"))
                    await reader.readexactly(length)
                answered += 1
                record.add(f"client: {attempt}: got {found[0]}")
            writer.close()
        ran = sum(run[3].startswith("/cert/") for run in runner.runs)
        text = (
            f"{ran} of 20 certificates posted, {answered} of 40 requests "
            f"answered, {closed} channels closed without an answer"
        )
        record.add(f"result: {text}")
        print(text)
        if answered < 20:
            return 2
        return 1 if closed > _MAX_CLOSED else 0


standins.run_case(main)
