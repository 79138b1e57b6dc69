"""Load profiles: Derwent's shift change and Karri's business-hours rush.

A profile defines each client account's share of the load, its kinds of work
and its patience. The load runs at half its peak rate during the ramp, then at
the peak rate. Only a window within the peak is measured, so that the lower
load of the ramp and of the end does not improve the result.
"""

from collections.abc import Iterator
import datetime
import random
import zoneinfo

import attrs

from redwingchute.bench import request_engine
from redwingchute.core import configuration
from redwingchute.core import requesting
from redwingchute.request import patience

RAMP_MS = 30_000
PEAK_DURATION_MS = 240_000
# The measured window starts this long after the peak does.
WINDOW_OFFSET_MS = 60_000
WINDOW_MS = 120_000
_RAMP_LOAD_FACTOR = 0.5
_EVERY_DAY = (1, 2, 3, 4, 5, 6, 7)


@attrs.frozen
class Workload:
    """The requests of one client account for one kind of work.

    Attributes:
      account: The client account, with its patience.
      kind: The kind of work.
      share: The share of the profile's requests, from 0 to 1.
      prompt_tokens: The mean size of a prompt.
      output_tokens: The mean size of the output.
    """

    account: configuration.ClientAccount
    kind: configuration.WorkKind
    share: float
    prompt_tokens: int
    output_tokens: int


@attrs.frozen
class Profile:
    """A load profile.

    Attributes:
      name: Its name in the results.
      peak_start_ms: When the peak load starts, since the Unix epoch.
      workloads: The requests, by client account and kind of work.
    """

    name: str
    peak_start_ms: int
    workloads: tuple[Workload, ...]

    @property
    def mean_work_ms(self) -> float:
        """The mean time that a request occupies a slot at full speed."""
        return sum(
            workload.share
            * (
                workload.prompt_tokens * request_engine.PREFILL_TOKEN_MS
                + workload.output_tokens * request_engine.OUTPUT_TOKEN_MS
            )
            for workload in self.workloads
        )


def _to_epoch_ms(text: str, time_zone: str) -> int:
    """Converts a local time to milliseconds since the epoch."""
    local = datetime.datetime.fromisoformat(text)
    zone = zoneinfo.ZoneInfo(time_zone)
    return round(local.replace(tzinfo=zone).timestamp() * 1000)


def _make_account(
    name: str, time_zone: str, *rules: configuration.PatienceRule
) -> configuration.ClientAccount:
    """Returns a client account with a patience schedule."""
    return configuration.ClientAccount(
        name, (), name, time_zone=time_zone, patience=rules
    )


def make_derwent_shift_change() -> Profile:
    """Returns Derwent's shift change at 14:00.

    Each client account is a floor, and all floors reconcile at once. From 14:00
    to 14:30, their patience for interactive work is 8 instead of 20 seconds.
    """
    kinds = configuration.WorkKind
    rule = configuration.PatienceRule
    floors = [
        _make_account(
            name,
            "Australia/Hobart",
            rule(kinds.INTERACTIVE, 840, 870, _EVERY_DAY, 8_000, 0),
            rule(kinds.INTERACTIVE, 0, 1440, _EVERY_DAY, 20_000, 2),
            rule(kinds.BATCH, 0, 1440, _EVERY_DAY, 60_000, 5),
            rule(kinds.LOOKUP, 0, 1440, _EVERY_DAY, 5_000, 1),
        )
        for name in ("huon", "bruny", "tamar", "derwent")
    ]
    workloads = []
    for account, share in zip(floors, (0.4, 0.3, 0.2, 0.1), strict=True):
        workloads += [
            Workload(account, kinds.INTERACTIVE, 0.6 * share, 600, 120),
            Workload(account, kinds.BATCH, 0.2 * share, 1_500, 250),
            Workload(account, kinds.LOOKUP, 0.2 * share, 200, 40),
        ]
    peak_start_ms = _to_epoch_ms("2026-12-03T14:00:00", "Australia/Hobart")
    return Profile("derwent_shift_change", peak_start_ms, tuple(workloads))


def make_karri_rush() -> Profile:
    """Returns Karri's rush at 08:30: drafts, revisions and lookups."""
    kinds = configuration.WorkKind
    rule = configuration.PatienceRule
    authors = [
        _make_account(
            name,
            "Australia/Perth",
            rule(kinds.DOCUMENT, 510, 1020, _EVERY_DAY, 30_000, 2),
            rule(kinds.INTERACTIVE, 510, 1020, _EVERY_DAY, 12_000, 1),
            rule(kinds.LOOKUP, 510, 1020, _EVERY_DAY, 5_000, 0),
        )
        for name in ("perth", "bunbury", "mining")
    ]
    workloads = []
    for account, share in zip(authors, (0.5, 0.3, 0.2), strict=True):
        workloads += [
            Workload(account, kinds.DOCUMENT, 0.4 * share, 1_200, 400),
            Workload(account, kinds.INTERACTIVE, 0.3 * share, 800, 150),
            Workload(account, kinds.LOOKUP, 0.3 * share, 200, 50),
        ]
    peak_start_ms = _to_epoch_ms("2026-12-03T08:30:00", "Australia/Perth")
    return Profile("karri_business_rush", peak_start_ms, tuple(workloads))


def generate_requests(
    profile: Profile, rate_per_s: float, rng: random.Random
) -> Iterator[request_engine.SimulatedRequest]:
    """Yields the requests of a profile in order of arrival.

    Args:
      profile: The load profile.
      rate_per_s: The rate of requests at the peak.
      rng: The source of arrival times and request sizes.
    """
    now_ms = float(profile.peak_start_ms - RAMP_MS)
    end_ms = profile.peak_start_ms + PEAK_DURATION_MS
    shares = [workload.share for workload in profile.workloads]
    while True:
        is_ramp = now_ms < profile.peak_start_ms
        rate = rate_per_s * (_RAMP_LOAD_FACTOR if is_ramp else 1.0)
        now_ms += rng.expovariate(rate) * 1000
        if now_ms >= end_ms:
            return
        (workload,) = rng.choices(profile.workloads, shares)
        window_ms = now_ms - profile.peak_start_ms - WINDOW_OFFSET_MS
        is_measured = 0 <= window_ms < WINDOW_MS
        yield _make_request(workload, int(now_ms), is_measured, rng)


def _make_request(
    workload: Workload, now_ms: int, is_measured: bool, rng: random.Random
) -> request_engine.SimulatedRequest:
    """Returns a request of a workload with random sizes."""
    found = patience.find_patience(workload.account, workload.kind, now_ms)
    output_tokens = _draw_tokens(workload.output_tokens, rng)
    ticket = requesting.Ticket(
        ticket_id=0,
        client_account=workload.account.name,
        kind=workload.kind,
        priority=found.priority,
        deadline_ms=now_ms + found.deadline_ms,
        prompt_tokens=_draw_tokens(workload.prompt_tokens, rng),
        expected_output_tokens=1,
        arrived_at_ms=now_ms,
        body_digest=rng.randbytes(8),
    )
    return request_engine.SimulatedRequest(
        workload.account.name,
        ticket,
        max_output_tokens=2 * workload.output_tokens,
        output_tokens=output_tokens,
        is_measured=is_measured,
    )


def _draw_tokens(mean: int, rng: random.Random) -> int:
    """Returns a random size between 0.5 and 1.5 times the mean, at least 1."""
    return max(1, round(rng.uniform(0.5, 1.5) * mean))
