"""What routers report about themselves to answer an operator's query."""

import attrs


@attrs.frozen
class RunningRequest:
    """A request that a router is working on.

    Attributes:
      account: The client account.
      pool: The model or service.
      kind: The kind of work.
      upstream: Where it runs, or empty while it is queued.
      state: `queued`, `running` or `settling`.
      started_ms: When it arrived.
    """

    account: str
    pool: str
    kind: str
    upstream: str
    state: str
    started_ms: int


@attrs.frozen
class UpstreamStatus:
    """What a router knows of an upstream.

    Attributes:
      upstream: Its name.
      state: `live`, `leaving`, `ejected` or `unreachable`.
      running: Requests that it runs, by its own last report.
      queued: Requests that it has queued, by its own last report.
      reported_ms: When it reported, 0 for never.
    """

    upstream: str
    state: str
    running: int
    queued: int
    reported_ms: int


@attrs.frozen
class QuarantinedRequest:
    """A request that is refused because upstreams crashed with it.

    Attributes:
      account: The client account that sent it.
      digest: The digest of its body.
      until_ms: When the quarantine ends by itself.
      author: The router that set it.
    """

    account: str
    digest: bytes
    until_ms: int
    author: str


@attrs.frozen
class StatusQuery:
    """Asks a router for its status.

    Attributes:
      wants_running: Whether the reply should list running requests.
      wants_upstreams: Whether the reply should list upstreams.
    """

    wants_running: bool = False
    wants_upstreams: bool = False


@attrs.frozen
class StatusReport:
    """A router's answer to a `StatusQuery`.

    Attributes:
      host: The router's host.
      zone: Its availability zone.
      version: The configuration version in force there.
      current_ms: When that version was last known to be the newest.
      reported_ms: The router's clock at the answer.
      running: Its requests, if asked for.
      upstreams: Its view of upstreams, if asked for.
    """

    host: str
    zone: str
    version: int
    current_ms: int
    reported_ms: int
    running: tuple[RunningRequest, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
