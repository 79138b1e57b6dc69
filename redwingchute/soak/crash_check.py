"""Checks that requests which end their upstreams are not sent on."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

from redwingchute.soak import findings
from redwingchute.soak import observations as observations_lib
from redwingchute.soak import plan

# After this many ends, and the time that hosts have to learn of the last, at
# most this many further copies may run.
_ENDS = 3
_CONTACT_MS = 3_000
_MAX_LATE_RUNS = 3
# How long after its run an upstream is down, and listed again.
_DOWN_MS = 2_500


def check_crashes(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds crashing requests that were sent on after three ends.

    Copies count that sound hosts sent while the store was sound.
    """
    attempts = {
        attempt.request_id: attempt for attempt in observations.attempts
    }
    faults = collections.defaultdict(list)
    for fault in observations.faults:
        if fault.name != observations_lib.PATCH or fault.target == plan.STORE:
            faults[fault.target].append(fault)
    runs = collections.defaultdict(list)
    for event in observations.events:
        attempt = attempts.get(event.request_id)
        if event.is_crashing and attempt is not None:
            runs[attempt.kind].append((event.at_ms, attempt.host))
    for kind, found in runs.items():
        late = [
            (at_ms, host)
            for at_ms, host in found[_ENDS:]
            if at_ms > found[_ENDS - 1][0] + _CONTACT_MS
            and not any(
                fault.overlaps(at_ms - _CONTACT_MS, at_ms)
                for fault in (*faults[host], *faults[plan.STORE])
            )
        ]
        if len(late) > _MAX_LATE_RUNS:
            yield findings.Violation(
                "BUDGET",
                str(kind),
                f"{len(found)} upstreams ended, {len(late)} of them late: "
                + ", ".join(f"{host} at {at_ms}" for at_ms, host in late),
            )


def list_crashes(
    observations: observations_lib.Observations,
) -> Iterator[observations_lib.AppliedFault]:
    """Yields the ends of upstreams by requests, as faults of the upstreams."""
    for event in observations.events:
        if event.is_crashing:
            yield observations_lib.AppliedFault(
                event.at_ms,
                event.at_ms + _DOWN_MS,
                event.upstream.rpartition("-")[0],
                "crash",
            )
