"""Measures the distribution of configuration changes to all routers.

Uses a manual clock and several fleet sizes, and compares three methods:

- `siblings`: a few routers of each availability zone read the log and the
  others get the changes from them by gossip, as in the daemon.
- `all read`: every router reads the log.
- `delegates`: the delegate hierarchy of hpmcast (Eugster and Guerraoui), which
  gossips each change level by level.

The first two run the daemon's decision code; `delegates` is a simulation of its
own. Message sizes are those of the real codec.

Usage: python scripts/measure_distribution.py [--changes N] [--seed N]
"""

import argparse
import collections
import math
import random

import attrs

from redwingchute.core import distribution as messages
from redwingchute.process import distribution
from redwingchute.testing import configuration_builders as builders
from redwingchute.testing import distribution_fakes
from redwingchute.version import changes
from redwingchute.version import loader
from redwingchute.wire import registry

_ROUTERS_AND_ZONES = ((3, 3), (8, 4), (20, 4), (40, 4), (540, 7))
_TIMEOUT_MS = 60_000
_WARM_UP_MS = 30_000
_IDLE_PERIOD_MS = 60_000
_PAUSE_AFTER_CHANGE_MS = 1_000
_LINK_DELAY_MS = 2
_FRAME_HEADER_BYTES = 4
# The number of configuration changes per day at the target size; see
# docs/CAPACITY.md.
_CHANGES_PER_DAY = 5_700
_S_PER_DAY = 86_400
# Parameters of the delegate hierarchy: delegates per zone, gossip targets per
# round, the period of a round, and rounds added to Pittel's formula.
_DELEGATES_PER_ZONE = 3
_GOSSIP_FANOUT = 3
_ROUND_PERIOD_MS = 100
_EXTRA_ROUNDS = 2


@attrs.frozen
class Result:
    """The cost of one method at one fleet size.

    Attributes:
      name: The method.
      routers: The number of routers.
      reached: The smallest share of routers that a change reached.
      slowest_ms: The longest time until a change was in force on all routers.
      messages: Messages between routers per change, without those of an idle
        fleet.
      bytes: The bytes of these messages per change.
      log_reads: Reads of the log per change, without those of an idle fleet.
      log_bytes: Bytes of the log's responses per change, to all reads.
      idle_bytes_per_s: Bytes that one router sends while nothing changes.
      day_bytes_per_s: Bytes that one router sends on average over a day with
        `_CHANGES_PER_DAY` changes.
      idle_reads_per_s: Reads of the log while nothing changes.
    """

    name: str
    routers: int
    reached: float
    slowest_ms: int
    messages: float
    bytes: float
    log_reads: float
    log_bytes: float
    idle_bytes_per_s: float
    day_bytes_per_s: float
    idle_reads_per_s: float


def make_first_change() -> changes.ConfigurationChange:
    """Returns the change that creates the first version."""
    text = loader.dump_configuration(builders.make_configuration())
    return changes.ConfigurationChange(
        bytes(16),
        "ada",
        "start",
        0,
        0,
        changes.ReplaceDocument(loader.compress_document(text)),
    )


def make_small_change(number: int) -> changes.ConfigurationChange:
    """Returns a small change, which is the most common kind."""
    share = number % 100 / 100
    return changes.ConfigurationChange(
        (number + 1).to_bytes(16),
        "operator-with-a-name",
        "more reserve for the shift change",
        1_700_000_000_000,
        0,
        changes.SetReserve(builders.BUDGET, share),
    )


def measure_routers(
    name: str,
    routers: int,
    zones: int,
    has_links: bool,
    change_count: int,
    seed: int,
) -> Result:
    """Measures the daemon's decision code.

    Args:
      name: The method's name in the table.
      routers: The number of routers.
      zones: The number of availability zones.
      has_links: Whether routers exchange changes; otherwise all read the log.
      change_count: The number of changes.
      seed: The seed of the random choices.
    """
    policy = distribution.DistributionPolicy()
    if not has_links:
        policy = attrs.evolve(policy, readers_per_zone=routers)
    fleet = distribution_fakes.FakeRouters(
        distribution_fakes.make_zones(routers, zones),
        policy,
        seed,
        _LINK_DELAY_MS,
        has_links,
    )
    fleet.append(make_first_change())
    fleet.run(_WARM_UP_MS)
    fleet.reset_counts()
    fleet.run(_IDLE_PERIOD_MS)
    idle_bytes_per_ms = fleet.bytes_sent / _IDLE_PERIOD_MS
    idle_messages_per_ms = fleet.messages_sent / _IDLE_PERIOD_MS
    idle_reads_per_ms = fleet.log_reads / _IDLE_PERIOD_MS
    fleet.reset_counts()
    slowest_ms = 0
    duration_ms = 0
    for number in range(change_count):
        fleet.append(make_small_change(number))
        version = fleet.log.read(distribution_fakes.STREAM, 0).next
        took_ms = fleet.run_until_in_force(version, _TIMEOUT_MS)
        assert took_ms is not None
        slowest_ms = max(slowest_ms, took_ms)
        fleet.run(_PAUSE_AFTER_CHANGE_MS)
        duration_ms += took_ms + _PAUSE_AFTER_CHANGE_MS
    change_bytes = (
        fleet.bytes_sent - idle_bytes_per_ms * duration_ms
    ) / change_count
    idle_bytes_per_s = idle_bytes_per_ms * 1_000 / routers
    return Result(
        name,
        routers,
        1.0,
        slowest_ms,
        (fleet.messages_sent - idle_messages_per_ms * duration_ms)
        / change_count,
        change_bytes,
        (fleet.log_reads - idle_reads_per_ms * duration_ms) / change_count,
        fleet.log_bytes / change_count,
        idle_bytes_per_s,
        idle_bytes_per_s
        + change_bytes / routers * _CHANGES_PER_DAY / _S_PER_DAY,
        idle_reads_per_ms * 1_000,
    )


def measure_delegates(
    routers: int, zones: int, change_count: int, seed: int
) -> Result:
    """Measures the delegate hierarchy with two levels: zones and routers.

    The delegates of the first zone read the log. In each period, a router that
    has the change sends it to a few random members of its group, for the number
    of rounds that the paper expects to be needed (Pittel's formula plus a
    constant). Delegates first do so among all delegates, then in their zone.

    Args:
      routers: The number of routers.
      zones: The number of availability zones.
      change_count: The number of changes.
      seed: The seed of the random choices.
    """
    random_source = random.Random(seed)
    groups: dict[str, list[str]] = collections.defaultdict(list)
    for name, zone in distribution_fakes.make_zones(routers, zones).items():
        groups[zone].append(name)
    delegates = [
        n for group in groups.values() for n in group[:_DELEGATES_PER_ZONE]
    ]
    log_readers = next(iter(groups.values()))[:_DELEGATES_PER_ZONE]
    size = _FRAME_HEADER_BYTES + len(
        registry.make_codec().encode(
            messages.ConfigurationRecords(
                1,
                (
                    messages.LoggedRecord(
                        1, registry.make_codec().encode(make_small_change(1))
                    ),
                ),
            )
        )
    )
    slowest_ms = sent = 0
    reached = 1.0
    for _ in range(change_count):
        informed_delegates, delegates_rounds, delegates_sent = _gossip(
            delegates, set(log_readers), random_source
        )
        infected = set(informed_delegates)
        longest = 0
        for group in groups.values():
            start = informed_delegates & set(group)
            if not start:
                continue
            members, group_rounds, group_sent = _gossip(
                group, start, random_source
            )
            infected |= members
            sent += group_sent
            longest = max(longest, group_rounds)
        sent += delegates_sent
        slowest_ms = max(
            slowest_ms, (delegates_rounds + longest) * _ROUND_PERIOD_MS
        )
        reached = min(reached, len(infected) / routers)
    change_bytes = sent * size / change_count
    return Result(
        "delegates",
        routers,
        reached,
        slowest_ms,
        sent / change_count,
        change_bytes,
        len(log_readers),
        len(log_readers) * size,
        0.0,
        change_bytes / routers * _CHANGES_PER_DAY / _S_PER_DAY,
        len(log_readers)
        / (distribution.DistributionPolicy().read_wait_ms / 1_000),
    )


def _gossip(
    group: list[str], infected: set[str], random_source: random.Random
) -> tuple[set[str], int, int]:
    """Simulates gossip in a group.

    Args:
      group: The names of the routers in the group.
      infected: Those that have the change at the start.
      random_source: Chooses the targets.

    Returns:
      The members reached, the round that reached the last of them, and the
      number of messages.
    """
    infected = set(infected)
    size = max(2, len(group))
    round_limit = _EXTRA_ROUNDS + math.ceil(
        math.log(size) * (1 / _GOSSIP_FANOUT + 1 / math.log(_GOSSIP_FANOUT + 1))
    )
    last_round = sent = 0
    for number in range(1, round_limit + 1):
        receivers: set[str] = set()
        for name in sorted(infected):
            others = [other for other in group if other != name]
            chosen = random_source.sample(
                others, min(_GOSSIP_FANOUT, len(others))
            )
            sent += len(chosen)
            receivers.update(chosen)
        if receivers - infected:
            last_round = number
        infected |= receivers
    return infected, last_round, sent


def print_results(results: list[Result]) -> None:
    """Prints the results as a Markdown table."""
    print(
        "| way | routers | reached | slowest ms | messages | bytes |"
        " log reads | log bytes | idle B/s per router |"
        " day B/s per router | idle log reads/s |"
    )
    print("|---" * 11 + "|")
    for item in results:
        print(
            f"| {item.name} | {item.routers} | {item.reached:.3f} |"
            f" {item.slowest_ms} | {item.messages:.0f} | {item.bytes:.0f} |"
            f" {item.log_reads:.1f} | {item.log_bytes:.0f} |"
            f" {item.idle_bytes_per_s:.1f} | {item.day_bytes_per_s:.1f} |"
            f" {item.idle_reads_per_s:.1f} |"
        )


def main() -> None:
    """Measures all methods at all fleet sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    results = []
    for routers, zones in _ROUTERS_AND_ZONES:
        for name, has_links in (("siblings", True), ("all read", False)):
            results.append(
                measure_routers(
                    name,
                    routers,
                    zones,
                    has_links,
                    options.changes,
                    options.seed,
                )
            )
        results.append(
            measure_delegates(routers, zones, options.changes, options.seed)
        )
    print_results(results)


if __name__ == "__main__":
    main()
