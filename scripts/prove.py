"""Runs all cases that are evidence for a promise and summarizes them.

The cases are the scenarios of `scenarios/`, the tests with the marker
`promise(N)`, and all tests of the files listed below. Prints one line for each
promise. The exit status is 1 if a case failed that KNOWN-RED.txt doesn't list,
or if a promise has no case.
"""

import collections
import sys

import pytest
import run_tests

_PROMISE_COUNT = 8

# Test files of decision code whose tests are all evidence, with the promises.
_EVIDENCE_FILES = {
    "redwingchute/process/ledger/fold_test.py": (1, 2, 5),
    "redwingchute/process/ledger/holder_test.py": (1, 2),
    "redwingchute/request/request_state_test.py": (4,),
    "redwingchute/request/retry_test.py": (5,),
    "redwingchute/request/leaving_upstreams_test.py": (6,),
    "redwingchute/version/change_fold_test.py": (8,),
}


class PromiseRecorder:
    """A pytest plugin that selects the cases and records their outcomes.

    Attributes:
      promises: The promises of each case, by node id.
      failed: The node ids of cases that failed.
      passed: The node ids of cases that passed.
    """

    def __init__(self) -> None:
        """Starts without cases."""
        self.promises: dict[str, set[int]] = {}
        self.failed: set[str] = set()
        self.passed: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Deselects the tests that are evidence for no promise."""
        for item in items:
            promises = {
                mark.args[0] for mark in item.iter_markers(name="promise")
            }
            path = item.nodeid.split("::")[0]
            promises.update(_EVIDENCE_FILES.get(path, ()))
            if promises:
                self.promises[item.nodeid] = promises
        items[:] = [item for item in items if item.nodeid in self.promises]

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Records the outcome of a case."""
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.when == "call" and report.passed:
            self.passed.add(report.nodeid)


def describe_promise(
    number: int, recorder: PromiseRecorder, known_red: set[str]
) -> str:
    """Returns the line about one promise."""
    cases = [
        node_id
        for node_id, promises in recorder.promises.items()
        if number in promises
    ]
    if not cases:
        return f"promise {number}: not proved: it has no case"
    held = [case for case in cases if case in recorder.passed]
    failed = [case for case in cases if case in recorder.failed]
    if not failed:
        return f"promise {number}: held in {len(held)} cases"
    names = ", ".join(_describe_failure(case, known_red) for case in failed)
    return (
        f"promise {number}: failed in {names}; "
        f"held in {len(held)} of {len(cases)} cases"
    )


def _describe_failure(node_id: str, known_red: set[str]) -> str:
    """Returns a failed case's short name, marked if KNOWN-RED.txt lists it.

    The short name is the id of the parameters, or else the name of the test.
    """
    name = node_id.split("::")[-1]
    if "[" in name:
        name = name.partition("[")[2].rstrip("]")
    return f"{name} (known red)" if node_id in known_red else name


def main() -> int:
    """Runs the cases, prints the promises and returns the exit status."""
    known_red = set(run_tests.read_known_red())
    recorder = PromiseRecorder()
    status = pytest.main(["--no-header", *sys.argv[1:]], plugins=[recorder])
    if status not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
        return int(status)
    print()
    for number in range(1, _PROMISE_COUNT + 1):
        print(describe_promise(number, recorder, known_red))
    without_case = set(range(1, _PROMISE_COUNT + 1)) - set().union(
        *recorder.promises.values()
    )
    unexpected = recorder.failed - known_red
    fixed = known_red & recorder.passed
    for node_id in sorted(fixed):
        print(f"listed in KNOWN-RED.txt but passed: {node_id}")
    counts = collections.Counter(
        passed=len(recorder.passed), failed=len(recorder.failed)
    )
    print(f"{counts['passed']} cases held, {counts['failed']} failed")
    return 1 if unexpected or without_case else 0


if __name__ == "__main__":
    sys.exit(main())
