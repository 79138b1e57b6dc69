"""The outcomes of calls to the platform's log service."""

import dataclasses
from typing import TypeAlias

import attrs


@attrs.frozen
class LogRecord:
    """One record of a stream, undecoded."""

    offset: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class Appended:
    """The record is in the stream at this offset."""

    offset: int


@dataclasses.dataclass(frozen=True)
class AppendUnknown:
    """The record may be in the stream, or may still be appended to it."""

    message: str


@dataclasses.dataclass(frozen=True)
class LogUnreachable:
    """The log did not accept the request; an append had no effect."""

    message: str


@dataclasses.dataclass(frozen=True)
class Trimmed:
    """The requested records were removed by the log's retention.

    Attributes:
      first: The oldest offset that the log keeps.
      next: The offset that the next append will get.
    """

    first: int
    next: int


@dataclasses.dataclass(frozen=True)
class Page:
    """A sequence of consecutive records.

    Attributes:
      first: The oldest offset that the log keeps.
      next: The offset that the next append will get.
      records: The records, from the requested offset on.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


AppendOutcome: TypeAlias = Appended | AppendUnknown | LogUnreachable
ReadOutcome: TypeAlias = Page | Trimmed | LogUnreachable
