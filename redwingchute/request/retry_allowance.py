"""Limits the retries at a service over a sliding window.

The limit is a ratio of the requests plus a fixed slack, for all routers
together. Each router applies the ratio to its own requests and gets an equal
share of the slack. Every arrival at an upstream after the first of a request
counts as a retry, also one that the upstream rejects.
"""

import collections
from collections.abc import Callable

import attrs

# The share of the ratio that is used. When the load moves from one router to
# another, both have its requests in windows that overlap, so that each request
# may count at twice its weight.
_USED_RATIO_SHARE = 0.5
# The share of the slack that is used. The rest is a margin.
_USED_SLACK_SHARE = 0.8
# How long after it was acquired a retry may arrive: connecting takes time, and
# may fail at some upstreams first.
ARRIVAL_DELAY_MS = 2_000


@attrs.frozen
class RetryState:
    """How far an allowance is used.

    Attributes:
      used: The retries in the window.
      limit: The retries that the window may have.
    """

    used: int
    limit: float


class RetryAllowance:
    """The retries that one router may make at one service."""

    def __init__(
        self,
        ratio: float,
        find_slack: Callable[[int], float],
        window_ms: int,
    ) -> None:
        """Creates an allowance with an empty window.

        Args:
          ratio: The retries allowed for each request in the window.
          find_slack: Returns the additional retries allowed in the window up
            to a time: this router's share of the slack of all routers.
          window_ms: The length of the window.
        """
        self._ratio = ratio
        self._find_slack = find_slack
        self._window_ms = window_ms
        self._requests: collections.deque[int] = collections.deque()
        self._retries: collections.deque[int] = collections.deque()

    def record_request(self, now_ms: int) -> None:
        """Records a request to the service."""
        self._requests.append(now_ms)
        self._remove_expired(now_ms)

    def acquire_retry(self, now_ms: int) -> bool:
        """Acquires one retry; returns False if the limit is reached."""
        state = self.find_state(now_ms)
        if state.used + 1 > state.limit:
            return False
        self._retries.append(now_ms)
        return True

    def find_state(self, now_ms: int) -> RetryState:
        """Returns how far the allowance is used."""
        self._remove_expired(now_ms)
        return RetryState(
            used=len(self._retries),
            limit=_USED_RATIO_SHARE * self._ratio * len(self._requests)
            + _USED_SLACK_SHARE * self._find_slack(now_ms),
        )

    def _remove_expired(self, now_ms: int) -> None:
        """Removes the entries that are no longer in the window.

        A retry may arrive late, so retries stay longer and requests shorter
        than the window.
        """
        _remove_until(
            self._requests, now_ms - self._window_ms + ARRIVAL_DELAY_MS
        )
        _remove_until(
            self._retries, now_ms - self._window_ms - ARRIVAL_DELAY_MS
        )


def _remove_until(times_ms: collections.deque[int], end_ms: int) -> None:
    """Removes the times up to an end from the front of a queue."""
    while times_ms and times_ms[0] <= end_ms:
        times_ms.popleft()
