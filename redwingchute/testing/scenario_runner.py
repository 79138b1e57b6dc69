"""Runs a scenario on a backend and checks invariants.

Besides the scenario's own expectations, the runner checks at the end, after
all cuts are healed:

- No process failed with an error.
- No budget was overspent.
- Every response has the expected text.
- Every answered request with an idempotency key is billed.
- No key is billed twice.
- Requests that ended as "not run" reached no upstream.
- Calls that must not be repeated ran at most once.
"""

import collections
from collections.abc import Callable
import json
import operator

from redwingchute.core import data
from redwingchute.request import request_key
from redwingchute.testing import scenario_audit
from redwingchute.testing import scenario_backend
from redwingchute.testing import scenario_requests
from redwingchute.testing import scenario_steps as steps

_COMPARISONS: dict[str, Callable[[int, int], bool]] = {
    "=": operator.eq,
    "<=": operator.le,
    ">=": operator.ge,
}
# The longest time that an expectation waits until it is met.
_EXPECTATION_TIMEOUT_MS = 60_000
_POLL_INTERVAL_MS = 250
# The time in which the fleet must settle its bills after the last step, and in
# which expected spends and versions must be reached.
_SETTLEMENT_MS = 30_000


class ScenarioRun:
    """One run of one scenario.

    Attributes:
      failures: The failed expectations and invariants, with their lines.
    """

    def __init__(
        self, scenario: steps.Scenario, backend: scenario_backend.Backend
    ) -> None:
        """Prepares a run on a backend whose context is entered."""
        self.failures: list[data.Finding] = []
        self._scenario = scenario
        self._backend = backend
        # The cut pairs of processes by the two names of each cut.
        self._cuts: dict[frozenset[str], frozenset[frozenset[str]]] = {}
        self._requests: dict[str, scenario_requests.RequestResult] = {}
        self._commands: dict[str, scenario_requests.CommandResult] = {}

    async def run(self) -> tuple[data.Finding, ...]:
        """Runs all steps and the final checks; returns the failures."""
        for step in self._scenario.steps:
            await self._perform(step)
        await self._heal_and_settle()
        await self._check_invariants()
        return tuple(self.failures)

    def _fail(self, line: int, message: str) -> None:
        """Records a failure."""
        place = f"{self._scenario.path}:{line}"
        self.failures.append(data.Finding(place, message))

    async def _perform(self, step: steps.Step) -> None:
        """Runs one step."""
        match step:
            case steps.Lifecycle():
                await self._backend.apply_lifecycle(step)
            case steps.Cut() | steps.Heal() | steps.HealAll():
                await self._change_cuts(step)
            case steps.PlatformFault():
                await self._set_platform_faults(step)
            case steps.PlatformTrim():
                await self._backend.trim()
            case steps.UpstreamFault():
                await self._set_upstream_faults(step)
            case steps.UpstreamRestart():
                await self._backend.post_control(
                    step.upstream, "/control/restart", {}
                )
            case steps.Wait():
                await self._backend.sleep(step.duration_ms)
            case steps.Request():
                result = scenario_requests.RequestResult(step)
                self._requests[step.name] = result
                self._backend.spawn_request(result)
            case steps.Command():
                command = scenario_requests.CommandResult(step)
                self._commands[step.name] = command
                self._backend.spawn_command(command)
            case _:
                await self._expect(step)

    async def _change_cuts(
        self, step: steps.Cut | steps.Heal | steps.HealAll
    ) -> None:
        """Cuts or heals all pairs of processes between two names."""
        match step:
            case steps.Cut():
                pairs = self._list_pairs(step.one, step.other)
                self._cuts[frozenset((step.one, step.other))] = pairs
            case steps.Heal():
                self._cuts.pop(frozenset((step.one, step.other)), None)
            case steps.HealAll():
                self._cuts.clear()
        pairs = frozenset().union(*self._cuts.values())
        await self._backend.set_cuts(pairs)

    def _list_pairs(self, one: str, other: str) -> frozenset[frozenset[str]]:
        """Returns the pairs of processes between two names."""
        return frozenset(
            frozenset((left, right))
            for left in self._list_members(one)
            for right in self._list_members(other)
            if left != right
        )

    def _list_members(self, name: str) -> list[str]:
        """Returns the processes of a zone, or the one process of a name."""
        routers = [r.name for r in self._scenario.routers if r.zone == name]
        upstreams = [
            upstream.name
            for upstream in self._scenario.upstreams
            if upstream.zone == name
        ]
        return [*routers, *upstreams] or [name]

    async def _set_platform_faults(self, step: steps.PlatformFault) -> None:
        """Changes the platform's faults."""
        patch = {
            name: value
            for name, value in (
                ("is_down", step.is_down),
                ("slow_ms", step.slow_ms),
                ("lose_next_answers", step.lose_answers),
            )
            if value is not None
        }
        await self._backend.post_control(steps.PLATFORM, "/control", patch)

    async def _set_upstream_faults(self, step: steps.UpstreamFault) -> None:
        """Changes an upstream's faults."""
        is_engine = any(
            each.is_engine
            for each in self._scenario.upstreams
            if each.name == step.upstream
        )
        slow_field = "token_interval_ms" if is_engine else "slow_ms"
        patch: dict[str, object] = {}
        if step.is_leaving is not None:
            patch["is_leaving"] = step.is_leaving
        if step.crash_on_text is not None:
            patch["crash_on_text"] = step.crash_on_text
        if step.cut_after_tokens is not None:
            patch["cut_after_tokens"] = step.cut_after_tokens
        if step.slow_ms is not None:
            patch[slow_field] = step.slow_ms
        for name in ("close_before_run", "close_after_run"):
            count = getattr(step, name)
            if count is not None:
                patch[name] = count > 0
                patch["fault_limit"] = count
        await self._backend.post_control(step.upstream, "/control", patch)

    async def _expect(self, step: steps.Step) -> None:
        """Checks one expectation."""
        match step:
            case steps.ExpectOutcome():
                await self._expect_outcome(step)
            case steps.ExpectSpend():
                await self._expect_spend(step)
            case steps.ExpectRuns():
                count = (await self._count_runs())[step.key]
                if not _COMPARISONS[step.comparison](count, step.runs):
                    self._fail(
                        step.line, f"calls with the key ran {count} times"
                    )
            case steps.ExpectVersion():
                await self._expect_version(step)
            case steps.ExpectCommand():
                await self._expect_command(step)
            case steps.ExpectOneAccepted():
                await self._expect_one_accepted(step)
            case steps.ExpectDispatched():
                state = await self._backend.read_control(step.upstream)
                count = state["dispatched"]
                if not _COMPARISONS[step.comparison](count, step.attempts):
                    self._fail(step.line, f"{count} attempts were dispatched")

    async def _expect_outcome(self, step: steps.ExpectOutcome) -> None:
        """Waits for a request's end and compares its outcome."""
        result = self._requests[step.request]
        if steps.Outcome.PENDING not in step.outcomes:
            await self._wait_for(
                lambda: result.outcome is not steps.Outcome.PENDING
            )
        if result.outcome not in step.outcomes:
            found = f"{result.outcome.value} {result.code}".strip()
            self._fail(step.line, f"request {step.request} is {found}")

    async def _expect_command(self, step: steps.ExpectCommand) -> None:
        """Waits for a command's end and compares its verdict."""
        result = self._commands[step.command]
        await self._wait_for(lambda: result.verdict is not None)
        if result.verdict not in step.verdicts:
            found = result.verdict.value if result.verdict else "pending"
            message = f"command {step.command} is {found}: {result.message}"
            self._fail(step.line, message)

    async def _expect_one_accepted(self, step: steps.ExpectOneAccepted) -> None:
        """Waits for the commands' ends and counts the accepted ones."""
        results = [self._commands[name] for name in step.commands]
        await self._wait_for(lambda: all(each.verdict for each in results))
        accepted = [
            each.step.name
            for each in results
            if each.verdict is steps.CommandVerdict.ACCEPTED
        ]
        if len(accepted) != 1:
            found = "; ".join(each.message for each in results)
            self._fail(step.line, f"accepted are {accepted}: {found}")

    async def _expect_spend(self, step: steps.ExpectSpend) -> None:
        """Waits until the settled tokens of a budget meet the expectation."""
        spent_tokens = 0
        for _ in range(_SETTLEMENT_MS // _POLL_INTERVAL_MS):
            audit = await self._audit()
            spent_tokens = audit.settled_tokens.get(step.budget, 0)
            if _COMPARISONS[step.comparison](spent_tokens, step.tokens):
                return
            await self._backend.sleep(_POLL_INTERVAL_MS)
        self._fail(step.line, f"{spent_tokens} tokens are settled")

    async def _expect_version(self, step: steps.ExpectVersion) -> None:
        """Waits until routers have the same version in force."""
        found: list[int | None] = []
        for _ in range(_SETTLEMENT_MS // _POLL_INTERVAL_MS):
            found = [await self._read_version(name) for name in step.routers]
            if len(set(found)) == 1 and found[0]:
                return
            await self._backend.sleep(_POLL_INTERVAL_MS)
        self._fail(step.line, f"the versions in force differ: {found}")

    async def _read_version(self, router: str) -> int | None:
        """Returns the version that a router reports to have in force."""
        response = await self._backend.query(router, "show in force")
        if response is None:
            return None
        table = json.loads(response)
        host, version = (table["columns"].index(c) for c in ("host", "version"))
        own = [row[version] for row in table["rows"] if row[host] == router]
        return int(own[0]) if own else None

    async def _wait_for(self, is_met: Callable[[], bool]) -> None:
        """Waits until a condition is met, for a limited time."""
        for _ in range(_EXPECTATION_TIMEOUT_MS // _POLL_INTERVAL_MS):
            if is_met():
                return
            await self._backend.sleep(_POLL_INTERVAL_MS)

    async def _heal_and_settle(self) -> None:
        """Ends all cuts and platform faults and lets the fleet settle."""
        await self._backend.set_cuts(frozenset())
        await self._backend.post_control(
            steps.PLATFORM,
            "/control",
            {"is_down": False, "slow_ms": 0, "lose_next_answers": 0},
        )
        await self._backend.sleep(_SETTLEMENT_MS)

    async def _audit(self) -> scenario_audit.Audit:
        """Returns the audit of the ledger's streams."""
        return scenario_audit.audit_streams(await self._backend.read_streams())

    async def _count_runs(self) -> collections.Counter[str]:
        """Returns how often plain services ran calls, by key."""
        runs: collections.Counter[str] = collections.Counter()
        for upstream in self._scenario.upstreams:
            if not upstream.is_engine:
                state = await self._backend.read_control(upstream.name)
                runs.update(state["runs_by_key"])
        return runs

    async def _check_invariants(self) -> None:
        """Checks the invariants at the end of a scenario."""
        for error in self._backend.list_errors():
            self._fail(0, f"a process failed with an error: {error}")
        audit = await self._audit()
        for finding in audit.findings:
            self._fail(0, finding)
        self._check_responses()
        self._check_bills(audit)
        await self._check_not_run()
        await self._check_single_runs()

    def _check_responses(self) -> None:
        """Checks that every response has the expected text."""
        for result in self._list_results(steps.Outcome.ANSWERED):
            expected = scenario_requests.find_expected_text(
                result.step, scenario_backend.COMPLETION_TOKENS
            )
            if result.text != expected:
                message = f"the response is '{result.text}', not '{expected}'"
                self._fail(result.step.line, message)

    def _check_bills(self, audit: scenario_audit.Audit) -> None:
        """Compares the bills with the requests.

        No key may be billed twice, and every answered request with a key must
        be billed. Requests without a key are billed under keys that routers
        make up, so that only the number of their bills is limited.
        """
        counts = collections.Counter(bill.key for bill in audit.bills)
        for key, count in counts.items():
            if count > 1:
                self._fail(0, f"key {key.hex()} is billed {count} times")
        for result in self._list_results(steps.Outcome.ANSWERED):
            if result.step.key and not counts[_digest_key(result.step)]:
                self._fail(
                    result.step.line, "an answered request is not billed"
                )
        answered_count = len(self._list_results(steps.Outcome.ANSWERED))
        keyed = {_digest_key(r.step) for r in self._requests.values()}
        keyless_bill_count = sum(
            count for key, count in counts.items() if key not in keyed
        )
        keyless_requests = [
            result
            for result in self._requests.values()
            if not result.step.key
            and result.outcome is not steps.Outcome.NOT_RUN
        ]
        if keyless_bill_count > len(keyless_requests):
            message = (
                f"{keyless_bill_count} bills for {len(keyless_requests)} "
                "requests without key"
            )
            self._fail(0, message)
        if answered_count and not audit.bills:
            self._fail(0, "requests were answered but none is billed")

    async def _check_not_run(self) -> None:
        """Checks that requests which are "not run" reached no upstream."""
        attempts: collections.Counter[str] = collections.Counter()
        for upstream in self._scenario.upstreams:
            if upstream.is_engine:
                state = await self._backend.read_control(upstream.name)
                attempts.update(state["attempts_by_prompt"])
        runs = await self._count_runs()
        texts = collections.Counter(
            r.step.text for r in self._requests.values()
        )
        for result in self._list_results(steps.Outcome.NOT_RUN):
            step = result.step
            if texts[step.text] > 1:
                # Another request with the same text may have run.
                continue
            run_count = runs[step.key] if step.is_call else attempts[step.text]
            if run_count:
                message = f"the request is 'not run' but ran {run_count} times"
                self._fail(step.line, message)

    async def _check_single_runs(self) -> None:
        """Checks that calls which may not be repeated ran at most once."""
        single = {
            each.pool
            for each in self._scenario.upstreams
            if not each.is_engine and not each.is_repeatable
        }
        runs = await self._count_runs()
        keys = {
            result.step.key
            for result in self._requests.values()
            if result.step.pool in single
        }
        for key in sorted(keys):
            if runs[key] > 1:
                self._fail(
                    0, f"the call with key '{key}' ran {runs[key]} times"
                )

    def _list_results(
        self, outcome: steps.Outcome
    ) -> list[scenario_requests.RequestResult]:
        """Returns the results with an outcome."""
        return [
            result
            for result in self._requests.values()
            if result.outcome is outcome
        ]


def _digest_key(step: steps.Request) -> bytes:
    """Returns the key digest of a request's bill, empty if it has no key."""
    if not step.key:
        return b""
    return request_key.digest_key(step.account, step.key)
