"""Chooses the hubs of the fleet.

Hubs hold the grants of prepaid tokens, lend from them to the other routers of
their availability zone, and pass load notices on. In a small fleet every router
is a hub. In a larger one each zone has the same number of hubs, so that what a
router exchanges with others does not grow with the number of hosts. Every
router derives the hubs from the registered hosts alone. While routers know
different hosts, they may disagree; no guarantee depends on their agreement.
"""

from collections.abc import Iterable

import attrs
import xxhash

from redwingchute.process import host_registry

# Up to this number of hosts, each is a hub.
_MAX_HUBS_OF_SMALL_FLEET = 24
# In a larger fleet. A zone keeps a hub if two of them fail.
_HUBS_PER_ZONE = 3


@attrs.frozen
class HubView:
    """The hubs as one router sees them.

    Attributes:
      own_host: The router's host.
      own_zone: Its availability zone.
      host_count: The number of registered hosts, this one included.
      zones: The zone of each hub, by its host.
    """

    own_host: str
    own_zone: str
    host_count: int
    zones: dict[str, str]

    @property
    def is_hub(self) -> bool:
        """Whether this router is a hub."""
        return self.own_host in self.zones

    def list_other_hubs(self) -> tuple[str, ...]:
        """Returns the hosts of all hubs but this router, by name."""
        return tuple(sorted(self.zones.keys() - {self.own_host}))

    def order_hubs(self, key: str) -> tuple[str, ...]:
        """Returns the hubs but this router, in the order of preference.

        Hubs of this router's zone come first. The routers of a zone agree on
        the order for a key.

        Args:
          key: Spreads the load over the hubs of a zone.
        """
        return tuple(
            sorted(
                self.zones.keys() - {self.own_host},
                key=lambda host: (
                    self.zones[host] != self.own_zone,
                    xxhash.xxh64_intdigest(f"{key}/{host}".encode()),
                ),
            )
        )


def choose_hubs(
    own_host: host_registry.RegisteredHost,
    hosts: Iterable[host_registry.RegisteredHost],
) -> HubView:
    """Returns the hubs as a router sees them.

    Hosts with more processor time are preferred.

    Args:
      own_host: The router's host, which counts even if it is not registered.
      hosts: The registered hosts that are not leaving.
    """
    by_name = {host.name: host for host in hosts} | {own_host.name: own_host}
    hubs: dict[str, str] = {}
    if len(by_name) <= _MAX_HUBS_OF_SMALL_FLEET:
        hubs = {host.name: host.zone for host in by_name.values()}
    else:
        by_zone: dict[str, list[host_registry.RegisteredHost]] = {}
        for host in by_name.values():
            by_zone.setdefault(host.zone, []).append(host)
        for zone, members in by_zone.items():
            members.sort(
                key=lambda host: (
                    -host.processor_share,
                    xxhash.xxh64_intdigest(host.name.encode()),
                )
            )
            for host in members[:_HUBS_PER_ZONE]:
                hubs[host.name] = zone
    return HubView(own_host.name, own_host.zone, len(by_name), hubs)
