"""Follows a keyed topic of the shared log.

The follower starts with the newest record of each key and then reads all
later records. It restarts from the newest records when the log has deleted
the records at its offset, has returned from an earlier copy, or has so many
further records that their newest ones are shorter. A record is
skipped unless it is newer than the last one that was delivered for its key. A
key's value thus goes back only with the log itself.

After a return from a copy the topic's writers write their lost records again.
Until they had time for this, keys that are missing from the copy are kept, and
keys that were removed before are not delivered again.
"""

import asyncio
from collections.abc import Callable

import attrs

from redwingchute.process import decision_log
from redwingchute.process import era_log
from redwingchute.process import shared_log

# The first and the longest pause after a failed read; it doubles each time.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 1.0
# An entry that is written and removed within this time was not in use: its
# writer has to start, to be read, and to be missed before it is removed.
_MAX_MISSED_MS = 1_000
# A topic that has more records than these reads return grows faster than it can
# be read.
_MAX_READS = 64
# The list of the newest records holds values in base64, and each with the names
# of its fields.
_LISTED_SHARE = 4 / 3
_LISTED_ENTRY_BYTES = 48


@attrs.frozen
class _Delivered:
    """The last delivered record of a key.

    Attributes:
      position: Its position.
      size_bytes: The size of its key and value; 0 if it has no value.
    """

    position: shared_log.LogPosition
    size_bytes: int

    @property
    def is_present(self) -> bool:
        """Whether the key has a value."""
        return self.size_bytes > 0


@attrs.frozen
class PollTiming:
    """How often a topic is read.

    Attributes:
      wait_ms: How long a read waits for a record.
      interval_ms: The minimum time between the starts of two reads.
      response_timeout_ms: How long after its wait a read counts as lost; None
        for the limit of all calls to the log. The next read then does not wait.
    """

    wait_ms: int
    interval_ms: int
    response_timeout_ms: int | None = None


class KeyedFollower:
    """Reads one topic and delivers its records in order.

    Attributes:
      confirmed_ms: When the delivered records were last confirmed to be the
        newest, on the clock that `read_clock_ms` reads; 0 before the first
        successful read.
      position: The position of the next read; None before the first one.
      failed_since_ms: When reads began to fail, on the same clock; 0 while
        they succeed.
      records_left: How many records the topic had beyond the last read; 0 if
        none, or if that is not known.
    """

    def __init__(
        self,
        log: era_log.EraLog,
        topic: str,
        timing: PollTiming,
        read_clock_ms: Callable[[], int],
        on_record: Callable[[shared_log.KeyedRecord], None],
        retain_only: Callable[[frozenset[str]], None] | None = None,
        rewrite_ms: int = 0,
        begin_era: Callable[[int], None] | None = None,
        handle_gap: Callable[[], None] | None = None,
    ) -> None:
        """Initializes the follower; `run` starts it.

        Args:
          log: The shared log.
          topic: The keyed topic.
          timing: How often it is read.
          read_clock_ms: Returns the current time.
          on_record: Called with each new record.
          retain_only: Called with all keys that exist after each start or
            restart, so that entries with other keys can be removed; `position`
            is then the one up to which they were read.
          rewrite_ms: How long the topic's writers may take to write again what
            the log lost when it returned from a copy.
          begin_era: Called with the era before the first record of each era is
            delivered.
          handle_gap: Called when records may have been missed: before those of
            the first list, and of each later one unless the last read was just
            before it.
        """
        self.confirmed_ms = 0
        self.failed_since_ms = 0
        self.position: shared_log.LogPosition | None = None
        self._log = log
        self._topic = topic
        self._timing = timing
        self._read_clock_ms = read_clock_ms
        self._on_record = on_record
        self._retain_only = retain_only
        self._rewrite_ms = rewrite_ms
        self._begin_era = begin_era
        self._handle_gap = handle_gap
        # When the writers have written again what the log may have lost; 0 if
        # it did not return from a copy, or if that time is over.
        self._rewritten_ms = 0
        self._delivered: dict[str, _Delivered] = {}
        self.records_left = 0
        # The mean size of the records that the last read returned.
        self._last_record_bytes = 0.0
        self._lock = asyncio.Lock()

    @property
    def is_settling(self) -> bool:
        """Whether lost records may still be missing after a new era began."""
        return self._rewritten_ms > 0

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        retry_s = _MIN_RETRY_S
        wait_ms = self._timing.wait_ms
        while True:
            started_ms = self._read_clock_ms()
            if await self.read_once(wait_ms):
                retry_s = _MIN_RETRY_S
                wait_ms = self._timing.wait_ms
                elapsed_ms = self._read_clock_ms() - started_ms
                pause_s = (self._timing.interval_ms - elapsed_ms) / 1000
            else:
                # What was appended meanwhile must not wait any longer.
                wait_ms = 0
                pause_s = retry_s
                retry_s = min(_MAX_RETRY_S, 2 * retry_s)
            await asyncio.sleep(max(0.0, pause_s))

    async def read_once(self, wait_ms: int = 0) -> bool:
        """Reads once and delivers the new records.

        Args:
          wait_ms: How long the log may wait for a record before it replies.

        Returns:
          Whether the read succeeded, so that the delivered records are the
          newest.
        """
        async with self._lock:
            return await self._read_all(wait_ms)

    async def confirm(self) -> bool:
        """Reads unless a read that began since the call has succeeded.

        Returns:
          Whether the delivered records are all that the log had at the call.
        """
        asked_ms = self._read_clock_ms()
        async with self._lock:
            return self._is_confirmed_since(asked_ms) or await self._read_all()

    def _is_confirmed_since(self, time_ms: int) -> bool:
        """Returns whether the last read succeeded and began after a time."""
        return not self.failed_since_ms and self.confirmed_ms > time_ms

    async def _read_all(self, wait_ms: int = 0) -> bool:
        """Reads to the end of the topic; see `read_once`."""
        for _ in range(_MAX_READS):
            if not await self._read_some(wait_ms):
                return False
            if not self.records_left:
                return True
            wait_ms = 0
        return False

    async def _read_some(self, wait_ms: int) -> bool:
        """Reads once, up to what one response holds."""
        if (
            self.position is None
            or self.position.era != self._log.era
            or 0 < self._rewritten_ms <= self._read_clock_ms()
            or self._is_list_shorter()
        ):
            return self._record_result(await self._start())
        started_ms = self._read_clock_ms()
        timeout_ms = self._timing.response_timeout_ms if wait_ms else None
        match await self._log.read(
            self._topic, self.position, wait_ms, timeout_ms
        ):
            case shared_log.ReadRecords(records, next_position, records_left):
                if (
                    self._handle_gap is not None
                    and records
                    and records[0].offset > self.position.offset
                ):
                    self._handle_gap()
                for record in records:
                    self._deliver_if_newer(record, next_position.era)
                self.position = next_position
                self._record_left(records_left, records)
                if records_left:
                    return True
                # A read without a wait returns the records that the log
                # has at some time after `started_ms`; a waiting read
                # returns those that it has when the wait ends.
                if not wait_ms:
                    self.confirmed_ms = started_ms
                else:
                    self.confirmed_ms = self._read_clock_ms()
                return self._record_result(None)
            case shared_log.HistoryGone():
                decision_log.log_event(
                    "log_history_gone",
                    topic=self._topic,
                    era=self.position.era,
                    offset=self.position.offset,
                )
                return self._record_result(await self._start())
            case shared_log.LogUnavailable() as failure:
                return self._record_result(failure)

    async def _start(self) -> shared_log.LogUnavailable | None:
        """Reads the newest record of each key."""
        started_ms = self._read_clock_ms()
        newest = await self._log.read_newest(self._topic)
        if isinstance(newest, shared_log.LogUnavailable):
            return newest
        era_before = 0 if self.position is None else self.position.era
        if newest.era != era_before:
            # The first read may also come just after a return from a copy.
            self._rewritten_ms = (
                started_ms + self._rewrite_ms if self._rewrite_ms else 0
            )
        elif 0 < self._rewritten_ms <= started_ms:
            # What the log holds now is valid, also where it differs from what
            # was delivered of the previous era.
            self._rewritten_ms = 0
            self._delivered.clear()
        if self._handle_gap is not None and (
            self.position is None
            or started_ms - self.confirmed_ms > _MAX_MISSED_MS
        ):
            self._handle_gap()
        if self._begin_era is not None and (
            self.position is None or self.position.era != newest.era
        ):
            self._begin_era(newest.era)
        for record in newest.records:
            delivered = self._delivered.get(record.key)
            if self.is_settling and delivered and not delivered.is_present:
                continue
            self._deliver_if_newer(record, newest.era)
        self.position = newest.next_position
        self._record_left(0, ())
        if not self.is_settling:
            self._retain(frozenset(record.key for record in newest.records))
        self.confirmed_ms = started_ms
        return None

    def _retain(self, keys: frozenset[str]) -> None:
        """Removes all keys except the given ones."""
        for key, delivered in self._delivered.items():
            if key not in keys:
                self._delivered[key] = attrs.evolve(delivered, size_bytes=0)
        if self._retain_only is not None:
            self._retain_only(keys)

    def _deliver_if_newer(
        self, record: shared_log.KeyedRecord, era: int
    ) -> None:
        """Delivers a record unless a newer one of its key was delivered.

        A record that cannot be applied counts as delivered.

        Args:
          record: The record.
          era: The era of the log in which it was read.
        """
        position = shared_log.LogPosition(era, record.offset)
        delivered = self._delivered.get(record.key)
        if delivered is not None and position <= delivered.position:
            return
        self._delivered[record.key] = _Delivered(
            position, 0 if record.value is None else _measure(record)
        )
        try:
            self._on_record(record)
        # No record, whoever wrote it, may keep later ones from being read.
        except Exception as error:
            decision_log.log_failure(
                "record_not_applied",
                topic=self._topic,
                key=record.key,
                offset=record.offset,
                reason=decision_log.describe_error(error),
            )

    def _is_list_shorter(self) -> bool:
        """Returns whether the newest records take less than those left.

        The records that are left are taken to be as large as those of the last
        read. It may have returned none, if the next one does not fit into it.
        """
        if not self.records_left:
            return False
        list_bytes = sum(
            _LISTED_SHARE * delivered.size_bytes + _LISTED_ENTRY_BYTES
            for delivered in self._delivered.values()
            if delivered.is_present
        )
        return (
            not self._last_record_bytes
            or self.records_left * self._last_record_bytes > list_bytes
        )

    def _record_left(
        self, records_left: int, records: tuple[shared_log.KeyedRecord, ...]
    ) -> None:
        """Records how far the follower is behind; logs when that begins.

        Args:
          records_left: How many records the topic has beyond the last read.
          records: The records of that read.
        """
        if records_left and not self.records_left:
            assert self.position is not None
            decision_log.log_event(
                "log_behind",
                topic=self._topic,
                offset=self.position.offset,
                records_left=records_left,
            )
        self.records_left = records_left
        self._last_record_bytes = sum(map(_measure, records)) / max(
            1, len(records)
        )

    def _record_result(self, failure: shared_log.LogUnavailable | None) -> bool:
        """Logs when an outage of the topic starts or ends.

        Args:
          failure: Why a read failed; None if it succeeded.

        Returns:
          Whether the read succeeded.
        """
        now_ms = self._read_clock_ms()
        if failure is None:
            if self.failed_since_ms:
                decision_log.log_event(
                    "log_regained",
                    topic=self._topic,
                    outage_ms=now_ms - self.failed_since_ms,
                )
            self.failed_since_ms = 0
            return True
        if not self.failed_since_ms:
            self.failed_since_ms = now_ms
            decision_log.log_event(
                "log_lost",
                topic=self._topic,
                reason=failure.message,
                offset=None if self.position is None else self.position.offset,
                received_bytes=failure.received_bytes,
            )
        return False


def _measure(record: shared_log.KeyedRecord) -> int:
    """Returns the size of a record's key and value."""
    return 1 + len(record.key) + len(record.value or b"")
