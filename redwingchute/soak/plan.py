"""Makes the plan of a soak: which requests are sent and which faults occur.

A plan depends only on its seed and size. Each group of faults has a random
source of its own, so that leaving out a group does not change the others.
"""

from collections.abc import Callable
from collections.abc import Iterator
import random
import signal
from typing import TypeAlias

import attrs

from redwingchute.soak import crowds
from redwingchute.soak import observations

STORE = "store"

_DEADLINES_MS = (1_500, 4_000)
_OUTPUT_TOKENS = (4, 40)
_BODY_BYTES = (16, 64, 4_096, 200_000)
_GIVE_UP_SHARE = 0.04
_GIVE_UP_MS = (20, 600)
_NEW_CONNECTION_SHARE = 0.15
_STORE_AWAY_SHARE = 0.4
_MAX_CROWD = 60
_KIND_WEIGHTS = {
    observations.Kind.IDEMPOTENT: 3,
    observations.Kind.NON_IDEMPOTENT: 4,
    observations.Kind.STREAM: 4,
    observations.Kind.RESUMABLE_STREAM: 2,
}


@attrs.frozen
class PlannedRequest:
    """A request of a caller, which may send it in several attempts.

    Attributes:
      number: The number of the request.
      at_ms: When it is sent, from the start of the load.
      kind: The kind of request.
      host_index: The host that gets the first attempt.
      deadline_ms: How long the caller waits over all attempts.
      give_up_ms: When the caller closes its connection; None for never.
      output_tokens: The number of events of a stream.
      body_bytes: The size of the body, unless the method is GET.
      is_new_connection: Whether the connection is used only once.
      is_crashing: Whether it ends each upstream that runs it. All crashing
        requests of a kind are the same request.
    """

    number: int
    at_ms: int
    kind: observations.Kind
    host_index: int
    deadline_ms: int
    give_up_ms: int | None
    output_tokens: int
    body_bytes: int
    is_new_connection: bool
    is_crashing: bool = False


@attrs.frozen
class Patch:
    """Faults that a stand-in simulates for some time."""

    at_ms: int
    target: str
    duration_ms: int
    faults: tuple[tuple[str, bool | int | str], ...]


@attrs.frozen
class Pause:
    """A process is stopped with SIGSTOP for some time."""

    at_ms: int
    target: str
    duration_ms: int


@attrs.frozen
class Restart:
    """A process is ended by a signal and started again.

    Attributes:
      at_ms: When it is ended.
      target: The process.
      signal: The signal.
      down_ms: How long it is down.
      is_other_build: Whether a host starts with the other build; None for the
        build that it ran.
    """

    at_ms: int
    target: str
    signal: signal.Signals
    down_ms: int
    is_other_build: bool | None = None


@attrs.frozen
class Crowd:
    """Clients connect to a host, misbehave and stay for some time.

    Attributes:
      at_ms: When they connect.
      target: The host.
      duration_ms: How long they stay.
      shape: What they do, as of `crowds.UNFINISHED`.
      count: Their number.
    """

    at_ms: int
    target: str
    duration_ms: int
    shape: str
    count: int


Fault: TypeAlias = Patch | Pause | Restart | Crowd


@attrs.frozen
class Size:
    """The size of a soak.

    Attributes:
      hosts: The number of hosts.
      upstreams: The number of upstreams of each service.
      rate_per_s: The mean rate of requests of all callers.
      duration_ms: How long faults are injected while requests are sent.
      calm_ms: How long requests are sent after that.
      versions: The number of software versions that upstreams have.
      crashing_per_s: The mean rate of requests that end their upstreams.
      prepaid_tokens: The tokens that the client account may consume; None for
        no limit.
      has_other_build: Whether hosts are replaced by another build.
    """

    hosts: int
    upstreams: int
    rate_per_s: float
    duration_ms: int
    calm_ms: int = 0
    versions: int = 1
    crashing_per_s: float = 0.0
    prepaid_tokens: int | None = None
    has_other_build: bool = False

    def list_hosts(self) -> list[str]:
        """Returns the names of the hosts."""
        return [f"host-{number}" for number in range(1, self.hosts + 1)]

    def list_upstreams(self) -> list[tuple[str, str]]:
        """Returns the name and service of each upstream."""
        return [
            (f"{service}-{number}", service)
            for service in ("ledger", "llm")
            for number in range(1, self.upstreams + 1)
        ]

    def count_processes(self) -> int:
        """Returns the number of processes: hosts, upstreams and the store."""
        return self.hosts + len(self.list_upstreams()) + 1


def plan_requests(seed: int, size: Size) -> list[PlannedRequest]:
    """Returns the requests of a soak, which arrive independently."""
    requests = _plan_sound_requests(seed, size)
    if size.crashing_per_s:
        requests += _plan_crashing_requests(seed, size, len(requests))
    return sorted(requests, key=lambda request: request.at_ms)


def _plan_crashing_requests(
    seed: int, size: Size, first_number: int
) -> Iterator[PlannedRequest]:
    """Yields copies of plain requests that end their upstreams."""
    source = random.Random(f"{seed}-crashing")
    times = _draw_times(source, 1000 / size.crashing_per_s, size.duration_ms)
    for number, at_ms in enumerate(times, first_number):
        yield PlannedRequest(
            number=number,
            at_ms=at_ms,
            kind=source.choice(
                (
                    observations.Kind.IDEMPOTENT,
                    observations.Kind.NON_IDEMPOTENT,
                )
            ),
            host_index=source.randrange(size.hosts),
            deadline_ms=source.randint(*_DEADLINES_MS),
            give_up_ms=None,
            output_tokens=0,
            body_bytes=_BODY_BYTES[0],
            is_new_connection=source.random() < _NEW_CONNECTION_SHARE,
            is_crashing=True,
        )


def _plan_sound_requests(seed: int, size: Size) -> list[PlannedRequest]:
    """Returns the requests that do not end their upstreams."""
    source = random.Random(f"{seed}-requests")
    requests: list[PlannedRequest] = []
    end_ms = size.duration_ms + size.calm_ms
    for at_ms in _draw_times(source, 1000 / size.rate_per_s, end_ms):
        gives_up = source.random() < _GIVE_UP_SHARE
        requests.append(
            PlannedRequest(
                number=len(requests),
                at_ms=at_ms,
                kind=source.choices(
                    list(_KIND_WEIGHTS), list(_KIND_WEIGHTS.values())
                )[0],
                host_index=source.randrange(size.hosts),
                deadline_ms=source.randint(*_DEADLINES_MS),
                give_up_ms=source.randint(*_GIVE_UP_MS) if gives_up else None,
                output_tokens=source.randint(*_OUTPUT_TOKENS),
                body_bytes=source.choice(_BODY_BYTES),
                is_new_connection=source.random() < _NEW_CONNECTION_SHARE,
            )
        )
    return requests


def plan_faults(seed: int, size: Size, groups: list[str]) -> list[Fault]:
    """Returns the faults of a soak, ordered by time.

    Args:
      seed: The seed of the plan.
      size: The size of the soak.
      groups: The groups of faults to include; see `FAULT_GROUPS`.
    """
    faults = [
        fault
        for group in groups
        for fault in FAULT_GROUPS[group](random.Random(f"{seed}-{group}"), size)
    ]
    return sorted(faults, key=lambda fault: fault.at_ms)


def plan_build_changes(seed: int, size: Size) -> list[Fault]:
    """Returns hosts that are replaced by another build one by one, and back."""
    if not size.has_other_build:
        return []
    source = random.Random(f"{seed}-builds")
    changes = [
        (host, is_other)
        for is_other in (True, False)
        for host in size.list_hosts()
    ]
    gap_ms = size.duration_ms // (len(changes) + 1)
    return [
        Restart(
            number * gap_ms + source.randint(0, gap_ms // 4),
            host,
            signal.SIGTERM,
            50,
            is_other,
        )
        for number, (host, is_other) in enumerate(changes, 1)
    ]


def _plan_extra_responses(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields upstreams that reject some requests and repeat some responses."""
    for at_ms in _draw_times(source, 1_500, size.duration_ms):
        yield Patch(
            at_ms,
            _draw_upstream(source, size),
            source.randint(2_000, 6_000),
            (
                ("reject_every", source.randint(2, 5)),
                ("extra_every", source.randint(1, 4)),
                ("extra_delay_ms", source.choice((0, 2, 5, 20, 60))),
                ("extra_awaits_request", source.random() < 0.5),
                ("extra_has_no_id", source.random() < 0.2),
            ),
        )


def _plan_full_upstreams(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields upstreams that refuse all requests."""
    for at_ms in _draw_times(source, 2_000, size.duration_ms):
        duration_ms = source.randint(500, 4_000)
        target = _draw_upstream(source, size)
        yield Patch(at_ms, target, duration_ms, (("is_full", True),))


def _plan_limits(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields upstreams that name a limit of requests a second."""
    for at_ms in _draw_times(source, 3_000, size.duration_ms):
        limit = source.choice(("0", "0.5", "1", "2", "5", "1e1"))
        yield Patch(
            at_ms,
            _draw_upstream(source, size),
            source.randint(5_000, 12_000),
            (("named_limit", limit),),
        )


def _plan_faulty_answers(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields upstreams that break off, lose or garble their responses."""
    for at_ms in _draw_times(source, 2_500, size.duration_ms):
        fault = source.choice(
            (
                ("truncate_answers", True),
                ("lose_answers", True),
                ("break_after_events", source.randint(0, 6)),
                ("fail_runs", True),
                ("unsigned", True),
                ("wrong_id", True),
            )
        )
        duration_ms = source.randint(300, 2_000)
        yield Patch(at_ms, _draw_upstream(source, size), duration_ms, (fault,))


def _plan_upstream_ends(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields upstreams that crash and start again under another id."""
    for at_ms in _draw_times(source, 5_000, size.duration_ms):
        yield Restart(
            at_ms,
            _draw_upstream(source, size),
            signal.SIGKILL,
            source.randint(200, 3_000),
        )


def _plan_upstream_pauses(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields upstreams that are stopped and continued."""
    for at_ms in _draw_times(source, 4_000, size.duration_ms):
        yield Pause(
            at_ms, _draw_upstream(source, size), source.randint(100, 6_000)
        )


def _plan_host_ends(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields series of hosts that end at nearly the same moment."""
    for at_ms in _draw_times(source, 5_000, size.duration_ms):
        number = source.choice((signal.SIGTERM, signal.SIGKILL))
        count = source.choice((1, 1, 2, size.hosts))
        for host in source.sample(size.list_hosts(), min(count, size.hosts)):
            yield Restart(
                at_ms + source.randint(0, 400),
                host,
                number,
                source.randint(100, 1_500),
            )


def _plan_fleet_ends(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields series of ends of all hosts while upstreams reject requests.

    The store may be away meanwhile, so that hosts do not find each other.
    """
    for at_ms in _draw_times(source, 12_000, size.duration_ms):
        length_ms = source.randint(6_000, 10_000)
        reject_every = source.choice((1, 1, 2, 3))
        for upstream, _ in size.list_upstreams():
            share = ("reject_every", reject_every)
            yield Patch(at_ms, upstream, length_ms, (share,))
        if source.random() < _STORE_AWAY_SHARE:
            yield Pause(at_ms + 1_000, STORE, length_ms // 2)
        number = source.choice((signal.SIGTERM, signal.SIGKILL))
        for series in range(source.randint(1, 3)):
            for host in size.list_hosts():
                offset_ms = 1_500 * series + source.randint(0, 300)
                yield Restart(at_ms + offset_ms, host, number, 100)


def _plan_host_pauses(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields hosts that are stopped and continued."""
    for at_ms in _draw_times(source, 5_000, size.duration_ms):
        host = source.choice(size.list_hosts())
        yield Pause(at_ms, host, source.randint(100, 3_000))


def _plan_crowds(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields crowds of clients that do not end their requests."""
    for at_ms in _draw_times(source, 4_000, size.duration_ms):
        yield Crowd(
            at_ms,
            source.choice(size.list_hosts()),
            source.randint(500, 6_000),
            source.choice(sorted(crowds.UNFINISHED)),
            source.randint(10, _MAX_CROWD),
        )


def _plan_store_faults(source: random.Random, size: Size) -> Iterator[Fault]:
    """Yields times at which the store is stopped or refuses requests."""
    for at_ms in _draw_times(source, 8_000, size.duration_ms):
        duration_ms = source.randint(300, 4_000)
        name = source.choice(("", "is_down", "is_busy"))
        if name:
            yield Patch(at_ms, STORE, duration_ms, ((name, True),))
        else:
            yield Pause(at_ms, STORE, duration_ms)


FAULT_GROUPS: dict[str, Callable[[random.Random, Size], Iterator[Fault]]] = {
    "extra": _plan_extra_responses,
    "full": _plan_full_upstreams,
    "answers": _plan_faulty_answers,
    "limits": _plan_limits,
    "upstream-ends": _plan_upstream_ends,
    "upstream-pauses": _plan_upstream_pauses,
    "host-ends": _plan_host_ends,
    "fleet-ends": _plan_fleet_ends,
    "host-pauses": _plan_host_pauses,
    "store": _plan_store_faults,
    "crowds": _plan_crowds,
}


def _draw_times(
    source: random.Random, mean_gap_ms: float, end_ms: int
) -> Iterator[int]:
    """Yields the times of events that occur independently of each other."""
    at_ms = source.expovariate(1 / mean_gap_ms)
    while at_ms < end_ms:
        yield int(at_ms)
        at_ms += source.expovariate(1 / mean_gap_ms)


def _draw_upstream(source: random.Random, size: Size) -> str:
    """Returns the name of a random upstream."""
    return source.choice(size.list_upstreams())[0]
