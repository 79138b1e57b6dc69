"""Runs a gateway's process before upstreams whose responses are none.

They answer a long upload before they have read it and break off, send a status
that is none, or send bytes without end.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import pathlib

import pytest

from redwingchute.testing import odd_upstream_rig
from redwingchute.testing import scripted_upstream

_UPLOAD = bytes(2 * 1024 * 1024)
_PART = b"a part of the body"
_EVENT = b'id: 1\ndata: {"n": 1}\n\n'
_PAUSE_S = 0.2
_CHUNKED = "transfer-encoding: chunked"
_EVENTS = "content-type: text/event-stream"
_NO_STATUSES = (
    *("000", "001", "099", "600", "700", "999"),
    *("20", "2000", "-20", "abc", "", "2x0", "0x1"),
)


def _chunk(content: bytes) -> bytes:
    """Returns a chunk."""
    return b"%x\r\n%b\r\n" % (len(content), content)


# What the upstream sends, by its name: header lines, and the part of the body.
_PARTS: dict[str, tuple[tuple[str, ...], bytes]] = {
    "without length": ((), _PART),
    "short": (("content-length: 4000",), _PART),
    "in chunks": ((_CHUNKED,), _chunk(_PART)),
    "within a chunk": ((_CHUNKED,), b"100\r\n" + _PART),
    "events without length": ((_EVENTS,), _EVENT),
    "events in chunks": ((_EVENTS, _CHUNKED), _chunk(_EVENT)),
}


async def _reset(connection: scripted_upstream.UpstreamConnection) -> None:
    """Resets the connection."""
    connection.reset()


async def _close(connection: scripted_upstream.UpstreamConnection) -> None:
    """Closes it with the upload unread, once the script ends."""
    del connection


async def _half_close(connection: scripted_upstream.UpstreamConnection) -> None:
    """Ends the response alone, and resets the connection later."""
    connection.end_output()
    await asyncio.sleep(2 * _PAUSE_S)
    connection.reset()


_ENDS: dict[
    str, Callable[[scripted_upstream.UpstreamConnection], Awaitable[None]]
] = {"reset": _reset, "close": _close, "half close": _half_close}


def _answer_and_break_off(
    lines: tuple[str, ...],
    payload: bytes,
    end: Callable[[scripted_upstream.UpstreamConnection], Awaitable[None]],
    pause_s: float,
) -> scripted_upstream.Script:
    """Returns a script that sends a part of a response before the upload."""

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request = await connection.read_head()
        head = odd_upstream_rig.make_head(request, "200", *lines)
        await connection.send(head + payload, pause_s=pause_s)
        await end(connection)

    return serve


def _answer_with_status(status: str) -> scripted_upstream.Script:
    """Returns a script that sends a response with a status."""

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request = await connection.read_request()
        framing = f"content-length: {len(_PART)}"
        head = odd_upstream_rig.make_head(request, status, framing)
        await connection.send(head + _PART)

    return serve


# Guards against a part of a response that a caller gets as a whole one, since
# its upstream broke off while the upload was still being written.
@pytest.mark.parametrize("service", ["ledger", "llm"])
def test_no_response_that_breaks_off_during_an_upload_looks_whole(
    service: str, tmp_path: pathlib.Path
) -> None:
    async def main() -> list[str]:
        found = []
        async with odd_upstream_rig.OddUpstreamRig(tmp_path, service) as rig:
            for part, end, pause_s, is_chunked in itertools.product(
                _PARTS, _ENDS, (0.0, _PAUSE_S), (False, True)
            ):
                rig.script = _answer_and_break_off(
                    *_PARTS[part], _ENDS[end], pause_s
                )
                seen = await rig.send(rig.make_request(_UPLOAD, is_chunked))
                if seen.is_complete and seen.status != 502:
                    found.append(f"{part}, {end}, {pause_s} s: {seen}")
        return found

    assert asyncio.run(main()) == []


# Guards against a whole response that is given up, since its upstream ends it
# before it has read the upload, as HTTP allows.
def test_a_response_that_ends_before_the_upload_is_read_is_whole(
    tmp_path: pathlib.Path,
) -> None:
    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request = await connection.read_head()
        head = odd_upstream_rig.make_head(request, "200")
        await connection.send(head + _PART)
        connection.end_output()
        await asyncio.sleep(_PAUSE_S)
        await connection.read_body(request)

    async def main() -> odd_upstream_rig.SeenResponse:
        async with odd_upstream_rig.OddUpstreamRig(tmp_path, "ledger") as rig:
            rig.script = serve
            return await rig.send(rig.make_request(_UPLOAD))

    seen = asyncio.run(main())
    assert seen == odd_upstream_rig.SeenResponse(200, _PART, True)


# Guards against a response without a body that is given up, since its upstream
# closes without having read the upload.
def test_a_response_without_a_body_is_whole_with_its_head(
    tmp_path: pathlib.Path,
) -> None:
    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request = await connection.read_head()
        await connection.send(odd_upstream_rig.make_head(request, "204"))
        connection.end_output()
        await asyncio.sleep(_PAUSE_S)

    async def main() -> odd_upstream_rig.SeenResponse:
        async with odd_upstream_rig.OddUpstreamRig(tmp_path, "ledger") as rig:
            rig.script = serve
            return await rig.send(rig.make_request(_UPLOAD))

    seen = asyncio.run(main())
    assert seen == odd_upstream_rig.SeenResponse(204, b"", True)


# Guards against a status that is none, which no caller can make sense of.
@pytest.mark.parametrize("service", ["ledger", "llm"])
def test_a_status_that_is_none_is_no_response(
    service: str, tmp_path: pathlib.Path
) -> None:
    async def main() -> list[str]:
        found = []
        async with odd_upstream_rig.OddUpstreamRig(tmp_path, service) as rig:
            for status in _NO_STATUSES:
                rig.script = _answer_with_status(status)
                seen = await rig.send(rig.make_request(b"x"))
                if seen.status != 502 or not seen.is_complete:
                    found.append(f"{status}: {seen}")
        return found

    assert asyncio.run(main()) == []
