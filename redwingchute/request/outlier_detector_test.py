"""Tests of the ejection and backoff of failing upstreams."""

import pytest

from redwingchute.request import outlier_detector

_NAMES = tuple(f"runner-{number}" for number in range(1, 7))


def _fail(
    detector: outlier_detector.OutlierDetector, name: str, count: int
) -> bool:
    results = [detector.record_failure(name, 0) for _ in range(count)]
    return any(results)


@pytest.mark.parametrize(
    ("failures", "is_ejected"), [(1, False), (2, False), (3, True)]
)
def test_repeated_failures_eject_an_upstream(
    failures: int, is_ejected: bool
) -> None:
    detector = outlier_detector.OutlierDetector(_NAMES)
    assert _fail(detector, "runner-1", failures) is is_ejected
    assert (detector.find_available_ms("runner-1") > 0) is is_ejected


def test_success_between_failures_prevents_ejection() -> None:
    detector = outlier_detector.OutlierDetector(_NAMES)
    for _ in range(5):
        assert not _fail(detector, "runner-1", 2)
        detector.record_success("runner-1")


@pytest.mark.parametrize(("pool_size", "expected"), [(1, 0), (2, 1), (6, 2)])
def test_ejected_share_is_limited(pool_size: int, expected: int) -> None:
    names = _NAMES[:pool_size]
    detector = outlier_detector.OutlierDetector(names)
    for name in names:
        _fail(detector, name, 10)
    assert detector.count_ejected(0) == expected


def test_ejections_double_and_decay_with_successes() -> None:
    detector = outlier_detector.OutlierDetector(_NAMES)
    _fail(detector, "runner-1", 3)
    first_ms = detector.find_available_ms("runner-1")
    _fail(detector, "runner-1", 3)
    assert detector.find_available_ms("runner-1") == 2 * first_ms
    for _ in range(4):
        detector.record_success("runner-1")
    _fail(detector, "runner-1", 3)
    assert detector.find_available_ms("runner-1") == first_ms


def test_a_refused_connection_makes_an_upstream_unavailable() -> None:
    detector = outlier_detector.OutlierDetector(_NAMES)
    for name in _NAMES:
        detector.mark_unreachable(name, 1_000)
        assert detector.find_available_ms(name) > 1_000
    for _ in range(20):
        detector.mark_unreachable("runner-1", 1_000)
    assert detector.find_available_ms("runner-1") <= 5_000
    detector.mark_reachable("runner-1")
    assert detector.find_available_ms("runner-1") == 0
