"""Tests of load shedding when one zone gets twice the requests it can serve.

A zone that a network partition separates has too few upstreams for its
requests. Without a limit each admitted request delays all later ones, until
none is in time.
"""

from redwingchute.core import outcomes
from redwingchute.request import load_shedding

_TARGET_MS = 800
_PREFILL_MS = 300
_ARRIVAL_INTERVAL_MS = 150


def _simulate(is_shedding: bool) -> tuple[int, int]:
    """Sends twice the load that one upstream can serve.

    Returns:
      The numbers of requests that were in time and that were refused.
    """
    free_ms = 0
    in_time = refused = 0
    for now_ms in range(0, 9_000, _ARRIVAL_INTERVAL_MS):
        delay_ms = max(0, free_ms - now_ms)
        refusal = load_shedding.refuse_if_late(delay_ms, _TARGET_MS, 2)
        if is_shedding and refusal is not None:
            refused += 1
            continue
        free_ms = now_ms + delay_ms + _PREFILL_MS
        in_time += free_ms - now_ms <= 2 * _TARGET_MS
    return in_time, refused


def test_admitted_requests_are_in_time() -> None:
    in_time, refused = _simulate(is_shedding=True)
    assert in_time + refused == 60
    assert in_time > 2 * _simulate(is_shedding=False)[0]


def test_a_refusal_has_a_retry_after() -> None:
    refusal = load_shedding.refuse_if_late(3_000, _TARGET_MS, 1)
    assert isinstance(refusal, outcomes.NotRun)
    assert refusal.status == 503
    assert refusal.retry_after_ms is not None
    assert 1_000 < refusal.retry_after_ms < 3_000


def test_requests_of_lower_priority_are_refused_first() -> None:
    delay_ms = 1.8 * _TARGET_MS
    assert load_shedding.refuse_if_late(delay_ms, _TARGET_MS, 0) is None
    assert load_shedding.refuse_if_late(delay_ms, _TARGET_MS, 1) is not None


def test_no_request_is_refused_without_a_target_latency() -> None:
    assert load_shedding.refuse_if_late(60_000, 0, 2) is None


def _make_caller(
    priority: int, patience_ms: int, name: str = "r"
) -> load_shedding.Caller:
    return load_shedding.Caller(name, priority, 500, 500, patience_ms)


def test_times_to_come_back_are_within_the_time_that_callers_obey() -> None:
    for number in range(50):
        caller = _make_caller(number % 4, 6_000, str(number))
        assert 700 <= load_shedding.deal_return_ms(700, 9_000, caller) < 1_950


def test_the_most_urgent_come_back_first() -> None:
    latest_ms = 0
    for priority in range(3):
        times_ms = [
            load_shedding.deal_return_ms(
                400, 900, _make_caller(priority, 9_000, str(number))
            )
            for number in range(50)
        ]
        assert min(times_ms) >= latest_ms
        assert len(set(times_ms)) > 25
        latest_ms = max(times_ms)


# Guards against a time that is promised only because the caller obeys it.
def test_a_caller_without_enough_time_is_told_the_true_time() -> None:
    assert load_shedding.deal_return_ms(2_500, 0, _make_caller(0, 3_000)) == (
        2_500
    )
