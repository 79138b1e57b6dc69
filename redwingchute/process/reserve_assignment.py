"""Assigns the reserve of idle budgets to routers of an availability zone.

A reserve is a grant of a budget's tokens that a router may spend while the
ledger is unreachable. A reserve on every router would cost one holding per
budget and router, used or not. Instead, a few routers of each zone hold a
budget's reserve while it is idle. The other routers obtain reserve when
requests arrive, or by transfer from these siblings while the zone is cut off
from the ledger.
"""

from collections.abc import Iterable
import heapq

import xxhash

ROUTERS_PER_ZONE = 2
# Budgets are assigned by bucket, so that an assignment costs one hash per
# bucket and router, whatever the number of budgets.
_BUCKETS = 256


def list_assigned_buckets(
    own_name: str, zone_hosts: Iterable[str]
) -> frozenset[int]:
    """Returns the buckets of the budgets whose reserve a router holds.

    Args:
      own_name: The router's host name.
      zone_hosts: The names of the reachable hosts of its availability zone,
        including itself.
    """
    names = tuple(zone_hosts)
    return frozenset(
        bucket
        for bucket in range(_BUCKETS)
        if own_name in _choose_routers(bucket, names)
    )


def find_bucket(budget: str) -> int:
    """Returns the bucket of a budget."""
    return xxhash.xxh3_64_intdigest(budget.encode()) % _BUCKETS


def _choose_routers(bucket: int, names: tuple[str, ...]) -> list[str]:
    """Returns the routers assigned to a bucket, by rendezvous hashing."""
    return heapq.nlargest(
        ROUTERS_PER_ZONE,
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{bucket}/{name}".encode()),
    )
