"""Runs a gateway's process before upstreams that send bytes without end.

The host states little memory, and each test has the processes of its own and
runs alone.
"""

import asyncio
import itertools
import pathlib

import attrs
import pytest

from redwingchute.testing import odd_upstream_rig
from redwingchute.testing import scripted_upstream

pytestmark = pytest.mark.crowd

# The smallest host that a gateway runs on.
_MEMORY_MB = 128
# The shortest deadline that callers state (695 ms, grown/LATER.md).
_PATIENCE_S = 0.695
_FEW, _MANY = 12, 120
_ORDINARY_REQUESTS = 8
_PAUSE_S = 0.1
_DEADLINE_MS = 2_000
_CHUNKED = ("transfer-encoding: chunked",)
_EVENTS = ("content-type: text/event-stream", *_CHUNKED)


@attrs.frozen
class _Endless:
    """What an upstream sends.

    Attributes:
      piece: What it repeats.
      status: The status of its response; empty for no head.
      lines: Further header lines.
      begin: What follows the head once.
      count: How many requests it gets.
      pause_s: The pause after each segment, which then is a single piece.
    """

    piece: bytes
    status: str = "200"
    lines: tuple[str, ...] = ()
    begin: bytes = b""
    count: int = _FEW
    pause_s: float = 0.0


def _chunk(content: bytes) -> bytes:
    """Returns a chunk."""
    return b"%x\r\n%b\r\n" % (len(content), content)


_BYTE_CHUNKS = _chunk(b"a")
_KINDS = {
    "no response": _Endless(b"no response", ""),
    "line": _Endless(b"a", "", begin=b"HTTP/1.1 200 "),
    "header": _Endless(b"a", "", begin=b"HTTP/1.1 200 OK\r\nx: "),
    "headers": _Endless(b"x: a\r\n", "", begin=b"HTTP/1.1 200 OK\r\n"),
    "interim": _Endless(b"HTTP/1.1 103 Early Hints\r\n\r\n", ""),
    "plain body": _Endless(b"a", "500"),
    "plain chunks": _Endless(_chunk(bytes(1_000)), "500", _CHUNKED),
    "byte chunks": _Endless(_BYTE_CHUNKS, "500", _CHUNKED),
    "many byte chunks": _Endless(_BYTE_CHUNKS, "500", _CHUNKED, count=_MANY),
    "byte chunks of events": _Endless(_BYTE_CHUNKS, "200", _EVENTS),
    "many byte chunks of events": _Endless(
        _BYTE_CHUNKS, "200", _EVENTS, count=_MANY
    ),
    "empty events": _Endless(_chunk(b"\n"), "200", _EVENTS),
    "events": _Endless(_chunk(b"data: a\n\n"), "200", _EVENTS),
    "many events": _Endless(
        _chunk(b"data: a\n\n"), "200", _EVENTS, count=_MANY
    ),
    "comments": _Endless(_chunk(b": a\n"), "200", _EVENTS),
    "one event": _Endless(_chunk(1_000 * b"a"), "200", _EVENTS),
    "many of one event": _Endless(
        _chunk(1_000 * b"a"), "200", _EVENTS, count=_MANY
    ),
    "many plain bodies": _Endless(b"a", "500", count=_MANY),
    "chunk extension": _Endless(b"a", "500", _CHUNKED, b"1;"),
    "chunk size": _Endless(b"0", "500", _CHUNKED),
    "trailers": _Endless(b"x: a\r\n", "500", _CHUNKED, b"0\r\n"),
    "refusal": _Endless(b"a", "503", ("not-executed: 1",)),
    "refusal of byte chunks": _Endless(
        _BYTE_CHUNKS, "503", ("not-executed: 1", *_CHUNKED), count=_MANY
    ),
    "after a whole response": _Endless(
        b"a", "500", ("content-length: 1",), b"x"
    ),
    "responses": _Endless(
        b"HTTP/1.1 500 Reason\r\ncontent-length: 0\r\n\r\n", ""
    ),
    "trickle of a head": _Endless(
        b"a", "", begin=b"HTTP/1.1 200 OK\r\nx: ", count=_MANY, pause_s=_PAUSE_S
    ),
    "trickle of a body": _Endless(b"a", "500", count=_MANY, pause_s=_PAUSE_S),
    "trickle of chunks": _Endless(
        _BYTE_CHUNKS, "200", _EVENTS, count=_MANY, pause_s=_PAUSE_S
    ),
}


def _make_script(kind: _Endless) -> scripted_upstream.Script:
    """Returns a script that sends without end until it is closed."""

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        request = await connection.read_request()
        head = b""
        if kind.status:
            head = odd_upstream_rig.make_head(request, kind.status, *kind.lines)
        await connection.send(head + kind.begin)
        size_bytes = 1 if kind.pause_s else 16 * 1024
        for segment in odd_upstream_rig.repeat(kind.piece, size_bytes):
            await connection.send(segment, pause_s=kind.pause_s)

    return serve


# Guards against an upstream that takes a process's memory, or its turns, by
# bytes without end.
@pytest.mark.parametrize("name", _KINDS)
def test_a_process_bears_an_endless_response(
    name: str, tmp_path: pathlib.Path
) -> None:
    kind = _KINDS[name]

    async def main() -> tuple[float, float]:
        async with odd_upstream_rig.OddUpstreamRig(
            tmp_path, "llm", _MEMORY_MB
        ) as rig:
            rig.script = _make_script(kind)
            requests = [
                asyncio.ensure_future(
                    rig.send(
                        rig.make_request(
                            b"x",
                            attempt=f"odd-{number}",
                            deadline_ms=_DEADLINE_MS,
                        )
                    )
                )
                for number in range(kind.count)
            ]
            longest_s = 0.0
            for _ in itertools.repeat(None, _ORDINARY_REQUESTS):
                await asyncio.sleep(_PAUSE_S)
                longest_s = max(longest_s, await rig.measure_ordinary_s())
            await asyncio.wait(requests)
            assert not any(
                seen.is_complete and seen.status == 200
                for seen in [task.result() for task in requests]
            )
            # Whatever is left of them must not keep others waiting.
            longest_s = max(longest_s, await rig.measure_ordinary_s())
            return longest_s, rig.read_peak_memory_mb()

    longest_s, peak_memory_mb = asyncio.run(main())
    print(f"{name}: {longest_s:.3f} s, {peak_memory_mb:.0f} MB")
    assert peak_memory_mb <= _MEMORY_MB
    assert longest_s <= _PATIENCE_S
