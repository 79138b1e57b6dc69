"""Tests of a prompt part that ends each upstream that runs it, on loopback."""

import asyncio
import itertools

import pytest

from redwingchute.testing import gateway_rig

_RUNNERS = ("m-1", "m-2", "m-3", "m-4", "m-5", "m-6")
_CRASHING_PART = "bad"
_ROUNDS = 12
# After this many ends, at most this many requests with the part may be sent.
_CRASHES = 5
_MAX_SENDS_AFTER = 3
# Sound requests with the same account and first part begin at least this often.
_MIN_SOUND_SHARE = 0.5


class _Traffic:
    """Sends requests, no two alike, and counts what became of them."""

    def __init__(self, rig: gateway_rig.GatewayRig) -> None:
        self.rig = rig
        self.sound: list[int] = []
        self._numbers = itertools.count()

    async def send(self, gateway_number: int, middle: str) -> int:
        """Sends a request with a middle part; returns its status."""
        number = next(self._numbers)
        response = await self.rig.send_request(
            "/draft/x",
            f"prompt {number}".encode(),
            gateway_number,
            token_usage="100,4",
            prompt_prefix=f"first:40,{middle}:40,own{number}:20",
            model="m",
        )
        return response.status

    async def send_round(self, gateway_number: int) -> None:
        """Sends one crashing request, then sound ones once all are back."""
        crashes = {name: self.rig.runners[name].crashes for name in _RUNNERS}
        await self.send(gateway_number, _CRASHING_PART)
        await asyncio.sleep(0.35)
        for name, before in crashes.items():
            if self.rig.runners[name].crashes > before:
                self.rig.publish_runner(name)
        for middle in ("sound", "other"):
            self.sound.append(await self.send(gateway_number, middle))

    def count_crashing(self) -> int:
        """Returns how many crashing requests reached runners."""
        return sum(
            _CRASHING_PART in run.headers["prompt-prefix"]
            for run in self.rig.list_runs("m-")
        )


# Guards against requests that differ, but have a part in common that ends each
# upstream that runs it: they went on, one upstream after the other.
@pytest.mark.parametrize("gateways", [1, 3])
def test_a_part_that_ends_upstreams_is_avoided_and_sound_parts_go_on(
    gateways: int,
) -> None:
    async def main() -> None:
        async with gateway_rig.GatewayRig(gateways) as rig:
            for runner_id in _RUNNERS[2:]:
                await rig.start_runner(runner_id, "llm")
            rig.set_faults("m-", crash_marker=_CRASHING_PART)
            await asyncio.sleep(1)
            traffic = _Traffic(rig)
            for number in range(_ROUNDS):
                await traffic.send_round(number % gateways)
            assert traffic.count_crashing() <= _CRASHES + _MAX_SENDS_AFTER
            served = traffic.sound.count(200) / len(traffic.sound)
            assert served >= _MIN_SOUND_SHARE

    asyncio.run(main())
