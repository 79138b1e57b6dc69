"""Tests of who gives way when what is held for clients reaches its limit."""

import attrs

from redwingchute.connection import resource_quota

_MIB = 1024 * 1024
_LIMITS = resource_quota.QuotaLimits(connections=4, request_bytes=8 * _MIB)
_RECEIVING = resource_quota.Activity.RECEIVING
_RUNNING = resource_quota.Activity.RUNNING


@attrs.define
class _Clock:
    """A clock that a test sets."""

    now_s: float = 0.0


class _Fixture:
    """A quota with a manual clock."""

    def __init__(self) -> None:
        """Creates a quota of which nothing is used."""
        self.clock = _Clock()
        self.reports: list[str] = []
        self.quota = resource_quota.ResourceQuota(
            _LIMITS,
            lambda resource, limit: self.reports.append(resource),
            lambda: self.clock.now_s,
        )

    def connect(
        self,
        activity: resource_quota.Activity,
        size_bytes: int = 0,
        account: str = "",
    ) -> resource_quota.ConnectionHold:
        """Returns a connection with an activity and room for a request."""
        hold = self.quota.connect()
        assert hold is not None
        hold.set_activity(activity)
        self.quota.set_account(hold, account)
        assert hold.try_reserve(size_bytes)
        return hold


def test_room_is_free_again_once_a_connection_ends() -> None:
    fixture = _Fixture()
    with (
        fixture.connect(_RECEIVING, 5 * _MIB),
        fixture.connect(_RECEIVING) as other,
    ):
        assert not other.try_reserve(2 * _MIB)
    assert fixture.quota.request_bytes == 0
    assert fixture.quota.connection_count == 0
    fixture.connect(_RECEIVING, 6 * _MIB)


# A client that stops short of the end of its body kept all others out.
def test_a_request_that_has_stopped_gives_way() -> None:
    fixture = _Fixture()
    stopped = fixture.connect(_RECEIVING, 5 * _MIB)
    newcomer = fixture.connect(_RECEIVING)
    assert not newcomer.try_reserve(2 * _MIB)
    fixture.clock.now_s = 1.0
    assert newcomer.try_reserve(2 * _MIB)
    assert stopped.is_evicted and not stopped.try_reserve(6 * _MIB)
    assert fixture.quota.request_bytes == 2 * _MIB


def test_a_request_that_goes_on_or_runs_does_not_give_way() -> None:
    fixture = _Fixture()
    going_on = fixture.connect(_RECEIVING, 3 * _MIB)
    running = fixture.connect(_RUNNING, 3 * _MIB)
    newcomer = fixture.connect(_RECEIVING)
    fixture.clock.now_s = 1.0
    going_on.record_progress(_MIB)
    assert not newcomer.try_reserve(2 * _MIB)
    assert not going_on.is_evicted and not running.is_evicted
    assert fixture.quota.counts == {"request_refused": 1}


# Small requests waited for large ones.
def test_large_requests_leave_room_for_small_ones() -> None:
    fixture = _Fixture()
    fixture.connect(_RUNNING, 6 * _MIB)
    newcomer = fixture.connect(_RECEIVING)
    assert not newcomer.try_reserve(_MIB)
    assert newcomer.try_reserve(resource_quota.SMALL_REQUEST_BYTES)


# One account's crowd took the room of all.
def test_an_account_with_most_of_the_room_gives_way_to_others() -> None:
    fixture = _Fixture()
    greedy = fixture.connect(_RECEIVING, 5 * _MIB, "greedy")
    same = fixture.connect(_RECEIVING, 0, "greedy")
    other = fixture.connect(_RECEIVING, 0, "other")
    assert not same.try_reserve(2 * _MIB)
    assert other.try_reserve(2 * _MIB)
    assert greedy.is_evicted


def test_connections_give_way_by_what_they_do() -> None:
    fixture = _Fixture()
    unread = fixture.connect(resource_quota.Activity.UNREAD)
    receiving = fixture.connect(_RECEIVING)
    running = fixture.connect(_RUNNING)
    idle = fixture.connect(resource_quota.Activity.IDLE)
    for expected in (idle, receiving):
        fixture.connect(_RUNNING)
        assert expected.is_evicted
    assert fixture.quota.connect() is None
    fixture.clock.now_s = 1.0
    fixture.connect(_RUNNING)
    assert unread.is_evicted
    assert fixture.quota.connect() is None
    assert not running.is_evicted
    assert fixture.quota.counts["connection_refused"] == 2
    assert fixture.reports == ["connections"]


def test_a_connection_that_gives_way_ends_its_wait() -> None:
    fixture = _Fixture()
    ended = []
    hold = fixture.connect(resource_quota.Activity.IDLE)
    hold.handle_eviction = lambda: ended.append(hold)
    for _ in range(_LIMITS.connections):
        fixture.connect(_RUNNING)
    assert ended == [hold]


def test_the_response_that_is_unread_for_longest_gives_way() -> None:
    fixture = _Fixture()
    first = fixture.connect(resource_quota.Activity.UNREAD)
    fixture.clock.now_s = 0.4
    assert not fixture.quota.evict_unread()
    second = fixture.connect(resource_quota.Activity.UNREAD)
    fixture.clock.now_s = 0.6
    assert fixture.quota.evict_unread()
    assert first.is_evicted and not second.is_evicted
    assert not fixture.quota.evict_unread()
