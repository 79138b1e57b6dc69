"""The immutable records of one configuration version of the router.

A configuration is replaced as a whole, and a request keeps the version that
was in force when it began. Token counts are not part of the configuration: the
credit of a budget is stored in its ledger shard.
"""

import enum

import attrs


class WorkKind(enum.StrEnum):
    """The kind of work, which a caller sets with the header `X-Work-Kind`."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    DOCUMENT = "document"
    LOOKUP = "lookup"


class Role(enum.StrEnum):
    """What an operator key may do; each role includes the one before."""

    READ = "read"
    BUDGET = "budget"
    ADMIN = "admin"


@attrs.frozen
class PatienceRule:
    """How long callers wait for one kind of work at certain hours.

    Attributes:
      kind: The kind of work.
      from_minute: The first minute of the local day, 0 to 1439.
      until_minute: The minute after the last one. If it is smaller than
        `from_minute`, the rule extends past midnight.
      weekdays: ISO weekdays, from 1 for Monday to 7 for Sunday.
      deadline_ms: The time from the arrival of a request within which its
        response must be complete.
      priority: The priority of the requests; lower numbers go first.
    """

    kind: WorkKind
    from_minute: int
    until_minute: int
    weekdays: tuple[int, ...]
    deadline_ms: int
    priority: int


@attrs.frozen
class ClientAccount:
    """A client account: its keys, its budget and what it may use.

    It belongs to `redwingchute router`; the gateway's client accounts are
    `forwarding.ClientAccount` records.

    Attributes:
      name: The account's name.
      key_hashes: The SHA-256 hashes of its bearer keys, in hexadecimal.
      budget: The name of the prepaid budget that its requests are charged to.
      models: The models that it may use.
      services: The plain services that it may call.
      time_zone: The IANA time zone of its patience rules.
      patience: Its patience rules; the first matching rule applies.
      is_suspended: Whether its requests are refused.
    """

    name: str
    key_hashes: tuple[str, ...]
    budget: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    time_zone: str = "UTC"
    patience: tuple[PatienceRule, ...] = ()
    is_suspended: bool = False


@attrs.frozen
class Budget:
    """The policy of a prepaid budget.

    Attributes:
      name: The budget's name.
      reserve_share: The share of the free remainder that is granted to the
        routers as reserve, from 0 to 1.
      lease_horizon_ms: How long a lease should last at the current demand.
    """

    name: str
    reserve_share: float = 1.0
    lease_horizon_ms: int = 2_000


@attrs.frozen
class Upstream:
    """An instance of a model engine or of a plain service.

    It belongs to `redwingchute router`; the gateway's upstreams are
    `forwarding.Upstream` records.

    Attributes:
      name: Its name, unique in the configuration.
      address: `ip:port` of its HTTP server.
      zone: Its availability zone.
      slots: The number of requests that it runs concurrently.
      checks_fencing: Whether it refuses requests with an old fencing number.
      honours_priority: Whether it orders its queue by priority.
      is_drained: Whether an operator has excluded it from new work.
    """

    name: str
    address: str
    zone: str
    slots: int = 8
    checks_fencing: bool = True
    honours_priority: bool = True
    is_drained: bool = False


@attrs.frozen
class Model:
    """A model and the pool of upstreams that serves it.

    Attributes:
      name: The name that callers use.
      upstreams: The instances that serve it.
      max_output_tokens: The maximum of output tokens for requests that set
        none.
      prompt_price: The budget tokens that one prompt token costs.
      output_price: The budget tokens that one output token costs.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    max_output_tokens: int = 1_024
    prompt_price: int = 1
    output_price: int = 1


@attrs.frozen
class Service:
    """A plain service, which is not a model.

    It belongs to `redwingchute router`; the gateway's services are
    `forwarding.Service` records.

    Attributes:
      name: The name in the path `/services/NAME/`.
      upstreams: Its instances.
      is_repeatable: Whether a call may run more than once.
      call_price: The budget tokens that one call costs.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    is_repeatable: bool = True
    call_price: int = 1


@attrs.frozen
class Operator:
    """A person who may query or administer the system.

    Attributes:
      name: The name in the audit trail.
      key_hash: The SHA-256 hash of the operator key, in hexadecimal.
      role: What the key may do.
    """

    name: str
    key_hash: str
    role: Role


@attrs.frozen
class RetryPolicy:
    """How often failed attempts may be retried.

    Attributes:
      budget_ratio: The retries allowed per first attempt in a pool.
      max_attempts: The maximum of attempts for one request.
      base_delay_ms: The upper bound of the first delay, which has full jitter.
      max_delay_ms: The largest upper bound of a delay.
    """

    budget_ratio: float = 0.1
    max_attempts: int = 3
    base_delay_ms: int = 20
    max_delay_ms: int = 1_000


@attrs.frozen
class Configuration:
    """One version of the configuration.

    Attributes:
      version: The log offset of the change that created it plus one; 0 for
        the empty configuration.
      client_accounts: The client accounts.
      budgets: The prepaid budgets.
      models: The models.
      services: The plain services.
      operators: The operators.
      retry: The retry policy.
    """

    version: int = 0
    client_accounts: tuple[ClientAccount, ...] = ()
    budgets: tuple[Budget, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    operators: tuple[Operator, ...] = ()
    retry: RetryPolicy = attrs.field(factory=RetryPolicy)
