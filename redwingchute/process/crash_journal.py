"""Keeps in the shared log what routers observe of crashing requests.

Each host has one record with its own observations, which it replaces when it
observes more. Every router reads the records of all hosts, so that a process
that starts, or was cut off, knows what the others have observed. A process
continues the record of its predecessor on the host.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import json

import attrs

from redwingchute.core import requesting
from redwingchute.core import untrusted
from redwingchute.process import decision_log
from redwingchute.process import era_log
from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.request import crash_evidence

# The topic of the shared log that holds the record of each host.
TOPIC = "crashes"

# The newest observations of a host that its record holds.
_MAX_OBSERVATIONS = 128
# A read returns as soon as there is a record.
_POLL_TIMING = keyed_follower.PollTiming(
    wait_ms=10_000, interval_ms=2_000, response_timeout_ms=1_500
)
# Observations of this time are appended together.
_APPEND_DELAY_S = 0.1
_RETRY_S = 0.5


@attrs.frozen
class _Entry:
    """An observation of the own host and when it was made."""

    observation: requesting.CrashObservation
    wall_ms: int


class CrashJournal:
    """Writes the observations of one host, and reads those of all."""

    def __init__(
        self,
        log: era_log.EraLog,
        own_host: str,
        incarnation: int,
        read_clock_ms: Callable[[], int],
        read_wall_ms: Callable[[], int],
        handle: Callable[[tuple[requesting.CrashObservation, ...]], None],
    ) -> None:
        """Creates the journal; `run` starts its work.

        Args:
          log: The shared log.
          own_host: The host whose observations are written.
          incarnation: Identifies this start of the process.
          read_clock_ms: Returns the time on a steady clock.
          read_wall_ms: Returns the time of day.
          handle: Called with the observations of each record that is read.
        """
        self._log = log
        self._own_host = own_host
        self._producer = f"{own_host}/{incarnation:x}"
        self._append_count = 0
        self._read_wall_ms = read_wall_ms
        self._handle = handle
        # In order of their addition, so that the oldest can be removed.
        self._entries: dict[requesting.CrashObservation, _Entry] = {}
        self._has_news = asyncio.Event()
        log.add_listener(self._handle_new_era)
        self._follower = keyed_follower.KeyedFollower(
            log, TOPIC, _POLL_TIMING, read_clock_ms, self._handle_record
        )

    def add(
        self, observations: tuple[requesting.CrashObservation, ...]
    ) -> None:
        """Has observations of the own host written soon."""
        for observation in observations:
            self._add_entry(_Entry(observation, self._read_wall_ms()))
        if observations:
            self._has_news.set()

    async def run(self) -> None:
        """Writes and reads until cancelled.

        The own record is read before it is replaced.
        """
        while not await self._follower.read_once():
            await asyncio.sleep(_RETRY_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._run_appends())

    async def _run_appends(self) -> None:
        """Appends the own record whenever there is something new."""
        while True:
            await self._has_news.wait()
            await asyncio.sleep(_APPEND_DELAY_S)
            self._has_news.clear()
            if not await self._append():
                self._has_news.set()
                await asyncio.sleep(_RETRY_S)

    async def _append(self) -> bool:
        """Appends the own record; returns whether the log has it."""
        self._drop_old_entries()
        record = shared_log.KeyedRecord(
            self._own_host, _encode(self._entries.values())
        )
        # Each append has an epoch of its own: the log rejects one that
        # arrives after a later one.
        self._append_count += 1
        stamp = shared_log.ProducerStamp(self._producer, self._append_count, 0)
        result = await self._log.append(TOPIC, (record,), stamp)
        return isinstance(result, shared_log.Appended)

    def _handle_record(self, record: shared_log.KeyedRecord) -> None:
        """Applies the record of a host."""
        if not record.value:
            return
        entries = _decode(record.value)
        if entries is None:
            decision_log.log_failure(
                "crash_record_unreadable", key=record.key, offset=record.offset
            )
            return
        oldest_ms = self._read_wall_ms() - crash_evidence.WINDOW_MS
        recent = [entry for entry in entries if entry.wall_ms >= oldest_ms]
        if record.key == self._own_host:
            for entry in recent:
                self._add_entry(entry)
            self._drop_old_entries()
            read = {entry.observation for entry in recent}
            if self._append_count and self._entries.keys() - read:
                # A late append of the previous process replaced the record.
                self._has_news.set()
        self._handle(tuple(entry.observation for entry in recent))

    def _handle_new_era(self) -> None:
        """Has the own record written again, which the log may have lost."""
        if self._entries:
            self._has_news.set()

    def _add_entry(self, entry: _Entry) -> None:
        """Adds an entry unless its observation is known."""
        self._entries.setdefault(entry.observation, entry)
        while len(self._entries) > _MAX_OBSERVATIONS:
            del self._entries[next(iter(self._entries))]

    def _drop_old_entries(self) -> None:
        """Removes the observations that no longer count."""
        oldest_ms = self._read_wall_ms() - crash_evidence.WINDOW_MS
        self._entries = {
            observation: entry
            for observation, entry in self._entries.items()
            if entry.wall_ms >= oldest_ms
        }


def _encode(entries: Iterable[_Entry]) -> bytes:
    """Returns a record with entries."""
    rows = [
        {**attrs.asdict(entry.observation), "wall_ms": entry.wall_ms}
        for entry in entries
    ]
    return json.dumps({"entries": rows}, separators=(",", ":")).encode()


def _decode(value: bytes) -> list[_Entry] | None:
    """Returns the entries of a record; None if it is malformed.

    Fields that a newer release may add are ignored.
    """
    try:
        return [
            _Entry(
                requesting.CrashObservation(
                    str(row["subject"]),
                    str(row["upstream_start"]),
                    bool(row["is_cleared"]),
                    int(row.get("level", 1)),
                    str(row.get("observer", "")),
                    bool(row.get("is_withdrawn", False)),
                ),
                int(row["wall_ms"]),
            )
            for row in json.loads(value)["entries"]
        ]
    except untrusted.DECODE_ERRORS:
        return None
