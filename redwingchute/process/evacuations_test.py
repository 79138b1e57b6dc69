"""Tests of what a router knows of evacuated zones, without a network."""

import asyncio
from collections.abc import Callable
import copy

from redwingchute.core import data
from redwingchute.core import evacuation
from redwingchute.core import forwarding
from redwingchute.process import era_log
from redwingchute.process import operator_records
from redwingchute.process import shared_log
from redwingchute.request import upstream_directory
from redwingchute.standin import keyed_log
from redwingchute.testing import forwarding_builders
from redwingchute.testing import memory_log

_REWRITE_MS = 2_000
_PEER = data.Host("huon-2", "huon", "10.0.0.2:1", 1)


class _Router:
    """A router that reads the operator's topic, on a manual clock.

    Attributes:
      log: The log.
      closed: The zones to which it sends nothing new.
      notices: What it told other routers.
      now_ms: The time on its clock.
    """

    def __init__(self, log: memory_log.MemoryLog) -> None:
        """Creates a router that has read nothing."""
        self.log = log
        self.closed: frozenset[str] = frozenset()
        self.notices: list[evacuation.EvacuationNotice] = []
        self.now_ms = 1_000
        self._records = operator_records.OperatorRecords(
            era_log.EraLog(log),
            operator_records.OperatorTopic(
                "op", "config", "evacuate/", self._decode
            ),
            2_000,
            lambda: self.now_ms,
            self._handle_table,
            self._close_zones,
            self.notices.append,
        )

    def _decode(self, value: bytes) -> forwarding.RouteTable:
        """Returns a configuration."""
        return forwarding.RouteTable(int(value), ())

    def _handle_table(self, table: forwarding.RouteTable) -> None:
        """Ignores a configuration."""

    def _close_zones(self, zones: frozenset[str]) -> None:
        """Records the closed zones."""
        self.closed = zones

    @property
    def is_configured(self) -> bool:
        """Whether it has a configuration."""
        return self._records.index is not None

    def read(self, wait_ms: int = 0) -> bool:
        """Reads the topic once."""
        return asyncio.run(self._records.follower.read_once(wait_ms))

    def hear(self, notice: evacuation.EvacuationNotice) -> None:
        """Receives a notice of another router."""
        asyncio.run(self._records.handle_notice(_PEER, notice))


def _write(log: memory_log.MemoryLog, key: str, value: bytes | None) -> None:
    """Writes a record of the operator."""
    log.topic.append((shared_log.KeyedRecord(key, value),))


def _return_from(
    log: memory_log.MemoryLog, copied: keyed_log.KeyedTopic
) -> None:
    """Has the log return from a copy, in a new era."""
    copied.era = log.topic.era + 1
    log.topic = copied


def _make_log(*zones: str) -> memory_log.MemoryLog:
    """Returns a log with a configuration and evacuated zones."""
    log = memory_log.MemoryLog()
    _write(log, "config", b"1")
    for zone in zones:
        _write(log, f"evacuate/{zone}", b"{}")
    return log


# Guards against a router that serves before it knows which zones are evacuated.
def test_the_first_read_brings_the_evacuations_with_the_configuration() -> None:
    router = _Router(_make_log("bruny"))
    assert not router.is_configured
    router.read()
    assert router.is_configured
    assert router.closed == {"bruny"}


def test_a_zone_is_closed_until_its_record_is_removed() -> None:
    log = _make_log()
    router = _Router(log)
    router.read()
    _write(log, "evacuate/bruny", b"{}")
    router.read()
    assert router.closed == {"bruny"}
    _write(log, "evacuate/bruny", None)
    router.read()
    assert not router.closed
    assert [notice.is_evacuated for notice in router.notices] == [True, False]


# Guards against an evacuation that never ends because its end was not read
# before the log deleted it.
def test_an_end_that_the_log_has_deleted_is_noticed() -> None:
    log = _make_log("bruny", "tamar")
    router = _Router(log)
    router.read()
    _write(log, "evacuate/bruny", None)
    log.topic.discard_history()
    router.read()
    assert router.closed == {"tamar"}
    # A router that has not read the end tells it the earlier state.
    router.hear(evacuation.EvacuationNotice("bruny", True, 0, 1))
    assert router.closed == {"tamar"}


# Guards against a router whose store is slow and that therefore goes on.
def test_a_router_obeys_what_others_have_read() -> None:
    log = _make_log()
    router, peer = _Router(log), _Router(log)
    router.read()
    peer.read()
    log_before = copy.deepcopy(log.topic)
    for value, closed in ((b"{}", {"bruny"}), (None, set())):
        _write(log, "evacuate/bruny", value)
        peer.read()
        router.hear(peer.notices[-1])
        assert router.closed == closed
        # What its own slow reads bring afterwards is older.
        router.log.topic, newest = log_before, router.log.topic
        router.read()
        assert router.closed == closed
        router.log.topic = newest
    router.hear(peer.notices[0])
    assert not router.closed
    router.read()
    assert not router.closed


def _lose_start(log: memory_log.MemoryLog) -> Callable[[], None]:
    """Evacuates after a copy; returns what the operator writes again."""
    _write(log, "evacuate/bruny", b"{}")
    return lambda: _write(log, "evacuate/bruny", b"{}")


# Guards against an evacuation that a store undoes when it returns from a copy.
def test_an_evacuation_outlives_a_return_of_the_log_from_a_copy() -> None:
    log = _make_log()
    router = _Router(log)
    copied = copy.deepcopy(log.topic)
    write_again = _lose_start(log)
    router.read()
    _return_from(log, copied)
    for _ in range(3):
        router.read()
        assert router.closed == {"bruny"}
        router.now_ms += _REWRITE_MS // 3
    write_again()
    router.now_ms += _REWRITE_MS
    router.read()
    assert router.closed == {"bruny"}


def test_an_evacuation_that_is_not_written_again_ends() -> None:
    log = _make_log()
    router = _Router(log)
    copied = copy.deepcopy(log.topic)
    _lose_start(log)
    router.read()
    _return_from(log, copied)
    router.read()
    router.now_ms += _REWRITE_MS
    router.read()
    assert not router.closed


# Guards against a zone that is closed again because a copy of the log holds the
# evacuation that was taken back.
def test_a_copy_does_not_bring_back_an_evacuation_that_ended() -> None:
    log = _make_log("bruny")
    router, late = _Router(log), _Router(log)
    router.read()
    copied = copy.deepcopy(log.topic)
    _write(log, "evacuate/bruny", None)
    router.read()
    _return_from(log, copied)
    router.read()
    assert not router.closed
    _write(log, "evacuate/bruny", None)
    router.now_ms += _REWRITE_MS
    router.read()
    assert not router.closed
    # One that starts now hears of the state before the return, which may have
    # been lost; the log decides once the operator has written again.
    late.read()
    late.hear(evacuation.EvacuationNotice("bruny", True, 0, 1))
    late.now_ms += _REWRITE_MS
    late.read()
    assert not late.closed
    late.hear(evacuation.EvacuationNotice("bruny", True, 0, 1))
    assert not late.closed


# Guards against callers in a zone who are refused because it is evacuated, and
# against a choice that still finds its upstreams.
def test_callers_in_an_evacuated_zone_are_served_elsewhere() -> None:
    directory = upstream_directory.UpstreamDirectory("bruny")
    for name, zone in (("m-1", "bruny"), ("m-2", "huon")):
        directory.set_upstream(forwarding_builders.make_upstream(name, zone))
    directory.close_zones(frozenset({"bruny"}))
    for number in range(20):
        chosen = directory.choose(
            "llm",
            forwarding_builders.make_request(number, None),
            frozenset(),
            0,
        )
        assert chosen is not None
        assert chosen.upstream.id == "m-2"
    directory.close_zones(frozenset({"bruny", "huon"}))
    assert not directory.has_upstream("llm", 0)
    directory.close_zones(frozenset())
    assert directory.has_upstream("llm", 0)
