"""Keeps the history of software versions over the loss of all processes.

A hub adds a mark to its entry in the list of hosts: the versions that it knows,
how far back they are complete, and the position up to which it had read the
entries of upstreams. A process that starts takes the newest mark and reads what
was appended to the log since. Both together are complete: a router learns of a
version from the log only, so no stream began at one that is in neither. Without
the records since the mark nothing is taken from it.

Marks hold durations and no times of day, and the time from a mark to the start
of the process counts as none: the history then seems shorter than it is, and
versions seem to have left later.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from redwingchute.core import forwarding
from redwingchute.core import untrusted
from redwingchute.process import decision_log
from redwingchute.process import era_log
from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.request import route_history
from redwingchute.request import upstream_directory
from redwingchute.request import version_history

# The field of a host's entry that holds its mark.
_FIELD = "versions"
# Bound what an entry holds, and what is read at a start.
_MAX_LISTED = 64
_MAX_RECORDS = 8_192
_MAX_TRIED_MARKS = 3
_POLL_S = 0.05


@attrs.frozen
class VersionMark:
    """What a host knew when it had read the log up to a position.

    Attributes:
      position: The position; all entries before it are counted.
      covered_ms: How far back the versions are complete.
      listed: The versions that were listed in this time.
      table_version: The configuration version in force; None without one.
      table_ms: For how long it had been in force.
    """

    position: shared_log.LogPosition
    covered_ms: int
    listed: tuple[version_history.ListedVersion, ...]
    table_version: int | None = None
    table_ms: int = 0


class VersionMarks:
    """Writes the marks of one host, and restores its history from those of all.

    Implements `host_registry.EntryExtension`.
    """

    def __init__(
        self,
        log: era_log.EraLog,
        own_host: str,
        topic: str,
        follower: keyed_follower.KeyedFollower,
        directory: upstream_directory.UpstreamDirectory,
        routes: route_history.RouteHistory,
        decode_upstream: Callable[[str, bytes], forwarding.Upstream | None],
        is_hub: Callable[[], bool],
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates the marks of a host; `run` restores its history.

        Args:
          log: The shared log.
          own_host: The host.
          topic: The topic of the entries of upstreams.
          follower: Follows that topic.
          directory: Holds the history of versions.
          routes: The history of routes.
          decode_upstream: Decodes an entry; returns None if it is invalid.
          is_hub: Returns whether this router is known to be a hub.
          read_clock_ms: Returns the time on a steady clock.
        """
        self._log = log
        self._own_host = own_host
        self._topic = topic
        self._follower = follower
        self._directory = directory
        self._routes = routes
        self._decode_upstream = decode_upstream
        self._is_hub = is_hub
        self._read_clock_ms = read_clock_ms
        self._marks: dict[str, VersionMark] = {}
        self._has_restored = False

    def make_fields(self) -> dict[str, Any]:
        """Returns the field of the own entry that holds the mark.

        Until the history is restored that is the mark of the host's earlier
        process, which must not be lost.
        """
        mark = self._marks.get(self._own_host)
        if self._has_restored:
            mark = self._make_mark()
        return {} if mark is None else {_FIELD: _encode(mark)}

    def handle_entry(self, host: str, fields: dict[str, Any]) -> None:
        """Keeps the mark in the entry of a host, if it has one."""
        mark = _decode(fields.get(_FIELD))
        if mark is None:
            self._marks.pop(host, None)
        elif not (self._has_restored and host == self._own_host):
            self._marks[host] = mark

    def _make_mark(self) -> VersionMark | None:
        """Returns what this router knows now; None if it is too much."""
        position, now_ms = self._follower.position, self._read_clock_ms()
        listed = self._directory.list_all_versions(now_ms)
        if position is None or len(listed) > _MAX_LISTED:
            return None
        table_version, table_ms = self._routes.find_version(now_ms) or (None, 0)
        return VersionMark(
            position,
            self._directory.measure_history_ms(now_ms),
            listed,
            table_version,
            table_ms,
        )

    async def run(self) -> None:
        """Restores the history once the log was read, if this is a hub.

        The other routers ask hubs.
        """
        while self._follower.position is None or not self._is_hub():
            await asyncio.sleep(_POLL_S)
        await self.restore()

    async def restore(self) -> None:
        """Restores the history from the newest mark that can be completed."""
        end = self._follower.position
        assert end is not None
        began_ms = self._directory.history_began_ms
        newest = sorted(
            self._marks.items(), key=lambda item: item[1].position, reverse=True
        )
        for host, mark in newest[:_MAX_TRIED_MARKS]:
            listed = await self._read_since(mark, end)
            # The history may have begun anew meanwhile.
            if listed is None or self._directory.history_began_ms != began_ms:
                continue
            now_ms = self._read_clock_ms()
            self._directory.restore_versions(
                mark.covered_ms, (*mark.listed, *listed), now_ms
            )
            if mark.table_version is not None:
                self._routes.restore(mark.table_version, mark.table_ms, now_ms)
            decision_log.log_event(
                "versions_restored",
                source=host,
                covered_ms=mark.covered_ms,
                versions=len({*mark.listed, *listed}),
                offset=mark.position.offset,
                end_offset=end.offset,
            )
            break
        else:
            decision_log.log_event(
                "versions_not_restored", marks=len(self._marks)
            )
        self._has_restored = True

    async def _read_since(
        self, mark: VersionMark, end: shared_log.LogPosition
    ) -> tuple[version_history.ListedVersion, ...] | None:
        """Returns the versions in the records from a mark to a position.

        Returns:
          None unless all of the records could be read.
        """
        position = mark.position
        if (
            position.era != end.era
            or end.offset - position.offset > _MAX_RECORDS
        ):
            return None
        found: set[version_history.ListedVersion] = set()
        while position < end:
            result = await self._log.read(self._topic, position, 0)
            if (
                not isinstance(result, shared_log.ReadRecords)
                or not result.records
                or result.records[0].offset != position.offset
            ):
                return None
            for record in result.records:
                upstream = record.value and self._decode_upstream(
                    record.key, record.value
                )
                if upstream:
                    found.add(
                        version_history.ListedVersion(
                            upstream.service, upstream.version, 0
                        )
                    )
            position = result.next_position
        return tuple(found)


def _encode(mark: VersionMark) -> dict[str, Any]:
    """Returns a mark as the field of an entry."""
    return {
        "era": mark.position.era,
        "offset": mark.position.offset,
        "covered_ms": mark.covered_ms,
        "listed": [
            [found.service, found.version, found.age_ms]
            for found in mark.listed
        ],
        "table_version": mark.table_version,
        "table_ms": mark.table_ms,
    }


def _decode(fields: Any) -> VersionMark | None:
    """Returns the mark in a field; None if there is none, or a malformed one.

    Fields that a newer release may add are ignored.
    """
    try:
        table_version = fields["table_version"]
        return VersionMark(
            shared_log.LogPosition(int(fields["era"]), int(fields["offset"])),
            int(fields["covered_ms"]),
            tuple(
                version_history.ListedVersion(
                    str(service), str(version), int(age_ms)
                )
                for service, version, age_ms in fields["listed"]
            ),
            None if table_version is None else int(table_version),
            int(fields["table_ms"]),
        )
    except untrusted.DECODE_ERRORS:
        return None
