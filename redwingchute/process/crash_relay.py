"""Passes crash notices on through the hubs, so that every router gets them.

A router that is no hub sends a notice to two hubs, in case one is down. A hub
sends it to the other hubs and to the routers that report to it. Each router
passes a notice on once, so that notices end also while routers disagree about
the hubs.
"""

from collections.abc import Callable
from collections.abc import Iterable

from redwingchute.core import requesting
from redwingchute.process import hub_choice

# The hubs that a router that is no hub sends a notice to.
_FIRST_HUBS = 2
# The ids of this many notices are kept.
_MAX_KNOWN_NOTICES = 1_024


class CrashRelay:
    """Sends and passes on the crash notices of one router."""

    def __init__(
        self,
        find_hubs: Callable[[], hub_choice.HubView],
        list_reporters: Callable[[], tuple[str, ...]],
        send_to_all: Callable[[Iterable[str], requesting.CrashNotice], object],
    ) -> None:
        """Creates the relay of a router.

        Args:
          find_hubs: Returns the hubs of the fleet.
          list_reporters: Returns the hosts that report to this router.
          send_to_all: Sends a notice to several hosts, best effort.
        """
        self._find_hubs = find_hubs
        self._list_reporters = list_reporters
        self._send_to_all = send_to_all
        # A set in order of insertion, so that the oldest ids can be removed.
        self._known_ids: dict[str, None] = {}

    def broadcast(self, notice: requesting.CrashNotice) -> None:
        """Sends the notice of a crash that this router observed."""
        self._mark_known(notice)
        view = self._find_hubs()
        hubs = view.order_hubs(view.own_host)
        if view.is_hub:
            self._send_to_all((*hubs, *self._list_reporters()), notice)
        else:
            self._send_to_all(hubs[:_FIRST_HUBS], notice)

    def handle_notice(
        self, sender: str, notice: requesting.CrashNotice
    ) -> None:
        """Passes on the notice of another router, if this one is a hub.

        Args:
          sender: The host that sent it, which may have passed it on itself.
          notice: The notice.
        """
        if notice.attempt_id in self._known_ids:
            return
        self._mark_known(notice)
        view = self._find_hubs()
        if not view.is_hub:
            return
        hubs = () if sender in view.zones else view.list_other_hubs()
        self._send_to_all((*hubs, *self._list_reporters()), notice)

    def _mark_known(self, notice: requesting.CrashNotice) -> None:
        """Marks a notice as one that need not be passed on again."""
        self._known_ids[notice.attempt_id] = None
        while len(self._known_ids) > _MAX_KNOWN_NOTICES:
            del self._known_ids[next(iter(self._known_ids))]
