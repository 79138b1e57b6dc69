"""The settings of a machine name a new address of the store; it isn't used."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness3 as h  # noqa: E402

_OVERLAP_S = 10.0
_APPLY_S = 2.0
_OUTER_S = 5.0
_REQUESTS = 20


async def play(case):
    runs = set()

    async def handle(runner, request, writer):
        runs.add(request.id)
        case.record.add("ran", runner=runner.id, id=request.id)
        await asyncio.sleep(0.06)
        h.send_answer(runner, request, writer, b"x" * 800)

    def publish(version, keys):
        route = {
            "name": "certs",
            "host": "yield.example",
            "pathPrefix": "/certs/",
            "type": "non_idempotent",
            "timeoutMs": 800,
            "targetLatencyMs": 300,
            "priority": 2,
            "service": "yield-ledger",
            "maxAttempts": 1,
            "public": False,
            "sticky": False,
            "resumable": False,
        }
        service = {
            "name": "yield-ledger",
            "healthPath": "/healthz",
            "maxConnections": 110,
        }
        tenant = {"name": "floor", "apiKeys": keys}
        case.configure(version, [route], [service], [tenant])
        case.record.add("acknowledged", version=version)

    async def send(number, key):
        router = case.routers[number % len(case.routers)]
        name = f"{key}-{number}"
        answer = await h.call(
            router.ip,
            8227,
            "POST",
            f"/certs/{number}",
            {
                "Host": "yield.example",
                "Attempt-Id": name,
                "Authorization": f"Bearer {key}",
                "Deadline-Ms": "1500",
            },
            b"certificate",
        )
        case.record.add("answered", id=name, status=answer.status)
        return name

    publish(1, ["key-kept", "key-dropped"])
    for zone in ("huon", "bruny"):
        await case.add_runner("yield-ledger", zone, handle, slots=6)
    # The first machine has an address of the store of its own.
    await case.add_routers(("huon",))
    await case.store.add_address()
    await case.add_routers(("bruny", "tamar", "derwent"))
    await asyncio.sleep(4)
    if case.has_trouble:
        await case.store.add_address()
        router = case.routers[0]
        router.fields["platform.address"] = case.store.address
        router.write_settings()
        router.send_signal(signal.SIGHUP)
        case.record.add("settings changed", machine=router.name)
    await asyncio.sleep(_OVERLAP_S)
    if case.has_trouble:
        case.store.remove_first_address()
        case.record.add("the old address of the store is gone")
    await asyncio.sleep(h.CONTACT_S + 1)
    publish(2, ["key-kept"])
    await asyncio.sleep(_APPLY_S + _OUTER_S + 1)
    broken = 0
    for number in range(_REQUESTS):
        await send(number, "key-kept")
        broken += await send(number, "key-dropped") in runs
        await asyncio.sleep(0.1)
    case.record.add("judged", broken=broken)
    print(f"{broken} of {_REQUESTS} requests with a dropped key ran")
    return broken > 0


h.run_case(FOLDER, play)
