"""Hosts that keep marks of versions in one log, without sockets or clocks."""

import asyncio
from collections.abc import Coroutine
import json
from typing import Any
from typing import TypeVar

from redwingchute.core import forwarding
from redwingchute.process import era_log
from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.process import version_marks
from redwingchute.request import route_history
from redwingchute.request import upstream_directory
from redwingchute.testing import memory_log

SERVICE = "llm"
READ_INTERVAL_MS = 500

_T = TypeVar("_T")


class VersionHost:
    """The process of one host."""

    def __init__(self, fleet: "VersionFleet", name: str) -> None:
        """Starts a process that has read nothing."""
        self.has_restored = False
        self.directory = upstream_directory.UpstreamDirectory(
            "huon", name, read_clock_ms=lambda: fleet.now_ms
        )
        log = era_log.EraLog(fleet.log)
        self.follower = keyed_follower.KeyedFollower(
            log,
            "servers",
            keyed_follower.PollTiming(0, READ_INTERVAL_MS),
            lambda: fleet.now_ms,
            self._handle_record,
            self.directory.keep_only,
            handle_gap=self.directory.begin_history,
        )
        self.routes = route_history.RouteHistory()
        self.marks = version_marks.VersionMarks(
            log,
            name,
            "servers",
            self.follower,
            self.directory,
            self.routes,
            decode_upstream,
            lambda: True,
            lambda: fleet.now_ms,
        )

    def _handle_record(self, record: shared_log.KeyedRecord) -> None:
        """Applies an entry."""
        if record.value is None:
            self.directory.remove(record.key)
        else:
            self.directory.set_upstream(
                decode_upstream(record.key, record.value)
            )


class VersionFleet:
    """Hosts that start, write marks and end together.

    Attributes:
      now_ms: The time.
      log: The log with the entries of upstreams.
      hosts: The processes by their hosts.
    """

    def __init__(self, host_count: int = 2) -> None:
        """Starts hosts before an empty log."""
        self.now_ms = 1_000_000
        self.log = memory_log.MemoryLog()
        self._loop = asyncio.new_event_loop()
        self._entries: dict[str, dict[str, Any]] = {
            f"host-{number}": {} for number in range(host_count)
        }
        self.hosts: dict[str, VersionHost] = {}
        self.restart()

    def close(self) -> None:
        """Ends all processes."""
        self._loop.close()

    def _run(self, work: Coroutine[Any, Any, _T]) -> _T:
        """Runs a coroutine to its end."""
        return self._loop.run_until_complete(work)

    def restart(self) -> None:
        """Ends all processes and starts them again with empty memory."""
        self.hosts = {name: VersionHost(self, name) for name in self._entries}
        for host in self.hosts.values():
            for name, fields in self._entries.items():
                host.marks.handle_entry(name, fields)
        self._read()

    def _read(self) -> None:
        """Has all hosts read the log, and the new ones restore what was."""
        for host in self.hosts.values():
            self._run(host.follower.read_once())
            if host.follower.position is not None and not host.has_restored:
                self._run(host.marks.restore())
                host.has_restored = True

    def write_marks(self) -> None:
        """Has all hosts renew their entries."""
        for name, host in self.hosts.items():
            fields = json.loads(json.dumps(host.marks.make_fields()))
            self._entries[name] = fields
            for other in self.hosts.values():
                other.marks.handle_entry(name, fields)

    def advance(self, elapsed_ms: int) -> None:
        """Lets time pass, in which the hosts read the log."""
        end_ms = self.now_ms + elapsed_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + READ_INTERVAL_MS)
            self._read()

    def put(self, upstream_id: str, version: str | None) -> None:
        """Writes the entry of an upstream, or removes it."""
        value = None if version is None else version.encode()
        self.log.topic.append((shared_log.KeyedRecord(upstream_id, value),))

    def list_known(self, host: str, max_age_ms: int) -> set[str] | None:
        """Returns all versions of some time; None if one may be missing."""
        directory = self.hosts[host].directory
        if self.hosts[host].follower.failed_since_ms:
            return None
        if not directory.has_history(max_age_ms, self.now_ms):
            return None
        return set(directory.list_versions(SERVICE, max_age_ms, self.now_ms))


def decode_upstream(upstream_id: str, value: bytes) -> forwarding.Upstream:
    """Returns the upstream of an entry, whose value is its version."""
    return forwarding.Upstream(
        upstream_id,
        SERVICE,
        "10.0.0.1:1",
        "huon",
        True,
        version=value.decode(),
    )
