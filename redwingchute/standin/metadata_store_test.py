"""Tests of the metadata store's stand-in: its return from an earlier copy."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json

from redwingchute.connection import http_client
from redwingchute.standin import metadata_store

_READ = "/v1/log-read?topic=keyed.hosts&part=0"
_NEWEST = "/v1/log-newest?part=0&topic="
_AT_ONCE = metadata_store.Restoration(away_ms=0, rewrite_ms=0)

_Fetch = Callable[..., Awaitable[http_client.Fetched]]


def _run(
    scenario: Callable[[_Fetch, metadata_store.MetadataStore], Awaitable[None]],
) -> None:
    """Runs a scenario against a store."""

    async def main() -> None:
        async with (
            metadata_store.MetadataStore() as store,
            http_client.ClientPool() as pool,
        ):

            async def fetch(
                target: str, method: str = "GET", body: bytes = b""
            ) -> http_client.Fetched:
                address = http_client.Address("127.0.0.1", store.port)
                fetched = await pool.fetch(
                    address, method, target, [], body, 5_000, 1_000_000
                )
                assert isinstance(fetched, http_client.Fetched)
                return fetched

            await scenario(fetch, store)

    asyncio.run(main())


def test_a_return_from_a_copy_loses_later_records_and_starts_an_era() -> None:
    async def scenario(
        fetch: _Fetch, store: metadata_store.MetadataStore
    ) -> None:
        store.write_record("keyed.hosts", "a", b"1")
        store.take_copy()
        store.write_record("keyed.hosts", "a", b"2")
        before = await fetch(f"{_READ}&source=2")
        await store.restore_copy(_AT_ONCE)
        beyond_end = await fetch(f"{_READ}&source=2")
        newest = await fetch(f"{_NEWEST}keyed.hosts")
        assert (before.status, before.headers["store-era"]) == (200, "0")
        assert beyond_end.status == 410
        assert beyond_end.headers["store-era"] == "1"
        (entry,) = json.loads(newest.body)["entries"]
        assert (entry["value"], entry["offset"]) == ("MQ==", 0)

    _run(scenario)


def test_refusals_carry_the_era() -> None:
    async def scenario(
        fetch: _Fetch, store: metadata_store.MetadataStore
    ) -> None:
        await store.restore_copy(_AT_ONCE)
        store.faults = metadata_store.StoreFaults(is_busy=True)
        refused = await fetch(f"{_READ}&source=0")
        assert refused.status == 503
        assert refused.headers["store-era"] == "1"

    _run(scenario)


def test_producer_epochs_since_the_copy_are_lost() -> None:
    async def scenario(
        fetch: _Fetch, store: metadata_store.MetadataStore
    ) -> None:
        target = "/v1/log-append?topic=keyed.hosts&part=0&producer=p&sequence=0"
        store.take_copy()
        await fetch(f"{target}&epoch=2", "POST")
        fenced = await fetch(f"{target}&epoch=1", "POST")
        await store.restore_copy(_AT_ONCE)
        appended = await fetch(f"{target}&epoch=1", "POST")
        assert fenced.status == 409
        assert appended.status == 200

    _run(scenario)


def test_the_operator_and_the_upstreams_write_again() -> None:
    async def scenario(
        fetch: _Fetch, store: metadata_store.MetadataStore
    ) -> None:
        store.write_record("keyed.servers", "old", b"1")
        store.take_copy()
        store.write_record("keyed.servers", "old", None)
        store.write_record("keyed.servers", "new", b"2")
        await store.restore_copy(
            metadata_store.Restoration(away_ms=0, rewrite_ms=50)
        )
        restored = await fetch(f"{_NEWEST}keyed.servers")
        await asyncio.sleep(0.2)
        rewritten = await fetch(f"{_NEWEST}keyed.servers")
        keys = [
            [entry["key"] for entry in json.loads(page.body)["entries"]]
            for page in (restored, rewritten)
        ]
        assert keys == [["old"], ["new"]]

    _run(scenario)


def test_a_waiting_read_gets_no_response_when_the_store_goes_away() -> None:
    async def scenario(
        fetch: _Fetch, store: metadata_store.MetadataStore
    ) -> None:
        reading = asyncio.ensure_future(fetch(f"{_READ}&source=0&waitMs=20000"))
        await asyncio.sleep(0.05)
        await store.restore_copy(_AT_ONCE)
        failed = await asyncio.gather(reading, return_exceptions=True)
        assert isinstance(failed[0], AssertionError)

    _run(scenario)


def test_the_control_endpoint_restores_a_copy() -> None:
    async def scenario(
        fetch: _Fetch, store: metadata_store.MetadataStore
    ) -> None:
        await fetch("/control/copy", "POST", b"{}")
        store.write_record("keyed.hosts", "a", b"1")
        await fetch("/control/restore", "POST", b'{"away_ms": 10}')
        state = json.loads((await fetch("/control")).body)
        assert state["era"] == 1
        assert state["ends"] == {}

    _run(scenario)


def test_a_drill_is_determined_by_its_seed() -> None:
    first = metadata_store.draw_restorations(7, 5)
    assert first == metadata_store.draw_restorations(7, 5)
    assert first != metadata_store.draw_restorations(8, 5)


def test_an_older_release_sends_no_era() -> None:
    async def scenario(
        fetch: _Fetch, store: metadata_store.MetadataStore
    ) -> None:
        store.faults = metadata_store.StoreFaults(omits_era=True)
        assert "store-era" not in (await fetch(f"{_READ}&source=0")).headers

    _run(scenario)
