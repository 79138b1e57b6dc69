"""Runs short soaks of real processes."""

import asyncio
import pathlib
import signal

import attrs

from redwingchute.soak import checks
from redwingchute.soak import crowds
from redwingchute.soak import observations
from redwingchute.soak import plan
from redwingchute.soak import soak_command

_SEED = 1
_SIZE = plan.Size(hosts=2, upstreams=2, rate_per_s=80.0, duration_ms=2_500)
_LONG_SIZE = plan.Size(hosts=3, upstreams=4, rate_per_s=20.0, duration_ms=9_500)


def _run(
    faults: list[plan.Fault],
    directory: pathlib.Path,
    size: plan.Size = _SIZE,
) -> observations.Observations:
    """Runs the requests of the seed with the given faults."""
    requests = plan.plan_requests(_SEED, size)
    return asyncio.run(soak_command.run_plan(requests, faults, size, directory))


def test_a_run_without_faults_serves_all_and_breaks_nothing(
    tmp_path: pathlib.Path,
) -> None:
    observed = _run([], tmp_path)
    assert checks.check_all(observed) == []
    served = [
        attempt
        for attempt in observed.attempts
        if attempt.outcome is not observations.Outcome.GAVE_UP
    ]
    assert {attempt.status for attempt in served} == {200}
    assert {attempt.kind for attempt in served} == set(observations.Kind)
    ran = {event.request_id for event in observed.events}
    assert {attempt.request_id for attempt in served} <= ran


# Guards against taking a late copy of a rejection for the response to the next
# request on its connection: that request runs although its caller is promised
# that it does not.
def test_a_late_rejection_of_an_earlier_request_refuses_no_other(
    tmp_path: pathlib.Path,
) -> None:
    repeat_rejections = (
        ("reject_every", 3),
        ("extra_every", 1),
        ("extra_awaits_request", True),
    )
    faults: list[plan.Fault] = [
        plan.Patch(0, name, _SIZE.duration_ms, repeat_rejections)
        for name, _ in _SIZE.list_upstreams()
    ]
    observed = _run(faults, tmp_path)
    extras = [
        event
        for event in observed.events
        if event.event == "sent_extra" and event.status == 503
    ]
    assert extras, "no rejection was repeated"
    violations = checks.check_all(observed)
    assert not violations, (len(violations), violations[:3])


# Guards against a fleet that sends upstreams more than the limits they name,
# while the hosts that issue the permits are ended and paused.
def test_limits_are_kept_while_hosts_end_and_pause(
    tmp_path: pathlib.Path,
) -> None:
    size = attrs.evolve(_LONG_SIZE, upstreams=3, rate_per_s=40.0)
    limits = (("named_limit", "0.5"),)
    faults: list[plan.Fault] = [
        plan.Patch(1_000, name, size.duration_ms, limits)
        for name in ("ledger-1", "ledger-2", "llm-1", "llm-2")
    ]
    faults.append(plan.Restart(3_000, "host-1", signal.SIGKILL, down_ms=500))
    faults.append(plan.Pause(5_500, "host-2", 1_500))
    observed = _run(faults, tmp_path, size)
    assert any(event.named_limit for event in observed.events)
    violations = checks.check_all(observed)
    assert not violations, (len(violations), violations[:3])


# Guards against streams that break off and go on at another software version.
def test_streams_keep_their_version_while_upstreams_break_them(
    tmp_path: pathlib.Path,
) -> None:
    size = attrs.evolve(_LONG_SIZE, upstreams=4, versions=2)
    breaks = (("break_after_events", 2),)
    faults: list[plan.Fault] = [
        plan.Patch(1_000, f"llm-{number}", size.duration_ms, breaks)
        for number in (1, 2)
    ]
    observed = _run(faults, tmp_path, size)
    assert any(event.is_resumed for event in observed.events)
    violations = checks.check_all(observed)
    assert not violations, (len(violations), violations[:3])


# Guards against plain requests that end their upstreams and are sent on, also
# by hosts that start after the ends.
def test_crashing_requests_are_not_sent_on_while_hosts_end(
    tmp_path: pathlib.Path,
) -> None:
    size = attrs.evolve(_LONG_SIZE, crashing_per_s=4.0)
    faults: list[plan.Fault] = [
        plan.Restart(3_000, "host-1", signal.SIGKILL, down_ms=500),
        plan.Restart(5_000, "host-2", signal.SIGTERM, down_ms=100),
    ]
    observed = _run(faults, tmp_path, size)
    assert any(event.is_crashing for event in observed.events)
    violations = checks.check_all(observed)
    assert not violations, (len(violations), violations[:3])


# Guards against hosts that restart together and then retry as if they had made
# no retries before, or as if they were the only host.
def test_hosts_that_restart_together_keep_the_retry_limit(
    tmp_path: pathlib.Path,
) -> None:
    faults: list[plan.Fault] = [
        plan.Patch(0, name, _LONG_SIZE.duration_ms, (("reject_every", 1),))
        for name, _ in _LONG_SIZE.list_upstreams()
    ]
    faults += [
        plan.Restart(at_ms, host, signal.SIGTERM, down_ms=50)
        for at_ms in (2_500, 6_000)
        for host in _LONG_SIZE.list_hosts()
    ]
    observed = _run(faults, tmp_path, _LONG_SIZE)
    peaks = checks.find_retry_peaks(observed)
    assert {peak.service for peak in peaks} == {"ledger", "llm"}
    violations = checks.check_all(observed)
    assert not violations, (len(violations), violations[:3])


# Guards against hosts that leave callers unanswered, or use more than they
# have, while clients beside these misbehave.
def test_callers_are_answered_beside_crowds_that_misbehave(
    tmp_path: pathlib.Path,
) -> None:
    faults: list[plan.Fault] = [
        plan.Crowd(500 + 100 * number, host, 2_000, shape, 20)
        for host in _SIZE.list_hosts()
        for number, shape in enumerate(sorted(crowds.UNFINISHED))
    ]
    observed = _run(faults, tmp_path)
    violations = checks.check_all(observed)
    assert not violations, (len(violations), violations[:3])
    assert len(observed.usages) == _SIZE.hosts
    assert all(usage.memory_mb > 0 for usage in observed.usages)
