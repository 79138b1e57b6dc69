"""The background tasks of one owner, which end with it."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any


class OwnedTasks:
    """Keeps tasks alive while they run, and ends those that are left."""

    def __init__(
        self, note_failure: Callable[[BaseException], None] | None = None
    ) -> None:
        """Starts without tasks.

        Args:
          note_failure: Takes the error of a task that failed; without it the
            event loop reports the error.
        """
        self._tasks: set[asyncio.Task[Any]] = set()
        self._note_failure = note_failure

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine as a task of this owner."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_ended)
        return task

    def cancel(self) -> None:
        """Cancels the tasks that are left."""
        for task in list(self._tasks):
            task.cancel()

    async def end(self) -> None:
        """Cancels the tasks that are left and waits for their ends."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _note_ended(self, task: asyncio.Task[Any]) -> None:
        """Forgets a task that ended, and tells of its failure."""
        self._tasks.discard(task)
        if self._note_failure is None or task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._note_failure(error)
