"""Measures the duration of calls to a shared log and the bytes they receive."""

from collections.abc import Callable

from redwingchute.process import shared_log


class TimedLog:
    """Wraps a shared log and reports the duration of calls, and their bytes.

    The duration of reads that wait for a record is not measured, because it
    depends on when the record is appended.
    """

    def __init__(
        self,
        log: shared_log.SharedLog,
        read_clock_ms: Callable[[], int],
        record_call: Callable[[str, str, int], None],
        record_bytes: Callable[[str, bool, int], None],
    ) -> None:
        """Initializes the wrapper.

        Args:
          log: The wrapped log.
          read_clock_ms: Returns the time of a steady clock.
          record_call: Called with the name of a call, the class name of its
            result, and its duration in milliseconds.
          record_bytes: Called with the topic of a read, whether the response
            was usable, and the bytes that were received.
        """
        self._log = log
        self._read_clock_ms = read_clock_ms
        self._record_call = record_call
        self._record_bytes = record_bytes

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        """Appends records."""
        started_ms = self._read_clock_ms()
        result = await self._log.append(topic, records, stamp, at)
        self._record("append", result, started_ms)
        return result

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        """Reads records."""
        started_ms = self._read_clock_ms()
        result = await self._log.read(
            topic, position, wait_ms, response_timeout_ms
        )
        if not wait_ms:
            self._record("read", result, started_ms)
        self._record_received(topic, result)
        return result

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        """Reads the newest record of each key."""
        started_ms = self._read_clock_ms()
        result = await self._log.read_newest(topic)
        self._record("read_newest", result, started_ms)
        self._record_received(topic, result)
        return result

    def _record(self, call: str, result: object, started_ms: int) -> None:
        """Reports the duration of a completed call."""
        elapsed_ms = self._read_clock_ms() - started_ms
        self._record_call(call, type(result).__name__, elapsed_ms)

    def _record_received(
        self, topic: str, result: shared_log.ReadResult | shared_log.Newest
    ) -> None:
        """Reports the bytes that a read has received."""
        match result:
            case shared_log.ReadRecords() | shared_log.Newest():
                self._record_bytes(topic, True, result.received_bytes)
            case shared_log.LogUnavailable() if result.received_bytes:
                self._record_bytes(topic, False, result.received_bytes)
