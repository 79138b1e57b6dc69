"""What a call to the platform's log service can end with."""

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
    """The record may be in the stream, or may still arrive there."""

    message: str


@dataclasses.dataclass(frozen=True)
class LogUnreachable:
    """The log did not take the request; an append did not take effect."""

    message: str


@dataclasses.dataclass(frozen=True)
class Trimmed:
    """The records asked for were dropped by the log's retention.

    Attributes:
      first: The oldest offset kept.
      next: The offset that the next append will get.
    """

    first: int
    next: int


@dataclasses.dataclass(frozen=True)
class Page:
    """A run of consecutive records.

    Attributes:
      first: The oldest offset kept.
      next: The offset that the next append will get.
      records: The records from the offset asked for on.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


AppendOutcome: TypeAlias = Appended | AppendUnknown | LogUnreachable
ReadOutcome: TypeAlias = Page | Trimmed | LogUnreachable
