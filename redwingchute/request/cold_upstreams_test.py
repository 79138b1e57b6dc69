"""Tests of what a router knows of cold upstreams, without a network."""

import math

import attrs

from redwingchute.core import forwarding
from redwingchute.core import rate_limiting
from redwingchute.request import cold_upstreams
from redwingchute.request import permit_issuer
from redwingchute.request import upstream_directory
from redwingchute.testing import forwarding_builders

_RATE_PER_S = 7.7
_COLD_START_MS = 3_000
_WALL_MS = 1_790_000_000_000
_SERVICE = forwarding.Service(
    "llm", cold_start_ms=_COLD_START_MS, cold_requests_per_s=_RATE_PER_S
)


class _Router:
    """A directory of one router, on a manual clock.

    Attributes:
      now_ms: The time on the steady clock.
      notices: What it told other routers.
    """

    def __init__(self, service: forwarding.Service = _SERVICE) -> None:
        """Creates a router with the configuration of one service."""
        self.now_ms = 50_000
        self.notices: list[rate_limiting.ColdNotice] = []
        self.cold = cold_upstreams.ColdUpstreams(
            lambda: self.now_ms,
            lambda: _WALL_MS + self.now_ms,
            self.notices.append,
        )
        self.directory = upstream_directory.UpstreamDirectory(
            "huon", read_clock_ms=lambda: self.now_ms, cold=self.cold
        )
        self.cold.set_services([service])

    def read_entry(
        self,
        name: str,
        cold_ms: int | None,
        sequence: int = 1,
        age_ms: int = 60_000,
    ) -> forwarding.Upstream:
        """Reads the entry of an upstream; returns it."""
        upstream = attrs.evolve(
            forwarding_builders.make_upstream(name),
            cold_ms=cold_ms,
            sequence=sequence,
            born_ms=_WALL_MS + 50_000 - age_ms,
        )
        self.directory.set_upstream(upstream)
        return upstream

    def choose(
        self,
        number: int = 1,
        excluded: frozenset[str] = frozenset(),
        generation: forwarding.Generation | None = None,
    ) -> str | None:
        """Returns the id of the upstream that a request would go to."""
        chosen = self.directory.choose(
            "llm",
            forwarding_builders.make_request(number, generation),
            excluded,
            self.now_ms,
        )
        return None if chosen is None else chosen.upstream.id


def test_an_upstream_is_cold_for_as_long_as_its_entry_states() -> None:
    router = _Router()
    router.read_entry("m-1", 800)
    assert router.cold.find_rate("m-1") == _RATE_PER_S
    router.now_ms += 799
    assert router.cold.list_cold() == ("m-1",)
    router.now_ms += 1
    assert router.cold.find_rate("m-1") == math.inf


# Guards against a start whose entry does not state that it is cold.
def test_a_young_upstream_that_states_nothing_counts_as_cold() -> None:
    router = _Router()
    router.read_entry("m-1", None, age_ms=1_000)
    router.read_entry("m-2", None, age_ms=_COLD_START_MS)
    router.read_entry("m-3", 0, age_ms=1_000)
    assert router.cold.list_cold() == ("m-1",)
    router.now_ms += _COLD_START_MS - 1_000
    assert not router.cold.list_cold()


# Guards against an upstream that turns cold again and keeps its work.
def test_an_upstream_may_turn_cold_again() -> None:
    router = _Router()
    upstream = router.read_entry("m-1", 0)
    router.cold.record_response(upstream, 500)
    assert router.cold.list_cold() == ("m-1",)
    assert [notice.cold_ms for notice in router.notices] == [500]
    router.read_entry("m-1", 0, sequence=2)
    assert not router.cold.list_cold()
    router.read_entry("m-1", 900, sequence=3)
    assert router.cold.list_cold() == ("m-1",)


# Guards against an instance that is back under its id and gets, until its entry
# is read, what a warm one gets; the first entry read may be an old one.
def test_an_upstream_whose_connection_broke_is_cold_until_it_says_more() -> (
    None
):
    router, other = _Router(), _Router()
    upstream = router.read_entry("m-1", 0, sequence=7)
    other.read_entry("m-1", 0, sequence=7)
    router.cold.record_failure(upstream)
    router.cold.record_failure(upstream)
    (notice,) = router.notices
    other.cold.handle_notice("huon-1", notice)
    for subject in (router, other):
        subject.now_ms += 700
        # One read brings several entries after an outage of the log.
        for sequence in (8, 9, 10):
            subject.read_entry("m-1", 0, sequence)
        subject.now_ms += 60_000
        assert subject.cold.list_cold() == ("m-1",)
        subject.read_entry("m-1", 0, sequence=11)
        assert not subject.cold.list_cold()
    other.cold.handle_notice("huon-1", notice)
    assert not other.cold.list_cold()


# Guards against upstreams that are cold when a router starts, and whose entries
# it reads before the configuration.
def test_entries_may_be_read_before_the_configuration() -> None:
    router = _Router(forwarding.Service("llm"))
    router.read_entry("m-1", 900)
    assert not router.cold.list_cold()
    router.cold.set_services([_SERVICE])
    assert router.cold.find_rate("m-1") == _RATE_PER_S
    router.cold.set_services([])
    assert router.cold.find_rate("m-1") == math.inf


# Guards against limits where the configuration names no cold rate.
def test_without_a_cold_rate_nothing_is_cold() -> None:
    router = _Router(forwarding.Service("llm", cold_start_ms=3_000))
    upstream = router.read_entry("m-1", 5_000)
    router.cold.record_failure(upstream)
    assert not router.cold.list_cold()
    assert router.cold.find_rate("m-1") == math.inf
    assert not router.notices


# Guards against work for a cold upstream while warm ones are idle, and against
# requests that wait at warm ones while a cold one could begin at once.
def test_warm_upstreams_go_first_unless_they_are_late() -> None:
    router = _Router()
    router.read_entry("m-1", 2_000)
    warm = router.read_entry("m-2", 0)
    generation = forwarding_builders.make_generation()
    assert {router.choose(number) for number in range(20)} == {"m-2"}
    assert router.choose(generation=generation) == "m-2"
    with router.directory.track_request(
        warm,
        forwarding_builders.make_generation("other", 60_000),
        router.now_ms,
    ):
        assert router.choose(generation=generation) == "m-1"


# Guards against a request that asks for the permits of many cold upstreams in
# turn, a round trip each.
def test_a_request_is_offered_to_few_cold_upstreams() -> None:
    router = _Router()
    for number in range(40):
        router.read_entry(f"m-{number}", 2_000)
    tried: frozenset[str] = frozenset()
    while chosen := router.choose(excluded=tried):
        tried |= {chosen}
    assert len(tried) == 3
    router.read_entry("warm", 0)
    assert router.choose(excluded=tried) == "warm"


# Guards against urgent requests that are refused for others while all upstreams
# of a service are cold at once.
def test_the_urgent_requests_get_the_permits_of_a_cold_service() -> None:
    issuer = permit_issuer.PermitIssuer(is_for_cold=True)
    start = forwarding.UpstreamStart("m-1", 0)
    urgent = others = 0
    for now_ms in range(0, 10_000, 10):
        if now_ms % 200 == 0:
            urgent += not issuer.issue(start, _RATE_PER_S, 0.8, True, now_ms)
        others += not issuer.issue(start, _RATE_PER_S, 0.8, False, now_ms)
    assert urgent >= 45
    assert others >= 5
