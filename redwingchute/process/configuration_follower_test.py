"""Tests of the configuration follower with an in-memory log and network."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

from redwingchute.core import data
from redwingchute.process import configuration_follower
from redwingchute.process import distribution
from redwingchute.process import operator_ports
from redwingchute.process import peer_network
from redwingchute.process.ledger import log_outcomes
from redwingchute.testing import configuration_builders as builders
from redwingchute.testing import fake_log
from redwingchute.version import changes
from redwingchute.version import loader
from redwingchute.wire import registry

_POLICY = distribution.DistributionPolicy(
    startup_wait_ms=50, digest_interval_ms=100
)
_TEST_TIMEOUT_S = 20.0


class _FakeLinks:
    """The in-memory links between routers, by host name."""

    def __init__(self) -> None:
        self.networks: dict[str, _FakeNetwork] = {}


class _FakeNetwork:
    """The network of one router; calls the receiver's handlers directly."""

    def __init__(self, links: _FakeLinks, host: data.Host) -> None:
        self._links = links
        self._host = host
        self._handlers: dict[type[Any], peer_network.MessageHandler] = {}
        links.networks[host.name] = self

    def register_handler(
        self, record_type: type[Any], handler: peer_network.MessageHandler
    ) -> None:
        self._handlers[record_type] = handler

    def send(self, host_name: str, record: Any) -> bool:
        asyncio.ensure_future(self.call(host_name, record, 0))
        return True

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        del timeout_ms
        await asyncio.sleep(0)
        receiver = self._links.networks.get(host_name)
        if receiver is None:
            return peer_network.PeerUnreachable("no such host")
        return await receiver._handlers[type(record)](self._host, record)


class _Fleet:
    """Creates followers that share a log, links and a manual clock."""

    def __init__(self) -> None:
        self.log = fake_log.FakeLog()
        self.links = _FakeLinks()
        self.versions: list[int] = []
        self.now_ms = 1_000_000

    def start(
        self, name: str, log: fake_log.FakeLogClient
    ) -> configuration_follower.ConfigurationFollower:
        """Returns a follower for a router."""
        host = data.Host(name, "zone", "127.0.0.1:1", 1)
        follower = configuration_follower.ConfigurationFollower(
            host,
            log,
            _FakeNetwork(self.links, host),
            registry.make_codec(),
            self.read_clock_ms,
            random.Random(1),
            lambda: self.versions.append(
                follower.distribution.fold.current.version
            ),
            _POLICY,
        )
        return follower

    def read_clock_ms(self) -> int:
        """Advances the clock by 10 ms and returns it."""
        self.now_ms += 10
        return self.now_ms


def _make_first_change(number: int = 1) -> changes.ConfigurationChange:
    """Returns a change that sets the configuration of the test builders."""
    text = loader.dump_configuration(builders.make_configuration())
    return changes.ConfigurationChange(
        number.to_bytes(16),
        "ada",
        "test",
        0,
        0,
        changes.ReplaceDocument(loader.compress_document(text)),
    )


async def _wait_for(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


def _run(scenario: Awaitable[None]) -> None:
    """Runs a scenario with a timeout."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            await scenario

    asyncio.run(run_with_timeout())


def test_a_submitted_change_gets_its_verdict() -> None:
    async def scenario() -> None:
        fleet = _Fleet()
        follower = fleet.start("a", fake_log.FakeLogClient(fleet.log))
        verdict = await follower.submit(_make_first_change())
        assert isinstance(verdict, changes.ChangeVerdict)
        assert verdict.code == changes.ChangeCode.APPLIED
        assert fleet.versions == [1]
        assert follower.find_current() == builders.make_configuration(1)
        assert follower.find_author() == "ada"
        assert len(follower.list_audit()) == 1

    _run(scenario())


def test_a_change_whose_reply_was_lost_is_found_in_the_stream() -> None:
    async def scenario() -> None:
        fleet = _Fleet()
        log = fake_log.FakeLogClient(fleet.log)
        log.responses_to_lose = 1
        follower = fleet.start("a", log)
        verdict = await follower.submit(_make_first_change())
        assert isinstance(verdict, changes.ChangeVerdict)
        assert verdict.code == changes.ChangeCode.APPLIED
        assert fleet.log.append_count == 1

    _run(scenario())


def test_a_change_fails_while_the_log_is_down() -> None:
    async def scenario() -> None:
        fleet = _Fleet()
        log = fake_log.FakeLogClient(fleet.log)
        log.is_down = True
        outcome = await fleet.start("a", log).submit(_make_first_change())
        assert isinstance(outcome, operator_ports.SubmissionFailed)
        assert fleet.log.append_count == 0

    _run(scenario())


class _FailingLog(fake_log.FakeLogClient):
    """A log that becomes unavailable after it has lost a reply."""

    async def append(
        self, stream: str, body: bytes
    ) -> log_outcomes.AppendOutcome:
        outcome = await super().append(stream, body)
        if isinstance(outcome, log_outcomes.AppendUnknown):
            self.is_down = True
        return outcome


def test_an_outcome_that_cannot_be_read_is_unknown() -> None:
    async def scenario() -> None:
        fleet = _Fleet()
        log = _FailingLog(fleet.log)
        log.responses_to_lose = 1
        follower = fleet.start("a", log)
        fleet.now_ms += 1
        submission = asyncio.ensure_future(
            follower.submit(_make_first_change())
        )
        await asyncio.sleep(0.05)
        fleet.now_ms += 60_000
        outcome = await submission
        assert outcome == operator_ports.SubmissionUnknown((1).to_bytes(16))
        log.is_down = False
        # The operator repeats the change under another record id. Reading
        # its verdict also reads the verdict on the first record.
        verdict = await follower.submit(_make_first_change(2))
        assert isinstance(verdict, changes.ChangeVerdict)
        assert follower.distribution.fold.find_verdict((1).to_bytes(16))

    _run(scenario())


def test_a_router_without_the_log_follows_its_sibling() -> None:
    async def scenario() -> None:
        fleet = _Fleet()
        with_log = fake_log.FakeLogClient(fleet.log)
        without_log = fake_log.FakeLogClient(fleet.log)
        without_log.is_down = True
        first = fleet.start("a", with_log)
        second = fleet.start("b", without_log)
        hosts = tuple(
            data.Host(name, "zone", "127.0.0.1:1", 1) for name in "ab"
        )
        first.set_view(("b",), hosts)
        second.set_view(("a",), hosts)
        tasks = [asyncio.ensure_future(item.run()) for item in (first, second)]
        await first.submit(_make_first_change())
        await _wait_for(lambda: second.find_current() is not None)
        await _wait_for(lambda: second.explain_not_ready() is None)
        # The first router also appends a checkpoint to the log. If the other
        # router ranks higher, this is delayed by one stagger interval.
        fleet.now_ms += distribution.DistributionPolicy().checkpoint_stagger_ms
        await _wait_for(lambda: fleet.log.append_count > 1)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    _run(scenario())
