"""The statements of a scripted scenario, as immutable records.

Every step carries the line that it stands on, for findings and failures.
Names refer to the routers, upstreams, budgets and requests of the scenario.
Durations are in milliseconds.
"""

import enum
from typing import TypeAlias

import attrs

# The name by which cuts mean the platform's services.
PLATFORM = "platform"


class Action(enum.StrEnum):
    """What may be done to a router's process.

    Attributes:
      START: Starts it.
      STOP: Asks it for a planned stop.
      KILL: Ends it at once.
      FREEZE: Stops it from running without closing anything.
      RESUME: Lets it run again.
      REPLACE: Starts a new process on the same address; a process that was
        frozen there stays frozen.
      THAW: Lets the former, frozen process of a replaced router run again.
    """

    START = "start"
    STOP = "stop"
    KILL = "kill"
    FREEZE = "freeze"
    RESUME = "resume"
    REPLACE = "replace"
    THAW = "thaw"


class Outcome(enum.StrEnum):
    """How a request ended for its caller.

    Attributes:
      CUT_OFF: The connection ended without a whole answer or refusal.
      PENDING: It has not ended yet.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CUT_OFF = "cut_off"
    PENDING = "pending"


class CommandVerdict(enum.StrEnum):
    """How an operator's command ended; UNKNOWN when no answer came."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class Router:
    """A router of the scenario."""

    name: str
    zone: str


@attrs.frozen
class Upstream:
    """A runner of a model or an instance of a plain service."""

    name: str
    zone: str
    pool: str
    is_engine: bool
    is_repeatable: bool = True


@attrs.frozen
class Account:
    """A client account with its prepaid budget."""

    name: str
    budget: str
    tokens: int
    reserve_share: float


@attrs.frozen
class Lifecycle:
    """Does something to a router's process."""

    line: int
    action: Action
    router: str


@attrs.frozen
class Cut:
    """Cuts two zones, routers or the platform from each other."""

    line: int
    one: str
    other: str


@attrs.frozen
class Heal:
    """Ends a cut."""

    line: int
    one: str
    other: str


@attrs.frozen
class HealAll:
    """Ends all cuts."""

    line: int


@attrs.frozen
class PlatformFault:
    """Changes the platform's faults; None leaves a fault as it is."""

    line: int
    is_down: bool | None = None
    slow_ms: int | None = None
    lose_answers: int | None = None


@attrs.frozen
class PlatformTrim:
    """Trims every stream to the records that a reader still needs."""

    line: int


@attrs.frozen
class UpstreamFault:
    """Changes the faults of an upstream; None leaves a fault as it is."""

    line: int
    upstream: str
    is_leaving: bool | None = None
    crash_on_text: str | None = None
    cut_after_tokens: int | None = None
    slow_ms: int | None = None
    close_before_run: int | None = None
    close_after_run: int | None = None


@attrs.frozen
class UpstreamRestart:
    """Starts a crashed engine again."""

    line: int
    upstream: str


@attrs.frozen
class Wait:
    """Lets time pass."""

    line: int
    duration_ms: int


@attrs.frozen
class Request:
    """Sends a request and goes on without waiting for its end.

    Attributes:
      name: The name that expectations use.
      account: The client account.
      router: The router that gets it.
      pool: The model or plain service.
      text: The prompt, or the body of a plain call.
      is_call: Whether it is a call of a plain service.
      key: The idempotency key, empty for none.
      patience_ms: The caller's patience, 0 for the schedule's.
      kind: The kind of work.
    """

    line: int
    name: str
    account: str
    router: str
    pool: str
    text: str
    is_call: bool
    key: str = ""
    patience_ms: int = 0
    kind: str = "interactive"


@attrs.frozen
class Command:
    """Gives an operator's command at a router, without waiting for it."""

    line: int
    name: str
    router: str
    text: str


@attrs.frozen
class ExpectOutcome:
    """Expects a request to have ended in one of these ways."""

    line: int
    request: str
    outcomes: tuple[Outcome, ...]


@attrs.frozen
class ExpectSpend:
    """Compares what is settled of a budget."""

    line: int
    budget: str
    comparison: str
    tokens: int


@attrs.frozen
class ExpectRuns:
    """Compares how often plain services ran calls with a key."""

    line: int
    key: str
    comparison: str
    runs: int


@attrs.frozen
class ExpectVersion:
    """Expects the same configuration version in force at routers."""

    line: int
    routers: tuple[str, ...]


@attrs.frozen
class ExpectCommand:
    """Expects an operator's command to have ended in one of these ways."""

    line: int
    command: str
    verdicts: tuple[CommandVerdict, ...]


@attrs.frozen
class ExpectOneAccepted:
    """Expects that exactly one of several commands was accepted."""

    line: int
    commands: tuple[str, ...]


@attrs.frozen
class ExpectDispatched:
    """Compares how many attempts were sent to an upstream."""

    line: int
    upstream: str
    comparison: str
    attempts: int


Step: TypeAlias = (
    Lifecycle
    | Cut
    | Heal
    | HealAll
    | PlatformFault
    | PlatformTrim
    | UpstreamFault
    | UpstreamRestart
    | Wait
    | Request
    | Command
    | ExpectOutcome
    | ExpectSpend
    | ExpectRuns
    | ExpectVersion
    | ExpectCommand
    | ExpectOneAccepted
    | ExpectDispatched
)


@attrs.frozen
class Scenario:
    """A parsed scenario.

    Attributes:
      path: The file that it came from.
      name: What it shows.
      promises: The numbers of the promises that it is evidence for.
      is_live: Whether it also runs on real processes.
      routers: The routers; all are started before the first step.
      upstreams: Engines and plain services.
      accounts: Client accounts, each with one budget.
      steps: What happens, in order.
    """

    path: str
    name: str
    promises: tuple[int, ...]
    is_live: bool
    routers: tuple[Router, ...]
    upstreams: tuple[Upstream, ...]
    accounts: tuple[Account, ...]
    steps: tuple[Step, ...]
