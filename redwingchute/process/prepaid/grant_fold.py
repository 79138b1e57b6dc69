"""The grants and stamps of all hosts, as the log's records say.

The newest record of each key counts. Rows carry cumulative counts, so the
fold needs no history: the newest records alone give the same state.
"""

import json
from typing import Any

import attrs

from redwingchute.core import prepaid
from redwingchute.process import shared_log

_ROW = "row"
_STAMP = "stamp"


def encode_row(row: prepaid.GrantRow) -> shared_log.KeyedRecord:
    """Returns the record of a row."""
    key = f"{_ROW}/{row.account}/{row.host}"
    return shared_log.KeyedRecord(key, _encode(_ROW, row))


def encode_stamp(stamp: prepaid.HostStamp) -> shared_log.KeyedRecord:
    """Returns the record of a stamp."""
    key = f"{_STAMP}/{stamp.host}"
    return shared_log.KeyedRecord(key, _encode(_STAMP, stamp))


def decode_record(
    value: bytes,
) -> prepaid.GrantRow | prepaid.HostStamp | None:
    """Reads the value of a record; None when it is of an unknown kind."""
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
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return None


def _encode(kind: str, record: Any) -> bytes:
    """Returns a record as JSON."""
    fields = {"kind": kind, **attrs.asdict(record)}
    return json.dumps(fields, separators=(",", ":")).encode()


def _select_known_fields(
    record_type: type[Any], fields: dict[str, Any]
) -> dict[str, Any]:
    """Returns the fields that a class knows; a newer release may add some."""
    names = [field.name for field in attrs.fields(record_type)]
    return {name: fields[name] for name in names if name in fields}


class GrantFold:
    """The newest row of each account and host, and stamp of each host.

    Attributes:
      stamps: The newest stamp of each host.
    """

    def __init__(self) -> None:
        """Starts without rows."""
        self.stamps: dict[str, prepaid.HostStamp] = {}
        self._rows: dict[str, dict[str, prepaid.GrantRow]] = {}

    def take(self, record: prepaid.GrantRow | prepaid.HostStamp) -> None:
        """Takes a record that is newer than all before of its key."""
        match record:
            case prepaid.GrantRow():
                rows = self._rows.setdefault(record.account, {})
                rows[record.host] = record
            case prepaid.HostStamp():
                self.stamps[record.host] = record

    def list_hosts(self) -> tuple[prepaid.HostStamp, ...]:
        """Returns the stamps of the hosts that are not leaving."""
        return tuple(
            stamp for stamp in self.stamps.values() if not stamp.is_leaving
        )

    def find_row(self, account: str, host: str) -> prepaid.GrantRow | None:
        """Returns the newest row of an account and host, or None."""
        return self._rows.get(account, {}).get(host)

    def list_own_rows(self, host: str) -> tuple[prepaid.GrantRow, ...]:
        """Returns the rows of one host."""
        return tuple(rows[host] for rows in self._rows.values() if host in rows)

    def list_rows(self, account: str) -> tuple[prepaid.GrantRow, ...]:
        """Returns the rows of an account."""
        return tuple(self._rows.get(account, {}).values())

    def sum_granted(self, account: str, besides: str = "") -> int:
        """Returns what is granted of an account, one host left out."""
        return sum(
            row.granted_tokens
            for row in self.list_rows(account)
            if row.host != besides
        )

    def sum_spent(self, account: str, besides: str = "") -> int:
        """Returns what is surely spent of an account, one host left out."""
        return sum(
            row.spent_tokens
            for row in self.list_rows(account)
            if row.host != besides
        )
