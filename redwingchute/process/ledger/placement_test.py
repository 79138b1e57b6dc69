"""Tests of how the tokens of a budget are distributed."""

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.process.ledger import grant_sizing
from redwingchute.process.ledger import placement

_POLICY = grant_sizing.GrantPolicy(lease_horizon_ms=2_000, reserve_share=1.0)
_RESERVE = data.GrantKind.RESERVE


def _make_state(
    free_tokens: int,
    demand: dict[int, float],
    reserves: dict[int, int] | None = None,
    requested_reserve_tokens: int = 0,
) -> grant_sizing.BudgetState:
    """Returns the state of a budget for an ask of holder 1."""
    reserves = reserves or {}
    return grant_sizing.BudgetState(
        budget="yield-books",
        holder=1,
        credited_tokens=free_tokens + sum(reserves.values()),
        settled_tokens=0,
        free_tokens=free_tokens,
        holder_lease_tokens=0,
        holder_reserve_tokens=reserves.get(1, 0),
        demand_tokens_per_s=demand,
        requested_reserve_tokens=dict.fromkeys(
            demand, requested_reserve_tokens
        ),
        holders={
            each: grant_sizing.HolderTokens(0, tokens)
            for each, tokens in reserves.items()
        },
    )


def _make_ask(lease_tokens: int = 0, demand: float = 0.0) -> data.Ask:
    return data.Ask("yield-books", lease_tokens, 0, demand)


def test_idle_budget_is_divided_by_demand() -> None:
    state = _make_state(1_000, {1: 30.0, 2: 10.0})
    lease, reserve = placement.size_grant(
        state, _make_ask(), _POLICY, smoothing=0
    )
    assert (lease, reserve) == (0, 750)


def test_holder_without_demand_gets_a_small_share() -> None:
    state = _make_state(1_000, {1: 0.0, 2: 10.0})
    _, reserve = placement.size_grant(state, _make_ask(), _POLICY)
    assert 0 < reserve < 500


def test_reserve_is_bounded_by_its_horizon() -> None:
    state = _make_state(1_000_000, {1: 10.0, 2: 10.0})
    policy = grant_sizing.GrantPolicy(
        reserve_share=1.0, reserve_horizon_ms=10_000_000
    )
    _, reserve = placement.size_grant(state, _make_ask(), policy)
    assert reserve == 100_000


def test_idle_budget_keeps_the_least_reserve() -> None:
    state = _make_state(100_000, {1: 0.0, 2: 0.0})
    _, reserve = placement.size_grant(state, _make_ask(), _POLICY)
    assert reserve == 5_000


def test_small_share_becomes_reserve_as_a_whole() -> None:
    state = _make_state(1_000, {1: 0.0, 2: 0.0})
    _, reserve = placement.size_grant(state, _make_ask(), _POLICY)
    assert reserve == 500


def test_reserve_share_leaves_the_remainder_with_the_owner() -> None:
    budget = configuration.Budget("yield-books", reserve_share=0.4)
    policy = placement.PlacementPolicy(lambda _: budget, smoothing=0)
    state = _make_state(1_000, {1: 10.0})
    assert policy.size_grant(state, _make_ask(), _POLICY) == (0, 400)
    ask = _make_ask(demand=300.0)
    assert policy.size_grant(state, ask, _POLICY) == (200, 400)


def test_waiting_requests_come_before_the_reserve() -> None:
    state = _make_state(1_000, {1: 10.0, 2: 10.0})
    lease, reserve = placement.size_grant(state, _make_ask(900), _POLICY)
    assert (lease, reserve) == (900, 100)


def test_lease_too_small_for_any_request_is_not_granted() -> None:
    state = _make_state(900, {1: 10.0}, requested_reserve_tokens=1_000)
    ask = data.Ask("yield-books", 3_000, 0, 10.0, smallest_tokens=1_000)
    assert placement.size_grant(state, ask, _POLICY) == (0, 0)
    state = _make_state(1_200, {1: 10.0}, requested_reserve_tokens=2_000)
    assert placement.size_grant(state, ask, _POLICY) == (1_000, 0)


def test_shares_too_small_for_a_request_are_left_out() -> None:
    state = _make_state(
        900, {1: 10.0, 2: 9.0, 3: 8.0}, requested_reserve_tokens=400
    )
    shares = placement.compute_shares(state, smoothing=0)
    assert set(shares) == {1, 2}
    state = _make_state(300, {1: 10.0, 2: 9.0}, requested_reserve_tokens=400)
    assert placement.compute_shares(state, smoothing=0) == {}


def test_surplus_of_other_holders_is_recalled_first() -> None:
    state = _make_state(0, {1: 30.0, 2: 10.0, 3: 10.0}, {1: 0, 2: 900, 3: 100})
    recalls = placement.choose_recalls(state, _make_ask(500), _POLICY)
    assert [(each.holder, each.recall.tokens) for each in recalls] == [(2, 500)]


def test_all_holders_are_recalled_if_the_surplus_is_too_small() -> None:
    state = _make_state(0, {1: 10.0, 2: 10.0, 3: 10.0}, {2: 300, 3: 300})
    recalls = placement.choose_recalls(state, _make_ask(500), _POLICY)
    assert {each.holder for each in recalls} == {2, 3}


def test_holders_without_recent_asks_are_not_recalled() -> None:
    state = _make_state(0, {1: 10.0}, {2: 900})
    assert placement.choose_recalls(state, _make_ask(500), _POLICY) == ()


def test_asking_holder_returns_its_own_surplus() -> None:
    state = _make_state(500, {1: 10.0, 2: 10.0}, {1: 500, 2: 0})
    assert placement.choose_recalls(state, _make_ask(), _POLICY) == ()
    state = _make_state(0, {1: 10.0, 2: 10.0}, {1: 1_000, 2: 0})
    (chosen,) = placement.choose_recalls(state, _make_ask(), _POLICY)
    assert (chosen.holder, chosen.recall.tokens) == (1, 500)


def test_only_unbalanced_reserves_are_recalled() -> None:
    state = _make_state(0, {1: 10.0, 2: 10.0}, {1: 450, 2: 550})
    assert placement.choose_recalls(state, _make_ask(), _POLICY) == ()
    state = _make_state(0, {1: 30.0, 2: 10.0}, {1: 300, 2: 700})
    (chosen,) = placement.choose_recalls(state, _make_ask(), _POLICY)
    assert (chosen.holder, chosen.recall.kind) == (2, _RESERVE)


def test_own_reserve_is_recalled_for_a_waiting_request() -> None:
    """46 free tokens and 40 of the own reserve cover a request of 69."""
    state = _make_state(46, {1: 10.0, 2: 10.0}, reserves={1: 40})
    recalls = placement.choose_recalls(state, _make_ask(69), _POLICY)
    assert [each.holder for each in recalls] == [1]
    assert recalls[0].recall.kind is data.GrantKind.RESERVE
    assert recalls[0].recall.tokens >= 23
