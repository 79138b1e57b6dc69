"""Tests of the history of versions over the loss of all processes."""

import attrs
import hypothesis
from hypothesis import strategies

from redwingchute.core import forwarding
from redwingchute.request import route_history
from redwingchute.testing import version_fleet

_STREAM_MS = 10_000
# Entries that are gone sooner are not in use; see keyed_follower.
_SHORTEST_LISTED_MS = 1_000


def _make_fleet(*versions: str) -> version_fleet.VersionFleet:
    """Returns a fleet with an upstream of each version, and fresh marks."""
    fleet = version_fleet.VersionFleet()
    for number, version in enumerate(versions):
        fleet.put(f"m-{number}", version)
    fleet.advance(2 * _STREAM_MS)
    fleet.write_marks()
    return fleet


# Guards against streams that are refused for as long as one may last after the
# loss of all hosts, though the service has had one version throughout.
def test_one_version_is_known_at_once_after_all_hosts_were_lost() -> None:
    fleet = _make_fleet("v1")
    fleet.advance(5_000)
    fleet.put("m-0", "v1")
    fleet.now_ms += 3_000
    fleet.restart()
    assert fleet.list_known("host-0", _STREAM_MS) == {"v1"}
    # Again, before a mark was renewed by the new processes.
    fleet.write_marks()
    fleet.restart()
    assert fleet.list_known("host-1", _STREAM_MS) == {"v1"}
    fleet.close()


# Guards against a version that is taken for one that never was there, since it
# came and left after the last mark, or left just before it.
def test_versions_that_have_just_left_count_after_all_hosts_were_lost() -> None:
    fleet = _make_fleet("v1", "v2")
    fleet.put("m-0", None)
    fleet.advance(2_000)
    fleet.restart()
    assert fleet.list_known("host-0", _STREAM_MS) == {"v1", "v2"}
    fleet.advance(_STREAM_MS + 1_000)
    fleet.write_marks()
    fleet.put("m-3", "v3")
    fleet.advance(1_500)
    fleet.put("m-3", None)
    fleet.advance(1_500)
    fleet.restart()
    assert fleet.list_known("host-0", _STREAM_MS) == {"v2", "v3"}
    fleet.close()


# Guards against a history that is taken from a mark though records since then
# are deleted, or belong to another era of the log.
def test_without_the_records_since_a_mark_no_version_is_known() -> None:
    for is_new_era in (False, True):
        fleet = _make_fleet("v1")
        fleet.put("m-0", "v1")
        if is_new_era:
            fleet.log.topic.era += 1
        else:
            fleet.log.topic.discard_history()
        fleet.restart()
        assert fleet.list_known("host-0", _STREAM_MS) is None
        fleet.write_marks()
        fleet.restart()
        assert fleet.list_known("host-0", _STREAM_MS) is None
        fleet.advance(_STREAM_MS)
        assert fleet.list_known("host-0", _STREAM_MS) == {"v1"}
        fleet.close()


# Guards against a version that came and left while a router could not read the
# log, whose records are deleted when it can.
def test_a_history_begins_anew_where_records_were_missed() -> None:
    fleet = _make_fleet("v1")
    fleet.log.is_unavailable = True
    fleet.advance(2_000)
    fleet.put("m-0", "v2")
    fleet.advance(2_000)
    fleet.put("m-0", "v1")
    fleet.log.topic.discard_history()
    fleet.log.is_unavailable = False
    fleet.advance(500)
    assert fleet.list_known("host-0", _STREAM_MS) is None
    fleet.advance(_STREAM_MS)
    assert fleet.list_known("host-0", _STREAM_MS) == {"v1"}
    fleet.close()


@attrs.define
class _Listed:
    """A time in which an upstream was listed; None for an end in future."""

    upstream_id: str
    version: str
    began_ms: int
    ended_ms: int | None = None


_OPERATIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("put"),
        strategies.integers(0, 2),
        strategies.integers(1, 3),
    ),
    strategies.tuples(
        strategies.just("remove"), strategies.integers(0, 2), strategies.just(0)
    ),
    strategies.tuples(
        strategies.just("advance"),
        strategies.integers(100, 6_000),
        strategies.just(0),
    ),
    strategies.tuples(
        strategies.sampled_from(
            ["away", "back", "mark", "restart", "restart", "forget"]
        ),
        strategies.integers(100, 6_000),
        strategies.just(0),
    ),
)


# Guards against any order of changes, marks, losses of all hosts and deletions
# after which a version is missing from a history that counts as complete.
@hypothesis.settings(max_examples=500, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(_OPERATIONS, max_size=40))
def test_a_complete_history_has_all_versions(
    operations: list[tuple[str, int, int]],
) -> None:
    fleet = version_fleet.VersionFleet(1)
    listed: list[_Listed] = []

    def change(upstream_id: str, version: str | None) -> None:
        """Changes an entry, if it was listed for long enough to be in use."""
        for found in listed:
            if found.upstream_id != upstream_id or found.ended_ms is not None:
                continue
            if fleet.now_ms - found.began_ms < _SHORTEST_LISTED_MS:
                return
            found.ended_ms = fleet.now_ms
        fleet.put(upstream_id, version)
        if version is not None:
            listed.append(_Listed(upstream_id, version, fleet.now_ms))

    for name, number, version in operations:
        match name:
            case "put":
                change(f"m-{number}", f"v{version}")
            case "remove":
                change(f"m-{number}", None)
            case "advance":
                fleet.advance(number)
            case "away":
                fleet.log.is_unavailable = True
            case "back":
                fleet.log.is_unavailable = False
            case "mark":
                fleet.write_marks()
            case "restart":
                fleet.now_ms += number
                fleet.restart()
            case "forget":
                fleet.log.topic.discard_history()
        fleet.advance(1)
        for max_age_ms in (1_000, 5_000, _STREAM_MS):
            known = fleet.list_known("host-0", max_age_ms)
            if known is not None:
                assert known >= {
                    found.version
                    for found in listed
                    if found.ended_ms is None
                    or found.ended_ms >= fleet.now_ms - max_age_ms
                }
    fleet.close()


# Guards against the rest of a stream from the service that a route leads to
# now, where it has just led to another one.
def test_a_route_that_was_moved_leads_to_no_stream_of_before() -> None:
    def make_table(
        version: int, *prefixes_and_services: tuple[str, str]
    ) -> forwarding.RouteTable:
        return forwarding.RouteTable(
            version=version,
            routes=tuple(
                forwarding.Route(
                    name=prefix,
                    host="a.example",
                    path_prefix=prefix,
                    kind=forwarding.RequestKind.STREAMING,
                    services=(forwarding.WeightedService(service, 1.0),),
                    timeout_ms=2_000,
                    target_latency_ms=300,
                )
                for prefix, service in prefixes_and_services
            ),
        )

    history = route_history.RouteHistory()
    first = make_table(1, ("/", "llm"), ("/b/", "other"))
    history.record_table(first, 0)
    assert not history.has_led(first.routes[0], 1_000, 999)
    assert history.has_led(first.routes[0], 1_000, 1_000)
    # Another process continues where this one ended, if nothing has changed.
    later = route_history.RouteHistory()
    later.restore(1, 5_000, 7_000)
    later.record_table(first, 7_000)
    assert later.has_led(first.routes[0], 5_000, 7_000)
    later = route_history.RouteHistory()
    later.record_table(first, 7_000)
    later.restore(2, 5_000, 7_000)
    assert not later.has_led(first.routes[0], 5_000, 7_000)
    # A route that is removed leaves its requests to a shorter one.
    second = make_table(2, ("/", "llm"))
    history.record_table(second, 10_000)
    assert not history.has_led(second.routes[0], 1_000, 10_999)
    assert history.has_led(second.routes[0], 1_000, 11_000)
    third = make_table(3, ("/", "other"))
    history.record_table(third, 20_000)
    assert not history.has_led(third.routes[0], 1_000, 20_999)
    assert not history.has_led(first.routes[1], 0, 30_000)
