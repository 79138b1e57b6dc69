"""Runs every scripted scenario on the daemons' code with a manual clock."""

import pathlib
from typing import Any

import pytest

from redwingchute.testing import scenario_language
from redwingchute.testing import scenario_manual

_FOLDER = pathlib.Path(__file__).parents[2] / "scenarios"
_PATHS = sorted(_FOLDER.glob("*.scenario"))


def _make_parameter(path: pathlib.Path) -> Any:
    """Returns a test case that is marked with the scenario's promises."""
    scenario, _ = scenario_language.load_scenario(path)
    promises = () if scenario is None else scenario.promises
    marks = [pytest.mark.promise(number) for number in promises]
    return pytest.param(path, id=path.stem, marks=marks)


@pytest.mark.parametrize("path", [_make_parameter(p) for p in _PATHS])
def test_scenario_holds(path: pathlib.Path) -> None:
    scenario, findings = scenario_language.load_scenario(path)
    assert scenario is not None, findings
    failures = scenario_manual.run_scenario(scenario)
    assert not failures, "\n".join(f"{f.place}: {f.message}" for f in failures)
