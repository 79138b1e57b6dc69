"""An asyncio event loop whose clock jumps from timer to timer.

Code on this loop never waits for real time, however long it sleeps, and runs in
the same order every time. A `SimulatedProcess` groups the tasks of one process:
freezing it holds back all of its callbacks, as SIGSTOP does to a real process,
and killing it discards them. The only sockets are the loop's own wake-up pair.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextvars
import enum
import selectors
from typing import Any
from typing import TypeVar

_ResultT = TypeVar("_ResultT")

_CLOCK_RESOLUTION_S = 1e-6
_CLEANUP_TIMEOUT_S = 600.0


class StalledError(Exception):
    """All tasks are blocked and no timer is set."""


class _ClockSelector(selectors.DefaultSelector):
    """A selector that advances the manual clock instead of waiting."""

    now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the clock by the timeout and reports no event."""
        if timeout is None:
            raise StalledError("no task can run and no timer is set")
        self.now_s += timeout
        return []


class ProcessState(enum.Enum):
    """Whether the callbacks of a process run."""

    RUNNING = "running"
    FROZEN = "frozen"
    DEAD = "dead"


class SimulatedProcess:
    """The tasks of one process on a manual loop.

    Attributes:
      name: The name by which cuts refer to it.
      state: Whether its callbacks run.
      context: Tasks created in it belong to the process.
    """

    def __init__(self, name: str) -> None:
        """Starts running, without tasks."""
        self.name = name
        self.state = ProcessState.RUNNING
        self.context = contextvars.copy_context()
        self.context.run(_PROCESS.set, self)
        self._backlog: list[_GuardedCallback] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(
        self, coroutine: Coroutine[Any, Any, _ResultT]
    ) -> asyncio.Task[_ResultT]:
        """Starts a task of the process."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(coroutine, context=self.context)
        # The loop itself holds only weak references to tasks.
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def freeze(self) -> None:
        """Holds back all callbacks from now on."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.FROZEN

    def resume(self) -> None:
        """Runs the callbacks that were held back, in order."""
        if self.state is not ProcessState.FROZEN:
            return
        self.state = ProcessState.RUNNING
        backlog, self._backlog = self._backlog, []
        for guarded in backlog:
            guarded.reschedule()

    def kill(self) -> None:
        """Discards all callbacks, held back or future."""
        self.state = ProcessState.DEAD
        self._backlog.clear()

    def hold_back(self, guarded: "_GuardedCallback") -> None:
        """Keeps a callback until the process is resumed."""
        self._backlog.append(guarded)


_PROCESS: contextvars.ContextVar[SimulatedProcess | None] = (
    contextvars.ContextVar("process", default=None)
)


def get_current_process() -> SimulatedProcess | None:
    """Returns the process that the running code belongs to."""
    return _PROCESS.get()


class _GuardedCallback:
    """A callback that runs only while its process runs.

    Attributes:
      handle: The loop's handle of the callback, which shows whether it was
        cancelled; None until the callback is scheduled.
    """

    def __init__(
        self,
        loop: "ManualLoop",
        process: SimulatedProcess,
        callback: Callable[..., object],
        arguments: tuple[Any, ...],
        context: contextvars.Context,
    ) -> None:
        """Binds the callback to its process."""
        self._loop = loop
        self._process = process
        self._callback = callback
        self._arguments = arguments
        self._context = context
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        """Runs, holds back or discards the callback."""
        if self._loop.is_cleaning_up:
            self._callback(*self._arguments)
            return
        match self._process.state:
            case ProcessState.RUNNING:
                self._callback(*self._arguments)
            case ProcessState.FROZEN:
                self._process.hold_back(self)
            case ProcessState.DEAD:
                pass

    def reschedule(self) -> None:
        """Schedules the callback; it runs unless it is cancelled by then."""
        self._loop.call_soon(self._run_unless_cancelled, context=self._context)

    def _run_unless_cancelled(self) -> None:
        """Runs the callback that was held back."""
        if self.handle is None or not self.handle.cancelled():
            self._callback(*self._arguments)


class ManualLoop(asyncio.SelectorEventLoop):
    """An event loop on a manual clock that starts at zero.

    Attributes:
      is_cleaning_up: Whether callbacks of frozen and dead processes run too,
        so that their tasks can be cancelled.
    """

    def __init__(self) -> None:
        """Starts the clock at zero."""
        self.is_cleaning_up = False
        self._clock = _ClockSelector()
        super().__init__(self._clock)
        self._clock_resolution = _CLOCK_RESOLUTION_S

    def time(self) -> float:
        """Returns the manual clock in seconds."""
        return self._clock.now_s

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedules a callback, guarded by its process."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(_PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        guarded = _GuardedCallback(self, process, callback, args, context)
        guarded.handle = super().call_soon(guarded, context=context)
        return guarded.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback for an instant, guarded by its process."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(_PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        guarded = _GuardedCallback(self, process, callback, args, context)
        handle = super().call_at(when, guarded, context=context)
        guarded.handle = handle
        return handle


def run(coroutine: Coroutine[Any, Any, _ResultT]) -> _ResultT:
    """Runs a coroutine to its end on a new manual loop.

    Tasks that remain when it ends, such as those of killed processes, are
    cancelled.
    """
    loop = ManualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.is_cleaning_up = True
        loop.set_exception_handler(lambda _, __: None)
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            waiting = asyncio.wait(tasks, timeout=_CLEANUP_TIMEOUT_S)
            loop.run_until_complete(waiting)
        asyncio.set_event_loop(None)
        loop.close()
