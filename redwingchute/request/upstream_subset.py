"""Chooses the subset of a large pool's upstreams that one router uses.

Polling every upstream of a large pool for load reports would cause too much
control traffic. Rendezvous hashing gives each router a stable subset, and each
upstream about the same number of routers.
"""

from collections.abc import Sequence
import hashlib
import math

import attrs

from redwingchute.core import configuration

MAX_SUBSET = 24

# The minimum share of a subset in other availability zones, which take the
# overflow of the router's own zone.
_MIN_REMOTE_SHARE = 0.25


@attrs.frozen
class Subset:
    """The upstreams that one router uses.

    Attributes:
      upstreams: The chosen upstreams.
      sharing_routers: The number of routers that use each of them, on average
        and rounded up.
    """

    upstreams: tuple[configuration.Upstream, ...]
    sharing_routers: int


def choose_subset(
    upstreams: Sequence[configuration.Upstream],
    router_name: str,
    zone: str,
    router_count: int,
) -> Subset:
    """Returns a router's subset, which is the whole pool if that is small.

    Args:
      upstreams: All upstreams of the pool.
      router_name: The name of the router.
      zone: Its availability zone.
      router_count: The number of routers.
    """
    if len(upstreams) <= MAX_SUBSET:
        return Subset(tuple(upstreams), max(1, router_count))
    local = _sort_by_hash([u for u in upstreams if u.zone == zone], router_name)
    remote = _sort_by_hash(
        [u for u in upstreams if u.zone != zone], router_name
    )
    remote_count = min(len(remote), math.ceil(_MIN_REMOTE_SHARE * MAX_SUBSET))
    local_count = min(len(local), MAX_SUBSET - remote_count)
    chosen = local[:local_count] + remote[: MAX_SUBSET - local_count]
    share = len(chosen) / len(upstreams)
    return Subset(tuple(chosen), max(1, math.ceil(router_count * share)))


def _sort_by_hash(
    upstreams: list[configuration.Upstream], router_name: str
) -> list[configuration.Upstream]:
    """Returns upstreams in the order of their rendezvous hash for a router."""
    return sorted(
        upstreams,
        key=lambda upstream: hashlib.blake2b(
            f"{router_name}\n{upstream.name}".encode(), digest_size=8
        ).digest(),
    )
