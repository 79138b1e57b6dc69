"""State machine test: prepaid tokens are never overspent.

Hypothesis kills and restarts routers, cuts them off from the log and from each
other, loses the replies to appends and delays the effect of appends. It also
has the log return from an earlier copy of itself at any point, several times.
What requests consume is counted outside the routers and compared with the
prepaid tokens after every step.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from redwingchute.testing import prepaid_simulation

_HUBS = ("huon-1", "huon-2", "bruny-1")
_HOSTS = (*_HUBS, "bruny-2")
_HOST = strategies.sampled_from(_HOSTS)

# Rounds and size of the requests that spend the tokens left at the end of an
# example.
_LAST_ROUNDS = 30
_LAST_TOKENS = 120

# Lent charges expire after the patience of the caller, 1 s, and 10 s.
_EXPIRY_S = 12

_SETTINGS = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    # Shrinking takes minutes here, and failing examples are short without it.
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)


class PrepaidMachine(stateful.RuleBasedStateMachine):
    """Hypothesis chooses the steps of a `PrepaidSimulation`."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = prepaid_simulation.PrepaidSimulation(
            _HOSTS, 3_000, _HUBS
        )
        self.simulation.run_for(3)
        self.simulation.take_copy()

    @stateful.rule(
        host=_HOST,
        tokens=strategies.integers(50, 1_500),
        used_percent=strategies.integers(0, 100),
        count=strategies.integers(1, 8),
    )
    def send(
        self, host: str, tokens: int, used_percent: int, count: int
    ) -> None:
        for _ in range(count):
            self.simulation.send_request(
                host, tokens, tokens * used_percent // 100
            )

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.2, 1, 5)))
    def wait(self, seconds: float) -> None:
        self.simulation.run_for(seconds)

    @stateful.rule(
        pair=strategies.sets(_HOST, min_size=2, max_size=2),
        tokens=strategies.integers(50, 1_500),
        used_percent=strategies.integers(0, 100),
    )
    def settle_after_expiry(
        self, pair: set[str], tokens: int, used_percent: int
    ) -> None:
        borrower = sorted(pair)[-1]
        self.simulation.send_request(
            borrower, tokens, tokens * used_percent // 100, seconds=1
        )
        self.simulation.run_for(0.01)
        self.simulation.cut_links |= {frozenset(pair)}
        self.simulation.run_for(_EXPIRY_S)
        self.simulation.cut_links -= {frozenset(pair)}

    @stateful.rule(host=_HOST, seconds=strategies.sampled_from((0, 1, 6)))
    def restart(self, host: str, seconds: float) -> None:
        self.simulation.kill(host)
        self.simulation.run_for(seconds)
        self.simulation.start(host)

    @stateful.rule(seconds=strategies.sampled_from((0, 1, 6)))
    def lose_all_power(self, seconds: float) -> None:
        for host in _HOSTS:
            self.simulation.lose_power(host)
        self.simulation.run_for(seconds)
        for host in _HOSTS:
            self.simulation.start(host)

    @stateful.rule(
        away_s=strategies.sampled_from((1, 4)),
        back_s=strategies.sampled_from((0.02, 0.6)),
        loses_power=strategies.booleans(),
    )
    def have_an_outage_of_the_log(
        self, away_s: float, back_s: float, loses_power: bool
    ) -> None:
        self.simulation.is_log_away = True
        self.simulation.run_for(away_s)
        self.simulation.is_log_away = False
        self.simulation.run_for(back_s)
        if loses_power:
            self.lose_all_power(1)

    @stateful.rule(
        host=_HOST, shift_ms=strategies.sampled_from((-2_000, 0, 2_000))
    )
    def step_one_clock(self, host: str, shift_ms: int) -> None:
        self.simulation.wall_clock_offsets_ms = {host: shift_ms}

    @stateful.rule(host=_HOST)
    def kill_without_restart(self, host: str) -> None:
        self.simulation.kill(host)

    @stateful.rule(host=_HOST)
    def toggle_log(self, host: str) -> None:
        self.simulation.cut_from_log ^= {host}

    @stateful.rule(pair=strategies.sets(_HOST, min_size=2, max_size=2))
    def toggle_link(self, pair: set[str]) -> None:
        self.simulation.cut_links ^= {frozenset(pair)}

    @stateful.rule(
        fate=strategies.sampled_from(prepaid_simulation.AppendEffect),
        count=strategies.integers(1, 3),
    )
    def lose_answers(
        self, fate: prepaid_simulation.AppendEffect, count: int
    ) -> None:
        self.simulation.append_effect = fate
        self.simulation.responses_to_lose = count

    @stateful.rule()
    def take_copy(self) -> None:
        self.simulation.take_copy()

    @stateful.rule(away_s=strategies.sampled_from((0, 0.3, 2)))
    def return_from_copy(self, away_s: float) -> None:
        self.simulation.return_from_copy(away_s)

    @stateful.rule(
        host=_HOST,
        tokens=strategies.integers(200, 2_500),
        seconds=strategies.sampled_from((0.1, 0.5, 3)),
        kills=strategies.booleans(),
    )
    def lose_what_a_host_spends(
        self, host: str, tokens: int, seconds: float, kills: bool
    ) -> None:
        self.simulation.take_copy()
        self.simulation.send_request(host, tokens, tokens, seconds=0.05)
        self.simulation.run_for(seconds)
        if kills:
            self.simulation.kill(host)
        self.simulation.return_from_copy()

    @stateful.rule(tokens=strategies.integers(0, 1_000))
    def top_up(self, tokens: int) -> None:
        self.simulation.prepaid_tokens += tokens

    @stateful.invariant()
    def nothing_is_overspent(self) -> None:
        assert self.simulation.max_used_tokens <= self.simulation.prepaid_tokens

    def teardown(self) -> None:
        """Spends all tokens that the routers still grant, then checks again."""
        simulation = self.simulation
        simulation.cut_from_log.clear()
        simulation.cut_links.clear()
        simulation.responses_to_lose = 0
        for host in _HOSTS:
            if host not in simulation.routers:
                simulation.start(host)
        simulation.run_for(12)
        for _ in range(_LAST_ROUNDS):
            for host in _HOSTS:
                simulation.send_request(host, _LAST_TOKENS, _LAST_TOKENS)
            simulation.run_for(0.6)
        assert simulation.max_used_tokens <= simulation.prepaid_tokens
        simulation.close()


PrepaidMachine.TestCase.settings = _SETTINGS
TestPrepaidMachine = PrepaidMachine.TestCase
