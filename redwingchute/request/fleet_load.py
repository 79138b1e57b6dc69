"""What all routers have open at each upstream.

Every router counts its own requests and tells the others from time to time.
Between two notices the others' prompts count as being read on.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from redwingchute.core import requesting

# A notice of a router that sends no newer one says nothing any more.
_NOTICE_LIFE_MS = 1_500


@attrs.define(eq=False)
class OpenRequest:
    """A request of this router at an upstream; each is itself only.

    Attributes:
      upstream_id: The upstream.
      sent_ms: When it was sent.
      waiting_tokens: What the upstream has yet to read of its prompt; 0 once
        its first event is there.
      ahead_tokens: What was to be read before it and of it when it was sent.
    """

    upstream_id: str
    sent_ms: int
    waiting_tokens: int = 0
    ahead_tokens: int = 0


@attrs.frozen
class _Notice:
    """The newest notice of another router."""

    received_ms: int
    loads: dict[str, requesting.OpenLoad]


class FleetLoad:
    """The open requests of this router and of the others."""

    def __init__(self, find_ms_per_token: Callable[[str], float]) -> None:
        """Starts without requests.

        Args:
          find_ms_per_token: Returns how long an upstream takes to read one
            token.
        """
        self._find_ms_per_token = find_ms_per_token
        self._open: dict[str, list[OpenRequest]] = {}
        self._notices: dict[str, _Notice] = {}

    def add(self, request: OpenRequest) -> None:
        """Counts a request of this router."""
        self._open.setdefault(request.upstream_id, []).append(request)

    def remove(self, request: OpenRequest) -> None:
        """Ends a request of this router."""
        requests = self._open[request.upstream_id]
        requests.remove(request)
        if not requests:
            del self._open[request.upstream_id]

    def take_notice(
        self,
        host: str,
        loads: Iterable[requesting.OpenLoad],
        now_ms: int,
    ) -> None:
        """Takes what another router has open."""
        self._notices[host] = _Notice(
            now_ms, {load.upstream: load for load in loads}
        )

    def list_own(self) -> tuple[requesting.OpenLoad, ...]:
        """Returns what this router has open at each upstream."""
        return tuple(
            requesting.OpenLoad(
                upstream_id,
                len(requests),
                sum(request.waiting_tokens for request in requests),
            )
            for upstream_id, requests in sorted(self._open.items())
        )

    def count_open(self, upstream_id: str, now_ms: int) -> int:
        """Returns the open requests of all routers at an upstream."""
        others = sum(
            load.open_requests
            for _, load in self._list_others(upstream_id, now_ms)
        )
        return len(self._open.get(upstream_id, ())) + others

    def count_waiting_tokens(self, upstream_id: str, now_ms: int) -> int:
        """Returns what an upstream has yet to read for all routers."""
        own = sum(
            request.waiting_tokens
            for request in self._open.get(upstream_id, ())
        )
        ms_per_token = self._find_ms_per_token(upstream_id)
        others = 0
        for age_ms, load in self._list_others(upstream_id, now_ms):
            read_on = int(age_ms / ms_per_token)
            others += max(0, load.waiting_tokens - read_on)
        return own + others

    def _list_others(
        self, upstream_id: str, now_ms: int
    ) -> list[tuple[int, requesting.OpenLoad]]:
        """Returns the age and load of each other router's notice."""
        found = []
        for notice in self._notices.values():
            age_ms = now_ms - notice.received_ms
            load = notice.loads.get(upstream_id)
            if load is not None and age_ms < _NOTICE_LIFE_MS:
                found.append((age_ms, load))
        return found
