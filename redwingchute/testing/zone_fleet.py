"""Routers of several zones with upstreams that prefill prompts one by one.

The routers are real `UpstreamDirectory` objects that exchange load notices;
time passes in steps. An upstream reads prompts in order at its own speed and
keeps the parts that it has read.
"""

from collections.abc import Sequence
import contextlib

import attrs

from redwingchute.core import forwarding
from redwingchute.core import requesting
from redwingchute.request import fleet_load
from redwingchute.request import load_exchange
from redwingchute.request import upstream_directory
from redwingchute.testing import forwarding_builders

ZONES = ("huon", "bruny", "tamar")
STEP_MS = 10
_ROUTERS_PER_ZONE = 2
_MS_PER_TOKEN = 0.02
_BODY_BYTES = 20_000


@attrs.define
class Engine:
    """One upstream.

    Attributes:
      upstream: Its entry.
      speed: Its speed as a multiple of the usual one.
      free_ms: When it has read all prompts that it got.
      parts: The ids of the shared parts that it keeps.
      read_tokens: The tokens of shared parts that it read.
      is_cut: Whether nothing that it sends arrives.
    """

    upstream: forwarding.Upstream
    speed: float = 1.0
    free_ms: float = 0.0
    parts: set[str] = attrs.Factory(set)
    read_tokens: int = 0
    is_cut: bool = False


@attrs.frozen
class Sent:
    """A request that was sent.

    Attributes:
      at_ms: When.
      zone: The zone of its router.
      upstream_zone: The zone of the upstream that it went to.
      wait_ms: The time to its first event.
    """

    at_ms: int
    zone: str
    upstream_zone: str
    wait_ms: float


@attrs.define
class _OpenRequest:
    """A request that ends with its first event, which is due at a time."""

    due_ms: float
    engine: Engine
    tracked: fleet_load.OpenRequest
    context: contextlib.ExitStack


@attrs.define
class _Router:
    """A router with its open requests."""

    name: str
    zone: str
    directory: upstream_directory.UpstreamDirectory
    open_requests: list[_OpenRequest] = attrs.Factory(list)


class ZoneFleet:
    """Two routers and some upstreams in each of three zones.

    Attributes:
      now_ms: The current time.
      engines: The upstreams.
      sent: All requests that were sent.
      has_notices: Whether load notices arrive.
      notice_delay_ms: How long they take.
    """

    def __init__(
        self, price_ms_per_mb: float, engines_per_zone: int = 4
    ) -> None:
        """Creates the fleet without load."""
        self.now_ms = 100_000
        self.engines: dict[str, Engine] = {}
        self.sent: list[Sent] = []
        self.has_notices = True
        self.notice_delay_ms = 0
        self._notices: list[tuple[int, str, requesting.LoadNotice]] = []
        self._count = 0
        names = [
            (f"{zone}-router-{number}", zone)
            for zone in ZONES
            for number in range(_ROUTERS_PER_ZONE)
        ]
        self._routers = []
        for name, zone in names:
            directory = upstream_directory.UpstreamDirectory(
                zone, name, crossing_ms_per_mb=price_ms_per_mb
            )
            others = tuple(other for other, _ in names if other != name)
            directory.set_hub_role(load_exchange.HubRole(True, others))
            self._routers.append(_Router(name, zone, directory))
        for zone in ZONES:
            for number in range(engines_per_zone):
                self.add_engine(f"{zone}-{number}", zone)

    def add_engine(self, name: str, zone: str, speed: float = 1.0) -> None:
        """Adds an upstream that has read nothing."""
        upstream = forwarding_builders.make_upstream(name, zone)
        self.engines[name] = Engine(upstream, speed)
        for router in self._routers:
            router.directory.set_upstream(upstream)

    def remove_engine(self, name: str) -> None:
        """Removes an upstream; what it has begun still ends."""
        del self.engines[name]
        for router in self._routers:
            router.directory.remove(name)

    def run(
        self,
        duration_ms: int,
        rates_per_s: Sequence[float],
        part: str = "",
        part_share: float = 0.0,
        target_ms: int = 1_000,
    ) -> list[Sent]:
        """Sends requests for some time and returns them.

        Args:
          duration_ms: The time.
          rates_per_s: The requests a second from each zone's callers.
          part: A shared prompt part; other requests have one each of their own.
          part_share: The share of requests with that part.
          target_ms: The target latency of the requests.
        """
        first = len(self.sent)
        due = [0.0] * len(ZONES)
        for _ in range(duration_ms // STEP_MS):
            self._advance()
            for index, rate_per_s in enumerate(rates_per_s):
                due[index] += rate_per_s * STEP_MS / 1_000
                while due[index] >= 1.0:
                    due[index] -= 1.0
                    self._count += 1
                    is_hot = self._count % 100 < 100 * part_share
                    shared = part if is_hot else f"prompt-{self._count}"
                    self._send(ZONES[index], shared, target_ms)
        return self.sent[first:]

    def _send(self, zone: str, shared: str, target_ms: int) -> None:
        """Sends one request from a router of a zone."""
        routers = [found for found in self._routers if found.zone == zone]
        router = routers[self._count // 3 % len(routers)]
        generation = forwarding_builders.make_generation(shared)
        request = attrs.evolve(
            forwarding_builders.make_request(self._count, generation),
            body_bytes=_BODY_BYTES,
        )
        chosen = router.directory.choose(
            "llm", request, frozenset(), self.now_ms, target_ms=target_ms
        )
        assert chosen is not None
        engine = self.engines[chosen.upstream.id]
        context = contextlib.ExitStack()
        tracked = context.enter_context(
            router.directory.track_request(
                chosen.upstream, generation, self.now_ms
            )
        )
        tokens = generation.prompt_tokens
        part = generation.shared_parts[0]
        if part.id in engine.parts:
            tokens -= part.tokens
        else:
            engine.read_tokens += part.tokens
            engine.parts.add(part.id)
        begins_ms = max(engine.free_ms, float(self.now_ms))
        engine.free_ms = begins_ms + tokens * _MS_PER_TOKEN / engine.speed
        router.open_requests.append(
            _OpenRequest(engine.free_ms, engine, tracked, context)
        )
        self.sent.append(
            Sent(
                self.now_ms,
                zone,
                chosen.upstream.zone,
                engine.free_ms - self.now_ms,
            )
        )

    def _advance(self) -> None:
        """Lets a step pass: first events and load notices arrive."""
        self.now_ms += STEP_MS
        for router in self._routers:
            arrived = [
                found
                for found in router.open_requests
                if found.due_ms <= self.now_ms and not found.engine.is_cut
            ]
            for found in arrived:
                router.open_requests.remove(found)
                upstream_id = found.engine.upstream.id
                router.directory.mark_responsive(upstream_id, self.now_ms)
                router.directory.record_first_event(found.tracked, self.now_ms)
                found.context.close()
        self._deliver_notices()

    def _deliver_notices(self) -> None:
        """Delivers the load notices whose time has come to all routers."""
        for router in self._routers:
            for outgoing in router.directory.pop_due_notices(self.now_ms):
                if self.has_notices:
                    due_ms = self.now_ms + self.notice_delay_ms
                    self._notices.append((due_ms, router.name, outgoing.notice))
        while self._notices and self._notices[0][0] <= self.now_ms:
            _, sender, notice = self._notices.pop(0)
            for router in self._routers:
                if router.name != sender:
                    router.directory.handle_notice(sender, notice, self.now_ms)


def measure_leaving_share(sent: Sequence[Sent], zone: str) -> float:
    """Returns the share of a zone's requests that went to other zones."""
    own = [found for found in sent if found.zone == zone]
    return sum(found.upstream_zone != zone for found in own) / len(own)


def measure_late_share(sent: Sequence[Sent], target_ms: float) -> float:
    """Returns the share of requests whose first event came too late."""
    return sum(found.wait_ms > target_ms for found in sent) / len(sent)
