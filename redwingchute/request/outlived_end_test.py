"""Tests of upstreams that reset a connection and go on, on loopback."""

import asyncio

from redwingchute.testing import gateway_rig

_RUNNERS = ("l-1", "l-2")
_LOOKUPS = 24
_MAX_SENDS = 12


# Guards against sound requests that are refused as crashing, since the answers
# to two of them were lost by upstreams that run on.
def test_a_request_whose_answers_were_lost_is_not_refused_as_crashing() -> None:
    async def send_lookups(rig: gateway_rig.GatewayRig) -> None:
        responses = await asyncio.gather(
            *(rig.send_request(f"/lookup/{n}") for n in range(_LOOKUPS))
        )
        assert {response.status for response in responses} == {200}

    async def scenario() -> None:
        async with gateway_rig.GatewayRig() as rig:
            rig.set_faults("l-", work_ms=30)
            await asyncio.sleep(1)
            await send_lookups(rig)
            for _ in range(_MAX_SENDS):
                rig.set_faults("l-", lose_answers=True)
                response = await rig.send_request("/post/sound", b"body")
                rig.set_faults("l-", lose_answers=False)
                assert response.status == 502
                await send_lookups(rig)
                runs = [
                    name
                    for name in _RUNNERS
                    if any(
                        run.target == "/post/sound"
                        for run in rig.runners[name].runs
                    )
                ]
                if len(runs) == len(_RUNNERS):
                    break
            assert len(runs) == len(_RUNNERS)
            response = await rig.send_request("/post/sound", b"body")
            assert response.status == 200

    asyncio.run(scenario())
