"""A fleet of routers that retry, on a manual clock and without a network.

Each host runs the code that decides on retries: the registry of hosts over a
log in memory, and the retry budget. Upstreams reject a share of what arrives,
so that each router retries as often as it is allowed to. The users' rule is
checked with the arrivals and requests alone, over windows that slide.
"""

import asyncio
import bisect
from collections.abc import Callable
import random

import attrs

from redwingchute.process import era_log
from redwingchute.process import host_registry
from redwingchute.process import hub_choice
from redwingchute.process import retry_budget
from redwingchute.process import shared_log
from redwingchute.testing import manual_loop
from redwingchute.testing import memory_log

# What the users' rule allows.
RATIO = 0.2
SLACK = 56.0
WINDOW_MS = 10_000

_SERVICE = "models"
_STEP_S = 0.05
_LEAVE_TIMEOUT_S = 0.3
# How far a window is moved between two checks.
_CHECK_STEP_MS = 50


@attrs.frozen
class Excess:
    """The window in which most retries arrived beyond the limit.

    Attributes:
      end_ms: The end of the window.
      retries: The arrivals in it after the first one of a request.
      limit: The number that the rule allows.
    """

    end_ms: int
    retries: int
    limit: float


@attrs.define
class Load:
    """What the callers of one host do, and how their requests fare.

    Attributes:
      requests_per_s: The rate of requests.
      rejected_share: The share of arrivals that the upstreams reject.
      max_attempts: How often a request is sent at most.
      retry_delay_ms: The time from the decision to retry until the retry
        arrives.
    """

    requests_per_s: float = 0.0
    rejected_share: float = 1.0
    max_attempts: int = 3
    retry_delay_ms: int = 0


class _HostLog:
    """The log as one host reaches it.

    Attributes:
      is_cut: Whether calls of this host fail.
    """

    def __init__(self, log: memory_log.MemoryLog) -> None:
        """Connects to the log of the fleet."""
        self.is_cut = False
        self._log = log

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        """Appends records."""
        if self.is_cut:
            return shared_log.LogUnavailable("cut off")
        return await self._log.append(topic, records, stamp, at)

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        """Reads records."""
        if self.is_cut:
            return shared_log.LogUnavailable("cut off")
        return await self._log.read(topic, position, wait_ms)

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        """Reads the newest record of each key."""
        if self.is_cut:
            return shared_log.LogUnavailable("cut off")
        return await self._log.read_newest(topic)


class _Router:
    """The process of one host, as far as it decides on retries."""

    def __init__(
        self,
        name: str,
        log: shared_log.SharedLog,
        incarnation: int,
        slack: float,
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates the process; `registry.run` and requests are its work."""
        self._read_clock_ms = read_clock_ms
        self.process = manual_loop.SimulatedProcess(name)
        self.budget = retry_budget.RetryBudget(
            RATIO, slack, WINDOW_MS, lambda: self.registry.find_registration()
        )
        self.registry = host_registry.HostRegistry(
            era_log.EraLog(log),
            host_registry.RegisteredHost(name, "huon", f"{name}:7000", 1.0),
            incarnation,
            read_clock_ms,
            self._handle_hosts_changed,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process is neither frozen nor dead."""
        return self.process.state is manual_loop.ProcessState.RUNNING

    def _handle_hosts_changed(self) -> None:
        """Applies a change of the fleet's hosts, as the gateway does."""
        view = hub_choice.choose_hubs(
            self.registry.own_host, self.registry.list_hosts()
        )
        self.budget.record_host_count(view.host_count, self._read_clock_ms())


class RetrySimulation:
    """Hosts that start, stop, fail and serve requests.

    Attributes:
      loads: The load at each host.
    """

    def __init__(
        self, hosts: tuple[str, ...], seed: int, slack: float = SLACK
    ) -> None:
        """Creates a fleet in which no process runs yet.

        Args:
          hosts: The hosts.
          seed: Determines when requests arrive and which ones are rejected.
          slack: The slack that the routers reckon with.
        """
        self.loads = {host: Load() for host in hosts}
        self._slack = slack
        self._random = random.Random(seed)
        self._loop = manual_loop.ManualLoop()
        self._log = memory_log.MemoryLog()
        self._host_logs = {host: _HostLog(self._log) for host in hosts}
        self._routers: dict[str, _Router] = {}
        self._incarnations = 0
        self._request_times_ms: list[int] = []
        self._retry_times_ms: list[int] = []

    def start(self, *hosts: str) -> None:
        """Starts the process of each host, or starts it again."""

        async def spawn(router: _Router) -> None:
            router.process.spawn(router.registry.run())

        for host in hosts:
            self.kill(host)
            self._incarnations += 1
            router = _Router(
                host,
                self._host_logs[host],
                self._incarnations,
                self._slack,
                self._read_ms,
            )
            self._routers[host] = router
            self._loop.run_until_complete(spawn(router))
        # A process whose tasks have not begun cannot be killed cleanly.
        self.run_for(_STEP_S)

    def kill(self, *hosts: str) -> None:
        """Ends the process of each host without notice."""
        for host in hosts:
            router = self._routers.pop(host, None)
            if router is not None:
                router.process.kill()

    def begin_leaving(self, host: str) -> None:
        """Marks a host as leaving; its process goes on."""
        if not self.is_running(host):
            return
        router = self._routers[host]

        async def mark_leaving() -> None:
            router.process.spawn(router.registry.leave(_LEAVE_TIMEOUT_S))

        self._loop.run_until_complete(mark_leaving())

    def leave(self, host: str, remaining_s: float) -> None:
        """Marks a host as leaving and ends its process after some time."""
        self.begin_leaving(host)
        self.run_for(remaining_s)
        self.kill(host)

    def freeze(self, host: str) -> None:
        """Suspends the process of a host."""
        if host in self._routers:
            self._routers[host].process.freeze()

    def resume(self, host: str) -> None:
        """Lets a suspended process go on."""
        if host in self._routers:
            self._routers[host].process.resume()

    def is_running(self, host: str) -> bool:
        """Returns whether a host's process is neither frozen nor dead."""
        return host in self._routers and self._routers[host].is_running

    def set_cut(self, is_cut: bool, *hosts: str) -> None:
        """Cuts hosts off from the log, or connects them again."""
        for host in hosts:
            self._host_logs[host].is_cut = is_cut

    def set_load(self, hosts: tuple[str, ...], requests_per_s: float) -> None:
        """Sets the rate of requests at each of some hosts."""
        for host in hosts:
            self.loads[host].requests_per_s = requests_per_s

    def set_rejected_share(self, share: float, *hosts: str) -> None:
        """Sets the share of arrivals from some hosts that is rejected."""
        for host in hosts:
            self.loads[host].rejected_share = share

    def set_retry_delay_ms(self, delay_ms: int, *hosts: str) -> None:
        """Sets how late the retries of some hosts arrive."""
        for host in hosts:
            self.loads[host].retry_delay_ms = delay_ms

    def run_for(self, seconds: float) -> None:
        """Lets the hosts run and serve requests for a duration."""
        for _ in range(round(seconds / _STEP_S)):
            self._loop.run_until_complete(asyncio.sleep(_STEP_S))
            for host, router in list(self._routers.items()):
                if router.is_running:
                    self._serve(router, self.loads[host])

    def send_at_once(self, count: int, *hosts: str) -> None:
        """Sends a number of requests at once to each host that runs."""
        for host in hosts:
            if self.is_running(host):
                self._send(self._routers[host], self.loads[host], count)

    def close(self) -> None:
        """Ends all processes."""
        self.kill(*list(self._routers))
        self._loop.is_cleaning_up = True
        self._loop.set_exception_handler(lambda _, __: None)
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self._loop.run_until_complete(asyncio.wait(tasks, timeout=60))
        self._loop.close()

    def find_excess(self) -> Excess | None:
        """Returns the worst window in which the rule is broken, or None."""
        requests = sorted(self._request_times_ms)
        retries = sorted(self._retry_times_ms)
        end_ms = self._read_ms() + WINDOW_MS
        ends = {*range(0, end_ms, _CHECK_STEP_MS), *retries}
        ends |= {time_ms + WINDOW_MS - 1 for time_ms in retries}
        worst = None
        for end_ms in sorted(ends):
            count = _count_in_window(retries, end_ms)
            limit = SLACK + RATIO * max(
                _count_in_window(requests, end_ms - shift_ms)
                for shift_ms in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            if count > limit and (
                worst is None or count - limit > worst.retries - worst.limit
            ):
                worst = Excess(end_ms, count, limit)
        return worst

    def count_retries(self) -> int:
        """Returns the number of retries that have arrived."""
        return len(self._retry_times_ms)

    def _read_ms(self) -> int:
        """Returns the time on the manual clock."""
        return round(1000 * self._loop.time())

    def _serve(self, router: _Router, load: Load) -> None:
        """Serves the requests that came to a host in one step."""
        mean = load.requests_per_s * _STEP_S
        count = int(mean) + (self._random.random() < mean % 1)
        self._send(router, load, count)

    def _send(self, router: _Router, load: Load, count: int) -> None:
        """Sends requests to a router, which retries them as allowed."""
        now_ms = self._read_ms()
        for _ in range(count):
            self._request_times_ms.append(now_ms)
            allowance = router.budget.find_allowance(_SERVICE)
            allowance.record_request(now_ms)
            for _ in range(load.max_attempts - 1):
                if self._random.random() >= load.rejected_share:
                    break
                if not allowance.acquire_retry(now_ms):
                    break
                self._retry_times_ms.append(now_ms + load.retry_delay_ms)


def _count_in_window(times_ms: list[int], end_ms: int) -> int:
    """Returns how many of the sorted times are in the window up to a time."""
    return bisect.bisect_right(times_ms, end_ms) - bisect.bisect_right(
        times_ms, end_ms - WINDOW_MS
    )
