"""Mutation tests: the ledger's checks detect rules that are broken on purpose.

Each variant breaks one rule of the fold. A scenario that passes with the
original rule must then fail a check of the simulated ledger.
"""

from collections.abc import Callable

import pytest

from redwingchute.core import data
from redwingchute.process.ledger import budget
from redwingchute.process.ledger import claim_rules
from redwingchute.process.ledger import fold
from redwingchute.process.ledger import key_store
from redwingchute.testing import ledger_simulation

_KEY = (7).to_bytes(16, "big")
_POST = (101).to_bytes(16, "big")


def _make_simulation(tokens: int = 1_000) -> ledger_simulation.LedgerSimulation:
    """Returns a simulated ledger where every router has lease and reserve."""
    simulation = ledger_simulation.LedgerSimulation()
    simulation.propose("huon-1", True)
    simulation.run_for(5)
    simulation.send_credit("huon-1", "first", tokens)
    simulation.run_for(2)
    for number, host in enumerate(ledger_simulation.HOSTS):
        simulation.submit(host, (50 + number).to_bytes(16, "big"), 20, 20)
        simulation.run_for(15)
        simulation.finish(0)
        simulation.run_for(5)
    return simulation


def _run_and_check(
    simulation: ledger_simulation.LedgerSimulation, steps: int
) -> None:
    for _ in range(steps):
        simulation.run_for(1)
        simulation.check()


def _settle_one_key_on_two_routers() -> None:
    simulation = _make_simulation()
    for host in ("huon-1", "bruny-1"):
        simulation.submit(host, _KEY, 30, 30)
    simulation.run_for(10)
    simulation.finish(0)
    simulation.finish(0)
    _run_and_check(simulation, 20)


def _spend_reserve_after_retirement() -> None:
    simulation = _make_simulation()
    simulation.cut_off("bruny-1")
    simulation.run_for(20)
    simulation.declare_dead("huon-1", "bruny-1")
    for number in range(60):
        simulation.submit("bruny-1", number.to_bytes(16, "little"), 20, 20)
        simulation.finish(0)
        simulation.run_for(1)
    for number in range(60):
        key = (1_000 + number).to_bytes(16, "big")
        simulation.submit("huon-1", key, 20, 20)
        simulation.run_for(3)
        simulation.finish(0)
        simulation.check()
    simulation.heal()
    simulation.check_healed()


def _claim_one_key_on_two_routers() -> None:
    simulation = _make_simulation()
    for host in ("huon-1", "bruny-1"):
        simulation.submit(host, _POST, 30, 30, is_repeatable=False)
    _run_and_check(simulation, 20)


def _top_up_with_a_lost_response() -> None:
    simulation = _make_simulation()
    for _ in range(3):
        simulation.send_credit("huon-1", "again", 500)
        simulation.run_for(3)
    simulation.check()


def _reduce_below_the_held_tokens() -> None:
    simulation = _make_simulation()
    simulation.send_credit("huon-1", "down", -1_000)
    _run_and_check(simulation, 5)


def _lose_the_response_to_an_append() -> None:
    simulation = _make_simulation()
    simulation.advance(3_000)
    simulation.submit("huon-2", _KEY, 600, 30)
    while not simulation.late_appends:
        simulation.advance(50)
        simulation.advance_holders("huon-2")
        simulation.commit("huon-1", ledger_simulation.AppendDelivery.DELAYED)
        simulation.read("huon-1")
        simulation.deliver(0)
    _run_and_check(simulation, 10)
    simulation.send_credit("huon-1", "more", 50_000)
    simulation.run_for(2)
    simulation.deliver_late_append()
    _run_and_check(simulation, 10)


def _commit_after_a_takeover() -> None:
    simulation = _make_simulation()
    simulation.submit("huon-1", _KEY, 30, 30)
    simulation.run_for(5)
    simulation.finish(0)
    simulation.advance_holders("huon-1")
    simulation.deliver(0)
    simulation.advance(50)
    simulation.commit("huon-1", ledger_simulation.AppendDelivery.DELAYED)
    simulation.propose("huon-1", False)
    simulation.propose("bruny-1", True)
    _run_and_check(simulation, 10)
    simulation.deliver_late_append()
    _run_and_check(simulation, 10)


def _lose_the_reply_until_the_deadline() -> None:
    simulation = _make_simulation()
    simulation.submit("huon-2", _KEY, 20, 20)
    simulation.run_for(10)
    simulation.finish(0)
    simulation.advance_holders("huon-2")
    simulation.deliver(0)
    simulation.advance(100)
    simulation.commit("huon-1", ledger_simulation.AppendDelivery.ACKNOWLEDGED)
    simulation.read("huon-1")
    for _ in range(3):
        simulation.messages.clear()
        simulation.check()
        simulation.advance(4_000)
        simulation.advance_holders("huon-2")
        simulation.check()
    simulation.heal()
    simulation.check_healed()


_SCENARIOS = (
    _lose_the_reply_until_the_deadline,
    _commit_after_a_takeover,
    _settle_one_key_on_two_routers,
    _spend_reserve_after_retirement,
    _claim_one_key_on_two_routers,
    _top_up_with_a_lost_response,
    _reduce_below_the_held_tokens,
    _lose_the_response_to_an_append,
)


@pytest.mark.parametrize("scenario", _SCENARIOS)
def test_scenario_passes_with_the_original_rules(
    scenario: Callable[[], None],
) -> None:
    scenario()


def test_settling_a_key_twice_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def find_nothing(
        self: key_store.KeyStore, key: bytes
    ) -> key_store.SettledKey | None:
        return None

    monkeypatch.setattr(key_store.KeyStore, "get", find_nothing)
    with pytest.raises(AssertionError, match="billed twice"):
        _settle_one_key_on_two_routers()


def test_freeing_the_reserve_of_a_retired_holder_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_retire = budget.Budget.retire

    def retire_and_free(self: budget.Budget, holder: data.Incarnation) -> None:
        original_retire(self, holder)
        if self.holdings.get(holder):
            self.held_tokens -= self.holdings[holder].unaccounted_tokens
            self.holdings[holder].unaccounted_tokens = 0

    monkeypatch.setattr(budget.Budget, "retire", retire_and_free)
    with pytest.raises(AssertionError, match="the fold backs"):
        _spend_reserve_after_retirement()


def test_claiming_a_key_twice_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def accept_repeat(entry: data.Claim, claim: object) -> data.Verdict:
        return data.Verdict(data.VerdictCode.ACCEPTED)

    monkeypatch.setattr(claim_rules, "_repeat_claim", accept_repeat)
    with pytest.raises(AssertionError, match="ran twice"):
        _claim_one_key_on_two_routers()


def test_losing_credit_references_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_credit = fold.ShardFold._apply_credit

    def clear_references(
        self: fold.ShardFold, entry: data.Credit
    ) -> data.Verdict:
        for budget_account in self.budgets.values():
            budget_account.references.clear()
        return original_credit(self, entry)

    monkeypatch.setattr(fold.ShardFold, "_apply_credit", clear_references)
    with pytest.raises(AssertionError):
        _top_up_with_a_lost_response()


def test_reducing_held_tokens_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def reduce(self: fold.ShardFold, entry: data.Credit) -> data.Verdict:
        budget_account = self.budgets.setdefault(entry.budget, budget.Budget())
        budget_account.credited_tokens += entry.tokens
        return data.Verdict(data.VerdictCode.ACCEPTED, entry.tokens)

    monkeypatch.setattr(fold.ShardFold, "_apply_credit", reduce)
    with pytest.raises(AssertionError, match="overcommitted"):
        _reduce_below_the_held_tokens()


def test_granting_more_than_is_free_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_grant = budget.Budget.grant

    def grant_all(
        self: budget.Budget,
        holder: data.Incarnation,
        kind: data.GrantKind,
        tokens: int,
    ) -> int:
        credited_tokens = self.credited_tokens
        self.credited_tokens += 10 * tokens
        moved = original_grant(self, holder, kind, 2 * tokens)
        self.credited_tokens = credited_tokens
        return moved

    monkeypatch.setattr(budget.Budget, "grant", grant_all)
    with pytest.raises(AssertionError):
        _spend_reserve_after_retirement()


def test_applying_late_copies_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_check = fold.ShardFold._check_batch

    def reset_sequence(
        self: fold.ShardFold, record: data.Batch
    ) -> data.Verdict | None:
        self.last_sequence = 0
        return original_check(self, record)

    monkeypatch.setattr(fold.ShardFold, "_check_batch", reset_sequence)
    with pytest.raises(AssertionError, match="applied twice"):
        _lose_the_response_to_an_append()


def test_ignoring_the_epoch_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def accept_any(
        self: fold.ShardFold, record: data.Batch
    ) -> data.Verdict | None:
        return None

    monkeypatch.setattr(fold.ShardFold, "_check_batch", accept_any)
    with pytest.raises(AssertionError, match="deposed owner"):
        _commit_after_a_takeover()
