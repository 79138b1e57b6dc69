"""Estimates the load of each upstream over all routers.

Every router counts its own open requests, and gets load notices of other
routers, see `load_exchange`. Between two notices of a sender the prefill of its
requests is assumed to progress at the upstream's speed, separately for each
sender.
"""

from collections.abc import Callable
from collections.abc import Container
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
      was_rejected: Whether the upstream rejected it.
      was_completed: Whether the upstream's response was complete.
    """

    upstream_id: str
    sent_ms: int
    waiting_tokens: int = 0
    backlog_tokens: int = 0
    was_rejected: bool = False
    was_completed: bool = False


@attrs.frozen
class _ReportedLoad:
    """The load of one upstream in a notice.

    Attributes:
      sender: The sender of the notice.
      received_ms: When the notice arrived.
      load: The load.
    """

    sender: str
    received_ms: int
    load: requesting.OpenLoad


@attrs.frozen
class _Notice:
    """The newest notice of a sender.

    Attributes:
      received_ms: When it arrived.
      loads: The load at upstreams that it reports.
    """

    received_ms: int
    loads: tuple[requesting.OpenLoad, ...]


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
        # The loads of all notices by upstream id; None after a notice arrived,
        # until they are needed.
        self._reported_loads: dict[str, list[_ReportedLoad]] | None = {}

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
        sender: str,
        loads: Iterable[requesting.OpenLoad],
        now_ms: int,
    ) -> None:
        """Replaces the loads that a sender reported before.

        Args:
          sender: Identifies the sender, for example by its host.
          loads: The loads that it reports.
          now_ms: The current time.
        """
        for other, notice in list(self._notices.items()):
            if now_ms - notice.received_ms >= _NOTICE_TTL_MS:
                del self._notices[other]
        self._notices[sender] = _Notice(now_ms, tuple(loads))
        self._reported_loads = None

    def find_age_ms(self, now_ms: int) -> int | None:
        """Returns the age in ms of the newest notice; None without any."""
        if not self._notices:
            return None
        return now_ms - max(
            notice.received_ms for notice in self._notices.values()
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

    def list_loads(
        self, now_ms: int, excluded_senders: Container[str] = ()
    ) -> tuple[requesting.OpenLoad, ...]:
        """Returns the load of each upstream: this router's and the reported.

        Args:
          now_ms: The current time.
          excluded_senders: Senders whose reports are left out.
        """
        upstream_ids = {*self._open_requests, *self._find_reported_loads()}
        loads = (
            requesting.OpenLoad(
                upstream_id,
                self.count_open(upstream_id, now_ms, excluded_senders),
                self.count_waiting_tokens(
                    upstream_id, now_ms, excluded_senders
                ),
            )
            for upstream_id in sorted(upstream_ids)
        )
        return tuple(load for load in loads if load.open_requests)

    def count_open(
        self,
        upstream_id: str,
        now_ms: int,
        excluded_senders: Container[str] = (),
    ) -> int:
        """Returns how many requests of all routers are open at an upstream."""
        others = sum(
            load.open_requests
            for _, load in self._list_valid_loads(
                upstream_id, now_ms, excluded_senders
            )
        )
        return len(self._open_requests.get(upstream_id, ())) + others

    def count_own_open(self, upstream_id: str) -> int:
        """Returns how many requests of this router are open there."""
        return len(self._open_requests.get(upstream_id, ()))

    def count_waiting_tokens(
        self,
        upstream_id: str,
        now_ms: int,
        excluded_senders: Container[str] = (),
    ) -> int:
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
        for age_ms, load in self._list_valid_loads(
            upstream_id, now_ms, excluded_senders
        ):
            processed_tokens = int(age_ms / ms_per_token)
            others += max(0, load.waiting_tokens - processed_tokens)
        return own + others

    def _list_valid_loads(
        self,
        upstream_id: str,
        now_ms: int,
        excluded_senders: Container[str],
    ) -> list[tuple[int, requesting.OpenLoad]]:
        """Returns the age in ms and the load of each valid notice."""
        return [
            (now_ms - reported.received_ms, reported.load)
            for reported in self._find_reported_loads().get(upstream_id, ())
            if now_ms - reported.received_ms < _NOTICE_TTL_MS
            and reported.sender not in excluded_senders
        ]

    def _find_reported_loads(self) -> dict[str, list[_ReportedLoad]]:
        """Returns the loads of all notices by upstream id."""
        if self._reported_loads is None:
            self._reported_loads = {}
            for sender, notice in self._notices.items():
                for load in notice.loads:
                    self._reported_loads.setdefault(load.upstream, []).append(
                        _ReportedLoad(sender, notice.received_ms, load)
                    )
        return self._reported_loads
