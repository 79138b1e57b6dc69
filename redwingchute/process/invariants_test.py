"""Tests of reporting violated invariants."""

import pytest

from redwingchute.process import decision_log
from redwingchute.process import invariants


def test_only_a_broken_invariant_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log = decision_log.DecisionLog()
    monkeypatch.setattr(decision_log, "LOG", log)
    invariants.check(True, "spending_above_grant", account="a")
    assert decision_log.read_counts() == {"line_dropped": 0}
    invariants.check(False, "spending_above_grant", account="a")
    assert decision_log.read_counts()["invariant_broken"] == 1
