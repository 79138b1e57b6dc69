"""Encodes grant rows and host stamps for the shared log, and folds them.

The fold holds the rows and stamps of all hosts. Only the newest record of each
key counts. Rows carry cumulative counts, so the newest records alone give the
same state as the whole history.
"""

import json
from typing import Any

import attrs

from redwingchute.core import prepaid
from redwingchute.process import shared_log

_ROW = "row"
_STAMP = "stamp"


def encode_row(row: prepaid.GrantRow) -> shared_log.KeyedRecord:
    """Returns the log record of a row."""
    key = f"{_ROW}/{row.account}/{row.host}"
    return shared_log.KeyedRecord(key, _encode(_ROW, row))


def encode_stamp(stamp: prepaid.HostStamp) -> shared_log.KeyedRecord:
    """Returns the log record of a stamp."""
    key = f"{_STAMP}/{stamp.host}"
    return shared_log.KeyedRecord(key, _encode(_STAMP, stamp))


def decode_record(
    value: bytes,
) -> prepaid.GrantRow | prepaid.HostStamp | None:
    """Decodes the value of a log record.

    Returns:
      The row or stamp; None if the value is malformed or of an unknown kind.
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
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return None


def _encode(kind: str, record: Any) -> bytes:
    """Returns a row or stamp as a JSON object with its kind as a field."""
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
      stamps: The newest stamp of each host.
    """

    def __init__(self) -> None:
        """Starts without rows."""
        self.stamps: dict[str, prepaid.HostStamp] = {}
        self._rows: dict[str, dict[str, prepaid.GrantRow]] = {}

    def apply_record(
        self, record: prepaid.GrantRow | prepaid.HostStamp
    ) -> None:
        """Applies a record, which must be newer than the last of its key."""
        match record:
            case prepaid.GrantRow():
                rows = self._rows.setdefault(record.account, {})
                rows[record.host] = record
            case prepaid.HostStamp():
                self.stamps[record.host] = record

    def list_active_stamps(self) -> tuple[prepaid.HostStamp, ...]:
        """Returns the stamps of the hosts that are not leaving."""
        return tuple(
            stamp for stamp in self.stamps.values() if not stamp.is_leaving
        )

    def find_row(self, account: str, host: str) -> prepaid.GrantRow | None:
        """Returns the newest row of an account and host, or None."""
        return self._rows.get(account, {}).get(host)

    def list_host_rows(self, host: str) -> tuple[prepaid.GrantRow, ...]:
        """Returns the rows of one host for all accounts."""
        return tuple(rows[host] for rows in self._rows.values() if host in rows)

    def list_rows(self, account: str) -> tuple[prepaid.GrantRow, ...]:
        """Returns the rows of one account for all hosts."""
        return tuple(self._rows.get(account, {}).values())

    def sum_granted(self, account: str, excluded_host: str = "") -> int:
        """Returns the tokens of an account that are granted to hosts.

        Args:
          account: The client account.
          excluded_host: A host that is left out.
        """
        return sum(
            row.granted_tokens
            for row in self.list_rows(account)
            if row.host != excluded_host
        )

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
        )
