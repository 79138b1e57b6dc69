"""Runs the scenarios marked `live` with real processes on loopback.

Arguments select scenarios by name; by default, all marked ones run, several at
the same time. The exit status is 1 if one failed.
"""

import asyncio
import pathlib
import sys
import time

from redwingchute.testing import scenario_language
from redwingchute.testing import scenario_live
from redwingchute.testing import scenario_runner
from redwingchute.testing import scenario_steps

_FOLDER = pathlib.Path("scenarios")
_CONCURRENT_SCENARIOS = 5


async def run_one(
    path: pathlib.Path,
    scenario: scenario_steps.Scenario,
    limit: asyncio.Semaphore,
) -> bool:
    """Runs one scenario, prints its verdict and returns whether it held.

    Args:
      path: The file of the scenario; its name is printed.
      scenario: The scenario.
      limit: Limits the number of scenarios that run at the same time.
    """
    async with limit:
        started_s = time.monotonic()
        async with scenario_live.LiveBackend(scenario) as backend:
            run = scenario_runner.ScenarioRun(scenario, backend)
            failures = await run.run()
        elapsed_s = time.monotonic() - started_s
    verdict = "failed" if failures else "held"
    print(f"{path.stem}: {verdict} in {elapsed_s:.0f} s", flush=True)
    for failure in failures:
        print(f"  {failure.place}: {failure.message}", flush=True)
    return not failures


async def run_all(names: set[str]) -> bool:
    """Runs the scenarios marked `live`.

    Returns whether all held and no scenario file had a finding.

    Args:
      names: The scenarios to run; empty for all.
    """
    limit = asyncio.Semaphore(_CONCURRENT_SCENARIOS)
    runs = []
    is_valid = True
    for path in sorted(_FOLDER.glob("*.scenario")):
        if names and path.stem not in names:
            continue
        scenario, findings = scenario_language.load_scenario(path)
        for finding in findings:
            print(f"{finding.place}: {finding.message}")
            is_valid = False
        if scenario is not None and scenario.is_live:
            runs.append(run_one(path, scenario, limit))
    return all(await asyncio.gather(*runs)) and is_valid


def main() -> int:
    """Runs the scenarios and returns the exit status."""
    return 0 if asyncio.run(run_all(set(sys.argv[1:]))) else 1


if __name__ == "__main__":
    sys.exit(main())
