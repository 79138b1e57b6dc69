"""The immutable records of requests that are forwarded by route.

A route table is one configuration version. It maps the host and path of a
request to a service, and defines how often the request may run and which
client accounts may call. Upstreams are the running instances of a service. The
modules in `platform/` build these records from the platform's documents.
"""

import enum

import attrs


class RequestKind(enum.Enum):
    """The kind of a request, which decides whether it may be repeated.

    Attributes:
      IDEMPOTENT: May run more than once.
      NON_IDEMPOTENT: May run at most once.
      STREAMING: Has an event stream as its response. May run at most once,
        unless the route allows streams to be resumed.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.frozen
class WeightedService:
    """One target of a route; requests are split in proportion to weights."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests of one host and path prefix are handled.

    Attributes:
      name: The route's name, for logs.
      host: The value of the `Host` header, in lower case.
      path_prefix: The prefix of the path; it ends with a slash.
      kind: The kind of its requests.
      services: The services that its requests are forwarded to.
      timeout_ms: The maximum time until a request has its response.
      target_latency_ms: The time within which responses should arrive.
      max_attempts: The maximum of upstreams that one request is sent to.
      priority: The priority of its requests; lower numbers go first.
      is_public: Whether requests need no key.
      is_resumable: Whether an interrupted stream may be resumed at another
        upstream.
      home_regions: The regions that its requests are confined to; empty for
        no limit.
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
    home_regions: frozenset[str] = frozenset()

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be retried after it may have run."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


@attrs.frozen
class Service:
    """A pool of equivalent upstreams.

    It belongs to `redwingchute gateway`; the router's plain services are
    `configuration.Service` records.

    Attributes:
      name: The service's name.
      max_connections: The maximum of connections that one upstream accepts
        from all routers; 0 if none is stated.
      tokens_per_event: The output tokens in one event of a stream; 0 for
        services that do not generate tokens.
      cold_start_ms: How long an upstream is cold after its start.
      cold_requests_per_s: The requests a second that a cold upstream bears of
        all routers together; 0 if upstreams are never cold.
    """

    name: str
    max_connections: int = 0
    tokens_per_event: int = 0
    cold_start_ms: int = 0
    cold_requests_per_s: float = 0.0


@attrs.frozen
class ClientAccount:
    """A client account that may send requests.

    It belongs to `redwingchute gateway`; the router's client accounts are
    `configuration.ClientAccount` records.

    Attributes:
      name: The account's name, which is sent to upstreams instead of the key.
      keys: The keys that its requests may carry.
      priority: The priority of its requests; None if that of the route
        applies.
      prepaid_tokens: The total of tokens that it may consume; None for no
        limit.
      home_regions: The regions that its requests are confined to; empty for
        no limit.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    prepaid_tokens: int | None = None
    home_regions: frozenset[str] = frozenset()


@attrs.frozen
class ConnectionLimits:
    """Limits for the connections of callers.

    Attributes:
      header_bytes: The maximum size of the request line and headers together.
      body_bytes: The maximum size of a request's body.
      receive_ms: The maximum wait for more bytes of a request that has begun.
      idle_ms: The maximum wait for the next request on an open connection.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    receive_ms: int = 3_000
    idle_ms: int = 15_000


@attrs.frozen
class RouteTable:
    """The routes, services and accounts of one configuration version.

    Attributes:
      version: The configuration version; it increases, with gaps.
      routes: All routes.
      services: All services.
      accounts: All client accounts; if there are none, requests need no key.
      limits: The limits for the connections of callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    limits: ConnectionLimits = ConnectionLimits()


@attrs.frozen
class UpstreamStart:
    """Identifies one start of an instance of a service.

    Attributes:
      id: The id of the instance.
      born_ms: Its start time, in milliseconds since the Unix epoch; 0 if it is
        not known.
    """

    id: str
    born_ms: int


@attrs.frozen
class Upstream:
    """One running instance of a service.

    It belongs to `redwingchute gateway`; the router's upstreams are
    `configuration.Upstream` records.

    Attributes:
      id: Identifies this start of the instance; a later instance may have the
        same address.
      service: The name of its service.
      address: Its `ip:port`.
      zone: Its availability zone.
      is_ready: Whether it accepts new requests; false while it is draining.
      slots: The number of requests that it runs concurrently.
      born_ms: Its start time, in milliseconds since the Unix epoch; 0 if it
        is not known.
      sequence: Rises with each entry that the instance writes.
      version: The version of its software; empty if it is not known. Versions
        have no order.
      cold_ms: How long it stays cold, in milliseconds from when it wrote the
        entry; None if the entry does not state it.
    """

    id: str
    service: str
    address: str
    zone: str
    is_ready: bool
    slots: int = 1
    born_ms: int = 0
    sequence: int = 0
    version: str = ""
    cold_ms: int | None = None

    @property
    def revision(self) -> tuple[int, int]:
        """Orders the entries under one id; a later entry's is greater."""
        return self.born_ms, self.sequence

    @property
    def start(self) -> UpstreamStart:
        """The start of the instance; another one is another upstream."""
        return UpstreamStart(self.id, self.born_ms)


@attrs.frozen
class PromptPart:
    """A part of a prompt; parts with equal ids have equal texts."""

    id: str
    tokens: int


@attrs.frozen
class Generation:
    """The generation that a request asks of a model.

    Attributes:
      prompt_tokens: The number of input tokens, including cached parts.
      max_output_tokens: The maximum of tokens to generate.
      parts: The parts of the prompt in order; the last one is specific to the
        request.
    """

    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have in common with this one."""
        return self.parts[:-1]

    @property
    def max_tokens(self) -> int:
        """The maximum of tokens that the request can be charged."""
        return self.prompt_tokens + self.max_output_tokens


@attrs.frozen
class ForwardRequest:
    """The properties of a caller's request that decisions depend on.

    Attributes:
      id: Identifies the request; a retry by the caller has another id.
      host: The value of the `Host` header, in lower case.
      path: The path without the query.
      patience_ms: How long the caller waits for the response; None if the
        request does not specify it.
      key: The key that it carries, or None.
      generation: The generation that it asks for, or None.
      last_event_id: The last event that the caller received of an interrupted
        stream, or None.
      resumed_id: The id of the request that brought the first event of that
        stream, or None.
      body_bytes: The size of its body.
    """

    id: str
    host: str
    path: str
    patience_ms: int | None = None
    key: str | None = None
    generation: Generation | None = None
    last_event_id: int | None = None
    resumed_id: str | None = None
    body_bytes: int = 0
