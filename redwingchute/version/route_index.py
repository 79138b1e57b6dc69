"""Looks up routes, client accounts and services in a route table."""

import xxhash

from redwingchute.core import forwarding


class RouteIndex:
    """A route table with indexes for lookups.

    Attributes:
      table: The route table.
    """

    def __init__(self, table: forwarding.RouteTable) -> None:
        """Builds the indexes of a route table."""
        self.table = table
        self._by_host: dict[str, list[forwarding.Route]] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_key = {
            key: account for account in table.accounts for key in account.keys
        }
        self._services = {service.name: service for service in table.services}

    def find_route(self, host: str, path: str) -> forwarding.Route | None:
        """Returns the route with the longest matching path prefix, or None.

        Args:
          host: The value of the `Host` header, in lower case.
          path: The path of the request.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_account(self, key: str) -> forwarding.ClientAccount | None:
        """Returns the client account of a key, or None."""
        return self._by_key.get(key)

    def find_service(self, name: str) -> forwarding.Service:
        """Returns a service; one that is not in the table has no limit."""
        return self._services.get(name, forwarding.Service(name))

    @property
    def needs_keys(self) -> bool:
        """Whether requests of non-public routes need a key."""
        return bool(self.table.accounts)


def choose_service(route: forwarding.Route, request_id: str) -> str:
    """Chooses the service of a request by the weights of the route.

    The choice is a hash of the request id: the same request always goes to the
    same service.
    """
    total = sum(weighted.weight for weighted in route.services)
    remaining_weight = (
        xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
    )
    for weighted in route.services:
        remaining_weight -= weighted.weight
        if remaining_weight < 0:
            return weighted.service
    return route.services[-1].service
