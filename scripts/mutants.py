"""Mutation tests: checks that the tests detect faults in the decision code.

Each mutant is a small change of one file, applied to a scratch copy of the
package. Its tests must fail there. A mutant that passes them, or one that can't
be applied or tested, is reported and makes the exit status 1.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import attrs

_SCENARIOS = "redwingchute/testing/scenario_test.py::test_scenario_holds"
_FOLD = "redwingchute/process/ledger/fold.py"
_FOLD_TEST = "redwingchute/process/ledger/fold_test.py"
_GRANT_FOLD = "redwingchute/process/prepaid/grant_fold.py"
_GRANT_ERA_TEST = "redwingchute/process/prepaid/grant_era_test.py"
_FORWARD_ATTEMPT = "redwingchute/request/forward_attempt.py"
_FORWARD_ATTEMPT_TEST = "redwingchute/request/forward_attempt_test.py"


@attrs.frozen
class Mutant:
    """A fault in the code.

    Attributes:
      name: The behaviour of the faulty code.
      path: The file that is changed.
      old: The text that is replaced; it must occur exactly once in the file.
      new: The replacement.
      tests: The pytest node ids of which at least one must fail.
    """

    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]


MUTANTS = (
    Mutant(
        "settle twice",
        _FOLD,
        "        if settled is not None:\n"
        "            return self._repeat_settle(entry, settled)\n",
        "",
        (_FOLD_TEST, f"{_SCENARIOS}[cut-and-router-death]"),
    ),
    Mutant(
        "ignore epoch",
        _FOLD,
        "if record.epoch != self.epoch or record.owner != self.owner:",
        "if record.epoch < 0:",
        (_FOLD_TEST,),
    ),
    Mutant(
        "release reserve by time",
        "redwingchute/process/ledger/budget.py",
        "holding.unaccounted_tokens += holding.reserve_tokens",
        "self.held_tokens -= holding.reserve_tokens",
        (_FOLD_TEST, f"{_SCENARIOS}[freeze-and-cut]"),
    ),
    Mutant(
        "retry after first byte",
        "redwingchute/request/retry.py",
        "if has_sent and not failure.is_repeatable:",
        "if has_sent and failure.failure_count < 0:",
        ("redwingchute/request/retry_test.py",),
    ),
    Mutant(
        "accept an older version",
        "redwingchute/version/change_fold.py",
        "if checkpoint.version < self.current.version:",
        "if checkpoint.version < 0:",
        ("redwingchute/version/change_fold_test.py",),
    ),
    Mutant(
        "let both operators win",
        "redwingchute/version/change_fold.py",
        "if record.expected_version not in (0, in_force):",
        "if record.expected_version < 0:",
        (
            "redwingchute/version/change_fold_test.py",
            f"{_SCENARIOS}[operator-race]",
        ),
    ),
    Mutant(
        "skip claim",
        "redwingchute/request/service_handler.py",
        "match await self._context.ledger.claim(charge):",
        "match spending.Claimed():",
        (
            f"{_SCENARIOS}[unknown-outcome]",
            f"{_SCENARIOS}[claim-and-router-death]",
        ),
    ),
    Mutant(
        "use a response of an earlier era",
        "redwingchute/process/era_log.py",
        "        if result.era < self.era:\n            return False\n",
        "",
        ("redwingchute/process/era_log_test.py",),
    ),
    Mutant(
        "read on at a position of an earlier era",
        "redwingchute/process/era_log.py",
        "        if position.era != self.era:\n"
        "            return shared_log.HistoryGone(self.era)\n",
        "",
        ("redwingchute/process/era_log_test.py",),
    ),
    Mutant(
        "count rows of an earlier era",
        _GRANT_FOLD,
        "if row.era == self.era:",
        "if row.era >= 0:",
        ("redwingchute/process/prepaid/grant_fold_test.py",),
    ),
    Mutant(
        "raise before all hosts confirmed their rows",
        _GRANT_FOLD,
        "stamp.era == self.era or stamp.is_leaving",
        "stamp.era >= 0 or stamp.is_leaving",
        (_GRANT_ERA_TEST,),
    ),
    Mutant(
        "forget that a host lost its history",
        _GRANT_FOLD,
        "self.is_confirmed(host) and not stamp.has_lost_history",
        "self.is_confirmed(host)",
        (_GRANT_ERA_TEST,),
    ),
    Mutant(
        "believe a rejection of another request",
        _FORWARD_ATTEMPT,
        "            if response.request_id == outgoing.request_id:\n",
        "            if response.was_not_run or (\n"
        "                response.request_id == outgoing.request_id\n"
        "            ):\n",
        (_FORWARD_ATTEMPT_TEST,),
    ),
    Mutant(
        "reuse a connection with an extra response",
        "redwingchute/connection/http_client.py",
        "        if self._is_retired:\n            return False\n",
        "",
        (_FORWARD_ATTEMPT_TEST,),
    ),
    Mutant(
        "reuse a connection whose body was not read to its end",
        "redwingchute/connection/http_client.py",
        "if self._pending_event is not None:",
        "if False:",
        ("redwingchute/connection/http_client_test.py",),
    ),
    Mutant(
        "use the slack right after a restart",
        "redwingchute/process/retry_budget.py",
        "        if now_ms < begins_ms:\n            return 0.0\n",
        "",
        ("redwingchute/process/retry_budget_test.py",),
    ),
    Mutant(
        "use an upstream after its drain time",
        "redwingchute/request/departures.py",
        "now_ms - seen_ms >= self._drain_ms",
        "False",
        ("redwingchute/request/departures_test.py",),
    ),
    Mutant(
        "send during a requested pause",
        "redwingchute/request/requested_pauses.py",
        "self._ends_ms.get(upstream.start, 0) if self._ends_ms else 0",
        "0",
        ("redwingchute/request/departures_test.py",),
    ),
)


def run_tests_in(
    scratch: pathlib.Path, tests: tuple[str, ...]
) -> subprocess.CompletedProcess[str]:
    """Runs tests of the scratch copy and returns the completed process."""
    environment = dict(os.environ, PYTHONPATH=str(scratch))
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-x", *tests],
        cwd=scratch,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )


def run_mutant(mutant: Mutant, scratch: pathlib.Path) -> str:
    """Runs the tests without and with a mutant.

    Returns the verdict, which starts with `caught` if a test failed because of
    the mutant.
    """
    if run_tests_in(scratch, mutant.tests).returncode != 0:
        return "NOT RUN: the tests fail without the mutant"
    path = scratch / mutant.path
    original = path.read_text()
    if original.count(mutant.old) != 1:
        return "DOES NOT APPLY"
    path.write_text(original.replace(mutant.old, mutant.new))
    result = run_tests_in(scratch, mutant.tests)
    path.write_text(original)
    # pytest exits with 1 for failed tests and with a higher status if it could
    # not run them.
    if result.returncode == 1:
        failed = [
            line for line in result.stdout.splitlines() if "FAILED" in line
        ]
        name = failed[0].split(" - ")[0].removeprefix("FAILED ")
        return f"caught by {name}"
    if result.returncode == 0:
        return "NOT CAUGHT"
    return f"NOT RUN (status {result.returncode}): {result.stdout[-300:]}"


def main() -> int:
    """Runs every mutant and returns 0 if all were caught, 1 otherwise."""
    all_caught = True
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder)
        for name in ("redwingchute", "scenarios"):
            shutil.copytree(
                name,
                scratch / name,
                ignore=shutil.ignore_patterns("__pycache__"),
            )
        shutil.copy("pyproject.toml", scratch)
        for mutant in MUTANTS:
            verdict = run_mutant(mutant, scratch)
            all_caught = all_caught and verdict.startswith("caught")
            print(f"{mutant.name}: {verdict}", flush=True)
    return 0 if all_caught else 1


if __name__ == "__main__":
    sys.exit(main())
