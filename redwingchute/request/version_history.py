"""Tracks which software versions the upstreams of a service have had.

While a service has had just one version for longer than any stream lasts, a
stream that broke off must have begun at it, and nobody has to remember where.
"""

from collections.abc import Iterable

# Versions that are gone for this long are forgotten; no stream lasts longer.
_KEPT_MS = 120_000


class VersionHistory:
    """The versions of all services, as one router saw them."""

    def __init__(self, now_ms: int) -> None:
        """Creates a history that begins now."""
        self._began_ms = now_ms
        # When each version was last listed, by service.
        self._listed_ms: dict[str, dict[str, int]] = {}

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

    def covers(self, max_age_ms: int, now_ms: int) -> bool:
        """Returns whether the history is at least as long as some time."""
        return now_ms - self._began_ms >= max_age_ms

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
