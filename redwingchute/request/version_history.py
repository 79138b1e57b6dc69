"""Tracks which software versions the upstreams of a service have had.

While a service has had just one version for longer than any stream lasts, a
stream that broke off must have begun at it, and nobody has to remember where.
A version that was there and has left counts until no stream of it can be left,
so nothing may be missing: the history ends where entries may have been missed,
and begins with the list that is read then.
"""

from collections.abc import Iterable

import attrs

# Versions that are gone for this long are forgotten; no stream lasts longer.
_KEPT_MS = 120_000


@attrs.frozen
class ListedVersion:
    """A software version that a service has or had.

    Attributes:
      service: The service.
      version: The version; empty for an unknown one.
      age_ms: The time since it was last listed; 0 if it still is.
    """

    service: str
    version: str
    age_ms: int


class VersionHistory:
    """The versions of all services, as one router saw them."""

    def __init__(self) -> None:
        """Creates a history that begins with the first list of upstreams."""
        # Since when no list was missed by this process; None before the first.
        self._read_since_ms: int | None = None
        # The same, with what is known from earlier processes.
        self._known_since_ms: int | None = None
        # When each version was last listed, by service.
        self._listed_ms: dict[str, dict[str, int]] = {}

    @property
    def began_ms(self) -> int | None:
        """Since when this process has read all lists; None before."""
        return self._read_since_ms

    def begin(self, now_ms: int) -> None:
        """Begins the history anew: what was listed before may be unknown."""
        self._read_since_ms = self._known_since_ms = now_ms

    def restore(
        self, covered_ms: int, listed: Iterable[ListedVersion], now_ms: int
    ) -> None:
        """Adds what is known of the time before the history began.

        Args:
          covered_ms: How far back that knowledge is complete.
          listed: The versions that were listed in this time.
          now_ms: The current time.
        """
        if self._known_since_ms is None:
            return
        for found in listed:
            listed_ms = self._listed_ms.setdefault(found.service, {})
            last_ms = now_ms - found.age_ms
            known_ms = listed_ms.get(found.version, last_ms)
            listed_ms[found.version] = max(last_ms, known_ms)
        self._known_since_ms = min(self._known_since_ms, now_ms - covered_ms)

    def record_listed(
        self, service: str, versions: Iterable[str], now_ms: int
    ) -> None:
        """Records the versions that a service has now, or has had until now.

        Args:
          service: The service.
          versions: The versions of its upstreams; empty for unknown ones.
          now_ms: The current time.
        """
        listed_ms = self._listed_ms.setdefault(service, {})
        for version in versions:
            listed_ms[version] = now_ms
        for version, last_ms in list(listed_ms.items()):
            if now_ms - last_ms > _KEPT_MS:
                del listed_ms[version]

    def measure_ms(self, now_ms: int) -> int:
        """Returns how far back the history is complete."""
        if self._known_since_ms is None:
            return 0
        return min(_KEPT_MS, now_ms - self._known_since_ms)

    def covers(self, max_age_ms: int, now_ms: int) -> bool:
        """Returns whether the history is complete for at least some time."""
        return (
            self._known_since_ms is not None
            and now_ms - self._known_since_ms >= max_age_ms
        )

    def has_read(self, max_age_ms: int, now_ms: int) -> bool:
        """Returns whether this process itself had lists for some time."""
        return (
            self._read_since_ms is not None
            and now_ms - self._read_since_ms >= max_age_ms
        )

    def list_versions(
        self, service: str, max_age_ms: int, now_ms: int
    ) -> tuple[str, ...]:
        """Returns the versions that a service has had for some time.

        Args:
          service: The service; its versions must have been recorded now.
          max_age_ms: The time.
          now_ms: The current time.
        """
        return tuple(
            version
            for version, last_ms in self._listed_ms.get(service, {}).items()
            if now_ms - last_ms <= max_age_ms
        )

    def list_all(self, now_ms: int) -> tuple[ListedVersion, ...]:
        """Returns all versions of all services that are remembered.

        Args:
          now_ms: The current time; the versions of all services must have
            been recorded now.
        """
        return tuple(
            ListedVersion(service, version, now_ms - last_ms)
            for service, listed_ms in self._listed_ms.items()
            for version, last_ms in listed_ms.items()
        )
