"""Tests of upstreams that reset a connection and go on."""

import asyncio

import attrs
import pytest

from redwingchute.connection import http_client
from redwingchute.core import forwarding
from redwingchute.core import requesting
from redwingchute.process import decision_log
from redwingchute.request import crash_evidence
from redwingchute.request import suspect_tracker
from redwingchute.testing import gateway_rig

_HOSTS = ("host-0", "host-1")
_RUNNERS = ("l-1", "l-2")
_LOOKUPS = 24
_MAX_SENDS = 12


# Guards against sound requests that are refused as crashing, since the answers
# to two of them were lost by upstreams that run on.
def test_a_request_whose_answers_were_lost_is_not_refused_as_crashing() -> None:
    async def send_lookups(rig: gateway_rig.GatewayRig) -> None:
        responses = await asyncio.gather(
            *(rig.send_request(f"/lookup/{n}") for n in range(_LOOKUPS))
        )
        assert {response.status for response in responses} == {200}

    async def scenario() -> None:
        async with gateway_rig.GatewayRig() as rig:
            rig.set_faults("l-", work_ms=30)
            await asyncio.sleep(1)
            await send_lookups(rig)
            for _ in range(_MAX_SENDS):
                rig.set_faults("l-", lose_answers=True)
                response = await rig.send_request("/post/sound", b"body")
                rig.set_faults("l-", lose_answers=False)
                assert response.status == 502
                await send_lookups(rig)
                runs = [
                    name
                    for name in _RUNNERS
                    if any(
                        run.target == "/post/sound"
                        for run in rig.runners[name].runs
                    )
                ]
                if len(runs) == len(_RUNNERS):
                    break
            assert len(runs) == len(_RUNNERS)
            response = await rig.send_request("/post/sound", b"body")
            assert response.status == 200

    asyncio.run(scenario())


_UPSTREAM = forwarding.Upstream(
    "m-1", "llm", "10.0.0.1:1", "huon", True, born_ms=5, sequence=1
)
_OTHER = attrs.evolve(_UPSTREAM, id="m-2")
_SUBJECT = crash_evidence.RequestSubject("yield", "9f86")


class _Router:
    """The tracker of one router, whose messages reach all others."""

    def __init__(self, fleet: "_Fleet", host: str) -> None:
        self.kept: list[requesting.CrashObservation] = []
        self.tracker = suspect_tracker.SuspectTracker(
            crash_evidence.CrashEvidence(host, lambda: ("host-0", "host-1")),
            lambda observations: fleet.share(host, observations),
            self.kept.extend,
            lambda: fleet.now_ms,
            f"{host}/1",
        )

    def is_refused(self) -> bool:
        return self.tracker.find_refusal((_SUBJECT,)) is not None

    def send(self) -> suspect_tracker.Send:
        return self.tracker.begin_send("request", (_SUBJECT,))

    def break_sends(self, *upstreams: forwarding.Upstream) -> int:
        """Breaks a request at each upstream; returns an earlier connection."""
        connection = http_client.take_mark()
        sends = [self.send() for _ in upstreams]
        for send, upstream in zip(sends, upstreams, strict=True):
            self.tracker.record_crash(send, upstream, 0)
        return connection


class _Fleet:
    """Two routers on a manual clock."""

    def __init__(self) -> None:
        self.now_ms = 10_000
        self.routers = {host: _Router(self, host) for host in _HOSTS}

    def share(
        self, host: str, observations: tuple[requesting.CrashObservation, ...]
    ) -> None:
        for name, router in self.routers.items():
            if name != host:
                router.tracker.handle_observations(host, observations)

    def list_refusing(self) -> list[str]:
        return [n for n, router in self.routers.items() if router.is_refused()]

    def read_entry(
        self, upstream: forwarding.Upstream, sequence: int, after_ms: int
    ) -> None:
        """Has all routers read an entry that was appended after a time."""
        for router in self.routers.values():
            router.tracker.handle_entry(
                attrs.evolve(upstream, sequence=sequence - 1),
                attrs.evolve(upstream, sequence=sequence),
                after_ms,
            )


# Guards against ends that stay known to other routers, and to processes that
# start later, though the upstream has outlived them.
def test_an_end_that_was_none_is_withdrawn_at_all_routers() -> None:
    fleet = _Fleet()
    first, second = fleet.routers.values()
    connection = first.break_sends(_UPSTREAM, _OTHER)
    assert fleet.list_refusing() == list(_HOSTS)
    first.tracker.record_response(first.send(), _UPSTREAM, connection)
    assert not fleet.list_refusing()
    later = _Router(fleet, "host-2")
    later.tracker.handle_observations("log", tuple(first.kept))
    assert not later.is_refused()
    # The order of what is read does not matter.
    later = _Router(fleet, "host-2")
    later.tracker.handle_observations("log", tuple(reversed(first.kept)))
    assert not later.is_refused()
    # A real end of the same start counts.
    second.break_sends(_UPSTREAM)
    assert fleet.list_refusing() == list(_HOSTS)
    first.break_sends(_UPSTREAM)
    first.tracker.record_response(first.send(), _UPSTREAM, connection)
    assert fleet.list_refusing() == list(_HOSTS)


# Guards against an end that is withdrawn by what the upstream sent before it,
# or by what its next start sent.
def test_what_may_be_from_before_an_end_or_a_later_start_proves_nothing() -> (
    None
):
    fleet = _Fleet()
    first, _ = fleet.routers.values()
    early = first.send()
    connection = first.break_sends(_UPSTREAM, _OTHER)
    first.tracker.record_response(early, _UPSTREAM, connection)
    first.tracker.record_response(
        first.send(), _UPSTREAM, http_client.take_mark()
    )
    again = attrs.evolve(_UPSTREAM, born_ms=9)
    first.tracker.record_response(first.send(), again, connection)
    assert fleet.list_refusing() == list(_HOSTS)


# Guards against the end of one router that another one withdraws, which saw
# only a reset before it.
def test_only_the_own_observation_of_an_end_is_withdrawn() -> None:
    fleet = _Fleet()
    first, second = fleet.routers.values()
    connection = first.break_sends(_UPSTREAM, _OTHER)
    second.break_sends(_UPSTREAM)
    first.tracker.record_response(first.send(), _UPSTREAM, connection)
    assert fleet.list_refusing() == list(_HOSTS)


# Guards against sound requests that are refused while all connections to an
# upstream are reset, and against entries that were written before the end.
def test_entries_that_are_written_after_an_end_withdraw_it() -> None:
    fleet = _Fleet()
    first, _ = fleet.routers.values()
    first.break_sends(_UPSTREAM, _OTHER)
    for sequence in (2, 3, 4):
        fleet.read_entry(_UPSTREAM, sequence, fleet.now_ms + 2_000)
    again = attrs.evolve(_UPSTREAM, born_ms=9)
    for sequence in (1, 2, 3):
        fleet.read_entry(again, sequence, fleet.now_ms + 9_000)
    assert fleet.list_refusing() == list(_HOSTS)
    fleet.read_entry(_UPSTREAM, 5, fleet.now_ms + 3_000)
    assert fleet.list_refusing() == list(_HOSTS)
    fleet.read_entry(_UPSTREAM, 6, fleet.now_ms + 3_000)
    assert not fleet.list_refusing()


# Guards against a real end that others do not count, since they have withdrawn
# an earlier one of the same start before the router that observed both.
def test_a_later_end_counts_where_the_earlier_one_was_withdrawn() -> None:
    fleet = _Fleet()
    first, second = fleet.routers.values()
    first.break_sends(_UPSTREAM, _OTHER)
    for sequence in (2, 3):
        second.tracker.handle_entry(
            attrs.evolve(_UPSTREAM, sequence=sequence - 1),
            attrs.evolve(_UPSTREAM, sequence=sequence),
            fleet.now_ms + 3_000,
        )
    assert fleet.list_refusing() == ["host-0"]
    fleet.now_ms += 4_000
    first.tracker.record_crash(first.send(), _UPSTREAM, 0)
    assert fleet.list_refusing() == list(_HOSTS)


# Guards against a log that consists of what other routers observed.
def test_only_observations_that_change_what_is_refused_are_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        decision_log, "log_event", lambda event, **_: lines.append(event)
    )
    fleet = _Fleet()
    receiver = fleet.routers["host-1"].tracker
    for number in range(100):
        receiver.handle_observations(
            "host-0",
            (
                requesting.CrashObservation(
                    f"part/{number}", "m-1/5", level=1, observer="host-0/1/0"
                ),
            ),
        )
    assert not lines
    fleet.routers["host-0"].break_sends(_UPSTREAM, _OTHER)
    assert lines.count("crash_observation_received") == 1
