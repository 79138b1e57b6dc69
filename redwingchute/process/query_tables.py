"""Builds the tables that answer operators' queries.

Each `tabulate_` function converts records to a table with the columns that
`version.commands` lists for its subject.
"""

from collections.abc import Iterable
import datetime

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import status
from redwingchute.process import incarnations
from redwingchute.process import operator_ports
from redwingchute.version import change_apply
from redwingchute.version import changes
from redwingchute.version import commands
from redwingchute.version import loader
from redwingchute.version import tables

_MS_PER_S = 1_000


def _make_table(
    subject: commands.Subject,
    rows: Iterable[tuple[tables.Cell, ...]],
    notes: tuple[str, ...] = (),
) -> tables.Table:
    """Returns a table with the subject's columns."""
    return tables.Table(commands.COLUMNS[subject], tuple(rows), notes)


def tabulate_spent(
    current: configuration.Configuration, view: operator_ports.Balances
) -> tables.Table:
    """Returns the balance of each budget and the accounts that use it."""
    users = _list_budget_users(current)
    rows = [
        (
            balance.budget,
            users.get(balance.budget, ()),
            balance.credited_tokens,
            balance.settled_tokens,
            balance.leased_tokens,
            balance.reserved_tokens,
            balance.unaccounted_tokens,
            balance.credited_tokens
            - balance.settled_tokens
            - balance.leased_tokens
            - balance.reserved_tokens
            - balance.unaccounted_tokens,
        )
        for balance in sorted(view.balances, key=lambda item: item.budget)
    ]
    return _make_table(
        commands.Subject.SPENT, rows, _describe_missing_shards(view)
    )


def tabulate_unaccounted(
    view: operator_ports.Balances, hosts: tuple[data.Host, ...]
) -> tables.Table:
    """Returns the unaccounted tokens of each retired holder."""
    names = {host.incarnation: host.name for host in hosts}
    rows = [
        (
            balance.budget,
            str(holder.holder),
            names.get(incarnations.find_process_incarnation(holder.holder), ""),
            holder.unaccounted_tokens,
        )
        for balance in sorted(view.balances, key=lambda item: item.budget)
        for holder in balance.holders
        if holder.unaccounted_tokens
    ]
    return _make_table(
        commands.Subject.UNACCOUNTED, rows, _describe_missing_shards(view)
    )


def _list_budget_users(
    current: configuration.Configuration,
) -> dict[str, tuple[str, ...]]:
    """Returns the names of the client accounts charged to each budget."""
    users: dict[str, tuple[str, ...]] = {}
    for account in current.client_accounts:
        users[account.budget] = (*users.get(account.budget, ()), account.name)
    return users


def _describe_missing_shards(view: operator_ports.Balances) -> tuple[str, ...]:
    """Returns a note on shards whose owner did not reply, if any."""
    if not view.missing_shards:
        return ()
    shards = ", ".join(map(str, view.missing_shards))
    return (f"Budgets of these ledger shards are missing: {shards}.",)


def tabulate_running(
    reports: tuple[status.StatusReport, ...], notes: tuple[str, ...]
) -> tables.Table:
    """Returns the requests in progress on the routers."""
    rows = [
        (
            report.host,
            report.zone,
            running.account,
            running.pool,
            running.kind,
            running.upstream,
            running.state,
            report.reported_ms - running.started_ms,
        )
        for report in reports
        for running in report.running
    ]
    return _make_table(commands.Subject.RUNNING, rows, notes)


def tabulate_in_force(
    reports: tuple[status.StatusReport, ...], notes: tuple[str, ...]
) -> tables.Table:
    """Returns the configuration version in force on each router."""
    newest = max((report.version for report in reports), default=0)
    rows = [
        (
            report.host,
            report.zone,
            report.version,
            report.version == newest,
            report.reported_ms - report.current_ms,
        )
        for report in reports
    ]
    return _make_table(commands.Subject.IN_FORCE, rows, notes)


def tabulate_hosts(
    reachable: tuple[data.Host, ...],
    unreachable: tuple[tuple[data.Host, int], ...],
    now_ms: int,
) -> tables.Table:
    """Returns all known routers and their reachability."""
    states = [(host, None) for host in reachable]
    unreachable_states = [
        (host, now_ms - since_ms) for host, since_ms in unreachable
    ]
    rows = [
        (
            host.name,
            host.zone,
            _name_host_state(host, unreachable_ms),
            host.peer_address,
            str(host.incarnation),
            unreachable_ms,
        )
        for host, unreachable_ms in [*states, *unreachable_states]
    ]
    return _make_table(commands.Subject.HOSTS, rows)


def _name_host_state(host: data.Host, unreachable_ms: int | None) -> str:
    """Returns the state of a host in one word."""
    if unreachable_ms is not None:
        return "unreachable"
    return "leaving" if host.is_leaving else "live"


def tabulate_upstreams(
    current: configuration.Configuration,
    reports: tuple[status.StatusReport, ...],
    notes: tuple[str, ...],
) -> tables.Table:
    """Returns the upstreams with the newest load reported by any router."""
    newest: dict[str, tuple[int, status.UpstreamStatus]] = {}
    for report in reports:
        for known in report.upstreams:
            age_ms = report.reported_ms - known.reported_ms
            best = newest.get(known.upstream)
            if best is None or age_ms < best[0]:
                newest[known.upstream] = age_ms, known
    rows = [
        _describe_upstream(pool, upstream, newest.get(upstream.name))
        for pool, upstream in _list_pools(current)
    ]
    return _make_table(commands.Subject.UPSTREAMS, rows, notes)


def _list_pools(
    current: configuration.Configuration,
) -> list[tuple[str, configuration.Upstream]]:
    """Returns (pool name, upstream) pairs for all models and services."""
    pools: tuple[configuration.Model | configuration.Service, ...] = (
        *current.models,
        *current.services,
    )
    return [(pool.name, item) for pool in pools for item in pool.upstreams]


def _describe_upstream(
    pool: str,
    upstream: configuration.Upstream,
    newest: tuple[int, status.UpstreamStatus] | None,
) -> tuple[tables.Cell, ...]:
    """Returns the row of one upstream."""
    age_ms, known = newest if newest is not None else (None, None)
    state = known.state if known is not None else "unknown"
    has_load = known is not None and known.reported_ms > 0
    return (
        upstream.name,
        pool,
        upstream.zone,
        upstream.address,
        "drained" if upstream.is_drained else state,
        known.running if known is not None and has_load else None,
        known.queued if known is not None and has_load else None,
        upstream.slots,
        age_ms if has_load else None,
    )


def tabulate_quarantine(
    entries: tuple[status.QuarantinedRequest, ...],
) -> tables.Table:
    """Returns the quarantined requests, which are refused after crashes."""
    rows = [
        (
            entry.account,
            entry.digest.hex(),
            format_time(entry.until_ms),
            entry.author,
        )
        for entry in entries
    ]
    return _make_table(commands.Subject.QUARANTINE, rows)


def tabulate_audit(entries: tuple[changes.AuditEntry, ...]) -> tables.Table:
    """Returns the audit trail, newest first."""
    rows = [
        (
            format_time(entry.made_at_ms),
            entry.author,
            entry.action,
            entry.subject,
            entry.code.name.lower(),
            entry.version,
            entry.reason,
            entry.before,
            entry.after,
            entry.message,
            entry.record_id.hex(),
        )
        for entry in reversed(entries)
    ]
    return _make_table(commands.Subject.AUDIT, rows)


def tabulate_configuration(
    subject: commands.Subject, current: configuration.Configuration
) -> tables.Table:
    """Returns a table of one section of the configuration in force."""
    note = f"Version {current.version} is in force on this host."
    return _make_table(subject, _list_section_rows(subject, current), (note,))


def _list_section_rows(
    subject: commands.Subject, current: configuration.Configuration
) -> list[tuple[tables.Cell, ...]]:
    """Returns the rows of one section of the configuration."""
    users = _list_budget_users(current)
    match subject:
        case commands.Subject.ACCOUNTS:
            return [
                (
                    account.name,
                    account.budget,
                    account.models,
                    account.services,
                    account.time_zone,
                    len(account.key_hashes),
                    len(account.patience),
                    account.is_suspended,
                )
                for account in current.client_accounts
            ]
        case commands.Subject.BUDGETS:
            return [
                (
                    budget.name,
                    users.get(budget.name, ()),
                    budget.reserve_share,
                    budget.lease_horizon_ms,
                )
                for budget in current.budgets
            ]
        case commands.Subject.MODELS:
            return [
                (
                    model.name,
                    tuple(item.name for item in model.upstreams),
                    model.max_output_tokens,
                    model.prompt_price,
                    model.output_price,
                )
                for model in current.models
            ]
        case commands.Subject.SERVICES:
            return [
                (
                    service.name,
                    tuple(item.name for item in service.upstreams),
                    service.is_repeatable,
                    service.call_price,
                )
                for service in current.services
            ]
        case commands.Subject.OPERATORS:
            return [(item.name, item.role.value) for item in current.operators]
        case _:
            # The whole document.
            return [(loader.dump_configuration(current),)]


def tabulate_verdict(
    verdict: changes.ChangeVerdict, change: changes.Change
) -> tables.Table:
    """Returns the answer to an applied change."""
    return tables.Table(
        ("outcome", "action", "subject", "version"),
        (
            (
                verdict.code.name.lower(),
                change_apply.get_action_name(change),
                change_apply.get_subject_name(change),
                verdict.version,
            ),
        ),
    )


def describe_missing_reports(
    reachable: tuple[data.Host, ...],
    unreachable: tuple[tuple[data.Host, int], ...],
    reports: tuple[status.StatusReport, ...],
    now_ms: int,
) -> tuple[str, ...]:
    """Returns notes on availability zones and hosts without a report.

    Args:
      reachable: The hosts that were queried.
      unreachable: The hosts that could not be queried, and since when, in
        milliseconds.
      reports: The reports that were received.
      now_ms: The current time.
    """
    reported = {report.host for report in reports}
    zones = {report.zone for report in reports}
    unreachable_since_ms = {
        host.name: since_ms for host, since_ms in unreachable
    }
    unanswered = [host for host in reachable if host.name not in reported]
    missing = [*unanswered, *(host for host, _ in unreachable)]
    notes = [
        f"Availability zone {zone} is missing."
        for zone in sorted({host.zone for host in missing} - zones)
    ]
    for host in sorted(missing, key=lambda item: item.name):
        since_ms = unreachable_since_ms.get(host.name)
        if since_ms is None:
            notes.append(f"Host {host.name} ({host.zone}) did not answer.")
            continue
        seconds = max(0, now_ms - since_ms) // _MS_PER_S
        notes.append(
            f"Host {host.name} ({host.zone}) has been unreachable for"
            f" {seconds} s."
        )
    return tuple(notes)


def format_time(at_ms: int) -> str:
    """Formats a time as ISO 8601 in UTC.

    Returns the number itself if it is out of the range of dates.
    """
    try:
        instant = datetime.datetime.fromtimestamp(
            at_ms / _MS_PER_S, datetime.UTC
        )
    except (OverflowError, ValueError, OSError):
        return str(at_ms)
    return instant.isoformat(timespec="milliseconds").replace("+00:00", "Z")
