"""A part of prompts ends each runner after some events of the answer."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness3 as h  # noqa: E402

# TROUBLE=0 leaves the disruption out.
_HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_RUNNERS = 6
_REQUESTS = 40
_GAP_S = 1.0
_PREFILL_S = 0.05
_EVENT_S = 0.02
# The events that a request with the part shows before its runner ends.
_EVENTS = int(os.environ.get("CRASH_EVENTS", "4"))
_DOWN_S = 2.0
_COUNTED_CRASHES = 5
_MAX_LATE = 3
_BAD_PART = "5c1e07a2"


async def play(case):
    arrivals = []
    crashes = []

    async def restart(runner):
        if not runner.is_up:
            return
        runner.crash()
        crashes.append(h.now())
        case.record.add("crashed", runner=runner.id)
        await asyncio.sleep(_DOWN_S)
        await runner.start()

    async def handle(runner, request, writer):
        parts = request.headers["prompt-prefix"].split(",")
        is_bad = any(part.startswith(_BAD_PART) for part in parts[:-1])
        if is_bad:
            arrivals.append(h.now())
        case.record.add("ran", runner=runner.id, id=request.id)
        await asyncio.sleep(_PREFILL_S)
        h.begin_stream(runner, request, writer)
        for number in range(10):
            if number == _EVENTS and is_bad and case.has_trouble:
                asyncio.ensure_future(restart(runner))
                await asyncio.sleep(60)
            h.send_event(writer, number)
            await asyncio.sleep(_EVENT_S)
        h.end_stream(writer)

    route = {
        "name": "summary",
        "host": "yield.example",
        "pathPrefix": "/summary/",
        "type": "streaming",
        "timeoutMs": 8000,
        "targetLatencyMs": 800,
        "targetGapMs": 600,
        "priority": 1,
        "service": "yield-llm",
        "maxAttempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
    }
    service = {
        "name": "yield-llm",
        "healthPath": "/healthz",
        "maxConnections": 370,
        "inferenceEngine": {"slots": 64, "kvCapacity": 464458, "stride": 5},
    }
    tenant = {"name": "floor", "apiKeys": ["key-floor"], "reserved": 90000000}
    case.configure(1, [route], [service], [tenant])
    zones = ("huon", "bruny")
    for number in range(_RUNNERS):
        await case.add_runner(
            "yield-llm", zones[number % 2], handle, slots=64
        )
    await case.add_routers(zones)
    await asyncio.sleep(5)

    async def send(number):
        router = case.routers[number % len(case.routers)]
        name = f"{number:04x}"
        answer = await h.call(
            router.ip,
            8227,
            "POST",
            f"/summary/{name}",
            {
                "Host": "yield.example",
                "Attempt-Id": f"summary-{name}",
                "Authorization": "Bearer key-floor",
                "Deadline-Ms": "8000",
                "Model": "m",
                "Token-Usage": "4000,50",
                "Prompt-Prefix": f"{_BAD_PART}:800,91bd{name}:3200",
            },
            f"lot {name}".encode(),
        )
        case.record.add(
            "answered",
            id=f"summary-{name}",
            router=router.name,
            status=answer.status,
            complete=answer.is_complete,
            events=answer.body.count(b"\n\n"),
        )

    for number in range(_REQUESTS):
        await send(number)
        await asyncio.sleep(_GAP_S)
    if not arrivals:
        raise h.CannotRun("no request reached a runner")
    crashes.sort()
    late = 0
    if len(crashes) >= _COUNTED_CRASHES:
        end = crashes[_COUNTED_CRASHES - 1] + h.CONTACT_S
        late = sum(at > end for at in arrivals)
    case.record.add(
        "judged", crashes=len(crashes), late=late, allowed=_MAX_LATE
    )
    print(f"crashes {len(crashes)}, late sends {late}")
    return late > _MAX_LATE


h.run_case(FOLDER, play, _HAS_TROUBLE)
