"""Tests of the permits that a large fleet issues for one cold upstream.

Hosts are the decision code alone, on a manual clock and without a network. The
load is the heaviest: whoever takes itself for a limiter issues all that it may,
at once and after pauses in which permits gather, while hosts join, leave, die,
start again and are cut off.
"""

import random

import attrs
import pytest

from redwingchute.core import forwarding
from redwingchute.process import host_registry
from redwingchute.process import limiter_choice
from redwingchute.request import permit_issuer

_UPSTREAM = "m-1"
_ZONE = "huon"
_ZONES = (_ZONE, "bruny", "tamar", "derwent")
_START = forwarding.UpstreamStart(_UPSTREAM, 0)
_STEP_MS = 20
_READ_INTERVAL_MS = 2_500
# The load comes and goes, so that permits gather and then go at once.
_PAUSE_MS = 800
# What the users' rule allows in any second.
_WINDOW_MS = 1_000
_RATES_PER_S = (0.5, 7.7, 100.0)


@attrs.define(eq=False)
class _Host:
    """One router, with what it knows of the list of hosts.

    Attributes:
      entry: Its entry in the list.
      choice: Its choice of limiters.
      issuer: Its permits.
      since_ms: Since when its entry is in the list; None before that.
      read_ms: When it last read the list.
      is_cut: Whether it neither reads nor writes the list.
    """

    entry: host_registry.RegisteredHost
    read_ms: int
    choice: limiter_choice.LimiterChoice = attrs.field(init=False)
    issuer: permit_issuer.PermitIssuer = attrs.field(
        factory=lambda: permit_issuer.PermitIssuer(is_for_cold=True)
    )
    since_ms: int | None = None
    is_cut: bool = False
    known: tuple[host_registry.RegisteredHost, ...] = ()

    def __attrs_post_init__(self) -> None:
        """Creates the choice of limiters."""
        self.choice = limiter_choice.LimiterChoice(
            self.entry.name, self._find_registration
        )

    def _find_registration(self) -> host_registry.Registration | None:
        """Returns the place in the list."""
        if self.since_ms is None:
            return None
        return host_registry.Registration(
            self.since_ms, self.since_ms, self.read_ms
        )

    def read(
        self, hosts: tuple[host_registry.RegisteredHost, ...], now_ms: int
    ) -> None:
        """Reads the list."""
        self.read_ms = now_ms
        if hosts != self.known:
            self.known = hosts
            self.choice.record_hosts(hosts, now_ms)


class _Fleet:
    """The hosts, the list that they read, and the permits that they issue."""

    def __init__(self, host_count: int, rate_per_s: float, seed: int) -> None:
        """Creates a fleet that has run for a while."""
        self.now_ms = 1_000_000
        self.rate_per_s = rate_per_s
        self.random = random.Random(seed)
        self.hosts: list[_Host] = []
        self.listed: dict[str, host_registry.RegisteredHost] = {}
        self.issued_ms: list[int] = []
        for number in range(host_count):
            entry = _make_entry(f"host-{number}", _ZONES[number % 4])
            self.listed[entry.name] = entry
        for entry in list(self.listed.values()):
            self.start(entry).since_ms = self.now_ms - 60_000
        self.run_for(15_000)

    def start(self, entry: host_registry.RegisteredHost) -> _Host:
        """Starts a host, which reads the list and then registers."""
        phase_ms = self.random.randrange(_READ_INTERVAL_MS)
        host = _Host(entry, self.now_ms - phase_ms)
        host.choice.record_hosts(tuple(self.listed.values()), self.now_ms)
        host.known = tuple(self.listed.values())
        self.hosts.append(host)
        return host

    def join(self) -> _Host:
        """Adds a host that comes first in the order for the upstream."""
        listed = tuple(self.listed.values())
        while True:
            name = f"new-{self.random.randrange(10**9)}"
            entry = _make_entry(name, _ZONE)
            view = limiter_choice.LimiterChoice("", lambda: None)
            view.record_hosts((*listed, entry), 0)
            if view.list_limiters(_UPSTREAM, _ZONE)[0] == name:
                break
        host = self.start(entry)
        self.listed[name] = entry
        host.since_ms = self.now_ms
        return host

    def restart(self, host: _Host) -> None:
        """Kills a host and starts it again at once."""
        self.hosts.remove(host)
        again = self.start(host.entry)
        again.since_ms = self.now_ms

    def find_first(self) -> _Host:
        """Returns the host that the list makes the first limiter."""
        view = limiter_choice.LimiterChoice("", lambda: None)
        view.record_hosts(tuple(self.listed.values()), 0)
        first = view.list_limiters(_UPSTREAM, _ZONE)[0]
        return next(
            (host for host in self.hosts if host.entry.name == first),
            self.hosts[0],
        )

    def disturb(self) -> None:
        """Brings one failure or change about."""
        first = self.find_first()
        match self.random.choice(("join", "leave", "die", "cut", "restart")):
            case "join":
                for _ in range(self.random.randint(1, 3)):
                    self.join()
            case "leave":
                # Its process goes on for a moment, without an entry.
                self.listed.pop(first.entry.name, None)
                first.since_ms = None
                first.is_cut = True
            case "die":
                self.hosts.remove(first)
            case "cut":
                first.is_cut = True
            case "restart":
                self.restart(first)

    def run_for(self, duration_ms: int) -> None:
        """Lets all hosts read the list and issue all that they may."""
        for _ in range(duration_ms // _STEP_MS):
            self.now_ms += _STEP_MS
            listed = tuple(self.listed.values())
            for host in self.hosts:
                if (
                    not host.is_cut
                    and self.now_ms - host.read_ms >= _READ_INTERVAL_MS
                ):
                    host.read(listed, self.now_ms)
                if self.now_ms // _PAUSE_MS % 3:
                    self._issue_all(host)

    def _issue_all(self, host: _Host) -> None:
        """Lets one host issue all that it may."""
        share = host.choice.find_cold_share(_UPSTREAM, _ZONE, self.now_ms)
        while share and not host.issuer.issue(
            _START, self.rate_per_s, share, True, self.now_ms
        ):
            self.issued_ms.append(self.now_ms)

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
        return 1.5 * self.rate_per_s + 5


def _make_entry(name: str, zone: str) -> host_registry.RegisteredHost:
    """Returns the entry of a host."""
    return host_registry.RegisteredHost(name, zone, "10.0.0.1:1", 0.5)


# Guards against hosts that together issue more than a cold upstream bears while
# the list of hosts changes.
@pytest.mark.parametrize("rate_per_s", _RATES_PER_S)
@pytest.mark.parametrize("host_count, seed", [(60, 1), (60, 2), (195, 3)])
def test_a_changing_fleet_issues_no_more_than_a_cold_upstream_bears(
    host_count: int, seed: int, rate_per_s: float
) -> None:
    fleet = _Fleet(host_count, rate_per_s, seed)
    for _ in range(10):
        fleet.disturb()
        fleet.run_for(fleet.random.randint(200, 6_000))
    assert fleet.count_most() <= fleet.find_allowed()


# Guards against hosts that join together and each take themselves for the
# first limiter, beside one that is cut off from the list and still does.
def test_hosts_that_join_while_the_first_limiter_is_cut_off_add_nothing() -> (
    None
):
    fleet = _Fleet(60, 7.7, 4)
    fleet.find_first().is_cut = True
    for _ in range(5):
        fleet.join()
        fleet.run_for(160)
    fleet.run_for(12_000)
    assert fleet.count_most() <= fleet.find_allowed()


# Guards against a cold upstream that stands idle while requests for it are
# refused.
def test_a_steady_fleet_uses_most_of_what_a_cold_upstream_bears() -> None:
    fleet = _Fleet(60, 7.7, 5)
    fleet.issued_ms.clear()
    fleet.run_for(16_000)
    # A third of the time nobody asks.
    assert len(fleet.issued_ms) >= 0.75 * 7.7 * 16 * 2 / 3


# Guards against a fleet that loses power as a whole and then sends cold
# upstreams either far too much or nothing.
def test_a_fleet_that_starts_again_issues_a_part() -> None:
    fleet = _Fleet(60, 7.7, 6)
    for host in list(fleet.hosts):
        fleet.restart(host)
    fleet.issued_ms.clear()
    fleet.run_for(3_000)
    assert len(fleet.issued_ms) >= 3
    assert fleet.count_most() <= fleet.find_allowed()
