"""State machine test: the retries of all routers stay within the users' limit.

Hypothesis starts, kills, freezes and stops processes, cuts hosts off from the
log and sends requests that upstreams reject. The rule is checked by requests
and arrivals at the end of each example.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from redwingchute.testing import retry_simulation

_HOSTS = tuple(f"host-{number}" for number in range(6))
_HOST = strategies.sampled_from(_HOSTS)
_SOME_HOSTS = strategies.sets(_HOST, min_size=1).map(sorted).map(tuple)
_START_S = 17
_LEAVE_S = 0.5
# When a host that is away is no longer listed and its retries are forgotten.
_GONE_S = 50
_REQUESTS_PER_S = 0.2
# A router that cannot read the list of hosts reckons with a fleet that grows to
# twice its size, so no more than half of it is away at a time.
_MAX_AWAY = 3
_MAX_ATTEMPTS = 200
# Routers leave a fifth of the slack unused. Here they reckon with more, so that
# this margin cannot hide a fault.
_ROUTER_SLACK = retry_simulation.SLACK / 0.8

_SETTINGS = hypothesis.settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    # Shrinking takes minutes here, and failing examples are short without it.
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)


class RetryMachine(stateful.RuleBasedStateMachine):
    """Hypothesis chooses the steps of a `RetrySimulation`."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = retry_simulation.RetrySimulation(
            _HOSTS, 1, _ROUTER_SLACK
        )
        for load in self.simulation.loads.values():
            load.max_attempts = _MAX_ATTEMPTS
        self.away: set[str] = set()

    @stateful.initialize(hosts=strategies.integers(3, 6))
    def start_fleet(self, hosts: int) -> None:
        self.simulation.start(*_HOSTS[:hosts])
        self.away = set(_HOSTS[hosts:])
        self.simulation.run_for(_START_S)
        self.simulation.set_load(_HOSTS, _REQUESTS_PER_S)

    @stateful.rule(
        hosts=_SOME_HOSTS, count=strategies.sampled_from((1, 1, 1, 20))
    )
    def exhaust(self, hosts: tuple[str, ...], count: int) -> None:
        self.simulation.send_at_once(count, *hosts)

    @stateful.rule(seconds=strategies.sampled_from((0.5, 2, 5, 9, 12, 16)))
    def wait(self, seconds: float) -> None:
        self.simulation.run_for(seconds)

    @stateful.rule()
    def wait_until_away_hosts_are_gone(self) -> None:
        self.simulation.run_for(_GONE_S)

    @stateful.rule(hosts=_SOME_HOSTS)
    def start(self, hosts: tuple[str, ...]) -> None:
        self.away -= set(hosts)
        self.simulation.set_cut(False, *hosts)
        self.simulation.start(*hosts)

    @stateful.rule(hosts=_SOME_HOSTS)
    def leave(self, hosts: tuple[str, ...]) -> None:
        for host in hosts:
            if self.begin_absence(host):
                self.simulation.leave(host, _LEAVE_S)

    @stateful.rule(host=_HOST)
    def kill(self, host: str) -> None:
        if self.begin_absence(host):
            self.simulation.kill(host)

    @stateful.rule(hosts=_SOME_HOSTS)
    def freeze(self, hosts: tuple[str, ...]) -> None:
        for host in hosts:
            if self.begin_absence(host):
                self.simulation.freeze(host)

    @stateful.rule(hosts=_SOME_HOSTS)
    def cut(self, hosts: tuple[str, ...]) -> None:
        for host in hosts:
            if self.begin_absence(host):
                self.simulation.set_cut(True, host)

    @stateful.rule(seconds=strategies.integers(1, 40))
    def cut_all(self, seconds: int) -> None:
        present = set(_HOSTS) - self.away
        self.simulation.set_cut(True, *present)
        self.simulation.run_for(seconds)
        self.simulation.set_cut(False, *present)

    @stateful.rule()
    def restore(self) -> None:
        for host in sorted(self.away):
            self.simulation.set_cut(False, host)
            self.simulation.resume(host)
            if not self.simulation.is_running(host):
                self.simulation.start(host)
        self.away.clear()

    @stateful.rule(
        hosts=_SOME_HOSTS, delay_ms=strategies.sampled_from((0, 400, 1_600))
    )
    def delay(self, hosts: tuple[str, ...], delay_ms: int) -> None:
        self.simulation.set_retry_delay_ms(delay_ms, *hosts)

    def begin_absence(self, host: str) -> bool:
        """Returns whether a host may be away, and records it."""
        if host in self.away or len(self.away) == _MAX_AWAY:
            return False
        self.away.add(host)
        return True

    def teardown(self) -> None:
        try:
            excess = self.simulation.find_excess()
        finally:
            self.simulation.close()
        assert excess is None


TestRetryMachine = RetryMachine.TestCase
TestRetryMachine.settings = _SETTINGS
