"""Tests of routers that ask each other for permits, without a network."""

import asyncio
from typing import Any

import attrs

from redwingchute.core import data
from redwingchute.core import forwarding
from redwingchute.core import rate_limiting
from redwingchute.process import host_registry
from redwingchute.process import limiter_choice
from redwingchute.process import peer_network
from redwingchute.process import permit_exchange
from redwingchute.request import cold_upstreams
from redwingchute.request import upstream_limits
from redwingchute.testing import forwarding_builders

_RATE_PER_S = 7.7
_UPSTREAM = attrs.evolve(forwarding_builders.make_upstream("m-1"), cold_ms=500)
_HOSTS = tuple(
    host_registry.RegisteredHost(name, "huon", "10.0.0.1:1", 0.5)
    for name in ("huon-1", "huon-2", "huon-3")
)


class _Network(peer_network.PeerNetwork):
    """Answers calls with a fixed reply, as other routers would."""

    def __init__(self, reply: rate_limiting.PermitReply | None) -> None:
        """Creates a network whose hosts reply the same; None for silence."""
        self._reply = reply
        self.own_host = data.Host("huon-9", "huon", "10.0.0.9:1", 1)
        self.requests: list[rate_limiting.PermitRequest] = []
        self.sent: list[Any] = []

    async def call(self, host: str, request: Any, timeout_ms: int) -> Any:
        """Returns the reply."""
        self.requests.append(request)
        return self._reply

    def send(self, host: str, record: Any) -> bool:
        """Records what is sent."""
        self.sent.append(record)
        return True


def _acquire(
    reply: rate_limiting.PermitReply | None, cold_ms: int = 500
) -> tuple[permit_exchange.PermitResult, _Network]:
    """Asks for a permit for an upstream; returns the result."""
    network = _Network(reply)
    limiters = limiter_choice.LimiterChoice("huon-9", lambda: None)
    limiters.record_hosts(_HOSTS, 0)
    cold = cold_upstreams.ColdUpstreams(
        lambda: 1_000, lambda: 1_000, lambda notice: None
    )
    cold.set_services(
        [forwarding.Service("llm", cold_requests_per_s=_RATE_PER_S)]
    )
    upstream = attrs.evolve(_UPSTREAM, cold_ms=cold_ms)
    cold.record_entry(upstream)
    exchange = permit_exchange.PermitExchange(
        network,
        limiters,
        upstream_limits.UpstreamLimits(),
        cold,
        lambda: 1_000,
    )
    result = asyncio.run(exchange.acquire(upstream, is_urgent=False))
    return result, network


def _make_reply(counts_cold: bool) -> rate_limiting.PermitReply:
    """Returns a reply that permits the request."""
    return rate_limiting.PermitReply(
        True, True, 0, rate_limiting.KnownLimit(), counts_cold
    )


def test_a_limiter_learns_that_the_upstream_is_cold_from_who_asks() -> None:
    result, network = _acquire(_make_reply(True))
    assert isinstance(result, permit_exchange.Permitted)
    assert network.requests[0].cold_requests_per_s == _RATE_PER_S
    assert network.requests[0].limit == rate_limiting.KnownLimit()


# Guards against a host that reaches no limiter, and one whose limiters are of
# the earlier release, which permit all that isn't limited by the upstream.
def test_without_a_limiter_that_counts_nothing_goes_to_a_cold_upstream() -> (
    None
):
    for reply in (None, _make_reply(False)):
        result, network = _acquire(reply)
        assert isinstance(result, permit_exchange.NotPermitted)
        assert result.wait_ms > 0
        assert len(network.requests) == 2


def test_a_warm_upstream_needs_no_permit() -> None:
    result, network = _acquire(None, cold_ms=0)
    assert isinstance(result, permit_exchange.Permitted)
    assert not network.requests
