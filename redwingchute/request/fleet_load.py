"""Estimates the load of each upstream over all routers.

Every router counts its own open requests and sends load notices to the other
routers. Between two notices the prefill of their requests is assumed to
progress at the upstream's speed, separately for each router.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from redwingchute.core import requesting

# A notice is ignored after this time unless a newer one has replaced it.
_NOTICE_TTL_MS = 1_500


@attrs.define(eq=False)
class OpenRequest:
    """An open request of this router at an upstream, compared by identity.

    Attributes:
      upstream_id: The upstream.
      sent_ms: When it was sent.
      waiting_tokens: The tokens of its prompt that still need prefill; 0 after
        its first event.
      backlog_tokens: The tokens that needed prefill at the upstream when it was
        sent, its own included.
    """

    upstream_id: str
    sent_ms: int
    waiting_tokens: int = 0
    backlog_tokens: int = 0


@attrs.frozen
class _Notice:
    """The newest notice of another router.

    Attributes:
      received_ms: When it arrived.
      loads: The load that the router has put on upstreams, by upstream id.
    """

    received_ms: int
    loads: dict[str, requesting.OpenLoad]


class FleetLoad:
    """The open requests of this router and of the others."""

    def __init__(self, estimate_ms_per_token: Callable[[str], float]) -> None:
        """Creates a load without requests.

        Args:
          estimate_ms_per_token: Returns the prefill time of one token, in ms,
            at the upstream with a given id.
        """
        self._estimate_ms_per_token = estimate_ms_per_token
        self._open_requests: dict[str, list[OpenRequest]] = {}
        self._notices: dict[str, _Notice] = {}

    def add(self, request: OpenRequest) -> None:
        """Adds an open request of this router."""
        self._open_requests.setdefault(request.upstream_id, []).append(request)

    def remove(self, request: OpenRequest) -> None:
        """Removes a request of this router that has ended."""
        requests = self._open_requests[request.upstream_id]
        requests.remove(request)
        if not requests:
            del self._open_requests[request.upstream_id]

    def handle_notice(
        self,
        host: str,
        loads: Iterable[requesting.OpenLoad],
        now_ms: int,
    ) -> None:
        """Replaces the loads that the router on another host reported."""
        self._notices[host] = _Notice(
            now_ms, {load.upstream: load for load in loads}
        )

    def list_own_loads(self) -> tuple[requesting.OpenLoad, ...]:
        """Returns this router's own load of each upstream."""
        return tuple(
            requesting.OpenLoad(
                upstream_id,
                len(requests),
                sum(request.waiting_tokens for request in requests),
            )
            for upstream_id, requests in sorted(self._open_requests.items())
        )

    def count_open(self, upstream_id: str, now_ms: int) -> int:
        """Returns how many requests of all routers are open at an upstream."""
        others = sum(
            load.open_requests
            for _, load in self._list_valid_loads(upstream_id, now_ms)
        )
        return len(self._open_requests.get(upstream_id, ())) + others

    def count_waiting_tokens(self, upstream_id: str, now_ms: int) -> int:
        """Returns how many tokens of all routers wait for prefill there.

        From the tokens in a notice, those that the upstream can have processed
        since the notice arrived are subtracted.
        """
        own = sum(
            request.waiting_tokens
            for request in self._open_requests.get(upstream_id, ())
        )
        ms_per_token = self._estimate_ms_per_token(upstream_id)
        others = 0
        for age_ms, load in self._list_valid_loads(upstream_id, now_ms):
            processed_tokens = int(age_ms / ms_per_token)
            others += max(0, load.waiting_tokens - processed_tokens)
        return own + others

    def _list_valid_loads(
        self, upstream_id: str, now_ms: int
    ) -> list[tuple[int, requesting.OpenLoad]]:
        """Returns the age in ms and the load of each valid notice."""
        found = []
        for notice in self._notices.values():
            age_ms = now_ms - notice.received_ms
            load = notice.loads.get(upstream_id)
            if load is not None and age_ms < _NOTICE_TTL_MS:
                found.append((age_ms, load))
        return found
