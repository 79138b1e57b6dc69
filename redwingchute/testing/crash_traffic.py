"""Traffic with requests that end upstreams, on gateways on loopback."""

import asyncio
import collections
from types import TracebackType

from redwingchute.testing import gateway_rig

_CRASH_MARKER = "crash"
_SERVICE = "ledger"
_DOWN_MS = 1_000
_POLL_S = 0.02
# Ends of upstreams that make a request a crashing one, and how long routers
# have to learn of the last of them.
_ENDS = 3
_CONTACT_S = 3.0


class CrashTraffic:
    """Sends requests without waiting, and watches upstreams; a context manager.

    An upstream that ended is down for a second and then listed as a new start.

    Attributes:
      rig: The gateways and upstreams.
    """

    def __init__(self, gateway_count: int, upstream_count: int) -> None:
        """Prepares gateways and upstreams of one plain service."""
        self.rig = gateway_rig.GatewayRig(gateway_count)
        self._upstream_ids = [f"l-{n + 1}" for n in range(upstream_count)]
        self._tasks: list[asyncio.Task[None]] = []
        self._watcher: asyncio.Task[None] | None = None
        self._statuses: dict[str, collections.Counter[int]] = {}
        self._third_end_s: float | None = None
        # The copies of the crashing request that ran until the moment from
        # which each further one counts.
        self._early_sends: int | None = None

    async def __aenter__(self) -> "CrashTraffic":
        """Starts everything and waits until routers know the upstreams."""
        await self.rig.__aenter__()
        for upstream_id in self._upstream_ids[2:]:
            await self.rig.start_runner(upstream_id, _SERVICE)
        self.rig.set_faults("l-", crash_marker=_CRASH_MARKER, crash_ms=_DOWN_MS)
        await asyncio.sleep(1)
        self._watcher = asyncio.ensure_future(self._watch())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops everything."""
        for task in (self._watcher, *self._tasks):
            if task is not None:
                task.cancel()
        await self.rig.__aexit__(error_type, error, traceback)

    def send(self, gateway_number: int, path: str, body: bytes = b"") -> None:
        """Sends a request to a gateway and does not wait for its response."""

        async def run() -> None:
            response = await self.rig.send_request(path, body, gateway_number)
            statuses = self._statuses.setdefault(path, collections.Counter())
            statuses[response.status] += 1

        self._tasks.append(asyncio.ensure_future(run()))

    async def finish(self) -> None:
        """Waits until all requests have ended."""
        await asyncio.gather(*self._tasks)

    def end_upstream(self, upstream_id: str) -> None:
        """Ends an upstream now, whatever it runs."""
        self.rig.runners[upstream_id].end_and_restart()

    def count_served(self, path: str) -> int:
        """Returns how many requests to a path were served."""
        return self._statuses.get(path, collections.Counter())[200]

    def count_late_sends(self) -> int:
        """Returns how many copies ran too late after the third end.

        Requires that the crashing request has ended an upstream, and that the
        traffic went on long enough for late copies.
        """
        assert self._count_crashing_runs()
        if self._third_end_s is None:
            return 0
        assert self._early_sends is not None
        return self._count_crashing_runs() - self._early_sends

    def _count_crashing_runs(self) -> int:
        """Returns how many requests with the marker upstreams have run."""
        return sum(run.is_crashing for run in self.rig.list_runs("l-"))

    async def _watch(self) -> None:
        """Lists new starts of upstreams, and dates the third end."""
        born_ms = {
            name: self.rig.runners[name].born_ms for name in self._upstream_ids
        }
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_POLL_S)
            for name in self._upstream_ids:
                if self.rig.runners[name].born_ms != born_ms[name]:
                    born_ms[name] = self.rig.runners[name].born_ms
                    self.rig.publish_runner(name)
            if self._third_end_s is None:
                if self._count_crashing_runs() >= _ENDS:
                    self._third_end_s = loop.time()
            elif (
                self._early_sends is None
                and loop.time() - self._third_end_s > _CONTACT_S
            ):
                self._early_sends = self._count_crashing_runs()
