"""Tests of the type states of a request."""

import dataclasses

import pytest

from redwingchute.core import outcomes
from redwingchute.request import request_state

_NOT_RUN = outcomes.NotRun(503, "pool_down", "No runner is available.")
_FAILED = outcomes.Failed(502, "upstream_failed", "The runner failed.")
_UNKNOWN = outcomes.OutcomeUnknown(504, "no_answer", "No answer came.")


def test_sent_request_cannot_be_refused_as_not_run() -> None:
    unsent = request_state.Unsent()
    sent = unsent.begin_sending("a-1")
    # If `Sent` gets this method, mypy reports the comment as unused.
    with pytest.raises(AttributeError):
        sent.refuse(_NOT_RUN)  # type: ignore[attr-defined]
    with pytest.raises(request_state.ConsumedError):
        unsent.refuse(_NOT_RUN)
    with pytest.raises(TypeError):
        request_state.NotRunRefusal(_NOT_RUN)  # type: ignore[call-arg]
    with pytest.raises(request_state.ConsumedError):
        request_state.NotRunRefusal(_NOT_RUN, sent)  # type: ignore[arg-type]
    with pytest.raises(request_state.ConsumedError):
        request_state.Sent("a-2", 1, unsent)  # type: ignore[arg-type]
    assert sent.fail(_FAILED).refusal is _FAILED


def test_not_run_refusal_cannot_be_copied_with_another_refusal() -> None:
    not_run = request_state.Unsent().refuse(_NOT_RUN)
    with pytest.raises((TypeError, ValueError)):
        dataclasses.replace(not_run, refusal=_NOT_RUN)  # type: ignore[call-arg]


def test_each_state_can_be_left_only_once() -> None:
    unsent = request_state.Unsent()
    assert unsent.refuse(_NOT_RUN).refusal is _NOT_RUN
    with pytest.raises(request_state.ConsumedError):
        unsent.begin_sending("a-1")
    first = request_state.Unsent().begin_sending("a-1")
    second = first.begin_next_attempt("a-2")
    with pytest.raises(request_state.ConsumedError):
        first.fail(_FAILED)
    assert second.attempts == 2
    second.end_with_unknown_outcome(_UNKNOWN)
    with pytest.raises(request_state.ConsumedError):
        second.begin_next_attempt("a-3")


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
    sent = request_state.Unsent().begin_sending("a-1")
    assert sent.matches(headers) is expected


def test_attempt_ids_are_unique() -> None:
    ids = request_state.AttemptIds(7)
    restarted = request_state.AttemptIds(8)
    made = [ids.make_id() for _ in range(3)]
    made += [restarted.make_id() for _ in range(3)]
    assert len(set(made)) == 6
