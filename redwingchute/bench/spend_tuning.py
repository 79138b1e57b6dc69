"""Compares policies of the fleet, to choose one for each firm.

All runs use Derwent's zones. For Derwent the disputes matter most: tokens whose
use is unknown, and responses that ended before their bill was in the log. For
Karri it is false refusals.
"""

from collections.abc import Sequence
import itertools
import statistics

import defopt

from redwingchute.bench import spend_bench
from redwingchute.bench import spend_cases
from redwingchute.bench import spend_fleet

_CASE_NAMES = (
    "zone cut, skewed demand",
    "zone cut, moving demand",
    "platform outage, skewed demand",
    "router deaths",
    "budget nearly spent",
)


def main(
    *,
    shares: Sequence[float] = (0.25, 0.5, 0.75, 1.0),
    smoothings: Sequence[float] = (0.25,),
    lease_ms: Sequence[int] = (2_000,),
    seeds: int = 2,
) -> None:
    """Runs each policy in selected cases and prints the means.

    Args:
      shares: The reserve shares to compare.
      smoothings: The smoothings to compare; a smoothing is the share of the
        mean demand that is added to each holder's demand.
      lease_ms: The lease intervals to compare; after one, a holder requests
        tokens again.
      seeds: The number of runs of each combination, each with another seed.
    """
    cases = [each for each in spend_cases.CASES if each.name in _CASE_NAMES]
    zones = spend_cases.DERWENT_ZONES
    for share, smoothing, interval in itertools.product(
        shares, smoothings, lease_ms
    ):
        policy = spend_fleet.FleetPolicy(
            reserve_share=share, smoothing=smoothing, lease_ms=interval
        )
        for case in cases:
            runs = [
                spend_bench.run_design(
                    "both",
                    zones,
                    case,
                    "chosen",
                    lambda simulation, tally, seed, each=policy: (  # type: ignore[misc]
                        spend_fleet.Fleet(simulation, tally, each, seed)
                    ),
                    seed,
                )
                for seed in range(seeds)
            ]
            print(
                f"share {share}, smoothing {smoothing}, lease {interval} ms | "
                f"{case.name}: overspend "
                f"{max(run.overspend_tokens for run in runs)}, refusals "
                f"{statistics.mean(r.false_refusal_ratio for r in runs):.4f},"
                " unaccounted "
                f"{statistics.mean(r.unaccounted_tokens for r in runs):.0f}, "
                f"undurable {statistics.mean(r.undurable for r in runs):.0f}, "
                "control B/s "
                f"{statistics.mean(r.control_bytes_per_s for r in runs):.0f}",
                flush=True,
            )


if __name__ == "__main__":
    defopt.run(main)
