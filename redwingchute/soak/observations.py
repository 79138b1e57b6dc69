"""What callers and upstreams saw during a soak, and the faults it injected.

These records are all that the checks use: no log of a router is evidence.
"""

from collections.abc import Iterable
import enum
import json
import math
import pathlib
from typing import Any

import attrs

# The name of a fault that a stand-in simulates.
PATCH = "patch"
# The name of a crowd of clients that misbehave.
CROWD = "crowd"


class Kind(enum.StrEnum):
    """The kinds of requests; the values are the names of their routes."""

    IDEMPOTENT = "lookup"
    NON_IDEMPOTENT = "post"
    STREAM = "draft"
    RESUMABLE_STREAM = "summary"

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in (Kind.IDEMPOTENT, Kind.RESUMABLE_STREAM)

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE_STREAM)

    @property
    def max_attempts(self) -> int:
        """The largest number of upstreams that may get one request."""
        return 3 if self.is_repeatable else 2

    @property
    def service(self) -> str:
        """The name of the service that runs the requests."""
        return "llm" if self.is_stream else "ledger"


class Outcome(enum.StrEnum):
    """How an attempt of a caller ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    GAVE_UP = "gave_up"
    NOT_CONNECTED = "not_connected"
    UNANSWERED = "unanswered"


@attrs.frozen
class CallerAttempt:
    """One attempt of a caller, with an id of its own.

    Attributes:
      request_id: The id of the attempt.
      kind: The kind of request.
      host: The host that it was sent to.
      sent_ms: When it was sent, in Unix milliseconds.
      ended_ms: When it ended.
      deadline_ms: How long the caller waits for the response.
      outcome: How it ended.
      output_tokens: The number of events that a complete stream has.
      status: The HTTP status; 0 if no response began.
      response_id: The id in the response, if any.
      is_signed: Whether the response has the signature of an upstream.
      body: The part of the body that arrived.
    """

    request_id: str
    kind: Kind = attrs.field(converter=Kind)
    host: str
    sent_ms: int
    ended_ms: int
    deadline_ms: int
    outcome: Outcome = attrs.field(converter=Outcome)
    output_tokens: int = 0
    status: int = 0
    response_id: str | None = None
    is_signed: bool = False
    body: str = ""


@attrs.frozen
class UpstreamEvent:
    """An arrival, run or response that an upstream recorded.

    Attributes:
      at_ms: The time in Unix milliseconds.
      event: `arrived`, `ran`, `answered` except for streams, or `sent_extra`.
      upstream: The id of the upstream's start: its name and a number.
      service: The name of its service.
      request_id: The id of the request.
      status: The status of a response.
      named_limit: The limit of requests a second that the upstream names when
        a request arrives; empty for none.
      version: The software version of the upstream that runs a request.
      is_resumed: Whether the run goes on with a stream that has begun.
      is_crashing: Whether the run ends the upstream.
    """

    at_ms: int
    event: str
    upstream: str
    service: str
    request_id: str
    status: int = 0
    named_limit: str = ""
    version: str = ""
    is_resumed: bool = False
    is_crashing: bool = False


@attrs.frozen
class AppliedFault:
    """A fault that was in force for some time.

    Attributes:
      from_ms: When it began, in Unix milliseconds.
      until_ms: When it ended.
      target: The process.
      name: The signal that the process got, or `PATCH`.
      details: Its parameters.
    """

    from_ms: int
    until_ms: int
    target: str
    name: str
    details: str = ""

    def overlaps(self, from_ms: int, until_ms: int) -> bool:
        """Returns whether the fault was in force in a span of time."""
        return self.from_ms <= until_ms and self.until_ms >= from_ms


@attrs.frozen
class Usage:
    """What a process of a host used, or may use.

    Attributes:
      host: The host; empty for what any may use.
      memory_mb: The most memory, as resident set.
      descriptors: The most descriptors.
    """

    host: str
    memory_mb: float
    descriptors: int


@attrs.frozen
class RetryLimit:
    """The limit of the retries at a service, over all routers.

    Attributes:
      ratio: The retries allowed for each request.
      slack: The additional retries allowed in a window.
      window_ms: The length of a window.
    """

    ratio: float
    slack: float
    window_ms: int


@attrs.frozen
class Observations:
    """All that was observed in a run.

    Attributes:
      attempts: The attempts of all callers.
      events: The events of all upstreams, ordered by time.
      faults: The faults that were injected.
      retry_limit: The limit of retries that the hosts were given.
      unexpected_ends: The programs whose processes ended by themselves.
      max_lag_ms: The longest delay of the soak's own process.
      unread_messages: The messages that the last processes of the hosts could
        not decode.
      usages: The most that a process of each host used.
      usage_limit: What a process may use by its settings.
    """

    attempts: tuple[CallerAttempt, ...]
    events: tuple[UpstreamEvent, ...]
    faults: tuple[AppliedFault, ...]
    retry_limit: RetryLimit
    unexpected_ends: tuple[str, ...] = ()
    max_lag_ms: int = 0
    unread_messages: int = 0
    usages: tuple[Usage, ...] = ()
    usage_limit: Usage = Usage("", math.inf, 2**31)


def append_record(path: pathlib.Path, record: attrs.AttrsInstance) -> None:
    """Appends a record to a file as a line of JSON."""
    with path.open("a") as file:
        file.write(json.dumps(attrs.asdict(record)) + "\n")


def read_upstream_events(
    paths: Iterable[pathlib.Path],
) -> tuple[UpstreamEvent, ...]:
    """Returns the events in the files of all upstreams, ordered by time."""
    events = [
        UpstreamEvent(**fields)
        for path in paths
        for fields in _read_lines(path)
    ]
    return tuple(sorted(events, key=lambda event: event.at_ms))


def _read_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    """Returns the JSON objects of a file, without an unfinished last line."""
    lines = path.read_text().splitlines(keepends=True)
    return [json.loads(line) for line in lines if line.endswith("\n")]
