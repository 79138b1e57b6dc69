"""Limits repeats of a service over a sliding window.

The limit holds over all routers: each takes the part of its own requests and
an equal part of the slack. Every arrival at an upstream beyond the first of a
request counts, also one that the upstream turns away.
"""

import collections

# The part of the limit that is used, since the windows of routers differ.
_USED_SHARE = 0.8


class RetryAllowance:
    """The repeats that one router may still make at one service."""

    def __init__(self, ratio: float, slack: float, window_ms: int) -> None:
        """Starts with an empty window.

        Args:
          ratio: Repeats for each request of the window.
          slack: Repeats that this router always has in a window.
          window_ms: The length of the window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: collections.deque[int] = collections.deque()
        self._repeats: collections.deque[int] = collections.deque()

    def set_slack(self, slack: float) -> None:
        """Takes another part of the slack, as routers come and go."""
        self._slack = slack

    def note_request(self, now_ms: int) -> None:
        """Counts a request of the service."""
        self._requests.append(now_ms)
        self._drop_old(now_ms)

    def take_repeat(self, now_ms: int) -> bool:
        """Takes one repeat; False when none is left."""
        self._drop_old(now_ms)
        limit = self._ratio * len(self._requests) + self._slack
        if len(self._repeats) + 1 > limit * _USED_SHARE:
            return False
        self._repeats.append(now_ms)
        return True

    def _drop_old(self, now_ms: int) -> None:
        """Forgets what is older than the window."""
        for times in (self._requests, self._repeats):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
