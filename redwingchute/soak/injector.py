"""Injects the faults of a plan into the processes of a soak.

Faults overlap freely: one that meets a process which has ended is left out.
"""

import asyncio
import contextlib
import pathlib
import signal

from redwingchute.soak import crowd_client
from redwingchute.soak import crowds
from redwingchute.soak import fleet as fleet_lib
from redwingchute.soak import observations
from redwingchute.soak import plan
from redwingchute.standin import base
from redwingchute.standin import metadata_store
from redwingchute.standin import runner

# A stand-in that is paused gets the end of its faults after it.
_PATCH_ATTEMPTS = 15
_PATCH_RETRY_S = 0.2


class Injector:
    """Injects faults and records each with the time that it was in force.

    Attributes:
      applied: The faults that have ended.
    """

    def __init__(self, fleet: fleet_lib.Fleet, path: pathlib.Path) -> None:
        """Prepares an injector.

        Args:
          fleet: The processes.
          path: The file to which each fault is appended when it ends.
        """
        self.applied: list[observations.AppliedFault] = []
        self._fleet = fleet
        self._path = path

    async def run(self, faults: list[plan.Fault]) -> None:
        """Injects faults at their times and waits until all have ended."""
        started_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                due_s = started_s + fault.at_ms / 1000
                await asyncio.sleep(due_s - asyncio.get_running_loop().time())
                group.create_task(self._inject(fault))

    async def _inject(self, fault: plan.Fault) -> None:
        """Injects a fault, ends it after its time and records it."""
        from_ms = base.now_ms()
        starts = self._fleet.count_starts(fault.target)
        match fault:
            case plan.Patch(_, target, duration_ms, patch):
                # Without a confirmation it may still take effect: a paused
                # process reads it when it continues.
                await self._fleet.patch(target, dict(patch))
                await asyncio.sleep(duration_ms / 1000)
                await self._end_patch(fault, starts)
            case plan.Pause(_, target, duration_ms):
                if not self._fleet.send_signal(target, signal.SIGSTOP):
                    return
                await asyncio.sleep(duration_ms / 1000)
                if self._fleet.count_starts(target) == starts:
                    self._fleet.send_signal(target, signal.SIGCONT)
            case plan.Restart(_, target, number, down_ms, is_other_build):
                if not self._fleet.is_running(target):
                    return
                await self._fleet.end(target, number)
                await asyncio.sleep(down_ms / 1000)
                if self._fleet.count_starts(target) == starts:
                    if is_other_build is not None:
                        self._fleet.choose_build(target, is_other_build)
                    await self._fleet.start(target)
            case plan.Crowd():
                await self._send_crowd(fault)
        applied = observations.AppliedFault(
            from_ms,
            base.now_ms(),
            fault.target,
            _name_fault(fault),
            str(fault),
        )
        self.applied.append(applied)
        observations.append_record(self._path, applied)

    async def _send_crowd(self, crowd: plan.Crowd) -> None:
        """Connects a crowd to a host until its time is over."""
        address = self._fleet.find_address(crowd.target)
        make_segments = crowds.UNFINISHED[crowd.shape]
        async with contextlib.AsyncExitStack() as stack:
            sending = []
            for number in range(crowd.count):
                client = crowd_client.CrowdClient(address, reads=True)
                await stack.enter_async_context(client)
                segments = make_segments(number)
                sending.append(asyncio.ensure_future(client.send(segments)))
            await asyncio.sleep(crowd.duration_ms / 1000)
            for task in sending:
                task.cancel()
            await asyncio.wait(sending)

    async def _end_patch(self, fault: plan.Patch, starts: int) -> None:
        """Sets the fields of a patch back, unless the process has ended."""
        defaults: metadata_store.StoreFaults | runner.RunnerFaults
        if fault.target == plan.STORE:
            defaults = metadata_store.StoreFaults()
        else:
            defaults = runner.RunnerFaults()
        healed = {name: getattr(defaults, name) for name, _ in fault.faults}
        for _ in range(_PATCH_ATTEMPTS):
            if self._fleet.count_starts(fault.target) != starts:
                return
            if await self._fleet.patch(fault.target, healed):
                return
            await asyncio.sleep(_PATCH_RETRY_S)


def _name_fault(fault: plan.Fault) -> str:
    """Returns the name under which a fault is recorded."""
    match fault:
        case plan.Patch():
            return observations.PATCH
        case plan.Pause():
            return signal.SIGSTOP.name
        case plan.Restart(_, _, number):
            return number.name
        case plan.Crowd():
            return observations.CROWD
