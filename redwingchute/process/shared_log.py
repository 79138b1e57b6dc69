"""The interface of the shared log through which routers coordinate.

The log holds keyed topics; it retains at least the newest record of each key.
An append may state the offset at which it expects the topic to end, and takes
effect only if that holds (compare-and-append). It also carries its producer's
epoch and sequence number, so that repeating it is safe and an earlier process
of the producer is fenced.
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
      value: The value; None removes the key.
      offset: The offset in the topic; -1 before the record is appended.
    """

    key: str
    value: bytes | None
    offset: int = -1


@attrs.frozen
class ProducerStamp:
    """Orders the appends of one producer.

    Attributes:
      producer: The name of the producer.
      epoch: The number of its process start; a higher epoch fences lower ones.
      sequence: The number of the append within the epoch.
    """

    producer: str
    epoch: int
    sequence: int


@dataclasses.dataclass(frozen=True)
class Appended:
    """The records are in the log; their topic ends at `end_offset` then."""

    end_offset: int


@dataclasses.dataclass(frozen=True)
class ConditionFailed:
    """Nothing was appended: the topic ends at `end_offset` instead."""

    end_offset: int


@dataclasses.dataclass(frozen=True)
class Fenced:
    """Nothing was appended: the producer has appended with a later epoch."""


@dataclasses.dataclass(frozen=True)
class WrongSequence:
    """Nothing was appended: the log expects another sequence number."""

    expected: int


@dataclasses.dataclass(frozen=True)
class LogUnavailable:
    """The call had no usable reply: none, or an error.

    Attributes:
      message: The cause.
      may_have_run: Whether the call may have taken effect or may still do so.
    """

    message: str
    may_have_run: bool = False


@dataclasses.dataclass(frozen=True)
class ReadRecords:
    """Records from an offset on; may be empty.

    Attributes:
      records: The records in order.
      next_offset: The offset of the next read.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclasses.dataclass(frozen=True)
class HistoryGone:
    """The log deleted records at the offset; the newest of each key remain."""


@dataclasses.dataclass(frozen=True)
class Newest:
    """The newest record of each key.

    Attributes:
      records: One record per key.
      next_offset: The offset from which reading continues without a gap.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int


AppendResult: TypeAlias = (
    Appended | ConditionFailed | Fenced | WrongSequence | LogUnavailable
)
ReadResult: TypeAlias = ReadRecords | HistoryGone | LogUnavailable


class SharedLog(Protocol):
    """The shared log, as routers use it."""

    async def append(
        self,
        topic: str,
        records: tuple[KeyedRecord, ...],
        stamp: ProducerStamp,
        at_offset: int | None = None,
    ) -> AppendResult:
        """Appends records atomically.

        Args:
          topic: The keyed topic.
          records: The records; empty to set the epoch only.
          stamp: The producer's epoch and sequence number.
          at_offset: The required end offset of the topic; None for any.
        """

    async def read(
        self,
        topic: str,
        offset: int,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> ReadResult:
        """Reads records from an offset on.

        Args:
          topic: The keyed topic.
          offset: The offset of the first record.
          wait_ms: How long to wait if there is no record yet.
          response_timeout_ms: How long after the wait the read counts as
            lost; None for the limit of all calls.
        """

    async def read_newest(self, topic: str) -> Newest | LogUnavailable:
        """Reads the newest record of each key of a topic."""
