"""Checks the ledger's invariants under arbitrary faults, as a state machine.

The machine simulates several routers with their owners and holders, a log and a
network; hypothesis chooses the steps. The invariants are checked after every
step, and once more after all faults are repaired.

Hypothesis orders the rules by their names and takes the seed of a derandomized
test from the source text of the class without comments: changing the order or
the text, even a docstring, changes the sequences of steps that the test runs.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from redwingchute.testing import ledger_simulation

_HOST = strategies.sampled_from(ledger_simulation.HOSTS)
_PLACE = strategies.sampled_from(
    (*ledger_simulation.HOSTS, ledger_simulation.LOG)
)
_INDEX = strategies.integers(0, 30)
_DELIVERY = strategies.sampled_from(ledger_simulation.AppendDelivery)
_TOKENS = strategies.integers(1, 400)
_SKEW_MS = strategies.sampled_from((-86_400_000, -700, 0, 700, 86_400_000))

_ORDER = strategies.sampled_from(
    ("propose", "declare dead", "trim", "top up", "reduce")
)
_FAULT = strategies.sampled_from(
    ("cut", "cut off", "cut zone", "pause", "kill", "clock jumps")
)

_SETTINGS = hypothesis.settings(
    max_examples=120,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Hypothesis chooses the steps of a `LedgerSimulation`.

    Similar steps share a rule, so that requests and time without faults are
    chosen often enough between the faults.
    """

    def __init__(self) -> None:
        super().__init__()
        self.simulation = ledger_simulation.LedgerSimulation()

    @stateful.initialize(
        tokens=strategies.integers(200, 3_000), warm=strategies.booleans()
    )
    def start(self, tokens: int, warm: bool) -> None:
        self.simulation.propose("huon-1", True)
        self.simulation.run_for(5)
        self.simulation.send_credit("huon-1", "first", tokens)
        self.simulation.run_for(2)
        if warm:
            for number, host in enumerate(ledger_simulation.HOSTS):
                self.submit(host, 50 + number, 20, 20)
            self.simulation.run_for(15)
            for _ in ledger_simulation.HOSTS:
                self.finish(0)
            self.simulation.run_for(5)

    @stateful.rule(
        host=_HOST,
        key=strategies.integers(1, 40),
        bound=_TOKENS,
        tokens=_TOKENS,
    )
    def submit(self, host: str, key: int, bound: int, tokens: int) -> None:
        self.simulation.submit(host, key.to_bytes(16, "big"), bound, tokens)

    @stateful.rule(
        host=_HOST,
        first_key=strategies.integers(200, 10_000),
        is_mended=strategies.booleans(),
    )
    def serve_in_isolation(
        self, host: str, first_key: int, is_mended: bool
    ) -> None:
        self.simulation.cut_zone(host)
        for number in range(4):
            self.simulation.run_for(4)
            self.submit(host, first_key + number, 60, 40)
            self.simulation.finish(number)
        if is_mended:
            self.simulation.cuts.clear()

    @stateful.rule(host=_HOST, key=strategies.integers(101, 104))
    def submit_unrepeatable(self, host: str, key: int) -> None:
        self.simulation.submit(host, key.to_bytes(16, "big"), 50, 50, False)

    @stateful.rule(index=_INDEX)
    def finish(self, index: int) -> None:
        self.simulation.finish(index)

    @stateful.rule(index=_INDEX, is_cancelled=strategies.booleans())
    def finish_or_cancel(self, index: int, is_cancelled: bool) -> None:
        if is_cancelled:
            self.simulation.cancel(index)
        else:
            self.simulation.finish(index)

    @stateful.rule(host=_HOST, fate=_DELIVERY, step=strategies.integers(0, 2))
    def step_host(
        self, host: str, fate: ledger_simulation.AppendDelivery, step: int
    ) -> None:
        match step:
            case 0:
                self.simulation.advance_holders(host)
            case 1:
                self.simulation.commit(host, fate)
            case _:
                self.simulation.read(host)

    @stateful.rule(index=_INDEX, step=strategies.integers(0, 3))
    def step_network(self, index: int, step: int) -> None:
        match step:
            case 0:
                self.simulation.lose(index)
            case 1:
                self.simulation.deliver(index, is_repeated=True)
            case 2:
                self.simulation.deliver_late_append()
            case _:
                self.simulation.deliver(index)

    @stateful.rule(ms=strategies.sampled_from((20, 100, 500, 4_000)))
    def advance(self, ms: int) -> None:
        self.simulation.advance(ms)

    @stateful.rule(steps=strategies.integers(1, 30))
    def run_on(self, steps: int) -> None:
        self.simulation.run_for(steps)

    @stateful.rule(
        host=_HOST, other=_HOST, is_set=strategies.booleans(), what=_ORDER
    )
    def order(self, host: str, other: str, is_set: bool, what: str) -> None:
        match what:
            case "propose":
                self.simulation.propose(host, is_set)
            case "declare dead":
                self.simulation.declare_dead(host, other)
            case "trim":
                self.simulation.trim()
            case "top up":
                self.simulation.send_credit(host, f"up-{other}", 400)
            case _:
                self.simulation.send_credit(host, f"down-{other}", -150)

    @stateful.rule(host=_HOST, other=_PLACE, skew_ms=_SKEW_MS, what=_FAULT)
    def break_part(
        self, host: str, other: str, skew_ms: int, what: str
    ) -> None:
        match what:
            case "cut":
                self.simulation.cuts.add(frozenset((host, other)))
            case "cut off":
                self.simulation.cut_off(host)
            case "cut zone":
                self.simulation.cut_zone(host)
            case "pause":
                self.simulation.routers[host].is_paused = True
            case "kill":
                self.simulation.kill(host)
            case _:
                self.simulation.routers[host].clock_skew_ms = skew_ms

    @stateful.rule(host=_HOST, what=strategies.integers(0, 2))
    def mend(self, host: str, what: int) -> None:
        match what:
            case 0:
                self.simulation.cuts.clear()
            case 1:
                self.simulation.routers[host].is_paused = False
            case _:
                self.simulation.restart(host)

    @stateful.invariant()
    def check(self) -> None:
        self.simulation.check()

    def teardown(self) -> None:
        self.simulation.heal()
        self.simulation.check_healed()


def test_invariants_hold_under_arbitrary_faults() -> None:
    stateful.run_state_machine_as_test(LedgerMachine, settings=_SETTINGS)
