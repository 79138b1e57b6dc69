"""Confines requests to the home regions of their route and account.

A request with home regions runs only at upstreams in one of them, and its body
passes only through hosts in one of them, besides the one that the caller
connected to. That host can't tell which region its caller is in, since
balancers send callers to other zones when their own has no host, so its own
region is no home by itself.

An availability zone whose region is not known is in no home region.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from redwingchute.core import forwarding
from redwingchute.process import decision_log


@attrs.frozen
class Homes:
    """Where one request may run, and which hosts may carry it.

    Attributes:
      regions: The regions that it is confined to; None for no limit. There may
        be none in common to its route and its account.
      zone_regions: The region of each availability zone that is known.
    """

    regions: frozenset[str] | None
    zone_regions: Mapping[str, str]

    @property
    def is_bound(self) -> bool:
        """Whether the request is confined to regions."""
        return self.regions is not None

    def may_run_at(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether an upstream may run the request."""
        return self._includes(upstream.zone)

    def may_pass(self, zone: str | None) -> bool:
        """Returns whether a host in a zone may carry the request's body.

        Args:
          zone: The zone of a host other than the one that the caller connected
            to; None if it is not known.
        """
        return self._includes(zone)

    def _includes(self, zone: str | None) -> bool:
        """Returns whether a zone is in a region that the request may enter."""
        if self.regions is None:
            return True
        region = self.zone_regions.get(zone) if zone else None
        return region is not None and region in self.regions


# The homes of a request that may run anywhere.
ANYWHERE = Homes(None, {})


class RegionMap:
    """The regions of availability zones, from the settings."""

    def __init__(
        self,
        zone: str = "",
        region: str = "",
        zones: Mapping[str, str] | None = None,
    ) -> None:
        """Creates a map.

        Args:
          zone: The zone of the own host.
          region: The region of the own host; empty if it is not known.
          zones: The region of each zone that is known.
        """
        self._zone_regions = {
            **({zone: region} if region else {}),
            **(zones or {}),
        }
        self._was_bound = False

    def find_homes(
        self, route: forwarding.Route, account: forwarding.ClientAccount | None
    ) -> Homes:
        """Returns where a request may run; both limits apply if there are two.

        Args:
          route: Its route.
          account: The account of its caller; None on routes without keys.
        """
        limits = [route.home_regions]
        if account is not None:
            limits.append(account.home_regions)
        limits = [regions for regions in limits if regions]
        if not limits:
            return ANYWHERE
        return Homes(frozenset.intersection(*limits), self._zone_regions)

    def log_binding(self, table: forwarding.RouteTable) -> None:
        """Logs what a configuration in force confines to regions.

        Nothing is logged while neither it nor the one before confines any.
        A region that no zone is in is probably misspelled, or this host's
        settings are older than the configuration.
        """
        routes = _list_bound(route.home_regions for route in table.routes)
        accounts = _list_bound(
            account.home_regions for account in table.accounts
        )
        was_bound, self._was_bound = self._was_bound, bool(routes or accounts)
        if not was_bound and not self._was_bound:
            return
        named = frozenset[str]().union(*routes, *accounts)
        decision_log.log_event(
            "home_regions_in_force",
            version=table.version,
            routes=len(routes),
            accounts=len(accounts),
            regions=sorted(named),
            unknown_regions=sorted(named - set(self._zone_regions.values())),
        )


def _list_bound(
    limits: Iterable[frozenset[str]],
) -> list[frozenset[str]]:
    """Returns the limits that bind."""
    return [regions for regions in limits if regions]
