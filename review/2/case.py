"""A lost, late append of a stopped process lets a tenant exceed `reserved`."""

import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_RESERVED = 1_000_000
_LATE_MIN_S, _LATE_MAX_S = 1.0, 6.0
_LOSS_MAX_S = 4.5
_LOSS_MAX_SHARE = 0.35
_ACCOUNT = "tenant-a"


class LostWrites:
    """The store loses the answers of some writes and does them late.

    The last write of the process that is stopped is lost, and the first two of
    the process that starts after it.
    """

    def __init__(self, setting, host):
        self._setting = setting
        self._host = host
        self._last = None
        self.began_s = None
        self.ended_s = None
        self.lost = 0
        self.writes = 0
        self.last_done = asyncio.Event()
        self.all_lost = asyncio.Event()
        self._later = 0
        self.is_last_late_enough = False

    def __call__(self, query, records):
        now_s = time.monotonic()
        if self.began_s is not None and self.ended_s is None:
            self.writes += 1
        if query["topic"] != "keyed.grants" or query["producer"] != self._host:
            return None
        is_last = any(b'"is_leaving":true' in (value or b"")
                      and key.startswith("stamp/") for key, value in records)
        if is_last and self._last is None:
            self._last = (query, records)
            self.began_s = now_s
            self.writes = self.lost = 1
            self._setting.record.add(
                f"store: last write of {self._host} lost: "
                + " ".join(str(value) for _, value in records)
            )
            return 3600.0  # Carried out by `_do_last`, 1 to 6 s later.
        if self._last is not None and self._later < 2:
            self._later += 1
            self.lost += 1
            if self._later == 1:
                asyncio.get_running_loop().call_later(0.1, self._do_last)
            else:
                self.ended_s = now_s
                self.all_lost.set()
            self._setting.record.add(
                f"store: write {self._later} of the new process lost: "
                + " ".join(str(value) for _, value in records)
            )
            return _LATE_MAX_S
        return None

    def _do_last(self):
        query, records = self._last
        late_s = time.monotonic() - self.began_s
        self.is_last_late_enough = _LATE_MIN_S <= late_s <= _LATE_MAX_S
        status, fields = self._setting.store.topic(query["topic"]).append(
            records, query
        )
        self._setting.record.add(
            f"store: the last write is carried out {late_s:.2f} s late: "
            f"{status} {fields}"
        )
        self.last_done.set()


class Tenant:
    """Sends requests of one tenant and counts what it consumed."""

    def __init__(self, setting):
        self._setting = setting
        self._number = 0
        self.statuses = {}
        # The output tokens that clients got; an event holds one.
        self.delivered = 0

    async def send(self, gateway, prompt, output=1):
        self._number += 1
        answer = await standins.send(
            self._setting.record, gateway.address, f"{self._number:016x}",
            "/draft/sheet",
            [
                standins.HOST,
                ("Authorization", "Bearer key-a"),
                ("Model", "m"),
                ("Token-Usage", f"{prompt},{output}"),
                ("Prompt-Prefix", f"{self._number:x}:{prompt}"),
            ],
            b"x",
        )
        self.delivered += answer.body.count(b"data:")
        counts = self.statuses.setdefault(gateway.name, {})
        counts[answer.status] = counts.get(answer.status, 0) + 1
        return answer.status

    async def drain(self, gateway, prompt, copies):
        """Sends copies of a request at once until none is served any more."""
        while True:
            statuses = await asyncio.gather(
                *(self.send(gateway, prompt) for _ in range(copies))
            )
            if 200 not in statuses:
                return


def count_consumed(runner, tenant):
    """Returns the input tokens of each request that ran, and what was delivered."""
    prompts = {
        attempt: int(headers["token-usage"].split(",")[0])
        for _, attempt, headers, _ in runner.runs
    }
    return sum(prompts.values()) + tenant.delivered


async def main():
    async with standins.Setting(pathlib.Path(__file__).parent) as setting:
        record = setting.record
        setting.add_gateways([("edge-huon-1", "huon"), ("edge-bruny-1", "bruny")])
        stopped, other = setting.gateways
        setting.publish(
            11,
            [standins.make_route("draft", "streaming", "llm", timeoutMs=8000)],
            [{"name": "llm", "inferenceEngine": {"stride": 1}}],
            [{"name": _ACCOUNT, "apiKeys": ["key-a"], "reserved": _RESERVED}],
        )
        runner = await setting.add_runner("i-run1", "llm", "huon")
        for gateway in setting.gateways:
            await gateway.start()
        for gateway in setting.gateways:
            if not await gateway.wait_until_ready():
                return 2
        tenant = Tenant(setting)
        losses = LostWrites(setting, stopped.name)
        # Some work at both machines, so that both hold tokens.
        for _ in range(100):
            await asyncio.gather(
                tenant.send(stopped, 19), tenant.send(other, 19)
            )
            await asyncio.sleep(0.04)
        await asyncio.sleep(3.0)
        if standins.TROUBLE:
            setting.store.on_append = losses
        # Planned: the machine is stopped and started again.
        stopped.signal(signal.SIGTERM)
        await stopped.wait()
        await asyncio.sleep(0.3)
        await stopped.start()

        async def use_restarted():
            """Sends small requests once the balancer finds it ready.

            The balancer asks once a second. With the losses, its phase is such
            that it finds the process ready before that has taken over.
            """
            if standins.TROUBLE:
                await losses.all_lost.wait()
                await asyncio.sleep(0.45)
            while not await stopped.is_ready():
                await asyncio.sleep(1.0)
            record.add(f"balancer: {stopped.name} is in rotation")
            sends = []
            for _ in range(160):
                sends.append(asyncio.ensure_future(tenant.send(stopped, 99)))
                await asyncio.sleep(0.025)
            await asyncio.gather(*sends)

        restarted = asyncio.ensure_future(use_restarted())
        if standins.TROUBLE:
            await losses.last_done.wait()
        # The tenant spends what it has left, at the other machine.
        for prompt, copies in ((9_999, 40), (999, 12), (99, 12), (9, 12)):
            await tenant.drain(other, prompt, copies)
        await restarted
        await asyncio.sleep(2.0)
        for prompt, copies in ((9_999, 10), (999, 10), (99, 10), (9, 10)):
            await tenant.drain(stopped, prompt, copies)
            await tenant.drain(other, prompt, copies)
        consumed = count_consumed(runner, tenant)
        if standins.TROUBLE:
            if losses.ended_s is None:
                return 2
            span_s = losses.ended_s - losses.began_s
            share = losses.lost / losses.writes
            record.add(
                f"losses: {losses.lost} of {losses.writes} writes in "
                f"{span_s:.2f} s, share {share:.2f}"
            )
            if span_s > _LOSS_MAX_S or share > _LOSS_MAX_SHARE:
                return 2
            if not losses.is_last_late_enough:
                return 2
        record.add(f"statuses: {tenant.statuses}")
        text = f"consumed {consumed} of {_RESERVED} reserved tokens"
        record.add(f"result: {text}")
        print(text, tenant.statuses)
        return 1 if consumed > _RESERVED else 0


standins.run_case(main)
