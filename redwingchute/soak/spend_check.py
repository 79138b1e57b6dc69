"""Checks what upstreams ran against the tokens of a prepaid account."""

from collections.abc import Iterable

from redwingchute.soak import callers
from redwingchute.soak import findings
from redwingchute.soak import observations as observations_lib

_EVENT_END = "\n\n"


def check_spending(
    observations: observations_lib.Observations, prepaid_tokens: int
) -> Iterable[findings.Violation]:
    """Finds more tokens than an account had: prompts that ran, and output.

    Args:
      observations: What was observed; all streams are of one account.
      prepaid_tokens: The tokens of the account.
    """
    ran = {
        event.request_id
        for event in observations.events
        if event.event == "ran"
    }
    spent_tokens = sum(
        callers.PROMPT_TOKENS + attempt.body.count(_EVENT_END)
        for attempt in observations.attempts
        if attempt.kind.is_stream and attempt.request_id in ran
    )
    if spent_tokens > prepaid_tokens:
        message = f"{spent_tokens} of {prepaid_tokens} tokens were spent"
        yield findings.Violation("OVERSPENT", "account", message)


def check_messages(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds messages of other routers that hosts could not read."""
    if observations.unread_messages:
        message = f"{observations.unread_messages} messages were not read"
        yield findings.Violation("UNREAD", "messages", message)
