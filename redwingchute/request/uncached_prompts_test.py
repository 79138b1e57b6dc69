"""Tests the distribution of prompts that no upstream has cached.

After a start, and after upstreams were lost, prompts are not cached anywhere.
Routers that balance only by their own requests then send several long prompts
to one upstream while others are idle.
"""

from redwingchute.request import fleet_load
from redwingchute.request import load_exchange
from redwingchute.request import upstream_directory
from redwingchute.testing import forwarding_builders

_UPSTREAMS = tuple(f"runner-{number}" for number in range(6))
_ROUTER_COUNT = 8
_MS_PER_TOKEN = 0.02
_HUB_ROLE = load_exchange.HubRole(
    True, tuple(str(number) for number in range(_ROUTER_COUNT))
)


class _Fleet:
    """Routers that may exchange load notices after every request."""

    def __init__(self, has_notices: bool) -> None:
        """Creates all routers with the same upstreams."""
        self.now_ms = 100_000
        self.free_ms = dict.fromkeys(_UPSTREAMS, self.now_ms)
        self._has_notices = has_notices
        self._open_requests: list[tuple[int, fleet_load.OpenRequest]] = []
        self._directories = []
        for _ in range(_ROUTER_COUNT):
            directory = upstream_directory.UpstreamDirectory("huon")
            directory.set_hub_role(_HUB_ROLE)
            for name in _UPSTREAMS:
                directory.set_upstream(forwarding_builders.make_upstream(name))
            self._directories.append(directory)

    def send(self, number: int) -> int:
        """Sends a request with a new prompt and returns its wait in ms."""
        self._deliver_first_events()
        directory = self._directories[number % _ROUTER_COUNT]
        generation = forwarding_builders.make_generation(f"prompt-{number}")
        chosen = directory.choose(
            "llm",
            forwarding_builders.make_request(number, generation),
            frozenset(),
            self.now_ms,
        )
        assert chosen is not None
        context = directory.track_request(
            chosen.upstream, generation, self.now_ms
        )
        request = context.__enter__()
        begins_ms = max(self.free_ms[chosen.upstream.id], self.now_ms)
        ends_ms = begins_ms + int(generation.prompt_tokens * _MS_PER_TOKEN)
        self.free_ms[chosen.upstream.id] = ends_ms
        self._open_requests.append((ends_ms, request))
        self._deliver_notices()
        return begins_ms - self.now_ms

    def _deliver_first_events(self) -> None:
        """Delivers the first events that are due to the routers."""
        for ends_ms, request in self._open_requests:
            if ends_ms <= self.now_ms:
                for directory in self._directories:
                    directory.record_first_event(request, self.now_ms)
        self._open_requests = [
            entry for entry in self._open_requests if entry[0] > self.now_ms
        ]

    def _deliver_notices(self) -> None:
        """Delivers the load notices that are due to all other routers."""
        if not self._has_notices:
            return
        for number, directory in enumerate(self._directories):
            for outgoing in directory.pop_due_notices(self.now_ms):
                for other in self._directories:
                    if other is not directory:
                        other.handle_notice(
                            str(number), outgoing.notice, self.now_ms
                        )


def _measure_late_share(has_notices: bool) -> float:
    """Returns the share of requests that wait over 0.4 s for prefill."""
    fleet = _Fleet(has_notices)
    waits = []
    for number in range(400):
        waits.append(fleet.send(number))
        fleet.now_ms += 50
    return sum(wait > 400 for wait in waits) / len(waits)


def test_load_notices_spread_uncached_prompts_over_upstreams() -> None:
    assert _measure_late_share(has_notices=True) < 0.02


def test_the_same_requests_are_late_without_load_notices() -> None:
    assert _measure_late_share(has_notices=False) > 0.05
