"""Checks the observations of a soak against the promises to callers."""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import signal
from typing import TypeAlias

import attrs

from redwingchute.soak import crash_check
from redwingchute.soak import findings
from redwingchute.soak import limit_check
from redwingchute.soak import observations as observations_lib
from redwingchute.soak import version_check
from redwingchute.standin import runner

# Responses with these statuses promise that the request never runs.
_PROMISED_NOT_RUN = frozenset({408, 421, 429, 503})
_ALLOWED_EXCESSIVE_RUNS = 3
_SHOWN_BODY_LENGTH = 60
# Requests that a host may leave without a response while it isn't stopping.
_ALLOWED_LOST = 3
# A host counts as sound this long after a fault.
_CONTACT_MS = 3_000
_RECOVERY_MS = 12_000
_MIN_SERVED_SHARE = 0.25


@attrs.frozen
class RetryPeak:
    """The retries at a service in one window.

    Attributes:
      service: The service.
      from_ms: The start of the window, in Unix milliseconds.
      retries: The number of retries.
      allowed: The largest number that is allowed.
    """

    service: str
    from_ms: int
    retries: int
    allowed: float

    def describe(self) -> str:
        """Returns a text on the retries in the window."""
        return (
            f"{self.retries} retries in the window from {self.from_ms}, "
            f"{self.allowed:.1f} are allowed"
        )


_Check: TypeAlias = Callable[
    [observations_lib.Observations], Iterable[findings.Violation]
]


def check_all(
    observations: observations_lib.Observations,
) -> list[findings.Violation]:
    """Returns the violations that all checks find."""
    checks: Sequence[_Check] = (
        check_refused,
        check_run_once,
        check_asked,
        check_retry_limit,
        limit_check.check_limits,
        version_check.check_versions,
        crash_check.check_crashes,
        check_max_attempts,
        check_content,
        check_streams,
        check_answered,
        check_lost,
        check_recovered,
        check_processes,
        check_usage,
    )
    return [found for check in checks for found in check(observations)]


def check_refused(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds requests that ran although the caller was promised otherwise.

    Repeatable requests are exempt: running them again does no harm.
    """
    runs = _group_runs(observations)
    for attempt in observations.attempts:
        if attempt.kind.is_repeatable:
            continue
        if attempt.status in _PROMISED_NOT_RUN and runs[attempt.request_id]:
            yield findings.Violation(
                "REFUSED",
                attempt.request_id,
                f"{attempt.kind} answered {attempt.status} by {attempt.host} "
                f"at {attempt.ended_ms}, {_describe(runs[attempt.request_id])}",
            )


def check_run_once(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds requests that ran more than once although they may not."""
    runs = _group_runs(observations)
    for attempt in observations.attempts:
        found = runs[attempt.request_id]
        if not attempt.kind.is_repeatable and len(found) > 1:
            message = f"{attempt.kind} by {attempt.host} {_describe(found)}"
            yield findings.Violation("TWICE", attempt.request_id, message)


def check_asked(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds runs of requests that no caller sent."""
    sent = {attempt.request_id for attempt in observations.attempts}
    for request_id, runs in _group_runs(observations).items():
        if request_id not in sent:
            yield findings.Violation("UNASKED", request_id, _describe(runs))


def check_retry_limit(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds services with more retries in a window than are allowed."""
    for peak in find_retry_peaks(observations):
        if peak.retries > peak.allowed:
            yield findings.Violation("BUDGET", peak.service, peak.describe())


def find_retry_peaks(
    observations: observations_lib.Observations,
) -> list[RetryPeak]:
    """Returns the window of each service that comes closest to the limit.

    Each arrival at an upstream after the first of a request is a retry, on
    whichever host it was decided.
    """
    limit = observations.retry_limit
    requests: dict[str, list[int]] = collections.defaultdict(list)
    for attempt in observations.attempts:
        requests[attempt.kind.service].append(attempt.sent_ms)
    retries: dict[str, list[int]] = collections.defaultdict(list)
    arrived = set()
    for event in observations.events:
        if event.event != "arrived":
            continue
        if event.request_id in arrived:
            retries[event.service].append(event.at_ms)
        arrived.add(event.request_id)
    peaks = []
    for service, times in sorted(retries.items()):
        requests[service].sort()
        windows = [
            RetryPeak(
                service,
                from_ms,
                _count(times, from_ms, limit.window_ms),
                _find_allowed(requests[service], from_ms, limit),
            )
            # In a window with the most retries, one is the first or the last.
            for at_ms in times
            for from_ms in (at_ms, at_ms - limit.window_ms + 1)
        ]
        peaks.append(max(windows, key=lambda peak: peak.retries - peak.allowed))
    return peaks


def check_max_attempts(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds requests that ran on more upstreams than their route allows.

    A few are allowed; upstreams that end meanwhile are not exempted.
    """
    runs = _group_runs(observations)
    found = [
        findings.Violation(
            "BUDGET",
            attempt.request_id,
            f"{attempt.kind} by {attempt.host} {_describe(events)}",
        )
        for attempt in observations.attempts
        if (events := runs[attempt.request_id])
        and len({run.upstream for run in events}) > attempt.kind.max_attempts
    ]
    return found if len(found) > _ALLOWED_EXCESSIVE_RUNS else ()


def check_content(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds responses that belong to another request or to no upstream."""
    for attempt in observations.attempts:
        message = _find_foreign_content(attempt)
        if message:
            message = f"{attempt.kind} by {attempt.host}: {message}"
            yield findings.Violation("MIXED", attempt.request_id, message)


def check_streams(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds streams with missing, repeated, foreign or joined events."""
    for attempt in observations.attempts:
        if not attempt.kind.is_stream or attempt.status != 200:
            continue
        whole = b"".join(
            runner.make_event(number, attempt.request_id)
            for number in range(attempt.output_tokens)
        ).decode()
        is_ended = attempt.outcome is observations_lib.Outcome.ANSWERED
        if (
            attempt.body == whole
            if is_ended
            else whole.startswith(attempt.body)
        ):
            continue
        message = (
            f"{attempt.kind} by {attempt.host}, {attempt.outcome}: "
            f"{attempt.body[-_SHOWN_BODY_LENGTH:]!r}"
        )
        yield findings.Violation("ORDER", attempt.request_id, message)


def check_answered(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds callers that were left waiting by a host that was not paused."""
    for attempt in observations.attempts:
        if attempt.outcome is not observations_lib.Outcome.UNANSWERED:
            continue
        is_excused = any(
            fault.name == signal.SIGSTOP.name
            and fault.target == attempt.host
            and fault.overlaps(attempt.sent_ms, attempt.ended_ms)
            for fault in observations.faults
        )
        if not is_excused:
            message = (
                f"{attempt.kind} sent to {attempt.host} at {attempt.sent_ms} "
                f"with {attempt.deadline_ms} ms, left at {attempt.ended_ms}"
            )
            yield findings.Violation("UNANSWERED", attempt.request_id, message)


def check_lost(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds requests that a sound host left without a complete response.

    Only those count that sound upstreams got. A host that is stopped with
    SIGTERM must complete them all; at other times, a few are allowed.
    """
    arrivals = collections.defaultdict(set)
    for event in observations.events:
        if event.event == "arrived":
            arrivals[event.request_id].add(event.upstream.rpartition("-")[0])
    faults = collections.defaultdict(list)
    for fault in (
        *observations.faults,
        *crash_check.list_crashes(observations),
    ):
        faults[fault.target].append(fault)
    stopping: list[findings.Violation] = []
    serving: list[findings.Violation] = []
    for attempt in observations.attempts:
        upstreams = arrivals[attempt.request_id]
        if attempt.outcome is not observations_lib.Outcome.CLOSED:
            continue
        if attempt.ended_ms >= attempt.sent_ms + attempt.deadline_ms:
            continue
        from_ms = attempt.sent_ms - _CONTACT_MS
        host_faults = {
            fault.name
            for fault in faults[attempt.host]
            if fault.overlaps(from_ms, attempt.ended_ms)
        }
        if host_faults - {signal.SIGTERM.name} or not upstreams:
            continue
        if any(
            fault.overlaps(from_ms, attempt.ended_ms)
            for upstream in upstreams
            for fault in faults[upstream]
        ):
            continue
        message = (
            f"{attempt.kind} sent to {attempt.host} at {attempt.sent_ms}, "
            f"closed at {attempt.ended_ms}, status {attempt.status}"
        )
        lost = findings.Violation("LOST", attempt.request_id, message)
        (stopping if host_faults else serving).append(lost)
    return stopping + (serving if len(serving) > _ALLOWED_LOST else [])


def check_recovered(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds a fleet that serves few requests some time after all faults."""
    if not observations.faults:
        return
    from_ms = _RECOVERY_MS + max(
        fault.until_ms for fault in observations.faults
    )
    late = [
        attempt
        for attempt in observations.attempts
        if attempt.sent_ms >= from_ms
        and attempt.outcome is not observations_lib.Outcome.GAVE_UP
    ]
    served = sum(
        attempt.status == 200
        and attempt.outcome is observations_lib.Outcome.ANSWERED
        for attempt in late
    )
    if served < _MIN_SERVED_SHARE * len(late):
        message = f"{served} of {len(late)} served from {from_ms} on"
        yield findings.Violation("RECOVER", "fleet", message)


def check_processes(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds processes that ended by themselves."""
    for name in observations.unexpected_ends:
        yield findings.Violation("ENDED", name, "the process ended by itself")


def check_usage(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds processes that used more than their hosts have."""
    limit = observations.usage_limit
    for usage in observations.usages:
        if (
            usage.memory_mb > limit.memory_mb
            or usage.descriptors > limit.descriptors
        ):
            message = f"{usage}, allowed are {limit}"
            yield findings.Violation("USAGE", usage.host, message)


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


def _find_foreign_content(attempt: observations_lib.CallerAttempt) -> str:
    """Returns why a response isn't that of the request; empty if it is."""
    if attempt.response_id not in (None, attempt.request_id):
        return f"status {attempt.status} has the id {attempt.response_id}"
    if not 200 <= attempt.status < 300:
        return ""
    if attempt.response_id is None or not attempt.is_signed:
        return f"status {attempt.status} without id or signature"
    if attempt.kind.is_stream:
        return ""
    whole = f"ran /{attempt.kind}/{attempt.request_id}"
    is_ended = attempt.outcome is observations_lib.Outcome.ANSWERED
    if attempt.body == whole if is_ended else whole.startswith(attempt.body):
        return ""
    return f"the body is {attempt.body[:_SHOWN_BODY_LENGTH]!r}"


def _count(times_ms: Sequence[int], from_ms: int, length_ms: int) -> int:
    """Returns how many of the ordered times are in a window."""
    return bisect.bisect_left(
        times_ms, from_ms + length_ms
    ) - bisect.bisect_left(times_ms, from_ms)


def _find_allowed(
    requests_ms: Sequence[int],
    from_ms: int,
    limit: observations_lib.RetryLimit,
) -> float:
    """Returns how many retries are allowed in a window.

    A retry may follow its request later, so that the window before and the one
    half a window before count as well.
    """
    most = max(
        _count(requests_ms, from_ms - shift_ms, limit.window_ms)
        for shift_ms in (0, limit.window_ms // 2, limit.window_ms)
    )
    return limit.ratio * most + limit.slack
