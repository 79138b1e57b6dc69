"""Tests that the checks of two builds fire, and only for what counts."""

import attrs

from redwingchute.soak import callers
from redwingchute.soak import observations
from redwingchute.soak import spend_check
from redwingchute.testing import soak_builders

_STREAM = attrs.evolve(
    soak_builders.make_attempt(),
    kind=observations.Kind.STREAM,
    body="id: 0\n\nid: 1\n\n",
)
_RAN = attrs.evolve(
    soak_builders.make_event(request_id=_STREAM.request_id), event="ran"
)
_SPENT_TOKENS = callers.PROMPT_TOKENS + 2


def _count_found(
    prepaid_tokens: int, *events: observations.UpstreamEvent
) -> int:
    observed = attrs.evolve(
        soak_builders.make_observations(*events), attempts=(_STREAM,)
    )
    return len(list(spend_check.check_spending(observed, prepaid_tokens)))


def test_more_tokens_than_were_prepaid_are_found() -> None:
    assert _count_found(_SPENT_TOKENS - 1, _RAN) == 1
    assert _count_found(_SPENT_TOKENS, _RAN) == 0


def test_requests_that_did_not_run_spend_nothing() -> None:
    assert _count_found(0) == 0


def test_messages_that_were_not_read_are_found() -> None:
    observed = soak_builders.make_observations()
    assert not list(spend_check.check_messages(observed))
    unread = attrs.evolve(observed, unread_messages=1)
    assert len(list(spend_check.check_messages(unread))) == 1
