"""Decides which load notices a router sends, and to whom.

Hubs send each other what they and the routers around them have open. Any other
router reports its own load to one hub, and gets the load of the whole fleet
from it. So a router that is no hub has one exchange, however many hosts there
are, and a hub exchanges with the other hubs and with its share of the routers.
If every router is a hub, each sends its own load to all others.
"""

from collections.abc import Sequence

import attrs

from redwingchute.core import requesting
from redwingchute.request import account_work
from redwingchute.request import fleet_load
from redwingchute.request import load_notice_builder

# How often a router reports to its hub without any change, and a hub sends its
# reporters a notice.
_KEEP_ALIVE_MS = 1_000
# How long after its last report a hub sends a router notices.
_REPORTER_TTL_MS = 2_500
# A router reports to the next hub after this time without a notice from its
# own hub.
_HUB_SILENCE_MS = 2_500
# How long a router does not report to a hub that was silent.
_HUB_AVOIDANCE_MS = 10_000
# The sender of the fleet's load at a router that is no hub: whichever hub sends
# it, the newest notice replaces the last.
_FLEET = "fleet"


@attrs.frozen
class HubRole:
    """What the router does in the exchange of load notices.

    Attributes:
      is_hub: Whether this router is a hub.
      hubs: The hosts of the other hubs, those to prefer as its own hub first.
    """

    is_hub: bool = True
    hubs: tuple[str, ...] = ()


@attrs.frozen
class OutgoingNotice:
    """A notice to send now, and the hosts of its receivers."""

    hosts: tuple[str, ...]
    notice: requesting.LoadNotice


class LoadExchange:
    """The load notices of one router."""

    def __init__(
        self,
        load: fleet_load.FleetLoad,
        works: account_work.AccountWorks | None = None,
    ) -> None:
        """Creates the exchange of a hub that knows no other router.

        Args:
          load: The load that is sent, and that received notices update.
          works: The work of client accounts, likewise.
        """
        self._load = load
        self._works = works or account_work.AccountWorks()
        self._role = HubRole()
        self._to_hubs = load_notice_builder.LoadNoticeBuilder()
        self._to_reporters = load_notice_builder.LoadNoticeBuilder()
        # When each router that is no hub last sent a notice, by its host.
        self._reported_ms: dict[str, int] = {}
        self._own_hub: str | None = None
        self._own_hub_heard_ms = 0
        self._avoided_until_ms: dict[str, int] = {}

    @property
    def reporters(self) -> tuple[str, ...]:
        """The hosts that report to this router as their hub."""
        return tuple(self._reported_ms)

    def set_role(self, role: HubRole) -> None:
        """Sets what the router does; called when the hubs change."""
        self._role = role
        self._works.has_peers = bool(role.hubs)
        if role.is_hub or self._own_hub not in role.hubs:
            self._own_hub = None
        if not role.is_hub:
            self._reported_ms.clear()

    def add_parts(
        self, parts: Sequence[requesting.ReadPart], now_ms: int
    ) -> None:
        """Adds prompt parts that upstreams process for this router."""
        self._to_hubs.add_parts(parts, now_ms)
        if self._reported_ms:
            self._to_reporters.add_parts(parts, now_ms)

    def handle_notice(
        self, host: str, notice: requesting.LoadNotice, now_ms: int
    ) -> None:
        """Handles the notice of another router.

        Args:
          host: The host of the other router.
          notice: The notice.
          now_ms: The current time.
        """
        if not self._role.is_hub:
            self._own_hub_heard_ms = now_ms
            self._load.handle_notice(
                _FLEET,
                _subtract_loads(notice.list_loads(), self._to_hubs.sent_loads),
                now_ms,
            )
            self._works.handle_notice(
                _FLEET,
                account_work.subtract(
                    notice.list_works(), self._to_hubs.sent_works
                ),
                now_ms,
            )
            return
        self._load.handle_notice(host, notice.list_loads(), now_ms)
        self._works.handle_notice(host, notice.list_works(), now_ms)
        parts = notice.list_parts()
        if host not in self._role.hubs:
            self._reported_ms[host] = now_ms
            self._to_hubs.add_parts(parts, now_ms)
        if self._reported_ms:
            self._to_reporters.add_parts(parts, now_ms)

    def pop_due(self, now_ms: int) -> list[OutgoingNotice]:
        """Returns the notices that are due now; the caller must send them.

        Args:
          now_ms: The current time.
        """
        if self._role.is_hub:
            return self._pop_due_of_hub(now_ms)
        return self._pop_due_report(now_ms)

    def _pop_due_of_hub(self, now_ms: int) -> list[OutgoingNotice]:
        """Returns the notices for the other hubs and for the reporters."""
        self._reported_ms = {
            host: reported_ms
            for host, reported_ms in self._reported_ms.items()
            if now_ms - reported_ms < _REPORTER_TTL_MS
        }
        hubs, reporters = self._role.hubs, self.reporters
        receiver_count = len(hubs) + len(reporters)
        due = []
        notice = self._to_hubs.pop_due(
            lambda: self._load.list_loads(now_ms, excluded_senders=hubs),
            receiver_count,
            now_ms,
            list_works=lambda: self._works.list_reported(now_ms, hubs),
        )
        if notice is not None and hubs:
            due.append(OutgoingNotice(hubs, notice))
        if not reporters:
            return due
        notice = self._to_reporters.pop_due(
            lambda: self._load.list_loads(now_ms),
            receiver_count,
            now_ms,
            _KEEP_ALIVE_MS,
            lambda: self._works.list_reported(now_ms),
        )
        if notice is not None:
            due.append(OutgoingNotice(reporters, notice))
        return due

    def _pop_due_report(self, now_ms: int) -> list[OutgoingNotice]:
        """Returns the report to the own hub, if it is due."""
        hub = self._find_own_hub(now_ms)
        if hub is None:
            return []
        notice = self._to_hubs.pop_due(
            self._load.list_own_loads,
            1,
            now_ms,
            _KEEP_ALIVE_MS,
            lambda: self._works.list_own(now_ms),
        )
        return [] if notice is None else [OutgoingNotice((hub,), notice)]

    def _find_own_hub(self, now_ms: int) -> str | None:
        """Returns the hub to report to; the next one if it is silent."""
        is_silent = now_ms - self._own_hub_heard_ms >= _HUB_SILENCE_MS
        if self._own_hub is not None and not is_silent:
            return self._own_hub
        if self._own_hub is not None:
            self._avoided_until_ms[self._own_hub] = now_ms + _HUB_AVOIDANCE_MS
        available = [
            hub
            for hub in self._role.hubs
            if self._avoided_until_ms.get(hub, 0) <= now_ms
        ]
        self._own_hub = next(iter(available or self._role.hubs), None)
        # The silence of the new hub is measured from now on.
        self._own_hub_heard_ms = now_ms
        return self._own_hub


def _subtract_loads(
    loads: Sequence[requesting.OpenLoad],
    subtracted: Sequence[requesting.OpenLoad],
) -> list[requesting.OpenLoad]:
    """Returns the difference of two lists of loads, at least 0."""
    by_upstream = {load.upstream: load for load in subtracted}
    difference = []
    for load in loads:
        own = by_upstream.get(load.upstream)
        if own is not None:
            load = requesting.OpenLoad(
                load.upstream,
                max(0, load.open_requests - own.open_requests),
                max(0, load.waiting_tokens - own.waiting_tokens),
            )
        difference.append(load)
    return difference
