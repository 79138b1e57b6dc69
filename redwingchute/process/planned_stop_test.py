"""Tests of a planned stop while callers keep sending, on loopback."""

import asyncio
import itertools

import attrs
import pytest

from redwingchute.connection import http_client
from redwingchute.testing import gateway_rig

_CALLERS = 24
# What the users allow: a request whose connection ends without an answer within
# this time of its last byte was never accepted.
_ACCEPTED_S = 0.2
_DEADLINE_S = 2.0


@attrs.define
class _Tally:
    """What callers saw.

    Attributes:
      answered: The responses that arrived whole.
      cut: The ids of requests that were accepted and got no whole response.
      unread: The ids of requests whose connection ended at once.
    """

    answered: int = 0
    cut: list[str] = attrs.Factory(list)
    unread: list[str] = attrs.Factory(list)


async def _send_until_closed(
    address: http_client.Address, numbers: "itertools.count[int]", tally: _Tally
) -> None:
    """Sends requests on one connection, each after the answer to the last.

    Half of them are sent as soon as the answer arrives, so that some cross the
    close of their connection.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
        except OSError:
            return
        try:
            while True:
                number = next(numbers)
                request_id = f"{number:016x}"
                writer.write(
                    f"POST /post/{number} HTTP/1.1\r\nHost: a.example\r\n"
                    f"Attempt-Id: {request_id}\r\nDeadline-Ms: 2000\r\n"
                    f"Authorization: Bearer {gateway_rig.KEY}\r\n"
                    "Content-Length: 4\r\n\r\nbody".encode()
                )
                sent_s = loop.time()
                try:
                    async with asyncio.timeout(_DEADLINE_S):
                        head = await reader.readuntil(b"\r\n\r\n")
                        length = int(
                            head.lower()
                            .split(b"content-length: ")[1]
                            .split()[0]
                        )
                        await reader.readexactly(length)
                except (TimeoutError, OSError, asyncio.IncompleteReadError):
                    accepted = loop.time() - sent_s > _ACCEPTED_S
                    (tally.cut if accepted else tally.unread).append(request_id)
                    break
                tally.answered += 1
                if b"connection: close" in head.lower():
                    break
                if number % 2:
                    await asyncio.sleep(0.03)
        finally:
            writer.close()


# Guards against requests that are accepted during a planned stop and cut off
# without an answer, or that run although nobody gets their answer.
def test_a_planned_stop_under_load_cuts_no_accepted_request_off() -> None:
    async def main() -> _Tally:
        tally = _Tally()
        numbers = itertools.count(1)
        async with gateway_rig.GatewayRig(gateway_count=1) as rig:
            rig.set_faults("l-", work_ms=40)
            address = rig.gateways[0].settings.listen
            callers = [
                asyncio.ensure_future(
                    _send_until_closed(address, numbers, tally)
                )
                for _ in range(_CALLERS)
            ]
            await asyncio.sleep(0.6)
            await rig.gateways[0].stop()
            await rig.gateways[0].__aexit__(None, None, None)
            await asyncio.wait(callers, timeout=_DEADLINE_S)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            ran = {run.request_id for run in rig.list_runs("l-")}
        assert not tally.cut
        assert not ran & set(tally.unread)
        return tally

    tally = asyncio.run(main())
    assert tally.answered > _CALLERS


async def _send_slowly(rig: gateway_rig.GatewayRig) -> gateway_rig.Response:
    """Sends a request to an upstream that works longer than the stop lasts."""
    return await rig.send_request("/post/slow", b"body", deadline_ms="20000")


# Guards against requests that reached an upstream and are cut off without an
# answer, since they last longer than the time of a planned stop.
@pytest.mark.parametrize("is_log_down", (False, True))
def test_a_request_that_outlasts_the_stop_is_answered(
    is_log_down: bool,
) -> None:
    async def main() -> gateway_rig.Response:
        document = gateway_rig.make_document()
        for route in document["routes"]:
            route["timeoutMs"] = 20_000
        async with gateway_rig.GatewayRig(
            document=document, stop_ms=3_000
        ) as rig:
            rig.set_faults("l-", work_ms=8_000)
            response = asyncio.ensure_future(_send_slowly(rig))
            await asyncio.sleep(0.3)
            rig.store.faults = attrs.evolve(
                rig.store.faults, is_down=is_log_down
            )
            await rig.gateways[0].stop()
            await rig.gateways[0].__aexit__(None, None, None)
            return await response

    response = asyncio.run(main())
    assert response.status == 502
    assert response.is_complete


# Guards against streams of callers of HTTP/1.0 that end as if complete, since
# the end of their connection is the only end that they have.
def test_a_stream_without_framing_that_is_cut_off_is_reset() -> None:
    async def main() -> bytes:
        async with gateway_rig.GatewayRig() as rig:
            rig.set_faults("m-", break_after_events=2)
            listen = rig.gateways[0].settings.listen
            reader, writer = await asyncio.open_connection(
                listen.ip, listen.port
            )
            writer.write(
                b"POST /draft/x HTTP/1.0\r\nHost: a.example\r\n"
                b"Attempt-Id: 00000000000000f1\r\nDeadline-Ms: 20000\r\n"
                b"Authorization: Bearer " + gateway_rig.KEY.encode() + b"\r\n"
                b"Model: m\r\nToken-Usage: 100,50\r\nPrompt-Prefix: aa:100\r\n"
                b"Content-Length: 6\r\n\r\nprompt"
            )
            return await reader.read()

    with pytest.raises(ConnectionResetError):
        asyncio.run(main())
