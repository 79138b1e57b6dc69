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
HEIGHT_MS = 240_000
WINDOW_START_MS = 60_000
WINDOW_MS = 120_000
_RAMP_SHARE = 0.5
_EVERY_DAY = (1, 2, 3, 4, 5, 6, 7)


@attrs.frozen
class Stream:
    """The requests of one client account for one kind of work.

    Attributes:
      account: The client account, with its patience.
      kind: The kind of work.
      share: The share of the profile's requests.
      prompt_tokens: The mean size of a prompt.
      output_tokens: The mean size of a response.
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
      height_ms: When the peak load starts.
      streams: The requests, by client account and kind of work.
    """

    name: str
    height_ms: int
    streams: tuple[Stream, ...]

    @property
    def mean_work_ms(self) -> float:
        """The mean time that a request occupies a slot at full speed."""
        return sum(
            stream.share
            * (
                stream.prompt_tokens * request_engine.PREFILL_TOKEN_MS
                + stream.output_tokens * request_engine.OUTPUT_TOKEN_MS
            )
            for stream in self.streams
        )


def _to_ms(text: str, time_zone: str) -> int:
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
    """Returns the shift change at 14:00: all floors reconcile at once."""
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
    streams = []
    for account, share in zip(floors, (0.4, 0.3, 0.2, 0.1), strict=True):
        streams += [
            Stream(account, kinds.INTERACTIVE, 0.6 * share, 600, 120),
            Stream(account, kinds.BATCH, 0.2 * share, 1_500, 250),
            Stream(account, kinds.LOOKUP, 0.2 * share, 200, 40),
        ]
    height_ms = _to_ms("2026-12-03T14:00:00", "Australia/Hobart")
    return Profile("derwent_shift_change", height_ms, tuple(streams))


def make_karri_rush() -> Profile:
    """Returns the rush at 08:30: drafts, revisions and lookups."""
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
    streams = []
    for account, share in zip(authors, (0.5, 0.3, 0.2), strict=True):
        streams += [
            Stream(account, kinds.DOCUMENT, 0.4 * share, 1_200, 400),
            Stream(account, kinds.INTERACTIVE, 0.3 * share, 800, 150),
            Stream(account, kinds.LOOKUP, 0.3 * share, 200, 50),
        ]
    height_ms = _to_ms("2026-12-03T08:30:00", "Australia/Perth")
    return Profile("karri_business_rush", height_ms, tuple(streams))


def generate_requests(
    profile: Profile, rate_per_s: float, rng: random.Random
) -> Iterator[request_engine.SimulatedRequest]:
    """Yields the requests of a profile in order of arrival.

    Args:
      profile: The load profile.
      rate_per_s: The rate of requests at the peak.
      rng: The source of arrival times and request sizes.
    """
    now_ms = float(profile.height_ms - RAMP_MS)
    end_ms = profile.height_ms + HEIGHT_MS
    shares = [stream.share for stream in profile.streams]
    while True:
        is_ramp = now_ms < profile.height_ms
        rate = rate_per_s * (_RAMP_SHARE if is_ramp else 1.0)
        now_ms += rng.expovariate(rate) * 1000
        if now_ms >= end_ms:
            return
        (stream,) = rng.choices(profile.streams, shares)
        window_ms = now_ms - profile.height_ms - WINDOW_START_MS
        is_measured = 0 <= window_ms < WINDOW_MS
        yield _make_request(stream, int(now_ms), is_measured, rng)


def _make_request(
    stream: Stream, now_ms: int, is_measured: bool, rng: random.Random
) -> request_engine.SimulatedRequest:
    """Returns a request of a stream with random sizes."""
    found = patience.find_patience(stream.account, stream.kind, now_ms)
    output_tokens = _draw_size(stream.output_tokens, rng)
    ticket = requesting.Ticket(
        ticket_id=0,
        client_account=stream.account.name,
        kind=stream.kind,
        priority=found.priority,
        deadline_ms=now_ms + found.deadline_ms,
        prompt_tokens=_draw_size(stream.prompt_tokens, rng),
        expected_output_tokens=1,
        arrived_at_ms=now_ms,
        body_digest=rng.randbytes(8),
    )
    return request_engine.SimulatedRequest(
        stream.account.name,
        ticket,
        max_output_tokens=2 * stream.output_tokens,
        output_tokens=output_tokens,
        is_measured=is_measured,
    )


def _draw_size(mean: int, rng: random.Random) -> int:
    """Returns a random size between 0.5 and 1.5 times the mean, at least 1."""
    return max(1, round(rng.uniform(0.5, 1.5) * mean))
