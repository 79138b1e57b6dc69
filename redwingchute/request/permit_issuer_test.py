"""Tests of the permits that one router issues."""

from redwingchute.core import forwarding
from redwingchute.request import permit_issuer

_START = forwarding.UpstreamStart("l-1", 1)


def _issue(
    issuer: permit_issuer.PermitIssuer,
    now_ms: int,
    is_urgent: bool = True,
    requests_per_s: float = 1.0,
) -> int:
    return issuer.issue(_START, requests_per_s, 1.0, is_urgent, now_ms)


# Guards against a limit of 0 whose end nobody would ever hear of.
def test_a_limit_of_zero_still_permits_a_request_now_and_then() -> None:
    issuer = permit_issuer.PermitIssuer()
    permitted = [
        second
        for second in range(120)
        if not _issue(issuer, 1_000 * second, requests_per_s=0.0)
    ]
    assert 5 <= len(permitted) <= 12


# Guards against a wait after which the caller is refused again.
def test_a_permit_is_issued_after_the_stated_wait() -> None:
    for is_urgent in (False, True):
        issuer = permit_issuer.PermitIssuer()
        now_ms = 0
        for _ in range(20):
            wait_ms = _issue(issuer, now_ms, is_urgent, 0.7)
            assert wait_ms
            now_ms += wait_ms
            assert _issue(issuer, now_ms, is_urgent, 0.7) == 0


# Guards against urgent requests that find all permits used by others.
def test_a_permit_is_kept_for_urgent_requests() -> None:
    issuer = permit_issuer.PermitIssuer()
    _issue(issuer, 0)
    others = sum(
        not _issue(issuer, now_ms, is_urgent=False)
        for now_ms in range(0, 10_000, 10)
    )
    assert others >= 8
    assert _issue(issuer, 10_000, is_urgent=True) == 0


# Guards against permits that are lost with connections that failed.
def test_a_permit_that_is_given_back_is_issued_again() -> None:
    issuer = permit_issuer.PermitIssuer()
    _issue(issuer, 0)
    assert _issue(issuer, 1_000) == 0
    assert _issue(issuer, 1_001) > 0
    issuer.take_back(_START)
    assert _issue(issuer, 1_002) == 0
