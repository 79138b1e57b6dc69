"""Tests that leaving and pausing upstreams get no requests, without a network.

The pattern: upstreams of a service are replaced one after the other, or reject
requests and ask for a pause while many callers return.
"""

import attrs

from redwingchute.core import spread
from redwingchute.request import requested_pauses
from redwingchute.request import upstream_directory
from redwingchute.testing import forwarding_builders

_NOW_MS = 50_000
_DRAIN_MS = 2_000


def _make_directory(*names: str) -> upstream_directory.UpstreamDirectory:
    directory = upstream_directory.UpstreamDirectory(
        "huon", "huon-1", _DRAIN_MS
    )
    for name in names:
        directory.set_upstream(forwarding_builders.make_upstream(name))
    return directory


def _mark_leaving(
    directory: upstream_directory.UpstreamDirectory, name: str, now_ms: int
) -> bool:
    upstream = directory.find(name)
    assert upstream is not None
    return directory.mark_leaving(upstream.start, now_ms)


def _choose(
    directory: upstream_directory.UpstreamDirectory,
    now_ms: int,
    excluded: frozenset[str] = frozenset(),
) -> set[str]:
    """Returns the upstreams that many different requests are sent to."""
    chosen = set()
    for number in range(40):
        request = forwarding_builders.make_request(number, None)
        candidate = directory.choose("llm", request, excluded, now_ms)
        if candidate is not None:
            chosen.add(candidate.upstream.id)
    return chosen


# Guards against new requests at an upstream that stated that it leaves.
def test_a_leaving_upstream_gets_nothing_while_another_can_serve() -> None:
    directory = _make_directory("m-1", "m-2")
    assert _mark_leaving(directory, "m-1", _NOW_MS)
    assert not _mark_leaving(directory, "m-1", _NOW_MS + 1)
    assert _choose(directory, _NOW_MS) == {"m-2"}


# Guards against refusals while the last upstream, which leaves, still serves,
# and against requests to it after its drain time.
def test_the_last_upstream_is_used_until_its_drain_time_is_over() -> None:
    directory = _make_directory("m-1")
    _mark_leaving(directory, "m-1", _NOW_MS)
    last_ms = _NOW_MS + _DRAIN_MS - 1
    assert _choose(directory, last_ms) == {"m-1"}
    assert not _choose(directory, last_ms + 1)
    assert not directory.has_upstream("llm", last_ms + 1)


# Guards against requests to a leaving upstream whose entry, older than what it
# stated, still or again says that it is ready.
def test_an_entry_does_not_end_the_departure_of_the_same_start() -> None:
    directory = _make_directory("m-1", "m-2")
    _mark_leaving(directory, "m-1", _NOW_MS)
    directory.remove("m-1")
    directory.set_upstream(forwarding_builders.make_upstream("m-1"))
    assert _choose(directory, _NOW_MS + 10) == {"m-2"}


# Guards against requests after the drain time to an upstream whose entry was
# missing when it stated that it leaves, and came back.
def test_a_departure_is_recorded_while_the_entry_is_missing() -> None:
    directory = _make_directory("m-1")
    upstream = directory.find("m-1")
    assert upstream is not None
    directory.remove("m-1")
    assert directory.mark_leaving(upstream.start, _NOW_MS)
    directory.set_upstream(upstream)
    assert _choose(directory, _NOW_MS + _DRAIN_MS - 1) == {"m-1"}
    assert not _choose(directory, _NOW_MS + _DRAIN_MS)


# Guards against an upstream that is never used because a response of its
# earlier start was read after its new entry.
def test_a_late_statement_of_an_earlier_start_is_not_of_the_later() -> None:
    directory = _make_directory("m-1")
    earlier = directory.find("m-1")
    assert earlier is not None
    directory.set_upstream(attrs.evolve(earlier, born_ms=7))
    assert directory.mark_leaving(earlier.start, _NOW_MS)
    assert _choose(directory, _NOW_MS + _DRAIN_MS) == {"m-1"}


# Guards against an upstream that started again and is never used.
def test_a_later_start_under_the_same_id_is_another_upstream() -> None:
    directory = _make_directory("m-1", "m-2")
    _mark_leaving(directory, "m-1", _NOW_MS)
    known = directory.find("m-1")
    assert known is not None
    directory.pause(known, 60_000, _NOW_MS)
    directory.set_upstream(attrs.evolve(known, born_ms=7))
    assert _choose(directory, _NOW_MS + 10) == {"m-1", "m-2"}


# Guards against requests to an upstream that asked for a pause.
def test_an_upstream_gets_nothing_until_its_pause_ends() -> None:
    directory = _make_directory("m-1", "m-2")
    upstream = directory.find("m-1")
    assert upstream is not None
    pause_ms = directory.pause(upstream, 2_000, _NOW_MS)
    assert 2_000 <= pause_ms <= 2_500
    # A shorter pause that is asked for later does not end the first one.
    assert directory.pause(upstream, 100, _NOW_MS + 10) == pause_ms - 10
    assert _choose(directory, _NOW_MS + 2_000) == {"m-2"}
    assert _choose(directory, _NOW_MS + pause_ms) == {"m-1", "m-2"}


# Guards against requests that wait or are charged while no upstream is open,
# and against refusals without a time to return.
def test_the_first_pause_to_end_decides_when_callers_may_return() -> None:
    directory = _make_directory("m-1", "m-2")
    delays_ms = []
    for name, retry_after_ms in (("m-1", 3_000), ("m-2", 1_000)):
        upstream = directory.find(name)
        assert upstream is not None
        assert not directory.find_retry_delay_ms("llm", _NOW_MS)
        delays_ms.append(directory.pause(upstream, retry_after_ms, _NOW_MS))
    assert not _choose(directory, _NOW_MS)
    assert directory.find_retry_delay_ms("llm", _NOW_MS) == min(delays_ms)


def test_a_pause_of_zero_is_none_and_a_very_long_one_is_cut() -> None:
    pauses = requested_pauses.RequestedPauses("huon-1")
    upstream = forwarding_builders.make_upstream("m-1")
    assert pauses.record(upstream, 0, _NOW_MS) == 0
    assert not pauses.is_paused(upstream, _NOW_MS)
    year_ms = 365 * 24 * 3_600_000
    assert pauses.record(upstream, year_ms, _NOW_MS) < 700_000


# Guards against hosts that all resume at the same moment and overrun an
# upstream.
def test_hosts_resume_at_different_times() -> None:
    delays_ms = sorted(
        spread.spread_delay_ms(2_000, f"host-{number}") for number in range(100)
    )
    assert delays_ms[0] >= 2_000
    assert delays_ms[-1] < 2_500
    assert delays_ms[75] - delays_ms[25] > 100
