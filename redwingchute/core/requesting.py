"""The immutable records of requests, upstream load, crashes and quarantines.

Routers send the notices to each other; each has a schema struct of the same
name in wire/request.capnp. The other records are used within a router.
"""

from collections.abc import Sequence

import attrs

from redwingchute.core import configuration


@attrs.frozen
class CrashNotice:
    """Notifies other routers that an upstream crashed while running a request.

    Attributes:
      client_account: The account that sent the request.
      body_digest: The digest of the request's target and body.
      upstream: The upstream that crashed.
      attempt_id: The attempt that ended with the crash; each counts once.
      crashed_at_ms: When the router detected the crash.
    """

    client_account: str
    body_digest: bytes
    upstream: str
    attempt_id: str
    crashed_at_ms: int


@attrs.frozen
class CrashObservation:
    """What a router observed of a subject and an upstream that ended under it.

    Attributes:
      subject: Names what the upstream may have ended for, as
        `crash_evidence.encode_subject` does.
      upstream_start: Identifies the start of the upstream.
      is_cleared: Whether the end does not count any more, because a request of
        the subject has completed since.
      level: The level of the end, see `crash_evidence`; 0 if it is cleared.
      observer: Identifies who observed the end and for which time; empty if
        that is not known.
      is_withdrawn: Whether the upstream outlived what the observer took for its
        end. Releases that don't know this field take it for the end itself,
        which they know already.
    """

    subject: str
    upstream_start: str
    is_cleared: bool = False
    level: int = 0
    observer: str = ""
    is_withdrawn: bool = False


@attrs.frozen
class CrashReport:
    """Tells other routers what one of them observed of crashing requests.

    Attributes:
      report_id: Identifies the report.
      observations: The observations.
    """

    report_id: str
    observations: tuple[CrashObservation, ...]


@attrs.frozen
class OpenLoad:
    """The load that one or more routers have put on an upstream.

    Attributes:
      upstream: The upstream.
      open_requests: The number of their open requests there.
      waiting_tokens: The prompt tokens of these requests that the upstream has
        not processed yet.
    """

    upstream: str
    open_requests: int
    waiting_tokens: int


@attrs.frozen
class ReadPart:
    """A prompt part that an upstream processes and then keeps in its cache.

    Attributes:
      upstream: The upstream.
      part: The id of the prompt part.
    """

    upstream: str
    part: str


@attrs.frozen
class AccountWork:
    """What a client account asked of a service within a sliding window.

    Units are prompt tokens, or requests at services without generations.

    Attributes:
      service: The service.
      account: The name of the client account.
      admitted_units: The work that was admitted.
      refused_units: The work that was refused for want of room.
    """

    service: str
    account: str
    admitted_units: int
    refused_units: int


@attrs.frozen
class LoadNotice:
    """Notifies other routers of the load that routers have put on upstreams.

    It holds columns, since lists of numbers and texts are encoded and decoded
    many times faster than lists of records.

    Attributes:
      upstreams: The upstreams that have open requests of the sender or of the
        routers that it reports for.
      open_requests: The number of these requests, by upstream.
      waiting_tokens: Their prompt tokens that wait for prefill, by upstream.
      part_upstreams: The upstreams that began to process prompt parts for them
        since the last notice. A part that was sent recently may be left out.
      part_ids: The ids of these prompt parts.
      work_services: The services of the work of client accounts that is
        reported, see `AccountWork`; empty while there is room enough.
      work_accounts: The client account of each.
      admitted_units: The work of each that was admitted.
      refused_units: The work of each that was refused.
    """

    upstreams: tuple[str, ...] = ()
    open_requests: tuple[int, ...] = ()
    waiting_tokens: tuple[int, ...] = ()
    part_upstreams: tuple[str, ...] = ()
    part_ids: tuple[str, ...] = ()
    work_services: tuple[str, ...] = ()
    work_accounts: tuple[str, ...] = ()
    admitted_units: tuple[int, ...] = ()
    refused_units: tuple[int, ...] = ()

    def list_loads(self) -> tuple[OpenLoad, ...]:
        """Returns the load of each upstream."""
        columns = (self.upstreams, self.open_requests, self.waiting_tokens)
        return tuple(map(OpenLoad, *columns))

    def list_parts(self) -> tuple[ReadPart, ...]:
        """Returns the prompt parts."""
        return tuple(map(ReadPart, self.part_upstreams, self.part_ids))

    def list_works(self) -> tuple[AccountWork, ...]:
        """Returns the work of client accounts."""
        columns = (self.work_services, self.work_accounts)
        units = (self.admitted_units, self.refused_units)
        return tuple(map(AccountWork, *columns, *units))


def make_load_notice(
    loads: Sequence[OpenLoad],
    parts: Sequence[ReadPart],
    works: Sequence[AccountWork] = (),
) -> LoadNotice:
    """Returns a notice of loads, prompt parts and the work of accounts."""
    return LoadNotice(
        tuple(load.upstream for load in loads),
        tuple(load.open_requests for load in loads),
        tuple(load.waiting_tokens for load in loads),
        tuple(part.upstream for part in parts),
        tuple(part.part for part in parts),
        tuple(work.service for work in works),
        tuple(work.account for work in works),
        tuple(work.admitted_units for work in works),
        tuple(work.refused_units for work in works),
    )


@attrs.frozen
class QuarantineNotice:
    """Notifies other routers that a request is quarantined, or no longer.

    Attributes:
      client_account: The account that sends the request.
      body_digest: The digest of the request's target and body.
      until_ms: When the quarantine expires.
      changed_at_ms: When it was set or lifted; the latest change applies.
      is_lifted: Whether an operator lifted it.
      author: The operator who lifted it, or the router that set it.
    """

    client_account: str
    body_digest: bytes
    until_ms: int
    changed_at_ms: int
    is_lifted: bool = False
    author: str = ""


@attrs.frozen
class LeavingNotice:
    """Notifies other routers that an upstream accepts no new work.

    Attributes:
      upstream: The upstream's name.
      seen_at_ms: When the response that stated it was received.
      born_ms: The upstream's start time; 0 if it is not known.
    """

    upstream: str
    seen_at_ms: int
    born_ms: int = 0


@attrs.frozen
class LoadReport:
    """The load that an engine reports.

    Attributes:
      running: The number of requests that it is running.
      queued: The number of requests that wait for a slot there.
      slots: The number of requests that it can run concurrently.
      at_ms: The time of these figures, which may be seconds ago.
    """

    running: int
    queued: int
    slots: int
    at_ms: int


@attrs.frozen
class Ticket:
    """The properties of a request that queueing and routing depend on.

    Attributes:
      ticket_id: Identifies the request within its router.
      client_account: The account that sent it.
      kind: The kind of work.
      priority: Its priority; lower numbers go first.
      deadline_ms: When the response must be complete.
      prompt_tokens: The size of the prompt.
      expected_output_tokens: The expected size of the response.
      arrived_at_ms: When it arrived.
      prefix_digests: The digests of prefixes of its prompt, shortest first.
      body_digest: The digest of its target and body, which identifies the
        request in crash notices.
      is_suspect: Whether an upstream crashed while running it before.
      excluded_upstreams: The upstreams where earlier attempts failed.
    """

    ticket_id: int
    client_account: str
    kind: configuration.WorkKind
    priority: int
    deadline_ms: int
    prompt_tokens: int
    expected_output_tokens: int
    arrived_at_ms: int
    prefix_digests: tuple[bytes, ...] = ()
    body_digest: bytes = b""
    is_suspect: bool = False
    excluded_upstreams: frozenset[str] = frozenset()

    @property
    def cost_tokens(self) -> int:
        """The cost of the request for fair queueing between accounts."""
        return self.prompt_tokens + self.expected_output_tokens
