"""Tests of the store client against the stand-in of the store, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from redwingchute.connection import http_client
from redwingchute.platform import store_client
from redwingchute.process import read_size
from redwingchute.process import shared_log
from redwingchute.standin import metadata_store
from redwingchute.testing import scripted_upstream

_TOPIC = "grants"
_PATIENCE_S = 20.0
# Twice what one response may hold.
_MAX_HELD_BYTES = 16 * 1024 * 1024


def _run(
    scenario: Callable[
        [store_client.StoreClient, metadata_store.MetadataStore],
        Awaitable[None],
    ],
) -> None:
    """Runs a scenario against a store."""

    async def main() -> None:
        async with (
            metadata_store.MetadataStore() as store,
            http_client.ClientPool() as pool,
        ):
            address = http_client.Address("127.0.0.1", store.port)
            await scenario(store_client.StoreClient(pool, address), store)

    asyncio.run(main())


def _make_record(key: str, value: bytes | None) -> shared_log.KeyedRecord:
    return shared_log.KeyedRecord(key, value)


def _make_position(offset: int, era: int = 0) -> shared_log.LogPosition:
    return shared_log.LogPosition(era, offset)


def _make_stamp(sequence: int, epoch: int = 1) -> shared_log.ProducerStamp:
    return shared_log.ProducerStamp("huon-1", epoch, sequence)


def test_reads_return_records_with_their_offsets() -> None:
    async def scenario(
        client: store_client.StoreClient, store: metadata_store.MetadataStore
    ) -> None:
        del store
        records = (_make_record("a", b"1"), _make_record("a", None))
        appended = await client.append(_TOPIC, records, _make_stamp(0))
        assert appended == shared_log.Appended(_make_position(2))
        assert await client.read(
            _TOPIC, _make_position(0), 0
        ) == shared_log.ReadRecords(
            (
                shared_log.KeyedRecord("a", b"1", 0),
                shared_log.KeyedRecord("a", None, 1),
            ),
            _make_position(2),
        )
        assert await client.read_newest(_TOPIC) == shared_log.Newest(
            (), _make_position(2)
        )

    _run(scenario)


def test_an_append_with_a_failed_condition_appends_nothing() -> None:
    async def scenario(
        client: store_client.StoreClient, store: metadata_store.MetadataStore
    ) -> None:
        del store
        records = (_make_record("a", b"1"),)
        await client.append(_TOPIC, records, _make_stamp(0))
        failed = await client.append(
            _TOPIC, records, _make_stamp(1), _make_position(0)
        )
        assert failed == shared_log.ConditionFailed(_make_position(1))

    _run(scenario)


def test_a_repeat_after_a_lost_response_appends_once() -> None:
    async def scenario(
        client: store_client.StoreClient, store: metadata_store.MetadataStore
    ) -> None:
        store.faults = metadata_store.StoreFaults(lose_next_answers=1)
        records = (_make_record("a", b"1"),)
        lost = await client.append(_TOPIC, records, _make_stamp(0))
        assert isinstance(lost, shared_log.LogUnavailable)
        assert lost.may_have_run
        again = await client.append(_TOPIC, records, _make_stamp(0))
        assert again == shared_log.Appended(_make_position(1))

    _run(scenario)


def test_a_later_epoch_fences_and_sequences_are_checked() -> None:
    async def scenario(
        client: store_client.StoreClient, store: metadata_store.MetadataStore
    ) -> None:
        del store
        records = (_make_record("a", b"1"),)
        await client.append(_TOPIC, records, _make_stamp(4, epoch=2))
        fenced = await client.append(_TOPIC, records, _make_stamp(5))
        assert fenced == shared_log.Fenced()
        skipped = await client.append(_TOPIC, records, _make_stamp(7, epoch=2))
        assert skipped == shared_log.WrongSequence(5)

    _run(scenario)


def test_a_read_waits_for_the_next_record() -> None:
    async def scenario(
        client: store_client.StoreClient, store: metadata_store.MetadataStore
    ) -> None:
        reading = asyncio.ensure_future(
            client.read("op", _make_position(0), 5_000)
        )
        await asyncio.sleep(0.05)
        store.write_record("keyed.op", "config", b"1")
        read = await reading
        assert isinstance(read, shared_log.ReadRecords)
        assert [record.value for record in read.records] == [b"1"]

    _run(scenario)


def test_a_read_of_deleted_history_is_reported() -> None:
    async def scenario(
        client: store_client.StoreClient, store: metadata_store.MetadataStore
    ) -> None:
        for number in range(1_201):
            store.write_record("keyed.op", f"k{number:04}", b"v")
        store.log.get_or_create_topic("keyed.op").discard_history()
        assert (
            await client.read("op", _make_position(0), 0)
            == shared_log.HistoryGone()
        )
        newest = await client.read_newest("op")
        assert isinstance(newest, shared_log.Newest)
        assert len(newest.records) == 1_201

    _run(scenario)


def test_a_refused_call_is_reported() -> None:
    async def scenario(
        client: store_client.StoreClient, store: metadata_store.MetadataStore
    ) -> None:
        store.faults = metadata_store.StoreFaults(is_busy=True)
        refused = await client.append(
            _TOPIC, (_make_record("a", b"1"),), _make_stamp(0)
        )
        assert refused == shared_log.LogUnavailable(
            "the store refused the call with status 503", era=0
        )

    _run(scenario)


def test_results_carry_the_era() -> None:
    async def scenario(
        client: store_client.StoreClient, store: metadata_store.MetadataStore
    ) -> None:
        records = (_make_record("a", b"1"),)
        await store.restore_copy(
            metadata_store.Restoration(away_ms=0, rewrite_ms=0)
        )
        appended = await client.append(_TOPIC, records, _make_stamp(0))
        assert appended == shared_log.Appended(_make_position(1, era=1))
        failed = await client.append(
            _TOPIC, records, _make_stamp(1), _make_position(0, era=1)
        )
        assert failed == shared_log.ConditionFailed(_make_position(1, era=1))
        skipped = await client.append(_TOPIC, records, _make_stamp(7))
        assert skipped == shared_log.WrongSequence(1, 1)
        fenced = await client.append(_TOPIC, records, _make_stamp(0, epoch=0))
        assert fenced == shared_log.Fenced(1)
        gone = await client.read(_TOPIC, _make_position(9), 0)
        assert gone == shared_log.HistoryGone(1)
        newest = await client.read_newest(_TOPIC)
        assert newest.era == 1
        store.faults = metadata_store.StoreFaults(is_busy=True)
        refused = await client.read_newest(_TOPIC)
        assert refused.era == 1

    _run(scenario)


def test_a_store_without_an_era_counts_as_era_0() -> None:
    async def scenario(
        client: store_client.StoreClient, store: metadata_store.MetadataStore
    ) -> None:
        await store.restore_copy(
            metadata_store.Restoration(away_ms=0, rewrite_ms=0)
        )
        store.faults = metadata_store.StoreFaults(omits_era=True)
        assert (await client.read_newest(_TOPIC)).era == 0

    _run(scenario)


# Guards against a store, or what answers in its place, that sends without end
# and takes a router's memory, or keeps it waiting.
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
@pytest.mark.parametrize("framing", ["", "transfer-encoding: chunked\r\n"])
def test_an_endless_response_is_given_up(framing: str, pause_s: float) -> None:
    size = read_size.ReadSize(read_size.ReadLimits(keep_ms=2_000))
    piece = b"1\r\na\r\n" if framing else b"a"
    segment = piece if pause_s else 2_000 * piece

    async def serve(connection: scripted_upstream.UpstreamConnection) -> None:
        await connection.read_request()
        await connection.send(f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode())
        while True:
            await connection.send(segment, pause_s=pause_s)

    async def main() -> None:
        async with (
            scripted_upstream.ScriptedUpstream(serve) as odd,
            http_client.ClientPool() as pool,
        ):
            client = store_client.StoreClient(pool, odd.address, size)
            async with asyncio.timeout(_PATIENCE_S):
                read = await client.read(_TOPIC, _make_position(0), 0)
                newest = await client.read_newest(_TOPIC)
            assert isinstance(read, shared_log.LogUnavailable)
            assert isinstance(newest, shared_log.LogUnavailable)
            assert pool.buffered_bodies.max_bytes <= _MAX_HELD_BYTES

    asyncio.run(main())
