"""Divides the retries that a fleet may make among its routers.

The limit for a service is a ratio of its requests plus a fixed slack, for all
routers together. Each router applies the ratio to its own requests and uses an
equal share of the slack.
"""

from collections.abc import Callable

from redwingchute.process import host_registry
from redwingchute.request import retry_allowance


class RetryBudget:
    """The retry allowances of one router, by service."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: int,
        find_registration: Callable[[], host_registry.Registration | None],
    ) -> None:
        """Creates a budget without allowances.

        Args:
          ratio: The retries allowed for each request in a window.
          slack: The additional retries that all routers together may make in
            a window.
          window_ms: The length of the window.
          find_registration: Returns the own host's place in the list of hosts.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._find_registration = find_registration
        self._host_count = 1
        self._allowances: dict[str, retry_allowance.RetryAllowance] = {}

    def record_host_count(self, count: int) -> None:
        """Records the number of hosts, this one included, that share it."""
        self._host_count = count

    def find_allowance(self, service: str) -> retry_allowance.RetryAllowance:
        """Returns the allowance for a service."""
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = retry_allowance.RetryAllowance(
                self._ratio, self._find_share, self._window_ms
            )
            self._allowances[service] = allowance
        return allowance

    def _find_share(self, now_ms: int) -> float:
        """Returns this router's share of the slack."""
        registration = self._find_registration()
        if registration is None:
            return 0.0
        # An earlier process of the host may have used the share until this one
        # started.
        counted_ms = self._window_ms + retry_allowance.ARRIVAL_DELAY_MS
        if now_ms - registration.since_ms < counted_ms:
            return 0.0
        return self._slack / self._host_count
