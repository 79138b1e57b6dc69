"""Builds what clients send that do not behave."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools

import attrs

from redwingchute.soak import caller_identity

# The limits that the configuration of a crowd's fleet states.
HEADER_BYTES = 16 * 1024
BODY_BYTES = 1024 * 1024
_SEGMENT_BYTES = 64 * 1024
_UNKNOWN_KEY = "unknown"


@attrs.frozen
class Crowd:
    """Clients that all send the same.

    Attributes:
      count: The number of clients.
      make_segments: Returns what one client sends, given its number.
      listener: Which of a host's addresses they connect to.
      faults: What the upstream simulates meanwhile, as of `RunnerFaults`.
      reads: Whether they read what the process sends.
    """

    count: int
    make_segments: Callable[[int], Iterator[bytes]]
    listener: str = "callers"
    faults: tuple[tuple[str, bool | int | str], ...] = ()
    reads: bool = True


def make_head(
    number: int,
    *framing: str,
    key: str = caller_identity.KEY,
    method: str = "POST",
) -> bytes:
    """Returns the head of one request to the route of repeatable requests.

    Args:
      number: The number of the client, part of the request's id.
      *framing: Further header lines.
      key: The client's key.
      method: The HTTP method.
    """
    lines = (
        f"{method} /lookup/crowd HTTP/1.1",
        f"host: {caller_identity.CALLED_HOST}",
        f"attempt-id: crowd-{number}",
        "deadline-ms: 60000",
        f"authorization: Bearer {key}",
        *framing,
    )
    return "\r\n".join((*lines, "", "")).encode()


def cut_into_segments(payload: bytes, size_bytes: int) -> Iterator[bytes]:
    """Yields a payload in segments of a size."""
    for begin in range(0, len(payload), size_bytes):
        yield payload[begin : begin + size_bytes]


def send_body(
    missing_bytes: int = 0,
    segment_bytes: int = _SEGMENT_BYTES,
    announced_bytes: int = BODY_BYTES,
    sent_bytes: int = BODY_BYTES,
    key: str = caller_identity.KEY,
) -> Callable[[int], Iterator[bytes]]:
    """Returns what makes a body with a length.

    Args:
      missing_bytes: How many bytes are not sent, from its end.
      segment_bytes: The size of the segments.
      announced_bytes: The length in the head.
      sent_bytes: The length of the body.
      key: The client's key.
    """

    def make(number: int) -> Iterator[bytes]:
        yield make_head(number, f"content-length: {announced_bytes}", key=key)
        body = bytes(sent_bytes - missing_bytes)
        yield from cut_into_segments(body, segment_bytes)

    return make


def send_chunks(
    chunk_bytes: int, content_bytes: int, is_complete: bool = False
) -> Callable[[int], Iterator[bytes]]:
    """Returns what makes a chunked body.

    Args:
      chunk_bytes: The content of each chunk.
      content_bytes: The content of all chunks.
      is_complete: Whether the last chunk is sent.
    """

    def make(number: int) -> Iterator[bytes]:
        yield make_head(number, "transfer-encoding: chunked")
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
        body = chunk * (content_bytes // chunk_bytes)
        yield from cut_into_segments(body, _SEGMENT_BYTES)
        if is_complete:
            yield b"0\r\n\r\n"

    return make


def send_many_fields(number: int) -> Iterator[bytes]:
    """Yields a head of many small fields, and a body without its end."""
    framing = "content-length: 10"
    room = HEADER_BYTES - len(make_head(number, framing))
    fields = [f"{index:03x}:" for index in range(room // len("fff:\r\n"))]
    yield make_head(number, framing, *fields)
    yield b"123456789"


def send_early(number: int) -> Iterator[bytes]:
    """Yields a request and, before its response, most of the next one."""
    yield make_head(number, method="GET")
    yield make_head(number, f"content-length: {BODY_BYTES}")
    yield from cut_into_segments(bytes(240 * 1024), _SEGMENT_BYTES)


def send_many_requests(
    count: int, path: str = "crowd", key: str = caller_identity.KEY
) -> Callable[[int], Iterator[bytes]]:
    """Returns what makes requests that do not wait for their responses.

    Args:
      count: The number of requests.
      path: The rest of their path; an unknown route is refused.
      key: The client's key.
    """

    def make(number: int) -> Iterator[bytes]:
        head = make_head(number, key=key, method="GET")
        head = head.replace(b"/lookup/crowd", f"/lookup/{path}".encode())
        yield from cut_into_segments(head * count, _SEGMENT_BYTES)

    return make


def send_many_parts(number: int) -> Iterator[bytes]:
    """Yields a generation with as many prompt parts as fit, without its end."""
    fields = ("model: m", "token-usage: 10,10", "content-length: 10")
    room = HEADER_BYTES - len(make_head(number, *fields)) - 64
    parts = ",".join(f"{index:03x}:1" for index in range(room // len("fff:1,")))
    yield make_head(number, *fields, f"prompt-prefix: {parts}")
    yield b"1234567890"


def send_single_bytes(number: int) -> Iterator[bytes]:
    """Yields a request in segments of one byte."""
    head = make_head(number, "content-length: 20000")
    yield from cut_into_segments(head + bytes(20_000 - 1), 1)


def await_permission(number: int) -> Iterator[bytes]:
    """Yields a head that asks whether its body may be sent."""
    yield make_head(
        number, f"content-length: {BODY_BYTES}", "expect: 100-continue"
    )


def ask_for_metrics(number: int) -> Iterator[bytes]:
    """Yields requests for metrics that do not wait for their responses."""
    del number
    yield b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n" * 2_000


def send_garbage(number: int) -> Iterator[bytes]:
    """Yields bytes that are no request."""
    del number
    for _ in range(64):
        yield bytes(range(256)) * 256


def send_extensions(number: int) -> Iterator[bytes]:
    """Yields a chunked body that is mostly framing."""
    yield make_head(number, "transfer-encoding: chunked")
    chunk = b"1;" + b"a" * 8_000 + b"\r\na\r\n"
    for _ in range(1_000):
        yield chunk


def send_long_ids(number: int) -> Iterator[bytes]:
    """Yields streams whose requests have ids that fill their heads."""
    fields = ("model: m", "token-usage: 1,1", "prompt-prefix: aa:1")
    for index in range(600):
        head = make_head(number, *fields, method="GET")
        head = head.replace(b"/lookup/", b"/summary/")
        long_id = f"{number}-{index}-" + "i" * (HEADER_BYTES - 1_024)
        yield head.replace(f"crowd-{number}".encode(), long_id.encode())


def ask_for_a_stream(number: int) -> Iterator[bytes]:
    """Yields a request for a long stream."""
    fields = ("model: m", "token-usage: 1,400000", "prompt-prefix: aa:1")
    head = make_head(number, *fields, method="GET")
    yield head.replace(b"/lookup/", b"/draft/").replace(
        b"deadline-ms: 60000", b"deadline-ms: 20000"
    )


def send_unique_parts(number: int) -> Iterator[bytes]:
    """Yields streams with prompt parts that no other one has."""
    room = HEADER_BYTES - 1_024
    for index in range(6):
        parts = ",".join(
            f"{part:03x}{number:03x}{index:x}:1"
            for part in range(room // len("fffffff:1,"))
        )
        fields = ("model: m", "token-usage: 1,1", f"prompt-prefix: {parts}")
        head = make_head(number, *fields, method="GET")
        yield head.replace(b"/lookup/", b"/draft/")


def send_half_a_head(number: int) -> Iterator[bytes]:
    """Yields the first bytes of a head."""
    yield make_head(number)[:40]


def send_nothing(number: int) -> Iterator[bytes]:
    """Yields nothing."""
    del number
    return iter(())


def ask_for_a_response(number: int) -> Iterator[bytes]:
    """Yields one request."""
    yield make_head(number, method="GET")


def send_ordinary_request() -> Iterator[bytes]:
    """Yields a small request, as nearly all are."""
    body = b"ordinary"
    yield make_head(0, f"content-length: {len(body)}") + body


_SLOW_UPSTREAM = (("capacity", 1_000), ("work_ms", 3_000))
_QUICK_UPSTREAM = (("capacity", 1_000), ("event_ms", 0))
_LARGE_RESPONSES = (("capacity", 1_000), ("padding_bytes", BODY_BYTES))

# The crowds, by the name of what they make the process hold.
CROWDS = {
    "bodies_but_the_last_byte": Crowd(64, send_body(missing_bytes=1)),
    "bodies_in_small_segments": Crowd(
        64, send_body(missing_bytes=1, segment_bytes=3_000)
    ),
    "bodies_without_a_key": Crowd(
        64, send_body(missing_bytes=1, key=_UNKNOWN_KEY)
    ),
    "whole_bodies": Crowd(64, send_body()),
    "chunked_bodies": Crowd(64, send_chunks(_SEGMENT_BYTES, BODY_BYTES)),
    "bodies_announced_over_the_limit": Crowd(
        64, send_body(announced_bytes=900_000_000)
    ),
    "chunked_bodies_over_the_limit": Crowd(
        64, send_chunks(_SEGMENT_BYTES, 3 * BODY_BYTES)
    ),
    "chunks_of_one_byte": Crowd(80, send_chunks(1, 100_000)),
    "chunks_of_seven_bytes": Crowd(80, send_chunks(7, 700_000)),
    "heads_of_many_fields": Crowd(150, send_many_fields),
    "bodies_that_run": Crowd(64, send_body(), faults=_SLOW_UPSTREAM),
    "next_requests_sent_early": Crowd(200, send_early, faults=_SLOW_UPSTREAM),
    "responses_that_nobody_reads": Crowd(
        64, ask_for_a_response, faults=_LARGE_RESPONSES, reads=False
    ),
    "streams_that_nobody_reads": Crowd(
        64, ask_for_a_stream, faults=_QUICK_UPSTREAM, reads=False
    ),
    "many_requests_at_once": Crowd(40, send_many_requests(1_000)),
    "many_refused_requests_at_once": Crowd(
        40, send_many_requests(2_000, key=_UNKNOWN_KEY)
    ),
    "prompts_of_many_parts": Crowd(150, send_many_parts),
    "single_bytes": Crowd(40, send_single_bytes),
    "bodies_that_await_permission": Crowd(64, await_permission),
    "garbage": Crowd(64, send_garbage),
    "chunks_of_mostly_framing": Crowd(64, send_extensions),
    "long_request_ids": Crowd(8, send_long_ids, faults=_QUICK_UPSTREAM),
    "unique_prompt_parts": Crowd(75, send_unique_parts, faults=_QUICK_UPSTREAM),
    "small_bodies": Crowd(
        300,
        send_body(missing_bytes=1, announced_bytes=60_000, sent_bytes=60_000),
    ),
    "idle_connections": Crowd(450, send_nothing),
    "half_heads": Crowd(450, send_half_a_head),
    "idle_connections_for_readiness": Crowd(
        450, send_nothing, listener="readiness"
    ),
    "idle_connections_for_metrics": Crowd(
        450, send_nothing, listener="metrics"
    ),
    "idle_connections_of_peers": Crowd(450, send_nothing, listener="peers"),
    "many_requests_for_metrics": Crowd(40, ask_for_metrics, listener="metrics"),
    "bodies_for_readiness": Crowd(
        64, send_body(missing_bytes=1), listener="readiness"
    ),
    "bodies_for_metrics": Crowd(
        64, send_body(missing_bytes=1), listener="metrics"
    ),
}


# What clients of a soak send: requests that never end, so that none may run.
UNFINISHED: dict[str, Callable[[int], Iterator[bytes]]] = {
    "idle": send_nothing,
    "half_heads": send_half_a_head,
    "bodies": send_body(
        1, announced_bytes=4 * BODY_BYTES, sent_bytes=4 * BODY_BYTES
    ),
    "bodies_without_a_key": send_body(1, key=_UNKNOWN_KEY),
    "bodies_over_the_limit": send_body(announced_bytes=900_000_000),
    "small_bodies": send_body(1, announced_bytes=60_000, sent_bytes=60_000),
    "large_chunks": send_chunks(_SEGMENT_BYTES, 3 * BODY_BYTES),
    "small_chunks": send_chunks(7, 300_000),
    "many_fields": send_many_fields,
    "single_bytes": send_single_bytes,
    "garbage": send_garbage,
}


def make_calm_requests() -> dict[str, Iterator[bytes]]:
    """Returns single requests inside the limits, by name."""
    large, number = 4 * BODY_BYTES, 0
    return {
        "4_mib_with_a_length": send_body(
            announced_bytes=large, sent_bytes=large
        )(number),
        "4_mib_in_chunks_of_64_kib": send_chunks(_SEGMENT_BYTES, large, True)(
            number
        ),
        "4_mib_in_chunks_of_100_bytes": send_chunks(100, large, True)(number),
        "1_mib_in_chunks_of_10_bytes": send_chunks(10, large // 4, True)(
            number
        ),
        "200_kb_in_chunks_of_1_byte": send_chunks(1, 200_000, True)(number),
        "a_head_of_many_fields": itertools.chain(
            send_many_fields(number), (b"0",)
        ),
    }
