"""Measures the share of requests answered within the caller's patience.

Run as `python -m redwingchute.bench.request_bench --output FILE`. The
simulation has eight routers and six engines, of which one is slow and one
refuses connections. Load reports arrive two seconds late.
"""

import json
import pathlib
import random
import statistics

import attrs
import defopt

from redwingchute.bench import request_clock
from redwingchute.bench import request_engine
from redwingchute.bench import request_policies
from redwingchute.bench import request_profiles

ROUTER_COUNT = 8
SLOTS_PER_ENGINE = 8
# The slow engine takes this many times as long as the others.
SLOWDOWN = 3.0
REPORT_LAG_MS = 2_000
# The load as multiples of the pool's capacity.
LOAD_FACTORS = (0.7, 1.0, 1.5)
# `chosen` is the router's own policy; the others are baselines.
POLICIES = ("chosen", "round_robin", "least_outstanding")
# How long the simulation continues after the last arrival.
_DRAIN_MS = 120_000


@attrs.frozen
class Result:
    """The result of one run.

    Attributes:
      profile: The name of the load profile.
      policy: The name of the routing policy.
      load_factor: The load as a multiple of the pool's capacity.
      seed: The seed of the arrival times and request sizes.
      offered: The number of requests that arrived in the measured window.
      in_time: How many of these were answered within the caller's patience.
      late: How many were answered later or not at all.
      refused: How many were refused.
      in_time_share: `in_time` divided by `offered`.
      of_possible: The work of the responses that ended within the measured
        window and in time, as a share of the work that the pool can do in the
        window, or of the work offered in it if that is less.
    """

    profile: str
    policy: str
    load_factor: float
    seed: int
    offered: int
    in_time: int
    late: int
    refused: int
    in_time_share: float
    of_possible: float


def make_engines(
    clock: request_clock.Clock,
) -> list[request_engine.SimulatedEngine]:
    """Returns six engines: one is slow and one refuses connections."""
    engine = request_engine.SimulatedEngine
    return [
        engine(clock, "runner-1", SLOTS_PER_ENGINE, slowdown=SLOWDOWN),
        engine(clock, "runner-2", SLOTS_PER_ENGINE, is_unreachable=True),
        *(engine(clock, f"runner-{n}", SLOTS_PER_ENGINE) for n in (3, 4, 5, 6)),
    ]


def run_once(
    profile: request_profiles.Profile,
    policy: str,
    load_factor: float,
    seed: int,
) -> Result:
    """Simulates one policy under one load.

    Args:
      profile: The load profile.
      policy: The name of the policy, one of `POLICIES`.
      load_factor: The load as a multiple of the pool's capacity.
      seed: The seed of the arrival times and request sizes.

    Raises:
      ValueError: No policy has this name.
    """
    clock = request_clock.Clock(
        profile.peak_start_ms - request_profiles.RAMP_MS
    )
    engines = make_engines(clock)
    routers = [
        _make_policy(policy, clock, engines, number)
        for number in range(ROUTER_COUNT)
    ]
    rng = random.Random(seed)
    # The work, in milliseconds at full speed, that the pool does in one
    # millisecond.
    capacity_per_ms = sum(
        engine.slots / engine.slowdown
        for engine in engines
        if not engine.is_unreachable
    )
    rate_per_s = load_factor * capacity_per_ms / profile.mean_work_ms * 1000
    requests = list(
        request_profiles.generate_requests(profile, rate_per_s, rng)
    )
    for request in requests:
        _schedule_arrival(clock, rng.choice(routers), request)
    end_ms = (
        profile.peak_start_ms + request_profiles.PEAK_DURATION_MS + _DRAIN_MS
    )
    clock.run_until(end_ms)
    possible_work_ms = capacity_per_ms * request_profiles.WINDOW_MS
    return _summarize(
        profile, policy, load_factor, seed, requests, possible_work_ms
    )


def _schedule_arrival(
    clock: request_clock.Clock,
    router: request_policies.Policy,
    request: request_engine.SimulatedRequest,
) -> None:
    """Schedules the arrival of a request at a router."""
    arrived_ms = request.ticket_template.arrived_at_ms
    clock.call_at(arrived_ms, lambda: router.handle_request(request))


def _make_policy(
    policy: str,
    clock: request_clock.Clock,
    engines: list[request_engine.SimulatedEngine],
    number: int,
) -> request_policies.Policy:
    """Returns one simulated router with the named policy."""
    match policy:
        case "chosen":
            return request_policies.PoolPolicy(
                clock, engines, ROUTER_COUNT, REPORT_LAG_MS
            )
        case "round_robin":
            return request_policies.RoundRobinPolicy(engines, number)
        case "least_outstanding":
            return request_policies.LeastOutstandingPolicy(engines)
        case _:
            raise ValueError(policy)


def _summarize(
    profile: request_profiles.Profile,
    policy: str,
    load_factor: float,
    seed: int,
    requests: list[request_engine.SimulatedRequest],
    possible_work_ms: float,
) -> Result:
    """Returns the result of a run from the outcomes of its requests."""
    measured = [request for request in requests if request.is_measured]
    in_time = [request for request in measured if request.is_in_time]
    refused = sum(request.is_refused for request in measured)
    offered_work_ms = sum(request.work_ms for request in measured)
    start_ms = profile.peak_start_ms + request_profiles.WINDOW_OFFSET_MS
    end_ms = start_ms + request_profiles.WINDOW_MS
    completed_work_ms = sum(
        request.work_ms
        for request in requests
        if request.is_in_time and start_ms <= (request.ended_ms or 0) < end_ms
    )
    return Result(
        profile.name,
        policy,
        load_factor,
        seed,
        offered=len(measured),
        in_time=len(in_time),
        late=len(measured) - len(in_time) - refused,
        refused=refused,
        in_time_share=round(len(in_time) / len(measured), 4),
        of_possible=round(
            completed_work_ms / min(offered_work_ms, possible_work_ms), 4
        ),
    )


def main(*, output: pathlib.Path, seeds: int = 3) -> None:
    """Runs every profile, policy and load, and writes the results as JSON.

    Args:
      output: The file to write.
      seeds: The number of runs of each combination, each with another seed.
    """
    profiles = [
        request_profiles.make_derwent_shift_change(),
        request_profiles.make_karri_rush(),
    ]
    results = []
    for profile in profiles:
        for load_factor in LOAD_FACTORS:
            for policy in POLICIES:
                runs = [
                    run_once(profile, policy, load_factor, seed)
                    for seed in range(seeds)
                ]
                results += runs
                _print_runs(runs)
    output.parent.mkdir(parents=True, exist_ok=True)
    rows = [attrs.asdict(result) for result in results]
    output.write_text(json.dumps({"patience": rows}, indent=1) + "\n")


def _print_runs(runs: list[Result]) -> None:
    """Prints the means of runs that differ only in their seed."""
    first = runs[0]
    in_time = statistics.mean(run.in_time_share for run in runs)
    possible = statistics.mean(run.of_possible for run in runs)
    worst = min(run.of_possible for run in runs)
    late = sum(run.late for run in runs)
    print(
        f"{first.profile} x{first.load_factor} {first.policy}: "
        f"in time {in_time:.3f}, of possible work {possible:.3f} "
        f"(least {worst:.3f}), late {late}",
        flush=True,
    )


if __name__ == "__main__":
    defopt.run(main)
