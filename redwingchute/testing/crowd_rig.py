"""Runs a gateway as a process of its own, before clients that misbehave."""

import asyncio
from collections.abc import Iterator
import contextlib
import pathlib
from types import TracebackType

import attrs

from redwingchute.core import forwarding
from redwingchute.soak import crowd_client
from redwingchute.soak import crowds
from redwingchute.soak import fleet as fleet_lib
from redwingchute.soak import plan
from redwingchute.soak import process_usage

HOST = "host-1"
_UPSTREAMS = ("ledger-1", "llm-1")
# How long a crowd sends at the most, and how long an ordinary caller tries.
_SEND_S = 15.0
_TRY_S = 30.0
_RETRY_S = 0.1
_SAMPLE_S = 0.02
# The entry of an upstream shows its slots after the next heartbeat.
_HEARTBEAT_S = 2.0


@attrs.frozen
class Observation:
    """What was seen of a process while a crowd was connected.

    Attributes:
      is_alive: Whether the process has not ended.
      peak_memory_mb: The most memory that it ever had, as resident set.
      peak_descriptors: The most descriptors that it had open.
      status: The status of an ordinary request that was sent after the crowd
        had sent what it could and stayed connected; 0 without an answer.
    """

    is_alive: bool
    peak_memory_mb: float
    peak_descriptors: int
    status: int


class CrowdRig:
    """A gateway, its store and its upstreams; a context manager."""

    def __init__(
        self,
        directory: pathlib.Path,
        memory_mb: int,
        max_descriptors: int,
        limits: forwarding.ConnectionLimits,
    ) -> None:
        """Prepares the processes.

        Args:
          directory: The directory for logs; it exists and is empty.
          memory_mb: The memory that the gateway's settings state.
          max_descriptors: The descriptors that they state.
          limits: The limits of callers' connections.
        """
        self.fleet = fleet_lib.Fleet(
            plan.Size(hosts=1, upstreams=1, rate_per_s=1.0, duration_ms=0),
            directory,
            host_fields={
                "limits.memoryMb": memory_mb,
                "limits.maxFds": max_descriptors,
            },
            limits=limits,
        )
        self._stack = contextlib.AsyncExitStack()
        self._peak_descriptors = 0

    async def __aenter__(self) -> "CrowdRig":
        """Starts the processes."""
        await self._stack.enter_async_context(self.fleet)
        sampling = asyncio.ensure_future(self._sample())
        self._stack.callback(sampling.cancel)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends the processes."""
        await self._stack.aclose()

    async def meet(self, crowd: crowds.Crowd) -> Observation:
        """Connects a crowd, and returns what was seen of the gateway."""
        if crowd.faults:
            for upstream in _UPSTREAMS:
                assert await self.fleet.patch(upstream, dict(crowd.faults))
            await asyncio.sleep(_HEARTBEAT_S)
        address = self.fleet.find_listeners(HOST)[crowd.listener]
        async with contextlib.AsyncExitStack() as stack:
            members = [
                await stack.enter_async_context(
                    crowd_client.CrowdClient(address, crowd.reads)
                )
                for _ in range(crowd.count)
            ]
            sending = [
                asyncio.ensure_future(member.send(crowd.make_segments(number)))
                for number, member in enumerate(members)
            ]
            await asyncio.wait(sending, timeout=_SEND_S)
            status = await self._try_ordinary_request()
            for task in sending:
                task.cancel()
            await asyncio.wait(sending)
            return self.observe(status)

    async def send_request(self, segments: Iterator[bytes]) -> int:
        """Sends one request; returns the status of its response, or 0."""
        address = self.fleet.find_address(HOST)
        async with crowd_client.CrowdClient(address, reads=False) as member:
            await member.send(segments)
            return await member.read_status()

    def observe(self, status: int) -> Observation:
        """Returns what has been seen of the gateway.

        Args:
          status: The status of an ordinary request.
        """
        is_alive = self.fleet.is_running(HOST)
        return Observation(
            is_alive,
            process_usage.read_peak_memory_mb(self.fleet.find_process_id(HOST))
            if is_alive
            else 0.0,
            self._peak_descriptors,
            status,
        )

    async def _try_ordinary_request(self) -> int:
        """Returns the status of an ordinary request, tried until it succeeds.

        An ordinary caller tries again after a refusal or a closed connection.
        """
        status = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_TRY_S):
                while True:
                    status = await self.send_request(
                        crowds.send_ordinary_request()
                    )
                    if status == 200:
                        break
                    await asyncio.sleep(_RETRY_S)
        return status

    async def _sample(self) -> None:
        """Counts the gateway's descriptors until it is cancelled."""
        process_id = self.fleet.find_process_id(HOST)
        while self.fleet.is_running(HOST):
            self._peak_descriptors = max(
                self._peak_descriptors,
                process_usage.count_descriptors(process_id),
            )
            await asyncio.sleep(_SAMPLE_S)
