"""Tests of the type states of a request."""

import dataclasses

import pytest

from redwingchute.core import outcomes
from redwingchute.request import attempt

_NOT_RUN = outcomes.NotRun(503, "pool_down", "No runner is available.")
_FAILED = outcomes.Failed(502, "upstream_failed", "The runner failed.")
_UNKNOWN = outcomes.OutcomeUnknown(504, "no_answer", "No answer came.")


def test_sent_request_cannot_be_answered_as_not_run() -> None:
    unsent = attempt.Unsent()
    sent = unsent.begin_sending("a-1")
    # If `Sent` gets this method, mypy reports the comment as unused.
    with pytest.raises(AttributeError):
        sent.refuse(_NOT_RUN)  # type: ignore[attr-defined]
    with pytest.raises(attempt.ConsumedError):
        unsent.refuse(_NOT_RUN)
    with pytest.raises(TypeError):
        attempt.NotRunAnswer(_NOT_RUN)  # type: ignore[call-arg]
    with pytest.raises(attempt.ConsumedError):
        attempt.NotRunAnswer(_NOT_RUN, sent)  # type: ignore[arg-type]
    with pytest.raises(attempt.ConsumedError):
        attempt.Sent("a-2", 1, unsent)  # type: ignore[arg-type]
    assert sent.fail(_FAILED).refusal is _FAILED


def test_not_run_answer_cannot_be_copied_with_another_refusal() -> None:
    answer = attempt.Unsent().refuse(_NOT_RUN)
    with pytest.raises((TypeError, ValueError)):
        dataclasses.replace(answer, refusal=_NOT_RUN)  # type: ignore[call-arg]


def test_each_state_can_be_left_only_once() -> None:
    unsent = attempt.Unsent()
    assert unsent.refuse(_NOT_RUN).refusal is _NOT_RUN
    with pytest.raises(attempt.ConsumedError):
        unsent.begin_sending("a-1")
    first = attempt.Unsent().begin_sending("a-1")
    second = first.begin_another("a-2")
    with pytest.raises(attempt.ConsumedError):
        first.fail(_FAILED)
    assert second.attempts == 2
    second.lose(_UNKNOWN)
    with pytest.raises(attempt.ConsumedError):
        second.begin_another("a-3")


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ({"x-attempt-id": "a-1"}, True),
        ({"x-attempt-id": "a-2"}, False),
        ({"x-attempt-id": ""}, False),
        ({}, False),
    ],
)
def test_response_must_echo_the_attempt_id(
    headers: dict[str, str], expected: bool
) -> None:
    sent = attempt.Unsent().begin_sending("a-1")
    assert sent.matches(headers) is expected


def test_attempt_ids_are_unique() -> None:
    ids = attempt.AttemptIds(7)
    restarted = attempt.AttemptIds(8)
    made = [ids.make_id() for _ in range(3)]
    made += [restarted.make_id() for _ in range(3)]
    assert len(set(made)) == 6
