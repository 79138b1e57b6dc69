"""Tests of the interface and the faults of the platform stand-in."""

import asyncio
import base64
import json

from redwingchute.connection import http_client
from redwingchute.standin import platform
from redwingchute.testing import standin_calls

_RECORDS = "/streams/ledger-1/records"


async def _append(stand_in: platform.Platform, data: bytes) -> object:
    response = await standin_calls.fetch(stand_in.port, "POST", _RECORDS, data)
    if not isinstance(response, http_client.Fetched):
        return type(response)
    return response.status


async def _read(stand_in: platform.Platform, query: str) -> list[bytes]:
    body = await standin_calls.fetch_json(
        stand_in.port, "GET", f"{_RECORDS}?{query}"
    )
    return [base64.b64decode(record["data"]) for record in body["records"]]


async def _exercise_log() -> None:
    async with platform.Platform() as stand_in:
        assert await _read(stand_in, "from=0") == []
        for data in (b"a", b"b", b"c"):
            assert await _append(stand_in, data) == 200
        assert await _read(stand_in, "from=1&limit=1") == [b"b"]
        waiting = asyncio.ensure_future(_read(stand_in, "from=3&wait_ms=9000"))
        while (await standin_calls.read_state(stand_in))["reads"] < 2:
            await asyncio.sleep(0)
        assert await _append(stand_in, b"d") == 200
        assert await waiting == [b"d"]
        assert await _read(stand_in, "from=9&wait_ms=1") == []
        trim = {"stream": "ledger-1", "before": 2}
        await standin_calls.fetch_json(
            stand_in.control_port, "POST", "/control/trim", trim
        )
        gone = await standin_calls.fetch(
            stand_in.port, "GET", f"{_RECORDS}?from=1"
        )
        assert isinstance(gone, http_client.Fetched)
        assert gone.status == 410
        assert json.loads(gone.body) == {"first": 2, "next": 4}
        assert await _read(stand_in, "from=2") == [b"c", b"d"]


def test_log_appends_reads_waits_and_trims() -> None:
    asyncio.run(_exercise_log())


async def _exercise_faults() -> None:
    async with platform.Platform() as stand_in:
        await standin_calls.set_faults(stand_in, is_down=True)
        broken = http_client.ExchangeBroken
        assert await _append(stand_in, b"never") is broken
        await standin_calls.set_faults(
            stand_in, is_down=False, lose_next_answers=1
        )
        assert await _append(stand_in, b"kept") is broken
        assert await _append(stand_in, b"answered") == 200
        assert await _read(stand_in, "from=0") == [b"kept", b"answered"]
        await standin_calls.set_faults(stand_in, appends_per_s=0.001)
        assert await _append(stand_in, b"first") == 200
        assert await _append(stand_in, b"too many") == 429
        await standin_calls.set_faults(stand_in, weights_per_s=0.001)
        statuses = []
        for _ in range(2):
            response = await standin_calls.fetch(
                stand_in.port, "GET", "/weights/m"
            )
            assert isinstance(response, http_client.Fetched)
            statuses.append(response.status)
            retry_after = response.headers.get("retry-after")
        assert statuses == [200, 429]
        assert retry_after == "1"


def test_faults_are_switched_at_run_time() -> None:
    asyncio.run(_exercise_faults())


async def _exercise_hosts() -> None:
    host = {
        "name": "huon-1",
        "zone": "huon",
        "address": "127.0.0.1:1",
        "state": "live",
    }
    async with platform.Platform() as stand_in:
        await standin_calls.fetch_json(
            stand_in.control_port, "POST", "/control/hosts", {"hosts": [host]}
        )
        hosts = await standin_calls.fetch_json(stand_in.port, "GET", "/hosts")
        assert hosts == [host]
        await standin_calls.set_faults(stand_in, host_list_lag_ms=3_600_000)
        hosts = await standin_calls.fetch_json(stand_in.port, "GET", "/hosts")
        assert hosts == []


def test_host_list_lags() -> None:
    asyncio.run(_exercise_hosts())


async def _collect_findings(path: str, body: bytes) -> list[str]:
    async with platform.Platform() as stand_in:
        response = await standin_calls.fetch(stand_in.port, "POST", path, body)
        assert isinstance(response, http_client.Fetched)
        assert response.status == 400
        return [f["place"] for f in json.loads(response.body)["findings"]]


def test_every_invalid_field_of_a_control_request_is_reported() -> None:
    cases = {
        ("/control", b'{"slow_ms": -1, "is_down": 1, "x": 0}'): [
            "slow_ms",
            "is_down",
            "x",
        ],
        ("/control", b"no json"): ["body"],
        ("/control", b"[]"): ["body"],
        ("/control/trim", b"{}"): ["stream", "before"],
        ("/control/hosts", b'{"hosts": [{"name": "a", "zone": "z"}]}'): [
            "hosts[0].address",
            "hosts[0].state",
            "hosts[0].state",
        ],
    }
    for (path, body), places in cases.items():
        assert asyncio.run(_collect_findings(path, body)) == places
