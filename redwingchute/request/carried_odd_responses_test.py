"""Tests of odd responses that a peer carries: parts, and bytes without end."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from redwingchute.testing import gateway_rig
from redwingchute.testing import odd_upstream_rig
from redwingchute.testing import scripted_upstream
from redwingchute.testing import upstream_cut

_UPLOAD = bytes(2 * 1024 * 1024)
_PART = b"a part of the body"
_PAUSE_S = 0.2
_PATIENCE_S = 2.0
_FEW = 12
_CHUNKED = "transfer-encoding: chunked"


def _run(
    script: scripted_upstream.Script,
    scenario: Callable[[gateway_rig.GatewayRig], Awaitable[None]],
) -> None:
    """Runs a scenario on a gateway without paths, and one that has them.

    Args:
      script: What the upstreams of lookups and posts do.
      scenario: The scenario.
    """

    async def main() -> None:
        async with scripted_upstream.ScriptedUpstream(script) as odd:
            addresses = {"l-1": odd.address, "l-2": odd.address}
            async with gateway_rig.GatewayRig(
                2, addresses=addresses, document=gateway_rig.make_document()
            ) as rig:
                await asyncio.sleep(1)
                rig.cuts[0].begin(upstream_cut.CutKind.RESET)
                await scenario(rig)
                assert odd.connection_count > 0

    asyncio.run(main())


# Guards against a part that passes as a whole response by way of a peer.
@pytest.mark.parametrize(
    ("lines", "payload"),
    [
        ((), _PART),
        (("content-length: 4000",), _PART),
        ((_CHUNKED,), b"%x\r\n%b\r\n" % (len(_PART), _PART)),
    ],
    ids=["without length", "short", "in chunks"],
)
@pytest.mark.parametrize("end", ["reset", "close", "half close"])
def test_no_carried_response_that_breaks_off_looks_whole(
    lines: tuple[str, ...], payload: bytes, end: str
) -> None:
    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request = await connection.read_head()
        head = odd_upstream_rig.make_head(request, "200", *lines)
        await connection.send(head + payload, pause_s=_PAUSE_S)
        if end == "half close":
            connection.end_output()
            await asyncio.sleep(_PAUSE_S)
        if end != "close":
            connection.reset()

    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        for body in (_UPLOAD, b"x"):
            response = await rig.send_request("/post/x", body)
            assert response.status == 502 or not response.is_complete

    _run(serve, scenario)


# Guards against a peer, or a router behind it, whose turns an endless response
# takes.
@pytest.mark.parametrize(
    ("lines", "piece"),
    [((), b"a"), ((_CHUNKED,), b"1\r\na\r\n"), ((_CHUNKED,), b"0")],
    ids=["body", "byte chunks", "chunk size"],
)
def test_endless_responses_that_are_carried_leave_turns_to_others(
    lines: tuple[str, ...], piece: bytes
) -> None:
    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request = await connection.read_request()
        await connection.send(
            odd_upstream_rig.make_head(request, "500", *lines)
        )
        for segment in odd_upstream_rig.repeat(piece):
            await connection.send(segment)

    async def scenario(rig: gateway_rig.GatewayRig) -> None:
        odd = [
            asyncio.ensure_future(rig.send_request("/post/x", b"x"))
            for _ in range(_FEW)
        ]
        await asyncio.sleep(_PAUSE_S)
        async with asyncio.timeout(_PATIENCE_S):
            response = await rig.generate("/draft/x", 100, 20)
        assert response.status == 200
        for request in odd:
            assert (await request).status != 200

    _run(serve, scenario)
