"""Tests of the permits that a fleet issues for one limited upstream.

Routers are the decision code alone, on a manual clock and without a network.
Each asks for as many permits as it can, as if all its callers wanted that
upstream.
"""

from collections.abc import Sequence

import pytest

from redwingchute.core import forwarding
from redwingchute.process import host_registry
from redwingchute.process import limiter_choice
from redwingchute.request import permit_issuer

_ZONES = ("huon", "bruny", "tamar", "derwent")
_UPSTREAM = "m-1"
_ZONE = "huon"
_START = forwarding.UpstreamStart(_UPSTREAM, 1)
_STEP_MS = 10
# What the users' rule allows.
_WINDOW_MS = 4_000
_RATES_PER_S = (0.0, 0.2, 1.0, 10.0, 100.0)


def _make_hosts(count: int) -> list[host_registry.RegisteredHost]:
    """Returns hosts in all zones."""
    return [
        host_registry.RegisteredHost(
            f"host-{number}", _ZONES[number % len(_ZONES)], "10.0.0.1:1", 0.5
        )
        for number in range(count)
    ]


class _Limiter:
    """One router that issues permits.

    Attributes:
      read_ms: When it last read the list of hosts; None keeps it current.
    """

    def __init__(self, name: str) -> None:
        """Creates a router that has just started."""
        self.read_ms: int | None = None
        self._now_ms = 0
        self._issuer = permit_issuer.PermitIssuer()
        self._limiters = limiter_choice.LimiterChoice(name, self._find_place)

    def _find_place(self) -> host_registry.Registration:
        """Returns the place of the host in the list."""
        read_ms = self._now_ms if self.read_ms is None else self.read_ms
        return host_registry.Registration(0, self._now_ms, read_ms)

    def record_hosts(
        self, hosts: Sequence[host_registry.RegisteredHost], now_ms: int
    ) -> None:
        """Records a list of hosts."""
        self._limiters.record_hosts(hosts, now_ms)

    def list_limiters(self) -> tuple[str, ...]:
        """Returns the limiters as this router sees them."""
        return self._limiters.list_limiters(_UPSTREAM, _ZONE)

    def issue_all(self, requests_per_s: float, now_ms: int) -> int:
        """Issues as many permits as it may; returns their number."""
        self._now_ms = now_ms
        share = self._limiters.find_share(_UPSTREAM, _ZONE, now_ms)
        count = 0
        while share and not self._issuer.issue(
            _START, requests_per_s, share, True, now_ms
        ):
            count += 1
        return count


class _Fleet:
    """The routers that take themselves for limiters, and what they issue."""

    def __init__(self, requests_per_s: float) -> None:
        """Creates a fleet without routers."""
        self.requests_per_s = requests_per_s
        self.now_ms = 100_000
        self.limiters: list[_Limiter] = []
        self.issued_ms: list[int] = []

    def run_for(self, duration_ms: int) -> None:
        """Lets all limiters issue all that they may."""
        for _ in range(duration_ms // _STEP_MS):
            self.now_ms += _STEP_MS
            for limiter in self.limiters:
                count = limiter.issue_all(self.requests_per_s, self.now_ms)
                self.issued_ms.extend([self.now_ms] * count)

    def count_most(self) -> int:
        """Returns the most permits in a window."""
        most = first = 0
        for last, issued_ms in enumerate(self.issued_ms):
            while issued_ms - self.issued_ms[first] >= _WINDOW_MS:
                first += 1
            most = max(most, last - first + 1)
        return most

    def find_allowed(self) -> float:
        """Returns what the users allow in a window."""
        return 1.5 * self.requests_per_s * _WINDOW_MS / 1_000 + 5


def _make_settled_fleet(
    requests_per_s: float, hosts: Sequence[host_registry.RegisteredHost]
) -> _Fleet:
    """Returns a fleet whose two limiters have been so for a while."""
    fleet = _Fleet(requests_per_s)
    names = limiter_choice.LimiterChoice("", lambda: None)
    names.record_hosts(hosts, 0)
    for name in names.list_limiters(_UPSTREAM, _ZONE):
        limiter = _Limiter(name)
        limiter.record_hosts(hosts, fleet.now_ms)
        fleet.limiters.append(limiter)
    fleet.run_for(10_000)
    return fleet


# Guards against a bucket for each host, which together allow far too much.
@pytest.mark.parametrize("host_count", [1, 8, 195, 540])
@pytest.mark.parametrize("requests_per_s", _RATES_PER_S)
def test_all_limiters_together_stay_within_the_limit(
    host_count: int, requests_per_s: float
) -> None:
    fleet = _make_settled_fleet(requests_per_s, _make_hosts(host_count))
    assert len(fleet.limiters) == min(2, host_count)
    fleet.run_for(10_000)
    assert fleet.count_most() <= fleet.find_allowed()


# Guards against a limit that is passed on in whole while the host that held it
# has not read yet that another one joined, or cannot read it.
@pytest.mark.parametrize("requests_per_s", _RATES_PER_S)
@pytest.mark.parametrize("is_cut_from_log", [False, True])
def test_a_host_that_joins_adds_no_second_whole_limit(
    requests_per_s: float, is_cut_from_log: bool
) -> None:
    hosts = _make_hosts(12)
    fleet = _make_settled_fleet(requests_per_s, hosts)
    first = fleet.limiters[0]
    joined = _find_joiner(hosts)
    newcomer = _Limiter(joined.name)
    if is_cut_from_log:
        first.read_ms = fleet.now_ms
    newcomer.record_hosts([*hosts, joined], fleet.now_ms)
    assert newcomer.list_limiters()[0] == joined.name
    # Routers that read the old list never reach its second limiter meanwhile.
    fleet.limiters = [first, newcomer]
    if is_cut_from_log:
        fleet.run_for(20_000)
    else:
        fleet.run_for(2_500)
        first.record_hosts([*hosts, joined], fleet.now_ms)
        fleet.run_for(10_000)
    assert fleet.count_most() <= fleet.find_allowed()


def _find_joiner(
    hosts: Sequence[host_registry.RegisteredHost],
) -> host_registry.RegisteredHost:
    """Returns a new host that comes first in the order for the upstream."""
    for number in range(1_000):
        joined = host_registry.RegisteredHost(
            f"new-{number}", _ZONE, "10.0.0.1:1", 0.5
        )
        view = _Limiter("")
        view.record_hosts([*hosts, joined], 0)
        if view.list_limiters()[0] == joined.name:
            return joined
    raise AssertionError("no name comes first")


# Guards against a restart that gives its host a fresh bucket.
@pytest.mark.parametrize("requests_per_s", _RATES_PER_S)
def test_a_restart_of_the_first_limiter_adds_no_permits(
    requests_per_s: float,
) -> None:
    hosts = _make_hosts(12)
    fleet = _make_settled_fleet(requests_per_s, hosts)
    for _ in range(4):
        restarted = _Limiter(fleet.limiters[0].list_limiters()[0])
        restarted.record_hosts(hosts, fleet.now_ms)
        fleet.limiters[0] = restarted
        fleet.run_for(1_000)
    fleet.run_for(8_000)
    assert fleet.count_most() <= fleet.find_allowed()


# Guards against a limit of which most stands idle while callers are refused.
@pytest.mark.parametrize("requests_per_s", [1.0, 10.0, 100.0])
def test_a_steady_fleet_uses_the_whole_limit(requests_per_s: float) -> None:
    fleet = _make_settled_fleet(requests_per_s, _make_hosts(12))
    fleet.limiters = fleet.limiters[:1]
    fleet.issued_ms.clear()
    fleet.run_for(10_000)
    assert len(fleet.issued_ms) >= 0.9 * requests_per_s * 10


# Guards against a zone that is cut off and cannot use its own upstreams.
def test_limiters_are_in_the_zone_of_the_upstream() -> None:
    for count in (8, 12, 195, 540):
        hosts = _make_hosts(count)
        zones = {host.name: host.zone for host in hosts}
        view = _Limiter("")
        view.record_hosts(hosts, 0)
        assert [zones[name] for name in view.list_limiters()] == [_ZONE] * 2


# Guards against limiters that are the same few hosts for all upstreams.
def test_the_limits_of_many_upstreams_are_spread_over_the_hosts() -> None:
    hosts = _make_hosts(540)
    view = limiter_choice.LimiterChoice("", lambda: None)
    view.record_hosts(hosts, 0)
    counts: dict[str, int] = {}
    for number in range(4_500):
        zone = _ZONES[number % len(_ZONES)]
        (first, _) = view.list_limiters(f"m-{number}", zone)
        counts[first] = counts.get(first, 0) + 1
    assert max(counts.values()) <= 3 * 4_500 / 540
