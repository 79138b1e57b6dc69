"""Tests that each check of the soak finds what it is meant to find."""

import pytest

from redwingchute.soak import checks
from redwingchute.soak import observations
from redwingchute.testing import soak_builders

_KINDS = observations.Kind
_OUTCOMES = observations.Outcome
_UNREPEATABLE = (_KINDS.NON_IDEMPOTENT, _KINDS.STREAM)


def _find_rules(found: observations.Observations) -> list[str]:
    return [violation.rule for violation in checks.check_all(found)]


def _make_retries(
    count: int, requests: int, gap_ms: int = 10
) -> observations.Observations:
    """Returns requests, of which each of the first ones is sent twice."""
    ids = [f"{number:06x}-0" for number in range(requests)]
    attempts = [
        soak_builders.make_attempt(_KINDS.IDEMPOTENT, request_id)
        for request_id in ids
    ]
    events = [
        soak_builders.make_event(
            "arrived", request_id, at_ms=soak_builders.SENT_MS + gap_ms * index
        )
        for request_id in ids[:count]
        for index in (0, 1)
    ]
    return soak_builders.make_observations(*attempts, *events)


@pytest.mark.parametrize("kind", list(_KINDS))
def test_a_valid_response_breaks_no_promise(kind: observations.Kind) -> None:
    found = soak_builders.make_observations(
        soak_builders.make_attempt(kind),
        soak_builders.make_event("arrived"),
        soak_builders.make_event(),
    )
    assert _find_rules(found) == []


@pytest.mark.parametrize("kind", _UNREPEATABLE)
@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_run_after_a_promise_is_found(
    kind: observations.Kind, status: int
) -> None:
    found = soak_builders.make_observations(
        soak_builders.make_attempt(kind, status=status),
        soak_builders.make_event(),
    )
    assert _find_rules(found) == ["REFUSED"]


@pytest.mark.parametrize(
    ("kind", "status"),
    [(_KINDS.NON_IDEMPOTENT, 502), (_KINDS.IDEMPOTENT, 503)],
)
def test_a_run_without_a_promise_is_allowed(
    kind: observations.Kind, status: int
) -> None:
    found = soak_builders.make_observations(
        soak_builders.make_attempt(kind, status=status),
        soak_builders.make_event(),
    )
    assert _find_rules(found) == []


@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        (_KINDS.NON_IDEMPOTENT, ["TWICE"]),
        (_KINDS.STREAM, ["TWICE"]),
        (_KINDS.IDEMPOTENT, []),
        (_KINDS.RESUMABLE_STREAM, []),
    ],
)
def test_a_second_run_is_found_unless_it_is_allowed(
    kind: observations.Kind, expected: list[str]
) -> None:
    found = soak_builders.make_observations(
        soak_builders.make_attempt(kind),
        soak_builders.make_event(),
        soak_builders.make_event(upstream="ledger-2-1"),
    )
    assert _find_rules(found) == expected


def test_a_run_that_no_caller_asked_for_is_found() -> None:
    found = soak_builders.make_observations(
        soak_builders.make_attempt(),
        soak_builders.make_event(request_id="another"),
    )
    assert _find_rules(found) == ["UNASKED"]


# With 20 requests, 0.2 x 20 + 3 retries are allowed.
@pytest.mark.parametrize(("count", "expected"), [(7, []), (8, ["BUDGET"])])
def test_retries_over_the_limit_are_found(
    count: int, expected: list[str]
) -> None:
    assert _find_rules(_make_retries(count, requests=20)) == expected


@pytest.mark.parametrize(
    ("gap_ms", "expected"),
    # One more retry than the slack: some request must count for the window.
    [(10_000, []), (10_001, ["BUDGET"])],
)
def test_retries_are_compared_with_the_requests_before_them(
    gap_ms: int, expected: list[str]
) -> None:
    found = _make_retries(4, requests=20, gap_ms=gap_ms)
    assert _find_rules(found) == expected


def test_retries_in_windows_apart_are_not_added_up() -> None:
    attempt = soak_builders.make_attempt(_KINDS.IDEMPOTENT)
    events = [
        soak_builders.make_event("arrived", at_ms=at_ms)
        for at_ms in (100_000, 100_001, 100_002, 100_003, 110_001, 110_002)
    ]
    # Each window has three of the five retries, as many as are allowed.
    found = soak_builders.make_observations(attempt, *events)
    assert _find_rules(found) == []
    late = soak_builders.make_event("arrived", at_ms=110_000)
    found = soak_builders.make_observations(attempt, *events[:4], late)
    assert _find_rules(found) == ["BUDGET"]


@pytest.mark.parametrize(("count", "expected"), [(3, 0), (4, 4)])
def test_runs_on_too_many_upstreams_are_found(
    count: int, expected: int
) -> None:
    ids = [f"{number:06x}-0" for number in range(count)]
    found = soak_builders.make_observations(
        *(soak_builders.make_attempt(_KINDS.IDEMPOTENT, i) for i in ids),
        *(
            soak_builders.make_event(request_id=request_id, upstream=upstream)
            for request_id in ids
            for upstream in ("a", "b", "c", "d")
        ),
    )
    assert _find_rules(found) == ["BUDGET"] * expected


@pytest.mark.parametrize(
    "attempt",
    [
        soak_builders.make_attempt(response_id="000002-0"),
        soak_builders.make_attempt(response_id="000002-0", status=503),
        soak_builders.make_attempt(response_id=None),
        soak_builders.make_attempt(is_signed=False),
        soak_builders.make_attempt(body="ran /post/000002-0"),
        soak_builders.make_attempt(body="ran /post/0000"),
        soak_builders.make_attempt(body="ran /x", outcome=_OUTCOMES.CLOSED),
    ],
)
def test_a_response_of_another_request_is_found(
    attempt: observations.CallerAttempt,
) -> None:
    found = soak_builders.make_observations(attempt)
    assert _find_rules(found) == ["MIXED"]


@pytest.mark.parametrize("kind", [_KINDS.STREAM, _KINDS.RESUMABLE_STREAM])
@pytest.mark.parametrize(
    ("body", "outcome"),
    [
        (soak_builders.make_stream(range(3)), _OUTCOMES.ANSWERED),
        (soak_builders.make_stream(range(1, 4)), _OUTCOMES.ANSWERED),
        (soak_builders.make_stream(range(5)), _OUTCOMES.ANSWERED),
        (soak_builders.make_stream(request_id="another"), _OUTCOMES.ANSWERED),
        (
            soak_builders.make_stream(range(2))
            + soak_builders.make_stream(range(3, 4)),
            _OUTCOMES.CLOSED,
        ),
        (soak_builders.make_stream(range(2)) * 2, _OUTCOMES.GAVE_UP),
    ],
)
def test_a_wrong_stream_is_found(
    kind: observations.Kind, body: str, outcome: observations.Outcome
) -> None:
    found = soak_builders.make_observations(
        soak_builders.make_attempt(kind, body=body, outcome=outcome)
    )
    assert _find_rules(found) == ["ORDER"]


def test_a_broken_stream_may_end_anywhere() -> None:
    body = soak_builders.make_stream()[:-7]
    found = soak_builders.make_observations(
        soak_builders.make_attempt(
            _KINDS.STREAM, body=body, outcome=_OUTCOMES.CLOSED
        )
    )
    assert _find_rules(found) == []


@pytest.mark.parametrize(
    ("name", "target", "from_ms", "expected"),
    [
        ("SIGSTOP", "host-1", soak_builders.SENT_MS + 1_000, []),
        ("SIGTERM", "host-1", soak_builders.SENT_MS + 1_000, ["UNANSWERED"]),
        ("SIGSTOP", "host-1", soak_builders.SENT_MS + 9_000, ["UNANSWERED"]),
        ("SIGSTOP", "host-2", soak_builders.SENT_MS + 1_000, ["UNANSWERED"]),
    ],
)
def test_a_caller_left_waiting_is_found_unless_its_host_was_paused(
    name: str, target: str, from_ms: int, expected: list[str]
) -> None:
    found = soak_builders.make_observations(
        soak_builders.make_attempt(
            outcome=_OUTCOMES.UNANSWERED,
            ended_ms=soak_builders.SENT_MS + 3_000,
            status=0,
            response_id=None,
        ),
        observations.AppliedFault(from_ms, from_ms + 500, target, name),
    )
    assert _find_rules(found) == expected


def _make_lost(
    count: int, *faults: tuple[str, str]
) -> observations.Observations:
    """Returns requests without responses during faults (target, name)."""
    ids = [f"{number:06x}-0" for number in range(count)]
    return soak_builders.make_observations(
        *(
            soak_builders.make_attempt(
                request_id=request_id,
                outcome=_OUTCOMES.CLOSED,
                status=0,
                response_id=None,
            )
            for request_id in ids
        ),
        *(
            soak_builders.make_event("arrived", request_id)
            for request_id in ids
        ),
        *(
            observations.AppliedFault(
                soak_builders.SENT_MS, soak_builders.SENT_MS + 900, *fault
            )
            for fault in faults
        ),
    )


@pytest.mark.parametrize(
    ("count", "faults", "expected"),
    [
        (3, (), 0),
        (4, (), 4),
        (1, (("host-1", "SIGTERM"),), 1),
        (4, (("host-1", "SIGTERM"), ("host-1", "SIGSTOP")), 0),
        (4, (("host-1", "SIGKILL"),), 0),
        (4, (("host-2", "SIGKILL"), ("store", "SIGSTOP")), 4),
        (4, (("ledger-1", observations.PATCH),), 0),
        (4, (("ledger-2", "SIGKILL"),), 4),
    ],
)
def test_lost_requests_are_found_unless_a_fault_excuses_them(
    count: int, faults: tuple[tuple[str, str], ...], expected: int
) -> None:
    found = _make_lost(count, *faults)
    assert _find_rules(found) == ["LOST"] * expected


@pytest.mark.parametrize(
    ("sent_ms", "served", "expected"),
    [(12_000, 4, []), (12_000, 3, ["RECOVER"]), (11_999, 0, [])],
)
def test_a_fleet_that_does_not_recover_is_found(
    sent_ms: int, served: int, expected: list[str]
) -> None:
    attempts = [
        soak_builders.make_attempt(
            request_id=f"{number:06x}-0",
            sent_ms=soak_builders.SENT_MS + sent_ms,
            status=200 if number < served else 503,
        )
        for number in range(16)
    ]
    fault = observations.AppliedFault(
        0, soak_builders.SENT_MS, "store", "SIGSTOP"
    )
    found = soak_builders.make_observations(fault, *attempts)
    assert _find_rules(found) == expected


def test_a_process_that_ended_by_itself_is_found() -> None:
    found = soak_builders.make_observations(unexpected_ends=("host-1",))
    assert _find_rules(found) == ["ENDED"]


def test_a_process_that_uses_more_than_its_host_has_is_found() -> None:
    limit = observations.Usage("", 128, 1_638)
    sound = observations.Usage("host-1", 127.0, 1_638)
    found = checks.check_usage(
        soak_builders.make_observations(
            usages=(
                sound,
                observations.Usage("host-2", 129.0, 100),
                observations.Usage("host-3", 60.0, 1_639),
            ),
            usage_limit=limit,
        )
    )
    assert [violation.subject for violation in found] == ["host-2", "host-3"]
