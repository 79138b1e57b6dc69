"""The statements of a scripted scenario, as immutable records.

Every step has the line number of its statement, for findings and failures.
Names refer to the routers, upstreams, budgets and requests of the scenario.
Durations are in milliseconds. A comparison is "=", "<=" or ">=", with the
observed number on its left.
"""

import enum
from typing import TypeAlias

import attrs

# The name of the platform in cuts.
PLATFORM = "platform"


class Action(enum.StrEnum):
    """An action on a router's process.

    Attributes:
      START: Starts it.
      STOP: Requests a graceful shutdown.
      KILL: Ends it at once.
      FREEZE: Suspends it; its connections stay open.
      RESUME: Resumes it.
      REPLACE: Starts a new process on the same address; a process that was
        frozen there stays frozen.
      THAW: Resumes the former, frozen process of a replaced router.
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
      ANSWERED: A whole response came.
      NOT_RUN: A refusal says that nothing was sent to an upstream.
      FAILED: A refusal says that it was not completed but may have run.
      OUTCOME_UNKNOWN: A refusal says that it may have run.
      CUT_OFF: The connection ended without a whole response or refusal.
      PENDING: It has not ended yet.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CUT_OFF = "cut_off"
    PENDING = "pending"


class CommandVerdict(enum.StrEnum):
    """How an operator's command ended.

    Attributes:
      UNKNOWN: No response came, or one that says that the outcome is unknown.
    """

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
    """A runner of a model or an instance of a plain service.

    Attributes:
      name: Its name.
      zone: Its availability zone.
      pool: The model or plain service.
      is_engine: Whether it runs a model.
      is_repeatable: Whether calls of the plain service may be repeated.
    """

    name: str
    zone: str
    pool: str
    is_engine: bool
    is_repeatable: bool = True


@attrs.frozen
class Account:
    """A client account with its prepaid budget.

    Attributes:
      name: Its name.
      budget: The name of its budget.
      tokens: The tokens of the first top-up.
      reserve_share: The largest part of a holder's share of the budget that it
        gets as reserve, from 0 to 1.
    """

    name: str
    budget: str
    tokens: int
    reserve_share: float


@attrs.frozen
class Lifecycle:
    """Starts, stops, suspends, resumes or replaces a router's process."""

    line: int
    action: Action
    router: str


@attrs.frozen
class Cut:
    """Cuts two zones, routers, upstreams or the platform from each other."""

    line: int
    one: str
    other: str


@attrs.frozen
class Heal:
    """Ends the cut between the same two names."""

    line: int
    one: str
    other: str


@attrs.frozen
class HealAll:
    """Ends all cuts."""

    line: int


@attrs.frozen
class PlatformFault:
    """Changes the platform's faults; None leaves a fault as it is.

    Attributes:
      is_down: Whether it is unreachable.
      slow_ms: The delay of every request.
      lose_answers: The number of next appends that take effect but get no
        response.
    """

    line: int
    is_down: bool | None = None
    slow_ms: int | None = None
    lose_answers: int | None = None


@attrs.frozen
class PlatformTrim:
    """Trims the older records of every stream."""

    line: int


@attrs.frozen
class UpstreamFault:
    """Changes the faults of an upstream; None leaves a fault as it is.

    Attributes:
      is_leaving: Whether it refuses new work because it leaves.
      crash_on_text: An engine crashes on prompts that contain this text.
      cut_after_tokens: An engine cuts its responses off after this many tokens.
      slow_ms: The time of an engine to produce one token, or the duration of a
        call of a plain service.
      close_before_run: The number of next calls that a plain service does not
        run; it closes their connections.
      close_after_run: The number of next calls that a plain service runs, but
        closes the connection without a response.
    """

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
    """Waits for a duration."""

    line: int
    duration_ms: int


@attrs.frozen
class Request:
    """Sends a request without waiting for its end.

    Attributes:
      name: The name that expectations use.
      account: The client account.
      router: The router that receives it.
      pool: The model or plain service.
      text: The prompt, or the body of a plain call.
      is_call: Whether it is a call of a plain service.
      key: The idempotency key, empty for none.
      patience_ms: The caller's patience, 0 for that of the schedule.
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
    """Sends an operator's command to a router without waiting for it.

    Attributes:
      name: The name that expectations use.
      router: The router that receives it.
      text: The command.
    """

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
    """Expects a number of settled tokens of a budget."""

    line: int
    budget: str
    comparison: str
    tokens: int


@attrs.frozen
class ExpectRuns:
    """Expects a number of runs of calls with an idempotency key."""

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
    """Expects that a number of attempts were sent to an upstream."""

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
      path: The name of its file.
      name: Its title.
      promises: The numbers of the service guarantees that it tests.
      is_live: Whether it also runs on real processes.
      routers: The routers; all are started before the first step.
      upstreams: Engines and plain services.
      accounts: Client accounts, each with one budget.
      steps: The steps, in order.
    """

    path: str
    name: str
    promises: tuple[int, ...]
    is_live: bool
    routers: tuple[Router, ...]
    upstreams: tuple[Upstream, ...]
    accounts: tuple[Account, ...]
    steps: tuple[Step, ...]
