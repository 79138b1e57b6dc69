"""Tracks the availability zones that the operator evacuates.

The operator's record of a zone ends what is newly sent to its upstreams, until
the record is removed. Routers read the record in the log, and tell each other.
Each state has the position of its record, and only a later one replaces it, so
that a router whose reads are slow never undoes what it was told.

After the log has returned from an earlier copy, the states of before hold until
the operator had the time to write its records again.
"""

from collections.abc import Callable

import attrs

from redwingchute.core import evacuation
from redwingchute.process import decision_log
from redwingchute.process import shared_log

_START = shared_log.LogPosition(-1, 0)


@attrs.frozen
class _State:
    """What the operator requests for a zone.

    Attributes:
      position: The position of its record.
      is_evacuated: Whether the zone is evacuated.
      since_ms: When this router learned it, on the steady clock.
    """

    position: shared_log.LogPosition
    is_evacuated: bool
    since_ms: int


class Evacuations:
    """The evacuated zones, as one router knows them."""

    def __init__(
        self,
        read_clock_ms: Callable[[], int],
        close_zones: Callable[[frozenset[str]], None],
        broadcast: Callable[[evacuation.EvacuationNotice], None],
    ) -> None:
        """Creates an instance without evacuated zones.

        Args:
          read_clock_ms: Returns the time on a steady clock.
          close_zones: Called with all evacuated zones after each change.
          broadcast: Sends a notice to all other routers, best effort.
        """
        self._read_clock_ms = read_clock_ms
        self._close_zones = close_zones
        self._broadcast = broadcast
        self._era = 0
        # All records before this position have been read.
        self._read_position = _START
        self._states: dict[str, _State] = {}

    def list_zones(self) -> tuple[str, ...]:
        """Returns the evacuated zones."""
        return tuple(
            sorted(
                zone
                for zone, state in self._states.items()
                if state.is_evacuated
            )
        )

    def begin_era(self, era: int) -> None:
        """Begins an era of the log; the records read from now on are of it."""
        self._era = era

    def record(self, zone: str, is_evacuated: bool, offset: int) -> None:
        """Records what the log holds for a zone, and tells other routers.

        Args:
          zone: The zone.
          is_evacuated: Whether it is evacuated.
          offset: The offset of the record.
        """
        position = shared_log.LogPosition(self._era, offset)
        if not self._set(zone, is_evacuated, position, "log"):
            return
        self._broadcast(
            evacuation.EvacuationNotice(
                zone, is_evacuated, position.era, position.offset
            )
        )

    def keep_only(
        self, zones: frozenset[str], read_position: shared_log.LogPosition
    ) -> None:
        """Ends the evacuations whose records are no longer in the log.

        Args:
          zones: The zones that have a record.
          read_position: All records before it have been read.
        """
        self._read_position = read_position
        for zone, state in list(self._states.items()):
            if zone not in zones and state.position < read_position:
                self._set(zone, False, read_position, "log")
                del self._states[zone]

    def handle_notice(
        self,
        host: str,
        notice: evacuation.EvacuationNotice,
        is_settling: bool,
    ) -> None:
        """Handles what another router has read or was told.

        Args:
          host: The host of the other router.
          notice: The notice.
          is_settling: Whether records may still be missing that the log lost
            when it returned from a copy.
        """
        position = shared_log.LogPosition(notice.era, notice.offset)
        if (
            notice.zone not in self._states
            and position < self._read_position
            and not is_settling
        ):
            # The record was removed since.
            return
        self._set(notice.zone, notice.is_evacuated, position, host)

    def _set(
        self,
        zone: str,
        is_evacuated: bool,
        position: shared_log.LogPosition,
        source: str,
    ) -> bool:
        """Sets the state of a zone; returns whether the record is new."""
        known = self._states.get(zone)
        if known is not None and position <= known.position:
            return False
        now_ms = self._read_clock_ms()
        was_evacuated = known is not None and known.is_evacuated
        since_ms = now_ms
        if known is not None and was_evacuated == is_evacuated:
            since_ms = known.since_ms
        self._states[zone] = _State(position, is_evacuated, since_ms)
        if is_evacuated == was_evacuated:
            return True
        self._close_zones(frozenset(self.list_zones()))
        if is_evacuated:
            decision_log.log_event(
                "zone_evacuated",
                evacuated_zone=zone,
                source=source,
                era=position.era,
                offset=position.offset,
            )
        else:
            decision_log.log_event(
                "zone_evacuation_ended",
                evacuated_zone=zone,
                source=source,
                evacuated_for_ms=now_ms - (known.since_ms if known else now_ms),
            )
        return True
