"""Passes notices on through the hubs, so that every router gets them.

A router that is no hub sends a notice to two hubs, in case one is down. A hub
sends it to the other hubs and to the routers that report to it. Each router
passes a notice on once, so that notices end also while routers disagree about
the hubs.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

from redwingchute.process import hub_choice

NoticeT = TypeVar("NoticeT")

# The hubs that a router that is no hub sends a notice to.
_FIRST_HUBS = 2
# The ids of this many notices are kept.
_MAX_KNOWN_NOTICES = 1_024


class NoticeRelay(Generic[NoticeT]):
    """Sends and passes on the notices of one kind at one router."""

    def __init__(
        self,
        find_hubs: Callable[[], hub_choice.HubView],
        list_reporters: Callable[[], tuple[str, ...]],
        send_to_all: Callable[[Iterable[str], NoticeT], object],
        make_id: Callable[[NoticeT], str],
    ) -> None:
        """Creates the relay of a router.

        Args:
          find_hubs: Returns the hubs of the fleet.
          list_reporters: Returns the hosts that report to this router.
          send_to_all: Sends a notice to several hosts, best effort.
          make_id: Returns what identifies a notice.
        """
        self._find_hubs = find_hubs
        self._list_reporters = list_reporters
        self._send_to_all = send_to_all
        self._make_id = make_id
        # A set in order of insertion, so that the oldest ids can be removed.
        self._known_ids: dict[str, None] = {}

    def broadcast(self, notice: NoticeT) -> None:
        """Sends a notice of what this router observed."""
        self._mark_known(notice)
        view = self._find_hubs()
        hubs = view.order_hubs(view.own_host)
        if view.is_hub:
            self._send_to_all((*hubs, *self._list_reporters()), notice)
        else:
            self._send_to_all(hubs[:_FIRST_HUBS], notice)

    def handle_notice(self, sender: str, notice: NoticeT) -> None:
        """Passes on the notice of another router, if this one is a hub.

        Args:
          sender: The host that sent it, which may have passed it on itself.
          notice: The notice.
        """
        if self._make_id(notice) in self._known_ids:
            return
        self._mark_known(notice)
        view = self._find_hubs()
        if not view.is_hub:
            return
        hubs = () if sender in view.zones else view.list_other_hubs()
        self._send_to_all((*hubs, *self._list_reporters()), notice)

    def _mark_known(self, notice: NoticeT) -> None:
        """Marks a notice as one that need not be passed on again."""
        self._known_ids[self._make_id(notice)] = None
        while len(self._known_ids) > _MAX_KNOWN_NOTICES:
            del self._known_ids[next(iter(self._known_ids))]
