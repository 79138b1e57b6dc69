"""Reads from the operating system what processes use, and keeps the most."""

import asyncio
from collections.abc import Iterable
import pathlib
import re
from types import TracebackType

from redwingchute.soak import fleet as fleet_lib
from redwingchute.soak import observations

_SAMPLE_S = 0.2


def read_peak_memory_mb(process_id: int) -> float:
    """Returns the most memory that a process ever had, as resident set.

    Returns 0 if it has ended.
    """
    try:
        status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found[1]) / 1024 if found else 0.0


def count_descriptors(process_id: int) -> int:
    """Returns the open descriptors of a process; 0 if it has ended."""
    try:
        return len(list(pathlib.Path(f"/proc/{process_id}/fd").iterdir()))
    except OSError:
        return 0


class UsageMonitor:
    """Samples what the processes of hosts use; a context manager.

    Attributes:
      peaks: The most that a process of each host used.
    """

    def __init__(self, fleet: fleet_lib.Fleet, hosts: Iterable[str]) -> None:
        """Prepares a monitor of some hosts of a fleet."""
        self._fleet = fleet
        self.peaks = {host: observations.Usage(host, 0.0, 0) for host in hosts}
        self._sampling: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "UsageMonitor":
        """Starts to sample."""
        self._sampling = asyncio.ensure_future(self._sample())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends sampling."""
        assert self._sampling is not None
        self._sampling.cancel()

    async def _sample(self) -> None:
        """Samples until it is cancelled."""
        while True:
            for host, peak in self.peaks.items():
                process_id = self._fleet.find_process_id(host)
                self.peaks[host] = observations.Usage(
                    host,
                    max(peak.memory_mb, read_peak_memory_mb(process_id)),
                    max(peak.descriptors, count_descriptors(process_id)),
                )
            await asyncio.sleep(_SAMPLE_S)
