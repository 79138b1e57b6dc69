"""Checks the limits that upstreams named during a soak."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import signal

from redwingchute.soak import findings
from redwingchute.soak import observations as observations_lib

_WINDOW_MS = 4_000
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5
# How long an upstream must have named a limit, and a host must have been sound.
_CONTACT_MS = 3_000
# How long ago a host must have passed on an answer that names the limit.
_TOLD_MS = 500


def check_limits(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds upstreams that got more requests than the limit that they named.

    Requests of hosts count that had passed on an answer which names the limit
    and that were neither ended nor paused since.
    """
    attempts = {
        attempt.request_id: attempt for attempt in observations.attempts
    }
    faults = collections.defaultdict(list)
    for fault in observations.faults:
        if fault.name != observations_lib.PATCH:
            faults[fault.target].append(fault)
    for events in _list_spans(observations.events):
        upstream = events[0].upstream
        counted_ms = _list_counted_ms(events, attempts, faults)
        allowed = _find_allowed(float(events[0].named_limit))
        for first_ms in counted_ms:
            until_ms = first_ms + _WINDOW_MS
            # A paused upstream gets at once what was sent while it was paused.
            is_paused = any(
                fault.name == signal.SIGSTOP.name
                and fault.overlaps(first_ms - _WINDOW_MS, until_ms)
                for fault in faults[upstream.rpartition("-")[0]]
            )
            count = sum(first_ms <= at_ms < until_ms for at_ms in counted_ms)
            if count > allowed and not is_paused:
                yield findings.Violation(
                    "LIMIT",
                    upstream,
                    f"{count} requests in the window from {first_ms}, "
                    f"{allowed:.1f} are allowed",
                )
                break


def _list_spans(
    events: Iterable[observations_lib.UpstreamEvent],
) -> Iterator[list[observations_lib.UpstreamEvent]]:
    """Yields the arrivals of each span in which a start names one limit."""
    by_upstream = collections.defaultdict(list)
    for event in events:
        if event.event == "arrived":
            by_upstream[event.upstream].append(event)
    for arrivals in by_upstream.values():
        for limit, span in itertools.groupby(
            arrivals, key=lambda event: event.named_limit
        ):
            if limit:
                yield list(span)


def _list_counted_ms(
    events: list[observations_lib.UpstreamEvent],
    attempts: dict[str, observations_lib.CallerAttempt],
    faults: dict[str, list[observations_lib.AppliedFault]],
) -> list[int]:
    """Returns the times of the arrivals in a span that count."""
    counted_ms = []
    for event in events:
        attempt = attempts.get(event.request_id)
        if attempt is None or event.at_ms < events[0].at_ms + _CONTACT_MS:
            continue
        is_told = any(
            other is not None
            and other.host == attempt.host
            and other.status
            and other.ended_ms <= event.at_ms - _TOLD_MS
            and not any(
                fault.overlaps(other.ended_ms - _CONTACT_MS, event.at_ms)
                for fault in faults[attempt.host]
            )
            for other in (attempts.get(told.request_id) for told in events)
        )
        if is_told:
            counted_ms.append(event.at_ms)
    return counted_ms


def _find_allowed(requests_per_s: float) -> float:
    """Returns the requests that are allowed in a window."""
    return (
        _ALLOWED_FACTOR * requests_per_s * _WINDOW_MS / 1_000 + _ALLOWED_EXTRA
    )
