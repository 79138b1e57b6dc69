"""Assigns budgets to shards by hash, and shards to hosts by rendezvous hashing.

The assignment to hosts is only a proposal of who should take a shard over. A
takeover record in the shard's stream decides who owns it.
"""

from collections.abc import Iterable

import xxhash

from redwingchute.core import data


def find_shard(budget: str, shard_count: int) -> int:
    """Returns the shard that holds a budget."""
    return xxhash.xxh3_64_intdigest(budget.encode()) % shard_count


def name_stream(shard: int) -> str:
    """Returns the name of a shard's stream in the log."""
    return f"ledger-{shard}"


def propose_owner(shard: int, hosts: Iterable[data.Host]) -> data.Host | None:
    """Returns the host that should own a shard.

    Args:
      shard: The shard.
      hosts: The live hosts; hosts that are leaving are skipped.

    Returns:
      The host with the highest hash for this shard, or None without hosts.
    """
    staying = [host for host in hosts if not host.is_leaving]
    return max(
        staying,
        key=lambda host: (_score(shard, host.name), host.name),
        default=None,
    )


def _score(shard: int, host_name: str) -> int:
    """Returns a host's hash for a shard."""
    return xxhash.xxh3_64_intdigest(f"{shard}/{host_name}".encode())
