"""Encodes grant rows and host stamps for the shared log, and folds them.

The fold holds the rows and stamps of all hosts. Only the newest record of each
key counts. Rows carry cumulative counts, so the newest records alone give the
same state as the whole history.

When the log has returned from an earlier copy, a row counts only once its host
has written it in the new era, or if its host had left before the copy. What
other hosts hold is unknown until they have confirmed their rows, or until an
`EraClosure` counts all that may be held as spent.
"""

import json
from typing import Any
from typing import TypeAlias

import attrs

from redwingchute.core import prepaid
from redwingchute.core import untrusted
from redwingchute.process import shared_log

_ROW = "row"
_STAMP = "stamp"
_CLOSURE = "closure"

Record: TypeAlias = prepaid.GrantRow | prepaid.HostStamp | prepaid.EraClosure


def encode_row(row: prepaid.GrantRow) -> shared_log.KeyedRecord:
    """Returns the log record of a row."""
    key = f"{_ROW}/{row.account}/{row.host}"
    return shared_log.KeyedRecord(key, _encode(_ROW, row))


def encode_stamp(stamp: prepaid.HostStamp) -> shared_log.KeyedRecord:
    """Returns the log record of a stamp."""
    key = f"{_STAMP}/{stamp.host}"
    return shared_log.KeyedRecord(key, _encode(_STAMP, stamp))


def encode_closure(closure: prepaid.EraClosure) -> shared_log.KeyedRecord:
    """Returns the log record of a closure."""
    key = f"{_CLOSURE}/{closure.era}"
    return shared_log.KeyedRecord(key, _encode(_CLOSURE, closure))


def decode_record(value: bytes) -> Record | None:
    """Decodes the value of a log record.

    Returns:
      The record; None if the value is malformed or of an unknown kind.
    """
    try:
        fields = json.loads(value)
        kind = fields.pop("kind")
        if kind == _ROW:
            return prepaid.GrantRow(
                **_select_known_fields(prepaid.GrantRow, fields)
            )
        if kind == _STAMP:
            return prepaid.HostStamp(
                **_select_known_fields(prepaid.HostStamp, fields)
            )
        if kind == _CLOSURE:
            return prepaid.EraClosure(
                int(fields["era"]),
                {
                    str(account): int(tokens)
                    for account, tokens in fields["unaccounted_tokens"].items()
                },
            )
    except untrusted.DECODE_ERRORS:
        return None
    return None


def _encode(kind: str, record: Any) -> bytes:
    """Returns a record as a JSON object with its kind as a field."""
    fields = {"kind": kind, **attrs.asdict(record)}
    return json.dumps(fields, separators=(",", ":")).encode()


def _select_known_fields(
    record_type: type[Any], fields: dict[str, Any]
) -> dict[str, Any]:
    """Returns the fields that a record class has.

    A newer release may write fields that this one does not have.
    """
    names = [field.name for field in attrs.fields(record_type)]
    return {name: fields[name] for name in names if name in fields}


class GrantFold:
    """The newest row of each account and host, and stamp of each host.

    Attributes:
      era: The era of the log.
      stamps: The newest stamp of each host.
      closure: The closure of the era, or None.
    """

    def __init__(self) -> None:
        """Starts without rows."""
        self.era = 0
        self.stamps: dict[str, prepaid.HostStamp] = {}
        self.closure: prepaid.EraClosure | None = None
        # The latest stamps of hosts that were read in earlier eras.
        self._earlier_stamps: dict[str, prepaid.HostStamp] = {}
        self._rows: dict[str, dict[str, prepaid.GrantRow]] = {}

    def begin_era(self, era: int) -> None:
        """Discards the content of the log before that of a new era is applied.

        Args:
          era: The new era.
        """
        for host, stamp in self.stamps.items():
            earlier = self._earlier_stamps.get(host)
            if earlier is None or is_later(stamp, earlier):
                self._earlier_stamps[host] = stamp
        self.era = era
        self.stamps.clear()
        self.closure = None
        self._rows.clear()

    def apply_record(self, record: Record) -> None:
        """Applies a record, which must be newer than the last of its key."""
        match record:
            case prepaid.GrantRow():
                rows = self._rows.setdefault(record.account, {})
                rows[record.host] = record
            case prepaid.HostStamp():
                self.stamps[record.host] = record
            case prepaid.EraClosure():
                if record.era == self.era:
                    self.closure = record

    def is_confirmed(self, host: str) -> bool:
        """Returns whether the rows of a host are known to be its newest.

        They are if the host has written them in this era. A host that had left
        holds nothing.
        """
        stamp = self.stamps.get(host)
        return stamp is not None and (stamp.era == self.era or stamp.is_leaving)

    @property
    def are_stamps_restored(self) -> bool:
        """Whether surviving hosts have restored all stamps that they knew.

        They do so when they confirm their rows, which all have done, or had
        time to do before the era was closed.
        """
        return self.closure is not None or all(
            map(self.is_confirmed, self.stamps)
        )

    @property
    def is_complete(self) -> bool:
        """Whether the rows state all that is spent or may be spent."""
        return all(
            self.is_confirmed(host) and not stamp.has_lost_history
            for host, stamp in self.stamps.items()
        )

    @property
    def can_raise(self) -> bool:
        """Whether it is known which tokens are granted to no host."""
        return self.is_complete or self.closure is not None

    def find_unaccounted(self, account: str) -> int:
        """Returns the tokens of an account that the rows do not account for."""
        if self.closure is None:
            return 0
        tokens = self.closure.unaccounted_tokens.get(account, 0)
        return 0 if not tokens or self.is_complete else tokens

    def list_missing_stamps(self) -> tuple[prepaid.HostStamp, ...]:
        """Returns stamps of earlier eras that the log has lost.

        Only those of hosts are returned that this era's log does not know as
        hosts that may hold tokens.
        """
        return tuple(
            earlier
            for host, earlier in self._earlier_stamps.items()
            if not earlier.is_leaving
            and (
                (stamp := self.stamps.get(host)) is None
                or (
                    stamp.is_leaving
                    and stamp.era != self.era
                    and is_later(earlier, stamp)
                )
            )
        )

    def list_active_stamps(self) -> tuple[prepaid.HostStamp, ...]:
        """Returns the stamps of the hosts that are not leaving."""
        return tuple(
            stamp for stamp in self.stamps.values() if not stamp.is_leaving
        )

    def is_read_by_others(
        self, host: str, position: shared_log.LogPosition
    ) -> bool:
        """Returns whether another host has read up to a position.

        It also returns true if no other host could have.

        Args:
          host: The host that asks.
          position: The position.
        """
        read_offsets = [
            stamp.read_offset
            for stamp in self.list_active_stamps()
            if stamp.host != host
            and stamp.era == self.era
            and stamp.read_offset >= 0
        ]
        if position.era != self.era:
            return False
        return not read_offsets or max(read_offsets) >= position.offset

    def find_row(self, account: str, host: str) -> prepaid.GrantRow | None:
        """Returns the newest row of an account and host, or None."""
        return self._rows.get(account, {}).get(host)

    def _is_counted(self, row: prepaid.GrantRow) -> bool:
        """Returns whether a row states what its host may spend."""
        if row.era == self.era:
            return True
        stamp = self.stamps.get(row.host)
        return stamp is not None and stamp.is_leaving

    def list_host_rows(self, host: str) -> tuple[prepaid.GrantRow, ...]:
        """Returns the rows of one host for all accounts, of any era."""
        return tuple(rows[host] for rows in self._rows.values() if host in rows)

    def list_rows(self, account: str) -> tuple[prepaid.GrantRow, ...]:
        """Returns the rows of one account that are known to be valid."""
        return tuple(
            row
            for row in self._rows.get(account, {}).values()
            if self._is_counted(row)
        )

    def sum_granted(self, account: str, excluded_host: str = "") -> int:
        """Returns the tokens of an account that are or may be granted.

        Args:
          account: The client account.
          excluded_host: A host that is left out.
        """
        return sum(
            row.granted_tokens
            for row in self.list_rows(account)
            if row.host != excluded_host
        ) + self.find_unaccounted(account)

    def sum_spent(self, account: str, excluded_host: str = "") -> int:
        """Returns the tokens of an account that hosts count as spent.

        Args:
          account: The client account.
          excluded_host: A host that is left out.
        """
        return sum(
            row.spent_tokens
            for row in self.list_rows(account)
            if row.host != excluded_host
        ) + self.find_unaccounted(account)


def is_later(stamp: prepaid.HostStamp, other: prepaid.HostStamp) -> bool:
    """Returns whether a stamp of a host was made after another one."""
    return (stamp.epoch, stamp.boot_ms) > (other.epoch, other.boot_ms)
