"""Chooses the upstreams of a large pool that one router works with.

A router that polled every upstream of a large pool would spend its control
traffic on load reports. Rendezvous hashing gives each router a stable subset,
and each upstream about the same number of routers.
"""

from collections.abc import Sequence
import hashlib
import math

import attrs

from redwingchute.core import configuration

MAX_SUBSET = 24

# The least share of a subset that lies in other availability zones, for
# spill-over.
_REMOTE_SHARE = 0.25


@attrs.frozen
class Subset:
    """The upstreams that one router works with.

    Attributes:
      upstreams: The chosen upstreams.
      sharing_routers: How many routers each of them serves, on average.
    """

    upstreams: tuple[configuration.Upstream, ...]
    sharing_routers: int


def choose_subset(
    upstreams: Sequence[configuration.Upstream],
    router_name: str,
    zone: str,
    router_count: int,
) -> Subset:
    """Returns a router's subset; small pools are taken whole.

    Args:
      upstreams: The whole pool.
      router_name: The router that chooses.
      zone: Its availability zone.
      router_count: How many routers there are.
    """
    if len(upstreams) <= MAX_SUBSET:
        return Subset(tuple(upstreams), max(1, router_count))
    local = _rank([u for u in upstreams if u.zone == zone], router_name)
    remote = _rank([u for u in upstreams if u.zone != zone], router_name)
    remote_count = min(len(remote), math.ceil(_REMOTE_SHARE * MAX_SUBSET))
    local_count = min(len(local), MAX_SUBSET - remote_count)
    chosen = local[:local_count] + remote[: MAX_SUBSET - local_count]
    share = len(chosen) / len(upstreams)
    return Subset(tuple(chosen), max(1, math.ceil(router_count * share)))


def _rank(
    upstreams: list[configuration.Upstream], router_name: str
) -> list[configuration.Upstream]:
    """Orders upstreams by their hash together with the router's name."""
    return sorted(
        upstreams,
        key=lambda upstream: hashlib.blake2b(
            f"{router_name}\n{upstream.name}".encode(), digest_size=8
        ).digest(),
    )
