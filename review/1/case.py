"""One unreadable entry under `servers/` ends the list of runners for good."""

import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_DRAIN_S = 2.0
_CONTACT_S = 3.0


async def main():
    async with standins.Setting(pathlib.Path(__file__).parent) as setting:
        record = setting.record
        setting.add_gateways([("edge-huon-1", "huon"), ("edge-bruny-1", "bruny")])
        setting.publish(
            11,
            [standins.make_route("lot", "idempotent", "ledger", maxAttempts=2)],
            [{"name": "ledger"}],
        )
        old = await setting.add_runner("i-old1", "ledger", "huon")
        other = await setting.add_runner("i-other1", "ledger", "bruny")
        for gateway in setting.gateways:
            await gateway.start()
        for gateway in setting.gateways:
            if not await gateway.wait_until_ready():
                return 2
        # Calm for longer than `contactMs`.
        await asyncio.sleep(_CONTACT_S + 1)
        if standins.TROUBLE:
            # Another writer's entry, of bytes that can't be read.
            setting.store.write("keyed.servers", "i-foreign", b"[" * 50_000)
            record.add("another writer: an entry of 50,000 bytes `[`")
        await asyncio.sleep(1.0)
        # Planned: a runner drains. It serves for a while after that, as the
        # pages say of runners.
        old.drain()
        drained_s = time.monotonic()
        fresh = await setting.add_runner("i-new1", "ledger", "tamar")
        number = served = 0
        while time.monotonic() < drained_s + 8.0:
            gateway = setting.gateways[number % 2]
            number += 1
            answer = await standins.send(
                record, gateway.address, f"{number:016x}", f"/lot/{number}",
                [standins.HOST], method="GET", patience_s=1.5,
            )
            served += answer.status == 200
            await asyncio.sleep(0.02)
        # A runner answers at once, so what reached it late was sent late.
        late = [run for run in old.runs if run[0] > drained_s + _DRAIN_S]
        record.add(
            f"result: {number} requests, {served} served, {len(late)} reached "
            f"the draining runner later than drainMs, {len(fresh.runs)} the "
            "new one"
        )
        # Planned: a machine is stopped and started again.
        gateway = setting.gateways[1]
        gateway.signal(signal.SIGTERM)
        await gateway.wait()
        await gateway.start()
        is_ready = await gateway.wait_until_ready(20.0)
        record.add(f"result: the restarted gateway is ready: {is_ready}")
        print(
            f"late at the draining runner: {len(late)} of {number}; "
            f"new runner: {len(fresh.runs)}; restarted gateway ready: {is_ready}"
        )
        if not served:
            return 2
        return 1 if late else 0


standins.run_case(main)
