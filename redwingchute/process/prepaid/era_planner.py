"""Plans what a host writes after the log has returned from an earlier copy.

The host states what it may spend (it confirms its rows). When hosts stay
missing, a closure counts all that nobody accounts for as spent. See
`grant_fold` for which rows count meanwhile.
"""

from collections.abc import Iterable

import attrs

from redwingchute.core import prepaid
from redwingchute.process import shared_log
from redwingchute.process.prepaid import append_planner
from redwingchute.process.prepaid import grant_fold

# How long after a new era was seen the tokens that hosts have not accounted for
# count as spent. The operator has written its lost records again by then.
_CLOSURE_MS = 3_000


def plan_confirmation(
    fold: grant_fold.GrantFold,
    stamp: prepaid.HostStamp,
    rows: Iterable[prepaid.GrantRow],
    position: shared_log.LogPosition | None,
) -> append_planner.Append:
    """Returns the append that states what a host may spend in an era.

    If the era is closed, the tokens of rows that did not count before are
    subtracted from the unaccounted ones, which included them. The append is
    then conditional, as it is if it restores stamps of other hosts.

    Args:
      fold: The rows and stamps of all hosts.
      stamp: The host's stamp, of the present era.
      rows: All rows of the host.
      position: The position up to which the topic was read.
    """
    rows = tuple(attrs.evolve(row, era=stamp.era) for row in rows)
    closure = None
    if fold.closure is not None and not fold.is_confirmed(stamp.host):
        closure = _subtract_rows(fold.closure, rows)
    missing_stamps = tuple(
        missing
        for missing in fold.list_missing_stamps()
        if missing.host != stamp.host
    )
    is_conditional = closure is not None or bool(missing_stamps)
    return append_planner.Append(
        stamp,
        rows,
        position if is_conditional else None,
        0,
        closure,
        missing_stamps,
    )


def plan_closure(
    fold: grant_fold.GrantFold,
    prepaid_tokens: dict[str, int],
    era_age_ms: int,
) -> prepaid.EraClosure | None:
    """Returns the closure of the era if it is due.

    It counts all tokens as spent that no host has accounted for.

    Args:
      fold: The rows and stamps of all hosts.
      prepaid_tokens: The prepaid tokens of each account; they must be known to
        be the newest.
      era_age_ms: The time since the era was seen first.
    """
    if fold.can_raise or era_age_ms < _CLOSURE_MS or not prepaid_tokens:
        return None
    return prepaid.EraClosure(
        fold.era,
        {
            account: max(0, tokens - fold.sum_granted(account))
            for account, tokens in prepaid_tokens.items()
        },
    )


def merge_rows(
    loaded_rows: Iterable[prepaid.GrantRow],
    log_rows: Iterable[prepaid.GrantRow],
) -> tuple[prepaid.GrantRow, ...]:
    """Returns the rows of a host that a takeover writes.

    A row that only the log has belongs to a lost history, and one that only
    was loaded has been lost since.

    Args:
      loaded_rows: The rows that were loaded when the process started.
      log_rows: The rows that the log has.
    """
    rows = {row.account: row for row in loaded_rows}
    for row in log_rows:
        rows.setdefault(row.account, row)
    return tuple(rows.values())


def _subtract_rows(
    closure: prepaid.EraClosure, rows: Iterable[prepaid.GrantRow]
) -> prepaid.EraClosure:
    """Returns a closure without the tokens that rows account for."""
    granted_tokens = {row.account: row.granted_tokens for row in rows}
    return attrs.evolve(
        closure,
        unaccounted_tokens={
            account: max(0, tokens - granted_tokens.get(account, 0))
            for account, tokens in closure.unaccounted_tokens.items()
        },
    )
