"""Follows the operator's topic: the configuration and evacuated zones.

The first read delivers all records at once, so a router that has a
configuration also knows which zones are evacuated.
"""

from collections.abc import Callable

import attrs

from redwingchute.core import data
from redwingchute.core import evacuation
from redwingchute.core import forwarding
from redwingchute.process import decision_log
from redwingchute.process import era_log
from redwingchute.process import evacuations
from redwingchute.process import invariants
from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.version import route_index

# The minimum time between two reads, and how long after its wait a read counts
# as lost. The log responds within some hundred milliseconds even when it is
# slow.
_INTERVAL_MS = 200
_RESPONSE_TIMEOUT_MS = 700
# How long the operator takes to write again what the log lost when it returned
# from an earlier copy.
_REWRITE_MS = 2_000


@attrs.frozen
class OperatorTopic:
    """The topic that the operator writes.

    Attributes:
      name: The name of the topic.
      configuration_key: The key of the configuration.
      evacuation_prefix: The prefix of the keys of evacuated zones.
      decode_configuration: Decodes a configuration document; returns an error
        message if it is invalid.
    """

    name: str
    configuration_key: str
    evacuation_prefix: str
    decode_configuration: Callable[[bytes], forwarding.RouteTable | str]


class OperatorRecords:
    """What the operator requests, as one router has read it.

    Attributes:
      index: The configuration in force; None before the first one is read.
      follower: The follower of the topic.
      evacuations: The evacuated zones.
    """

    def __init__(
        self,
        log: era_log.EraLog,
        topic: OperatorTopic,
        fresh_ms: int,
        read_clock_ms: Callable[[], int],
        handle_table: Callable[[forwarding.RouteTable], None],
        close_zones: Callable[[frozenset[str]], None],
        broadcast: Callable[[evacuation.EvacuationNotice], None],
    ) -> None:
        """Creates an instance that has read nothing.

        Args:
          log: The shared log.
          topic: The operator's topic.
          fresh_ms: The time within which a version must be in force.
          read_clock_ms: Returns the time on a steady clock.
          handle_table: Called with each configuration that comes into force.
          close_zones: Called with all evacuated zones after each change.
          broadcast: Sends a notice to all other routers, best effort.
        """
        self.index: route_index.RouteIndex | None = None
        self.evacuations = evacuations.Evacuations(
            read_clock_ms, close_zones, broadcast
        )
        self._topic = topic
        self._fresh_ms = fresh_ms
        self._read_clock_ms = read_clock_ms
        self._handle_table = handle_table
        self.follower = keyed_follower.KeyedFollower(
            log,
            topic.name,
            make_timing(fresh_ms),
            read_clock_ms,
            self._handle_record,
            self._retain_only,
            _REWRITE_MS,
            self.evacuations.begin_era,
        )

    def is_fresh(self) -> bool:
        """Returns whether the configuration is known to be the newest."""
        follower = self.follower
        if follower.failed_since_ms or self.index is None:
            return False
        if follower.is_settling:
            return False
        age_ms = self._read_clock_ms() - follower.confirmed_ms
        # A read that waits at the log returns as soon as a newer version is
        # appended, so its waiting time does not make the version stale.
        allowed_ms = make_timing(self._fresh_ms).wait_ms
        return age_ms <= allowed_ms + self._fresh_ms

    def list_prepaid_tokens(self) -> dict[str, int]:
        """Returns the prepaid tokens of each limited account, by its name."""
        if self.index is None:
            return {}
        return {
            account.name: account.prepaid_tokens
            for account in self.index.table.accounts
            if account.prepaid_tokens is not None
        }

    async def handle_notice(
        self, peer: data.Host, notice: evacuation.EvacuationNotice
    ) -> None:
        """Applies what another router knows of an evacuated zone."""
        self.evacuations.handle_notice(
            peer.name, notice, self.follower.is_settling
        )

    def _handle_record(self, record: shared_log.KeyedRecord) -> None:
        """Applies a record of the operator."""
        zone = self._find_zone(record.key)
        if zone is not None:
            self.evacuations.record(
                zone, record.value is not None, record.offset
            )
        elif record.key == self._topic.configuration_key and record.value:
            self._handle_configuration(record.value, record.offset)

    def _find_zone(self, key: str) -> str | None:
        """Returns the zone that a key evacuates, or None."""
        prefix = self._topic.evacuation_prefix
        return key.removeprefix(prefix) if key.startswith(prefix) else None

    def _retain_only(self, keys: frozenset[str]) -> None:
        """Ends the evacuations whose keys are gone."""
        assert self.follower.position is not None
        zones = map(self._find_zone, keys)
        self.evacuations.keep_only(
            frozenset(zone for zone in zones if zone is not None),
            self.follower.position,
        )

    def _handle_configuration(self, value: bytes, offset: int) -> None:
        """Puts a configuration version in force if it is newer."""
        table = self._topic.decode_configuration(value)
        if isinstance(table, str):
            decision_log.log_failure(
                "configuration_unreadable", offset=offset, reason=table
            )
            return
        before = self.index.table.version if self.index else None
        if before is not None and table.version <= before:
            # An earlier copy of the log may hold an older version until the
            # operator has written the newer one again.
            invariants.check(
                table.version == before or self.follower.is_settling,
                "configuration_regressed",
                version=table.version,
                version_before=before,
                offset=offset,
            )
            return
        self.index = route_index.RouteIndex(table)
        self._handle_table(table)
        decision_log.log_event(
            "configuration_in_force",
            version=table.version,
            version_before=before,
            routes=len(table.routes),
            accounts=len(table.accounts),
        )


def make_timing(fresh_ms: int) -> keyed_follower.PollTiming:
    """Returns how often the topic is read.

    A version must be in force within `fresh_ms` of its acknowledgement, also if
    the response to the waiting read is lost.
    """
    return keyed_follower.PollTiming(
        fresh_ms // 2, _INTERVAL_MS, _RESPONSE_TIMEOUT_MS
    )
