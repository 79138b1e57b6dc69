"""Tests of the counts of work by account, and of their way through hubs."""

from redwingchute.core import requesting
from redwingchute.request import account_work
from redwingchute.request import fleet_load
from redwingchute.request import load_exchange

_NOW_MS = 50_000


def _make_exchange(
    works: account_work.AccountWorks, role: load_exchange.HubRole
) -> load_exchange.LoadExchange:
    exchange = load_exchange.LoadExchange(
        fleet_load.FleetLoad(lambda upstream_id: 0.02), works
    )
    exchange.set_role(role)
    return exchange


# Guards against a router that counts its own work a second time when its hub
# reports the sum of the fleet.
def test_a_report_is_not_echoed_to_its_sender() -> None:
    own, hub = account_work.AccountWorks(), account_work.AccountWorks()
    reporter = _make_exchange(own, load_exchange.HubRole(False, ("h",)))
    exchange = _make_exchange(hub, load_exchange.HubRole(True, ("g",)))
    own.record("s", "a", 300, True, _NOW_MS)
    own.record("s", "a", 100, False, _NOW_MS)
    hub.record("s", "b", 50, True, _NOW_MS)
    for outgoing in reporter.pop_due(_NOW_MS + 100):
        exchange.handle_notice("r", outgoing.notice, _NOW_MS + 100)
    for outgoing in exchange.pop_due(_NOW_MS + 200):
        if "r" in outgoing.hosts:
            reporter.handle_notice("h", outgoing.notice, _NOW_MS + 200)
    expected = (
        requesting.AccountWork("s", "a", 300, 100),
        requesting.AccountWork("s", "b", 50, 0),
    )
    assert own.list_works("s", _NOW_MS + 300) == expected
    assert hub.list_works("s", _NOW_MS + 300) == expected


def test_nothing_is_reported_without_refusals() -> None:
    works = account_work.AccountWorks()
    works.record("s", "a", 300, True, _NOW_MS)
    assert works.list_reported(_NOW_MS) == ()
    works.record("s", "a", 1, False, _NOW_MS)
    assert works.list_reported(_NOW_MS) != ()
    assert works.list_reported(_NOW_MS + 3_000) == ()


def test_old_counts_of_others_are_not_used() -> None:
    works = account_work.AccountWorks()
    works.has_peers = True
    assert works.find_age_ms(_NOW_MS) is None
    works.handle_notice("h", (requesting.AccountWork("s", "a", 1, 1),), _NOW_MS)
    assert works.find_age_ms(_NOW_MS + 400) == 400
    assert works.find_age_ms(_NOW_MS + 3_000) is None
    assert works.list_works("s", _NOW_MS + 3_000) == ()
