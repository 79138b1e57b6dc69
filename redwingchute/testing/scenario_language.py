"""Reads scripted scenarios from text files.

A scenario is a file with one statement per line; `scenario.lark` holds the
grammar. Parsing returns the scenario or all findings, each with its file and
line, and never raises on invalid text.
"""

import functools
import pathlib
from typing import Any

import lark

from redwingchute.core import data
from redwingchute.testing import scenario_steps as steps

_GRAMMAR_PATH = pathlib.Path(__file__).with_name("scenario.lark")
_MS_PER_UNIT = {"ms": 1, "s": 1_000, "min": 60_000}
# The number of service guarantees; statements call them promises.
PROMISE_COUNT = 8


@functools.cache
def _make_parser() -> lark.Lark:
    """Returns the parser of the grammar."""
    return lark.Lark(
        _GRAMMAR_PATH.read_text(), parser="lalr", propagate_positions=True
    )


def load_scenario(
    path: pathlib.Path,
) -> tuple[steps.Scenario | None, tuple[data.Finding, ...]]:
    """Reads the scenario of a file; see `parse_scenario`."""
    return parse_scenario(path.name, path.read_text())


def parse_scenario(
    path: str, text: str
) -> tuple[steps.Scenario | None, tuple[data.Finding, ...]]:
    """Parses a scenario.

    Args:
      path: The name of the file, for findings.
      text: Its text.

    Returns:
      The scenario, or None with every finding.
    """
    try:
        tree = _make_parser().parse(text)
    except lark.UnexpectedInput as error:
        line = getattr(error, "line", -1)
        message = f"The line is not a statement of the language: {error}"
        first_line = message.split("\n")[0]
        return None, (data.Finding(f"{path}:{line}", first_line),)
    builder = _Builder(path)
    for node in tree.children:
        builder.add(node)
    return builder.build()


class _Builder:
    """Collects the statements of one scenario and checks their names."""

    def __init__(self, path: str) -> None:
        """Starts empty."""
        self._path = path
        self._name = ""
        self._promises: list[int] = []
        self._needs_promise = True
        self._is_live = False
        self._routers: list[steps.Router] = []
        self._upstreams: list[steps.Upstream] = []
        self._accounts: list[steps.Account] = []
        self._steps: list[steps.Step] = []
        self._findings: list[data.Finding] = []

    def add(self, node: Any) -> None:
        """Adds one statement."""
        line = node.meta.line
        values = [_read_token(child) for child in node.children]
        match node.data:
            case "scenario":
                self._name = values[0]
            case "promise":
                self._add_promises(line, values)
            case "no_promise":
                self._needs_promise = False
            case "live":
                self._is_live = True
            case "zone":
                zone, *names = values
                self._routers += [steps.Router(name, zone) for name in names]
            case "engine":
                name, zone, pool = values
                self._upstreams.append(steps.Upstream(name, zone, pool, True))
            case "service":
                name, zone, pool, mark = values
                self._upstreams.append(
                    steps.Upstream(name, zone, pool, False, mark is None)
                )
            case "account":
                name, budget, tokens, share = values
                self._accounts.append(
                    steps.Account(name, budget, int(tokens), float(share or 1))
                )
            case _:
                self._steps.append(_make_step(line, str(node.data), values))

    def build(
        self,
    ) -> tuple[steps.Scenario | None, tuple[data.Finding, ...]]:
        """Returns the scenario, or None with all findings."""
        if not self._name:
            self._add_finding(1, "A scenario needs a line 'scenario \"name\"'.")
        if not self._promises and self._needs_promise:
            message = "A scenario needs 'promise N' or 'no promise'."
            self._add_finding(1, message)
        self._check_names()
        if self._findings:
            return None, tuple(self._findings)
        scenario = steps.Scenario(
            path=self._path,
            name=self._name,
            promises=tuple(self._promises),
            is_live=self._is_live,
            routers=tuple(self._routers),
            upstreams=tuple(self._upstreams),
            accounts=tuple(self._accounts),
            steps=tuple(self._steps),
        )
        return scenario, ()

    def _add_finding(self, line: int, message: str) -> None:
        """Adds a finding about a line."""
        self._findings.append(data.Finding(f"{self._path}:{line}", message))

    def _add_promises(self, line: int, values: list[Any]) -> None:
        """Adds the numbers of a `promise` statement."""
        for number in map(int, values):
            if 1 <= number <= PROMISE_COUNT:
                self._promises.append(number)
            else:
                message = f"Promises are numbered 1 to {PROMISE_COUNT}."
                self._add_finding(line, message)

    def _check_names(self) -> None:
        """Reports names that are not declared, or not before their use."""
        routers = {router.name for router in self._routers}
        zones = {router.zone for router in self._routers}
        upstreams = {upstream.name for upstream in self._upstreams}
        pools = {upstream.pool for upstream in self._upstreams}
        accounts = {account.name for account in self._accounts}
        budgets = {account.budget for account in self._accounts}
        places = routers | zones | upstreams | {steps.PLATFORM}
        requests = set()
        commands = set()
        for step in self._steps:
            match step:
                case steps.Lifecycle():
                    self._check_name(step.line, "router", step.router, routers)
                case steps.Cut() | steps.Heal():
                    self._check_name(step.line, "place", step.one, places)
                    self._check_name(step.line, "place", step.other, places)
                case steps.UpstreamFault() | steps.UpstreamRestart():
                    self._check_name(
                        step.line, "upstream", step.upstream, upstreams
                    )
                case steps.ExpectDispatched():
                    self._check_name(
                        step.line, "upstream", step.upstream, upstreams
                    )
                case steps.Request():
                    self._check_name(step.line, "router", step.router, routers)
                    self._check_name(
                        step.line, "account", step.account, accounts
                    )
                    self._check_name(step.line, "pool", step.pool, pools)
                    requests.add(step.name)
                case steps.Command():
                    self._check_name(step.line, "router", step.router, routers)
                    commands.add(step.name)
                case steps.ExpectOutcome():
                    self._check_name(
                        step.line, "request", step.request, requests
                    )
                case steps.ExpectCommand():
                    self._check_name(
                        step.line, "command", step.command, commands
                    )
                case steps.ExpectOneAccepted():
                    for name in step.commands:
                        self._check_name(step.line, "command", name, commands)
                case steps.ExpectSpend():
                    self._check_name(step.line, "budget", step.budget, budgets)
                case steps.ExpectVersion():
                    for name in step.routers:
                        self._check_name(step.line, "router", name, routers)

    def _check_name(
        self, line: int, what: str, name: str, known: set[str]
    ) -> None:
        """Reports a name that is not declared."""
        if name not in known:
            allowed = ", ".join(sorted(known)) or "none"
            message = f"There is no {what} '{name}'; there are: {allowed}."
            self._add_finding(line, message)


def _read_token(child: Any) -> Any:
    """Returns the value of a child of a statement.

    Durations are returned in milliseconds, options as pairs of name and value,
    and tokens as text without quotes.
    """
    if isinstance(child, lark.Tree):
        if child.data == "duration":
            number, unit = child.children
            return round(float(str(number)) * _MS_PER_UNIT[str(unit)])
        return (str(child.data), _read_token(child.children[0]))
    if child is None:
        return None
    return str(child).strip('"')


def _make_step(line: int, kind: str, values: list[Any]) -> steps.Step:
    """Builds the step of a statement that is not a declaration."""
    match kind:
        case "lifecycle":
            return steps.Lifecycle(line, steps.Action(values[0]), values[1])
        case "cut":
            return steps.Cut(line, *values)
        case "heal":
            return steps.Heal(line, *values)
        case "heal_all":
            return steps.HealAll(line)
        case "wait":
            return steps.Wait(line, values[0])
        case "request" | "call":
            return _make_request(line, kind == "call", values)
        case "operator":
            return steps.Command(line, *values)
        case _ if kind.startswith("expect_"):
            return _make_expectation(line, kind, values)
        case _:
            return _make_fault(line, kind, values)


def _make_request(line: int, is_call: bool, values: list[Any]) -> steps.Request:
    """Builds a request with its options."""
    name, account, router, pool, text, *options = values
    fields = {
        {"patience": "patience_ms"}.get(option, option): value
        for option, value in options
    }
    return steps.Request(
        line, name, account, router, pool, text, is_call, **fields
    )


def _make_fault(line: int, kind: str, values: list[Any]) -> steps.Step:
    """Builds a step that changes faults, trims streams or restarts engines."""
    match kind:
        case "platform_down":
            return steps.PlatformFault(line, is_down=True)
        case "platform_up":
            return steps.PlatformFault(line, is_down=False, slow_ms=0)
        case "platform_slow":
            return steps.PlatformFault(line, slow_ms=values[0])
        case "platform_loses":
            return steps.PlatformFault(line, lose_answers=int(values[0]))
        case "platform_trims":
            return steps.PlatformTrim(line)
        case "upstream_leaves":
            return steps.UpstreamFault(line, values[0], is_leaving=True)
        case "upstream_returns":
            return steps.UpstreamFault(line, values[0], is_leaving=False)
        case "upstream_restarts":
            return steps.UpstreamRestart(line, values[0])
        case "upstream_slow":
            return steps.UpstreamFault(line, values[0], slow_ms=values[1])
        case "engine_crashes":
            return steps.UpstreamFault(line, values[0], crash_on_text=values[1])
        case "engine_cuts":
            count = int(values[1])
            return steps.UpstreamFault(line, values[0], cut_after_tokens=count)
        case "service_closes" if values[1] == "before":
            count = int(values[2])
            return steps.UpstreamFault(line, values[0], close_before_run=count)
        case "service_closes":
            count = int(values[2])
            return steps.UpstreamFault(line, values[0], close_after_run=count)
        case _:
            return steps.UpstreamFault(
                line, values[0], close_before_run=0, close_after_run=0
            )


def _make_expectation(line: int, kind: str, values: list[Any]) -> steps.Step:
    """Builds an expectation."""
    match kind:
        case "expect_outcome":
            outcomes = tuple(steps.Outcome(word) for word in values[1:])
            return steps.ExpectOutcome(line, values[0], outcomes)
        case "expect_spend":
            return steps.ExpectSpend(line, values[0], values[1], int(values[2]))
        case "expect_runs":
            return steps.ExpectRuns(line, values[0], values[1], int(values[2]))
        case "expect_version":
            return steps.ExpectVersion(line, tuple(values))
        case "expect_one_accepted":
            return steps.ExpectOneAccepted(line, tuple(values))
        case "expect_operator":
            verdicts = tuple(steps.CommandVerdict(word) for word in values[1:])
            return steps.ExpectCommand(line, values[0], verdicts)
        case _:
            return steps.ExpectDispatched(
                line, values[0], values[1], int(values[2])
            )
