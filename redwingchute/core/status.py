"""The status reports with which routers reply to operators' queries."""

import attrs


@attrs.frozen
class RunningRequest:
    """A request that a router has not finished.

    Attributes:
      account: The client account.
      pool: The model or service.
      kind: The kind of work.
      upstream: The upstream that runs it; empty while it is queued.
      state: `queued` or `running`.
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
    """The state of an upstream as one router sees it.

    Attributes:
      upstream: Its name.
      state: `live`, `leaving`, `ejected` or `unreachable`.
      running: The number of requests that it runs, by its last report.
      queued: The number of requests in its queue, by its last report.
      reported_ms: The time of its last report; 0 if there was none.
    """

    upstream: str
    state: str
    running: int
    queued: int
    reported_ms: int


@attrs.frozen
class QuarantinedRequest:
    """A request that is refused because upstreams crashed while running it.

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
    """Requests the status of a router.

    Attributes:
      wants_running: Whether the reply should list running requests.
      wants_upstreams: Whether the reply should list upstreams.
    """

    wants_running: bool = False
    wants_upstreams: bool = False


@attrs.frozen
class StatusReport:
    """A router's reply to a `StatusQuery`.

    Attributes:
      host: The router's host.
      zone: Its availability zone.
      version: The configuration version in force there.
      current_ms: When that version was last known to be the newest.
      reported_ms: The time of the reply on the router's clock.
      running: Its unfinished requests, if requested.
      upstreams: The upstreams as it sees them, if requested.
    """

    host: str
    zone: str
    version: int
    current_ms: int
    reported_ms: int
    running: tuple[RunningRequest, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
