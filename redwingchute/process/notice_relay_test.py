"""Tests that notices reach every router of a large fleet, and end."""

from collections.abc import Iterable
import functools

import pytest

from redwingchute.core import requesting
from redwingchute.process import hub_choice
from redwingchute.process import notice_relay

_HUBS = {"a-0": "a", "a-1": "a", "b-0": "b", "b-1": "b"}
_ROUTERS = tuple(f"{zone}-{number}" for zone in "ab" for number in range(8))
_NOTICE = requesting.CrashNotice("yield", b"digest", "runner-1", "attempt-1", 0)


class _Fleet:
    """Routers that pass notices on.

    Attributes:
      received: How often each router received the notice.
      down: Routers that receive nothing.
    """

    def __init__(self, hubs: dict[str, dict[str, str]]) -> None:
        """Creates all routers; `hubs` has those that see other hubs."""
        self.received = dict.fromkeys(_ROUTERS, 0)
        self.down: set[str] = set()
        self.relays = {
            name: notice_relay.NoticeRelay(
                functools.partial(
                    hub_choice.HubView,
                    name,
                    name[0],
                    len(_ROUTERS),
                    hubs.get(name, _HUBS),
                ),
                functools.partial(_list_reporters, name),
                functools.partial(self._send, name),
                _read_id,
            )
            for name in _ROUTERS
        }

    def _send(
        self,
        sender: str,
        receivers: Iterable[str],
        notice: requesting.CrashNotice,
    ) -> None:
        for receiver in receivers:
            if receiver not in self.down:
                self.received[receiver] += 1
                self.relays[receiver].handle_notice(sender, notice)


def _read_id(notice: requesting.CrashNotice) -> str:
    return notice.attempt_id


def _list_reporters(name: str) -> tuple[str, ...]:
    """Returns the routers that report to a hub: those of its parity."""
    if name not in _HUBS:
        return ()
    return tuple(
        other
        for other in _ROUTERS
        if other not in _HUBS
        and other[0] == name[0]
        and int(other[2:]) % 2 == int(name[2:])
    )


@pytest.mark.parametrize("sender", ["a-0", "a-5", "b-2"])
def test_a_notice_reaches_every_other_router(sender: str) -> None:
    fleet = _Fleet({})
    fleet.relays[sender].broadcast(_NOTICE)
    reached = {name for name, count in fleet.received.items() if count}
    assert reached | {sender} == set(_ROUTERS)
    assert sum(fleet.received.values()) <= 2 * len(_ROUTERS)


def test_a_notice_gets_past_a_hub_that_is_down() -> None:
    fleet = _Fleet({})
    fleet.down = {"a-1"}
    fleet.relays["a-5"].broadcast(_NOTICE)
    assert all(fleet.received[name] for name in ("a-0", "b-0", "b-1", "b-2"))


def test_a_notice_ends_while_routers_disagree_about_the_hubs() -> None:
    fleet = _Fleet(
        {
            "a-0": {"a-0": "a", "a-1": "a"},
            "a-1": {"a-1": "a", "b-0": "b"},
            "b-0": {"b-0": "b", "a-0": "a"},
        }
    )
    fleet.relays["a-5"].broadcast(_NOTICE)
    assert sum(fleet.received.values()) <= 3 * len(_ROUTERS)
