"""A version raises a limit; channels that were open before don't get it."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness3 as h  # noqa: E402

_CHANNELS = 20
_LOW_BYTES = 4_096
_HIGH_BYTES = 16_384
_HEAD_BYTES = 9_000
_FIRST_PART_BYTES = 6_000
_APPLY_S = 2.0
_ALLOWED = 5
_ALLOWED_SHARE = 1 / 500


async def ask_in_parts(channel, number):
    """Sends a lookup with a long head in two parts; returns the status."""
    head = (
        f"GET /lots/{number} HTTP/1.1\r\n"
        "Host: yield.example\r\n"
        f"Attempt-Id: long-{number}\r\n"
        "Authorization: Bearer key-floor\r\n"
        "Deadline-Ms: 1500\r\n"
        "X-Trace: "
    ).encode()
    head += b"t" * (_HEAD_BYTES - len(head) - 4) + b"\r\n\r\n"
    answer = h.Answer()
    try:
        async with asyncio.timeout(1.5):
            channel.writer.write(head[:_FIRST_PART_BYTES])
            await asyncio.sleep(0.02)
            channel.writer.write(head[_FIRST_PART_BYTES:])
            await channel._read(answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    return answer.status


async def play(case):
    async def handle(runner, request, writer):
        case.record.add("ran", runner=runner.id, id=request.id)
        await asyncio.sleep(0.06)
        h.send_answer(runner, request, writer, b"x" * 800)

    def publish(version, header_bytes):
        route = {
            "name": "lots",
            "host": "yield.example",
            "pathPrefix": "/lots/",
            "type": "idempotent",
            "timeoutMs": 800,
            "targetLatencyMs": 300,
            "priority": 2,
            "service": "yield-ledger",
            "maxAttempts": 2,
            "public": False,
            "sticky": False,
            "resumable": False,
        }
        service = {
            "name": "yield-ledger",
            "healthPath": "/healthz",
            "maxConnections": 110,
        }
        limits = {
            "maxHeaderBytes": header_bytes,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        tenant = {"name": "floor", "apiKeys": ["key-floor"]}
        case.configure(version, [route], [service], [tenant], limits)
        case.record.add("acknowledged", version=version, limits=limits)

    publish(1, _LOW_BYTES if case.has_trouble else _HIGH_BYTES)
    for zone in ("huon", "bruny"):
        await case.add_runner("yield-ledger", zone, handle, slots=12)
    await case.add_routers(("huon", "bruny"))
    await asyncio.sleep(4)
    channels = []
    requests = 0

    async def ask_briefly(number, channel):
        nonlocal requests
        requests += 1
        answer = await channel.ask(
            "GET",
            f"/lots/{number}",
            {
                "Host": "yield.example",
                "Attempt-Id": f"short-{requests}",
                "Authorization": "Bearer key-floor",
                "Deadline-Ms": "1500",
            },
        )
        case.record.add(
            "answered", id=f"short-{requests}", status=answer.status
        )

    for number in range(_CHANNELS):
        channel = h.Channel(case.routers[number % 2].ip, 8227)
        await channel.open()
        channels.append(channel)
        await ask_briefly(number, channel)
    if case.has_trouble:
        publish(2, _HIGH_BYTES)
    for _ in range(3):
        await asyncio.sleep((_APPLY_S + 2) / 3)
        for number, channel in enumerate(channels):
            await ask_briefly(number, channel)
    denied = 0
    for number, channel in enumerate(channels):
        requests += 1
        status = await ask_in_parts(channel, number)
        case.record.add("answered", id=f"long-{number}", status=status)
        denied += 300 <= status < 500 and status not in (408, 421, 429)
    for channel in channels:
        channel.close()
    allowed = _ALLOWED + requests * _ALLOWED_SHARE
    case.record.add(
        "judged", denied=denied, requests=requests, allowed=allowed
    )
    print(f"denied {denied} of {requests}, allowed {allowed:.2f}")
    return denied > allowed


h.run_case(FOLDER, play)
