"""Registers the hosts of the fleet in the shared log.

A router registers its host when it starts, renews the entry from time to time,
and marks it as leaving when it shuts down. A host whose entry was not renewed
for a while, although others were, is taken as gone. When the log has returned
from an earlier copy, each router renews its entry at once.
"""

import asyncio
from collections.abc import Callable
import contextlib
import json
from typing import Any
from typing import Protocol

import attrs

from redwingchute.core import spread
from redwingchute.core import untrusted
from redwingchute.process import decision_log
from redwingchute.process import era_log
from redwingchute.process import keyed_follower
from redwingchute.process import shared_log

# The topic of the shared log that holds one entry for each host.
TOPIC = "hosts"

_RENEWAL_INTERVAL_S = 10.0
# An entry is out of date if it is older than the newest one by three missed
# renewals.
_MAX_AGE_MS = 35_000
# How long after its last renewal a host is sure to be listed by the others.
LEASE_MS = 30_000
_READ_INTERVAL_S = 2.5
# Hosts of a new fleet register within the first seconds.
_FIRST_READ_INTERVAL_S = 0.5
_FIRST_READS = 3
_RETRY_S = 0.5
# The renewals after a return of the log from a copy are spread over this time,
# so that they are no load peak for the log.
_ERA_RENEWAL_SPREAD_MS = 300


@attrs.frozen
class RegisteredHost:
    """A host of the fleet.

    Attributes:
      name: The host's name.
      zone: Its availability zone.
      peer_address: Its `ip:port` for links between routers.
      processor_share: The processor time that it may use, in cores.
      is_leaving: Whether its router is shutting down.
    """

    name: str
    zone: str
    peer_address: str
    processor_share: float
    is_leaving: bool = False


@attrs.frozen
class Registration:
    """The own host's place in the list, after both could be reached.

    Attributes:
      since_ms: Since when the own entry is known to be in the log, without a
        gap after which others may have taken the host as gone.
      renewed_ms: When the newest renewal that succeeded was sent.
      read_ms: When the newest read of the list that succeeded was sent.
    """

    since_ms: int
    renewed_ms: int
    read_ms: int


@attrs.frozen
class _Renewals:
    """The renewals of the own entry, in milliseconds.

    Attributes:
      since_ms: When the first one without a gap since was confirmed.
      newest_ms: When the newest one was sent.
    """

    since_ms: int
    newest_ms: int


@attrs.frozen
class _Entry:
    """The newest entry of a host and when it was read, in milliseconds."""

    host: RegisteredHost
    read_ms: int


class EntryExtension(Protocol):
    """Adds fields to the entry of the own host and reads those of all."""

    def make_fields(self) -> dict[str, Any]:
        """Returns the fields to add to the own entry now."""

    def handle_entry(self, host: str, fields: dict[str, Any]) -> None:
        """Handles all fields of the entry of a host."""


class HostRegistry:
    """Registers the own host and lists the others.

    Attributes:
      has_settled: Whether the list is complete enough to choose hubs by. In a
        fleet that ran before, it is so once it was read; hosts of a new fleet
        take some seconds to register.
      own_host: The entry of the router's host.
    """

    def __init__(
        self,
        log: era_log.EraLog,
        own_host: RegisteredHost,
        incarnation: int,
        read_clock_ms: Callable[[], int],
        handle_change: Callable[[], None],
    ) -> None:
        """Creates the registry; `run` starts its work.

        Args:
          log: The shared log.
          own_host: The entry of the router's host.
          incarnation: Identifies this start of the process.
          read_clock_ms: Returns the current time.
          handle_change: Called after `list_hosts` has changed.
        """
        self._extension: EntryExtension | None = None
        self.has_settled = False
        self._log = log
        self.own_host = own_host
        # None until a renewal succeeds, and once the host leaves.
        self._renewals: _Renewals | None = None
        self._read_clock_ms = read_clock_ms
        self._handle_change = handle_change
        self._entries: dict[str, _Entry] = {}
        self._listed: tuple[RegisteredHost, ...] = ()
        # Each process is a producer of its own, and each append has an epoch
        # of its own: the log rejects an append that arrives after a later one,
        # and takes none for the repetition of another.
        self._producer = f"{own_host.name}/{incarnation:x}"
        self._append_count = 0
        # Set when the log may have lost the own entry.
        self._has_new_era = asyncio.Event()
        log.add_listener(self._has_new_era.set)
        self._follower = keyed_follower.KeyedFollower(
            log,
            TOPIC,
            keyed_follower.PollTiming(0, int(1000 * _READ_INTERVAL_S)),
            read_clock_ms,
            self._handle_record,
        )

    def set_extension(self, extension: EntryExtension) -> None:
        """Sets what the entries also hold; to be called before `run`."""
        self._extension = extension

    def list_hosts(self) -> tuple[RegisteredHost, ...]:
        """Returns the hosts that are neither leaving nor gone, by name."""
        return self._listed

    def find_registration(self) -> Registration | None:
        """Returns the own host's place in the list.

        Returns:
          None until the list was read and the own entry appended, and once the
          host leaves.
        """
        if self._renewals is None:
            return None
        return Registration(
            self._renewals.since_ms,
            self._renewals.newest_ms,
            self._follower.confirmed_ms,
        )

    async def run(self) -> None:
        """Registers the own host and follows the entries until cancelled."""
        await self._read_first()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._renew())
            group.create_task(self._follow())

    async def leave(self, timeout_s: float) -> None:
        """Marks the own host as leaving, best effort.

        Args:
          timeout_s: How long to wait for the log.
        """
        self.own_host = attrs.evolve(self.own_host, is_leaving=True)
        self._renewals = None
        try:
            async with asyncio.timeout(timeout_s):
                await self._append()
        except TimeoutError:
            decision_log.log_event("host_leaving_not_registered")

    async def _renew(self) -> None:
        """Appends the own entry at each interval."""
        while True:
            self._has_new_era.clear()
            is_appended = await self._append()
            interval_s = _RENEWAL_INTERVAL_S if is_appended else _RETRY_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._has_new_era.wait()
            if self._has_new_era.is_set():
                await asyncio.sleep(
                    _find_renewal_delay_ms(self.own_host.name) / 1000
                )

    async def _append(self) -> bool:
        """Appends the own entry; returns whether the log has it."""
        fields = attrs.asdict(self.own_host)
        if self._extension is not None:
            fields |= self._extension.make_fields()
        record = shared_log.KeyedRecord(
            self.own_host.name,
            json.dumps(fields, separators=(",", ":")).encode(),
        )
        sent_ms = self._read_clock_ms()
        self._append_count += 1
        stamp = shared_log.ProducerStamp(self._producer, self._append_count, 0)
        result = await self._log.append(TOPIC, (record,), stamp)
        if not isinstance(result, shared_log.Appended):
            return False
        if not self.own_host.is_leaving:
            self._record_renewal(sent_ms)
        return True

    def _record_renewal(self, sent_ms: int) -> None:
        """Records that the log has a renewal of the own entry."""
        now_ms = self._read_clock_ms()
        known = self._renewals
        if known is None or now_ms - known.newest_ms > LEASE_MS:
            self._renewals = _Renewals(now_ms, sent_ms)
        else:
            self._renewals = _Renewals(known.since_ms, sent_ms)

    async def _read_first(self) -> None:
        """Reads the entries before the own one is appended."""
        while not await self._follower.read_once():
            await asyncio.sleep(_RETRY_S)
        # An entry of an earlier process shows that the fleet ran before.
        self.has_settled = self.own_host.name in self._entries
        self._update_listed()

    async def _follow(self) -> None:
        """Reads the entries, more often after the start."""
        for _ in range(_FIRST_READS):
            await asyncio.sleep(_FIRST_READ_INTERVAL_S)
            await self._follower.read_once()
            self._update_listed()
        self.has_settled = True
        while True:
            await asyncio.sleep(_READ_INTERVAL_S)
            await self._follower.read_once()
            self._update_listed()

    def _handle_record(self, record: shared_log.KeyedRecord) -> None:
        """Applies an entry."""
        host = _decode_host(record.value) if record.value else None
        if host is None:
            decision_log.log_failure(
                "host_entry_unreadable", key=record.key, offset=record.offset
            )
            return
        self._entries[host.name] = _Entry(host, self._read_clock_ms())
        if self._extension is not None and record.value:
            self._extension.handle_entry(host.name, json.loads(record.value))

    def _update_listed(self) -> None:
        """Recomputes the listed hosts and reports a change."""
        newest_ms = max(
            (entry.read_ms for entry in self._entries.values()), default=0
        )
        listed = tuple(
            entry.host
            for _, entry in sorted(self._entries.items())
            if not entry.host.is_leaving
            and newest_ms - entry.read_ms <= _MAX_AGE_MS
        )
        if listed != self._listed:
            self._listed = listed
            self._handle_change()


def _find_renewal_delay_ms(host: str) -> int:
    """Returns how long a host waits with its renewal in a new era."""
    return spread.find_offset_ms(_ERA_RENEWAL_SPREAD_MS, host)


def _decode_host(value: bytes) -> RegisteredHost | None:
    """Decodes an entry; returns None if it is malformed.

    Fields that a newer release may add are ignored.
    """
    try:
        fields = json.loads(value)
        return RegisteredHost(
            str(fields["name"]),
            str(fields["zone"]),
            str(fields["peer_address"]),
            float(fields["processor_share"]),
            bool(fields["is_leaving"]),
        )
    except untrusted.DECODE_ERRORS:
        return None
