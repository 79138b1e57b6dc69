"""Checks the observations of a soak against the promises to callers."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import TypeAlias

import attrs

from redwingchute.soak import observations as observations_lib

# Responses with these statuses promise that the request never runs.
_PROMISED_NOT_RUN = frozenset({408, 421, 429, 503})


@attrs.frozen
class Violation:
    """A promise that was broken.

    Attributes:
      rule: The name of the check.
      subject: The id of the request, or the name of the service.
      message: What was observed.
    """

    rule: str
    subject: str
    message: str


_Check: TypeAlias = Callable[
    [observations_lib.Observations], Iterable[Violation]
]


def check_all(
    observations: observations_lib.Observations,
) -> list[Violation]:
    """Returns the violations that all checks find."""
    checks: Sequence[_Check] = (check_refused,)
    return [found for check in checks for found in check(observations)]


def check_refused(
    observations: observations_lib.Observations,
) -> Iterable[Violation]:
    """Finds requests that ran although the caller was promised otherwise.

    Repeatable requests are exempt: running them again does no harm.
    """
    runs = _group_runs(observations)
    for attempt in observations.attempts:
        if attempt.kind.is_repeatable:
            continue
        if attempt.status in _PROMISED_NOT_RUN and runs[attempt.request_id]:
            yield Violation(
                "REFUSED",
                attempt.request_id,
                f"{attempt.kind} answered {attempt.status} by {attempt.host} "
                f"at {attempt.ended_ms}, {_describe(runs[attempt.request_id])}",
            )


def _group_runs(
    observations: observations_lib.Observations,
) -> dict[str, list[observations_lib.UpstreamEvent]]:
    """Returns the runs of each request id."""
    runs = collections.defaultdict(list)
    for event in observations.events:
        if event.event == "ran":
            runs[event.request_id].append(event)
    return runs


def _describe(runs: Iterable[observations_lib.UpstreamEvent]) -> str:
    """Returns a text on the runs of a request."""
    places = [f"{run.upstream} at {run.at_ms}" for run in runs]
    return "ran on " + ", ".join(places)
