"""Keeps the parts of a process running that must not end before it does."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import attrs

from redwingchute.process import background_tasks
from redwingchute.process import decision_log

# The first and the longest pause before a part is started again; it doubles
# with each failure.
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 1.0
# A part that has run for this long since it was started again works.
_STABLE_MS = 5_000
# A part that fails once goes on before the balancer could react.
_MAX_TOLERATED_FAILURES = 1


@attrs.define
class _Part:
    """The state of a part.

    Attributes:
      started_ms: When it was started last; None while it does not run.
      failures: How often it has failed since it worked.
    """

    started_ms: int | None = None
    failures: int = 0


class PartSupervisor:
    """Starts parts again that fail, and names those that keep failing."""

    def __init__(
        self,
        tasks: background_tasks.BackgroundTasks,
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates a supervisor without parts.

        Args:
          tasks: Runs the parts, and ends them with their owner.
          read_clock_ms: Returns the time on a steady clock.
        """
        self._tasks = tasks
        self._read_clock_ms = read_clock_ms
        self._parts: dict[str, _Part] = {}

    def start(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Starts a part.

        Args:
          name: The name of the part in logs.
          run: Runs the part. It is called again if it fails, and must then
            continue from the state that it left. A part that returns has
            completed its work.
        """
        part = self._parts[name] = _Part()
        self._tasks.spawn(self._supervise(name, part, run))

    def find_failing(self) -> str | None:
        """Returns the name of a part that keeps failing; None if all work."""
        now_ms = self._read_clock_ms()
        for name, part in self._parts.items():
            if part.failures <= _MAX_TOLERATED_FAILURES:
                continue
            if part.started_ms is None or (
                now_ms - part.started_ms < _STABLE_MS
            ):
                return name
        return None

    async def _supervise(
        self,
        name: str,
        part: _Part,
        run: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Runs a part until it completes."""
        while True:
            part.started_ms = self._read_clock_ms()
            try:
                await run()
            # Whatever the error is, the process cannot do without the part.
            except Exception as error:
                if self._read_clock_ms() - part.started_ms >= _STABLE_MS:
                    part.failures = 0
                part.started_ms = None
                part.failures += 1
                decision_log.log_failure(
                    "part_failed",
                    part=name,
                    failures=part.failures,
                    reason=decision_log.describe_error(error),
                )
            else:
                return
            pause_s = _MIN_PAUSE_S * 2 ** min(part.failures - 1, 8)
            await asyncio.sleep(min(_MAX_PAUSE_S, pause_s))
