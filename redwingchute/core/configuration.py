"""The immutable records of one configuration version.

A configuration is replaced as a whole: requests keep the version that they
began with, and nothing in it changes after it was built. Ledger amounts are
not part of it; a budget's credit lives in its ledger shard.
"""

import enum

import attrs


class WorkKind(enum.StrEnum):
    """The kinds of work that a caller names with `X-Work-Kind`."""

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
    """How long callers wait for one kind of work at some hours.

    Attributes:
      kind: The kind of work.
      from_minute: First minute of the local day, 0 to 1439.
      until_minute: The minute after the last; a smaller number than
        `from_minute` crosses midnight.
      weekdays: ISO weekdays, 1 for Monday to 7.
      deadline_ms: How long after its arrival an answer must have ended.
      priority: Lower numbers go first.
    """

    kind: WorkKind
    from_minute: int
    until_minute: int
    weekdays: tuple[int, ...]
    deadline_ms: int
    priority: int


@attrs.frozen
class ClientAccount:
    """A client account: who may call, and for what work.

    Attributes:
      name: The account's name.
      key_hashes: SHA-256 hashes of its bearer keys, in hex.
      budget: The name of the prepaid budget that its requests are charged to.
      models: The models that it may use.
      services: The plain services that it may call.
      time_zone: The IANA zone of its patience schedule.
      patience: Its schedule; the first matching rule counts.
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
      reserve_share: The share of the idle remainder that is placed as reserve
        with the routers, from 0 to 1.
      lease_horizon_ms: How long a lease should last at the measured demand.
    """

    name: str
    reserve_share: float = 1.0
    lease_horizon_ms: int = 2_000


@attrs.frozen
class Upstream:
    """One runner of a model or one instance of a plain service.

    Attributes:
      name: Its name, unique in the configuration.
      address: `ip:port` of its HTTP server.
      zone: Its availability zone.
      slots: How many requests it runs at once.
      checks_fencing: Whether it refuses an order with an old fencing number.
      honours_priority: Whether it orders its queue by priority.
      is_drained: Whether an operator has taken it out of use.
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
    """A model and the pool of runners that serves it.

    Attributes:
      name: The name that callers use.
      upstreams: Its runners.
      max_output_tokens: The bound of a request that names none.
      prompt_price: Budget tokens for one prompt token.
      output_price: Budget tokens for one output token.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    max_output_tokens: int = 1_024
    prompt_price: int = 1
    output_price: int = 1


@attrs.frozen
class Service:
    """A plain service beside the model engines.

    Attributes:
      name: The name in `/services/NAME/`.
      upstreams: Its instances.
      is_repeatable: Whether a call may run more than once.
      call_price: Budget tokens for one call.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    is_repeatable: bool = True
    call_price: int = 1


@attrs.frozen
class Operator:
    """A person who may query or command the system.

    Attributes:
      name: The name in the audit trail.
      key_hash: SHA-256 hash of the operator key, in hex.
      role: What the key may do.
    """

    name: str
    key_hash: str
    role: Role


@attrs.frozen
class RetryPolicy:
    """How often failed attempts may be repeated.

    Attributes:
      budget_ratio: Retries allowed for each first attempt of a pool.
      max_attempts: Attempts of one request in all.
      base_delay_ms: The first bound of the full-jitter delay.
      max_delay_ms: The largest bound of the delay.
    """

    budget_ratio: float = 0.1
    max_attempts: int = 3
    base_delay_ms: int = 20
    max_delay_ms: int = 1_000


@attrs.frozen
class Configuration:
    """One whole version of the configuration.

    Attributes:
      version: The log offset of the change that made it; 0 is empty.
    """

    version: int = 0
    client_accounts: tuple[ClientAccount, ...] = ()
    budgets: tuple[Budget, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    operators: tuple[Operator, ...] = ()
    retry: RetryPolicy = attrs.field(factory=RetryPolicy)
