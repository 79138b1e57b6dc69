"""Chooses which routers of an availability zone keep reserve of idle budgets.

A reserve on every router would cost one holding for each pair of budget and
router, used or not. A few routers of each zone keep a budget's reserve while
it is idle; the others get reserve when requests come, or from these siblings
once the zone is cut off.
"""

from collections.abc import Iterable
import heapq

import xxhash

KEEPERS_PER_ZONE = 2
# Budgets share their keepers by bucket, so that the choice costs one hash for
# each pair of bucket and router.
_BUCKETS = 256


def choose_kept_buckets(
    own_name: str, zone_hosts: Iterable[str]
) -> frozenset[int]:
    """Returns the buckets of budgets whose reserve a router keeps.

    Args:
      own_name: The router's host.
      zone_hosts: The hosts of its availability zone in view, itself included.
    """
    names = tuple(zone_hosts)
    return frozenset(
        bucket
        for bucket in range(_BUCKETS)
        if own_name in _choose_keepers(bucket, names)
    )


def find_bucket(budget: str) -> int:
    """Returns the bucket of a budget."""
    return xxhash.xxh3_64_intdigest(budget.encode()) % _BUCKETS


def _choose_keepers(bucket: int, names: tuple[str, ...]) -> list[str]:
    """Returns the keepers of a bucket by rendezvous hashing."""
    return heapq.nlargest(
        KEEPERS_PER_ZONE,
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{bucket}/{name}".encode()),
    )
