"""The port to the shared log that routers agree through.

The log holds keyed topics: the newest record of each key is kept for ever.
An append may name the end that it expects, so that it takes effect only if
nothing came in between, and carries its producer's epoch and sequence, so
that repeating it is safe and a former process is fenced off.
"""

import dataclasses
from typing import Protocol
from typing import TypeAlias

import attrs


@attrs.frozen
class KeyedRecord:
    """A record of a keyed topic.

    Attributes:
      key: The key.
      value: The value; None drops the key.
      offset: Its place in the topic; -1 before it is appended.
    """

    key: str
    value: bytes | None
    offset: int = -1


@attrs.frozen
class ProducerStamp:
    """Orders the appends of one producer.

    Attributes:
      producer: Names the producer.
      epoch: Counts its process starts; a higher one fences lower ones.
      sequence: Counts its appends within the epoch.
    """

    producer: str
    epoch: int
    sequence: int


@dataclasses.dataclass(frozen=True)
class Appended:
    """The records are in the log; the topic ended there after them."""

    end_offset: int


@dataclasses.dataclass(frozen=True)
class ConditionFailed:
    """Nothing was appended: the topic ends at another offset."""

    end_offset: int


@dataclasses.dataclass(frozen=True)
class Fenced:
    """Nothing was appended: a later epoch of the producer was seen."""


@dataclasses.dataclass(frozen=True)
class WrongSequence:
    """Nothing was appended: the log expects another sequence number."""

    expected: int


@dataclasses.dataclass(frozen=True)
class LogUnavailable:
    """There was no answer, or none that helps.

    Attributes:
      message: What happened.
      may_have_run: Whether the call may have taken effect, or may yet.
    """

    message: str
    may_have_run: bool = False


@dataclasses.dataclass(frozen=True)
class ReadRecords:
    """Records from an offset on; there may be none.

    Attributes:
      records: The records in order.
      next_offset: Where to go on.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclasses.dataclass(frozen=True)
class HistoryGone:
    """The records at the offset were deleted; the newest of each key remain."""


@dataclasses.dataclass(frozen=True)
class Newest:
    """The newest record of each key.

    Attributes:
      records: One record a key.
      next_offset: Where reading may go on without a gap.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int


AppendResult: TypeAlias = (
    Appended | ConditionFailed | Fenced | WrongSequence | LogUnavailable
)
ReadResult: TypeAlias = ReadRecords | HistoryGone | LogUnavailable


class SharedLog(Protocol):
    """What routers need of the shared log."""

    async def append(
        self,
        topic: str,
        records: tuple[KeyedRecord, ...],
        stamp: ProducerStamp,
        at_offset: int | None = None,
    ) -> AppendResult:
        """Appends records, all or none.

        Args:
          topic: The keyed topic.
          records: At least one record, or none to set the epoch only.
          stamp: The producer's epoch and sequence.
          at_offset: Where the topic has to end; None for anywhere.
        """

    async def read(self, topic: str, offset: int, wait_ms: int) -> ReadResult:
        """Reads from an offset on, waiting for the first record.

        Args:
          topic: The keyed topic.
          offset: The first record wanted.
          wait_ms: How long to wait for a record.
        """

    async def read_newest(self, topic: str) -> Newest | LogUnavailable:
        """Reads the newest record of each key of a topic."""
