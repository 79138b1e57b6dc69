"""Asks limiters for permits, and answers the routers that ask this one.

A permit is for one request that is sent at once. For an upstream that limits
its rate it is used up then, for a brittle one it is held until the request has
ended. A router that reaches no limiter has no permits, so it sends nothing to
limited or cold upstreams.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import TypeAlias

from redwingchute.core import data
from redwingchute.core import forwarding
from redwingchute.core import rate_limiting
from redwingchute.process import decision_log
from redwingchute.process import limiter_choice
from redwingchute.process import peer_network
from redwingchute.request import cold_upstreams
from redwingchute.request import occupancy_issuer
from redwingchute.request import permit_issuer
from redwingchute.request import upstream_limits

# A reply takes some milliseconds, also from another zone.
_CALL_TIMEOUT_MS = 250
# A limiter that did not reply is not asked for this time.
_AVOIDANCE_MS = 1_000
# The wait for a permit while no limiter replies.
_NO_LIMITER_WAIT_MS = 500
# A shorter wait is not worth another call.
_MIN_WAIT_MS = 20


@dataclasses.dataclass(frozen=True)
class Permitted:
    """The request may be sent.

    Attributes:
      start: The start of the upstream that it is for.
      limiter: The host that issued the permit; None if none was needed.
      is_held: Whether the permit is held until the request has ended.
    """

    start: forwarding.UpstreamStart
    limiter: str | None = None
    is_held: bool = False


@dataclasses.dataclass(frozen=True)
class NotPermitted:
    """The request may not be sent.

    Attributes:
      wait_ms: When the next one may be.
    """

    wait_ms: int


PermitResult: TypeAlias = Permitted | NotPermitted


class PermitExchange:
    """The permits that one router gets from others and issues to them."""

    def __init__(
        self,
        network: peer_network.PeerNetwork,
        limiters: limiter_choice.LimiterChoice,
        limits: upstream_limits.UpstreamLimits,
        cold: cold_upstreams.ColdUpstreams,
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates the exchange of a router.

        Args:
          network: The links to the other routers.
          limiters: Which routers issue permits for which upstreams.
          limits: What the router knows of limits.
          cold: The upstreams that are cold.
          read_clock_ms: Returns the current time, including suspended time.
        """
        self._network = network
        self._limiters = limiters
        self._limits = limits
        self._cold = cold
        self._issuer = permit_issuer.PermitIssuer()
        self._cold_issuer = permit_issuer.PermitIssuer(is_for_cold=True)
        self._occupancy = occupancy_issuer.OccupancyIssuer()
        self._read_clock_ms = read_clock_ms
        self._avoided_until_ms: dict[str, int] = {}

    async def acquire(
        self, upstream: forwarding.Upstream, is_urgent: bool
    ) -> PermitResult:
        """Acquires the permit for one request to an upstream.

        If it is refused, the directory offers the upstream again only once a
        permit is likely.

        Args:
          upstream: The upstream.
          is_urgent: Whether the request has the highest priority.
        """
        start = upstream.start
        limit = self._limits.find_for(upstream, self._read_clock_ms())
        is_cold = self._cold.find_rate(upstream.id) < math.inf
        if not limit.is_limited and not is_cold:
            return Permitted(start)
        result = await self._ask_limiters(upstream, is_urgent)
        if isinstance(result, Permitted) and is_cold:
            self._cold.record_permit(upstream.id)
        if isinstance(result, NotPermitted):
            decision_log.count_event("permit_refused")
            if is_cold:
                decision_log.count_event("cold_permit_refused")
            now_ms = self._read_clock_ms()
            self._limits.block(
                start,
                is_urgent,
                now_ms + max(_MIN_WAIT_MS, result.wait_ms),
                now_ms,
            )
        return result

    async def _ask_limiters(
        self, upstream: forwarding.Upstream, is_urgent: bool
    ) -> PermitResult:
        """Asks the first limiter, and the second if the first is silent."""
        start = upstream.start
        for limiter in self._limiters.list_limiters(upstream.id, upstream.zone):
            now_ms = self._read_clock_ms()
            if self._avoided_until_ms.get(limiter, 0) > now_ms:
                continue
            cold_rate = self._cold.find_rate(upstream.id)
            is_cold = cold_rate < math.inf
            request = rate_limiting.PermitRequest(
                upstream.id,
                upstream.born_ms,
                upstream.zone,
                self._limits.find_for(upstream, now_ms),
                is_urgent,
                upstream.slots,
                cold_rate if is_cold else 0.0,
            )
            reply = await self._network.call(limiter, request, _CALL_TIMEOUT_MS)
            if not isinstance(reply, rate_limiting.PermitReply):
                decision_log.log_failure(
                    "limiter_silent", limiter=limiter, upstream=upstream.id
                )
                self._avoided_until_ms[limiter] = now_ms + _AVOIDANCE_MS
                continue
            self._limits.merge(start, reply.limit)
            permit = Permitted(start, limiter, request.limit.is_brittle)
            if is_cold and not reply.counts_cold:
                # The limiter is of an earlier release.
                if reply.is_permitted:
                    self.give_back(permit, is_used=False)
                continue
            if reply.is_permitted:
                return permit
            if reply.is_limiter:
                return NotPermitted(reply.wait_ms)
        return NotPermitted(_NO_LIMITER_WAIT_MS)

    def give_back(
        self, permit: Permitted, is_used: bool, was_rejected: bool = False
    ) -> None:
        """Gives back a permit, because the attempt has ended.

        Args:
          permit: The permit.
          is_used: Whether the request was sent.
          was_rejected: Whether the upstream rejected it.
        """
        if permit.limiter is None or (is_used and not permit.is_held):
            return
        notice = rate_limiting.PermitReturn(
            permit.start.id, permit.start.born_ms, is_used, was_rejected
        )
        if permit.limiter == self._network.own_host.name:
            self._take_back(notice)
            return
        self._network.send(permit.limiter, notice)

    async def handle_request(
        self, peer: data.Host, request: rate_limiting.PermitRequest
    ) -> rate_limiting.PermitReply:
        """Answers a router that asks for a permit."""
        del peer
        start = forwarding.UpstreamStart(request.upstream, request.born_ms)
        self._limits.merge(start, request.limit)
        limit = self._limits.find(start)
        cold_rate = min(
            request.cold_requests_per_s or math.inf,
            self._cold.find_rate(request.upstream),
        )
        if not limit.is_limited and cold_rate == math.inf:
            return rate_limiting.PermitReply(True, True, 0, limit)
        now_ms = self._read_clock_ms()
        share = self._limiters.find_share(
            request.upstream, request.zone, now_ms
        )
        if not share:
            return rate_limiting.PermitReply(False, False, 0, limit, True)
        wait_ms = 0
        if cold_rate < math.inf:
            cold_share = self._limiters.find_cold_share(
                request.upstream, request.zone, now_ms
            )
            if not cold_share:
                return rate_limiting.PermitReply(False, False, 0, limit, True)
            wait_ms = self._cold_issuer.issue(
                _name_instance(request.upstream),
                cold_rate,
                cold_share,
                request.is_urgent,
                now_ms,
            )
        wait_ms = wait_ms or self._issue(request, limit, share, now_ms)
        return rate_limiting.PermitReply(
            True, not wait_ms, wait_ms, limit, True
        )

    def _issue(
        self,
        request: rate_limiting.PermitRequest,
        limit: rate_limiting.KnownLimit,
        share: float,
        now_ms: int,
    ) -> int:
        """Issues a permit by the limits that an upstream named.

        Returns:
          0 if one was issued, otherwise the time in ms until there is one.
        """
        start = forwarding.UpstreamStart(request.upstream, request.born_ms)
        wait_ms = 0
        if limit.is_brittle:
            wait_ms = self._occupancy.issue(
                start, request.slots, share, limit.rejections_per_s, now_ms
            )
        if not wait_ms and limit.has_rate:
            wait_ms = self._issuer.issue(
                start, limit.requests_per_s, share, request.is_urgent, now_ms
            )
            if wait_ms:
                self._occupancy.take_back(start, False, now_ms)
        if wait_ms:
            self._cold_issuer.take_back(_name_instance(request.upstream))
        return wait_ms

    async def handle_return(
        self, peer: data.Host, permit: rate_limiting.PermitReturn
    ) -> None:
        """Takes back a permit of another router."""
        del peer
        self._take_back(permit)

    def _take_back(self, permit: rate_limiting.PermitReturn) -> None:
        """Takes back a permit that this router issued."""
        start = forwarding.UpstreamStart(permit.upstream, permit.born_ms)
        if not permit.is_used:
            self._issuer.take_back(start)
            self._cold_issuer.take_back(_name_instance(permit.upstream))
        self._occupancy.take_back(
            start, permit.was_rejected, self._read_clock_ms()
        )


def _name_instance(upstream_id: str) -> forwarding.UpstreamStart:
    """Returns what stands for all starts of an instance.

    While it starts again, some routers ask for one start of it and some for
    another, and the requests of all reach the newest one.
    """
    return forwarding.UpstreamStart(upstream_id, 0)
