"""Tests of what a router knows of the limits of upstreams."""

from redwingchute.core import forwarding
from redwingchute.core import rate_limiting
from redwingchute.request import upstream_limits
from redwingchute.testing import forwarding_builders

_START = forwarding.UpstreamStart("l-1", 1)


# Guards against an answer to an older request that ends or changes a limit.
def test_answers_to_requests_sent_before_a_change_say_nothing_new() -> None:
    limits = upstream_limits.UpstreamLimits()
    one, two = rate_limiting.RateLimit(1.0), rate_limiting.RateLimit(2.0)
    assert limits.record_response(_START, one, 0, False)
    for named in (rate_limiting.NoLimit(), two):
        assert not limits.record_response(_START, named, 0, False)
    assert limits.find(_START) == rate_limiting.KnownLimit(1, 1.0)
    assert limits.record_response(_START, two, 1, False)
    assert limits.record_response(_START, rate_limiting.NoLimit(), 2, False)
    assert not limits.record_response(_START, two, 2, False)
    assert not limits.find(_START).is_limited


# Guards against rejections and unreadable values that end a limit.
def test_only_an_answer_without_a_limit_ends_it() -> None:
    limits = upstream_limits.UpstreamLimits()
    limits.record_response(_START, rate_limiting.RateLimit(1.0), 0, True)
    none, unreadable = (
        rate_limiting.NoLimit(),
        rate_limiting.UnreadableLimit("x"),
    )
    assert not limits.record_response(_START, none, 1, True)
    assert not limits.record_response(_START, unreadable, 1, False)
    assert limits.find(_START).requests_per_s == 1.0
    assert limits.record_unreadable(_START)
    assert not limits.record_unreadable(_START)


# Guards against a limit of an earlier start that binds a later one.
def test_a_new_start_begins_without_a_limit() -> None:
    limits = upstream_limits.UpstreamLimits()
    limits.record_response(_START, rate_limiting.RateLimit(0.0), 0, False)
    later = forwarding.UpstreamStart("l-1", 2)
    assert limits.find(later) == rate_limiting.KnownLimit()


# Guards against routers that never agree after they saw different changes.
def test_the_newer_and_then_the_stricter_limit_is_merged() -> None:
    limits = upstream_limits.UpstreamLimits()
    make = rate_limiting.KnownLimit
    assert limits.merge(_START, make(2))
    assert not limits.merge(_START, make(1, 1.0))
    assert limits.merge(_START, make(2, 3.0))
    assert limits.merge(_START, make(2, 2.0))
    assert not limits.merge(_START, make(2, 3.0))
    assert not limits.merge(_START, make(2))
    assert limits.merge(_START, make(3))


def _record_brittle(
    limits: upstream_limits.UpstreamLimits,
    upstream: forwarding.Upstream,
    named: rate_limiting.NamedLimit,
    now_ms: int,
) -> None:
    limits.record_response(
        upstream.start,
        rate_limiting.NoLimit(),
        limits.find(upstream.start).revision,
        False,
        named,
    )
    limits.record_brittle_service(
        upstream.service, limits.find(upstream.start), now_ms
    )


# Guards against upstreams that fail again as soon as they are back.
def test_a_new_start_counts_as_brittle_if_its_service_is() -> None:
    limits = upstream_limits.UpstreamLimits()
    first = forwarding_builders.make_upstream("m-1")
    later = forwarding_builders.make_upstream("m-2")
    assert not limits.find_for(later, 0).is_limited
    _record_brittle(limits, first, rate_limiting.RateLimit(3.0), 0)
    assert limits.find_for(later, 5_000).rejections_per_s == 3.0
    assert not limits.find_for(later, 60_000).is_limited


def test_brittleness_ends_with_a_response_that_names_none() -> None:
    limits = upstream_limits.UpstreamLimits()
    upstream = forwarding_builders.make_upstream("m-1")
    _record_brittle(limits, upstream, rate_limiting.RateLimit(3.0), 0)
    unreadable = rate_limiting.UnreadableLimit("many")
    _record_brittle(limits, upstream, unreadable, 10)
    assert limits.find_for(upstream, 20).is_brittle
    _record_brittle(limits, upstream, rate_limiting.NoLimit(), 30)
    assert not limits.find_for(upstream, 40).is_limited


def test_a_rate_and_brittleness_are_known_beside_each_other() -> None:
    limits = upstream_limits.UpstreamLimits()
    start = forwarding_builders.make_upstream("m-1").start
    assert limits.record_response(
        start,
        rate_limiting.RateLimit(2.0),
        0,
        False,
        rate_limiting.RateLimit(5.0),
    )
    assert limits.find(start) == rate_limiting.KnownLimit(1, 2.0, 5.0)
    assert not limits.merge(start, rate_limiting.KnownLimit(1, 2.0))
    assert limits.merge(start, rate_limiting.KnownLimit(2, 2.0))
    assert not limits.find(start).is_brittle
