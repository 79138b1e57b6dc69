"""Background tasks that are cancelled with the object that owns them."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from redwingchute.process import decision_log


class BackgroundTasks:
    """Runs the background tasks of one owner, which cancels them when it ends.

    The references held here keep running tasks from being garbage-collected,
    because the event loop itself only holds weak references to tasks.
    """

    def __init__(
        self, on_failure: Callable[[BaseException], None] | None = None
    ) -> None:
        """Starts without tasks.

        Args:
          on_failure: Called with the error of a task that failed; if None,
            the error is logged.
        """
        self._tasks: set[asyncio.Task[Any]] = set()
        self._on_failure = on_failure or _log_failure

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a coroutine as a background task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_completion)
        return task

    def cancel(self) -> None:
        """Cancels all running tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def cancel_and_wait(self) -> None:
        """Cancels all running tasks and waits until they have ended."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _handle_completion(self, task: asyncio.Task[Any]) -> None:
        """Removes a completed task and reports its failure, if any."""
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_failure(error)


def _log_failure(error: BaseException) -> None:
    """Logs the failure of a task, none of which should fail."""
    decision_log.log_failure(
        "part_failed", reason=decision_log.describe_error(error)
    )
