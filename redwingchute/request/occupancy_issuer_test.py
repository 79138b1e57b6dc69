"""Tests of permits for requests to brittle upstreams."""

from redwingchute.core import forwarding
from redwingchute.request import occupancy_issuer

_START = forwarding.UpstreamStart("m-1", 5)
_SLOTS = 8
_REJECTIONS_PER_S = 4.0
_SETTLED_MS = 10_000


def _issue(issuer: occupancy_issuer.OccupancyIssuer, now_ms: int) -> bool:
    wait_ms = issuer.issue(_START, _SLOTS, 1.0, _REJECTIONS_PER_S, now_ms)
    return wait_ms == 0


def _issue_all(issuer: occupancy_issuer.OccupancyIssuer, now_ms: int) -> int:
    count = 0
    while _issue(issuer, now_ms):
        count += 1
    return count


def _make_settled() -> occupancy_issuer.OccupancyIssuer:
    """Returns an issuer that has all permits and issued none."""
    issuer = occupancy_issuer.OccupancyIssuer()
    assert _issue(issuer, 0)
    issuer.take_back(_START, False, 0)
    return issuer


def test_no_more_permits_are_open_than_the_upstream_runs() -> None:
    issuer = _make_settled()
    assert _issue_all(issuer, _SETTLED_MS) == _SLOTS
    issuer.take_back(_START, False, _SETTLED_MS + 10)
    assert _issue_all(issuer, _SETTLED_MS + 10) == 1


# Guards against a limiter that starts and fills an upstream a second time.
def test_a_new_limiter_issues_few_permits_at_first() -> None:
    issuer = occupancy_issuer.OccupancyIssuer()
    assert _issue_all(issuer, 0) == _SLOTS / 4
    assert _issue_all(issuer, 500) == _SLOTS / 4


# Guards against retries and further requests that cause the next rejection.
def test_a_rejection_lowers_the_number_of_permits_for_some_time() -> None:
    issuer = _make_settled()
    assert _issue_all(issuer, _SETTLED_MS) == _SLOTS
    issuer.take_back(_START, True, _SETTLED_MS + 10)
    assert not _issue(issuer, _SETTLED_MS + 20)
    for _ in range(_SLOTS - 1):
        issuer.take_back(_START, False, _SETTLED_MS + 30)
    assert _issue_all(issuer, _SETTLED_MS + 30) == _SLOTS - 1


def test_after_several_rejections_nothing_is_sent_for_a_second() -> None:
    issuer = _make_settled()
    assert _issue_all(issuer, _SETTLED_MS) == _SLOTS
    for _ in range(3):
        issuer.take_back(_START, True, _SETTLED_MS + 10)
    for _ in range(_SLOTS - 3):
        issuer.take_back(_START, False, _SETTLED_MS + 20)
    assert not _issue(issuer, _SETTLED_MS + 1_000)
    assert _issue(issuer, _SETTLED_MS + 1_010)


def test_a_permit_whose_return_is_lost_ends() -> None:
    issuer = _make_settled()
    assert _issue_all(issuer, _SETTLED_MS) == _SLOTS
    assert not _issue(issuer, _SETTLED_MS + 11_000)
    assert _issue(issuer, _SETTLED_MS + 12_000)
