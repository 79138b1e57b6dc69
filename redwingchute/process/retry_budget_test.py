"""Tests of the limit on the retries of all routers together."""

from collections.abc import Iterator
import contextlib

from redwingchute.testing import retry_simulation

_HOSTS = tuple(f"host-{number}" for number in range(8))
_SPARE_HOSTS = tuple(f"spare-{number}" for number in range(3))
_START_S = 30


@contextlib.contextmanager
def _run_fleet(
    requests_per_s: float = 1.0, hosts: tuple[str, ...] = _HOSTS
) -> Iterator[retry_simulation.RetrySimulation]:
    """Runs a fleet that has settled, and checks the users' rule at the end.

    Args:
      requests_per_s: The requests at each host that runs, now or later.
      hosts: The hosts that run at first.
    """
    fleet = retry_simulation.RetrySimulation(_HOSTS + _SPARE_HOSTS, seed=1)
    with contextlib.closing(fleet):
        fleet.start(*hosts)
        fleet.run_for(_START_S)
        fleet.set_load(_HOSTS + _SPARE_HOSTS, requests_per_s)
        yield fleet
        assert fleet.count_retries()
        assert fleet.find_excess() is None


def test_retries_of_steady_hosts_stay_within_the_limit() -> None:
    with _run_fleet() as fleet:
        fleet.run_for(40)


def test_load_that_moves_to_other_hosts_adds_no_retries() -> None:
    # Guards against retries by the requests that some hosts had before the load
    # moved, in one window with those of the hosts that have it now.
    with _run_fleet(0) as fleet:
        before, after = _HOSTS[:4], _HOSTS[4:]
        fleet.set_load(before, 100)
        fleet.set_rejected_share(0, *before)
        fleet.run_for(15)
        fleet.set_rejected_share(1, *before)
        fleet.run_for(0.5)
        fleet.set_load(before, 0)
        fleet.set_load(after, 100)
        fleet.run_for(20)


def test_retries_that_arrive_late_count_when_they_arrive() -> None:
    # Guards against retries that leave the allowance's window before they leave
    # the users' window, because connecting took 0.4 s at each of 4 upstreams.
    with _run_fleet(0) as fleet:
        fleet.set_retry_delay_ms(1_600, *_HOSTS)
        fleet.send_at_once(20, *_HOSTS)
        fleet.run_for(10.1)
        fleet.set_retry_delay_ms(0, *_HOSTS)
        fleet.send_at_once(20, *_HOSTS)


def test_restarts_of_all_hosts_add_no_retries() -> None:
    # Guards against processes that use the slack although their predecessors
    # have used it in the same window.
    with _run_fleet(0) as fleet:
        fleet.send_at_once(10, *_HOSTS)
        fleet.run_for(3)
        fleet.start(*_HOSTS)
        fleet.run_for(3)
        fleet.send_at_once(10, *_HOSTS)
        fleet.set_load(_HOSTS, 3)
        fleet.run_for(30)


def test_restarts_of_hosts_in_turn_add_no_retries() -> None:
    # The same for hosts that fail one after the other.
    with _run_fleet(0) as fleet:
        fleet.send_at_once(10, *_HOSTS)
        for host in _HOSTS:
            fleet.start(host)
            fleet.run_for(1)
            fleet.send_at_once(10, host)
        fleet.run_for(30)


def test_hosts_that_cannot_read_the_list_have_no_slack() -> None:
    # Guards against hosts that each take the whole slack because they started
    # while the log was unavailable and know no other host.
    with _run_fleet() as fleet:
        fleet.set_cut(True, *_HOSTS)
        fleet.start(*_HOSTS)
        fleet.run_for(30)
        fleet.set_cut(False, *_HOSTS)
        fleet.run_for(40)


def test_hosts_that_leave_add_no_retries() -> None:
    # Guards against shares that rise at once when hosts leave, although the
    # retries of these hosts are still in the window.
    with _run_fleet(0) as fleet:
        fleet.send_at_once(10, *_HOSTS)
        for host in _HOSTS[:6]:
            fleet.leave(host, 0.5)
        fleet.run_for(3)
        fleet.send_at_once(10, *_HOSTS[6:])


def test_a_host_that_leaves_has_no_slack() -> None:
    # Guards against a host that retries by its share while it completes its
    # last requests, after the others have divided its share.
    with _run_fleet(0, _HOSTS[:2]) as fleet:
        fleet.begin_leaving("host-0")
        fleet.run_for(20)
        fleet.send_at_once(30, *_HOSTS[:2])


def test_a_host_that_is_taken_as_gone_has_no_slack() -> None:
    # Guards against hosts that are cut off from the log and serve on by their
    # old shares after the others have divided these among themselves.
    with _run_fleet(0) as fleet:
        fleet.set_cut(True, *_HOSTS[:6])
        fleet.run_for(55)
        fleet.send_at_once(10, *_HOSTS)
        fleet.run_for(15)
        fleet.set_cut(False, *_HOSTS[:6])
        fleet.run_for(2)
        fleet.send_at_once(10, *_HOSTS)
        fleet.run_for(20)


def test_a_host_that_was_frozen_has_no_slack() -> None:
    # The same for a process that was suspended meanwhile.
    with _run_fleet(0) as fleet:
        for host in _HOSTS[:6]:
            fleet.freeze(host)
        fleet.run_for(55)
        for host in _HOSTS[:6]:
            fleet.resume(host)
        fleet.send_at_once(10, *_HOSTS)
        fleet.run_for(20)


def test_hosts_that_join_add_no_retries() -> None:
    # Guards against new hosts that use their shares while the retries that the
    # others made by larger shares are still in the window.
    with _run_fleet(0, _HOSTS[:3]) as fleet:
        fleet.set_cut(True, *_HOSTS[:3])
        fleet.start(*_SPARE_HOSTS)
        fleet.run_for(3.5)
        fleet.send_at_once(8, *_HOSTS[:3])
        fleet.set_cut(False, *_HOSTS[:3])
        fleet.run_for(9)
        fleet.send_at_once(8, *_SPARE_HOSTS)


def test_hosts_that_cannot_read_of_new_ones_use_less_slack() -> None:
    # Guards against hosts that are cut off from the log and use shares of a
    # fleet without the hosts that joined since.
    with _run_fleet(0, _HOSTS[:3]) as fleet:
        fleet.set_cut(True, *_HOSTS[:3])
        fleet.start(*_SPARE_HOSTS)
        fleet.run_for(18)
        fleet.send_at_once(8, *_HOSTS[:3], *_SPARE_HOSTS)
