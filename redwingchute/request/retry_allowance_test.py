"""Tests of the limit on retries."""

from redwingchute.request import retry_allowance


def test_retries_stay_below_the_ratio_of_requests() -> None:
    allowance = retry_allowance.RetryAllowance(0.2, lambda _: 0.0, 10_000)
    for _ in range(100):
        allowance.record_request(1_000)
    granted = sum(allowance.acquire_retry(1_000) for _ in range(100))
    assert granted == 10


def test_the_window_slides() -> None:
    allowance = retry_allowance.RetryAllowance(0.0, lambda _: 10.0, 10_000)
    assert sum(allowance.acquire_retry(0) for _ in range(20)) == 8
    assert not allowance.acquire_retry(11_999)
    assert allowance.acquire_retry(12_001)


def test_a_smaller_share_of_the_slack_allows_fewer_retries() -> None:
    shares = {0: 10.0, 1: 2.5}
    allowance = retry_allowance.RetryAllowance(
        0.0, lambda now_ms: shares[now_ms], 10_000
    )
    assert allowance.acquire_retry(0)
    assert sum(allowance.acquire_retry(1) for _ in range(20)) == 1


def test_the_state_shows_how_far_an_allowance_is_used() -> None:
    allowance = retry_allowance.RetryAllowance(0.0, lambda _: 10.0, 10_000)
    for _ in range(20):
        allowance.acquire_retry(0)
    assert allowance.find_state(0) == retry_allowance.RetryState(8, 8.0)
    assert allowance.find_state(12_001).used == 0


def test_requests_leave_the_window_before_retries_do() -> None:
    allowance = retry_allowance.RetryAllowance(0.2, lambda _: 0.0, 10_000)
    for _ in range(100):
        allowance.record_request(0)
    assert allowance.find_state(7_999).limit == 10.0
    assert allowance.find_state(8_001).limit == 0.0
