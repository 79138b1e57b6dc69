"""Measures how late the soak's own process runs.

On an overloaded machine, callers send and give up late, so that a violation of
a time limit may come from the machine. The report states the lag for that.
"""

import asyncio

_PERIOD_S = 0.05


class LagMonitor:
    """Measures the delays of a timer; a context manager.

    Attributes:
      max_lag_ms: The longest delay so far.
    """

    def __init__(self) -> None:
        """Prepares a monitor, which measures once its context is entered."""
        self.max_lag_ms = 0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "LagMonitor":
        """Starts measuring."""
        self._task = asyncio.create_task(self._measure())
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stops measuring."""
        assert self._task is not None
        self._task.cancel()

    async def _measure(self) -> None:
        """Measures each delay."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + _PERIOD_S
            await asyncio.sleep(_PERIOD_S)
            lag_ms = int(1000 * (loop.time() - due_s))
            self.max_lag_ms = max(self.max_lag_ms, lag_ms)
