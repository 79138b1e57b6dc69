"""Measures overspend and false refusals of the fleet and two baselines.

Run as `python -m redwingchute.bench.spend_bench --output FILE`. Every design
gets the same requests, isolations, outages and crashes. The results are
written to the key `spending` of a JSON file; its other keys are kept.
"""

from collections.abc import Callable
import json
import pathlib
import statistics

import attrs
import defopt

from redwingchute.bench import spend_baselines
from redwingchute.bench import spend_cases
from redwingchute.bench import spend_fleet
from redwingchute.bench import spend_simulation

# For Derwent it matters most that few tokens become disputed, for Karri that
# few requests are refused falsely; see docs/design/SPENDING.md.
DERWENT_POLICY = spend_fleet.FleetPolicy(reserve_share=0.75)
KARRI_POLICY = spend_fleet.FleetPolicy(reserve_share=1.0)

FIRMS = (
    ("derwent", spend_cases.DERWENT_ZONES, DERWENT_POLICY),
    ("karri", spend_cases.KARRI_ZONES, KARRI_POLICY),
)

MakeDesign = Callable[
    [spend_simulation.SpendSimulation, spend_simulation.Tally, int],
    spend_baselines.Design,
]


@attrs.frozen
class Result:
    """The result of one run of one design.

    Attributes:
      firm: The firm, whose zones and policy are used.
      case: The name of the case.
      design: The name of the design.
      seed: The seed of the trace.
      offered: The number of requests that arrived.
      answered: How many were answered.
      lost: How many were lost in the crash of their router.
      overspend_tokens: The tokens spent beyond the credit.
      false_refusals: How many were refused although the budget's actual
        remainder covered them.
      false_refusal_ratio: `false_refusals` divided by `offered`.
      true_refusals: How many were refused for lack of tokens.
      stranded_tokens: Unspent tokens that falsely refused requests could have
        used.
      unaccounted_tokens: Tokens of crashed routers whose use is unknown.
      undurable: How many responses ended before their bill was in the log.
      appends_per_s: The records appended to the log per second.
      control_bytes_per_s: The mean over the routers of the control bytes sent
        and received per second.
      control_bytes_per_s_busiest: The same of the router with the most.
    """

    firm: str
    case: str
    design: str
    seed: int
    offered: int
    answered: int
    lost: int
    overspend_tokens: int
    false_refusals: int
    false_refusal_ratio: float
    true_refusals: int
    stranded_tokens: int
    unaccounted_tokens: int
    undurable: int
    appends_per_s: float
    control_bytes_per_s: float
    control_bytes_per_s_busiest: float


def run_design(
    firm: str,
    zones: tuple[str, ...],
    case: spend_cases.Case,
    design_name: str,
    make_design: MakeDesign,
    seed: int,
) -> Result:
    """Runs one design through one case.

    Args:
      firm: The firm's name, for the result.
      zones: The zone of each router.
      case: The case.
      design_name: The design's name, for the result.
      make_design: Creates the design in a simulation.
      seed: The seed of the trace.
    """
    simulation = spend_simulation.SpendSimulation(zones)
    tally = spend_simulation.Tally(spend_cases.compute_credit_tokens(case))
    design = make_design(simulation, tally, seed)
    _schedule_faults(simulation, design, case)
    for request in spend_cases.make_trace(case, zones, seed):
        simulation.schedule(
            request.at_ms,
            lambda each=request: _dispatch(  # type: ignore[misc]
                simulation, tally, design, each
            ),
        )
    end_ms = spend_cases.END_MS + spend_cases.DRAIN_MS
    simulation.run_until(end_ms)
    control = [each * 1_000 / end_ms for each in design.count_control_bytes()]
    return Result(
        firm=firm,
        case=case.name,
        design=design_name,
        seed=seed,
        offered=tally.offered,
        answered=tally.answered,
        lost=tally.lost,
        overspend_tokens=tally.overspend_tokens,
        false_refusals=tally.false_refusals,
        false_refusal_ratio=tally.false_refusals / tally.offered,
        true_refusals=tally.true_refusals,
        stranded_tokens=tally.stranded_tokens,
        unaccounted_tokens=design.count_unaccounted_tokens(),
        undurable=tally.undurable,
        appends_per_s=design.count_appends() * 1_000 / end_ms,
        control_bytes_per_s=statistics.mean(control),
        control_bytes_per_s_busiest=max(control),
    )


def find_clairvoyant_ratio(
    zones: tuple[str, ...], case: spend_cases.Case, seed: int
) -> float | None:
    """Returns the clairvoyant lower bound of the false refusal ratio.

    The bound counts the refusals during the isolation, as a share of all
    requests. It is None for cases without an isolated zone.
    """
    isolated_zone = spend_cases.find_isolated_zone(case, zones)
    if isolated_zone is None:
        return None
    trace = spend_cases.make_trace(case, zones, seed)
    false_refusals = spend_baselines.count_clairvoyant_refusals(
        trace,
        [zone == isolated_zone for zone in zones],
        spend_cases.compute_credit_tokens(case),
        spend_cases.FAULT_START_MS,
        spend_cases.FAULT_END_MS,
    )
    return false_refusals / len(trace)


def main(*, output: pathlib.Path, seeds: int = 3) -> None:
    """Runs every case and design and writes the results as JSON.

    Args:
      output: The file to write.
      seeds: The number of runs of each combination, each with another seed.
    """
    rows = []
    for firm, zones, policy in FIRMS:
        designs: dict[str, MakeDesign] = {
            "chosen": lambda simulation, tally, seed, each=policy: (  # type: ignore[misc]
                spend_fleet.Fleet(simulation, tally, each, seed)
            ),
            "equal split": lambda simulation, tally, seed: (
                spend_baselines.EqualSplit(simulation, tally)
            ),
            "ask owner": lambda simulation, tally, seed: (
                spend_baselines.CentralOwner(simulation, tally)
            ),
        }
        for case in spend_cases.CASES:
            for name, make_design in designs.items():
                runs = [
                    run_design(firm, zones, case, name, make_design, seed)
                    for seed in range(seeds)
                ]
                rows += [attrs.asdict(each) for each in runs]
                _print_runs(runs)
            bounds = [
                find_clairvoyant_ratio(zones, case, seed)
                for seed in range(seeds)
            ]
            known = [each for each in bounds if each is not None]
            if known:
                print(
                    f"{firm} | {case.name} | clairvoyant bound: "
                    f"{statistics.mean(known):.4f}",
                    flush=True,
                )
                rows.append(
                    {
                        "firm": firm,
                        "case": case.name,
                        "design": "clairvoyant bound",
                        "false_refusal_ratio": statistics.mean(known),
                    }
                )
    _write(output, rows)


def _dispatch(
    simulation: spend_simulation.SpendSimulation,
    tally: spend_simulation.Tally,
    design: spend_baselines.Design,
    request: spend_simulation.Request,
) -> None:
    """Sends a request to a router, as a load balancer does.

    A request that can reach no router is not counted.
    """
    router = simulation.find_available_router(request.router)
    if router is None:
        return
    tally.offered += 1
    design.handle_request(request, router)


def _schedule_faults(
    simulation: spend_simulation.SpendSimulation,
    design: spend_baselines.Design,
    case: spend_cases.Case,
) -> None:
    """Schedules the faults of a case."""
    isolated_zone = spend_cases.find_isolated_zone(case, simulation.zones)

    def start_faults() -> None:
        if isolated_zone is not None:
            simulation.isolated_zones.add(isolated_zone)
        simulation.is_log_up = not case.has_log_outage

    def end_faults() -> None:
        simulation.isolated_zones.clear()
        simulation.is_log_up = True

    def crash(router: int) -> None:
        simulation.crashed_routers.add(router)
        design.crash_router(router)

    def restart(router: int) -> None:
        simulation.crashed_routers.discard(router)
        design.restart_router(router)

    simulation.schedule(spend_cases.FAULT_START_MS, start_faults)
    simulation.schedule(spend_cases.FAULT_END_MS, end_faults)
    for router, from_ms, until_ms in case.crashes:
        simulation.schedule(from_ms, lambda each=router: crash(each))  # type: ignore[misc]
        simulation.schedule(until_ms, lambda each=router: restart(each))  # type: ignore[misc]


def _print_runs(runs: list[Result]) -> None:
    """Prints the means and maxima of runs that differ only in their seed."""
    first = runs[0]
    print(
        f"{first.firm} | {first.case} | {first.design}: overspend "
        f"{max(run.overspend_tokens for run in runs)}, false refusals "
        f"{statistics.mean(run.false_refusal_ratio for run in runs):.4f}, "
        f"stranded {statistics.mean(run.stranded_tokens for run in runs):.0f}, "
        "unaccounted "
        f"{statistics.mean(run.unaccounted_tokens for run in runs):.0f}, "
        f"undurable {statistics.mean(run.undurable for run in runs):.0f}, "
        f"appends/s {statistics.mean(run.appends_per_s for run in runs):.1f}, "
        "control B/s mean "
        f"{statistics.mean(run.control_bytes_per_s for run in runs):.0f}, "
        "busiest "
        f"{max(run.control_bytes_per_s_busiest for run in runs):.0f}",
        flush=True,
    )


def _write(output: pathlib.Path, rows: list[dict[str, object]]) -> None:
    """Writes the rows to the file and keeps its other keys."""
    output.parent.mkdir(parents=True, exist_ok=True)
    document = {}
    if output.exists():
        document = json.loads(output.read_text())
    document["spending"] = rows
    output.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    defopt.run(main)
