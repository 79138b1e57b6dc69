"""Tracks since when the routes lead where they lead now.

A stream that began before its route was moved or split otherwise may have begun
at another service, whose versions have nothing in common with those of the
service that its caller is led to now.
"""

from typing import TypeAlias

import attrs

from redwingchute.core import forwarding

_RouteKey: TypeAlias = tuple[str, str]


@attrs.frozen
class _Leading:
    """Where a route leads.

    Attributes:
      services: The services.
      since_ms: Since when it is known to lead there.
      longest_ms: The longest timeout that it has had since.
    """

    services: tuple[forwarding.WeightedService, ...]
    since_ms: int
    longest_ms: int


class RouteHistory:
    """The routes of one router, and since when each leads where it does."""

    def __init__(self) -> None:
        """Creates a history without routes."""
        self._routes: dict[_RouteKey, _Leading] = {}
        self._version: int | None = None
        self._version_since_ms = 0
        # A version that was in force earlier, and since how long before.
        self._earlier: tuple[int, int] | None = None

    def record_table(self, table: forwarding.RouteTable, now_ms: int) -> None:
        """Records the routes that are in force from now on."""
        before, self._routes = self._routes, {}
        for route in table.routes:
            self._routes[_find_key(route)] = _follow(
                before.get(_find_key(route)), route, now_ms
            )
        # The requests of a removed route go to a shorter one.
        for host, prefix in before.keys() - self._routes.keys():
            for key, leading in self._routes.items():
                if key[0] == host and prefix.startswith(key[1]):
                    self._routes[key] = attrs.evolve(leading, since_ms=now_ms)
        is_first = self._version is None
        self._version, self._version_since_ms = table.version, now_ms
        if is_first and self._earlier is not None:
            self.restore(*self._earlier, now_ms)

    def restore(self, version: int, covered_ms: int, now_ms: int) -> None:
        """Adds that a version was in force before this process knew of it.

        Args:
          version: The version.
          covered_ms: How long it had been in force.
          now_ms: The current time.
        """
        if self._version is None:
            self._earlier = (version, covered_ms)
        elif self._version == version:
            since_ms = now_ms - covered_ms
            self._version_since_ms = min(self._version_since_ms, since_ms)
            for key, leading in self._routes.items():
                self._routes[key] = attrs.evolve(
                    leading, since_ms=min(leading.since_ms, since_ms)
                )

    def find_version(self, now_ms: int) -> tuple[int, int] | None:
        """Returns the version in force and for how long; None without one."""
        if self._version is None:
            return None
        return self._version, now_ms - self._version_since_ms

    def has_led(
        self, route: forwarding.Route, max_age_ms: int, now_ms: int
    ) -> bool:
        """Returns whether a route has led where it does for some time."""
        leading = self._routes.get(_find_key(route))
        return leading is not None and now_ms - leading.since_ms >= max_age_ms

    def find_longest_timeout_ms(self, route: forwarding.Route) -> int:
        """Returns the longest timeout that a route has had here."""
        leading = self._routes.get(_find_key(route))
        return max(route.timeout_ms, leading.longest_ms if leading else 0)


def _find_key(route: forwarding.Route) -> _RouteKey:
    """Returns what requests are matched to a route by."""
    return route.host, route.path_prefix


def _follow(
    before: _Leading | None, route: forwarding.Route, now_ms: int
) -> _Leading:
    """Returns where a route leads, given where it led before."""
    longest_ms = max(route.timeout_ms, before.longest_ms if before else 0)
    if before is not None and before.services == route.services:
        return attrs.evolve(before, longest_ms=longest_ms)
    return _Leading(route.services, now_ms, longest_ms)
