"""The immutable records of requests that are forwarded by route.

A route table is one configuration version. It says which service a request
goes to by its host and path, how often it may run, and which client accounts
may call. Upstreams are the instances that serve now. These records hold what
the platform's documents say, in the project's own terms; the adapter in
`platform/` builds them.
"""

import enum

import attrs


class RequestKind(enum.Enum):
    """What may be repeated.

    Attributes:
      IDEMPOTENT: May run more than once.
      NON_IDEMPOTENT: May run once at most.
      STREAMING: Answers with events; may run once at most unless the route
        allows a stream to be resumed.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.frozen
class WeightedService:
    """One target of a route; requests are split by weight."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests of one host and path prefix are handled.

    Attributes:
      name: The route's name, for logs.
      host: The host name that requests carry, in lower case.
      path_prefix: What the path begins with; ends with a slash.
      kind: What may be repeated.
      services: Where requests go.
      timeout_ms: The longest that a request is kept waiting for its answer.
      target_latency_ms: Within this time an answer is worth most.
      max_attempts: The most upstreams that one request is sent to.
      priority: The rank of its requests; lower numbers go first.
      is_public: Whether requests need no key.
      is_resumable: Whether a broken stream may go on at another upstream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_ms: int
    target_latency_ms: int
    max_attempts: int = 1
    priority: int = 0
    is_public: bool = False
    is_resumable: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


@attrs.frozen
class Service:
    """A pool of upstreams that do the same work.

    Attributes:
      name: The service's name.
      max_connections: The connections that one upstream accepts in all.
      tokens_per_event: Output tokens in one event of a stream; 0 for services
        that do not generate.
    """

    name: str
    max_connections: int = 0
    tokens_per_event: int = 0


@attrs.frozen
class ClientAccount:
    """Who may call.

    Attributes:
      name: The account's name, which upstreams see in place of the key.
      keys: The keys that its requests may carry.
      priority: The rank of its requests, before the route's; None when the
        route's counts.
      prepaid_tokens: All tokens that it may consume; None without a limit.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    prepaid_tokens: int | None = None


@attrs.frozen
class ConnectionLimits:
    """What a caller's connection may cost.

    Attributes:
      header_bytes: The request line and headers together.
      body_bytes: The body of one request.
      receive_ms: The time for one request to arrive.
      idle_ms: The wait for the next request on an open connection.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    receive_ms: int = 3_000
    idle_ms: int = 15_000


@attrs.frozen
class RouteTable:
    """One configuration version.

    Attributes:
      version: Counts up, not always by one.
      routes: All routes.
      services: All services.
      accounts: All client accounts; without any, requests need no key.
      limits: What a caller's connection may cost.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    limits: ConnectionLimits = ConnectionLimits()


@attrs.frozen
class Upstream:
    """One running instance of a service.

    Attributes:
      id: Names this start of the instance; its address may be used again.
      service: The service that it serves.
      address: `ip:port`.
      zone: Its availability zone.
      is_ready: Whether it takes new work; false while it leaves.
      slots: The requests that it works on at once.
      born_ms: When it started, in milliseconds since the epoch.
    """

    id: str
    service: str
    address: str
    zone: str
    is_ready: bool
    slots: int = 1
    born_ms: int = 0


@attrs.frozen
class PromptPart:
    """A part of a prompt; parts with the same id have the same text."""

    id: str
    tokens: int


@attrs.frozen
class Generation:
    """What a request asks of a model.

    Attributes:
      prompt_tokens: All input tokens, cached parts included.
      max_output_tokens: The most that may be generated.
      parts: The prompt in order; the last part is the request's own.
    """

    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests have too."""
        return self.parts[:-1]

    @property
    def max_tokens(self) -> int:
        """The most that the request can be charged."""
        return self.prompt_tokens + self.max_output_tokens


@attrs.frozen
class ForwardRequest:
    """A caller's request as decisions see it.

    Attributes:
      id: Names this try of the caller's; repeats by the caller have others.
      host: The host name that was asked for, in lower case.
      path: The path without the query.
      patience_ms: How long the caller waits for the answer; None when it
        does not say.
      key: The key that it carries, or None.
      generation: What it asks of a model, or None.
      last_event_id: The last event that the caller has of a broken stream,
        or None.
    """

    id: str
    host: str
    path: str
    patience_ms: int | None = None
    key: str | None = None
    generation: Generation | None = None
    last_event_id: int | None = None
